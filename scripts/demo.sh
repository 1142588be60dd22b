#!/usr/bin/env bash
# Sets up and runs one example deployment whole: scripts/demo.sh
# [hat-giong|kowhai]. Prints answers and a table of latency, coverage and extra
# load, ends all it started, and exits non-zero when a promise did not hold.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FOXTAIL_BUILD:-build}
scripts/install-packages.sh >&2
scripts/build.sh "$build" >&2
exec python3 scripts/demo.py --build "$build" "${1:-hat-giong}"
