#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs of the
# standard library alone (review/common/standins.py), so that there is nothing to
# compile; this checks that they can run. The project's own programs come from
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
for program in entry control; do
  test -x "target/foxtail-platform-$program" || {
    echo "target/foxtail-platform-$program is missing: build deploy/system.toml first" >&2
    exit 1
  }
done
