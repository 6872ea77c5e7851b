# Functions that start, stop and watch a local deployment; sourced by demo.sh,
# rolling-restart.sh and process-faults.sh. Every process that is started here
# is ended here, by its process id.
ENTRIES=3
CONTROLS=3
AGENTS=11
AGENTS_PER_RACK=3
READY_POLLS=300     # times 0.1 s
STOP_POLLS=400      # times 0.1 s
# First two numbers of each address; another value lets deployments run side by
# side on one machine.
NET=${DRAGONFLY_NETWORK:-127.0}
TASKS_PER_SECOND=5  # per customer, where tasks carry the kinds with a deadline
TASK_MS=500
declare -A PIDS=()

# prepare BUILD EXAMPLE: makes a fresh folder with the settings of each process.
prepare() {
  BUILD=$(cd "$1" && pwd)
  EXAMPLE=$(cd "$2" && pwd)
  RUN=$(mktemp -d "$BUILD/deployment.XXXXXX")
  cp "$EXAMPLE"/*.json "$RUN/"
  rm "$RUN"/{entry,control,agent}-1.json
  local n zone
  for n in $(seq $ENTRIES); do
    sed -e "s/entry-1/entry-$n/; s/az-a/az-$(zone_of "$n")/; s/127\.0\.1\.1/127.0.1.$n/" \
      "$EXAMPLE/entry-1.json" >"$RUN/entry-$n.json"
  done
  for n in $(seq $CONTROLS); do
    sed -e "s/control-1/control-$n/g; s/az-a/az-$(zone_of "$n")/; s/\"replica\": 1/\"replica\": $n/" \
      "$EXAMPLE/control-1.json" >"$RUN/control-$n.json"
  done
  for n in $(seq $AGENTS); do
    zone=$(zone_of $(((n - 1) / AGENTS_PER_RACK + 1)))
    sed -e "s/agent-1/agent-$n/; s/az-a/az-$zone/; s/rack-a/rack-$zone/; s/127\.0\.3\.1:/127.0.3.$n:/g" \
      "$EXAMPLE/agent-1.json" >"$RUN/agent-$n.json"
  done
  [ "${DEADLINE_CARRIER:-request}" = task ] && carry_by_tasks
  sed -i "s/\"127\.0\./\"$NET./g" "$RUN"/*.json
  if [ -n "$(http_status "$NET.1.1:8080")$(http_status "$NET.2.1:7001")" ]; then
    echo "FAILED: a deployment on $NET.x.y runs already"
    exit 1
  fi
  trap end_all EXIT
  trap 'exit 1' INT TERM
}

# carry_by_tasks: lets tasks carry the kinds with a deadline, at a low rate.
carry_by_tasks() {
  local kind need='"need": {"processors": 1, "memory_mib": 256}, "expected_run_time_ms": 500'
  kind=$(sed -n 's/.*"name": "\([^"]*\)", "urgency": "deadline".*/\1/p' "$RUN/deployment.json")
  sed -i "/\"urgency\": \"deadline\"/s/\"carrier\": \"request\"/\"carrier\": \"task\", $need/" "$RUN/deployment.json"
  sed -i "/\"kind\": \"$kind\"/s/\"rate_per_second\": [0-9]*/\"rate_per_second\": $TASKS_PER_SECOND/" "$RUN/load.json"
}

zone_of() { printf '%s' "abcd" | cut -c"$1"; }
join_by() { local IFS=$1; shift; printf '%s' "$*"; }
entry_addresses() { join_by , $(seq -f "$NET.1.%g:8080" $ENTRIES); }
upstream_addresses() { join_by , $(seq -f "$NET.3.%g:9000" $AGENTS); }

# start NAME: starts one process, named after its settings.
start() {
  local name=$1 command
  case $name in
  upstream-*) command=("$BUILD/stand-in-upstream" "--listen=$NET.3.${name#upstream-}:9000"
    "--seed=${name#upstream-}" "--service_ms=${SERVICE_MS:-5}" "--task_ms=$TASK_MS") ;;
  *) command=("$BUILD/dragonfly-${name%-*}" "--settings=$RUN/$name.json") ;;
  esac
  (cd "$RUN" && exec "${command[@]}" >>"$RUN/$name.log" 2>&1) &
  PIDS[$name]=$!
}

# stop NAME: stops gracefully; fails where the exit code is not 0.
stop() {
  local name=$1 code=0
  kill -TERM "${PIDS[$name]}" 2>/dev/null
  await_end "$name" || { echo "FAILED: $name did not stop"; end "$name" KILL; return 1; }
  wait "${PIDS[$name]}" || code=$?
  unset "PIDS[$name]"
  [ "$code" = 0 ] || { echo "FAILED: $name exited with $code"; return 1; }
}

await_end() {
  local poll
  for poll in $(seq $STOP_POLLS); do
    kill -0 "${PIDS[$1]}" 2>/dev/null || return 0
    sleep 0.1
  done
  return 1
}

# end NAME SIGNAL: ends at once, whatever the exit code.
end() {
  kill "-$2" "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}

end_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null
    end "$name" KILL
  done
}

# http_status ADDRESS [REQUEST]: prints the status of one HTTP exchange.
http_status() {
  local request=${2:-"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"}
  (
    exec 9<>"/dev/tcp/${1%:*}/${1#*:}"
    printf '%b' "$request" >&9
    read -r -t 5 _ status _ <&9
    printf '%s' "$status"
  ) 2>/dev/null
}

