#!/bin/sh
# Runs the hollow fleet at the five sizes of docs/CAPACITY.md: a compressed day, a quiet time, and each kind of fault;
# at the target's size a region cut for an hour and a store that limits its rate; and one watcher of more and more
# groups. One after the other. Use: bench/scale.sh [BUILD_DIRECTORY] [OUTPUT]
set -eu
build=${1:-build}
output=${2:-bench/results/scale.jsonl}
commit=$(git rev-parse --short HEAD)
mkdir -p "$(dirname "$output")"
: >"$output.tmp"

# A run that ends with 1 has broken a limit: its line says which, and the others still run.
scale() {
    "$build/src/sim/swiftsim" scale "$@" --commit "$commit" >>"$output.tmp" || echo "scale $*: status $?" >&2
}

for daemons in 48 95 190 380 760; do
    scale -n "$daemons" -t 10
    scale -n "$daemons" -t 3 --quiet
    scale -n "$daemons" --fault primary --repeats 40
    # Each takes a daemon with it: at most a fifth of them.
    scale -n "$daemons" --fault coordinator --repeats $((daemons < 200 ? daemons / 5 : 40))
    scale -n "$daemons" --fault rack --repeats 3
    scale -n "$daemons" --fault switch --outage 1
    scale -n "$daemons" --fault zone
    scale -n "$daemons" --fault region --outage 3
    scale -n "$daemons" --fault store
done
scale -n 760 --fault store --store-rate 20
scale -n 760 --fault region --outage 60 --forward-seconds 20 --no-control
for groups in 1 2 4 8 16; do
    scale --watched-groups "$groups" -t 5
done
mv "$output.tmp" "$output"
