#!/usr/bin/env python3
"""Prints the tables of docs/capacity/daemon.md from results of bench/capacity.py. With several results, runs
of the same program, each point is the median and slopes are fitted to the medians; beside a slope stand
the least and the most of the runs.

Usage: bench/capacity_rows.py RESULT.json...
"""

import json
import statistics
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Callable

# One daemon at full size: 1,700 databases in groups of three, each owned by 3 of 760 daemons; 2.9
# million client connections and 310,000 statements a second by 760.
DAEMONS = 760
GROUPS = 567
GROUPS_OWNED = 2.24
GROUPS_OWNED_MOST = 8
CONNECTIONS = 3816
RATE = 408
FORWARDING_PEERS = 253

# Headers of IPv4 with UDP, and with TCP and its timestamps.
DATAGRAM_HEADER = 28
SEGMENT_HEADER = 52


@dataclass
class Figure:
    """One figure by one quantity: how to read its points (x, y) from a result, and where it is wanted."""

    name: str
    unit: str
    per: str
    points: Callable
    targets: tuple
    budget: str = ""


def idle(field, select, quantity):
    """Points of the idle part: a field, or several added, by a quantity, of the daemons selected."""
    fields = (field,) if isinstance(field, str) else field

    def points(parts):
        chosen = [point for point in parts["idle"]["points"] if select(point)]
        return [(point[quantity], sum(point[name] for name in fields)) for point in chosen]

    return points


def owners(point):
    """Daemons of the fleets of three, which own all groups."""
    return point["members"] == 3


def bystanders(point):
    """Daemons that own nothing."""
    return point["groups_owned"] == 0


def headed(point, prefix, direction, counted, header):
    """Octets a second in one direction, headers included."""
    octets = point[f"{prefix}_octets_{direction}_s"]
    return octets + header * point[f"{prefix}_{counted}_{direction}_s"]


def between_daemons(direction, select):
    """Octets with headers between daemons, by members."""

    def points(parts):
        chosen = [point for point in parts["idle"]["points"] if select(point)]
        traffic = ("between_daemons", direction, "datagrams", DATAGRAM_HEADER)
        return [(point["members"], headed(point, *traffic)) for point in chosen]

    return points


def to_databases(direction):
    """Octets with headers to and from databases, by groups owned."""

    def points(parts):
        chosen = [point for point in parts["idle"]["points"] if owners(point)]
        traffic = ("to_databases", direction, "segments", SEGMENT_HEADER)
        return [(point["groups_owned"], headed(point, *traffic)) for point in chosen]

    return points


def steps(part, key, quantity, field="private_kb"):
    """Points of a part that raises a quantity in steps."""
    return lambda parts: [(point[quantity], point[field]) for point in parts[part][key]]


def forwarding_peers(parts):
    """Memory of owners by the threads that other daemons' connections take."""
    chosen = [point for point in parts["idle"]["after_forwarding"] if point["members"] > 3]
    return [(point["threads_more"], point["private_kb_more"]) for point in chosen]


