#!/usr/bin/env bash
# make demo: starts a small fleet over two data centres, sends a seeded mix of
# prompts from 1k to 1M tokens and of calls that must not run twice, kills one
# instance and stops another gracefully midway, and prints the figures. Exits
# with 1 if a request was lost, ran twice or was cut off. Stops all it started.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap clean_up EXIT INT TERM

KILLED=1
DRAINED=2

# refusals NUMBER: what an instance answered, from its own counters.
refusals() {
  curl -sf "http://127.0.0.1:${PORTS}6$1/metrics" | sed -n 's/^peridotpath_\(results\|retries\)_total{\(.*\)} \([1-9][0-9]*\)$/event=counter instance='"$1"' of=\1 \2 count=\3/p' | tr -d '"' | sed 's/,reason/ reason/'
}

start_fleet
echo "event=started deployment=$DEPLOYMENT engines=${#ENGINES[@]} services=${#SERVICES[@]} instances=${#INSTANCES[@]}"
start load bin/standin load -plan "$RUN_DIR/load.json" -instances "$(addresses 5 "${INSTANCES[@]}")" \
  -endpoints "$(addresses 1 "${ENGINES[@]}"),$(addresses 2 "${SERVICES[@]}")"

# The load sends for about half a minute; both stops fall well inside.
sleep 10
killed=$(json "instance-$KILLED.json" instance_id)
kill -KILL "${PIDS[instance-$KILLED]}"
wait "${PIDS[instance-$KILLED]}" 2>/dev/null || true
unset "PIDS[instance-$KILLED]"
echo "event=killed instance=$killed"
member "$killed" gone
sleep 8
drained=$(json "instance-$DRAINED.json" instance_id)
refusals "$DRAINED" >"$RUN_DIR/counters"
member "$drained" leaving
kill -TERM "${PIDS[instance-$DRAINED]}"
echo "event=draining instance=$drained"

load_status=0
wait "${PIDS[load]}" || load_status=$?
unset "PIDS[load]"
drain_status=0
await_end "instance-$DRAINED" 150 || fail "instance $drained is still stopping"
wait "${PIDS[instance-$DRAINED]}" || drain_status=$?
unset "PIDS[instance-$DRAINED]"
echo "event=drained instance=$drained status=$drain_status"
member "$drained" gone

cat "$RUN_DIR/load.log" "$RUN_DIR/counters"
refusals 3
[ "$drain_status" -eq 0 ] || fail "instance $drained ended with $drain_status"
[ "$load_status" -eq 0 ] || fail "the load ended with $load_status"
echo "event=demo result=passed"
