#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start. The programs of the
# project itself are built by the command in deploy/system.toml; the stand-ins are
# Python programs of the standard library only, so they are only checked here.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed (module tomllib)")
for name in glob.glob("harness-3/*.py") + glob.glob("1[1-5]/*.py"):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
