#!/usr/bin/env python3
"""Checks that names of the platform occur only in platform/, deploy/ and the stand-ins, and that platform/ stays
small. Prints TAP. Usage: test_platform_names.py ROOT"""

import pathlib
import re
import sys

# Paths, headers, fields and words of the platform's interfaces, which the product does not use.
NAMES = [
    r"/swiftworks/(readiness|rows-|blob-)", r"rows-(tx|get|feed|parts)", r"blob-(put|get|drop|list)",
    r"Swiftworks-(Duty-Holder|Fencing-Token|Target-Instance|Instance-Id)", r"\bSTARTUP\b",
    r"\bTERMINATE\b", r"\bSTEPDOWN\b", r"\bNOSTMT\b", r"\bNODB\b", r"\bINDOUBT\b", r"\bTOOLARGE\b",
    r"\bMISROUTED\b", r"\bcoldRemainingMs\b", r"\bcloudApi\b", r"\btlsKey\b", r"\bexpectedRev\b",
    r"\brouteType\b", r"\btargetLatencyMs\b", r"\bmaxStalenessMs\b", r"\bdbRole\b",
    r"\bheartbeatMs\b", r"\bsyncReplicas\b", r"\bmaxConns\b", r"\btxIdleMs\b",
]

# Largest size of platform/ relative to src/: platform/ is limited to names, formats and calls, and decisions are made
# in src/.
SHARE_MAX = 1 / 8


def sources(root, folder):
    """The C sources below a folder, except generated ones."""
    return [path for path in sorted((root / folder).rglob("*.[ch]")) if "generated" not in path.parts]


def find_leaks(root):
    """Lines in src/ that contain names of the platform."""
    pattern = re.compile("|".join(NAMES))
    leaks = []
    for path in sources(root, "src"):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if pattern.search(line):
                leaks.append(f"{path.relative_to(root)}:{number}: {line.strip()}")
    return leaks


def count_lines(paths):
    """Total number of lines of the files."""
    return sum(len(path.read_text().splitlines()) for path in paths)


def report(number, passed, name, details):
    """Prints one line of TAP, and the details as comments."""
    print(f"{'ok' if passed else 'not ok'} {number} {name}")
    for detail in details:
        print(f"# {detail}")
    return passed


def main():
    root = pathlib.Path(sys.argv[1])
    leaks = find_leaks(root)
    adapter = count_lines(sources(root, "platform"))
    product = count_lines(sources(root, "src"))
    print("1..2")
    passed = report(1, not leaks, "no name of the platform occurs in src", leaks)
    passed &= report(2, adapter <= product * SHARE_MAX, "platform is small",
                   [f"{adapter} lines against {product} of src"])
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
