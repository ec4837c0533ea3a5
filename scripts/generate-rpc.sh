#!/usr/bin/env bash
# Regenerates the C++ code of the Cap'n Proto schema. The build uses the committed output.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/libs/rpc/schema"
capnp compile -I/usr/include -oc++:"$root/libs/rpc/src" daemon.capnp
