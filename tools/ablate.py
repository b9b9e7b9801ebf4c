#!/usr/bin/env python3
"""Disables the pooler's mechanisms one at a time, and reports the effect of each on the score of the users' benchmark.

Use:  tools/ablate.py --bench PROGRAM --scratch DIR --site FILE [--site FILE]... [--seed N]... [--only NAME]...
          [--jobs N] [--save FILE]
      tools/ablate.py --load FILE
      tools/ablate.py --check

The product has no switches for this: each mechanism is disabled by a replacement of source text in a scratch
checkout of HEAD (a git worktree below DIR, left there with its journal of runs). The days with faults of each site
are run with and without it, with the same seeds, without processor time. The table shows for each site the change
of the mean score ("worth") without the mechanism: negative if the mechanism improves it. Rules that are violated
without it are named: such a mechanism is needed whatever its effect on the score.

--check verifies that each text to be replaced is in the sources exactly once.
"""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys

import compare

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Name, file, source text, text with the mechanism disabled.
MECHANISMS = [
    ("owners and forwarding", "src/pooler/control/fleet.c", "return usable_connections(max_connections) / shares >= DIRECT_MIN;",
     "return shares > 0 || usable_connections(max_connections) >= DIRECT_MIN;"),
    ("ready connections", "src/pooler/databases/database.c",
     "bool usable = database->takes_work && database_fault(database) == DATABASE_FAULT_NONE;", "bool usable = false;"),
    ("near databases first", "src/pooler/routing/choice.c", ".rtt_ms = database->rtt_ms,", ".rtt_ms = 0,"),
    ("replicas before the primary", "src/pooler/routing/placement.c", "#define PRIMARY_WEIGHT 0.7", "#define PRIMARY_WEIGHT 0.0"),
    ("reads held for a replica", "src/pooler/routing/choice.c",
     "if (session->request.deferred || fresh >= choice_objective(session)) {",
     "if (session != NULL) {"),
    ("those that wait refused for more urgent ones", "src/pooler/routing/router.c", "        refusal_recheck_later(session);",
     "        (void)refusal_recheck_later;"),
    ("a place kept for the urgent", "src/pooler/databases/window.c", "#define RESERVE_FROM 3", "#define RESERVE_FROM 3000"),
    ("window by slow answers", "src/pooler/databases/window.c", "#define SLOW_FROM 2.7", "#define SLOW_FROM 2.7e9"),
    ("permits to read at the primary", "src/pooler/routing/router.c",
     "return group->phase != GROUP_PHASE_CLOSED && now < atomic_load(&group->shared->permit_until);",
     "return false;"),
    ("proof of leadership by statuses", "src/pooler/routing/leadership.c",
     "if (in_progress || group->primary == NULL || now < group->check_again_at) {", "if (in_progress || now != 0) {"),
    ("rows relayed from the coordinator", "src/pooler/control/control_relayed.c",
     "return !control->lease.held && !control->follows_store && now <= control->relayed_valid_until;", "return false;"),
    ("lease left to another pooler", "src/pooler/control/control_lease_handover.c", "if (successor == NULL) {",
     "if (successor == NULL || planned || !planned) {"),
    ("lease left where the store refuses", "src/pooler/control/control_lease.c",
     "return control->lease.held && control_lease_overdue(control, now) > FAILING_NS;",
     "return control->lease.held && control->lease.calling && control_lease_overdue(control, now) > FAILING_NS;"),
    ("strong machines as coordinator", "src/pooler/control/control_coordinator.c",
     "pooler->millicores = heartbeat->millicores;", "pooler->millicores = 0;"),
    ("lacked positions remembered", "src/pooler/routing/choice.c",
     "#define MISSING_KEPT_NS (60 * NANOSECONDS_PER_MILLISECOND)", "#define MISSING_KEPT_NS ((time_ns)0)"),
    ("stall confirmed by replicas", "src/pooler/control/failover.c",
     "return now >= failover->stall_since + STALL_CONFIRMED_NS;", "return true;"),
    ("fleet's size in the lease's row", "src/pooler/control/control_view.c",
     "return control->fleet_count > 0 ? control->fleet_count : control->lease.record.poolers;",
     "return control->fleet_count;"),
    ("owners in the lease's row", "src/pooler/control/control_lease.c",
     "control_fleet_take(control, &record->fleet);", "(void)record;"),
    ("short wait at a start", "deploy/settings.template", "{{^bootstrap}}50{{/bootstrap}}",
     "{{^bootstrap}}900{{/bootstrap}}"),
    ("serving alone without owners", "src/pooler/routing/group.c",
     "if (group->fallback_connections == 0 || !is_without_owners(group)) {", "if (group != NULL) {"),
    ("refusal by predicted wait", "src/pooler/routing/refusal.c", "if (would_be_late(session) && !deferred) {",
     "if (would_be_late(session) && !deferred && false) {"),
    ("wait predicted from the line's pace", "src/pooler/routing/queue_rate.c",
     "return MAX(by_capacity, rate->interval_ms * forecast->ahead);", "return by_capacity;"),
    ("refusal where the primary is lost", "src/pooler/routing/refusal.c",
     "return need.primary && primary_is_lost(session, &need, backend_now());",
     "return need.primary && primary_is_lost(session, &need, backend_now()) && false;"),
    ("proof that keys stand", "src/pooler/access/proof.c",
     "return lifetime == 0 || (proven_at != 0 && now < proven_at + lifetime);", "return true;"),
    ("urgent operations first within a limit", "src/pooler/rate/share.c",
     "reserved += share->demand_per_s[i] * RESERVE_S;", "reserved += 0;"),
    ("clients of a cut-off zone go elsewhere", "src/pooler/control/zone_reachability.c",
     "reachability->partitioned = most_elsewhere && store_unknown && none_responds(reachability, now);",
     "reachability->partitioned = most_elsewhere && store_unknown && none_responds(reachability, now) && now == 0;"),
    ("sessions announced to owners", "src/pooler/routing/router.c",
     "return; /* any idle connection can serve it */\n    }", "return;\n    }\n    return;"),
    ("owners leave work to the tenant's owner", "src/pooler/forwarding/owner_choice.c",
     "bool owns = group->own_address != NULL && session->forwarded.caller == NULL;", "bool owns = false;"),
    ("slow homes asked beside another", "src/pooler/rate/admission.c",
     "time_ns hedge_at = now + home_health_hedge_delay(link_home_health(link));", "time_ns hedge_at = first_timeout(session);"),
    ("proof waits for connections", "src/pooler/routing/leadership.c",
     "return !primary_ready || now < group->check_deferred_since + DEFER_MAX_NS;",
     "return (!primary_ready || now < group->check_deferred_since + DEFER_MAX_NS) && now == 0;"),
    ("first objective first", "src/pooler/routing/router.c", "return choice_objective(a) < choice_objective(b);",
     "return choice_objective(a) - choice_objective(a) + a->request.arrived < b->request.arrived;"),
]


