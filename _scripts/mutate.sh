#!/usr/bin/env bash
# Breaks each rule of mutations.txt, the safety rules of the replicated log, in a copy
# of the source, and checks that directed tests or the fuzz test fail.
# Usage: mutate.sh [checks]
set -euo pipefail
cd "$(dirname "$0")/.."
checks=${1:-1000}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
survived=0
git ls-files -z | xargs -0 -I{} cp --parents {} "$copy"
while IFS='|' read -r rule file expression; do
  case $rule in '#'* | '') continue ;; esac
  cp "$file" "$copy/$file"
  sed -i "$expression" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "no change: $rule"
    survived=$((survived + 1))
    continue
  fi
  if ! (cd "$copy" && timeout 120 go test ./pkg/raft ./pkg/store >mutate.log 2>&1) && ! grep -q 'build failed' "$copy/mutate.log"; then
    echo "caught by a directed test: $rule"
  elif (cd "$copy" && timeout 300 go test ./pkg/replica -run Fuzz -rapid.checks="$checks" -rapid.steps=80 -rapid.seed=1 -rapid.nofailfile -rapid.shrinktime=1s >mutate.log 2>&1); then
    echo "SURVIVED: $rule"
    survived=$((survived + 1))
  elif grep -q 'build failed\|setup failed' "$copy/mutate.log"; then
    echo "does not build: $rule"
    survived=$((survived + 1))
  elif ! grep -q 'failed after' "$copy/mutate.log"; then
    echo "inconclusive: $rule"
    survived=$((survived + 1))
  else
    echo "caught by the fuzz test: $rule: $(grep -m1 -o 'failed after .*' "$copy/mutate.log" | cut -c1-110)"
  fi
  cp "$file" "$copy/$file"
done <_scripts/mutations.txt
[ "$survived" = 0 ]
