# Functions shared by the benchmarks: a deployment for each measurement, a load in the foreground, processor time.
# Source it after tools/cluster.sh. Benchmarks print one JSON object to standard output and their progress to
# standard error. Only ratios within one run are results; all other numbers are figures.
# shellcheck shell=bash

BENCH_CLOCK_TICKS=$(getconf CLK_TCK)
readonly BENCH_CLOCK_TICKS

bench_say() {
    printf 'bench: %s\n' "$*" >&2
}

# A jq filter that bench_deploy applies to the configuration.
BENCH_CONFIGURATION_FILTER=.

# bench_deploy EXAMPLE GROUP DAEMONS DATABASE_ARGUMENTS [KEY=VALUE...]: a fresh deployment.
bench_deploy() {
    local example=$1 group=$2 daemons=$3 database_arguments
    read -ra database_arguments <<<"$4"
    shift 4
    cluster_reset
    cluster_configure "$example" "$group"
    cluster_edit_configuration "$BENCH_CONFIGURATION_FILTER"
    cluster_start_databases "${database_arguments[@]}"
    cluster_start_daemons "$daemons" "$@"
}

# bench_load NAME ARGUMENT...: runs swiftworks-load to its end, over all daemons.
bench_load() {
    local name=$1
    cluster_start_load "$@"
    cluster_await_load "$name"
}

# bench_cpu_us NAME: processor time used by a process, user and system, in microseconds.
bench_cpu_us() {
    local pid
    pid=$(cluster_pid "$1") || cluster_fail "$1 does not run"
    awk -v ticks="$BENCH_CLOCK_TICKS" '{printf "%d", ($14 + $15) * 1000000 / ticks}' "/proc/$pid/stat"
}

# The figures of the last measurement. Measurements start processes and therefore must run in the main shell, so
# they return their figures in this variable.
BENCH_POINT=

# bench_figures NAME: the figures of a load that benchmarks report.
bench_figures() {
    jq -c '{requests, done_per_s, by_outcome, by_error, abandoned_operations, replica_share: .reads.replica_share,
        read_latency, write_latency, due_latency, longest_write_gap_ms: .write_gaps.longest_ms}' \
        "$CLUSTER_DIRECTORY/$1.json"
}