# await DESCRIPTION COMMAND...: polls until the command succeeds.
await() {
  local what=$1 poll
  shift
  for poll in $(seq $READY_POLLS); do
    "$@" && return 0
    sleep 0.1
  done
  echo "FAILED: $what within $((READY_POLLS / 10)) s"
  return 1
}

is_ready() { [ "$(http_status "$1")" = 200 ]; }
ctl() {
  "$BUILD/dragonflyctl" --json "--control=$NET.2.1:7001,$NET.2.2:7001,$NET.2.3:7001" "$@"
}

# follows_leader N: true where replica N itself knows a leader.
follows_leader() {
  "$BUILD/dragonflyctl" --json --tries=1 "--control=$NET.2.$1:7001" status 2>/dev/null |
    grep -q '"leader":[1-9]'
}

# leader: prints the replica that leads, as the first one that answers knows it.
leader() { ctl status | sed -n 's/.*"leader":\([0-9]*\).*/\1/p'; }

# ready_address NAME: prints where a process answers /readyz.
ready_address() {
  case $1 in
  entry-*) echo "$NET.1.${1#entry-}:8080" ;;
  agent-*) echo "$NET.3.${1#agent-}:7101" ;;
  esac
}

await_ready() {
  case $1 in
  control-*) await "$1 follows a leader" follows_leader "${1#control-}" ;;
  *) await "$1 is ready" is_ready "$(ready_address "$1")" ;;
  esac
}

# put_list NAME FILE: replaces the present version of a list.
put_list() {
  local version
  version=$(ctl lists get "$1" | sed -n 's/.*"version":\([0-9]*\).*/\1/p')
  ctl "--version=${version:?}" lists put "$1" "$2" >/dev/null 2>>"$RUN/ctl.log"
}

customers() { sed -n 's/.*"customer": "\([^"]*\)".*/\1/p' "$RUN/purchases.json"; }
urgent_kind() { sed -n 's/.*"name": "\([^"]*\)", "urgency": "latency-critical".*/\1/p' "$RUN/deployment.json" | head -1; }

# is_served ENTRY CUSTOMER: sends one urgent request.
is_served() {
  PROBE=$((PROBE + 1))
  [ "$(http_status "$1" "POST /v1/requests HTTP/1.1\r\nHost: x\r\nConnection: close\r\nDragonfly-Customer: $2\r\nDragonfly-Kind: $(urgent_kind)\r\nIdempotency-Key: probe-$PROBE\r\nContent-Length: 2\r\n\r\n{}")" = 200 ]
}

# await_served: waits until every entry serves every customer, and writes the
# probes that completed to probe-report.json.
await_served() {
  local entry customer rows=
  PROBE=0
  for customer in $(customers); do
    for entry in $(seq -f "$NET.1.%g:8080" $ENTRIES); do
      await "$entry serves $customer" is_served "$entry" "$customer" || return 1
    done
    rows="$rows${rows:+,}{\"customer\":\"$customer\",\"kind\":\"$(urgent_kind)\",\"sent\":$ENTRIES,\"completed\":$ENTRIES}"
  done
  printf '{"rows":[%s]}\n' "$rows" >"$RUN/probe-report.json"
}

# bring_up: starts everything and puts both lists in force.
bring_up() {
  local n
  for n in $(seq $CONTROLS); do start "control-$n"; done
  for n in $(seq $AGENTS); do start "upstream-$n"; start "agent-$n"; done
  for n in $(seq $ENTRIES); do start "entry-$n"; done
  await_ready control-1 || return 1
  put_list plans "$RUN/plans.json" || { echo "FAILED: putting the plans"; return 1; }
  put_list purchases "$RUN/purchases.json" || { echo "FAILED: putting the purchases"; return 1; }
  for n in $(seq $AGENTS); do await_ready "agent-$n" || return 1; done
  for n in $(seq $ENTRIES); do await_ready "entry-$n" || return 1; done
  await_served
}

# start_load RUN_NAME [SECONDS]: starts the example's load in the background, as
# process "load"; it writes a report when it ends or is stopped.
start_load() {
  local name=$1 seconds=${2:-}
  sed -e "s/\"seconds\": [0-9]*/\"seconds\": ${seconds:-10}/" "$RUN/load.json" >"$RUN/$name-load.json"
  (cd "$RUN" && exec "$BUILD/dragonfly-load" "--entries=$(entry_addresses)" \
    "--load=$RUN/$name-load.json" "--run=$name" "--report=$RUN/$name-report.json" \
    >"$RUN/$name-load.out" 2>&1) &
  PIDS[load]=$!
}

# await_load: waits for the load's own end and returns its exit code.
await_load() {
  local code=0
  wait "${PIDS[load]}" || code=$?
  unset "PIDS[load]"
  return $code
}

# check_counts RUN_NAME [FLAG...]: compares completions, counts and runs.
check_counts() {
  local name=$1
  shift
  "$BUILD/check-counts" "--entry=$RUN/entry-1.json" "--upstreams=$(upstream_addresses)" \
    "--reports=$RUN/probe-report.json,$RUN/$name-report.json" "$@"
}

# stop_all: stops everything gracefully, callers' side first.
stop_all() {
  local n failed=0
  for n in $(seq $ENTRIES); do stop "entry-$n" || failed=1; done
  for n in $(seq $AGENTS); do stop "agent-$n" || failed=1; done
  for n in $(seq $CONTROLS); do stop "control-$n" || failed=1; done
  for n in $(seq $AGENTS); do stop "upstream-$n" || failed=1; done
  return $failed
}
