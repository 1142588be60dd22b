#!/usr/bin/env bash
# Configures and builds everything: scripts/build.sh [BUILD_DIR] [CMAKE_ARG...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ $# -gt 0 ] && shift
cmake -S . -B "$build" -G Ninja "$@" >"$build.configure.log" 2>&1 || {
  cat "$build.configure.log"
  echo "configure failed; run scripts/install-packages.sh first" >&2
  exit 1
}
rm -f "$build.configure.log"
cmake --build "$build"
