#!/usr/bin/env bash
# process-faults.sh BUILD [FAULT...]: each fault against a fresh deployment
# under load; fails where a promise that check-counts knows is broken.
set -u
cd "$(dirname "$0")/.." || exit 1
. tools/deployment.sh
EXAMPLE_FOLDER=${EXAMPLE_FOLDER:-examples/notbandet}
FAULTS=(leader-killed control-frozen agent-killed entry-killed disk-lost racing-operators)
LOAD_SECONDS=12

leader() { ctl --tries=5 status | sed -n 's/.*"leader":\([0-9]*\).*/\1/p'; }
version_of() { ctl lists get "$1" | sed -n 's/.*"version":\([0-9]*\).*/\1/p'; }

# Each fault runs two seconds into the load; it may fail by itself.
leader-killed() {
  local name
  name=control-$(leader)
  end "$name" KILL
  await "another replica leads" ctl_status || return 1
  put_list plans "$RUN/plans.json" || { echo "FAILED: no list change after the leader's end"; return 1; }
  start "$name"
}

control-frozen() {
  local name
  name=control-$(leader)
  kill -STOP "${PIDS[$name]}"
  await "another replica leads" ctl_status || return 1
  put_list plans "$RUN/plans.json" || { echo "FAILED: no list change while the leader is frozen"; return 1; }
  local before
  before=$(version_of plans)
  kill -CONT "${PIDS[$name]}"
  sleep 2
  [ "$(version_of plans)" = "$before" ] || { echo "FAILED: the list reverted"; return 1; }
}

agent-killed() {
  end agent-1 KILL
  sleep 2
  start agent-1
  await_ready agent-1
}

entry-killed() {
  end entry-1 KILL
  sleep 2
  start entry-1
  await_ready entry-1
}

disk-lost() {
  local before name=control-3
  before=$(version_of plans)
  end "$name" KILL
  rm -r "${RUN:?}/control-3-data"
  sed -i 's/"replica": 3/"replica": 3, "first_member": false/' "$RUN/control-3.json"
  start "$name"
  put_list plans "$RUN/plans.json" || { echo "FAILED: no list change with a lost disk"; return 1; }
  [ "$(version_of plans)" -gt "$before" ] || { echo "FAILED: the list reverted"; return 1; }
}

# Operators race with the same version: exactly one change is accepted.
racing-operators() {
  local version racer code winners=0 racers=()
  version=$(version_of plans)
  for racer in 1 2 3 4 5; do
    ctl "--version=$version" lists put plans "$RUN/plans.json" >/dev/null 2>>"$RUN/ctl.log" &
    racers+=($!)
  done
  for racer in "${racers[@]}"; do
    code=0
    wait "$racer" || code=$?
    case $code in
    0) winners=$((winners + 1)) ;;
    4) ;;
    *) echo "FAILED: a racer exited with $code"; return 1 ;;
    esac
  done
  [ $winners = 1 ] || { echo "FAILED: $winners winners"; return 1; }
  [ "$(version_of plans)" = $((version + 1)) ] || { echo "FAILED: not one version further"; return 1; }
}

run_fault() {
  local fault=$1 failed=0
  prepare "$BUILD_FOLDER" "$EXAMPLE_FOLDER"
  bring_up || return 1
  load "$fault" --seconds=$LOAD_SECONDS >"$RUN/load.out" &
  PIDS[load]=$!
  sleep 2
  "$fault" || failed=1
  # An entry that is killed loses answers; check-counts judges the outcome.
  wait "${PIDS[load]}"
  unset "PIDS[load]"
  check_counts "$fault" || failed=1
  stop_all || failed=1
  return $failed
}

BUILD_FOLDER=${1:-build}
shift
[ $# -gt 0 ] && FAULTS=("$@")
result=0
for fault in "${FAULTS[@]}"; do
  echo "== $fault"
  if (run_fault "$fault"); then echo "$fault: OK"; else echo "$fault: FAILED"; result=1; fi
done
exit $result
