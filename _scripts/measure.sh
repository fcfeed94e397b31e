#!/usr/bin/env bash
# Measures the request path under load, with 40 engines, 3 control hosts and 3 entry
# hosts as separate processes on loopback. Writes its figures to docs/measurements.
# Usage: measure.sh throughput|storm|cost|recovery [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-throughput}
seconds=${2:-15}
out=docs/measurements
dir=run/measure
rm -rf "$dir" && mkdir -p "$dir/log" "$out"
# shellcheck source=_scripts/common.sh
. _scripts/common.sh
trap 'exit 1' INT TERM

# 40 engines in three failure domains: 16 large, 14 medium and 10 small. Each range of
# layers is held by about the same mix of kinds, so that their capacities are close.
kinds=(large medium small large medium large medium small large medium large medium small)
domains=(tallinn-a tallinn-b tallinn-c)
n=0
addresses=()
hosts=()
engine_args=()
for ((i = 0; i < 40; i++)); do
  range=$((i % 3))
  kind=${kinds[$(((i / 3) % 13))]}
  address="127.0.10.$((i + 1)):6100"
  addresses+=("$address")
  hosts+=("{\"address\":\"$address\",\"domain\":\"${domains[$(((i / 3) % 3))]}\"}")
  engine_args+=("$address $((range * 8)) $((range * 8 + 8)) $kind")
done
(
  IFS=,
  echo "{\"hosts\":[${hosts[*]}]}"
) >"$dir/hosts.json"
sed 's/requests_per_second = .*/requests_per_second = 100000/; s/tokens_per_second = .*/tokens_per_second = 10000000/; s/concurrent = .*/concurrent = 100000/' \
  examples/mesipuu.toml >"$dir/mesipuu.toml"

start_engine() { # start_engine ADDRESS FIRST END KIND
  start "engine-$1" bin/larchwinch-standin engine --address "$1" --model koit --first-layer "$2" --end-layer "$3" \
    --accelerator "$4" --batch 8 --slots 64 --scale "${SCALE:-8}"
}
start host-list bin/larchwinch-standin host-list --address 127.0.4.1:6000 --hosts "$dir/hosts.json" --lag 1s
for a in "${engine_args[@]}"; do
  # shellcheck disable=SC2086
  start_engine $a
done
for i in 1 2 3; do
  sed "s#run/control#$dir/control#; s/^log = .*/log = \"\"/" "examples/local/control-$i.toml" >"$dir/control-$i.toml"
  start "control-$i" bin/larchwinch-control --config "$dir/control-$i.toml" --new-cluster
done

start_entries() { # start_entries POLICY
  for i in 1 2 3; do
    { echo "routing_policy = \"$1\""; sed 's/^log = .*/log = "chain"/' "examples/local/entry-$i.toml"; } >"$dir/entry-$i.toml"
    start "entry-$i" bin/larchwinch-entry --config "$dir/entry-$i.toml"
  done
}
stop_entries() {
  for i in 1 2 3; do kill "${pid_of[entry-$i]}" 2>/dev/null || true; done
  for i in 1 2 3; do wait "${pid_of[entry-$i]}" 2>/dev/null || true; done
}
entry_ticks() { # prints the CPU time of the entry hosts in clock ticks
  for i in 1 2 3; do awk '{print $14+$15}' "/proc/${pid_of[entry-$i]}/stat"; done | awk '{s+=$1} END {print s}'
}
live() { [ "$(bin/larchwinch status | grep -c ' live ')" -ge 40 ]; }
ready() { bin/larchwinch ask --key lw_example_haabersti --entry "127.0.2.$1:8080" --pipeline daily-note --max-tokens 2 x; }
all_ready() { live && ready 1 && ready 2 && ready 3; }

experiment() { # experiment CLIENTS
  cat <<END
name = "saturation"
entries = ["127.0.2.1:8080", "127.0.2.2:8080", "127.0.2.3:8080"]
layers = 24
mode = "closed"
clients = $1
duration = "${seconds}s"
warm_up = "${WARM:-6s}"
seed = 11
retries = 3
batch = 8
engines = [$(printf '"%s",' "${addresses[@]}")]
END
  for a in haabersti kesklinn lasnamae mustamae nomme pirita keila maardu rakvere paide; do
    case $a in haabersti | kesklinn | lasnamae) share=6 ;; *) share=1 ;; esac
    printf '[[class]]\naccount = "%s"\nkey = "lw_example_%s"\npipeline = "daily-note"\nshare = %s\nprompt_words = 40\ntokens = 40\nrepeated = 0.3\n' "$a" "$a" "$share"
  done
}

