#!/usr/bin/env bash
# Prints the slopes that docs/CAPACITY.md is worked out from.
# Usage: misc/slopes.sh BUILD_FOLDER
set -euo pipefail
"$1/boragepath-slopes"
"$1/boragepath-decisions" --benchmark_min_time=0.1
