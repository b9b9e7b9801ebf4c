#!/usr/bin/env python3
"""Prints the tables of docs/CAPACITY.md from the output of bench/scale.sh.

Use: bench/scale_fit.py RESULTS.jsonl

For each figure: the measured points, a straight line through those up to 380 daemons, what that line foretells for
760, and what was measured there. The line is a check of the growth, not a result.
"""

import json
import sys

SIZES = [48, 95, 190, 380, 760]
FITTED = [48, 95, 190, 380]
DAY_SECONDS = 86400.0
HEADER_OCTETS = 28  # IPv4 and UDP

# Name, unit, and how to read the figure from one run.
FIGURES = [
    ("datagrams and messages sent, mean", "1/s", lambda r: r["sent"]["all"]["messages_per_s"]["mean"]),
    ("datagrams and messages sent, busiest daemon", "1/s", lambda r: r["sent"]["all"]["messages_per_s"]["max"]),
    ("octets sent, encoded, mean", "B/s", lambda r: r["sent"]["all"]["octets_per_s"]["mean"]),
    ("octets sent, encoded, busiest daemon", "B/s", lambda r: r["sent"]["all"]["octets_per_s"]["max"]),
    ("octets sent with IP and UDP headers, busiest daemon", "B/s", lambda r: sent_with_headers(r)),
    ("octets received, encoded, busiest daemon", "B/s", lambda r: r["sent"]["received_octets_per_s"]["max"]),
    ("of the sent: gossip, mean", "B/s", lambda r: r["sent"]["gossip"]["octets_per_s"]["mean"]),
    ("of the sent: configuration, mean", "B/s", lambda r: r["sent"]["configuration"]["octets_per_s"]["mean"]),
    ("of the sent: group status, mean", "B/s", lambda r: r["sent"]["group_status"]["octets_per_s"]["mean"]),
    ("of the sent: group status, busiest daemon", "B/s", lambda r: r["sent"]["group_status"]["octets_per_s"]["max"]),
    ("store reads, mean", "1/s", lambda r: r["sent"]["store_reads_per_s"]["mean"]),
    ("processor: core objects, mean", "% of a core", lambda r: r["processor"]["core_percent_of_a_core"]["mean"]),
    ("processor: core objects, busiest daemon", "% of a core", lambda r: r["processor"]["core_percent_of_a_core"]["max"]),
    ("processor: codec, mean", "% of a core", lambda r: r["processor"]["codec_percent_of_a_core"]["mean"]),
    ("processor: codec, busiest daemon", "% of a core", lambda r: r["processor"]["codec_percent_of_a_core"]["max"]),
    ("state: membership, mean", "B", lambda r: r["state_octets"]["membership"]["mean"]),
    ("state: ownership, mean", "B", lambda r: r["state_octets"]["ownership"]["mean"]),
    ("state: budgets, mean", "B", lambda r: r["state_octets"]["budgets"]["mean"]),
    ("state: dissemination, mean", "B", lambda r: r["state_octets"]["dissemination"]["mean"]),
    ("state: all, fullest daemon", "B", lambda r: r["state_octets"]["all"]["max"]),
    ("groups owned, mean", "", lambda r: r["state_octets"]["groups_owned"]["mean"]),
    ("groups owned, most", "", lambda r: r["state_octets"]["groups_owned"]["max"]),
]

TIMES = ["configuration_everywhere", "configuration_after_heal", "primary_everywhere", "primary_after_heal",
         "leave_noticed", "death_noticed"]
COUNTS = ["suspicions", "false_suspicions", "false_deaths", "stopped_serving", "budget_violations",
          "connections_most", "numbers_refused", "configuration_stragglers", "not_serving_at_end",
          "views_differing_at_end", "process_peak_kb"]


def sent_with_headers(run):
    """Octets of the busiest sender with headers; an upper bound, as both maxima are taken."""
    sent = run["sent"]["all"]
    return sent["octets_per_s"]["max"] + HEADER_OCTETS * sent["messages_per_s"]["max"]


def line_through(points):
    """Least squares: (intercept, slope)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def show(value):
    """A figure with three significant digits, large ones in full."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def figure_table(runs, title):
    """One row for each figure."""
    sizes = [size for size in SIZES if size in runs]
    print(f"\n### {title}\n")
    print("| Figure | unit | " + " | ".join(str(size) for size in sizes)
          + " | slope per 100 daemons | line at 760 |")
    print("|---|---|" + "---|" * (len(sizes) + 2))
    for name, unit, read in FIGURES:
        values = {size: read(runs[size]) for size in sizes}
        fitted = [(size, values[size]) for size in FITTED if size in values]
        slope, foretold = "-", "-"
        if len(fitted) >= 2:
            intercept, gradient = line_through(fitted)
            slope = show(100 * gradient)
            foretold = show(intercept + gradient * 760)
        cells = " | ".join(show(values[size]) for size in sizes)
        print(f"| {name} | {unit} | {cells} | {slope} | {foretold} |")


def time_table(runs):
    """p50 / p99 / worst in milliseconds."""
    sizes = [size for size in SIZES if size in runs]
    print("\n### Times: p50 / p99 / worst in ms (samples)\n")
    print("| Time | " + " | ".join(str(size) for size in sizes) + " |")
    print("|---|" + "---|" * len(sizes))
    for name in TIMES:
        cells = []
        for size in sizes:
            entry = runs[size][name]
            cells.append(f"{entry['p50_ms']:.0f} / {entry['p99_ms']:.0f} / {entry['worst_ms']:.0f} ({entry['samples']})")
        print(f"| {name} | " + " | ".join(cells) + " |")
    for name in COUNTS:
        print(f"| {name} | " + " | ".join(f"{runs[size][name]:,}" for size in sizes) + " |")


def day_table(busy, quiet):
    """An ordinary day: the quiet rate, and the day's events spread over a day instead of minutes."""
    sizes = [size for size in SIZES if size in busy and size in quiet]
    print("\n### An ordinary day at its own pace: quiet + (compressed - quiet) x run / day\n")
    print("| Figure | unit | " + " | ".join(str(size) for size in sizes) + " |")
    print("|---|---|" + "---|" * len(sizes))
    for name, unit, read in FIGURES[:15]:
        cells = []
        for size in sizes:
            rest = read(quiet[size])
            share = busy[size]["virtual_seconds"] / DAY_SECONDS
            cells.append(show(rest + (read(busy[size]) - rest) * share))
        print(f"| {name} | {unit} | " + " | ".join(cells) + " |")


def main():
    runs = [json.loads(line) for line in open(sys.argv[1]) if line.strip()]
    busy = {run["daemons"]: run for run in runs if run["configuration_changes"] > 0}
    quiet = {run["daemons"]: run for run in runs if run["configuration_changes"] == 0}
    print("Commit " + ", ".join(sorted({run["commit"] for run in runs})) + ". Commands:")
    for run in runs:
        print(f"- `{run['command']}` ({run['wall_seconds']:.0f} s)")
    if busy:
        figure_table(busy, "A day compressed into 10 minutes")
        time_table(busy)
    if quiet:
        figure_table(quiet, "Quiet")
    if busy and quiet:
        day_table(busy, quiet)


if __name__ == "__main__":
    main()
