#!/usr/bin/env bash
# Share of reads served by replicas as a function of the replication lag, compared with the baseline "primary when
# unsure" (no wait at a replica, any number of reads at the primary), and with the share that a replica could serve
# without any wait.
# Usage: bench/replica_share.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly TENANT=residents-phone
readonly SECONDS_EACH=${BENCH_SECONDS:-10}
read -ra LAGS_MS <<<"${BENCH_LAGS_MS:-0 10 100 1000}"
readonly LAGS_MS

readonly BASELINE_FILTER='.templates.resident.parameters.read_primary_share_percent.maximum = 100
    | .templates.resident.parameters.read_primary_share_percent.default = 100'

# measure LAG_MS GUARD_WAIT_MAX_MS FILTER: measures one load.
measure() {
    local lag=$1 guard=$2
    BENCH_CONFIGURATION_FILTER=$3
    bench_deploy kitakaze-meters readings 3 \
        "--replication-lag-ms $lag --service-time-us 300 --zone-delay-us 1500 --open-delay-ms 30" \
        "routing.guard_wait_max_ms=$guard"
    bench_load residents --tenant "$TENANT" --prepare --sessions 24 --duration "$SECONDS_EACH" \
        --read-share 0.95 --own-read-share 0.5 --pause-ms 20
    local share
    share=$(python3 bench/share_without_wait.py "$lag" <"$CLUSTER_DIRECTORY/residents.jsonl")
    BENCH_POINT=$(bench_figures residents | jq -c --argjson share "$share" '. + {share_without_wait: $share}')
}

main() {
    cluster_init "$1"
    local lag guarded baseline
    local -a points=()
    for lag in "${LAGS_MS[@]}"; do
        bench_say "replica share: lag $lag ms"
        measure "$lag" 250 .
        guarded=$BENCH_POINT
        measure "$lag" 0 "$BASELINE_FILTER"
        baseline=$BENCH_POINT
        points+=("$(jq -cn --argjson lag "$lag" --argjson guarded "$guarded" --argjson baseline "$baseline" \
            '{lag_ms: $lag, guarded: $guarded, baseline: $baseline}')")
    done
    printf '%s\n' "${points[@]}" | jq -s '{
        results: map({key: "lag_\(.lag_ms)_ms", value: {
            replica_share: .guarded.replica_share,
            baseline_replica_share: .baseline.replica_share,
            share_without_wait: .guarded.share_without_wait,
            p99_to_baseline: (.guarded.read_latency.p99_ms / .baseline.read_latency.p99_ms)}}) | from_entries,
        figures: .}'
}

main "${1:-build}"
