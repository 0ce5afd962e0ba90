#!/usr/bin/env bash
# Control cost of one real instance at several sizes; under five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

PER_RACK=6
PORT=17200

sample() { # instances racks jobs
  (
    source scripts/processes.sh
    start_standin --deployment thengola --racks "$2"
    start_instance kochi-0 kochi "$PORT" "$1"
    measured=$INSTANCE_PID
    sleep 1 # the first takes the scheduler lease, so that its cost is that of the dearest role
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
