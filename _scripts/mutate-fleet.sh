#!/usr/bin/env bash
# Breaks each rule of mutations-fleet.txt in a copy of the source, and checks that
# the tests of the package that the entry names fail.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
survived=0
git ls-files -z -- . ':!journal' | xargs -0 -I{} cp --parents {} "$copy"
while IFS='|' read -r rule package file expression; do
  case $rule in '#'* | '') continue ;; esac
  sed -i "$expression" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    verdict="no change"
  elif ! (cd "$copy" && go vet "./$package" >mutate.log 2>&1); then
    verdict="does not build"
  else
    status=0
    # A spec that fails without the change would notice every rule.
    known=$(awk -F' *[|] *' -v p="./$package" '$1 == p {print $2}' KNOWN-RED.txt | paste -sd'|')
    (cd "$copy" && timeout 600 go test "./$package" ${known:+-ginkgo.skip "$known"} >mutate.log 2>&1) || status=$?
    case $status in
    0) verdict="SURVIVED" ;;
    124) verdict="timed out" ;;
    *) verdict="caught" ;;
    esac
  fi
  echo "$verdict: $rule"
  [ "$verdict" = caught ] || survived=$((survived + 1))
  cp "$file" "$copy/$file"
done <_scripts/mutations-fleet.txt
[ "$survived" = 0 ]
