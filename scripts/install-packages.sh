#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the tests require.
set -euo pipefail
packages=(
    build-essential ccache clang-format clang-tidy cmake curl ninja-build pkg-config
    capnproto libabsl-dev libfmt-dev libboost-dev libcapnp-dev libcpp-httplib-dev libcppunit-dev
    libcxxopts-dev libspdlog-dev libssl-dev libtomlplusplus-dev nlohmann-json3-dev zlib1g-dev
)
missing=()
for it in "${packages[@]}"; do
    dpkg -s "$it" >/dev/null 2>&1 || missing+=("$it")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
