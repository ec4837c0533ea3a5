#!/usr/bin/env bash
# All machines but one are lost for good.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run_case.sh" last-machine "$here"
