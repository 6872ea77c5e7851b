#!/usr/bin/env bash
# Fails where a public header does not compile on its own.
set -u
cd "$(dirname "$0")/.." || exit 1
find include -name '*.h' | xargs -P "${JOBS:-$(nproc)}" -I{} \
  g++ -std=c++20 -Wall -Wextra -Werror -Wno-missing-field-initializers -fsyntax-only -Iinclude -x c++ {}
