#!/usr/bin/env bash
# Runs each day of deploy/days/ on the users' bench and prints one line per day.
# Usage: days.sh BENCH SITE WHY
set -euo pipefail
bench=$1
site=$2
why=$3
cd "$(dirname "$0")/.."
for day in deploy/days/*.toml; do
  "$bench" run "$site" "$day" --no-cpu --why "$why" | grep -E "^$(basename "$day" .toml) "
done
