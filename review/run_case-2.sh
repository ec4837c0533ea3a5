#!/usr/bin/env bash
# Runs one case of the second review. Usage: run_case-2.sh CASE-FOLDER PROGRAM. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. All processes end with the program.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd)
daemon=$root/target/apps/toucand/toucand
program=$root/target/review-2/$2
if [ ! -x "$daemon" ] || [ ! -x "$program" ]; then
    echo "build first: the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 2 110 "$program" "$daemon" "$work" "$folder/record.txt"
status=$?
tail -n 2 "$folder/record.txt"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
