#!/usr/bin/env bash
# Fails where a header's guard is not named after its path, or a public header
# does not compile on its own.
set -u
cd "$(dirname "$0")/.." || exit 1
bad=0
while read -r header; do
  path=${header#include/dragonfly/}
  guard=DRAGONFLY_$(printf '%s' "$path" | tr 'a-z/.-' 'A-Z___')
  opening=$(grep -m2 '^#' "$header")
  closing=$(grep -v '^$' "$header" | tail -1)
  if [ "$opening" != "#ifndef $guard"$'\n'"#define $guard" ] ||
    [ "$closing" != "#endif // $guard" ]; then
    echo "$header: the header guard is not $guard"; bad=1
  fi
done < <(git ls-files -co --exclude-standard '*.h')
find include -name '*.h' | xargs -P "${JOBS:-$(nproc)}" -I{} \
  g++ -std=c++20 -Wall -Wextra -Werror -Wno-missing-field-initializers -fsyntax-only -Iinclude -x c++ {} || bad=1
exit $bad
