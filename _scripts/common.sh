# Functions for scripts that start the programs as separate processes. The sourcing
# script must set dir, whose subfolder log receives their output.

pids=()
declare -A pid_of

start() { # start NAME COMMAND...
  local name=$1; shift
  "$@" >"$dir/log/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

stop_all() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

try() { # try COMMAND...: retries it until it succeeds, for about 30 s
  local n
  for n in $(seq 1 150); do
    if "$@" >"$dir/log/try.log" 2>&1; then return 0; fi
    sleep 0.2
  done
  cat "$dir/log/try.log"
  echo "command kept failing: $*"
  exit 1
}

export LARCHWINCH_ADMIN=127.0.1.1:7001,127.0.1.2:7001,127.0.1.3:7001
export LARCHWINCH_KEY=lw_example_operator
