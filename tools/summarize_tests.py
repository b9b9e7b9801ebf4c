#!/usr/bin/env python3
"""Counts the test results in a log of `meson test` and ends with the line "N passed, N failed".

Every TAP subtest counts. A program without subtests, or one that failed without a failing subtest
(it crashed, timed out or did not follow its plan), counts as one test under the program's name.

The last lines of output of each failing program come before the failures and counts, so that the
end of a log is enough to see what happened.

The file of known failures has lines "test-name: cause, issue", three at most. A failure of such a
test is printed and not counted; a listed test that passes, or that was not run, is reported.

Usage: summarize_tests.py TESTLOG.JSON KNOWN_RED.TXT
"""

import json
import re
import sys
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_MAX = 3
TAIL_LINES_MAX = 60
TAIL_COLUMNS_MAX = 400
FAILURE_STARTS = ("not ok", "Bail out!")
TAP_LINE = re.compile(r"^(not ok|ok)\b\s*\d*\s*-?\s*([^#]*?)\s*(?:#\s*(.*))?$")
PROGRAM_PASSED = ("OK", "EXPECTEDFAIL")
PROGRAM_SKIPPED = "SKIP"


@dataclass
class FailedProgram:
    """A test program that failed: its name, how, and the last lines of what it printed."""

    name: str
    result: str
    tail: list


@dataclass
class Result:
    """The outcome of one test: "passed", "failed" or "skipped"."""

    name: str
    outcome: str


class KnownRedError(Exception):
    """The list of known failures is not valid."""


def parse_tap(output):
    """Results of the subtests in a TAP stream. An unfinished test (TODO) counts as failed."""
    results = []
    for line in output.splitlines():
        match = TAP_LINE.match(line)
        if not match:
            continue
        verdict, name, directive = match.groups()
        if verdict != "ok":
            outcome = "failed"
        elif directive and directive.upper().startswith("SKIP"):
            outcome = "skipped"
        else:
            outcome = "passed"
        results.append(Result(name, outcome))
    return results


def program_results(entry):
    """Results of one test program, from its entry in the log."""
    name = entry["name"]
    results = parse_tap(entry.get("stdout") or "")
    if entry["result"] == PROGRAM_SKIPPED:
        return results or [Result(name, "skipped")]
    if entry["result"] in PROGRAM_PASSED:
        return results or [Result(name, "passed")]
    if not any(result.outcome == "failed" for result in results):
        results.append(Result(name, "failed"))
    return results


def tail_of(entry):
    """The last output of a program, with shortened lines: its failures, then the end of its log."""
    subtests = (entry.get("stdout") or "").splitlines()
    lines = [*subtests, *(entry.get("stderr") or "").splitlines()]
    dropped = subtests[: max(0, len(lines) - TAIL_LINES_MAX)]
    failures = [line for line in dropped if line.startswith(FAILURE_STARTS)]
    kept = failures[-TAIL_LINES_MAX:] + lines[-TAIL_LINES_MAX:]
    return [line[:TAIL_COLUMNS_MAX] for line in kept]


def read_log(path):
    """All results in a log of `meson test`, and the programs that failed; none without a log."""
    results = []
    failed_programs = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip():
            continue
        entry = json.loads(line)
        outcomes = program_results(entry)
        results.extend(outcomes)
        if any(result.outcome == "failed" for result in outcomes):
            how = f"{entry['result']}, code {entry.get('returncode')}"
            failed_programs.append(FailedProgram(entry["name"], how, tail_of(entry)))
    return results, failed_programs


def read_known_red(path):
    """The known failures: test name to "cause, issue"."""
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip():
            continue
        name, separator, cause = line.partition(": ")
        if not separator or "," not in cause:
            raise KnownRedError(f'{path.name}: not "test-name: cause, issue": {line}')
        known[name.strip()] = cause.strip()
    if len(known) > KNOWN_RED_MAX:
        raise KnownRedError(f"{path.name}: {len(known)} lines, at most {KNOWN_RED_MAX} are allowed")
    return known


def print_tails(failed_programs):
    """Prints the last output of the failed programs."""
    for program in failed_programs:
        print(f"== {program.name} ({program.result}), its last lines:")
        for line in program.tail:
            print(f"   {line}")


def summarize(results, known):
    """Prints the failures and the counts. Returns the exit code."""
    passed = sum(result.outcome == "passed" for result in results)
    skipped = sum(result.outcome == "skipped" for result in results)
    failures = [result.name for result in results if result.outcome == "failed"]
    red = [name for name in failures if name in known]
    unexpected = [name for name in failures if name not in known]
    for name in unexpected:
        print(f"failed: {name}")
    for name in red:
        print(f"known red: {name}: {known[name]}")
    for name in sorted(set(known) - set(failures)):
        ran = any(result.name == name and result.outcome == "passed" for result in results)
        print(f"known red, but {'passed' if ran else 'not run'}: {name}")
    if skipped:
        print(f"{skipped} skipped")
    if red:
        print(f"{len(red)} known red, not counted as failed")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


def main(arguments):
    """Entry point; returns the exit code."""
    if len(arguments) != 2:
        print("usage: summarize_tests.py TESTLOG.JSON KNOWN_RED.TXT", file=sys.stderr)
        return 2
    try:
        known = read_known_red(Path(arguments[1]))
        results, failed_programs = read_log(Path(arguments[0]))
    except (KnownRedError, OSError, json.JSONDecodeError) as error:
        print(f"failed: {error}")
        print("0 passed, 1 failed")
        return 1
    print_tails(failed_programs)
    return summarize(results, known)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
