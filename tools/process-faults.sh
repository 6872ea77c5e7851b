#!/usr/bin/env bash
# process-faults.sh BUILD [FAULT...]: each fault against a fresh deployment
# under load; fails where a promise that check-counts knows is broken.
set -u
cd "$(dirname "$0")/.." || exit 1
. tools/deployment.sh
EXAMPLE_FOLDER=${EXAMPLE_FOLDER:-examples/notbandet}
FAULTS=(leader-killed control-frozen agent-killed entry-killed disk-lost second-loss-after-repair racing-operators)
LOAD_SECONDS=12

# new_leader OLD: true where replicas other than OLD follow another leader.
new_leader() {
  local n
  for n in $(seq $CONTROLS); do
    [ "$n" = "$1" ] && continue
    "$BUILD/dragonflyctl" --json --tries=1 "--control=$NET.2.$n:7001" status 2>/dev/null |
      grep -q "\"leader\":[1-9]" || return 1
    "$BUILD/dragonflyctl" --json --tries=1 "--control=$NET.2.$n:7001" status 2>/dev/null |
      grep -q "\"leader\":$1[,}]" && return 1
  done
  return 0
}

version_of() { ctl lists get "$1" | sed -n 's/.*"version":\([0-9]*\).*/\1/p'; }

# Each fault runs two seconds into the load; it may fail by itself.
leader-killed() {
  local old name
  old=$(leader)
  name=control-$old
  end "$name" KILL
  await "another replica leads" new_leader "$old" || return 1
  put_list plans "$RUN/plans.json" || { echo "FAILED: no list change after the leader's end"; return 1; }
  start "$name"
}

control-frozen() {
  local old name
  old=$(leader)
  name=control-$old
  kill -STOP "${PIDS[$name]}"
  await "another replica leads" new_leader "$old" || return 1
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

# Refused until the leader has seen the new store.
add_learner() { ctl --id="$1" "--address=$NET.2.$1:7000" members add >/dev/null 2>>"$RUN/ctl.log"; }
promote() { ctl --id="$1" members promote >/dev/null 2>>"$RUN/ctl.log"; }

# A repaired replica must carry its vote: another one is lost right afterwards.
second-loss-after-repair() {
  local before
  disk-lost || return 1
  await "the replica is a learner" add_learner 3 || return 1
  await "the learner is promoted" promote 3 || return 1
  before=$(version_of plans)
  end control-1 KILL
  put_list plans "$RUN/plans.json" || { echo "FAILED: no list change after the second loss"; return 1; }
  [ "$(version_of plans)" = $((before + 1)) ] || { echo "FAILED: the list reverted"; return 1; }
  start control-1
  await_ready control-1
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
  start_load "$fault" $LOAD_SECONDS
  sleep 2
  "$fault" || failed=1
  # An entry that is killed loses answers; check-counts judges the outcome.
  await_load
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
