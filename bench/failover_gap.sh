#!/usr/bin/env bash
# The failover gap: the longest time without an acknowledged write for clients that write without pause, over several
# kills of the primary, each in a fresh deployment.
# Usage: bench/failover_gap.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly TENANT=hut-toubkal-refuge
readonly KILLS=${BENCH_KILLS:-10}
readonly KILL_AFTER_SECONDS=2
readonly LOAD_SECONDS=6

# One kill under writers.
measure() {
    local primary
    bench_deploy atlas-huts bookings-toubkal 3 \
        "--open-delay-ms 10 --zone-delay-us 1500 --replication-lag-ms 20 --service-time-us 300"
    primary=$(cluster_primary "$TENANT")
    cluster_start_load writers --tenant "$TENANT" --prepare --sessions 6 --duration "$LOAD_SECONDS" \
        --read-share 0 --pause-ms 1 --operation-timeout-ms 6000
    sleep "$KILL_AFTER_SECONDS"
    cluster_kill "$primary"
    cluster_await_load writers
    local verdict=0
    cluster_check writers >&2 || verdict=$?
    BENCH_POINT=$(bench_figures writers | jq -c --argjson verdict "$verdict" '. + {promises_kept: ($verdict == 0)}')
}

main() {
    cluster_init "$1"
    local kill
    local -a points=()
    for ((kill = 1; kill <= KILLS; kill++)); do
        bench_say "failover gap: kill $kill of $KILLS"
        measure
        points+=("$BENCH_POINT")
    done
    printf '%s\n' "${points[@]}" | jq -s '
        (map(.longest_write_gap_ms) | sort) as $gaps | ($gaps | length) as $count
        | (if $count % 2 == 1 then $gaps[$count / 2 | floor]
           else ($gaps[$count / 2 - 1] + $gaps[$count / 2]) / 2 end) as $median
        | {results: {worst_to_median: ($gaps[-1] / $median), promises_kept: all(.promises_kept)},
           figures: {kills: $count, median_ms: $median, worst_ms: $gaps[-1], gaps_ms: $gaps, runs: .}}'
}

main "${1:-build}"
