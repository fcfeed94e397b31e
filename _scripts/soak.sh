#!/usr/bin/env bash
# Runs the soak test repeatedly, each time with another seed. Usage: soak.sh RUNS SECONDS [FIRST SEED]
set -euo pipefail
cd "$(dirname "$0")/../platform"
runs=$1
export SOAK_SECONDS=$2
first=${3:-$(date +%s)}
tests=$(mktemp)
trap 'rm -f "$tests"' EXIT
go test -c -o "$tests" .
failed=0
for ((i = 0; i < runs; i++)); do
  export SOAK_SEED=$((first + i))
  if out=$(timeout $((SOAK_SECONDS + 90)) "$tests" -ginkgo.focus "real programs" 2>&1); then
    echo "seed $SOAK_SEED: passed"
  else
    failed=$((failed + 1))
    echo "seed $SOAK_SEED: FAILED"
    echo "$out" | grep -v '^[[:space:]]*$' | tail -20
  fi
done
echo "$failed of $runs failed"
[ "$failed" = 0 ]
