#!/usr/bin/env bash
# Runs the case of a folder: review/harness-2/run.sh review/N. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=$1
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/boragepathd-platform ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --signal=KILL 118 "$program" "$folder" "$temporary"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$temporary"/* "$KEEP_LOGS"/
fi
[ "$status" -le 2 ] || status=2
exit "$status"
