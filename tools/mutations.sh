#!/usr/bin/env bash
# Applies each defect of tests/mutations/ to a scratch copy of the tree and
# prints the test that catches it. Fails where one is caught by none.
# Usage: tools/mutations.sh [PATCH...]
# A patch names the promise it breaks ("Promise: ...") and the test programs to
# run ("Programs: ..."), which are stopped at the first failure.
set -u
cd "$(dirname "$0")/.." || exit 1
jobs=${JOBS:-$(nproc)}
limit_seconds=300
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -c --others --exclude-standard -z |
  tar --null --files-from=- -cf - 2>/dev/null | tar -xf - -C "$scratch"
if [ $# -eq 0 ]; then set -- tests/mutations/*.patch; fi
patches=("$@")
export CCACHE_BASEDIR=$scratch CCACHE_NOHASHDIR=1
cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null || exit 1
survived=0
for patch in "${patches[@]}"; do
  name=$(basename "$patch" .patch)
  promise=$(sed -n 's/^Promise: //p' "$patch")
  programs=$(sed -n 's/^Programs: //p' "$patch")
  if ! patch -d "$scratch" -p1 -s --no-backup-if-mismatch <"$patch"; then
    echo "NOT APPLIED $name"; survived=1; continue
  fi
  verdict="SURVIVED"
  for program in $programs; do
    if ! cmake --build "$scratch/build" -j "$jobs" --target "$program" >"$scratch/log" 2>&1; then
      verdict="NOT BUILT"; break
    fi
    if ! (cd "$scratch/build" && timeout "$limit_seconds" "./$program" --abort --rng-seed 1) >"$scratch/log" 2>&1; then
      test=$(awk '/^-+$/ {getline; if ($0 !~ /^-+$/) {print; exit}}' "$scratch/log")
      cell=$(grep -m1 -oE '[a-z ]+ x [a-z0-9% -]+, seed [0-9]+' "$scratch/log")
      verdict="caught by $program \"$test\"${cell:+ at$cell}"; break
    fi
  done
  echo "$name ($promise): $verdict"
  case $verdict in caught*) ;; *) survived=1 ;; esac
  patch -d "$scratch" -p1 -s -R --no-backup-if-mismatch <"$patch"
done
exit $survived
