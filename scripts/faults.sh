#!/usr/bin/env bash
# Runs eight entry instances in four zones on loopback under load and faults for about two
# minutes, and checks the results. Prints errors from the logs if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

RUNNERS_PER_ZONE=12
start_standin --deployment thengola
arguments=()
number=0
for zone in kochi thrissur kozhikode thiruvananthapuram; do
  for i in 0 1; do
    port=$((17100 + 10 * number))
    start_instance "$zone-$i" "$zone" "$port" 2
    arguments+=(--instance "$zone-$i,$zone,$INSTANCE_PID,127.0.0.1:$port,127.0.0.1:$((port + 1))")
    number=$((number + 1))
  done
done
for ((i = 1; i <= 4 * RUNNERS_PER_ZONE; i++)); do
  arguments+=(--runner "127.0.0.1:$((PLATFORM_PORT + i))")
done
sleep 4
"$BIN/demo" faults --platform "http://127.0.0.1:$PLATFORM_PORT" --token "$TOKEN" "${arguments[@]}" || {
  code=$?
  grep -h "level=error\|panic" "$WORK"/*.log | head -20 || true
  exit "$code"
}
