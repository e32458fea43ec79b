#!/usr/bin/env bash
# Runs one workload mix under one policy on 11 VMs over loopback, with stand-in backend servers.
# Usage: misc/experiment.sh BUILD_FOLDER OUT_FILE MIX POLICY RATE SECONDS [SEED]
set -euo pipefail

build_folder=$1
out_file=$2
mix=$3
policy=$4
rate=$5
seconds=$6
seed=${7:-1}
vms=11

# An engine step takes 15 ms plus 0.6 ms for each sequence; each engine has memory for
# 48,000 tokens.
standin_options=(--step-base-us 15000 --step-per-sequence-us 600
    --prefill-ns-per-token 50000 --kv-blocks 3000)

work_folder=$(mktemp -d)
. "$(dirname "$0")/deployment.sh"
trap 'stop_deployment; rm -rf "$work_folder"' EXIT

misc/make_deployment.sh "examples/$mix.settings.json" "$work_folder" "$vms" \
    "policy=\"$policy\"" 'log_level="error"'
start_standin "$work_folder/vm-1.json" "${standin_options[@]}"
for number in $(seq 1 "$vms"); do
    start_daemon "$number"
done
"$build_folder/boragepath-load" run --daemons "$(daemon_list "$vms")" \
    --standin "$standin_control" --operator-key change-this-operator-key \
    --out "$out_file" --label "$policy" --mix "$mix" --rate "$rate" \
    --seconds "$seconds" --drain 30 --seed "$seed"
