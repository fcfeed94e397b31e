# What the scripts that start a system share. The caller sets dir, the folder
# for logs, before it sources this.

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

try() { # try COMMAND... until it succeeds, for 30 seconds at most
  local n
  for n in $(seq 1 150); do
    if "$@" >"$dir/log/try.log" 2>&1; then return 0; fi
    sleep 0.2
  done
  cat "$dir/log/try.log"
  echo "gave up: $*"
  exit 1
}

export LARCHWINCH_ADMIN=127.0.1.1:7001,127.0.1.2:7001,127.0.1.3:7001
export LARCHWINCH_KEY=lw_example_operator
