#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs only the packages of
# deploy/system.toml.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -pthread "$root"/review/standins/*.cpp -o "$out/review_case"
