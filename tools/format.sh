#!/usr/bin/env bash
# Formats every source; with --check only reports what is not formatted.
set -eu
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.h' '*.cpp' | while read -r f; do [ -e "$f" ] && echo "$f"; done |
  xargs -r clang-format-19 "${mode[@]}"
