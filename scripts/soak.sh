#!/usr/bin/env bash
# Plays random faults against the platform's programs and checks what callers,
# operators and backend servers see:
# scripts/soak.sh [--seeds N] [--seed S] [--minutes M] [--processes P] [--keep F]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FOXTAIL_BUILD:-build}
[ -x "$build/foxtail-platform-entry" ] || scripts/build.sh "$build"
exec python3 tests/platform/soak/soak.py --build "$build" "$@"
