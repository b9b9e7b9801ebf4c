#!/usr/bin/env bash
# Moves of groups between daemons under load: all daemons but one are restarted one after the other, by planned stops
# (SIGTERM) and by kills (SIGKILL). Clients of the remaining one write and read throughout. Counted are connections
# above a database's limit (must be 0), the peak of connections, failed requests, and the longest time without an
# acknowledged write. BENCH_DAEMONS=5, BENCH_ROUNDS=2 restarts of each, set the size.
# Usage: bench/ownership.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly TENANT=hut-toubkal-refuge
readonly DAEMONS=${BENCH_DAEMONS:-5}
readonly ROUNDS=${BENCH_ROUNDS:-2}
readonly STAYS=$((DAEMONS - 1))
readonly SETTLE_SECONDS=3
readonly DOWN_SECONDS=${BENCH_DOWN_SECONDS:-8} # long enough for a killed daemon to be declared dead
readonly LOAD_MAX_SECONDS=600
readonly SESSIONS=${BENCH_SESSIONS:-12} # within the capacity of the databases

# The load goes to the daemon that is not restarted, so that only moves of groups can make its requests fail.
start_load() {
    cluster_start moves "$CLUSTER_BUILD/src/load/swiftworks-load" \
        --daemon "127.0.0.1:$(cluster_daemon_port "$STAYS" 0)" --run moves --tenant "$TENANT" --prepare \
        --sessions "$SESSIONS" --read-share 0.5 --pause-ms 2 --operation-timeout-ms 10000 \
        --duration "$LOAD_MAX_SECONDS" --history "$CLUSTER_DIRECTORY/moves.jsonl" \
        --summary "$CLUSTER_DIRECTORY/moves.json"
}

# restart INDEX SIGNAL: ends a daemon, and restarts it when the groups have moved.
restart() {
    local index=$1 name="daemon-$(($1 + 1))" status=0
    cluster_signal "$name" "$2"
    cluster_wait "$name" 2>/dev/null || status=$?
    if [ "$2" = TERM ] && [ "$status" -ne 0 ]; then
        STOPS_CUT=$((STOPS_CUT + 1))
    fi
    sleep "$DOWN_SECONDS"
    cluster_start_daemon "$index"
    cluster_await_port "$name" "$(cluster_daemon_port "$index" 0)"
    sleep "$SETTLE_SECONDS"
}

# The counters of all databases: connections over the limit in all, and the highest peak.
connection_figures() {
    local index
    for index in "${!CLUSTER_DATABASES[@]}"; do
        curl -sf -m 5 "http://127.0.0.1:${CLUSTER_DATABASE_ADMINS[$index]}/violations"
        echo
    done | jq -sc '{over_connection_limit: (map(.over_connection_limit) | add),
        peak_connections: (map(.peak_connections) | max)}'
}

# The number of takeovers of groups, from the daemons' logs.
ownerships_gained() {
    cat "$CLUSTER_DIRECTORY"/log/daemon-* | grep -c 'ownership_gained' || true
}

# measure SIGNAL: measures restarts under load.
measure() {
    local round index verdict=0 limit gained
    bench_deploy atlas-huts bookings-toubkal "$DAEMONS" \
        "--open-delay-ms 10 --zone-delay-us 1500 --replication-lag-ms 20 --service-time-us 300" \
        "ownership.owners_per_group=3"
    sleep "$SETTLE_SECONDS"
    start_load
    sleep "$SETTLE_SECONDS"
    gained=$(ownerships_gained)
    STOPS_CUT=0
    for ((round = 1; round <= ROUNDS; round++)); do
        for ((index = 0; index < STAYS; index++)); do
            bench_say "ownership: $1 of daemon $((index + 1)), round $round of $ROUNDS"
            restart "$index" "$1"
        done
    done
    gained=$(($(ownerships_gained) - gained))
    cluster_signal moves TERM
    cluster_await_load moves
    cluster_check moves >&2 || verdict=$?
    limit=$(cluster_databases_field connections | sort -n | head -n 1)
    BENCH_POINT=$(bench_figures moves | jq -c --argjson connections "$(connection_figures)" \
        --argjson limit "$limit" --argjson gained "$gained" --argjson cut "$STOPS_CUT" \
        --argjson restarts "$((ROUNDS * STAYS))" --argjson verdict "$verdict" '
        . + $connections + {connection_limit: $limit, restarts: $restarts, ownerships_gained: $gained,
            stops_that_cut: $cut, failed_requests: (.requests - (.by_outcome.done // 0)),
            promises_kept: ($verdict == 0)}')
}

main() {
    cluster_init "$1"
    local planned killed
    measure TERM
    planned=$BENCH_POINT
    measure KILL
    killed=$BENCH_POINT
    jq -n --argjson planned "$planned" --argjson killed "$killed" '
        def result: {over_connection_limit, peak_to_limit: (.peak_connections / .connection_limit),
            failed_share: (.failed_requests / .requests), promises_kept};
        {results: {planned: ($planned | result), killed: ($killed | result)},
         figures: {planned: $planned, killed: $killed}}'
}

main "${1:-build}"
