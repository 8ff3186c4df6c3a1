#!/usr/bin/env bash
# Installs the Debian packages of utils/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done <utils/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
