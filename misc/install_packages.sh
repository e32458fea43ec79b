#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
# Packages that are installed already are skipped, so that repeated runs are quick.
set -euo pipefail

packages=(
    ca-certificates git make
    g++ clang cmake ninja-build
    clang-format clang-tidy-16 libclang-rt-14-dev curl
    libboost1.81-dev libboost-json1.81-dev
    libthrift-dev
    libdocopt-dev libeasyloggingpp-dev libabsl-dev
    librapidcheck-dev libgtest-dev libgmock-dev libbenchmark-dev
    libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done

if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
