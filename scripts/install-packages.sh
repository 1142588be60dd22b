#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")/.."
is_installed() {
  [ "$(dpkg-query -W -f '${db:Status-Status}' "$1" 2>/dev/null)" = installed ]
}
missing=()
while IFS= read -r package; do
  is_installed "$package" || missing+=("$package")
done <scripts/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}" >&2
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
