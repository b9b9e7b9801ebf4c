#!/usr/bin/env bash
# Tests of tools/cluster.sh: it ends what it started, and nothing else. Prints TAP.
set -uo pipefail

cd "$(dirname "$0")/../.." || exit 1
number=0

check() {
    local name=$1
    shift
    number=$((number + 1))
    if "$@"; then
        printf 'ok %d /tools/cluster/%s\n' "$number" "$name"
    else
        printf 'not ok %d /tools/cluster/%s\n' "$number" "$name"
    fi
}

runs() {
    kill -0 "$1" 2>/dev/null
}

runs_not() {
    ! runs "$1"
}

# Runs a script that has sourced and initialised the library; prints its output.
with_cluster() {
    bash -c '. tools/cluster.sh; cluster_init .; '"$1" 2>/dev/null
}

sleep 60 &
readonly OTHER=$!
trap 'kill "$OTHER"' EXIT

started=$(with_cluster 'cluster_start one sleep 60; cluster_pid one')
check ends_its_processes runs_not "$started"

stopped=$(with_cluster 'cluster_start one sleep 60; cluster_signal one STOP; cluster_pid one')
check ends_a_stopped_process runs_not "$stopped"

killed=$(with_cluster 'cluster_start one sleep 60; cluster_pid one; cluster_kill one; cluster_pid one || echo gone')
check forgets_a_killed_process [ "${killed##*$'\n'}" = gone ]

with_cluster "CLUSTER_PIDS[other]=$OTHER" >/dev/null
check leaves_other_processes_alone runs "$OTHER"

orphaned=$(with_cluster 'cluster_start one sleep 60; cluster_pid one; rm -rf "$CLUSTER_DIRECTORY"')
check ends_its_processes_without_its_directory runs_not "$orphaned"

refused=$(with_cluster 'x=$(cluster_start one sleep 60); echo $?')
check refuses_to_start_in_a_subshell [ "$refused" = 1 ]

ports=$(with_cluster 'cluster_free_ports 5' | tr ' ' '\n' | sort -u | wc -l)
check ports_differ [ "$ports" -eq 5 ]

printf '1..%d\n' "$number"
