#!/usr/bin/env python3
"""Runs generated days on the users' benchmark: each kind of fault of a site combined with each other kind.

Use:  tools/pair_days.py --bench PROGRAM --site FILE [--seed N] [--count N] [--jobs N] [--full] [--keep DIR]

A day is the site's first day with faults, with its plan and faults replaced by two entries of the site's list of
faults, the second starting soon after the first. The order of the pairs depends on the seed, so that several seeds
cover all. The small variants of the sites are run unless --full is given, without processor time. Prints each day's
score ("worth") and share served, violated rules first. The day's file is kept in DIR, as FILE of
`fleetbench run SITE FILE`. The exit code is 1 if any rule was violated.
"""

import argparse
import concurrent.futures
import itertools
import json
import os
import pathlib
import random
import re
import subprocess
import sys
import tempfile
import tomllib

# Planned operations are under `plan` of a day, all other entries under `faults`.
PLANNED = {"add_nodes", "big_config", "config_change", "config_storm", "hup", "release", "revoke", "roll_term"}
# Bounds, in seconds, of the time from the start of traffic to the first fault, and from there to the second.
FIRST_AT = (2.0, 14.0)
SECOND_AFTER = (0.0, 5.0)
PLAY_SECONDS = 900


def days_text(site_text):
    """The text of each [[day]] of a site file."""
    return re.split(r"(?m)^\[\[day\]\]\n", site_text)[1:]


def entry(trouble, at):
    """One entry of a day's plan or faults."""
    fields = {**trouble, "at": round(at, 2)}
    return "{ " + ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields.items()) + " }"


def day_of(base, pair, draw):
    """The text of a day with both faults."""
    first = draw.uniform(*FIRST_AT)
    times = (first, first + draw.uniform(*SECOND_AFTER))
    lists = {"plan": [], "faults": []}
    for trouble, at in zip(pair, times):
        lists["plan" if trouble["kind"] in PLANNED else "faults"].append(entry(trouble, at))
    text = base
    for name, entries in lists.items():
        block = f"{name} = [\n" + "".join(f"  {item},\n" for item in entries) + "]\n"
        text = re.sub(rf"(?ms)^{name} = \[.*?^\]\n", lambda _: block, text, count=1)
    return "[[day]]\n" + re.sub(r'(?m)^name = .*$', 'name = "pair"', text, count=1)


def pairs_of(troubles, draw):
    """All pairs of faults, in an order that depends on the seed."""
    pairs = list(itertools.combinations(troubles, 2))
    draw.shuffle(pairs)
    return pairs


def play(bench, site, file, seed, full):
    """One run: worth, share served, violated rules."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, str(file), "--seed", str(seed), "--no-cpu", "--report", report.name]
        done = subprocess.run(command + ([] if full else ["--small"]), capture_output=True, text=True,
                              timeout=PLAY_SECONDS)
        try:
            figures = json.load(open(report.name, encoding="utf-8"))
        except json.JSONDecodeError:
            raise SystemExit(f"{file}: not played: {done.stdout[-500:]}{done.stderr[-500:]}")
    return figures["G"], figures.get("served"), figures.get("breaks") or {}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--keep", default=os.path.join(tempfile.gettempdir(), "pair-days"))
    options = parser.parse_args()
    text = pathlib.Path(options.site).read_text(encoding="utf-8")
    site = tomllib.loads(text)
    number = next(i for i, day in enumerate(site["day"]) if day["slot"] != "quiet")
    draw = random.Random(options.seed)
    keep = pathlib.Path(options.keep)
    keep.mkdir(parents=True, exist_ok=True)
    days = []
    for i, pair in enumerate(pairs_of(site["troubles"], draw)[: options.count]):
        file = keep / f"{site['name']}-{options.seed}-{i}.toml"
        file.write_text(day_of(days_text(text)[number], pair, draw), encoding="utf-8")
        days.append((file, " + ".join(f"{t['kind']} ({t.get('how', '')})" for t in pair), draw.randrange(1, 2**31)))
    broken = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = [pool.submit(play, options.bench, options.site, file, seed, options.full) for file, _, seed in days]
        for (file, name, seed), future in zip(days, plays):
            worth, served, rules = future.result()
            broken += bool(rules)
            print(f"{worth:7.3f} {'' if served is None else round(served, 3)} {name} [{file.name}, seed {seed}]"
                  + (f" BROKEN {rules}" if rules else ""), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