def count_texts(root):
    """The number of occurrences of each mechanism's text in its file, by name."""
    return {name: (root / path).read_text(encoding="utf-8").count(old) for name, path, old, _ in MECHANISMS}


def check():
    """Prints the mechanisms whose text is not unique. True if there are none."""
    wrong = {name: count for name, count in count_texts(ROOT).items() if count != 1}
    for name, count in wrong.items():
        print(f"{name}: its text occurs {count} times")
    return not wrong


def make_checkout(scratch, label):
    """A scratch checkout of HEAD, as a git worktree."""
    folder = pathlib.Path(scratch) / label
    if not folder.exists():
        command = ["git", "-C", str(ROOT), "worktree", "add", "--detach", str(folder), "HEAD"]
        subprocess.run(command, check=True, capture_output=True)
    return folder


def switch_off(folder, mechanism):
    """Replaces the mechanism's text in a checkout."""
    _, path, old, new = mechanism
    target = folder / path
    text = target.read_text(encoding="utf-8")
    target.write_text(text.replace(old, new), encoding="utf-8")


def play_checkout(options, folder):
    """Rows of all runs in one checkout, each with its site, day, seed and figures."""
    built = subprocess.run([options.bench, "build"], cwd=folder, capture_output=True, text=True)
    if built.returncode != 0:
        raise RuntimeError(f"{folder} can't be built:\n{built.stdout[-2000:]}{built.stderr[-2000:]}")
    arguments = ["--bench", options.bench, "--base", str(folder), "--jobs", str(options.jobs)]
    for site in options.site:
        arguments += ["--site", site]
    for seed in options.seed or [0]:
        arguments += ["--seed", str(seed)]
    return compare.play_all(compare.parse_options(arguments))


