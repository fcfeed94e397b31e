#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/larchwinch-fleet ] && [ -x target/review/standin-2 ] || { echo "build first"; exit 2; }
exec timeout --signal=TERM --kill-after=5 110 target/review/standin-2 part-bursts "$folder/record.txt"
