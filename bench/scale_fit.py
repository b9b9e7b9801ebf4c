#!/usr/bin/env python3
"""Prints the tables of docs/CAPACITY.md from the output of bench/scale.sh.

Use: bench/scale_fit.py RESULTS.jsonl

For each figure: the measured points, and a fit of a + b x daemons + c / daemons (relays share a load that does not
grow). Fitted to the sizes up to 380 it foretells 760, where it is checked by the measured point; fitted to all it gives
the growth, and foretells 1,520. What is foretold is no result.
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
    ("of the sent: opinions, mean", "B/s", lambda r: r["sent"]["opinion"]["octets_per_s"]["mean"]),
    ("of the sent: opinions, busiest daemon", "B/s", lambda r: r["sent"]["opinion"]["octets_per_s"]["max"]),
    ("of the sent: configuration, mean", "B/s", lambda r: r["sent"]["configuration"]["octets_per_s"]["mean"]),
    ("of the sent: group status, mean", "B/s", lambda r: r["sent"]["group_status"]["octets_per_s"]["mean"]),
    ("of the sent: group status, busiest daemon", "B/s", lambda r: r["sent"]["group_status"]["octets_per_s"]["max"]),
    ("probes and commands of databases, mean", "1/s", lambda r: r["sent"]["probes_per_s"]["mean"]),
    ("probes and commands of databases, busiest daemon", "1/s", lambda r: r["sent"]["probes_per_s"]["max"]),
    ("sent with headers, and databases both ways, mean", "B/s",
     lambda r: r["sent"]["control_octets_per_s"]["mean"]),
    ("sent with headers, and databases both ways, busiest daemon", "B/s",
     lambda r: r["sent"]["control_octets_per_s"]["max"]),
    ("store reads, mean", "1/s", lambda r: r["sent"]["store_reads_per_s"]["mean"]),
    ("processor: core objects, mean", "% of a core", lambda r: r["processor"]["core_percent_of_a_core"]["mean"]),
    ("processor: core objects, busiest daemon", "% of a core", lambda r: r["processor"]["core_percent_of_a_core"]["max"]),
    ("processor: codec, mean", "% of a core", lambda r: r["processor"]["codec_percent_of_a_core"]["mean"]),
    ("processor: codec, busiest daemon", "% of a core", lambda r: r["processor"]["codec_percent_of_a_core"]["max"]),
    ("state: membership, mean", "B", lambda r: r["state_octets"]["membership"]["mean"]),
    ("state: ownership, mean", "B", lambda r: r["state_octets"]["ownership"]["mean"]),
    ("state: budgets, mean", "B", lambda r: r["state_octets"]["budgets"]["mean"]),
    ("state: dissemination, mean", "B", lambda r: r["state_octets"]["dissemination"]["mean"]),
    ("state: control of groups, mean", "B", lambda r: r["state_octets"]["control"]["mean"]),
    ("state: all, fullest daemon", "B", lambda r: r["state_octets"]["all"]["max"]),
    ("groups owned, mean", "", lambda r: r["state_octets"]["groups_owned"]["mean"]),
    ("groups owned, most", "", lambda r: r["state_octets"]["groups_owned"]["max"]),
]

CHANGES = ["change_detect", "change_fence", "change_promote", "change_learn", "change_whole"]
CHANGE_COUNTS = ["changes_blocked", "changes_unfinished", "changes_unlearned", "changes_unneeded"]
FAULTS = ["primary", "coordinator", "rack", "switch", "zone"]
TIMES = ["configuration_everywhere", "configuration_after_heal", "primary_everywhere", "primary_after_heal",
         "leave_noticed", "death_noticed"]
COUNTS = ["suspicions", "false_suspicions", "false_deaths", "stopped_serving", "budget_violations",
          "connections_most", "numbers_refused", "configuration_stragglers", "not_serving_at_end",
          "views_differing_at_end", "process_peak_kb"]


def sent_with_headers(run):
    """Octets of the busiest sender with headers; an upper bound, as both maxima are taken."""
    sent = run["sent"]["all"]
    return sent["octets_per_s"]["max"] + HEADER_OCTETS * sent["messages_per_s"]["max"]


def solve(rows, right):
    """Solves a small system of linear equations by elimination."""
    size = len(right)
    for pivot in range(size):
        best = max(range(pivot, size), key=lambda row: abs(rows[row][pivot]))
        rows[pivot], rows[best] = rows[best], rows[pivot]
        right[pivot], right[best] = right[best], right[pivot]
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            rows[row] = [x - factor * y for x, y in zip(rows[row], rows[pivot])]
            right[row] -= factor * right[pivot]
    result = [0.0] * size
    for row in reversed(range(size)):
        rest = sum(rows[row][column] * result[column] for column in range(row + 1, size))
        result[row] = (right[row] - rest) / rows[row][row]
    return result


def terms(daemons):
    """A constant part, a part that grows with the daemons, and one that they share."""
    return [1.0, daemons / 100.0, 100.0 / daemons]


def fit(points):
    """Least squares over the terms: their factors."""
    features = [(terms(x), y) for x, y in points]
    count = len(terms(1))
    rows = [[sum(f[i] * f[j] for f, _ in features) for j in range(count)] for i in range(count)]
    right = [sum(f[i] * y for f, y in features) for i in range(count)]
    return solve(rows, right)


def foretell(factors, daemons):
    """The fitted value at a size."""
    return sum(factor * term for factor, term in zip(factors, terms(daemons)))


def show(value):
    """A figure with three significant digits, large ones in full."""
    if abs(value) < 1e-9:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def figure_table(runs, title):
    """One row for each figure."""
    sizes = [size for size in SIZES if size in runs]
    print(f"\n### {title}\n")
    print("| Figure | unit | " + " | ".join(str(size) for size in sizes)
          + " | grows per 100 daemons | 760 foretold from the smaller | 1,520 foretold |")
    print("|---|---|" + "---|" * (len(sizes) + 3))
    for name, unit, read in FIGURES:
        points = [(size, read(runs[size])) for size in sizes]
        smaller = [point for point in points if point[0] in FITTED]
        grows, at_target, past_target = "-", "-", "-"
        if len(smaller) == len(FITTED):
            at_target = show(foretell(fit(smaller), 760))
        if len(points) == len(SIZES):
            factors = fit(points)
            grows = show(factors[1])
            past_target = show(foretell(factors, 1520))
        cells = " | ".join(show(value) for _, value in points)
        print(f"| {name} | {unit} | {cells} | {grows} | {at_target} | {past_target} |")


def time_table(runs, title, times, counts):
    """p50 / p99 / worst in milliseconds, and counts."""
    sizes = [size for size in SIZES if size in runs]
    print(f"\n### {title}: p50 / p99 / worst in ms (samples)\n")
    print("| Time | " + " | ".join(str(size) for size in sizes) + " |")
    print("|---|" + "---|" * len(sizes))
    for name in times:
        cells = []
        for size in sizes:
            entry = runs[size][name]
            cells.append(f"{entry['p50_ms']:.0f} / {entry['p99_ms']:.0f} / {entry['worst_ms']:.0f} ({entry['samples']})")
        print(f"| {name} | " + " | ".join(cells) + " |")
    for name in counts:
        print(f"| {name} | " + " | ".join(f"{runs[size][name]:,}" for size in sizes) + " |")


def fault_table(runs):
    """Runs in which something comes back: what was hit, and when all had settled."""
    print("\n### A region or switch cut off, and a store before many restarts\n")
    print("| Command | hit | of them serving before the heal | others serving | groups of the others led | settled after, ms "
          "| store reads | refused | sent, mean and busiest, B/s | fullest state, B |")
    print("|---|" + "---|" * 9)
    for run in runs:
        fault = run["fault"]
        rate = run["sent"]["all"]["octets_per_s"]
        settled = f"{fault['settle_ms']:.0f}" if fault["settled"] else "not"
        region = fault["kind"] in ("region", "switch")
        print(f"| `{run['command']}` | {fault['daemons_hit']} | {fault['daemons_hit_serving'] if region else '-'} | "
              f"{fault['daemons_others_serving'] if region else '-'} | {fault['groups_others_led'] if region else '-'} | "
              f"{settled} | {fault['store_reads']:,} | {fault['store_refused']:,} | {show(rate['mean'])}, {show(rate['max'])} | "
              f"{show(run['state_octets']['all']['max'])} |")


def day_table(busy, quiet):
    """An ordinary day: the quiet rate, and the day's events spread over a day instead of minutes."""
    sizes = [size for size in SIZES if size in busy and size in quiet]
    print("\n### An ordinary day at its own pace: quiet + (compressed - quiet) x run / day\n")
    print("| Figure | unit | " + " | ".join(str(size) for size in sizes) + " |")
    print("|---|---|" + "---|" * len(sizes))
    for name, unit, read in FIGURES[:21]:
        cells = []
        for size in sizes:
            rest = read(quiet[size])
            share = busy[size]["virtual_seconds"] / DAY_SECONDS
            cells.append(show(rest + (read(busy[size]) - rest) * share))
        print(f"| {name} | {unit} | " + " | ".join(cells) + " |")


