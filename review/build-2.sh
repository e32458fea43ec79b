#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. Run it after the build line of
# the deploy file; it needs g++ and the Boost headers that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Ireview/harness-2)
g++ "${flags[@]}" -c review/harness-2/harness.cpp -o "$out/harness.o"
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    if [ "$number" -ge 6 ]; then
        g++ "${flags[@]}" "$source" "$out/harness.o" -o "$out/case-$number"
    fi
done
for source in review/harness-2/trials/*.cpp; do
    g++ "${flags[@]}" "$source" "$out/harness.o" -o "$out/trial-$(basename "$source" .cpp)"
done
