#!/usr/bin/env bash
# Fails where a page links to a file that does not exist.
set -u
cd "$(dirname "$0")/.." || exit 1
bad=0
while read -r page; do
  while read -r link; do
    case $link in http*|\#*) continue ;; esac
    [ -e "$(dirname "$page")/${link%%#*}" ] || { echo "$page: no $link"; bad=1; }
  done < <(grep -oE '\]\([^)]+\)' "$page" | sed 's/^](//; s/)$//')
done < <(git ls-files -co --exclude-standard '*.md')
exit $bad
