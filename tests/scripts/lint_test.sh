#!/usr/bin/env bash
# Test of scripts/lint.sh: a finding must be reported with a warm cache, when the root is reached
# through a link, and in a file that is not part of the build. Each of these was passed over once.
set -euo pipefail
lint=$(cd "$(dirname "$0")/../../scripts" && pwd)/lint.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export LINT_CACHE=$work/cache JOBS=1
unset BUILD_DIR

root=$work/project
mkdir -p "$root/scripts" "$root/libs"
cp "$lint" "$root/scripts/"
cd "$root"
git init -q .
echo build >.gitignore
echo 'BasedOnStyle: LLVM' >.clang-format
printf 'Checks: "-*,readability-braces-around-statements"\nWarningsAsErrors: "*"\nHeaderFilterRegex: ".*"\n' >.clang-tidy
printf 'cmake_minimum_required(VERSION 3.25)\nproject(lint_test CXX)\nset(CMAKE_EXPORT_COMPILE_COMMANDS ON)\nadd_library(a STATIC libs/a.cpp)\n' >CMakeLists.txt
printf '#include "a.h"\n\nint twice(int n) { return 2 * n; }\n' >libs/a.cpp
clean_header='#pragma once\n\nint twice(int n);\n'
finding='inline int sign(int n) {\n  if (n < 0)\n    return -1;\n  return 1;\n}\n'

build() {
    cmake -S "$1" -B "$1/build" -G Ninja >/dev/null
    cmake --build "$1/build" >/dev/null
}
expect() {
    local status=0
    "$2/scripts/lint.sh" >"$work/out" 2>&1 || status=$?
    if { [ "$1" = clean ] && [ "$status" -ne 0 ]; } || { [ "$1" = finding ] && [ "$status" -eq 0 ]; }; then
        echo "$3: expected $1, status $status"
        cat "$work/out"
        exit 1
    fi
    echo "$3: $1, as expected"
}

# shellcheck disable=SC2059
printf "$clean_header" >libs/a.h
build "$root"
expect clean "$root" "first run"
expect clean "$root" "warm cache"
# shellcheck disable=SC2059
printf "$clean_header\n$finding" >libs/a.h
build "$root"
expect finding "$root" "header changed, warm cache"

ln -s "$root" "$work/link"
# shellcheck disable=SC2059
printf "$clean_header" >libs/a.h
build "$root"
expect clean "$work/link" "through a link"
# shellcheck disable=SC2059
printf "$clean_header\n$finding" >libs/a.h
build "$root"
expect finding "$work/link" "header changed, through a link"

# shellcheck disable=SC2059
printf "$clean_header" >libs/a.h
# shellcheck disable=SC2059
printf "$finding" >libs/b.cpp
build "$root"
expect finding "$root" "file that is not part of the build"
expect finding "$root" "the same again"
