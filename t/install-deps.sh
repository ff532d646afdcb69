#!/usr/bin/env bash
# Installs those of the Debian packages given as arguments that are missing.
set -eu
missing=()
for package in "$@"; do
	dpkg-query -W -f '${Status}\n' "$package" 2>/dev/null |
		grep -q '^install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