FIGURES = [
    Figure("memory by tenants configured", "KB", "tenant",
           steps("configuration", "by_tenants", "tenants"), (10_000,), "64 MB for control"),
    Figure("memory by groups configured", "KB", "group",
           steps("configuration", "by_groups", "groups_configured"), (GROUPS,), "64 MB for control"),
    Figure("memory by groups owned", "KB", "group",
           idle("private_kb", owners, "groups_owned"), (GROUPS_OWNED, GROUPS_OWNED_MOST), "64 MB for control"),
    Figure("memory by members", "KB", "member",
           idle("private_kb", bystanders, "members"), (DAEMONS,), "64 MB for control"),
    Figure("memory of an owner by daemons that forward to it", "KB", "daemon",
           forwarding_peers, (FORWARDING_PEERS, DAEMONS)),
    Figure("memory by client connections that sent nothing yet", "KB", "connection",
           steps("connections", "connected_only", "connections"), (CONNECTIONS,)),
    Figure("memory by idle client connections", "KB", "connection",
           steps("connections", "one_answer_each", "connections"), (CONNECTIONS,)),
    Figure("memory by requests that wait, sent on", "KB", "request",
           steps("in_flight", "forwarder", "in_flight"), (400,)),
    Figure("memory by requests that wait, at the owner", "KB", "request",
           steps("in_flight", "owner", "in_flight"), (400,)),
    Figure("processor at rest by groups owned", "% of a core", "group",
           idle("cpu_percent", owners, "groups_owned"), (GROUPS_OWNED, GROUPS_OWNED_MOST), "3.2%"),
    Figure("of this, thread control", "% of a core", "group",
           idle("cpu_percent_control", owners, "groups_owned"), (GROUPS_OWNED, GROUPS_OWNED_MOST)),
    Figure("of this, thread prober", "% of a core", "group",
           idle("cpu_percent_prober", owners, "groups_owned"), (GROUPS_OWNED, GROUPS_OWNED_MOST)),
    Figure("of this, threads pool", "% of a core", "group",
           idle("cpu_percent_pool", owners, "groups_owned"), (GROUPS_OWNED, GROUPS_OWNED_MOST)),
    Figure("processor at rest by members", "% of a core", "member",
           idle("cpu_percent", bystanders, "members"), (), "3.2%"),
    Figure("sent to databases, with headers", "B/s", "group",
           to_databases("sent"), (), "18 KB/s"),
    Figure("received from databases, with headers", "B/s", "group",
           to_databases("received"), (), "18 KB/s"),
    Figure("sent to other daemons, with headers", "B/s", "member",
           between_daemons("sent", bystanders), (), "18 KB/s"),
    Figure("received from other daemons, with headers", "B/s", "member",
           between_daemons("received", bystanders), (), "18 KB/s"),
]  # fmt: skip


def fit(points):
    """Slope and constant by least squares."""
    slope, constant = statistics.linear_regression(*zip(*points))
    return slope, constant


def medians(runs):
    """One point for each x: the median of the runs' points."""
    by_x = {}
    for points in runs:
        for x, y in points:
            by_x.setdefault(x, []).append(y)
    return [(x, statistics.median(ys)) for x, ys in sorted(by_x.items())]


def show(value):
    """Three significant digits; large numbers in full."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def figure_row(figure, results):
    """The table's row of a figure."""
    runs = [figure.points(result["parts"]) for result in results]
    points = medians(runs)
    slope, constant = fit(points)
    slopes = [fit(run)[0] for run in runs]
    spread = f" ({show(min(slopes))} to {show(max(slopes))})" if len(runs) > 1 else ""
    measured = ", ".join(f"{show(x)}: {show(y)}" for x, y in points)
    foretold = ", ".join(f"{show(x)}: {show(constant + slope * x)}" for x in figure.targets)
    cells = (
        f"{figure.name}, {figure.unit}",
        measured,
        f"{show(slope)} per {figure.per}{spread}",
        foretold or "-",
        figure.budget or "-",
    )
    return f"| {' | '.join(cells)} |"


def print_figures(results):
    """The table of slopes."""
    print("\n### Slopes\n")
    print("| Figure | Measured | Slope (of single runs) | At the target, by the fit | Budget |")
    print("|---|---|---|---|---|")
    for figure in FIGURES:
        print(figure_row(figure, results))


def middle(results, read):
    """The median of the runs of one value, with least and most where there are several."""
    values = [read(result["parts"]) for result in results]
    text = show(statistics.median(values))
    return text if len(values) == 1 else f"{text} ({show(min(values))} to {show(max(values))})"


def print_requests(results):
    """Processor time by requests."""
    print("\n### Processor time of a request, µs, and latency, ms\n")
    print("| Request | rate, 1/s | daemon asked | owner, where another | control there | p50 | p99 | not done |")
    print("|---|---|---|---|---|---|---|---|")
    first = results[0]["parts"]["requests"]["points"]
    for index, point in enumerate(first):
        forwarded = point["way"] == "forwarded"
        asked = "forwarder" if forwarded else "owner"

        def read(*path, i=index):
            def value(parts):
                found = parts["requests"]["points"][i]
                for name in path:
                    found = found[name]
                return found

            return middle(results, value)

        def not_done(parts, i=index):
            outcomes = parts["requests"]["points"][i]["by_outcome"]
            return sum(outcomes.values()) - outcomes["done"]

        cells = (
            f"{point['kind']}, {point['way'].replace('_', ' ')}",
            str(point["rate"]),
            read("cost", asked, "cpu_us_per_request"),
            read("cost", "owner", "cpu_us_per_request") if forwarded else "-",
            f"{read('cost', 'owner', 'control_cpu_percent')}%",
            read("due_latency", "p50_ms"),
            read("due_latency", "p99_ms"),
            middle(results, not_done),
        )
        print(f"| {' | '.join(cells)} |")


