#!/usr/bin/env python3
"""Explains one request from the logs of one or more poolers.

Use:  tools/explain.py REQUEST-ID [FILE...]        (standard input without files)

Prints the request's log lines, with the stages of an operation that took too long, and then the lines of its
pooler and of the coordinator about its group and the databases in the seconds around it, ordered by time. Lines
are JSON objects as the pooler writes them; a field "machine" is shown if a log collector adds it. Exit code 1: no
line names the request.
"""

import argparse
import fileinput
import json
import sys

# Parts of the log whose lines may explain why a request could not be served.
CAUSES = ("failover", "lease", "member", "database", "control", "coordinator", "store")

# Seconds before and after the request that are shown.
BEFORE = 3.0
AFTER = 1.0


def read_lines(files):
    """All log lines as dicts, oldest first; lines that are no JSON object are ignored."""
    lines = []
    with fileinput.input(files) as source:
        for text in source:
            start = text.find("{")
            try:
                line = json.loads(text[start:]) if start >= 0 else None
            except ValueError:
                continue
            if isinstance(line, dict) and "part" in line:
                lines.append(line)
    return sorted(lines, key=lambda line: line.get("time", 0))


def describe(line):
    """One line of output: time, place, message, and the logged inputs."""
    known = ("time", "steady", "level", "message", "part", "machine")
    inputs = " ".join(f"{key}={value}" for key, value in line.items() if key not in known)
    return f"{line.get('time', 0):.3f} {line.get('machine', '-')} {line['part']}: {line['message']} {inputs}"


def describe_stages(line):
    """The stages of a late operation: a line for each, the longest first."""
    stages = [part.rsplit(" ", 1) for part in line.get("stages_ms", "").split(", ") if part]
    total = sum(float(spent) for _, spent in stages) or 1.0
    longest = sorted(stages, key=lambda stage: -float(stage[1]))
    return [f"{name:<12} {float(spent):7.1f} ms {100 * float(spent) / total:3.0f}%"
            for name, spent in longest]


def matters(line, request):
    """Whether a line may explain the cause: at the same time, and not about another group."""
    near = request["time"] - BEFORE <= line["time"] <= request["time"] + AFTER
    other_group = line.get("service", request.get("service")) != request.get("service")
    return near and line["part"] in CAUSES and not other_group


def main():
    parser = argparse.ArgumentParser(description="Explains a request from poolers' logs.")
    parser.add_argument("request")
    parser.add_argument("files", nargs="*")
    options = parser.parse_args()
    lines = read_lines(options.files)
    own = [line for line in lines if line.get("request") == options.request]
    if not own:
        sys.exit(f"explain: no line names request {options.request}")
    print("request")
    for line in own:
        print("  " + describe(line))
        for stage in describe_stages(line):
            print("    " + stage)
    print("around it")
    for line in lines:
        if matters(line, own[0]):
            print("  " + describe(line))


if __name__ == "__main__":
    main()
