#!/usr/bin/env bash
# Builds the stand-ins and requesters of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
rm -f build/*.o build/cases
for source in harness/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -DBOOST_ASIO_NO_DEPRECATED \
        -c "$source" -o "build/$name.o" &
done
wait
g++ build/*.o -o build/cases -lboost_json -lpthread
echo "built review/build/cases"
