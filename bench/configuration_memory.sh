#!/usr/bin/env bash
# Memory and processor time that a daemon uses for changes of a large configuration: three daemons, a bundle with
# many tenants, one tenant changed by each publish. For each daemon: resident size before and after each change, its
# peak during the change (the kernel's VmHWM, reset before), and processor time of the change.
# Usage: bench/configuration_memory.sh [BUILD_DIRECTORY]   BENCH_TENANTS (20000), BENCH_PUBLISHES (6)
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh

readonly DAEMONS=3
readonly TENANTS=${BENCH_TENANTS:-20000}
readonly PUBLISHES=${BENCH_PUBLISHES:-6}
readonly TIMEOUT_SECONDS=60
readonly QUIET_SECONDS=3
readonly RESET_PEAK=5

# memory_kb INDEX FIELD: VmRSS or VmHWM of a daemon.
memory_kb() {
    awk -v field="$2:" '$1 == field {print $2}' "/proc/$(cluster_pid "daemon-$(($1 + 1))")/status"
}

# processor_ms INDEX: user and system time so far; clock ticks are a hundredth of a second.
processor_ms() {
    awk '{print ($14 + $15) * 10}' "/proc/$(cluster_pid "daemon-$(($1 + 1))")/stat"
}

# publish VERSION: publishes the configuration with one tenant's weight changed.
publish() {
    cluster_edit_configuration ".tenants[\"tenant-$1\"].parameters.weight = 60"
    cluster_publish $(($1 - 1)) "change $1" --admin "http://127.0.0.1:$(cluster_daemon_port 0 1)" >&2
}

await_version() {
    local index tenths
    for ((index = 0; index < DAEMONS; index++)); do
        for ((tenths = 0; tenths < TIMEOUT_SECONDS * 10; tenths++)); do
            [ "$(cluster_ctl "$index" status --output json | jq .configuration.version)" != "$1" ] || break
            sleep 0.1
        done
        [ "$tenths" -lt $((TIMEOUT_SECONDS * 10)) ] || cluster_fail "version $1 is not in force at daemon $index"
    done
}

# measure VERSION: prints one JSON line for each daemon.
measure() {
    local index
    local -a before=() spent=()
    for ((index = 0; index < DAEMONS; index++)); do
        echo "$RESET_PEAK" >"/proc/$(cluster_pid "daemon-$((index + 1))")/clear_refs"
        before[index]=$(memory_kb "$index" VmRSS)
        spent[index]=$(processor_ms "$index")
    done
    publish "$1"
    await_version "$1"
    sleep "$QUIET_SECONDS"
    for ((index = 0; index < DAEMONS; index++)); do
        jq -nc --argjson version "$1" --argjson daemon "$index" --argjson before "${before[index]}" \
            --argjson after "$(memory_kb "$index" VmRSS)" --argjson peak "$(memory_kb "$index" VmHWM)" \
            --argjson ms "$(($(processor_ms "$index") - spent[index]))" \
            '{version: $version, daemon: $daemon, before_kb: $before, peak_kb: $peak, after_kb: $after, processor_ms: $ms}'
    done
}

main() {
    local version
    cluster_init "${1:-build}"
    cluster_configure atlas-huts bookings-toubkal
    cluster_edit_configuration ".tenants += ([range($TENANTS)
        | {key: \"tenant-\(.)\", value: {template: \"hut\", parameters: {group: \"bookings-toubkal\", weight: 50}}}] | from_entries)"
    cluster_start_platform
    cluster_publish 0 "opening" >&2
    cluster_start_databases
    cluster_start_daemons "$DAEMONS"
    await_version 1
    sleep "$QUIET_SECONDS"
    for ((version = 2; version <= PUBLISHES + 1; version++)); do
        measure "$version"
    done | jq -s '{daemons: ., worst_peak_kb: (map(.peak_kb) | max), worst_after_kb: (map(.after_kb) | max),
        worst_processor_ms: (map(.processor_ms) | max)}'
}

main "$@"
