#!/usr/bin/env bash
# Installs packages, configures and builds. BUILD_DIR and JOBS can be set in the environment.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/install-packages.sh"
cmake -S "$root" -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-8}"
