#!/usr/bin/env bash
# Builds everything, checks format and lint, and runs all tests.
# Tests listed in KNOWN-RED.txt (`test: CTEST-NAME`, or `unit: PROGRAM TEST-NAME` for one test of a
# program) run last; their results are printed but do not affect the exit status.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/build.sh"
"$root/scripts/lint.sh"

known_red() { grep -E "^$1: " "$root/KNOWN-RED.txt" 2>/dev/null | sed "s/^$1: //" || true; }
red=$(known_red test | paste -sd'|')
TOUCAN_KNOWN_RED=$(known_red unit | cut -d' ' -f2 | paste -sd';')
export TOUCAN_KNOWN_RED

ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-2}" ${red:+-E "^($red)$"}

if [ -n "$red$TOUCAN_KNOWN_RED" ]; then
    echo "known red, see KNOWN-RED.txt:"
fi
if [ -n "$red" ]; then
    ctest --test-dir "$build" -j 1 -R "^($red)$" || true
fi
known_red unit | while read -r program name _; do
    path=$(find "$build" -type f -name "$program" -perm -u+x | head -n 1)
    TOUCAN_KNOWN_RED='' "$path" "$name" >"$build/known-red.log" 2>&1 </dev/null && result=passed || result=failed
    echo "$program $name: $result"
done
