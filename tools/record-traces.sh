#!/usr/bin/env bash
# Records traces from real daemons, as they are kept under traces/: a deployment for each, a fault, and
# the merged trace of its three daemons. The stated outcomes are written by hand, see traces/README.md.
# Usage: tools/record-traces.sh BUILD_DIRECTORY OUTPUT_DIRECTORY NAME...
#        NAME is killed_primary, drained_primary, paused_coordinator, lost_answers.
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh

readonly EXAMPLE=atlas-huts
readonly GROUP=bookings-toubkal
readonly TENANT=hut-toubkal-refuge
readonly UNKEYED_TENANT=guides-imlil
readonly DAEMONS=3
readonly AWAIT_TURNS=200
readonly REPLICA_LATER_SECONDS=0.25

start_deployment() {
    cluster_configure "$EXAMPLE" "$GROUP"
    # One tenant may write without keys, so that unknown outcomes occur.
    cluster_edit_configuration '.templates.guide.route.writes_require_key = false'
    cluster_start_platform
    cluster_publish 0 "opening" >/dev/null
    cluster_start_databases --open-delay-ms 2
    cluster_start_daemons "$DAEMONS"
}

# find_event KIND [TERM]: the index of the first daemon that lists such an event.
find_event() {
    local index
    for ((index = 0; index < DAEMONS; index++)); do
        if [ -n "${PAUSED:-}" ] && [ "$index" -eq "$PAUSED" ]; then
            continue
        fi
        if cluster_ctl "$index" events --output json |
            jq -e --arg kind "$1" --argjson term "${2:-0}" \
                '[.. | objects | select(.kind? == $kind and .term >= $term)] | length > 0' >/dev/null; then
            echo "$index"
            return 0
        fi
    done
    return 1
}

# await_event KIND [TERM]: waits until find_event finds one.
await_event() {
    local turn
    for ((turn = 0; turn < AWAIT_TURNS; turn++)); do
        find_event "$@" && return 0
        sleep 0.02
    done
    cluster_fail "no event $1"
}

record_killed_primary() {
    local primary
    primary=$(cluster_primary "$TENANT")
    sleep 1
    cluster_kill "$primary"
    await_event promoted 2 >/dev/null
    sleep 1
}

record_drained_primary() {
    local primary
    primary=$(cluster_primary "$TENANT")
    sleep 1
    cluster_ctl 0 drain database "$primary" >/dev/null
    await_event leaving >/dev/null
    sleep 1
}

# Two databases are paused, the second one before the loss of the first is detected, so that the attempt to replace the
# primary has no majority. Its coordinator is paused during the attempt. Then one database resumes, and another daemon
# coordinates.
record_paused_coordinator() {
    local primary replica name
    primary=$(cluster_primary "$TENANT")
    for name in "${CLUSTER_DATABASES[@]}"; do
        [ "$name" = "$primary" ] || replica=$name
    done
    sleep 1
    cluster_signal "$primary" STOP
    sleep "$REPLICA_LATER_SECONDS"
    cluster_signal "$replica" STOP
    PAUSED=$(await_event fence_started 2)
    cluster_signal "daemon-$((PAUSED + 1))" STOP
    cluster_signal "$replica" CONT
    await_event promoted 2 >/dev/null
    sleep 1
    cluster_signal "daemon-$((PAUSED + 1))" CONT
    PAUSED=
    sleep 2
    cluster_signal "$primary" CONT
    sleep 1
}

# The database's answers are lost after it has committed: to a write without a key, to one with a key, and to a
# transaction's commit. The client resolves the outcome of the keyed ones; the key of a transaction that was never
# committed gets closed.
record_lost_answers() {
    local primary id insert='{"sql":"INSERT INTO cluster_probe (id) VALUES ($1)","parameters":["lost"],"access":"write"}'
    primary=$(cluster_primary "$UNKEYED_TENANT")
    lose_answer "$primary" COMMIT
    cluster_sql 0 "$UNKEYED_TENANT" "$insert"
    lose_answer "$primary" COMMIT
    cluster_sql 0 "$UNKEYED_TENANT" "$insert" "Idempotency-Key: lost-1"
    cluster_sql 0 "$UNKEYED_TENANT" "$insert" "Idempotency-Key: lost-1"
    id=$(call_transaction transactions '{"begin":true,"access":"write"}' lost-2 | jq -r .transaction)
    call_transaction "transactions/$id/statements" "$insert" lost-2
    lose_answer "$primary" COMMIT
    call_transaction "transactions/$id/commit" '{}' lost-2
    call_transaction "transactions/$id/commit" '{}' lost-2
    id=$(call_transaction transactions '{"begin":true,"access":"write"}' lost-3 | jq -r .transaction)
    call_transaction "transactions/$id/rollback" '{}' lost-3
    call_transaction "transactions/$id/commit" '{}' lost-3
    sleep 0.5
}

# call_transaction PATH BODY KEY: a call of daemon-1; prints the answer's body.
call_transaction() {
    curl -s -m 10 -H 'Content-Type: application/json' -H "Idempotency-Key: $3" -d "$2" \
        "http://127.0.0.1:$(cluster_daemon_port 0 0)/v1/tenants/$UNKEYED_TENANT/$1"
}

# lose_answer DATABASE MATCH: the next answer to such a statement is lost, and the connection is closed.
lose_answer() {
    cluster_fault "$1" "name=close_after&count=1&match=$2"
}

# fetch_traces FILE: the traces of all daemons, merged.
fetch_traces() {
    local index
    local -a traces=()
    for ((index = 0; index < DAEMONS; index++)); do
        traces+=("$CLUSTER_DIRECTORY/$index.trace")
        cluster_ctl "$index" trace "$GROUP" "${traces[index]}" >/dev/null
    done
    "$CLUSTER_BUILD/src/sim/swiftreplay" --merge "$1" "${traces[@]}"
    "$CLUSTER_BUILD/src/sim/swiftreplay" "$1"
}

main() {
    local output name
    [ "$#" -ge 3 ] || cluster_fail "usage: tools/record-traces.sh BUILD_DIRECTORY OUTPUT_DIRECTORY NAME..."
    cluster_init "$1"
    output=$(cd "$2" && pwd)
    shift 2
    for name; do
        declare -F "record_$name" >/dev/null || cluster_fail "unknown trace: $name"
        start_deployment
        "record_$name"
        fetch_traces "$output/daemons_$name.trace"
        cluster_reset
    done
}

main "$@"
