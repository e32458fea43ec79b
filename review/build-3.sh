#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3. Run it after the build line of
# the deploy file; it needs g++ and the Boost packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
rm -f "$out"/*.o
flags=(-std=c++20 -O1 -pthread -I.)
for name in harness replica; do
    g++ "${flags[@]}" -c "review/harness-3/$name.cpp" -o "$out/$name.o" &
done
for number in 11 12 13 14 15; do
    if [ -e "review/$number/script.cpp" ]; then
        g++ "${flags[@]}" -c "review/$number/script.cpp" -o "$out/case-$number.o" &
    fi
done
wait
for number in 11 12 13 14 15; do
    if [ -e "review/$number/script.cpp" ]; then
        g++ "$out/case-$number.o" "$out/harness.o" "$out/replica.o" -o "$out/case-$number" -pthread -lboost_json
    fi
done
