#!/usr/bin/env bash
# Runs a case in its folder: run_case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
set -u
folder=$2
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review/review_case
if [ ! -x "$program" ] || [ ! -x "$root/target/apps/toucand/toucand" ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 "$program" "$1" "$root" "$work" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