def print_storms(results):
    """All callers at once."""
    print("\n### 3,816 callers connect and ask at once, each storm of each run\n")
    print("| Daemon | refused callers | lost | first answers p50, ms | all had an answer, ms | all done, ms |")
    print("|---|---|---|---|---|---|")
    for role in ("owner", "forwarder"):
        storms = [storm for result in results for storm in result["parts"]["storm"][role]]
        fields = ("refused_callers", "lost", "first_answer_p50_ms", "all_answered_ms", "all_ended_ms")
        cells = [f"{min(s[f] for s in storms):,.0f} to {max(s[f] for s in storms):,.0f}" for f in fields]
        print(f"| {role} | {' | '.join(cells)} |")


def print_limits(results):
    """The rates at which something gave way."""
    print("\n### What gave way: the first rate at which p99 passed 100 ms or requests were not done\n")
    print("| Statement at the database | Daemon asked | held, 1/s | gave way, 1/s | why | daemon asked, % of a core "
          "| busiest database | load average |")  # fmt: skip
    print("|---|---|---|---|---|---|---|---|")
    for result in results:
        for name, roles in result["parts"]["limit"].items():
            if not name.startswith("service_time_us_"):
                continue
            for role, points in roles.items():
                last = points[-1]
                held = [str(point["rate"]) for point in points if not point["gives_way"]]
                cells = (
                    f"{int(name.rsplit('_', 1)[1]) / 1000:g} ms",
                    role,
                    held[-1] if held else "none",
                    str(last["rate"]) if last["gives_way"] else "-",
                    f"p99 {show(last['due_latency']['p99_ms'])} ms, {show(last['done_per_s'])} done/s",
                    show(last["cost"][role]["cpu_percent"]),
                    f"{show(last['databases_cpu_percent_max'])}%",
                    show(last["load_average"]),
                )
                print(f"| {' | '.join(cells)} |")


def print_silent_group(results):
    """A healthy group's callers beside a silent group."""
    print("\n### Callers of a healthy group while another group's databases answer nothing, at 408/s\n")
    print("| workers | share to the silent group | healthy: p50, ms | p99, ms | not done | silent: refused |")
    print("|---|---|---|---|---|---|")
    for result in results:
        for name, points in result["parts"]["silent_group"].items():
            if not name.startswith("workers_"):
                continue
            for point in points:
                outcomes = point["healthy"]["by_outcome"]
                silent = [one["by_outcome"]["refused"] for one in point["silent"]]
                cells = (
                    name.rsplit("_", 1)[1],
                    f"{point['share_to_silent_group']:.0%}",
                    show(point["healthy"]["due_latency"]["p50_ms"]),
                    show(point["healthy"]["due_latency"]["p99_ms"]),
                    str(sum(outcomes.values()) - outcomes["done"]),
                    str(silent[0]) if silent else "-",
                )
                print(f"| {' | '.join(cells)} |")


def print_runs(results, names):
    """Where the figures are from."""
    print("### Runs\n")
    for result, name in zip(results, names):
        loads = [part["load_average"]["after"] for part in result["parts"].values()]
        changed = ", with uncommitted changes" if result["uncommitted_changes"] else ""
        print(
            f"- `{Path(name).name}`: commit {result['commit']}{changed}, `{result['command'].strip()}`, "
            f"{result['machine']['cores']} cores, load average {min(loads):g} to {max(loads):g}"
        )


def main(names):
    """Entry point; returns the exit code."""
    if not names:
        print("usage: bench/capacity_rows.py RESULT.json...", file=sys.stderr)
        return 2
    results = [json.loads(Path(name).read_text(encoding="utf-8")) for name in names]
    print_runs(results, names)
    print_figures(results)
    print_requests(results)
    print_storms(results)
    print_silent_group(results)
    print_limits(results)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
