#!/usr/bin/env bash
# Checks formatting of every source file and runs the linter on every source file that is not generated.
# Results of the linter are kept by content hash in the ccache folder, so unchanged files are not linted again.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cd "$root"

mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${sources[@]}"

cache=${LINT_CACHE:-${CCACHE_DIR:-$HOME/.cache}/toucan-lint}
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard '*.h' '.clang-tidy' | xargs sha256sum | sha256sum | cut -c1-16)

lint_one() {
    local key
    key=$(sha256sum "$1" | cut -c1-32)-$headers
    [ -e "$cache/$key" ] && return 0
    if out=$(clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$1" 2>/dev/null); then
        touch "$cache/$key"
    else
        printf '%s\n' "$out"
        return 1
    fi
}
export -f lint_one
export cache headers build
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one "$1"' _ {}
echo "format and lint: clean"
