#!/usr/bin/env bash
# Writes SVG plots next to a result file, one for each benchmark with points.
# Usage: bench/plot.sh RESULT.json
set -euo pipefail

readonly result=$1
readonly base=${result%.json}

# draw NAME TITLE X_LABEL Y_LABEL JQ_FILTER PLOT_COMMAND: the filter prints tab-separated rows.
draw() {
    local name=$1 title=$2 x_label=$3 y_label=$4 filter=$5 plot=$6 data
    data=$(mktemp)
    if jq -er "$filter | @tsv" "$result" >"$data" 2>/dev/null && [ -s "$data" ]; then
        gnuplot <<GNUPLOT
set terminal svg size 720,420 background rgb "white"
set output "$base-$name.svg"
set title "$title"
set xlabel "$x_label"
set ylabel "$y_label"
set grid
set key outside right
data = "$data"
$plot
GNUPLOT
        printf 'bench: %s\n' "$base-$name.svg"
    fi
    rm -f "$data"
}

for class in reads writes; do
    draw "overload-$class" "Goodput of $class over offered load" "offered load / capacity" "done / peak" \
        ".benchmarks.overload.figures.$class.points as \$points | (\$points | map(.done_per_s) | max) as \$peak
            | \$points[] | [.offered_factor, .done_per_s / \$peak]" \
        'set yrange [0:1.1]; plot data using 1:2 with linespoints title "goodput"'
done
draw replica_share "Reads served by replicas" "replication lag, ms" "share" \
    '.benchmarks.replica_share.figures[] | [.lag_ms, .guarded.replica_share, .baseline.replica_share, .guarded.share_without_wait]' \
    'set yrange [0:1.05]; set logscale x 10; plot data using ($1 + 1):2 with linespoints title "guarded", data using ($1 + 1):3 with linespoints title "primary when unsure", data using ($1 + 1):4 with lines title "no wait needed"'
draw scaling "Throughput over worker threads" "worker threads" "ratio to one thread" \
    '.benchmarks.scaling.figures as $points | $points[] | [.worker_threads, .done_per_s / $points[0].done_per_s]' \
    'plot data using 1:2 with linespoints title "throughput", data using 1:1 with lines title "linear"'
draw failover_gap "Failover gap, sorted" "kill" "ms" \
    '.benchmarks.failover_gap.figures.gaps_ms | to_entries[] | [.key + 1, .value]' \
    'set yrange [0:*]; plot data using 1:2 with linespoints title "gap"'
