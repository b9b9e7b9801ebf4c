#!/usr/bin/env bash
# What the real daemon spends at rest, as slopes for docs/CAPACITY.md: processor time and octets to watch
# one group of three databases, and memory for each idle client connection.
# Usage: bench/scale_daemon.sh BUILD_DIRECTORY [CLIENT_CONNECTIONS]
set -euo pipefail

cd "$(dirname "$0")/.."
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
# shellcheck source=bench/common.sh
. bench/common.sh

readonly IDLE_SECONDS=20
readonly DAEMONS=3

# Octets that all daemons have exchanged with the databases, TCP payload in both directions.
database_octets() {
    local filter= port
    for port in "${CLUSTER_DATABASE_PORTS[@]}"; do
        filter+="${filter:+ or }dport = :$port"
    done
    ss -tniH state established "( $filter )" |
        grep -oE 'bytes_(acked|received):[0-9]+' | awk -F: '{sum += $2} END {print sum + 0}'
}

# Connections that all daemons hold to the databases.
database_connections() {
    local filter= port
    for port in "${CLUSTER_DATABASE_PORTS[@]}"; do
        filter+="${filter:+ or }dport = :$port"
    done
    ss -tnH state established "( $filter )" | wc -l
}

all_cpu_us() {
    local index sum=0
    for ((index = 1; index <= DAEMONS; index++)); do
        sum=$((sum + $(bench_cpu_us "daemon-$index")))
    done
    echo "$sum"
}

resident_kb() {
    awk '/^VmRSS:/ {print $2}' "/proc/$(cluster_pid daemon-1)/status"
}

# Holds connections open, each after one small request, until the other end of the pipe closes.
readonly HOLD_CLIENTS='
import socket
import sys

port, count = int(sys.argv[1]), int(sys.argv[2])
held = []
for _ in range(count):
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(b"GET /v1/nothing HTTP/1.1\r\nHost: localhost\r\n\r\n")
    client.recv(4096)
    held.append(client)
print("held", len(held), flush=True)
sys.stdin.readline()
'

measure_rest() {
    local cpu_before cpu_after octets_before octets_after
    cpu_before=$(all_cpu_us)
    octets_before=$(database_octets)
    sleep "$IDLE_SECONDS"
    cpu_after=$(all_cpu_us)
    octets_after=$(database_octets)
    jq -nc --argjson cpu $((cpu_after - cpu_before)) --argjson octets $((octets_after - octets_before)) \
        --argjson seconds "$IDLE_SECONDS" --argjson daemons "$DAEMONS" \
        --argjson connections "$(database_connections)" \
        '{seconds: $seconds, daemons: $daemons, groups_watched_by_each: 1,
          database_connections_per_daemon: ($connections / $daemons),
          cpu_percent_of_a_core_per_daemon: ($cpu / $daemons / $seconds / 10000),
          database_octets_per_s_per_daemon: ($octets / $daemons / $seconds)}'
}

measure_clients() {
    local count=$1 before after line
    before=$(resident_kb)
    coproc CLIENTS { python3 -c "$HOLD_CLIENTS" "$(cluster_daemon_port 0 0)" "$count"; }
    read -r line <&"${CLIENTS[0]}"
    sleep 1
    after=$(resident_kb)
    jq -nc --arg held "$line" --argjson count "$count" --argjson before "$before" --argjson after "$after" \
        '{connections: $count, state: $held, resident_kb_before: $before, resident_kb_after: $after,
          octets_per_connection: (($after - $before) * 1024 / $count)}'
    echo >&"${CLIENTS[1]}"
    wait "$CLIENTS_PID" || true
}

main() {
    cluster_init "$1"
    bench_deploy atlas-huts bookings-toubkal "$DAEMONS" "--service-time-us 0" ${SCALE_SETTINGS:-}
    sleep 10
    local rest clients
    rest=$(measure_rest)
    measure_clients "${2:-3816}" >"$CLUSTER_DIRECTORY/clients.json"
    clients=$(cat "$CLUSTER_DIRECTORY/clients.json")
    jq -nc --arg commit "$(git rev-parse --short HEAD)" --argjson rest "$rest" --argjson clients "$clients" \
        '{role: "daemon", commit: $commit, at_rest: $rest, clients: $clients}'
}

main "$@"
