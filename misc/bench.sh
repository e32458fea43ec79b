#!/usr/bin/env bash
# Compares the scheduling policies on both workload mixes, at 80 % and 120 % of the engines'
# capacity.
# Usage: misc/bench.sh BUILD_FOLDER [SECONDS] ["MIX ..."] ["POLICY ..."]
# Writes BUILD_FOLDER/bench/summary.json and chart.svg. Each run takes about a minute.
set -euo pipefail

build_folder=$1
seconds=${2:-20}
mixes=${3:-registry spa}
policies=${4:-round-robin least-load prefix-fifo program}

# Programs per second that fill the useful batch of all engines (100 % load).
# docs/design/policy.md describes how these rates were found.
declare -A capacity=([registry]=41 [spa]=37)

mkdir -p "$build_folder/bench"
results=()
for mix in $mixes; do
    for percent in 80 120; do
        rate=$(awk "BEGIN { print ${capacity[$mix]} * $percent / 100 }")
        for policy in $policies; do
            result="$build_folder/bench/$mix-$percent-$policy.json"
            misc/experiment.sh "$build_folder" "$result" "$mix" "$policy" "$rate" "$seconds" \
                >"$result.log" 2>&1 || echo "$result: see $result.log" >&2
            results+=("$result")
        done
    done
done
"$build_folder/boragepath-load" compare --out "$build_folder/bench" "${results[@]}"
