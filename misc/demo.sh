#!/usr/bin/env bash
# Runs the demonstration program on three VMs over loopback, with stand-in backend servers,
# and exits when it has finished.
# Usage: misc/demo.sh BUILD_FOLDER
set -euo pipefail

build_folder=$1
work_folder=$(mktemp -d)
. "$(dirname "$0")/deployment.sh"
trap 'stop_deployment; rm -rf "$work_folder"' EXIT

misc/make_deployment.sh examples/registry.settings.json "$work_folder" 3
start_standin "$work_folder/vm-1.json"
for number in 1 2 3; do
    start_daemon "$number"
done
"$build_folder/boragepath-load" demo --daemons "$(daemon_list 3)" \
    --standin "$standin_control" --operator-key change-this-operator-key
