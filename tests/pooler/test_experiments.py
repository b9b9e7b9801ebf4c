#!/usr/bin/env python3
"""Tests of the experiment tools: figures from a bench report, paired differences, sign test and tables, and a check
that each source text that the ablation replaces occurs exactly once. Needs no bench. Usage: test_experiments.py ROOT"""

import contextlib
import io
import json
import pathlib
import random
import sys
import tempfile
import tomllib
import unittest

ROOT = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

import ablate  # noqa: E402
import compare  # noqa: E402
import pair_days  # noqa: E402

# Part of the report of lanyu-homework, trouble-2, snapshot 8494ed6d.
REPORT = {
    "G": 0.7014,
    "parts": [["whole day", 0.35, 0.9614], ["worst windows", 0.5, 0.4929], ["worst class", 0.15, 0.943]],
    "prices": [["machine-seconds", 378.165, 0.0085], ["cloud calls", 658.0, 0.0045]],
    "breaks": {},
}


def row(day, seed, base, changed, broken=()):
    """A pair of runs with the given scores."""
    def side(worth, rules):
        return {"figures": {"worth": worth, "price: cloud calls": -0.004}, "broken": list(rules), "snapshot": "ab12"}
    return {"site": "site", "day": day, "seed": seed, "base": side(base, ()), "with": side(changed, broken)}


ROWS = [row("one", 0, 0.5, 0.6), row("one", 1, 0.5, 0.55), row("two", 0, 0.7, 0.65, ["STALE"])]


def output_of(function, *arguments):
    """The function's standard output."""
    text = io.StringIO()
    with contextlib.redirect_stdout(text):
        function(*arguments)
    return text.getvalue()


class CompareTest(unittest.TestCase):
    """Paired comparison."""

    def test_figures(self):
        figures, broken = compare.figures_of(REPORT)
        self.assertEqual(figures["worth"], 0.7014)
        self.assertAlmostEqual(figures["worst windows"], 0.24645)
        self.assertEqual(figures["price: cloud calls"], -0.0045)
        self.assertEqual(broken, [])
        self.assertEqual(compare.figures_of({**REPORT, "breaks": {"STALE": 2}})[1], ["STALE"])

    def test_parts_and_prices_make_the_worth(self):
        figures, _ = compare.figures_of(REPORT)
        total = sum(value for name, value in figures.items() if name != "worth")
        self.assertAlmostEqual(total, figures["worth"], delta=0.01)  # the sample omits small prices

    def test_command(self):
        self.assertEqual(compare.command_of("b", "s", "d", 0, False, "r"),
                         ["b", "run", "s", "d", "--report", "r", "--no-cpu"])
        self.assertEqual(compare.command_of("b", "s", "d", 7, True, "r"),
                         ["b", "run", "s", "d", "--report", "r", "--seed", "7"])
        self.assertEqual(compare.command_of("b", "s", "d", 0, True, "r", small=True),
                         ["b", "run", "s", "d", "--report", "r", "--small"])

    def test_pairs_of_troubles(self):
        troubles = [{"kind": "release", "how": "primary"}, {"kind": "srv_crash", "for_s": 7.0}, {"kind": "lossy"}]
        pairs = pair_days.pairs_of(troubles, random.Random(3))
        self.assertEqual(len(pairs), 3)
        self.assertEqual(pairs, pair_days.pairs_of(troubles, random.Random(3)))
        base = 'name = "t"\nslot = "trouble"\nplan = [\n  { old = 1 },\n]\nfaults = [\n]\ntraffic = []\n'
        text = pair_days.day_of(base, (troubles[0], troubles[1]), random.Random(3))
        day = tomllib.loads(text)["day"][0]
        self.assertEqual([item["kind"] for item in day["plan"]], ["release"])
        self.assertEqual([item["kind"] for item in day["faults"]], ["srv_crash"])
        self.assertEqual(day["faults"][0]["for_s"], 7.0)
        self.assertLessEqual(day["plan"][0]["at"], day["faults"][0]["at"])
        self.assertEqual(day["traffic"], [])

    def test_days_with_trouble(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as site:
            site.write('[[day]]\nname = "q"\nslot = "quiet"\n[[day]]\nname = "t"\nslot = "trouble"\n')
            site.flush()
            self.assertEqual(compare.days_of(site.name), ["t"])

    def test_sign_test(self):
        self.assertEqual(compare.sign_test([]), 1.0)
        self.assertEqual(compare.sign_test([0.0, 0.1, -0.1]), 1.0)
        self.assertAlmostEqual(compare.sign_test([0.1] * 6), 2 / 64)
        self.assertAlmostEqual(compare.sign_test([0.1] * 5 + [-0.1]), 2 * 7 / 64)

    def test_tables(self):
        worths = output_of(compare.print_worths, ROWS)
        self.assertIn("+0.075  +0.050..+0.100", worths)
        self.assertIn("BROKEN STALE", worths)
        parts = output_of(compare.print_parts, ROWS)
        self.assertIn("+0.0500  -0.0500  +0.1000   1.000", parts)
        self.assertNotIn("cloud calls", parts)
        self.assertIn("snapshots base: ab12 ab12 ab12", output_of(compare.print_snapshots, ROWS))

    def test_saved_figures_are_shown_again(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as saved, \
                tempfile.NamedTemporaryFile("r", suffix=".svg") as plot:
            json.dump(ROWS, saved)
            saved.flush()
            text = output_of(compare.main, ["--load", saved.name, "--plot", plot.name])
            self.assertIn("all days", text)
            self.assertEqual(plot.read().count("<line"), len(ROWS))


class AblateTest(unittest.TestCase):
    """Ablation: single mechanisms switched off."""

    def test_each_text_stands_once(self):
        self.assertEqual({name: 1 for name, *_ in ablate.MECHANISMS}, ablate.count_texts(ROOT))

    def test_change_by_site(self):
        without = [{"site": "site", "base": pair["with"]} for pair in ROWS]
        changes = ablate.changes_of(ROWS, without)["site"]
        self.assertAlmostEqual(changes["mean"], 0.1 / 3)
        self.assertEqual(changes["broken"], ["STALE"])
        self.assertIn("**STALE**", output_of(ablate.print_table, {"owners": {"site": changes}}))


if __name__ == "__main__":
    unittest.main()
