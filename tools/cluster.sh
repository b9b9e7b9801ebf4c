# A deployment of real processes on loopback, for the demo, the chaos run and the benchmarks: stand-in
# platform, stand-in databases of one group, and daemons. Source it; call cluster_init first. It tracks
# the processes it starts by id and ends only those, at the latest when the calling shell exits.
# shellcheck shell=bash

readonly CLUSTER_FIRST_PORT=20000
readonly CLUSTER_LAST_PORT=31999
readonly CLUSTER_STOP_TENTHS=50

CLUSTER_DIRECTORY=
CLUSTER_BUILD=
CLUSTER_PLATFORM_PORT=
CLUSTER_DATABASES=()
CLUSTER_DAEMONS=()
# Maps the name of each started process that was not waited for to its id. Kept in memory, so that the loss of
# the working directory leaves no processes behind.
declare -A CLUSTER_PIDS=()

cluster_fail() {
    printf 'cluster: %s\n' "$*" >&2
    exit 1
}

# cluster_init BUILD_DIRECTORY: makes the working directory; everything ends with the shell.
cluster_init() {
    CLUSTER_BUILD=$(cd "$1" && pwd) || cluster_fail "no build directory: $1"
    CLUSTER_DIRECTORY=$(mktemp -d "${TMPDIR:-/tmp}/swiftworks-cluster.XXXXXX")
    mkdir "$CLUSTER_DIRECTORY/log"
    trap cluster_end EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}

# Ends the processes and removes the working directory; CLUSTER_KEEP=1 keeps it with the logs.
cluster_end() {
    local status=$?
    trap - EXIT
    cluster_stop_all
    if [ "${CLUSTER_KEEP:-0}" = 1 ]; then
        printf 'cluster: logs and histories are in %s\n' "$CLUSTER_DIRECTORY" >&2
    else
        rm -rf "$CLUSTER_DIRECTORY"
    fi
    exit "$status"
}

# cluster_free_ports N: prints N ports without a listener, outside the range of outgoing connections.
cluster_free_ports() {
    python3 - "$1" "$CLUSTER_FIRST_PORT" "$CLUSTER_LAST_PORT" <<'PYTHON'
import random
import socket
import sys

count, first, last = (int(argument) for argument in sys.argv[1:])
taken = []
while len(taken) < count:
    attempt = socket.socket()
    try:
        attempt.bind(("127.0.0.1", random.randint(first, last)))
        taken.append(attempt)
    except OSError:
        attempt.close()
print(*(one.getsockname()[1] for one in taken))
PYTHON
}

# cluster_start NAME COMMAND...: starts a process in the background; its output goes to log/NAME. Must not run in
# a subshell, whose children could not be identified later.
cluster_start() {
    local name=$1
    shift
    [ "$BASHPID" = "$$" ] || cluster_fail "$name must not be started in a subshell"
    "$@" >>"$CLUSTER_DIRECTORY/log/$name" 2>&1 </dev/null &
    CLUSTER_PIDS[$name]=$!
}

# cluster_pid NAME: prints the process id; fails if the process was not started or has ended.
cluster_pid() {
    local pid=${CLUSTER_PIDS[$1]:-} parent
    [ -n "$pid" ] || return 1
    parent=$(awk '/^PPid:/ {print $2}' "/proc/$pid/status" 2>/dev/null)
    [ "$parent" = "$$" ] || return 1
    echo "$pid"
}

# cluster_signal NAME SIGNAL
cluster_signal() {
    local pid
    pid=$(cluster_pid "$1") || cluster_fail "$1 is not running"
    kill -s "$2" "$pid"
}

# cluster_wait NAME: waits for a process to end; returns its exit code.
cluster_wait() {
    local pid=${CLUSTER_PIDS[$1]:-} status=0
    [ -n "$pid" ] || cluster_fail "$1 was not started"
    wait "$pid" || status=$?
    unset "CLUSTER_PIDS[$1]"
    return "$status"
}

# cluster_kill NAME: sends SIGKILL and waits until the process has ended.
cluster_kill() {
    cluster_signal "$1" KILL
    cluster_wait "$1" 2>/dev/null || true
}

