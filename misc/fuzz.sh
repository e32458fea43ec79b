#!/usr/bin/env bash
# Builds one fuzz target with clang and runs it for a fixed number of inputs.
# Usage: misc/fuzz.sh BUILD_FOLDER TARGET RUNS   (TARGET: call_parser or settings)
set -euo pipefail
cd "$(dirname "$0")/.."

build_folder=$1
target=$2
runs=$3
program="$build_folder/fuzz_$target"

sources=(core/endpoint.cpp core/hash.cpp core/json_access.cpp core/object_reader.cpp core/settings.cpp core/verdict.cpp
    callers/call_parser.cpp net/http_types.cpp "tests/fuzz/${target}_fuzz.cpp")

newest=$(ls -t "${sources[@]}" | head -n 1)
if [ ! -x "$program" ] || [ "$newest" -nt "$program" ]; then
    clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -w -I. "${sources[@]}" \
        -o "$program" -lboost_json -lxxhash -lcrypto -labsl_strings -labsl_str_format_internal \
        -labsl_status -labsl_statusor -labsl_strings_internal -labsl_throw_delegate \
        -labsl_raw_logging_internal -labsl_int128 -labsl_cord -labsl_base
fi
corpus=$(mktemp -d)
trap 'rm -rf "$corpus"' EXIT
cp "tests/fuzz/corpus/$target"/* "$corpus"
"$program" -seed=20261203 -runs="$runs" -max_len=4096 -verbosity=0 -print_final_stats=1 "$corpus"
