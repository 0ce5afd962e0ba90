#!/usr/bin/env bash
# Measures the control cost of one entry instance at several zone sizes and writes the slopes
# into the page. Takes less than five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

PER_RACK=6
PORT=17200

sample() { # arguments: instances racks jobs
  (
    source scripts/processes.sh
    start_standin --deployment thengola --racks "$2"
    start_instance kochi-0 kochi "$PORT" "$1"
    measured=$INSTANCE_PID
    sleep 1 # let the measured instance acquire the scheduler lease, the role that costs the most
    for ((i = 1; i < $1; i++)); do
      start_instance "kochi-$i" kochi "$((PORT + 10 * i))" "$1"
    done
    sleep 8
    "$BIN/demo" cost --pid "$measured" --caller "127.0.0.1:$PORT" --operator "127.0.0.1:$((PORT + 1))" \
      --token "$TOKEN" --instances "$1" --workers $(($2 * PER_RACK)) --jobs "$3" --settle 5s --length 12s
  )
}

{
  sample 2 2 0
  sample 2 8 0
  sample 2 37 0
  sample 2 37 30
  sample 2 37 120
  sample 2 37 240
  sample 1 2 0
  sample 4 2 0
  sample 8 2 0
} | "${BIN:-.bin}/demo" slopes