cluster_stop_all() {
    local name pid
    local -a names=()
    for name in "${!CLUSTER_PIDS[@]}"; do
        pid=$(cluster_pid "$name") || continue
        names+=("$name")
        kill -s TERM "$pid" 2>/dev/null || true
        kill -s CONT "$pid" 2>/dev/null || true
    done
    local tenths=0
    for name in "${names[@]}"; do
        while pid=$(cluster_pid "$name") && [ "$tenths" -lt "$CLUSTER_STOP_TENTHS" ]; do
            sleep 0.1
            tenths=$((tenths + 1))
        done
        if pid=$(cluster_pid "$name"); then
            kill -s KILL "$pid" 2>/dev/null || true
        fi
        cluster_wait "$name" 2>/dev/null || true
    done
}

# cluster_show_log NAME: the last lines of a process's output, for a failure report.
cluster_show_log() {
    printf -- '-- last lines of %s\n' "$1" >&2
    tail -n 20 "$CLUSTER_DIRECTORY/log/$1" >&2 || true
}

# cluster_configure EXAMPLE GROUP: reduces an example's configuration to one group, on free ports.
cluster_configure() {
    local example="examples/$1/configuration.json" count ports
    count=$(jq -e --arg group "$2" '.groups[$group].databases | length' "$example") ||
        cluster_fail "no group $2 in $example"
    ports=$(cluster_free_ports $((count * 2)))
    jq --arg group "$2" --arg ports "$ports" -f tools/cluster-configuration.jq "$example" \
        >"$CLUSTER_DIRECTORY/configuration.json"
    CLUSTER_GROUP=$2
    read -ra CLUSTER_DATABASE_ADMINS <<<"$(cut -d' ' -f"$((count + 1))-" <<<"$ports")"
    mapfile -t CLUSTER_DATABASES < <(cluster_databases_field name)
    mapfile -t CLUSTER_DATABASE_PORTS < <(cluster_databases_field port)
    printf '1 %s\n' "$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')" >"$CLUSTER_DIRECTORY/token-keys"
    chmod 600 "$CLUSTER_DIRECTORY/token-keys"
}

# cluster_edit_configuration FILTER: applies a jq filter to the reduced configuration, before the start.
cluster_edit_configuration() {
    jq "$1" "$CLUSTER_DIRECTORY/configuration.json" >"$CLUSTER_DIRECTORY/configuration.tmp"
    mv "$CLUSTER_DIRECTORY/configuration.tmp" "$CLUSTER_DIRECTORY/configuration.json"
}

cluster_databases_field() {
    jq -r --arg group "$CLUSTER_GROUP" ".groups[\$group].databases[].$1" \
        "$CLUSTER_DIRECTORY/configuration.json"
}

# cluster_start_platform
cluster_start_platform() {
    CLUSTER_PLATFORM_PORT=$(cluster_free_ports 1)
    cluster_start platform "$CLUSTER_BUILD/standins/platform/standin-platform" \
        --listen "127.0.0.1:$CLUSTER_PLATFORM_PORT"
    cluster_await_port platform "$CLUSTER_PLATFORM_PORT"
}

# cluster_publish BASE_VERSION MESSAGE [OPTION...]: makes the reduced configuration the next version.
cluster_publish() {
    "$CLUSTER_BUILD/src/ctl/swiftctl" publish --base "$1" --message "$2" --author operator "${@:3}" \
        --table-url "http://127.0.0.1:$CLUSTER_PLATFORM_PORT" "$CLUSTER_DIRECTORY/configuration.json"
}

# Settings of a daemon's source of configuration: the published one, or without a platform the file.
cluster_configuration_settings() {
    if [ -n "$CLUSTER_PLATFORM_PORT" ]; then
        printf '%s\n' "platform.table_endpoint=http://127.0.0.1:$CLUSTER_PLATFORM_PORT" \
            "platform.object_endpoint=http://127.0.0.1:$CLUSTER_PLATFORM_PORT"
    else
        printf '%s\n' "configuration.file=$CLUSTER_DIRECTORY/configuration.json"
    fi
}

# cluster_await_port NAME PORT: waits until the process listens there.
cluster_await_port() {
    local tenths
    for ((tenths = 0; tenths < 100; tenths++)); do
        cluster_pid "$1" >/dev/null || break
        if (exec 3<>"/dev/tcp/127.0.0.1/$2") 2>/dev/null; then
            return 0
        fi
        sleep 0.1
    done
    cluster_show_log "$1"
    cluster_fail "$1 does not listen on port $2"
}

