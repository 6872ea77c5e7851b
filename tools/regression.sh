#!/usr/bin/env bash
# Scores the sites that must keep what they have reached, one after another, with
# half of the processors, and prints one row a site.
# Usage: tools/regression.sh FLEETBENCH SYSTEM_FOLDER WHY [SITE...]
set -u
cd "$(dirname "$0")/.." || exit 1
[ $# -ge 3 ] || { sed -n '2,4s/^# //p' "$0"; exit 2; }
bench=$1 folder=$2 why=$3
shift 3
# The oldest sites (sites/) left the list when the large one had passed its gate.
[ $# -gt 0 ] || set -- grown/notband-drift-grown grown/srg-wheelworks-grown \
  further/aromadoza-refill further-grown/aromadoza-refill-grown \
  large/notband-drift-large
jobs=$(( ($(nproc) + 1) / 2 ))
failed=0
for site in "$@"; do
  log=$(mktemp)
  "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "$why: $site" >"$log" 2>&1
  awk -v site="$site" '
    /^score on/ { score = $0; sub(/.*: /, "", score); sub(/,.*/, "", score) }
    # Columns: day, machines, score, worth. Other lines begin with a day as well.
    $1 ~ /^(trouble|scale)-[0-9]+$/ && $2 ~ /^[0-9]+\/[0-9]+$/ && !seen[$1]++ {
      worth += $4; days++
    }
    /^GATE/ { gate = $0 }
    /BROKEN|broken:/ { broken = broken "; " $0 }
    END {
      printf "%-40s score %s  mean worth of %d days with trouble %.3f  %s%s\n",
             site, score, days, days ? worth / days : 0, gate, broken
      exit gate ~ /passed/ ? 0 : 1
    }' "$log" || { failed=1; cat "$log"; }
  rm -f "$log"
done
exit "$failed"
