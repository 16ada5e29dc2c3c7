# Starts a small fleet from a deployment's example files. demo.sh and up.sh
# source this file; it runs nothing by itself.
#
# DEPLOYMENT (claims or transcription) picks the files under examples/, PORTS
# (three digits, default 200) the ports of all processes.

DEPLOYMENT=${DEPLOYMENT:-claims}
PORTS=${PORTS:-200}
RUN_DIR=$(mktemp -d)
declare -A PIDS=()
STATUS=0

fail() {
  echo "event=failed reason=\"$*\"" >&2
  for log in "$RUN_DIR"/*.log; do
    [ -s "$log" ] && tail -n 3 "$log" | sed "s|^|$(basename "$log" .log): |" >&2
  done
  exit 1
}

# start NAME COMMAND...: runs a command in the background and keeps its id.
start() {
  local name=$1
  shift
  "$@" >"$RUN_DIR/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop_all ends every process that start began and that still runs, by its id.
stop_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!PIDS[@]}"; do
    await_end "$name" 15 || kill -KILL "${PIDS[$name]}" 2>/dev/null || true
    wait "${PIDS[$name]}" 2>/dev/null || true
  done
  PIDS=()
}

clean_up() {
  STATUS=$?
  trap - EXIT INT TERM
  stop_all
  [ -n "${KEEP:-}" ] && echo "logs=$RUN_DIR" || rm -rf "$RUN_DIR"
  exit "$STATUS"
}

# await_end NAME SECONDS: waits until a process has ended.
await_end() {
  local tries=$(($2 * 20))
  while kill -0 "${PIDS[$1]}" 2>/dev/null; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

# await_listening PORT NAME: waits until a process answers on its port.
await_listening() {
  local tries=200
  until (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; do
    kill -0 "${PIDS[$2]}" 2>/dev/null || fail "$2 ended while it started"
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "$2 does not listen on port $1"
    sleep 0.05
  done
}

# member NAME STATE: what the platform's membership list says of a member.
member() {
  curl -sf -X POST "http://127.0.0.1:${PORTS}02/members/state" -d "{\"id\":\"$1\",\"state\":\"$2\"}" >/dev/null ||
    fail "the membership list does not take $1 $2"
}

# fault PORT JSON, clear PORT: switch faults of a stand-in.
fault() { curl -sf -X POST "http://127.0.0.1:$PORTS$1/faults" -d "$2" >/dev/null || fail "no fault on $1"; }
clear_faults() { curl -sf -X DELETE "http://127.0.0.1:$PORTS$1/faults" >/dev/null || fail "faults stay on $1"; }

# prepare copies the example files, with the ports that were asked for.
prepare() {
  local file
  [ -d "examples/$DEPLOYMENT" ] || fail "no deployment examples/$DEPLOYMENT"
  for file in examples/"$DEPLOYMENT"/*.json; do
    sed "s/127\.0\.0\.1:200/127.0.0.1:$PORTS/g" "$file" >"$RUN_DIR/$(basename "$file")"
  done
  SERVICE_ENGINE=$(json fleet.json 'endpoints.0.service')
  SERVICE_PLAIN=$(json fleet.json 'endpoints.4.service')
}

# json FILE PATH: one value of a JSON file, by the path that the stand-in prints.
json() { bin/standin json "$RUN_DIR/$1" "$2"; }

start_platform() {
  start key-value bin/standin key-value -address "127.0.0.1:${PORTS}01"
  start members bin/standin members -address "127.0.0.1:${PORTS}02" -fleet "$RUN_DIR/fleet.json"
  await_listening "${PORTS}01" key-value
  await_listening "${PORTS}02" members
}

ENGINES=(1 2 3 4)
SERVICES=(1 2)
INSTANCES=(1 2 3)

start_endpoints() {
  local i
  for i in "${ENGINES[@]}"; do
    start "engine-$i" bin/standin engine -name "$SERVICE_ENGINE-$i" -address "127.0.0.1:${PORTS}1$i" \
      -kv-tokens 400000 -prefill-per-s 200000 -decode-per-s 100 -seed "$i"
  done
  for i in "${SERVICES[@]}"; do
    start "service-$i" bin/standin service -name "$SERVICE_PLAIN-$i" -address "127.0.0.1:${PORTS}2$i"
  done
  for i in "${ENGINES[@]}"; do await_listening "${PORTS}1$i" "engine-$i"; done
  for i in "${SERVICES[@]}"; do await_listening "${PORTS}2$i" "service-$i"; done
}

start_instances() {
  local i
  for i in "${INSTANCES[@]}"; do
    start "instance-$i" bin/peridotd serve -settings "$RUN_DIR/instance-$i.json"
  done
  for i in "${INSTANCES[@]}"; do await_listening "${PORTS}5$i" "instance-$i"; done
}

# configure has an operator put the deployment's configuration in force on every
# instance; callers are turned away until then.
configure() {
  bin/peridotctl apply "$RUN_DIR/config.json" --wait -who "make" -servers "$(addresses 6 "${INSTANCES[@]}")" \
    >"$RUN_DIR/apply.log" 2>&1 || fail "the configuration was not accepted"
}

# addresses DIGIT NUMBER...: addresses separated by commas.
addresses() {
  local digit=$1 list=
  shift
  for i in "$@"; do list+=",127.0.0.1:$PORTS$digit$i"; done
  echo "${list#,}"
}

start_fleet() {
  prepare
  start_platform
  start_endpoints
  start_instances
  configure
}
