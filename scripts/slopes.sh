#!/usr/bin/env bash
# Control cost of one of two real instances of a zone at several sizes; under five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

PER_RACK=6
PORT=17200

sample() { # racks jobs
  (
    source scripts/processes.sh
    start_standin --deployment thengola --racks "$1"
    start_instance kochi-1 kochi "$((PORT + 10))" 2
    start_instance kochi-0 kochi "$PORT" 2
    sleep 10
    "$BIN/demo" cost --pid "$INSTANCE_PID" --caller "127.0.0.1:$PORT" --operator "127.0.0.1:$((PORT + 1))" \
      --token "$TOKEN" --workers $(($1 * PER_RACK)) --jobs "$2" --settle 5s
  )
}

{
  sample 2 0
  sample 8 0
  sample 37 0
  sample 37 30
  sample 37 120
  sample 37 240
} | "${BIN:-.bin}/demo" slopes
