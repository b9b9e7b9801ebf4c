#!/usr/bin/env python3
"""Tests tools/explain.py, which docs/OPERATIONS.md describes: for four kinds of failed or late requests in recorded
logs, the output for the request's id contains the cause. Prints TAP. Usage: test_explain.py ROOT"""

import pathlib
import subprocess
import sys

DAY = "traces/pooler-kitakaze-scale-2.jsonl"
LATE_DAY = "traces/pooler-late-operation.jsonl"

# Name, request, and the texts that the explanation must contain.
CASES = [
    ("refused while its group had no primary", "REFUSED", ["answer=busy", "phase=closed", "nobody leads"]),
    ("unknown outcome of a commit", "IN_DOUBT", ["answer=in_doubt", "kind=commit", "sent_to=i-"]),
    ("late because there was no primary", "LATE", ["slow,", "before it was sent", "changes its primary"]),
    ("late operation, waiting for tokens", "WHOLE",
     ["priority=0", "statements=5", "token          129.2 ms  71%", "database", "hop"]),
]
IDS = {
    "REFUSED": "9f5bd9702e396117",
    "IN_DOUBT": "0101dee35fd6d782",
    "LATE": "a0e05ba703ecfda6",
    "WHOLE": "6ab7a0ee339c1721",
}


def explain(root, key):
    """The tool's output for one request."""
    day = LATE_DAY if key == "WHOLE" else DAY
    command = [sys.executable, root / "tools/explain.py", IDS[key], root / day]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout


def contains_all(text, parts):
    """Whether the text contains all parts."""
    return all(part in text for part in parts)


def main():
    root = pathlib.Path(sys.argv[1])
    passed = True
    print(f"1..{len(CASES)}")
    for number, (name, key, parts) in enumerate(CASES, 1):
        found = contains_all(explain(root, key), parts)
        passed &= found
        print(f"{'ok' if found else 'not ok'} {number} {name}")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
