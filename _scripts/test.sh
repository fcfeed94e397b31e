#!/usr/bin/env bash
# Runs all tests with the race detector, except for the specs listed in KNOWN-RED.txt,
# and prints that list. Format of its lines: package | spec | cause | issue.
set -euo pipefail
cd "$(dirname "$0")/.."
list=KNOWN-RED.txt
red=()
if [ -s "$list" ]; then
  echo "Known failures, skipped:"
  cat "$list"
  mapfile -t red < <(cut -d'|' -f1 "$list" | tr -d ' ' | sort -u)
fi
module=$(go list -m)
sound=$(go list ./...)
for p in "${red[@]}"; do
  sound=$(grep -vx "$module${p#.}" <<<"$sound")
done
# shellcheck disable=SC2086 # one argument per package
go test -race -count=1 -timeout 20m $sound
for p in "${red[@]}"; do
  skip=$(awk -F' *[|] *' -v p="$p" '$1 == p {print $2}' "$list" | paste -sd'|')
  go test -race -count=1 -timeout 20m "$p" -ginkgo.skip "$skip"
done
