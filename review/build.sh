#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -Ireview/standin -Iinclude -c "$source" \
    -o "target/review/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ target/review/*.o target/libdragonfly_platform.a target/libdragonfly.a \
  -lboost_json -lboost_container -lspdlog -lfmt -lpthread \
  -o target/review/review-cases
