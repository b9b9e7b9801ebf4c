#!/usr/bin/env bash
# Overload, for reads and for writes: goodput and latency at 0.5 to 4 times the capacity, offered in an open loop by
# clients that retry as the answers allow; and the time to recover afterwards.
# Usage: bench/overload.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly TENANT=hut-toubkal-refuge
readonly SECONDS_EACH=${BENCH_SECONDS:-8}
readonly RECOVERY_SECONDS=6
readonly FACTORS=(0.5 1 2 4)
readonly CLOSED_SESSIONS=24
readonly OPEN_SESSIONS=800
readonly SERVICE_TIME_US=20000

# Sets capacity: completed operations a second of a closed loop that keeps the slots busy.
measure_capacity() {
    bench_load capacity --tenant "$TENANT" --read-share "$1" --batch-share 0 --prepare \
        --sessions "$CLOSED_SESSIONS" --duration "$SECONDS_EACH" --timeout-ms 5000
    capacity=$(jq '.done_per_s' "$CLUSTER_DIRECTORY/capacity.json")
}

# offer NAME READ_SHARE RATE SECONDS: offers load at a fixed rate, with a deadline of 1 s for each request.
offer() {
    bench_load "$1" --tenant "$TENANT" --read-share "$2" --batch-share 0 --rate "$3" --duration "$4" \
        --sessions "$OPEN_SESSIONS" --timeout-ms 1000 --operation-timeout-ms 3000
}

# Run right after the heaviest load. Sets recovery: the first second in which 95% of the requests were done.
measure_recovery() {
    offer recovery "$1" "$(jq -n "0.5 * $capacity")" "$RECOVERY_SECONDS"
    recovery=$(jq '[.seconds[] | .done / ([.done + .not_done, 1] | max) >= 0.95] | index(true)' \
        "$CLUSTER_DIRECTORY/recovery.json")
}

# measure_curve NAME READ_SHARE: sets BENCH_POINT to the whole curve.
measure_curve() {
    local name=$1 share=$2 factor rate capacity recovery
    local -a points=()
    bench_deploy atlas-huts bookings-toubkal 3 "--service-time-us $SERVICE_TIME_US --replication-lag-ms 20"
    measure_capacity "$share"
    bench_say "overload: $name: $capacity done/s in a closed loop"
    for factor in "${FACTORS[@]}"; do
        bench_say "overload: $name at $factor times the capacity"
        rate=$(jq -n "$factor * $capacity")
        offer "offered-$factor" "$share" "$rate" "$SECONDS_EACH"
        points+=("$(bench_figures "offered-$factor" |
            jq -c --argjson factor "$factor" --argjson rate "$rate" \
                '. + {offered_factor: $factor, offered_per_s: $rate}')")
    done
    measure_recovery "$share"
    BENCH_POINT=$(printf '%s\n' "${points[@]}" | jq -sc --arg latency "${name%s}_latency" \
        --argjson capacity "$capacity" --argjson recovery "$recovery" -f bench/overload.jq)
}

main() {
    cluster_init "$1"
    local reads writes
    measure_curve reads 1
    reads=$BENCH_POINT
    measure_curve writes 0
    writes=$BENCH_POINT
    jq -n --argjson reads "$reads" --argjson writes "$writes" '{
        results: {reads: $reads.results, writes: $writes.results},
        figures: {reads: $reads.figures, writes: $writes.figures}}'
}

main "${1:-build}"