WATCHER_FIGURES = [
    ("probes_per_s", "probes answered, 1/s"),
    ("opinion_octets_per_s", "opinions sent, B/s"),
    ("core_percent_of_a_core", "control, % of a core"),
    ("codec_percent_of_a_core", "codec, % of a core"),
    ("state_octets", "state, B"),
]


def watcher_table(watchers):
    """One watcher of more and more groups."""
    print("\n### One watcher, by groups watched\n")
    print("| Figure | " + " | ".join(str(run["groups"]) for run in watchers) + " |")
    print("|---|" + "---|" * len(watchers))
    for name, title in WATCHER_FIGURES:
        print(f"| {title} | " + " | ".join(show(run[name]) for run in watchers) + " |")


def main():
    lines = [json.loads(line) for line in open(sys.argv[1]) if line.strip()]
    runs = [line for line in lines if "role" not in line]
    watchers = sorted((line for line in lines if line.get("role") == "watcher"), key=lambda run: run["groups"])
    faults = [line for line in runs if "fault" in line]
    days = [line for line in runs if "fault" not in line]
    busy = {run["daemons"]: run for run in days if run["configuration_changes"] > 0}
    quiet = {run["daemons"]: run for run in days if run["configuration_changes"] == 0}
    print("Commit " + ", ".join(sorted({run["commit"] for run in runs})) + ". Commands:")
    for run in runs + watchers:
        print(f"- `{run['command']}` ({run['wall_seconds']:.0f} s)")
    if busy:
        figure_table(busy, "A day compressed into 10 minutes")
        time_table(busy, "Times of the compressed day", CHANGES + TIMES, CHANGE_COUNTS + COUNTS)
    for kind in FAULTS:
        alike = {run["daemons"]: run for run in faults if run["fault"]["kind"] == kind}
        if alike:
            time_table(alike, f"Changes of primary, `--fault {kind}`", CHANGES, CHANGE_COUNTS)
    others = [run for run in faults if run["fault"]["kind"] in ("region", "store", "switch")]
    if others:
        fault_table(others)
    if quiet:
        figure_table(quiet, "Quiet")
    if busy and quiet:
        day_table(busy, quiet)
    if watchers:
        watcher_table(watchers)


if __name__ == "__main__":
    main()
