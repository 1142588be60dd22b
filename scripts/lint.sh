#!/usr/bin/env bash
# Checks format and lint of every source file: scripts/lint.sh [FILE...]
set -uo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(git ls-files 'src/*.cpp' 'programs/*.cpp' 'platform/*.cpp')
fi
mapfile -t formatted < <(git ls-files '*.cpp' '*.h' | grep -v _generated)
clang-format --dry-run --Werror "${formatted[@]}" || {
  echo "format differs; run clang-format -i on the files above" >&2
  exit 1
}
# clang-tidy cannot read g++'s precompiled header.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  >/dev/null || exit 1
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 scripts/lint-one.sh
