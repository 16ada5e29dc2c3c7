#!/usr/bin/env bash
# make roll: the demo's fleet under load while every instance is stopped
# (SIGTERM) and replaced, one after another: the first on its own, the second
# during an outage of the key-value service, the third with a second signal
# while it stops. Exits with 1 if a connection broke, a caller was turned away
# by an instance that was stopping or starting, an answer was lost, cut off or
# given twice, or an instance ended with a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap clean_up EXIT INT TERM

# stop_instance NUMBER [twice|outage]: what an operator's tool does; returns when
# it has ended. In an outage it may end with 1 and say that ends of claims are not
# recorded: their callers have their answers, repeats are told outcome_unknown.
stop_instance() {
  local name=instance-$1 id status=0 began=$SECONDS
  id=$(json "$name.json" instance_id)
  member "$id" leaving
  kill -TERM "${PIDS[$name]}"
  if [ "${2:-}" = twice ]; then
    sleep 1.5
    kill -TERM "${PIDS[$name]}"
  fi
  await_end "$name" 130 || fail "$name is still stopping"
  wait "${PIDS[$name]}" || status=$?
  if [ "${2:-}" = outage ] && grep -q 'claims without a recorded end' "$RUN_DIR/$name.log"; then
    [ "$status" -eq 1 ] || fail "$name ended with $status"
  else
    [ "$status" -eq 0 ] || fail "$name ended with $status"
  fi
  echo "event=stopped instance=$id status=$status seconds=$((SECONDS - began))"
}

# replace NUMBER: starts it again and waits until the balancer may use it.
replace() {
  local name=instance-$1 tries=200
  start "$name" bin/peridotd serve -settings "$RUN_DIR/$name.json"
  member "$(json "$name.json" instance_id)" live
  until curl -sf "http://127.0.0.1:${PORTS}5$1/health/ready" >/dev/null; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "$name does not become ready"
    sleep 0.1
  done
  echo "event=replaced instance=$1"
}

start_fleet
echo "event=started deployment=$DEPLOYMENT"
start load bin/standin load -plan "$RUN_DIR/load.json" -instances "$(addresses 5 "${INSTANCES[@]}")" \
  -endpoints "$(addresses 1 "${ENGINES[@]}"),$(addresses 2 "${SERVICES[@]}")"

sleep 4
stop_instance 1
replace 1
sleep 1
fault 01 '{"kind":"outage"}'
echo "event=outage service=key-value"
sleep 1
stop_instance 2 outage
clear_faults 01
echo "event=outage_over service=key-value"
replace 2
sleep 1
kill -0 "${PIDS[load]}" 2>/dev/null || fail "the load ended before the last stop"
stop_instance 3 twice
replace 3

load_status=0
wait "${PIDS[load]}" || load_status=$?
unset "PIDS[load]"
cat "$RUN_DIR/load.log"
[ "$load_status" -eq 0 ] || fail "the load ended with $load_status"
grep -q 'connections_broken=0' "$RUN_DIR/load.log" || fail "a planned stop broke connections"
if grep -E 'reason="?(\w+ )?(stopping|not_ready|no_endpoint)' "$RUN_DIR/load.log"; then
  fail "a caller was turned away that another instance could take"
fi
echo "event=roll result=passed"
