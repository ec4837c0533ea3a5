#!/usr/bin/env bash
# Checks the format of all source files and runs clang-tidy on all .cpp files, except generated ones.
# clang-tidy skips a file if it, the project headers it includes and .clang-tidy are unchanged since
# a run without findings. LINT_CACHE (default: toucan-lint below CCACHE_DIR or ~/.cache) records
# these runs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cd "$root"

mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${sources[@]}"

cache=${LINT_CACHE:-${CCACHE_DIR:-$HOME/.cache}/toucan-lint}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$cache"

# Ninja records the headers that each source file includes.
ninja -C "$build" -t deps >"$work/deps"
rules=$(sha256sum .clang-tidy | cut -c1-16)

key_of() {
    awk -v source="$root/$1" '
        /^[^ ].*#deps/ { files = ""; found = 0; next }
        /^ / { it = $1; if (it == source) found = 1; files = files "\n" it; next }
        /^$/ { if (found) { print files; exit } }' "$work/deps" |
        grep -E "^$root/(libs|apps|tests|platform)/" | sort | xargs -r cat "$root/$1" |
        sha256sum | cut -c1-40
}

lint_one() {
    local key out
    key=$(key_of "$1")-$rules
    [ -e "$cache/$key" ] && return 0
    if out=$(clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$1" 2>/dev/null); then
        touch "$cache/$key"
    else
        printf '%s\n' "$out" | grep -v "^error: invalid case style for template parameter 'expr-type'"
        return 1
    fi
}
export -f key_of lint_one
export cache rules build root work
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
    xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one "$1"' _ {}
echo "format and lint: clean"
