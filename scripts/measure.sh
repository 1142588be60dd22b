#!/usr/bin/env bash
# Runs one experiment and prints its figures as a JSON object on the last line:
# scripts/measure.sh EXPERIMENT|list|all [--seed N] [--seconds N] [--out FILE]
# "all" also writes the table of docs/MEASUREMENTS.md. FOXTAIL_BUILD names
# another build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FOXTAIL_BUILD:-build}
if [ "${1:-}" != list ] && [ ! -x "$build/foxtail-load" ]; then
  scripts/install-packages.sh >&2
  scripts/build.sh "$build" >&2
fi
exec python3 scripts/measure/measure.py --build "$build" "$@"
