#!/usr/bin/env bash
# Regenerates the C++ code of the Cap'n Proto schemas. The build uses the committed output.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/libs/rpc/schema"
capnp compile -I/usr/include -oc++:"$root/libs/rpc/src" daemon.capnp
cd "$root/libs/edge/schema"
capnp compile -I/usr/include -oc++:"$root/libs/edge/src" peer.capnp
