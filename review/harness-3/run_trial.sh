#!/usr/bin/env bash
# Runs a trial of the report: run_trial.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if it couldn't run. Writes to record.txt in FOLDER. Run review/build-3.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-3/trial-$1" ] && [ -x target/boragepathd-platform ] || exit 2
exec "target/review-3/trial-$1" "$2/record.txt"