def changes_of(base, without):
    """Per site: mean, least and largest change of worth, and the violated rules."""
    result = {}
    for site in dict.fromkeys(row["site"] for row in base):
        pairs = [(a, b) for a, b in zip(base, without) if a["site"] == site]
        changes = [b["base"]["figures"]["worth"] - a["base"]["figures"]["worth"] for a, b in pairs]
        broken = sorted({rule for _, b in pairs for rule in b["base"]["broken"]})
        result[site] = {"mean": statistics.mean(changes), "least": min(changes), "most": max(changes),
                        "plays": len(changes), "broken": broken}
    return result


def print_table(results):
    """Prints a table: a row for each mechanism, a column for each site."""
    sites = list(next(iter(results.values())))
    print("| off | " + " | ".join(sites) + " |")
    print("|---|" + "---|" * len(sites))
    for name, by_site in results.items():
        cells = []
        for site in sites:
            cell = by_site[site]
            broken = f" **{' '.join(cell['broken'])}**" if cell["broken"] else ""
            cells.append(f"{cell['mean']:+.3f} ({cell['least']:+.3f}..{cell['most']:+.3f}){broken}")
        print(f"| {name} | " + " | ".join(cells) + " |")


def run(options):
    """Runs the base, then the variants without each mechanism."""
    base = play_checkout(options, make_checkout(options.scratch, "ablate-base"))
    results = {}
    for index, mechanism in enumerate(MECHANISMS):
        if options.only and mechanism[0] not in options.only:
            continue
        folder = make_checkout(options.scratch, f"ablate-{index}")
        switch_off(folder, mechanism)
        results[mechanism[0]] = changes_of(base, play_checkout(options, folder))
        print(mechanism[0], results[mechanism[0]], file=sys.stderr, flush=True)
    return results


def main(arguments):
    parser = argparse.ArgumentParser(description="Tells what each mechanism of the pooler is worth.")
    parser.add_argument("--bench", help="the bench's program")
    parser.add_argument("--scratch", help="folder for scratch checkouts")
    parser.add_argument("--site", action="append", default=[], help="site file")
    parser.add_argument("--seed", action="append", type=int, default=[], help="seed; 0 is the day's own")
    parser.add_argument("--only", action="append", default=[], help="mechanism, by name (all)")
    parser.add_argument("--jobs", type=int, default=4, help="plays at once (4)")
    parser.add_argument("--save", help="keep the figures in this file")
    parser.add_argument("--load", help="show the figures of this file, play nothing")
    parser.add_argument("--check", action="store_true", help="verify that each text occurs once")
    options = parser.parse_args(arguments)
    if options.check:
        return 0 if check() else 1
    if options.load:
        with open(options.load, encoding="utf-8") as source:
            results = json.load(source)
    elif options.bench and options.scratch and options.site:
        options.bench = os.path.abspath(options.bench)
        options.site = [os.path.abspath(site) for site in options.site]
        results = run(options)
    else:
        parser.error("--bench, --scratch and --site are needed, or --load, or --check")
    if options.save:
        with open(options.save, "w", encoding="utf-8") as target:
            json.dump(results, target, indent=1)
    print_table(results)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
