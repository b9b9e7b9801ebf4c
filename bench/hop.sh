#!/usr/bin/env bash
# Overhead of one hop (caller, daemon, database) and of two (caller, daemon, owner, database) against
# libpq directly to the database: the same reads and writes, in closed loops.
# Usage: bench/hop.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly TENANT=hut-toubkal-refuge
readonly SESSIONS=4
readonly SECONDS_EACH=${BENCH_SECONDS:-6}
readonly LOAD=(--tenant "$TENANT" --sessions "$SESSIONS" --duration "$SECONDS_EACH")

# measure NAME READ_SHARE ADDRESS_INDEX CPU_OF...: a load through one daemon.
measure_through() {
    local name=$1 share=$2 index=$3 process before=0 after=0
    shift 3
    for process in "$@"; do
        before=$((before + $(bench_cpu_us "$process")))
    done
    "$CLUSTER_BUILD/src/load/swiftworks-load" --daemon "127.0.0.1:$(cluster_daemon_port "$index" 0)" \
        --run "$name" --summary "$CLUSTER_DIRECTORY/$name.json" --read-share "$share" "${LOAD[@]}"
    for process in "$@"; do
        after=$((after + $(bench_cpu_us "$process")))
    done
    bench_figures "$name" | jq -c --argjson cpu $((after - before)) \
        '. + {daemon_cpu_us_per_request: ($cpu / .requests), done_per_core_s: (.requests / $cpu * 1000000)}'
}

measure_direct() {
    local name=$1 share=$2
    "$CLUSTER_BUILD/src/load/swiftworks-load" --direct --daemon "127.0.0.1:${CLUSTER_DATABASE_PORTS[0]}" \
        --run "$name" --summary "$CLUSTER_DIRECTORY/$name.json" --read-share "$share" "${LOAD[@]}"
    bench_figures "$name"
}

# The index of the daemon that owns the group and serves the requests that others forward.
find_owner() {
    cluster_sql_until_done 0 "$TENANT" '{"sql":"SELECT 1","access":"read"}' || return 1
    local owner
    owner=$(cluster_served daemon)
    echo $((${owner#daemon-} - 1))
}

main() {
    cluster_init "$1"
    bench_say "hop: $SECONDS_EACH s each for direct, one hop, two hops; reads and writes"
    bench_deploy atlas-huts bookings-toubkal 2 "--service-time-us 0" ownership.owners_per_group=1
    bench_load prepare --tenant "$TENANT" --prepare --duration 1 --sessions 1
    local owner other
    owner=$(find_owner)
    other=$((1 - owner))
    local daemons=(daemon-1 daemon-2)
    local direct_read one_read two_read direct_write one_write two_write
    direct_read=$(measure_direct direct-read 1)
    one_read=$(measure_through one-read 1 "$owner" "daemon-$((owner + 1))")
    two_read=$(measure_through two-read 1 "$other" "${daemons[@]}")
    direct_write=$(measure_direct direct-write 0)
    one_write=$(measure_through one-write 0 "$owner" "daemon-$((owner + 1))")
    two_write=$(measure_through two-write 0 "$other" "${daemons[@]}")
    jq -n --argjson sessions "$SESSIONS" \
        --argjson direct_read "$direct_read" --argjson one_read "$one_read" --argjson two_read "$two_read" \
        --argjson direct_write "$direct_write" --argjson one_write "$one_write" --argjson two_write "$two_write" \
        -f bench/hop.jq
}

main "${1:-build}"
