#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. It needs the packages of
# deploy/system.toml only, and installs and fetches nothing.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
for source in "$root"/review/standins-2/*_case.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$out/$name"
done
echo "built into target/review-2"
