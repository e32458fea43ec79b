#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, and those of the trials, into target/review-3. Run it
# after the build line of the deploy file; it needs g++ and the Boost packages that the deploy file
# names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
rm -f "$out"/*.o
flags=(-std=c++20 -O1 -pthread -I.)
programs=()
for name in harness replica; do
    g++ "${flags[@]}" -c "review/harness-3/$name.cpp" -o "$out/$name.o" &
done
for source in review/1[1-5]/script.cpp review/harness-3/trials/*/script.cpp; do
    name=case-$(basename "$(dirname "$source")")
    [[ "$source" == */trials/* ]] && name=trial-$(basename "$(dirname "$source")")
    programs+=("$name")
    g++ "${flags[@]}" -c "$source" -o "$out/$name.o" &
done
wait
for name in "${programs[@]}"; do
    g++ "$out/$name.o" "$out/harness.o" "$out/replica.o" -o "$out/$name" -pthread -lboost_json
done
