#!/usr/bin/env python3
"""The share of reads that a replica can serve without a wait: those sent at least the replication lag
after the last write acknowledged to their session, of all reads done.

Usage: share_without_wait.py LAG_MS < HISTORY
"""

import json
import sys

NANOSECONDS_PER_MILLISECOND = 1_000_000


def share_without_wait(records, lag_ns):
    """The share, from 0 to 1; None without reads."""
    last_write_ns = {}
    reads = 0
    free = 0
    for record in sorted(records, key=lambda one: one["sent_ns"]):
        if record["outcome"] != "done":
            continue
        session = record["session"]
        if record["kind"] != "read":
            last_write_ns[session] = record["answered_ns"]
            continue
        reads += 1
        free += record["sent_ns"] - last_write_ns.get(session, -lag_ns) >= lag_ns
    return free / reads if reads else None


def main(arguments):
    """Entry point; returns the exit code."""
    if len(arguments) != 1:
        print("usage: share_without_wait.py LAG_MS < HISTORY", file=sys.stderr)
        return 2
    records = [json.loads(line) for line in sys.stdin]
    print(json.dumps(share_without_wait(records, int(arguments[0]) * NANOSECONDS_PER_MILLISECOND)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
