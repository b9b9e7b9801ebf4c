#!/bin/sh
# Runs the hollow fleet at the five sizes of docs/CAPACITY.md, a compressed day and a quiet time each, and one
# watcher of more and more groups, one after the other. Use: bench/scale.sh [BUILD_DIRECTORY] [OUTPUT]
set -eu
build=${1:-build}
output=${2:-bench/results/scale.jsonl}
commit=$(git rev-parse --short HEAD)
mkdir -p "$(dirname "$output")"
: >"$output.tmp"
for daemons in 48 95 190 380 760; do
    "$build/src/sim/swiftsim" scale --daemons "$daemons" --minutes 10 --commit "$commit" >>"$output.tmp"
    "$build/src/sim/swiftsim" scale --daemons "$daemons" --minutes 3 --quiet --commit "$commit" >>"$output.tmp"
done
for groups in 1 2 4 8 16; do
    "$build/src/sim/swiftsim" scale --watched-groups "$groups" --minutes 5 --commit "$commit" >>"$output.tmp"
done
mv "$output.tmp" "$output"
