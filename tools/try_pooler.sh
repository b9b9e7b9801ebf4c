#!/usr/bin/env bash
# Three poolers before two groups of stand-in databases with three tenants, at fixed ports from 6501 on (or
# TRY_FIRST_PORT), until Ctrl-C. README.md has examples. --check runs these and ends: a read after a write, a limit
# reached, a key revoked, a primary lost. It uses free ports, so that several copies may run at once.
# Usage: tools/try_pooler.sh [--check] [BUILD_DIRECTORY]
set -euo pipefail

cd "$(dirname "$0")/.."
check=
if [ "${1:-}" = --check ]; then
    check=1
    shift
fi
readonly build=${1:-build}
readonly POOLERS=3
readonly PORTS_EACH=5
readonly READY_TENTHS=300
directory=$(mktemp -d)
readonly directory
readonly configuration=$directory/configuration.json
pids=()

end_all() {
    trap - EXIT
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait
    [ -z "$check" ] || rm -rf "$directory"
}
trap end_all EXIT
trap 'exit 130' INT TERM

draw_ports() {
    local kind index
    if [ -n "$check" ] && [ -z "${TRY_FIRST_PORT:-}" ]; then
        # shellcheck source=tools/cluster.sh
        . tools/cluster.sh
        read -ra ports <<<"$(cluster_free_ports $((POOLERS * PORTS_EACH)))"
        return
    fi
    ports=()
    for ((kind = 0; kind < PORTS_EACH; kind++)); do
        for ((index = 0; index < POOLERS; index++)); do
            ports+=($((${TRY_FIRST_PORT:-6501} + index + kind * 10)))
        done
    done
}

port_of() { # pooler, which of its ports
    printf '%d' "${ports[$1 + $2 * POOLERS]}"
}

start_platform() {
    cp examples/hut-sessions/configuration.json "$configuration"
    : >"$directory/platform.log" # it may be read before the process has written anything
    "$build/standins/session_platform/swiftworks-session-standin" "$configuration" >"$directory/platform.log" &
    platform_pid=$!
    pids+=("$platform_pid")
    for ((tenths = 0; tenths < READY_TENTHS; tenths++)); do
        store=$(sed -n 's/^store //p' "$directory/platform.log")
        [ -z "$store" ] || return 0
        sleep 0.1
    done
    echo "the platform's stand-in does not start" >&2
    exit 1
}

start_pooler() {
    local index=$1
    "$build/platform/swiftworks-pooler" --set="pooler.name=pooler-$index" --set="pooler.zone=z$index" \
        --set="pooler.listen=127.0.0.1:$(port_of "$index" 0)" --set="pooler.peer_listen=127.0.0.1:$(port_of "$index" 1)" \
        --set="pooler.forward_listen=127.0.0.1:$(port_of "$index" 2)" \
        --set="pooler.readiness_listen=127.0.0.1:$(port_of "$index" 3)" \
        --set="pooler.metrics_listen=127.0.0.1:$(port_of "$index" 4)" \
        --set="pooler.peers=127.0.0.1:$(port_of 0 1)" --set="store.address=$store" --set="promotion.address=$store" \
        --set=store.heartbeat_ms=400 --set=access.revoke_ms=5000 --set=log.lines_per_second=2000 >"$directory/pooler-$index.log" &
    pids+=("$!")
}

ask() { # pooler, database, key, texts
    local port
    port=$(port_of "$1" 0)
    shift
    python3 tools/line_client.py "$port" "$@"
}

# Operations are counted some seconds after the poolers have discovered each other.
await_ready() {
    for ((tenths = 0; tenths < READY_TENTHS; tenths++)); do
        if ask 2 beds key-toubkal 'WRITE ready 1' 2>/dev/null | grep -q COMPLETE; then
            return 0
        fi
        sleep 0.1
    done
    echo "the poolers do not serve" >&2
    exit 1
}

expect() { # expected part, text
    printf '%s\n' "$2"
    if ! grep -q -- "$1" <<<"$2"; then
        printf 'expected: %s\n' "$1" >&2
        exit 1
    fi
}

play() {
    local answer
    echo '== a read follows the write of its session'
    expect 'ROW\|four-beds' "$(ask 0 beds key-toubkal 'WRITE toubkal four-beds' 'READ toubkal')"
    echo '== an agency is limited to 2 operations a second'
    expect 'ERROR OVERLOAD' "$(ask 1 weather key-agency --rate 40 --seconds 1 'READ toubkal'; ask 1 beds key-agency --rate 40 --seconds 1 'READ toubkal')"
    echo '== a key is taken away'
    sed -i -e 's/"key-neltner-1", //' -e 's/"version": 1/"version": 2/' "$configuration"
    for ((tenths = 0; tenths < READY_TENTHS; tenths++)); do
        answer=$(ask 2 beds key-neltner-1 'READ toubkal')
        ! grep -q 'ERROR UNAUTH' <<<"$answer" || break
        sleep 0.1
    done
    expect 'ERROR UNAUTH' "$answer"
    expect 'COMPLETE' "$(ask 2 beds key-neltner-2 'READ toubkal')"
    echo '== a primary is lost; another one leads'
    kill -USR1 "$platform_pid"
    for ((tenths = 0; tenths < READY_TENTHS; tenths++)); do
        if grep -q '^down' "$directory/platform.log"; then
            answer=$(ask 0 beds key-toubkal 'WRITE toubkal two-beds' || true)
            ! grep -q 'COMPLETE' <<<"$answer" || break
        fi
        sleep 0.1
    done
    expect 'COMPLETE' "$answer"
    expect '^promoted' "$(cat "$directory/platform.log")"
    echo '== what was said of a request above the limit'
    answer=$(ask 1 beds key-agency 'READ a' 'READ b' 'READ c' 'READ d' 'READ e' 'READ f' 'READ g' 'READ h' 'READ i' \
        'READ j' 'READ k' 'READ l')
    expect 'ERROR OVERLOAD' "$answer"
    tools/explain.py "$(sed -n '/ERROR OVERLOAD/{s/ .*//p;q}' <<<"$answer")" "$directory"/pooler-*.log
}

show() {
    local index
    for ((index = 0; index < POOLERS; index++)); do
        printf 'pooler-%d: clients at port %s, metrics http://127.0.0.1:%s/metrics\n' "$index" "$(port_of "$index" 0)" \
            "$(port_of "$index" 4)"
    done
    printf 'operator: edit %s (raise its version)\nkill a primary: kill -USR1 %s\nlogs: %s\nReady; Ctrl-C ends everything.\n' \
        "$configuration" "$platform_pid" "$directory"
}

draw_ports
start_platform
for ((index = 0; index < POOLERS; index++)); do
    start_pooler "$index"
done
await_ready
if [ -n "$check" ]; then
    play
    exit 0
fi
show
while :; do
    sleep 1
done
