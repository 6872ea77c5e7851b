#!/usr/bin/env bash
# all-faults.sh BUILD [EXAMPLE]: floods, a failing upstream and killed processes
# one after the other under one load; prints what the other work keeps, and
# fails where a count is wrong or a promise that check-counts knows is broken.
set -u
cd "$(dirname "$0")/.." || exit 1
. tools/deployment.sh
LOAD_SECONDS=44
STEP_SECONDS=6   # from one fault to the next
FAULT_SECONDS=4  # how long a flood or a failing upstream lasts
DOWN_SECONDS=2   # how long a killed process stays away
FLOOD_FACTOR=10
FLOODS=()

# flood RUN_NAME KIND: ten times the load of a kind, by its last customer.
flood() {
  local row rate customer
  row=$(grep "\"$2\"" "$RUN/load.json" | tail -1)
  customer=$(sed 's/.*"customer": "\([^"]*\)".*/\1/' <<<"$row")
  rate=$(sed 's/.*"rate_per_second": \([0-9]*\).*/\1/' <<<"$row")
  rate=$((rate * FLOOD_FACTOR * $(grep -c "\"$2\"" "$RUN/load.json")))
  FLOODS+=("$RUN/$1-report.json")
  echo "== flood of $rate $2 a second by $customer"
  (cd "$RUN" && "$BUILD/dragonfly-load" "--entries=$(entry_addresses)" --customer="$customer" \
    --kind="$2" --rate=$rate --seconds=$FAULT_SECONDS --run="$1" "--report=$RUN/$1-report.json") || true
}

# steer UPSTREAM BODY: changes how a stand-in behaves.
steer() {
  local status
  status=$(http_status "$NET.3.$1:9000" \
    "PUT /stand-in HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${#2}\r\n\r\n$2")
  [ "$status" = 200 ] || { echo "FAILED: steering upstream-$1: $status"; return 1; }
}

# kill_for NAME: kills a process and starts it again.
kill_for() {
  echo "== $1 is killed and started again"
  end "$1" KILL
  sleep $DOWN_SECONDS
  start "$1"
  await_ready "$1"
}

# in_turn SECOND COMMAND...: runs the command at that second of the load.
in_turn() {
  local at=$1
  shift
  while [ $((SECONDS - BEGAN)) -lt "$at" ]; do sleep 0.1; done
  "$@" || failed=1
}

prepare "${1:-build}" "${2:-examples/notbandet}"
failed=0
bring_up || { echo "all-faults: FAILED to start"; exit 1; }
urgent=$(sed -n 's/.*"kind": "\([^"]*\)".*/\1/p' "$RUN/load.json" | sed -n 1p)
heavy=$(sed -n 's/.*"kind": "\([^"]*\)".*/\1/p' "$RUN/load.json" | sed -n 2p)
start_load all $LOAD_SECONDS
BEGAN=$SECONDS
in_turn 3 flood urgent "$urgent"
in_turn $((3 + STEP_SECONDS)) flood heavy "$heavy"
echo "== upstream-1 fails everything for $FAULT_SECONDS s"
in_turn $((3 + 2 * STEP_SECONDS)) steer 1 '{"fail":true}'
in_turn $((3 + 2 * STEP_SECONDS + FAULT_SECONDS)) steer 1 '{"fail":false}'
in_turn $((3 + 3 * STEP_SECONDS)) kill_for agent-2
in_turn $((3 + 4 * STEP_SECONDS)) kill_for entry-2
in_turn $((3 + 5 * STEP_SECONDS)) kill_for "control-$(leader)"
echo "== the load without the floods"
await_load
cat "$RUN/all-load.out"
echo "== counts, floods included"
"$BUILD/check-counts" "--entry=$RUN/entry-1.json" "--upstreams=$(upstream_addresses)" \
  "--reports=$RUN/probe-report.json,$RUN/all-report.json,$(IFS=,; echo "${FLOODS[*]}")" || failed=1
stop_all || failed=1
[ $failed = 0 ] && echo "all-faults: OK" || echo "all-faults: FAILED"
exit $failed
