#!/usr/bin/env bash
# The hut franchise at reduced size on loopback: a session writes through one daemon and reads its write
# through another from a replica; then the primary is killed under load. Prints each step and a summary;
# exits non-zero if a guarantee was violated.
# Usage: tools/demo.sh [BUILD_DIRECTORY]   CLUSTER_KEEP=1 keeps logs and histories.
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh

readonly EXAMPLE=atlas-huts
readonly GROUP=bookings-toubkal
readonly TENANT=hut-toubkal-refuge
readonly DAEMONS=3
readonly LOAD_SECONDS=14
readonly KILL_AFTER_SECONDS=5
readonly READ_SESSIONS=12
readonly WRITE_SESSIONS=4
readonly OWN_READS_MAX=10

say() {
    printf '%s\n' "$*"
}

# The last answer in one line.
show_answer() {
    say "  $1: $(jq -c 'if .outcome == "done" then {outcome, rows} else . end' "$CLUSTER_DIRECTORY/body")"
    say "    $(cluster_header Swiftworks-Served-By)$(show_header Swiftworks-Reason reason)"
}

show_header() {
    local value
    value=$(cluster_header "$1")
    [ -z "$value" ] || printf '; %s=%s' "$2" "$value"
}

start_deployment() {
    say "1. Start: platform, 3 databases of group $GROUP in 3 zones, $DAEMONS daemons."
    cluster_configure "$EXAMPLE" "$GROUP"
    cluster_start_platform
    cluster_publish 0 "opening" | sed 's/^/  /'
    cluster_start_databases --open-delay-ms 10 --zone-delay-us 1500 --replication-lag-ms 20 \
        --service-time-us 300
    cluster_start_daemons "$DAEMONS"
    say "  databases: ${CLUSTER_DATABASES[*]}; daemons: ${CLUSTER_DAEMONS[*]}"
}

write_and_read_back() {
    local insert='{"sql":"INSERT INTO stays (id, hut, beds) VALUES ($1, $2, $3)","parameters":["stay-1","toubkal",4],"access":"write"}'
    local select='{"sql":"SELECT id, hut, beds FROM stays WHERE id = $1","parameters":["stay-1"],"access":"read"}'
    local table='{"sql":"CREATE TABLE stays (id TEXT PRIMARY KEY, hut TEXT, beds BIGINT)","access":"write"}'
    say "2. A session confirms a stay through ${CLUSTER_DAEMONS[0]}."
    cluster_sql_until_done 0 "$TENANT" "$table" "Idempotency-Key: demo-table"
    cluster_sql 0 "$TENANT" "$insert" "Idempotency-Key: stay-1" >/dev/null
    show_answer write
    promise "the write is done" [ "$(jq -r .outcome "$CLUSTER_DIRECTORY/body")" = 'done' ]
    PRIMARY=$(cluster_served database)
    local token
    token=$(cluster_header Swiftworks-Session)

    say "3. The same session reads it through ${CLUSTER_DAEMONS[1]}, at once and again."
    read_own_write "$token" "$select"
    promise "a replica served a read of the session's own write" read_by_replica "$token" "$select"

    say "4. The same confirmation, sent again under its key through ${CLUSTER_DAEMONS[2]}, runs no second time."
    cluster_sql 2 "$TENANT" "$insert" "Idempotency-Key: stay-1" >/dev/null
    show_answer write
    promise "the recorded outcome is told" [ "$(jq -r .outcome "$CLUSTER_DIRECTORY/body")" = 'done' ]
}

# Reads the stay of step 2 once; the session must see it, whichever database serves the read.
read_own_write() {
    cluster_sql 1 "$TENANT" "$2" "Swiftworks-Session: $1" >/dev/null
    show_answer read
    promise "the session reads its own write" \
        [ "$(jq -r '.rows[0][0] // "nothing"' "$CLUSTER_DIRECTORY/body")" = stay-1 ]
}

# Reads until a replica serves it, at most OWN_READS_MAX times.
read_by_replica() {
    local count
    for ((count = 1; count < OWN_READS_MAX; count++)); do
        [ "$(cluster_served role)" != replica ] || return 0
        sleep 0.1
        read_own_write "$1" "$2"
    done
    [ "$(cluster_served role)" = replica ]
}

kill_primary_under_load() {
    say "5. Load for $LOAD_SECONDS s: $READ_SESSIONS sessions read and write, $WRITE_SESSIONS write without pause;" \
        "all move between the daemons."
    cluster_start_load mixed --tenant "$TENANT" --duration "$LOAD_SECONDS" \
        --operation-timeout-ms 8000 --prepare --sessions "$READ_SESSIONS" \
        --read-share 0.9 --pause-ms 5 --seed 1
    cluster_start_load writers --tenant "$TENANT" --duration "$LOAD_SECONDS" \
        --operation-timeout-ms 8000 --prepare --sessions "$WRITE_SESSIONS" \
        --read-share 0 --pause-ms 2 --seed 2
    sleep "$KILL_AFTER_SECONDS"
    say "  after $KILL_AFTER_SECONDS s: SIGKILL to the primary, $PRIMARY"
    cluster_kill "$PRIMARY"
    cluster_await_load mixed
    cluster_await_load writers
    cluster_sql_until_done 1 "$TENANT" \
        '{"sql":"INSERT INTO stays (id, hut, beds) VALUES ($1, $2, $3)","parameters":["stay-2","toubkal",2],"access":"write"}' \
        "Idempotency-Key: stay-2" || true
    show_answer "write after the failover"
    promise "another database leads" [ "$(cluster_served database)" != "$PRIMARY" ]
}

check_histories() {
    say "6. Check of every answer against the databases that are left."
    promise "no acknowledged write is lost, none is doubled, every \"not run\" is true, sessions read their writes" \
        cluster_check mixed writers
    local over_limit lower_term
    read -r over_limit lower_term <<<"$(cluster_violations)"
    promise "no database saw more connections than its limit ($over_limit) or a write of a lower term ($lower_term)" \
        [ "$over_limit $lower_term" = "0 0" ]
    promise "writes land again after the kill" writes_landed_at_the_end
}

# True if the writers had an acknowledgement in the last second of the run.
writes_landed_at_the_end() {
    jq -e '.seconds[-2:] | map(.done) | add > 0' "$CLUSTER_DIRECTORY/writers.json" >/dev/null
}

show_summary() {
    say "Summary"
    jq -rn --slurpfile mixed "$CLUSTER_DIRECTORY/mixed.json" \
        --slurpfile writers "$CLUSTER_DIRECTORY/writers.json" \
        --slurpfile check "$CLUSTER_DIRECTORY/check.json" -f tools/demo-summary.jq
}

main() {
    cluster_init "${1:-build}"
    start_deployment
    write_and_read_back
    kill_primary_under_load
    check_histories
    show_summary
    conclude
}

main "$@"
