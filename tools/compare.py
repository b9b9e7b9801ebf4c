#!/usr/bin/env python3
"""Compares two checkouts of this repository on the users' benchmark, in pairs of runs with the same seed.

Use:  tools/compare.py --bench PROGRAM --base DIR --with DIR --site FILE [--day NAME]... [--seed N]... \
          [--cpu] [--small] [--jobs N] [--save FILE] [--plot FILE.svg]
      tools/compare.py --load FILE [--plot FILE.svg]

Runs each day of each site in both checkouts. Without --cpu, processor time is not counted and a run is mostly
repeatable. The seed 0 means the day's own seed. Without --day, the days with faults are run: those whose slot
is not "quiet". Without --with, only the base is run and its figures are printed.

Prints, for each day and for all, the score ("worth") of both, and for the score, each part of it and each deduction
("price") the median difference, its range, and a sign test: the probability that this many differences have one sign
by chance. Differences are "with" minus "base"; a price counts as it is subtracted from the worth. The snapshots of
each checkout, by which the benchmark names the sources it ran, are printed last.
"""

import argparse
import concurrent.futures
import json
import math
import os
import re
import statistics
import subprocess
import sys
import tempfile
import tomllib

# Time-out of a run in seconds: the largest site takes three minutes on an idle machine.
PLAY_SECONDS = 900
# Smaller differences count as zero: the last digit that the benchmark prints is a thousand times larger.
EPSILON = 1e-6


def days_of(site):
    """Names of the days of a site file that are not quiet."""
    with open(site, "rb") as source:
        return [day["name"] for day in tomllib.load(source)["day"] if day["slot"] != "quiet"]


def command_of(bench, site, day, seed, cpu, report, small=False):
    """The benchmark's command line for one run."""
    command = [bench, "run", site, day, "--report", report]
    if small:
        command += ["--small"]
    if seed:
        command += ["--seed", str(seed)]
    if not cpu:
        command += ["--no-cpu"]
    return command


def figures_of(report):
    """Worth, parts and prices of a benchmark report, as name to value, and the names of violated rules."""
    figures = {"worth": report["G"]}
    for name, weight, value in report["parts"]:
        figures[name] = weight * value
    for name, _, price in report["prices"]:
        figures["price: " + name] = -price
    return figures, sorted(report.get("breaks") or {})


