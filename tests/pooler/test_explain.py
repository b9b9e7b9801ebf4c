#!/usr/bin/env python3
"""Holds that each of three kinds of failed request leads from its id to its cause, by the logs of a
recorded day and the tool that docs/OPERATIONS.md names. Prints TAP. Usage: test_explain.py ROOT"""

import pathlib
import subprocess
import sys

DAY = "traces/pooler-kitakaze-scale-2.jsonl"

# What was asked, and what the explanation must hold, in that order.
CASES = [
    ("refused while its group had no primary", "REFUSED", ["answer=busy", "phase=closed", "nobody leads"]),
    ("unknown end of a commit", "IN_DOUBT", ["answer=in_doubt", "kind=commit", "sent_to=i-"]),
    ("late for want of a primary", "LATE", ["slow,", "before it was sent", "changes its primary"]),
]
IDS = {
    "REFUSED": "9f5bd9702e396117",
    "IN_DOUBT": "0101dee35fd6d782",
    "LATE": "a0e05ba703ecfda6",
}


def explain(root, request):
    """The tool's output for one request."""
    command = [sys.executable, root / "tools/explain.py", request, root / DAY]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout


def holds(text, parts):
    """Whether all parts stand in the text."""
    return all(part in text for part in parts)


def main():
    root = pathlib.Path(sys.argv[1])
    good = True
    print(f"1..{len(CASES)}")
    for number, (name, key, parts) in enumerate(CASES, 1):
        found = holds(explain(root, IDS[key]), parts)
        good &= found
        print(f"{'ok' if found else 'not ok'} {number} {name}")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
