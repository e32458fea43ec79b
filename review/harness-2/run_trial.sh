#!/usr/bin/env bash
# Runs a trial that is no case: review/harness-2/run_trial.sh NAME FOLDER, with a NAME from
# review/harness-2/trials and a folder for its record.txt. Exit statuses as those of the cases.
set -u
folder=$(realpath "$2") || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/trial-$1
[ -x "$program" ] && [ -x target/boragepathd-platform ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --signal=KILL 118 "$program" "$folder" "$temporary"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
