#!/usr/bin/env bash
# Throughput of one daemon's request path as a function of its worker threads, relative to one thread. Reads, with
# databases that reply without delay.
# Usage: bench/scaling.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly TENANT=hut-toubkal-refuge
readonly SECONDS_EACH=${BENCH_SECONDS:-5}
readonly THREADS=(1 2 4 8)
readonly SESSIONS=16

measure() {
    local threads=$1 before after
    bench_deploy atlas-huts bookings-toubkal 1 "--service-time-us 0" "daemon.worker_threads=$threads"
    bench_load prepare --tenant "$TENANT" --prepare --duration 1 --sessions 1
    before=$(bench_cpu_us daemon-1)
    bench_load reads --tenant "$TENANT" --sessions "$SESSIONS" --duration "$SECONDS_EACH" --read-share 1
    after=$(bench_cpu_us daemon-1)
    BENCH_POINT=$(bench_figures reads | jq -c --argjson threads "$threads" --argjson cpu $((after - before)) \
        '. + {worker_threads: $threads, daemon_cpu_us_per_request: ($cpu / .requests)}')
}

main() {
    cluster_init "$1"
    local threads
    local -a points=()
    for threads in "${THREADS[@]}"; do
        bench_say "scaling: $threads worker threads"
        measure "$threads"
        points+=("$BENCH_POINT")
    done
    printf '%s\n' "${points[@]}" | jq -s '(.[0].done_per_s) as $one
        | {results: {throughput_to_one_thread:
             (map({key: "threads_\(.worker_threads)", value: (.done_per_s / $one)}) | from_entries)},
           figures: .}'
}

main "${1:-build}"
