# Functions that start the platform stand-in and entry instances on loopback. All processes
# are killed when the sourcing script exits. If KEEP_LOGS is set, their logs are copied to
# that folder.

BIN=${BIN:-.bin}
WORK=$(mktemp -d)
PIDS=()
TOKEN=let-me-in
PLATFORM_PORT=17900

stop_all() {
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  [ -n "${KEEP_LOGS:-}" ] && cp "$WORK"/*.log "$KEEP_LOGS" 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT

start_standin() { # arguments: those of the stand-in
  "$BIN/standin" --port "$PLATFORM_PORT" "$@" > "$WORK/standin.log" 2>&1 &
  PIDS+=($!)
  sleep 1
}

start_instance() { # arguments: name zone port seats; sets INSTANCE_PID
  cat > "$WORK/$1.toml" <<END
instance = "$1"
zone = "$2"
callerAddress = "127.0.0.1:$3"
operatorAddress = "127.0.0.1:$(($3 + 1))"
peerAddress = "127.0.0.1:$(($3 + 2))"
platformUrl = "http://127.0.0.1:$PLATFORM_PORT"
operatorTokenDigests = ["$(printf %s "$TOKEN" | sha256sum | cut -d' ' -f1)"]
[runners]
seats = $4
END
  "$BIN/wagtailcroftd" serve "$WORK/$1.toml" > "$WORK/$1.log" 2>&1 &
  INSTANCE_PID=$!
  PIDS+=("$INSTANCE_PID")
}
