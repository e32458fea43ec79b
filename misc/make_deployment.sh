#!/usr/bin/env bash
# Writes settings files for COUNT VMs, made from EXAMPLE, to FOLDER: vm-1.json, vm-2.json, ...
# Usage: misc/make_deployment.sh EXAMPLE FOLDER COUNT [FIELD=VALUE ...]
# Each FIELD=VALUE sets a top-level field in every file.
set -euo pipefail

example=$1
folder=$2
count=$3
shift 3

mkdir -p "$folder"
mapfile -t zones < <(grep -o '"zone": "[^"]*"' "$example" | cut -d'"' -f4 | awk '!seen[$0]++')
for number in $(seq 1 "$count"); do
    zone=${zones[$(((number - 1) % ${#zones[@]}))]}
    address="127.0.0.$((10 + number))"
    file="$folder/vm-$number.json"
    sed -e "s/\"vm\": \"vm-1\"/\"vm\": \"vm-$number\"/" \
        -e "0,/\"zone\": /s/\"zone\": \"[^\"]*\"/\"zone\": \"$zone\"/" \
        -e "s/127\.0\.0\.11:/$address:/" "$example" >"$file"
    for change in "$@"; do
        field=${change%%=*}
        value=${change#*=}
        sed -i -e "/^    \"$field\":/d" -e "s/^    \"pools\": \[/    \"$field\": $value,\n&/" "$file"
    done
done
