#!/usr/bin/env bash
# Soak test: runs real daemons under random faults and checks the guarantees meanwhile.
# Usage: misc/soak.sh BUILD_FOLDER [--seed N] [--minutes M | --seconds S] [--count C] [--vms V]
#        [--organisations] [--planned | --power-loss]
#
# Runs C seeds in turn, starting with N. The logs of a failed seed are kept in
# BUILD_FOLDER/soak/SEED and can be read with `boragepath explain --log`.
set -euo pipefail
cd "$(dirname "$0")/.."

build_folder=$1
shift
seed=1
seconds=60
count=1
options=()
while [ $# -gt 0 ]; do
    case "$1" in
    --seed) seed=$2 ;;
    --minutes) seconds=$(($2 * 60)) ;;
    --seconds) seconds=$2 ;;
    --count) count=$2 ;;
    --organisations | --planned | --power-loss)
        options+=("$1")
        shift
        continue
        ;;
    *) options+=("$1" "$2") ;;
    esac
    shift 2
done

# The loopback network is derived from the process id, so that concurrent runs rarely share one.
network=$((20 + $$ % 230))
failed=()
for number in $(seq "$seed" $((seed + count - 1))); do
    folder="$build_folder/soak/$number"
    rm -rf "$folder"
    mkdir -p "$folder"
    if "$build_folder/boragepath-soak" --daemon "$build_folder/boragepathd-platform" \
        --folder "$folder" --seed "$number" --seconds "$seconds" --network "$network" \
        "${options[@]}"; then
        rm -rf "$folder"
    else
        failed+=("$number")
    fi
done
if [ "${#failed[@]}" -gt 0 ]; then
    echo "failed seeds: ${failed[*]}"
    exit 1
fi
