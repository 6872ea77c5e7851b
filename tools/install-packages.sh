#!/usr/bin/env bash
# Installs the packages of packages.txt that are missing.
set -eu
list=$(dirname "$0")/packages.txt
missing=$(xargs -a "$list" dpkg-query -W -f '${Package} ${db:Status-Status}\n' 2>/dev/null |
  awk '$2=="installed"{print $1}' | sort | comm -13 - <(sort "$list"))
[ -z "$missing" ] && exit 0
sudo=$([ "$(id -u)" = 0 ] || echo sudo)
$sudo apt-get update -q
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
