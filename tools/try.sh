#!/usr/bin/env bash
# A small deployment for manual trials, at fixed ports, until Ctrl-C: the stand-in platform with a
# published configuration, three stand-in databases of one group of the hut franchise, and three
# daemons. README.md and docs/OPERATIONS.md show calls against it.
# Usage: tools/try.sh [BUILD_DIRECTORY]   CLUSTER_KEEP=1 keeps the logs.
#        tools/try.sh pooler [--check] [BUILD_DIRECTORY]   the session pooler instead: try_pooler.sh
set -euo pipefail

cd "$(dirname "$0")/.."
if [ "${1:-}" = pooler ]; then
    exec tools/try_pooler.sh "${@:2}"
fi
# shellcheck source=tools/cluster.sh
. tools/cluster.sh

readonly EXAMPLE=atlas-huts
readonly GROUP=bookings-toubkal
readonly TENANT=hut-toubkal-refuge
readonly DAEMONS=3
readonly PLATFORM_PORT=7000
readonly FIRST_CALLER_PORT=8081
readonly FIRST_ADMIN_PORT=7071
readonly FIRST_PEER_PORT=7401
readonly READY_TENTHS=100

start_platform() {
    CLUSTER_PLATFORM_PORT=$PLATFORM_PORT
    cluster_start platform "$CLUSTER_BUILD/standins/platform/standin-platform" \
        --listen "127.0.0.1:$PLATFORM_PORT"
    cluster_await_port platform "$PLATFORM_PORT"
}

publish_configuration() {
    "$CLUSTER_BUILD/src/ctl/swiftctl" publish --table-url "http://127.0.0.1:$PLATFORM_PORT" \
        --base 0 --message 'the first one' "$CLUSTER_DIRECTORY/configuration.json"
}

# Assigns fixed ports to the daemons instead of free ones.
fix_daemon_ports() {
    local index
    CLUSTER_DAEMON_PORTS=()
    CLUSTER_PEERS=
    for ((index = 0; index < DAEMONS; index++)); do
        CLUSTER_DAEMON_PORTS+=($((FIRST_CALLER_PORT + index)) $((FIRST_ADMIN_PORT + index))
            $((FIRST_PEER_PORT + index)))
        CLUSTER_PEERS+="${CLUSTER_PEERS:+,}127.0.0.1:$((FIRST_PEER_PORT + index))"
    done
}

start_daemons() {
    local index
    cluster_configure_daemons "$DAEMONS" configuration.file= \
        "platform.table_endpoint=http://127.0.0.1:$PLATFORM_PORT"
    fix_daemon_ports
    for ((index = 0; index < DAEMONS; index++)); do
        cluster_start_daemon "$index"
    done
    for ((index = 0; index < DAEMONS; index++)); do
        cluster_await_port "daemon-$((index + 1))" "$(cluster_daemon_port "$index" 0)"
    done
}

# True once a primary is known, which takes a moment in a new group.
has_primary() {
    cluster_ctl 0 explain "$TENANT" --access write --output json 2>/dev/null |
        jq -e '.reason == "primary_write"' >/dev/null
}

await_primary() {
    local tenths
    for ((tenths = 0; tenths < READY_TENTHS; tenths++)); do
        ! has_primary || return 0
        sleep 0.1
    done
    cluster_show_log daemon-1
    cluster_fail "no primary was found"
}

show_process() {
    printf '%-12s pid %-8s %s\n' "$1" "$(cluster_pid "$1")" "$2"
}

show_deployment() {
    local index
    show_process platform "http://127.0.0.1:$PLATFORM_PORT"
    for index in "${!CLUSTER_DATABASES[@]}"; do
        show_process "${CLUSTER_DATABASES[$index]}" \
            "port ${CLUSTER_DATABASE_PORTS[$index]}, admin http://127.0.0.1:${CLUSTER_DATABASE_ADMINS[$index]}"
    done
    for ((index = 0; index < DAEMONS; index++)); do
        show_process "daemon-$((index + 1))" \
            "callers http://127.0.0.1:$(cluster_daemon_port "$index" 0), admin http://127.0.0.1:$(cluster_daemon_port "$index" 1)"
    done
    printf 'configuration: %s\n' "$CLUSTER_DIRECTORY/configuration.json"
    printf 'logs: %s\n' "$CLUSTER_DIRECTORY/log"
    printf 'tenant: %s. Ready; Ctrl-C ends everything.\n' "$TENANT"
}

main() {
    cluster_init "${1:-build}"
    cluster_configure "$EXAMPLE" "$GROUP"
    start_platform
    publish_configuration
    cluster_start_databases --open-delay-ms 10 --zone-delay-us 1500 --replication-lag-ms 20 \
        --service-time-us 300
    start_daemons
    await_primary
    show_deployment
    while :; do
        sleep 1
    done
}

main "$@"
