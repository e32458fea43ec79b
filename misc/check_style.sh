#!/usr/bin/env bash
# Checks formatting and runs the linter; --fix formats the sources instead.
# Usage: misc/check_style.sh BUILD_FOLDER | --fix
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' \
    | grep -v '^peers/gen/' | sort -u)

if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi

build_folder=$1
clang-format --dry-run --Werror "${sources[@]}"
echo "formatting is clean"

# clang-tidy cannot read the precompiled header that g++ made, so the compile commands are
# copied without it. The lint is skipped if neither .clang-tidy nor any source has changed
# since the last clean run.
lint_folder="$build_folder/lint"
mkdir -p "$lint_folder"
sed -e 's/-include [^ ]*cmake_pch.hxx//' -e 's/-Winvalid-pch//' -e 's/-Wno-mismatched-new-delete//' \
    "$build_folder/compile_commands.json" >"$lint_folder/compile_commands.json"
stamp="$lint_folder/$(cat .clang-tidy "${sources[@]}" | sha256sum | cut -c1-16).clean"
if [ -e "$stamp" ]; then
    echo "lint is clean (nothing has changed)"
    exit 0
fi
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^tests/fuzz/' \
    | xargs -P "$(nproc)" -n 1 clang-tidy-16 --quiet -p "$lint_folder" 2>"$lint_folder/errors"
touch "$stamp"
echo "lint is clean"
