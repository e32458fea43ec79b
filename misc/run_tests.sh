#!/usr/bin/env bash
# Prints KNOWN-RED.txt, the list of known failures, and runs all tests except those on it.
# Usage: misc/run_tests.sh BUILD_FOLDER
#
# An entry of KNOWN-RED.txt begins with a line "test: NAME", where NAME is the ctest name;
# the command, the seed, the observed failure and the issue follow. A listed name that ctest
# doesn't know fails the run, so that no entry outlives its test. An entry of a run that ctest
# doesn't have, such as a long soak, begins with "run: NAME" and is only printed.
set -euo pipefail
cd "$(dirname "$0")/.."
build_folder=$1

known_red=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
if [ -s KNOWN-RED.txt ]; then
    echo "known to fail:"
    cat KNOWN-RED.txt
fi
if [ "${#known_red[@]}" -eq 0 ]; then
    exec ctest --test-dir "$build_folder" --output-on-failure
fi

echo "not run here: ${known_red[*]}"
known_tests=$(ctest --test-dir "$build_folder" -N | sed -n 's/^ *Test *#[0-9]*: //p')
for name in "${known_red[@]}"; do
    if ! grep -qxF "$name" <<<"$known_tests"; then
        echo "KNOWN-RED.txt lists $name, and there is no such test" >&2
        exit 1
    fi
done
pattern=$(IFS='|'; echo "${known_red[*]}")
exec ctest --test-dir "$build_folder" --output-on-failure -E "^($pattern)\$"
