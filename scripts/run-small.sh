#!/usr/bin/env bash
# Builds toucanpoint, starts the deployment of examples/03-small on loopback, publishes its steering
# files, sends requests, prints the responses and stops all processes.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
"$root/scripts/build.sh"

work=$(mktemp -d)
pids=()
stop_all() {
    local status=$?
    if [ "${#pids[@]}" -gt 0 ]; then
        kill -TERM "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    [ "$status" -eq 0 ] && rm -rf "$work" || echo "failed with status $status; logs are in $work" >&2
}
trap stop_all EXIT

start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

ctl="$build/apps/toucanctl/toucanctl"
platform=127.0.0.1:21001
step() { printf '\n== %s\n' "$1"; }

step "starting the stand-ins of the platform and of four backend servers"
start platform "$build/tests/standins/platform_standin" --listen "$platform"
for it in west-1=21011 west-2=21012 east-1=21021 east-2=21022; do
    start "${it%=*}" "$build/tests/standins/backend_standin" --listen "127.0.0.1:${it#*=}" \
        --name "${it%=*}" --slots 9 --connections 700
done

step "starting two daemons in each failure domain"
daemons=()
for it in west:21031 west:21033 east:21041 east:21043; do
    region=${it%:*}
    port=${it#*:}
    start "toucand-$region-$port" "$build/apps/toucand/toucand" \
        --listen-http "127.0.0.1:$port" --listen-rpc "127.0.0.1:$((port + 1))" \
        --region "$region" --failure-domain "$region-a" --platform "$platform" \
        --seeds 127.0.0.1:21032,127.0.0.1:21042 --lookup-lifetime-ms 500
    daemons+=("127.0.0.1:$port")
done
all=$(IFS=,; echo "${daemons[*]}")

step "publishing examples/03-small"
for _ in $(seq 100); do
    curl -sf "http://$platform/vms" >/dev/null && break
    sleep 0.1
done
"$ctl" check "$root/examples/03-small"
"$ctl" publish "$root/examples/03-small" --platform "$platform" --publisher demo --wait --daemons "$all"
"$ctl" status --daemons "$all"

step "waiting until every daemon is ready"
for it in "${daemons[@]}"; do
    for _ in $(seq 300); do
        curl -sf "http://$it/readyz" >/dev/null && break
        sleep 0.1
    done
    printf '%s %s\n' "$it" "$(curl -s "http://$it/readyz")"
done

step "asking which entry VMs to use"
answer=$("$ctl" lookup "${daemons[0]}" --service checkdesk --block 127.0.1.0/24 --json)
echo "$answer"
entry=$(echo "$answer" | sed -n 's/.*"entry_vms":\[ *"\([^"]*\)".*/\1/p')
prefix=$(echo "$answer" | sed -n 's/.*"key_prefix": *"\([^"]*\)".*/\1/p')

step "a status lookup (idempotent) at $entry"
curl -sS -D - "http://$entry/v1/call/checkdesk/status/17" -H 'Toucan-Client-Block: 127.0.1.0/24' | head -20

step "a consent registration (non-idempotent), sent twice with one operation key"
for _ in 1 2; do
    curl -sS -o /dev/null -D - -X POST "http://$entry/v1/call/checkdesk/consents" \
        -H 'Toucan-Client-Block: 127.0.1.0/24' -H "Toucan-Operation-Key: $prefix.1" -d '{"person": 17}' |
        grep -i -E '^(HTTP|Toucan)'
done
executions=0
for port in 21011 21012 21021 21022; do
    n=$(curl -s "http://127.0.0.1:$port/control/executions" |
        grep -o "\"operation_key\":\"$prefix\.1\"" | wc -l || true)
    executions=$((executions + n))
done
echo "executions of that key at the backend servers: $executions"
[ "$executions" -eq 1 ]

step "stopping the daemons gracefully"
for it in "${pids[@]:5}"; do
    kill -TERM "$it"
done
for it in "${pids[@]:5}"; do
    wait "$it" && status=0 || status=$?
    echo "daemon $it ended with status $status"
done
