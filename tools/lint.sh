#!/usr/bin/env bash
# Runs clang-tidy over the given sources, or over all of them, passing over
# those whose preprocessed text has already been found clean.
set -u
cd "$(dirname "$0")/.." || exit 1
build=${BUILD:-build}
export build
mkdir -p "$build/lint"
lint_one() {
  local file=$1 key
  key=$({ cat .clang-tidy; g++ -std=c++20 -Iinclude -Isrc -Itests -Ibench -I. -DDRAGONFLY_SOURCE_DIR='""' -DDRAGONFLY_BINARY_DIR='""' -E -C "$file"; } 2>/dev/null | sha256sum | cut -c1-40)
  [ -e "$build/lint/$key" ] && return 0
  if output=$(clang-tidy-19 -p "$build" --quiet "$file" 2>&1); then
    touch "$build/lint/$key"
  else
    printf '%s\n' "$output" | grep -v 'warnings generated' ; return 1
  fi
}
export -f lint_one
if [ $# -gt 0 ]; then printf '%s\n' "$@"; else
  git ls-files -co --exclude-standard '*.cpp' | while read -r f; do [ -e "$f" ] && echo "$f"; done
fi | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
