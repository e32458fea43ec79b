#!/usr/bin/env bash
# Runs a case: run_case.sh NAME FOLDER. Exits with 0 if the rule held, 1 if it was broken, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Writes FOLDER/record.txt.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
# Ends the daemons that the case started, if it could not do so itself.
clean() {
    for process in $(cat "$scratch/processes" 2>/dev/null); do
        if grep -qs "$scratch" "/proc/$process/environ"; then
            kill -9 "$process"
        fi
    done
    rm -rf "$scratch"
}
trap clean EXIT
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
[ -x "$root/review/build/cases" ] && [ -x "$root/${command%% *}" ] || exit 2
cd "$root" || exit 2
timeout --kill-after=5 115 review/build/cases "$name" "$scratch" "$root" "$command"
code=$?
cp "$scratch/record.txt" "$folder/record.txt" 2>/dev/null
if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$scratch"/* "$KEEP_LOGS"/
fi
[ "$code" -le 1 ] || exit 2
exit "$code"