# cluster_start_database INDEX primary [ARGUMENT...]
# cluster_start_database INDEX replica PRIMARY_PORT [ARGUMENT...]
cluster_start_database() {
    local index=$1 role=$2
    shift 2
    local -a following=()
    if [ "$role" = replica ]; then
        following=(--primary "127.0.0.1:$1")
        shift
    fi
    local name=${CLUSTER_DATABASES[$index]}
    local zone slots connections
    zone=$(cluster_databases_field zone | sed -n "$((index + 1))p")
    slots=$(cluster_databases_field slots | sed -n "$((index + 1))p")
    connections=$(cluster_databases_field connections | sed -n "$((index + 1))p")
    cluster_start "$name" "$CLUSTER_BUILD/standins/database/standin-database" \
        --listen "127.0.0.1:${CLUSTER_DATABASE_PORTS[$index]}" \
        --admin "127.0.0.1:${CLUSTER_DATABASE_ADMINS[$index]}" \
        --name "$name" --zone "$zone" --role "$role" "${following[@]}" \
        --slots "$slots" --connections "$connections" "$@"
}

# cluster_start_databases [ARGUMENT...]: all databases of the group; the first one is primary.
cluster_start_databases() {
    local index
    cluster_start_database 0 primary "$@"
    for ((index = 1; index < ${#CLUSTER_DATABASES[@]}; index++)); do
        cluster_start_database "$index" replica "${CLUSTER_DATABASE_PORTS[0]}" "$@"
    done
    for index in "${!CLUSTER_DATABASES[@]}"; do
        cluster_await_port "${CLUSTER_DATABASES[$index]}" "${CLUSTER_DATABASE_ADMINS[$index]}"
    done
}

# cluster_configure_daemons N [KEY=VALUE...]: ports, zones and the settings shared by all daemons.
cluster_configure_daemons() {
    local count=$1 setting
    shift
    read -ra CLUSTER_DAEMON_PORTS <<<"$(cluster_free_ports $((count * 3)))"
    CLUSTER_DAEMON_COUNT=$count
    CLUSTER_DAEMON_SETTINGS=("$@")
    mapfile -t CLUSTER_ZONES < <(jq -r '.zones | to_entries | sort_by(.value.id) | .[].key' \
        "$CLUSTER_DIRECTORY/configuration.json")
    local index peers=
    for ((index = 0; index < count; index++)); do
        peers+="${peers:+,}127.0.0.1:$(cluster_daemon_port "$index" 2)"
    done
    CLUSTER_PEERS=$peers
}

# cluster_daemon_port INDEX 0|1|2: client port, admin port or peer port.
cluster_daemon_port() {
    echo "${CLUSTER_DAEMON_PORTS[$(($1 * 3 + $2))]}"
}

# cluster_start_daemon INDEX: with the settings of cluster_configure_daemons.
cluster_start_daemon() {
    local index=$1 setting
    local name="daemon-$((index + 1))"
    local zone=${CLUSTER_ZONES[$((index % ${#CLUSTER_ZONES[@]}))]}
    local -a settings=(
        "daemon.name=$name"
        "daemon.deployment=cluster-$$"
        "daemon.zone=$zone"
        "daemon.listen=127.0.0.1:$(cluster_daemon_port "$index" 0)"
        "daemon.admin_listen=127.0.0.1:$(cluster_daemon_port "$index" 1)"
        "daemon.peer_listen=127.0.0.1:$(cluster_daemon_port "$index" 2)"
        "daemon.peers=$CLUSTER_PEERS"
        "session.token_keys_file=$CLUSTER_DIRECTORY/token-keys"
        "${CLUSTER_DAEMON_SETTINGS[@]}"
    )
    local -a arguments=() from
    mapfile -t from < <(cluster_configuration_settings)
    for setting in "${from[@]}" "${settings[@]}"; do
        arguments+=(--set "$setting")
    done
    cluster_start "$name" "$CLUSTER_BUILD/src/daemon/swiftworksd" "${arguments[@]}"
    CLUSTER_DAEMONS[index]=$name
}

# cluster_start_daemons N [KEY=VALUE...]
cluster_start_daemons() {
    local index
    cluster_configure_daemons "$@"
    for ((index = 0; index < CLUSTER_DAEMON_COUNT; index++)); do
        cluster_start_daemon "$index"
    done
    for ((index = 0; index < CLUSTER_DAEMON_COUNT; index++)); do
        cluster_await_daemon "$index"
    done
}

# cluster_await_daemon INDEX: waits until it serves a read.
cluster_await_daemon() {
    local name="daemon-$(($1 + 1))" tenant
    cluster_await_port "$name" "$(cluster_daemon_port "$1" 0)"
    tenant=$(jq -r '.tenants | keys[0]' "$CLUSTER_DIRECTORY/configuration.json")
    if ! cluster_sql_until_done "$1" "$tenant" '{"sql":"SELECT 1","access":"read"}'; then
        cluster_show_log "$name"
        cluster_fail "$name serves no read"
    fi
}

# cluster_daemon_arguments: "--daemon HOST:PORT" for each daemon, for swiftworks-load.
cluster_daemon_arguments() {
    local index
    for ((index = 0; index < CLUSTER_DAEMON_COUNT; index++)); do
        printf -- '--daemon 127.0.0.1:%s ' "$(cluster_daemon_port "$index" 0)"
    done
}

# cluster_database_addresses: "HOST:PORT,HOST:PORT,..." of the group, for swiftworks-check.
cluster_database_addresses() {
    printf '127.0.0.1:%s\n' "${CLUSTER_DATABASE_PORTS[@]}" | paste -sd, -
}

# cluster_database_index NAME
cluster_database_index() {
    local index
    for index in "${!CLUSTER_DATABASES[@]}"; do
        if [ "${CLUSTER_DATABASES[$index]}" = "$1" ]; then
            echo "$index"
            return 0
        fi
    done
    cluster_fail "no database $1"
}

# cluster_fault DATABASE QUERY: an admin call, such as "name=cut_zone&zone=*".
cluster_fault() {
    local index
    index=$(cluster_database_index "$1")
    curl -sf -m 5 -X POST -o /dev/null \
        "http://127.0.0.1:${CLUSTER_DATABASE_ADMINS[$index]}/fault?$2" ||
        cluster_fail "the fault $2 was refused by $1"
}

# cluster_platform_fault QUERY
cluster_platform_fault() {
    curl -sf -m 5 -X POST -o /dev/null "http://127.0.0.1:$CLUSTER_PLATFORM_PORT/fault?$1" ||
        cluster_fail "the fault $1 was refused by the platform"
}

# cluster_ctl DAEMON_INDEX COMMAND...: swiftctl at a daemon's admin listener.
cluster_ctl() {
    local index=$1
    shift
    "$CLUSTER_BUILD/src/ctl/swiftctl" "$@" --admin "http://127.0.0.1:$(cluster_daemon_port "$index" 1)"
}

# cluster_fetch_traces DIRECTORY: fetches the group's trace of each daemon that responds, as NAME.trace.
cluster_fetch_traces() {
    local index name
    mkdir -p "$1"
    for ((index = 0; index < CLUSTER_DAEMON_COUNT; index++)); do
        name="daemon-$((index + 1))"
        cluster_ctl "$index" trace "$CLUSTER_GROUP" "$1/$name.trace" --timeout-ms 5000 >/dev/null ||
            printf 'cluster: no trace of %s\n' "$name" >&2
    done
}

# cluster_violations: sums of the violations that the running databases counted: "over_limit lower_term".
cluster_violations() {
    local index
    for index in "${!CLUSTER_DATABASES[@]}"; do
        cluster_pid "${CLUSTER_DATABASES[$index]}" >/dev/null || continue
        curl -s -m 5 "http://127.0.0.1:${CLUSTER_DATABASE_ADMINS[$index]}/violations"
        echo
    done | jq -rs '"\(map(.over_connection_limit) | add // 0) \(map(.lower_term_write) | add // 0)"'
}

# cluster_tenants: the tenants of the reduced configuration.
cluster_tenants() {
    jq -r '.tenants | keys[]' "$CLUSTER_DIRECTORY/configuration.json"
}

# cluster_sql DAEMON_INDEX TENANT JSON_BODY [HEADER...]: one statement over HTTP. The answer's body goes
# to $CLUSTER_DIRECTORY/body, its headers to $CLUSTER_DIRECTORY/headers; prints the outcome.
cluster_sql() {
    local index=$1 tenant=$2 body=$3 header
    shift 3
    local -a headers=()
    for header in "$@"; do
        headers+=(-H "$header")
    done
    curl -s -m 10 -D "$CLUSTER_DIRECTORY/headers" -o "$CLUSTER_DIRECTORY/body" \
        -H 'Content-Type: application/json' "${headers[@]}" -d "$body" \
        "http://127.0.0.1:$(cluster_daemon_port "$index" 0)/v1/tenants/$tenant/statements" ||
        { echo lost; return 0; }
    jq -r '.outcome // "none"' "$CLUSTER_DIRECTORY/body" 2>/dev/null || echo none
}

# cluster_header NAME: a header of the last answer of cluster_sql.
cluster_header() {
    sed -n "s/^$1: *//Ip" "$CLUSTER_DIRECTORY/headers" | tr -d '\r' | tail -n 1
}

# cluster_served FIELD: a field of the last answer's Swiftworks-Served-By header.
cluster_served() {
    cluster_header Swiftworks-Served-By | tr ';' '\n' | sed -n "s/^ *$1=//p"
}

# cluster_sql_until_done ...: repeats cluster_sql until it succeeds, for at most 20 s.
cluster_sql_until_done() {
    local tenths outcome=none
    for ((tenths = 0; tenths < 200; tenths++)); do
        outcome=$(cluster_sql "$@")
        [ "$outcome" != 'done' ] || return 0
        sleep 0.1
    done
    printf 'cluster: not done: %s\n' "$(cat "$CLUSTER_DIRECTORY/body" 2>/dev/null)" >&2
    return 1
}

# cluster_primary TENANT: sends a write and prints the name of the database that served it.
cluster_primary() {
    local body='{"sql":"INSERT INTO cluster_probe (id) VALUES ($1)","parameters":["probe"],"access":"write"}'
    local table='{"sql":"CREATE TABLE IF NOT EXISTS cluster_probe (id TEXT)","access":"write"}'
    cluster_sql_until_done 0 "$1" "$table" "Idempotency-Key: probe-table-$RANDOM$RANDOM" || return 1
    cluster_sql_until_done 0 "$1" "$body" "Idempotency-Key: probe-$RANDOM$RANDOM" || return 1
    cluster_served database
}

# cluster_start_load NAME ARGUMENT...: swiftworks-load over all daemons, in the background. It writes
# NAME.jsonl (history) and NAME.json (summary) into the working directory.
cluster_start_load() {
    local name=$1
    shift
    # shellcheck disable=SC2046  # one word per argument is meant
    cluster_start "$name" "$CLUSTER_BUILD/src/load/swiftworks-load" $(cluster_daemon_arguments) \
        --run "$name" --history "$CLUSTER_DIRECTORY/$name.jsonl" \
        --summary "$CLUSTER_DIRECTORY/$name.json" "$@"
}

# cluster_await_load NAME: waits until the load ends; if it failed, the run fails.
cluster_await_load() {
    if ! cluster_wait "$1"; then
        cluster_show_log "$1"
        cluster_fail "the load $1 failed"
    fi
}

# cluster_check LOAD...: checks the loads' histories and the databases; the report goes to check.json.
# Returns 0 if every guarantee held.
cluster_check() {
    local load verdict=0
    local -a histories=()
    for load in "$@"; do
        histories+=("$CLUSTER_DIRECTORY/$load.jsonl")
    done
    "$CLUSTER_BUILD/src/load/swiftworks-check" --database "$(cluster_database_addresses)" \
        --timeout-ms 20000 "${histories[@]}" >"$CLUSTER_DIRECTORY/check.json" || verdict=$?
    if [ "$verdict" -ne 0 ]; then
        jq -c '.violations, .broken[:5]' "$CLUSTER_DIRECTORY/check.json" || true
    fi
    return "$verdict"
}

# Number of violated guarantees. Each guarantee is reported on a line of its own.
CLUSTER_BROKEN=0

# promise TEXT COMMAND...: reports a guarantee as kept if the command succeeds.
promise() {
    local text=$1
    shift
    if "$@"; then
        printf '  kept: %s\n' "$text"
    else
        printf '  BROKEN: %s\n' "$text"
        CLUSTER_BROKEN=$((CLUSTER_BROKEN + 1))
    fi
}

# conclude: prints the last line; ends the run with an error if a guarantee was violated.
conclude() {
    if [ "$CLUSTER_BROKEN" -ne 0 ]; then
        printf '%d promises broke.\n' "$CLUSTER_BROKEN"
        exit 1
    fi
    printf 'All promises were kept.\n'
}

# cluster_reset: ends the processes and removes their files, for another deployment in the same shell.
cluster_reset() {
    cluster_stop_all
    rm -rf "${CLUSTER_DIRECTORY:?}"/*
    mkdir "$CLUSTER_DIRECTORY/log"
    CLUSTER_DAEMONS=()
    CLUSTER_PLATFORM_PORT=
}
