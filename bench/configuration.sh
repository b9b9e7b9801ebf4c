#!/usr/bin/env bash
# Distribution of configurations: the time from the start of `swiftctl publish` until every daemon's status shows the
# new version, with a healthy store, and with a store that only one daemon reaches and that fails as soon as that one
# has the version. Also the time between the first and the last daemon's application of it, from their journals.
# Usage: bench/configuration.sh BUILD_DIRECTORY
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly DAEMONS=${BENCH_DAEMONS:-12}
readonly PUBLISHES=${BENCH_PUBLISHES:-20}
readonly TIMEOUT_MS=30000
readonly FIRST_VERSION=1

now_ms() {
    echo $(($(date +%s%N) / 1000000))
}

# publish VERSION: publishes the configuration with a changed description.
publish() {
    local bundle="$CLUSTER_DIRECTORY/version-$1.json"
    jq --arg text "version $1" '.description = $text' "$CLUSTER_DIRECTORY/configuration.json" >"$bundle"
    "$CLUSTER_BUILD/src/ctl/swiftctl" publish --table-url "http://127.0.0.1:$CLUSTER_PLATFORM_PORT" \
        --base $(($1 - 1)) --message "benchmark" "$bundle" >&2
}

# statuses: prints one JSON status for each daemon.
statuses() {
    local index
    local -a urls=()
    for ((index = 0; index < DAEMONS; index++)); do
        urls+=("http://127.0.0.1:$(cluster_daemon_port "$index" 1)/v1/status")
    done
    curl -s -m 5 --no-progress-meter --parallel --parallel-immediate --parallel-max "$DAEMONS" "${urls[@]}" 2>/dev/null
}

# await_version VERSION all|any: waits until the daemons have it in force.
await_version() {
    local since filter
    since=$(now_ms)
    filter="length == $DAEMONS and ([.[].configuration | .serving and .version == $1] | $2)"
    until statuses | jq -es "$filter" >/dev/null; do
        [ $(($(now_ms) - since)) -lt "$TIMEOUT_MS" ] || cluster_fail "version $1 is not in force everywhere"
    done
}

# applied_times VERSION: the time at which each daemon applied it, in milliseconds of the wall clock.
applied_times() {
    local index
    for ((index = 0; index < DAEMONS; index++)); do
        curl -s -m 5 "http://127.0.0.1:$(cluster_daemon_port "$index" 1)/v1/events" |
            jq --arg text "version=$1 " '.events[] | select(.kind == "configuration_applied")
                | select(.text | startswith($text))
                | (.time[:19] + "Z" | fromdate) * 1000 + (.time[20:26] | tonumber) / 1000'
    done
}

# measure VERSION healthy|down: publishes it and appends the times to the arrays of the figures.
measure() {
    local version=$1 started spread
    started=$(now_ms)
    publish "$version"
    if [ "$2" = down ]; then
        await_version "$version" any
        cluster_platform_fault "name=down&service=both"
    fi
    await_version "$version" all
    TOTALS+=($(($(now_ms) - started)))
    spread=$(applied_times "$version" | jq -s '(max - min) * 10 | round / 10')
    SPREADS+=("$spread")
    bench_say "configuration: $2: version $version after ${TOTALS[-1]} ms, first to last $spread ms"
    cluster_platform_fault name=heal
}

# start_daemons healthy|down: all with a store, or only the first one.
start_daemons() {
    local index store="http://127.0.0.1:$CLUSTER_PLATFORM_PORT" unreachable
    unreachable="http://127.0.0.1:$(cluster_free_ports 1)"
    cluster_configure_daemons "$DAEMONS"
    for ((index = 0; index < DAEMONS; index++)); do
        CLUSTER_DAEMON_SETTINGS=("configuration.file=" "platform.table_endpoint=$store")
        if [ "$1" = down ] && [ "$index" -gt 0 ]; then
            CLUSTER_DAEMON_SETTINGS[1]="platform.table_endpoint=$unreachable"
        fi
        cluster_start_daemon "$index"
    done
    for ((index = 0; index < DAEMONS; index++)); do
        cluster_await_port "daemon-$((index + 1))" "$(cluster_daemon_port "$index" 1)"
    done
}

figures() {
    printf '%s\n' "$@" | jq -s 'sort | {p50: .[length / 2 | floor], worst: .[-1], all: .}'
}

# run_phase healthy|down: sets BENCH_POINT to its figures. A random pause between two versions avoids a fixed phase
# relative to the daemons' reads of the store.
run_phase() {
    local version
    TOTALS=()
    SPREADS=()
    cluster_reset
    cluster_configure atlas-huts bookings-toubkal
    cluster_start_platform
    cluster_start_databases
    start_daemons "$1"
    publish "$FIRST_VERSION"
    await_version "$FIRST_VERSION" all
    for ((version = FIRST_VERSION + 1; version <= FIRST_VERSION + PUBLISHES; version++)); do
        sleep "$((RANDOM % 2)).$((RANDOM % 10))"
        measure "$version" "$1"
    done
    BENCH_POINT=$(jq -n --argjson total "$(figures "${TOTALS[@]}")" --argjson spread "$(figures "${SPREADS[@]}")" \
        '{publishes: ($total.all | length), in_force_everywhere_ms: $total, first_to_last_ms: $spread}')
}

main() {
    cluster_init "$1"
    local healthy down
    run_phase healthy
    healthy=$BENCH_POINT
    run_phase down
    down=$BENCH_POINT
    jq -n --argjson daemons "$DAEMONS" --argjson healthy "$healthy" --argjson down "$down" \
        '{results: {store_healthy_p50_ms: $healthy.in_force_everywhere_ms.p50,
                    store_healthy_worst_ms: $healthy.in_force_everywhere_ms.worst,
                    store_down_p50_ms: $down.in_force_everywhere_ms.p50,
                    store_down_worst_ms: $down.in_force_everywhere_ms.worst},
          figures: {daemons: $daemons, store_healthy: $healthy, store_down: $down}}'
}

main "${1:-build}"
