#!/usr/bin/env bash
# Share of reads served by replicas against replication lag, beside the baseline "primary when unsure"
# (routing.guard_wait_max_ms=0) and beside the bound that the lag itself sets.
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

# measure LAG_MS GUARD_WAIT_MAX_MS: one load of residents.
measure() {
    local lag=$1 guard=$2
    bench_deploy kitakaze-meters readings 3 \
        "--replication-lag-ms $lag --service-time-us 300 --zone-delay-us 1500 --open-delay-ms 30" \
        "routing.guard_wait_max_ms=$guard"
    bench_load residents --tenant "$TENANT" --prepare --sessions 24 --duration "$SECONDS_EACH" \
        --read-share 0.95 --own-read-share 0.5 --pause-ms 20
    local bound
    bound=$(python3 bench/replica_bound.py "$lag" <"$CLUSTER_DIRECTORY/residents.jsonl")
    BENCH_POINT=$(bench_figures residents | jq -c --argjson bound "$bound" '. + {replica_share_bound: $bound}')
}

main() {
    cluster_init "$1"
    local lag guarded baseline
    local -a points=()
    for lag in "${LAGS_MS[@]}"; do
        bench_say "replica share: lag $lag ms"
        measure "$lag" 250
        guarded=$BENCH_POINT
        measure "$lag" 0
        baseline=$BENCH_POINT
        points+=("$(jq -cn --argjson lag "$lag" --argjson guarded "$guarded" --argjson baseline "$baseline" \
            '{lag_ms: $lag, guarded: $guarded, baseline: $baseline}')")
    done
    printf '%s\n' "${points[@]}" | jq -s '{
        results: map({key: "lag_\(.lag_ms)_ms", value: {
            replica_share: .guarded.replica_share,
            baseline_replica_share: .baseline.replica_share,
            bound_by_lag: .guarded.replica_share_bound,
            p99_to_baseline: (.guarded.read_latency.p99_ms / .baseline.read_latency.p99_ms)}}) | from_entries,
        figures: .}'
}

main "${1:-build}"
