#!/usr/bin/env bash
# make up: the demo's processes in the foreground until interrupted, for any
# client to be pointed at.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap clean_up EXIT INT TERM

start_fleet
key=$(json load.json keys.0)
profile=$(json config.json profiles.0.name)
echo "event=up deployment=$DEPLOYMENT key_value=127.0.0.1:${PORTS}01 members=127.0.0.1:${PORTS}02"
for i in "${ENGINES[@]}"; do echo "event=up engine=$(json fleet.json "endpoints.$((i - 1)).id") address=127.0.0.1:${PORTS}1$i"; done
for i in "${SERVICES[@]}"; do echo "event=up service=$(json fleet.json "endpoints.$((i + 3)).id") address=127.0.0.1:${PORTS}2$i"; done
for i in "${INSTANCES[@]}"; do
  echo "event=up instance=$(json "instance-$i.json" instance_id) callers=127.0.0.1:${PORTS}5$i peers=127.0.0.1:${PORTS}6$i log=$RUN_DIR/instance-$i.log"
done
echo "event=up customer_key=$key profiles=http://127.0.0.1:${PORTS}51/v1/models"
cat <<END

curl -N http://127.0.0.1:${PORTS}51/v1/chat/completions -H 'Authorization: Bearer $key' \\
  -d '{"model":"$profile","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Where is my bag?"}]}'

Ctrl-C stops all of it.
END
while sleep 1; do
  for name in "${!PIDS[@]}"; do
    kill -0 "${PIDS[$name]}" 2>/dev/null || echo "event=ended process=$name"
    kill -0 "${PIDS[$name]}" 2>/dev/null || unset "PIDS[$name]"
  done
done
