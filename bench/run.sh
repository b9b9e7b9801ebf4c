#!/usr/bin/env bash
# Runs the benchmarks with real processes and writes bench/results/DATE-COMMIT.json with commit and
# machine, and plots next to it. A failed benchmark is named in the result and makes the run fail.
# Usage: bench/run.sh [BUILD_DIRECTORY [BENCHMARK...]]
#        benchmarks: hop scaling replica_share failover_gap overload ownership configuration
set -euo pipefail

cd "$(dirname "$0")/.."
readonly ALL_BENCHMARKS=(hop scaling replica_share failover_gap overload ownership configuration)

machine() {
    jq -n --arg cpu "$(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -n 1)" \
        --argjson cores "$(nproc)" \
        --argjson memory_kb "$(awk '/^MemTotal/ {print $2}' /proc/meminfo)" \
        --arg kernel "$(uname -sr)" \
        --argjson load "$(cut -d' ' -f1 /proc/loadavg)" \
        '{cpu: $cpu, cores: $cores, memory_kb: $memory_kb, kernel: $kernel, load_average_before: $load}'
}

main() {
    local build=${1:-build}
    shift || true
    local -a benchmarks=("$@")
    [ "${#benchmarks[@]}" -gt 0 ] || benchmarks=("${ALL_BENCHMARKS[@]}")
    local commit name status=0 changed=false
    commit=$(git rev-parse --short HEAD)
    [ -z "$(git status --porcelain -- . ':!bench/results')" ] || changed=true
    local result
    result="bench/results/$(date -u +%Y%m%dT%H%M%SZ)-$commit.json"
    mkdir -p bench/results
    jq -n --arg commit "$commit" --arg date "$(date -u +%FT%TZ)" --argjson changed "$changed" \
        --argjson machine "$(machine)" \
        '{commit: $commit, uncommitted_changes: $changed, date: $date, machine: $machine, benchmarks: {}}' >"$result.tmp"
    for name in "${benchmarks[@]}"; do
        local part
        if ! part=$("bench/$name.sh" "$build"); then
            printf 'bench: %s FAILED\n' "$name" >&2
            part='{"failed": true}'
            status=1
        fi
        jq --arg name "$name" --slurpfile part <(printf '%s' "$part") \
            '.benchmarks[$name] = $part[0]' "$result.tmp" >"$result.next.tmp"
        mv "$result.next.tmp" "$result.tmp"
    done
    mv "$result.tmp" "$result"
    bench/plot.sh "$result" || status=1
    jq '.benchmarks | map_values(.results // .)' "$result"
    printf 'bench: %s\n' "$result"
    return "$status"
}

main "$@"
