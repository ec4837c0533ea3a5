#!/usr/bin/env bash
# Installs missing packages, configures and builds. Environment: BUILD_DIR (default: build),
# JOBS (default: 8).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/install-packages.sh"
cmake -S "$root" -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-8}"