def play(bench, checkout, site, day, seed, cpu, small=False):
    """Runs one day in a checkout. The result contains its figures, violated rules and snapshot."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "report.json")
        command = command_of(bench, os.path.abspath(site), day, seed, cpu, path, small)
        done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, timeout=PLAY_SECONDS)
        if not os.path.exists(path):
            raise RuntimeError(f"no report of {day} seed {seed}:\n{done.stdout[-2000:]}{done.stderr[-2000:]}")
        with open(path, encoding="utf-8") as source:
            figures, broken = figures_of(json.load(source))
    snapshot = re.search(r"^snapshot (\w+)", done.stdout, re.MULTILINE)
    return {"figures": figures, "broken": broken, "snapshot": snapshot.group(1) if snapshot else ""}


def play_all(options):
    """Runs all that the options select. Each row: site, day, seed, base and, if compared, with."""
    checkouts = {"base": options.base}
    if options.changed:
        checkouts["with"] = options.changed
    rows = []
    for site in options.site:
        for day in options.day or days_of(site):
            for seed in options.seed or [0]:
                rows.append({"site": os.path.basename(site).removesuffix(".toml"), "day": day, "seed": seed,
                             "path": site})
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = [(row, side, pool.submit(play, options.bench, checkout, row["path"], row["day"], row["seed"],
                                         options.cpu, options.small))
                 for row in rows for side, checkout in checkouts.items()]
        for row, side, running in plays:
            row[side] = running.result()
    for row in rows:
        del row["path"]
    return rows


def sign_test(differences):
    """Two-sided probability of at least this uneven a split of signs if both are equally likely. Zeros are left out."""
    up = sum(1 for difference in differences if difference > EPSILON)
    down = sum(1 for difference in differences if difference < -EPSILON)
    n = up + down
    if n == 0:
        return 1.0
    tail = sum(math.comb(n, k) for k in range(min(up, down) + 1)) / 2**n
    return min(1.0, 2 * tail)


def differences_of(rows, name):
    """Paired differences of one figure."""
    return [row["with"]["figures"].get(name, 0.0) - row["base"]["figures"].get(name, 0.0) for row in rows]


def print_worths(rows):
    """Prints a line for each day: mean worth of each side over its seeds, and the violated rules."""
    print(f"{'site':24} {'day':12} {'plays':>5} {'base':>7} {'with':>7} {'change':>7}  least..most")
    for site, day in dict.fromkeys((row["site"], row["day"]) for row in rows):
        print_day([row for row in rows if (row["site"], row["day"]) == (site, day)], site, day)
    for site in dict.fromkeys(row["site"] for row in rows):
        print_day([row for row in rows if row["site"] == site], site, "all days")


def print_day(rows, site, day):
    """One line of `print_worths`."""
    base = statistics.mean(row["base"]["figures"]["worth"] for row in rows)
    line = f"{site:24} {day:12} {len(rows):5} {base:7.3f}"
    if "with" in rows[0]:
        changes = differences_of(rows, "worth")
        changed = statistics.mean(row["with"]["figures"]["worth"] for row in rows)
        line += f" {changed:7.3f} {changed - base:+7.3f}  {min(changes):+.3f}..{max(changes):+.3f}"
    broken = sorted({rule for row in rows for side in ("base", "with") for rule in row.get(side, {}).get("broken", [])})
    print(line + (f"  BROKEN {' '.join(broken)}" if broken else ""))


def print_parts(rows):
    """Prints a line for each figure whose difference is not always zero."""
    print(f"\n{'figure':56} {'median':>8} {'least':>8} {'most':>8} {'sign p':>7}")
    for name in rows[0]["base"]["figures"]:
        changes = differences_of(rows, name)
        if any(abs(change) > EPSILON for change in changes):
            print(f"{name:56} {statistics.median(changes):+8.4f} {min(changes):+8.4f} {max(changes):+8.4f}"
                  f" {sign_test(changes):7.3f}")


def print_snapshots(rows):
    """Prints the snapshots of the sources, as the benchmark names them for each run."""
    for side in ("base", "with"):
        names = [row[side]["snapshot"] for row in rows if side in row]
        if names:
            print(f"snapshots {side}: {' '.join(names)}")


def plot(rows, path):
    """Writes an SVG plot: for each pair a line from the worth of base (left) to that of with (right)."""
    width, height, margin = 320, 400, 30

    def place(row, side):
        return height - margin - row[side]["figures"]["worth"] * (height - 2 * margin)

    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-size="11">',
             f'<text x="{margin}" y="15">worth: base</text><text x="{width - margin - 30}" y="15">with</text>']
    for row in rows:
        better = place(row, "with") <= place(row, "base")
        lines.append(f'<line x1="{margin}" x2="{width - margin}" y1="{place(row, "base"):.1f}"'
                     f' y2="{place(row, "with"):.1f}" stroke="{"green" if better else "red"}">'
                     f'<title>{row["site"]} {row["day"]} {row["seed"]}</title></line>')
    with open(path, "w", encoding="utf-8") as target:
        target.write("\n".join(lines + ["</svg>", ""]))


def parse_options(arguments):
    """The command line."""
    parser = argparse.ArgumentParser(description="Compares two checkouts on the users' bench.")
    parser.add_argument("--bench", help="the bench's program")
    parser.add_argument("--base", help="checkout to compare with")
    parser.add_argument("--with", dest="changed", help="checkout with the change")
    parser.add_argument("--site", action="append", default=[], help="site file")
    parser.add_argument("--day", action="append", default=[], help="day, by name (all with trouble)")
    parser.add_argument("--seed", action="append", type=int, default=[], help="seed; 0 is the day's own")
    parser.add_argument("--cpu", action="store_true", help="count processor time")
    parser.add_argument("--small", action="store_true", help="play the small twins of large days")
    parser.add_argument("--jobs", type=int, default=4, help="plays at once (4)")
    parser.add_argument("--save", help="keep the figures in this file")
    parser.add_argument("--load", help="show the figures of this file, play nothing")
    parser.add_argument("--plot", help="write a plot of the pairs to this SVG file")
    options = parser.parse_args(arguments)
    if not options.load and not (options.bench and options.base and options.site):
        parser.error("--bench, --base and --site are needed, or --load")
    if options.bench:
        options.bench = os.path.abspath(options.bench)
    return options


def main(arguments):
    options = parse_options(arguments)
    if options.load:
        with open(options.load, encoding="utf-8") as source:
            rows = json.load(source)
    else:
        rows = play_all(options)
    if options.save:
        with open(options.save, "w", encoding="utf-8") as target:
            json.dump(rows, target, indent=1)
    print_worths(rows)
    if "with" in rows[0]:
        print_parts(rows)
        if options.plot:
            plot(rows, options.plot)
    print_snapshots(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
