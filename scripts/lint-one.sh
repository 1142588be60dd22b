#!/usr/bin/env bash
# Lints one file, unless the same file with the same headers and rules has
# passed before: scripts/lint-one.sh FILE
set -uo pipefail
cd "$(dirname "$0")/.."
file=$1
cache=${FOXTAIL_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/foxtail-lint}
mkdir -p "$cache"
headers=$(g++ -std=c++20 -Isrc -I. -DBOOST_ASIO_SEPARATE_COMPILATION \
  -DBOOST_BEAST_SEPARATE_COMPILATION -MM "$file" 2>/dev/null |
  tr -d '\\' | tr ' ' '\n' | grep -E '^(src|programs|platform)/' | sort -u)
key=$(echo "$headers" | cat - .clang-tidy <(echo "$file") |
  cat - <(echo "$headers" | xargs -r cat) "$file" | sha256sum | cut -d' ' -f1)
[ -f "$cache/$key" ] && exit 0
clang-tidy-16 -p build-lint --quiet "$file" 2>/dev/null && touch "$cache/$key"
