#!/usr/bin/env bash
# Builds the cases of the third review and their stand-ins into target/review-3. Needs the build of
# deploy/system.toml and the packages that it lists; installs and fetches nothing.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-3
mkdir -p "$out"
cd "$root/review/standins-3"
parts=(net store upstream deployment configuration caller)
cases=(extra_case grace_case restored_case slow_case)
pids=()
for it in "${parts[@]}" "${cases[@]}"; do
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -c "$it.cpp" -o "$out/$it.o" &
    pids+=("$!")
done
for it in "${pids[@]}"; do
    wait "$it"
done
objects=("${parts[@]/%/.o}")
for it in "${cases[@]}"; do
    ${CXX:-g++} "$out/$it.o" "${objects[@]/#/$out/}" -pthread -o "$out/$it"
done
