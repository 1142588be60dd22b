#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python scripts that need the
# standard library alone, so there is nothing to build; checks that they can be
# read here. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - harness-2/harness.py [0-9]*/case.py <<'CHECK'
import ast
import sys
import tomllib  # python3 of Debian 12

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
