#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -pthread -o target/review-2-standin \
  review/standin-2/standin.cpp
