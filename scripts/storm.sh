#!/usr/bin/env bash
# make storm: the demo's fleet under load and failures that overlap: an outage
# of the key-value service, an instance frozen (SIGSTOP) and thawed, another
# killed (SIGKILL) and replaced, an endpoint that fails, and one that closes
# connections after it has read the request. Exits with 1 if callers and
# endpoints disagree on what ran, or if engines hold memory afterwards.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap clean_up EXIT INT TERM

FROZEN=2
KILLED=1

# streams NUMBER: what an engine still holds.
streams() { curl -sf "http://127.0.0.1:${PORTS}1$1/v1/streams"; }

start_fleet
echo "event=started deployment=$DEPLOYMENT"
start load bin/standin load -plan "$RUN_DIR/storm.json" -instances "$(addresses 5 "${INSTANCES[@]}")" \
  -endpoints "$(addresses 1 "${ENGINES[@]}"),$(addresses 2 "${SERVICES[@]}")"

sleep 4
fault 01 '{"kind":"outage"}'
echo "event=outage service=key-value"
sleep 2
kill -STOP "${PIDS[instance-$FROZEN]}"
echo "event=frozen instance=$FROZEN"
fault 12 '{"kind":"fail","count":20}'
fault 21 '{"kind":"close","count":5}'
sleep 3
kill -KILL "${PIDS[instance-$KILLED]}"
wait "${PIDS[instance-$KILLED]}" 2>/dev/null || true
echo "event=killed instance=$KILLED"
sleep 2
clear_faults 01
kill -CONT "${PIDS[instance-$FROZEN]}"
echo "event=thawed instance=$FROZEN"
start "instance-$KILLED" bin/peridotd serve -settings "$RUN_DIR/instance-$KILLED.json"
echo "event=replaced instance=$KILLED"
sleep 3
fault 01 '{"kind":"outage"}'
kill -STOP "${PIDS[instance-$FROZEN]}"
sleep 2
clear_faults 01
kill -CONT "${PIDS[instance-$FROZEN]}"
echo "event=thawed instance=$FROZEN"

load_status=0
wait "${PIDS[load]}" || load_status=$?
unset "PIDS[load]"
cat "$RUN_DIR/load.log"
for i in "${ENGINES[@]}"; do
  tries=120
  until [ "$(streams "$i")" = "[]" ]; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "engine $i still holds $(streams "$i")"
    sleep 0.5
  done
done
echo "event=memory engines=${#ENGINES[@]} held=0"
[ "$load_status" -eq 0 ] || fail "the load ended with $load_status"
echo "event=storm result=passed"
