#!/usr/bin/env bash
# Injects faults into real daemons under load: a killed VM, a suspended VM, a planned stop,
# store outages, lost store responses, a slow store, a replica crash and a replica that leaves.
# Usage: misc/faults.sh BUILD_FOLDER [VMS] [RATE]
# Exits with 1 if a guarantee was violated. Writes BUILD_FOLDER/bench/faults.json.
set -euo pipefail

build_folder=$1
vms=${2:-5}
rate=${3:-8}

work_folder=$(mktemp -d)
. "$(dirname "$0")/deployment.sh"
trap 'stop_deployment; rm -rf "$work_folder"' EXIT
mkdir -p "$build_folder/bench"
events="$work_folder/events"
: >"$events"

event() { # NAME
    echo "$(date +%s%3N) $1" >>"$events"
    echo "$(date +%T) $1"
}

fault() { # QUERY
    curl -s -X POST "http://$standin_control/fault?$1" >/dev/null
}

misc/make_deployment.sh examples/registry.settings.json "$work_folder" "$vms" \
    'log_level="info"' 'program_idle_limit_ms=15000'
start_standin "$work_folder/vm-1.json" --step-base-us 15000 --step-per-sequence-us 600
for number in $(seq 1 "$vms"); do
    start_daemon "$number"
done
sleep 3

"$build_folder/boragepath-load" run --daemons "$(daemon_list "$vms")" \
    --standin "$standin_control" --operator-key change-this-operator-key \
    --out "$build_folder/bench/faults.json" --label faults --mix registry --rate "$rate" \
    --seconds 130 --drain 60 --seed 7 --events "$events" &
load_pid=$!

sleep 10
event "kill -9 of a VM"
kill -KILL "${daemon_pids[1]}"
sleep 12
start_daemon 1
sleep 6
event "freeze of a VM past its lease"
kill -STOP "${daemon_pids[2]}"
sleep 12
kill -CONT "${daemon_pids[2]}"
sleep 6
event "planned stop of a VM"
kill -TERM "${daemon_pids[3]}"
sleep 10
start_daemon 3
event "store outage of 3 s"
fault "target=table&kind=outage&duration_ms=3000"
sleep 12
event "store outage of 9 s, longer than the lease"
fault "target=table&kind=outage&duration_ms=9000"
sleep 18
event "half of all answers of the store lost for 8 s"
fault "target=table&kind=lose&duration_ms=8000&share=0.5"
sleep 12
event "store slow by 300 ms for 8 s"
fault "target=table&kind=slow&duration_ms=8000&delay_ms=300"
sleep 12
event "replica dies for 5 s"
fault "target=register-llm-1&kind=die&duration_ms=5000"
event "replica leaves"
fault "target=register-llm-2&kind=leave"
sleep 8
fault "target=register-llm-2&kind=return"

status=0
wait "$load_pid" || status=$?
grep -c '"event":"fenced"' "$work_folder"/vm-*.log | sed 's|.*/|fenced in |' || true
exit "$status"
