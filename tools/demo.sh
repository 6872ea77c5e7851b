#!/usr/bin/env bash
# demo.sh BUILD [EXAMPLE]: runs a whole local deployment under a mixed load,
# prints outcomes, quantiles and counts, and fails on any mismatch.
set -u
cd "$(dirname "$0")/.." || exit 1
. tools/deployment.sh
prepare "${1:-build}" "${2:-examples/notbandet}"
failed=0
echo "deployment in $RUN"
bring_up || { echo "demo: FAILED to start"; exit 1; }
echo "started $CONTROLS control, $ENTRIES entry, $AGENTS agent processes; both lists are in force"
start_load demo
await_load || { echo "FAILED: the load lost answers"; failed=1; }
check_counts demo || failed=1
stop_all || failed=1
if [ $failed = 0 ]; then
  echo "demo: OK, counts equal completions and every process stopped with 0"
else
  echo "demo: FAILED"
fi
exit $failed
