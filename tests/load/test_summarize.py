"""Tests of tools/summarize_tests.py: what counts as passed, failed and known red."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

import summarize_tests  # noqa: E402  (the path is set above)

GOOD = {"name": "core", "result": "OK", "stdout": "TAP version 13\nok 1 /core/a\nok 2 /core/b\n1..2\n"}
BAD = {"name": "wire", "result": "FAIL", "stdout": "ok 1 /wire/a\nnot ok 2 /wire/b\n1..2\n"}
DIED = {"name": "pool", "result": "FAIL", "stdout": "ok 1 /pool/a\n"}


class SummaryTest(unittest.TestCase):
    """Runs the program's entry point over small logs."""

    def run_summary(self, entries, known=None):
        """Returns the exit code and the lines printed."""
        with tempfile.TemporaryDirectory() as directory:
            log = Path(directory) / "testlog.json"
            log.write_text("\n".join(json.dumps(entry) for entry in entries), encoding="utf-8")
            red = Path(directory) / "KNOWN-RED.txt"
            if known is not None:
                red.write_text(known, encoding="utf-8")
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                code = summarize_tests.main([str(log), str(red)])
        return code, output.getvalue().splitlines()

    def test_subtests_count(self):
        code, lines = self.run_summary([GOOD])
        self.assertEqual((code, lines[-1]), (0, "2 passed, 0 failed"))

    def test_failing_subtest_fails(self):
        code, lines = self.run_summary([GOOD, BAD])
        self.assertEqual((code, lines[-1]), (1, "3 passed, 1 failed"))
        self.assertIn("failed: /wire/b", lines)

    def test_dead_program_is_one_failure(self):
        code, lines = self.run_summary([DIED])
        self.assertEqual((code, lines[-1]), (1, "1 passed, 1 failed"))
        self.assertIn("failed: pool", lines)

    def test_last_lines_of_a_failing_program_come_before_the_counts(self):
        logged = "".join(f"line {n}\n" for n in range(1000)) + "x" * 10000 + "\nin vain waited\n"
        code, lines = self.run_summary([GOOD, {**DIED, "returncode": -5, "stderr": logged}])
        self.assertEqual(code, 1)
        self.assertEqual(lines[-4:-2], ["   " + "x" * 400, "   in vain waited"])
        self.assertEqual(lines[0], "== pool (FAIL, code -5), its last lines:")
        self.assertIn("   line 999", lines)
        self.assertNotIn("   line 900", lines)
        self.assertFalse(any("core" in line for line in lines))

    def test_failing_subtests_are_kept_before_a_long_log(self):
        logged = "".join(f"line {n}\n" for n in range(1000))
        _, lines = self.run_summary([{**BAD, "stderr": logged}])
        self.assertEqual(lines[1:3], ["   not ok 2 /wire/b", "   line 940"])

    def test_last_lines_of_a_quiet_program_are_its_subtests(self):
        _, lines = self.run_summary([BAD], "/wire/b: short read is lost, issue 3\n")
        self.assertIn("   not ok 2 /wire/b", lines)

    def test_unfinished_and_skipped_do_not_pass(self):
        output = "not ok 1 /a # TODO later\nok 2 /b # SKIP no clock\n1..2\n"
        code, lines = self.run_summary([{"name": "x", "result": "FAIL", "stdout": output}])
        self.assertEqual((code, lines[-1]), (1, "0 passed, 1 failed"))
        self.assertIn("1 skipped", lines)

    def test_known_red_is_printed_and_passed_over(self):
        code, lines = self.run_summary([GOOD, BAD], "/wire/b: short read is lost, issue 3\n")
        self.assertEqual((code, lines[-1]), (0, "3 passed, 0 failed"))
        self.assertIn("known red: /wire/b: short read is lost, issue 3", lines)

    def test_known_red_passes_over_no_other(self):
        code, _ = self.run_summary([BAD], "/wire/a: cause, issue 3\n")
        self.assertEqual(code, 1)

    def test_listed_test_that_passes_is_reported(self):
        code, lines = self.run_summary([GOOD], "/core/a: cause, issue 3\n/gone: cause, issue 3\n")
        self.assertEqual(code, 0)
        self.assertIn("known red, but passed: /core/a", lines)
        self.assertIn("known red, but not run: /gone", lines)

    def test_more_than_three_known_red_fail(self):
        code, lines = self.run_summary([GOOD], "".join(f"/t{n}: cause, issue 3\n" for n in range(4)))
        self.assertEqual((code, lines[-1]), (1, "0 passed, 1 failed"))

    def test_malformed_known_red_fails(self):
        code, _ = self.run_summary([GOOD], "/core/a because\n")
        self.assertEqual(code, 1)


if __name__ == "__main__":
    unittest.main()
