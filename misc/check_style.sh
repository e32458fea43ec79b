#!/usr/bin/env bash
# Checks formatting and lints. Usage: misc/check_style.sh BUILD_FOLDER | --fix
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' \
    | grep -v '^peers/gen/' | sort -u)

if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi

clang-format --dry-run --Werror "${sources[@]}"
echo "formatting is clean"
