#!/usr/bin/env bash
# Prints the measured costs from which the figures of docs/CAPACITY.md are computed.
# Usage: misc/slopes.sh BUILD_FOLDER
set -euo pipefail
"$1/boragepath-slopes"
"$1/boragepath-decisions" --benchmark_min_time=0.1
