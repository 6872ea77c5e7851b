#!/usr/bin/env bash
# rolling-restart.sh BUILD [EXAMPLE]: restarts each daemon in turn under load;
# fails where any request failed or a count is wrong.
set -u
cd "$(dirname "$0")/.." || exit 1
. tools/deployment.sh
prepare "${1:-build}" "${2:-examples/notbandet}"
failed=0
bring_up || { echo "rolling-restart: FAILED to start"; exit 1; }
start_load rolling 600
for name in $(seq -f "entry-%g" $ENTRIES) $(seq -f "agent-%g" $AGENTS) $(seq -f "control-%g" $CONTROLS); do
  stop "$name" || failed=1
  start "$name"
  await_ready "$name" || failed=1
  echo "restarted $name"
done
stop load || failed=1
check_counts rolling --nothing_failed || failed=1
stop_all || failed=1
[ $failed = 0 ] && echo "rolling-restart: OK" || echo "rolling-restart: FAILED"
exit $failed
