#!/usr/bin/env bash
# Builds everything and runs every test: scripts/test.sh [BUILD_DIR]
#
# A line "test: PROGRAM" or "test: PROGRAM/CASE" of KNOWN-RED.txt names a test
# that fails for a known fault. It is run and printed, and does not count.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
scripts/install-packages.sh || exit 1
scripts/build.sh "$build" || exit 1

passed=0
failed=0
red=0

known_red() { # PROGRAM: prints the names of its red cases, "*" for all
  [ -f KNOWN-RED.txt ] || return 0
  sed -n "s|^test: $1\$|*|p; s|^test: $1/||p" KNOWN-RED.txt
}

run_red() { # NAME COMMAND...
  local name=$1
  shift
  red=$((red + 1))
  if "$@"; then
    echo "KNOWN RED, PASSED THIS TIME: $name"
  else
    echo "KNOWN RED: $name"
  fi
}

run_counted() { # NAME COMMAND...
  local name=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
  else
    echo "FAILED: $name"
    failed=$((failed + 1))
  fi
}

run_program() { # PATH of a doctest program
  local name case excluded=""
  name=$(basename "$1")
  echo "--- $name"
  while IFS= read -r case; do
    run_red "$name/$case" "$1" --test-case="$case"
    excluded="$excluded,$case"
  done < <(known_red "$name")
  run_counted "$name" "$1" --test-case-exclude="${excluded#,}"
}

run_script() { # PATH of a test of whole processes
  local name
  name=$(basename "$1" .py)
  echo "--- $name"
  if [ -n "$(known_red "$name")" ]; then
    run_red "$name" python3 "$1" --build "$build"
  else
    run_counted "$name" python3 "$1" --build "$build"
  fi
}

for program in "$build"/test_*; do
  [ -x "$program" ] && run_program "$program"
done
for script in tests/system/*_test.py; do
  [ -f "$script" ] && run_script "$script"
done
[ -f KNOWN-RED.txt ] && grep -v '^#' KNOWN-RED.txt
echo "$red known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
