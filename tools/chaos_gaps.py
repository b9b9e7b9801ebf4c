#!/usr/bin/env python3
"""Prints the table of a chaos run: for each fault, until the next one, the longest time without an acknowledged
write, and the numbers of lost and refused attempts.

Usage: chaos_gaps.py FAULTS < HISTORY    FAULTS has lines "NAME MONOTONIC_NS", the last one named "end".
"""

import json
import sys
from bisect import bisect_right
from dataclasses import dataclass, field
from pathlib import Path

NANOSECONDS_PER_MILLISECOND = 1_000_000


@dataclass
class Fault:
    """One fault, from its start to the start of the next."""

    name: str
    started_ns: int
    ended_ns: int
    acknowledged_ns: list = field(default_factory=list)
    lost: int = 0
    refused: int = 0

    def longest_gap_ms(self):
        """Longest time without an acknowledged write."""
        times = [self.started_ns, *sorted(self.acknowledged_ns), self.ended_ns]
        gaps = (later - earlier for earlier, later in zip(times, times[1:]))
        return max(gaps) / NANOSECONDS_PER_MILLISECOND


def read_faults(text):
    """Reads the faults, in their order."""
    marks = [(name, int(at_ns)) for name, at_ns in (line.split() for line in text.splitlines())]
    pairs = zip(marks, marks[1:])
    return [Fault(name, started_ns, ended_ns) for (name, started_ns), (_, ended_ns) in pairs]


def add_record(faults, record):
    """Counts an attempt for the fault during which it was answered."""
    starts = [fault.started_ns for fault in faults]
    place = bisect_right(starts, record["answered_ns"]) - 1
    if place < 0 or record["answered_ns"] > faults[-1].ended_ns:
        return
    fault = faults[place]
    if record["outcome"] == "done" and record["kind"] != "read":
        fault.acknowledged_ns.append(record["answered_ns"])
    fault.lost += record["outcome"] == "lost"
    fault.refused += record["outcome"] == "refused"


def main(arguments):
    """Entry point; returns the exit code."""
    if len(arguments) != 1:
        print("usage: chaos_gaps.py FAULTS < HISTORY", file=sys.stderr)
        return 2
    faults = read_faults(Path(arguments[0]).read_text(encoding="utf-8"))
    for line in sys.stdin:
        add_record(faults, json.loads(line))
    for fault in faults:
        print(f"{fault.name:32} {fault.longest_gap_ms():10.0f} {fault.lost:10} {fault.refused:10}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