bin/larchwinch bundle sign "$dir/mesipuu.toml" --signer tiina --key-file examples/local/operator.private-key
try bin/larchwinch bundle submit "$dir/mesipuu.toml"

case $what in
throughput)
  rm -f "$out/throughput.csv"
  experiment "${CLIENTS:-300}" >"$dir/experiment.toml"
  for policy in ${POLICIES:-expected-finish least-outstanding two-choices round-robin}; do
    start_entries "$policy"
    try all_ready
    bin/larchwinch-load --experiment "$dir/experiment.toml" --name "$policy" --csv "$out/throughput.csv" --svg "$out/$policy.svg" | grep -E '^experiment|\(all\)'
    stop_entries
    echo "$policy: $(cat "$dir"/log/entry-*.log | grep -c 'stage lost' || true) stages lost"
  done
  ;;
storm)
  # Compares load at the engines' capacity with overload by clients that keep retrying.
  rm -f "$out/storm.csv"
  start_entries expected-finish
  try all_ready
  for clients in ${STORM:-600 6000}; do
    experiment "$clients" | sed 's/^retries = .*/retries = 1000/' >"$dir/experiment.toml"
    bin/larchwinch-load --experiment "$dir/experiment.toml" --name "clients-$clients" --csv "$out/storm.csv" | grep -E '^experiment|\(all\)'
    sleep 3
  done
  ;;
cost)
  # Relates CPU time and memory of the entry hosts to the tokens that they forward.
  echo "clients,tokens_per_s_per_host,cpu_us_per_s_per_host,rss_kb_per_host" >"$out/entry-cost.csv"
  start_entries expected-finish
  try all_ready
  for clients in 30 60 120 240; do
    experiment "$clients" >"$dir/experiment.toml"
    bin/larchwinch-load --experiment "$dir/experiment.toml" --csv "$dir/cost.csv" >"$dir/load.txt" &
    load=$!
    sleep 8
    before=$(entry_ticks)
    sleep "$((seconds / 2))"
    after=$(entry_ticks)
    wait "$load"
    tokens=$(grep '(all)' "$dir/load.txt" | cut -d, -f19)
    rss=$(for i in 1 2 3; do awk '/VmRSS/{print $2}' "/proc/${pid_of[entry-$i]}/status"; done | awk '{s+=$1} END {print int(s/3)}')
    awk -v c="$clients" -v t="$tokens" -v b="$before" -v a="$after" -v s="$((seconds / 2))" -v r="$rss" -v hz="$(getconf CLK_TCK)" \
      'BEGIN {printf "%d,%.1f,%.0f,%d\n", c, t/3, (a-b)/hz/s/3*1e6, r}' | tee -a "$out/entry-cost.csv"
    sleep 2
  done
  ;;
recovery)
  rm -f "$out/recovery.csv"
  start_entries expected-finish
  try all_ready
  experiment "${CLIENTS:-60}" >"$dir/experiment.toml"
  bin/larchwinch-load --experiment "$dir/experiment.toml" --name recovery --csv "$out/recovery.csv" --svg "$out/recovery.svg" >"$dir/load.txt" &
  load=$!
  sleep 8
  for ((k = 0; k < seconds / 2 - 2; k++)); do
    i=$(((k * 7) % 40))
    a=${engine_args[$i]}
    address=${a%% *}
    case $((k % 2)) in
    0)
      kill -9 "${pid_of[engine-$address]}"
      wait "${pid_of[engine-$address]}" 2>/dev/null || true
      # shellcheck disable=SC2086
      start_engine $a
      ;;
    1) bin/larchwinch-standin fault "$address" --freeze 3s ;;
    esac
    sleep 2
  done
  wait "$load" || echo "the load tool failed"
  grep -E '^experiment|\(all\)' "$dir/load.txt"
  cat "$dir"/log/entry-*.log | grep -o 'reason="[^"]*"' | sort | uniq -c
  ;;
esac
