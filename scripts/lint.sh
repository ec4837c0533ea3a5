#!/usr/bin/env bash
# Checks the format of all source files and runs clang-tidy on all .cpp files, except generated ones.
# clang-tidy skips a file if nothing that its result depends on has changed since a run without
# findings: the file, the project headers it includes, its compile command, .clang-tidy and the
# version of clang-tidy. A file without a build record is always checked. LINT_CACHE (default:
# toucan-lint below CCACHE_DIR or ~/.cache) records these runs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd -P)
build=${BUILD_DIR:-$root/build}
build=$(cd "$build" && pwd -P)
cd "$root"

mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${sources[@]}"

cache=${LINT_CACHE:-${CCACHE_DIR:-$HOME/.cache}/toucan-lint}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$cache"

# Ninja records the headers that each source file includes. ccache may make their paths relative to
# the build folder.
ninja -C "$build" -t deps | grep -v '^ninja: ' |
    awk -v build="$build" '/^ / { path = $1; if (path !~ /^\//) path = build "/" path; print "    " path; next }
        { print }' |
    sed -E ':again; s#/[^/]+/\.\./#/#; t again' >"$work/deps"
rules=$({ cat .clang-tidy; clang-tidy --version; } | sha256sum | cut -c1-16)

# Prints the project files that a source file was compiled from; nothing if there is no record.
files_of() {
    awk -v source="$root/$1" '
        /^[^ ].*#deps/ { files = ""; found = 0; next }
        /^ / { if ($1 == source) found = 1; files = files "\n" $1; next }
        /^$/ { if (found) { print files; exit } }' "$work/deps" |
        grep -E "^$root/(libs|apps|tests|platform)/" | sort -u || true
}

compile_command_of() {
    grep -F "\"command\":" "$build/compile_commands.json" | grep -F -- "-c $root/$1" |
        sed "s#$root#.#g" || true
}

# Prints the key of a file in the cache; nothing if it has no record.
key_of() {
    local files
    files=$(files_of "$1")
    [ -n "$files" ] || return 0
    { echo "$files" | xargs cat && compile_command_of "$1"; } | sha256sum | cut -c1-40
}

lint_one() {
    local key out
    key=$(key_of "$1")
    [ -n "$key" ] && [ -e "$cache/$key-$rules" ] && return 0
    if out=$(clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$1" 2>/dev/null); then
        [ -z "$key" ] || touch "$cache/$key-$rules"
    else
        printf '%s\n' "$out" | grep -v "^error: invalid case style for template parameter 'expr-type'"
        return 1
    fi
}
export -f files_of compile_command_of key_of lint_one
export cache rules build root work
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
    xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one "$1"' _ {}
echo "format and lint: clean"
