#!/usr/bin/env bash
# Starts the local example as separate processes on loopback and sends two requests.
# Then it runs until Ctrl-C or, with the argument "demo", kills a stage in the middle
# of a stream, checks that the answer is complete, and exits.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:-run}
rm -rf run && mkdir -p run/log
dir=run
# shellcheck source=_scripts/common.sh
. _scripts/common.sh
trap 'exit 0' INT TERM

start host-list bin/larchwinch-standin host-list --address 127.0.4.1:6000 --hosts examples/local/hosts.json --lag 1s
while read -r address first end kind; do
  start "engine-$address" bin/larchwinch-standin engine --address "$address" --model koit \
    --first-layer "$first" --end-layer "$end" --accelerator "$kind" --slots 128
done <examples/local/engines.txt
start staff-app bin/larchwinch-standin service --address 127.0.3.100:6100 --service staff-app
for i in 1 2 3; do start "control-$i" bin/larchwinch-control --config "examples/local/control-$i.toml" --new-cluster; done
for i in 1 2 3; do start "entry-$i" bin/larchwinch-entry --config "examples/local/entry-$i.toml"; done

entries=127.0.2.1:8080,127.0.2.2:8080,127.0.2.3:8080
cp examples/mesipuu.toml run/mesipuu.toml

echo "== sign and submit the bundle"
bin/larchwinch bundle sign run/mesipuu.toml --signer tiina --key-file examples/local/operator.private-key
try bin/larchwinch bundle submit run/mesipuu.toml
bin/larchwinch bundle history mesipuu
all_live() { [ "$(bin/larchwinch status | grep -c ' live ')" -ge 10 ]; }
try all_live
bin/larchwinch status

ask() { bin/larchwinch ask --key lw_example_haabersti --entry "$entries" --pipeline daily-note "$@"; }
echo "== a request in Estonian"
try ask --max-tokens 4 x
ask --max-tokens 24 "$(cat examples/request-et.txt)"
echo "== a request in Russian"
ask --max-tokens 24 "$(cat examples/request-ru.txt)"

if [ "$mode" = demo ]; then
  echo "== the same request twice, with a stage killed in the second"
  ask --max-tokens 120 --seed 7 "$(cat examples/request-et.txt)" >run/whole.txt
  ask --max-tokens 120 --seed 7 "$(cat examples/request-et.txt)" >run/killed.txt &
  asked=$!
  sleep 0.5
  busy=$(for a in $(cut -d' ' -f1 examples/local/engines.txt | sed -n 4,6p); do
    echo "$(bin/larchwinch-standin sessions "$a") $a"
  done | sort -rn | head -1 | cut -d' ' -f2)
  echo "killing the stage at $busy"
  kill -9 "${pid_of[engine-$busy]}"
  wait "${pid_of[engine-$busy]}" 2>/dev/null || true
  wait "$asked"
  tail -2 run/killed.txt
  if ! grep -q "stage lost" run/log/entry-*.log; then echo "no stage was lost: the kill missed"; exit 1; fi
  if [ "$(grep -v path run/whole.txt)" = "$(grep -v path run/killed.txt)" ]; then
    grep -h "stage lost" run/log/entry-*.log | tail -1
    echo "the answer came whole, and is the same as without the kill"
  else
    echo "the answers differ"; exit 1
  fi
  exit 0
fi

cat <<'END'

It is up. In another terminal, try:
  export LARCHWINCH_ADMIN=127.0.1.1:7001,127.0.1.2:7001,127.0.1.3:7001 LARCHWINCH_KEY=lw_example_operator
  bin/larchwinch status
  bin/larchwinch ask --key lw_example_haabersti --entry 127.0.2.1:8080 --pipeline daily-note "Tere!"
  bin/larchwinch-standin fault 127.0.3.4:6100 --slow 5
Logs are in run/log. Ctrl-C ends it.
END
while true; do sleep 1; done
