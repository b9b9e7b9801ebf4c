#!/usr/bin/env python3
"""Measures what one real daemon costs: memory, processor time and octets by its groups, members, tenants,
connections and requests. Writes docs/capacity/DATE-COMMIT.json with commit, machine and command. All
parts together take under four minutes; a part that fails is named in the result and fails the run.

Usage: bench/capacity.py [--build DIRECTORY] [--output FILE] [PART...]
"""

import argparse
import json
import os
import platform
import subprocess
import sys
import time
import traceback
from datetime import datetime, timezone
from pathlib import Path

import capacity_idle
import capacity_load
from capacity_cluster import Ports

PARTS = {
    "configuration": capacity_idle.measure_configuration,
    "idle": capacity_idle.measure_idle,
    "connections": capacity_load.measure_connections,
    "in_flight": capacity_load.measure_in_flight,
    "requests": capacity_load.measure_requests,
    "storm": capacity_load.measure_storm,
    "silent_group": capacity_load.measure_silent_group,
    "limit": capacity_load.measure_limit,
}
ROOT = Path(__file__).resolve().parent.parent


def git(*arguments):
    """The output of a git command on this repository."""
    return subprocess.run(
        ["git", "-C", ROOT, *arguments], check=True, capture_output=True, text=True
    ).stdout.strip()


def field_of(path, name):
    """The value of a "name : value" line in a file of /proc."""
    for line in Path(path).read_text(encoding="utf-8").splitlines():
        if line.startswith(name):
            return line.split(":", 1)[1].strip()
    return ""


def machine():
    """What the figures were taken on."""
    return {
        "cpu": field_of("/proc/cpuinfo", "model name"),
        "cores": os.cpu_count(),
        "memory_kb": int(field_of("/proc/meminfo", "MemTotal").split()[0]),
        "kernel": f"{platform.system()} {platform.release()}",
        "hardware_counters": False,
    }


def run_part(name, build, ports):
    """One part, with the machine's load before and after it and the time it took."""
    print(f"capacity: {name}", file=sys.stderr)
    before = os.getloadavg()[0]
    began = time.monotonic()
    try:
        result = PARTS[name](build, ports)
    except Exception:  # whatever it is, the other parts are measured and the run fails
        traceback.print_exc()
        result = {"failed": True}
    result["took_s"] = round(time.monotonic() - began, 1)
    result["load_average"] = {"before": round(before, 1), "after": round(os.getloadavg()[0], 1)}
    return result


def main():
    """Entry point; returns the exit code."""
    parser = argparse.ArgumentParser(description="What one real daemon costs.")
    parser.add_argument("--build", default="build")
    parser.add_argument("--output", help="the result file; else docs/capacity/DATE-COMMIT.json")
    parser.add_argument("parts", nargs="*", metavar="PART", help=" ".join(PARTS))
    arguments = parser.parse_args()
    unknown = set(arguments.parts) - set(PARTS)
    if unknown:
        parser.error(f"no such part: {' '.join(sorted(unknown))}")
    now = datetime.now(timezone.utc)
    commit = git("rev-parse", "--short", "HEAD")
    ports = Ports()
    result = {
        "commit": commit,
        "uncommitted_changes": bool(git("status", "--porcelain", "--", "src", "bench", "standins")),
        "date": now.strftime("%Y-%m-%dT%H:%M:%SZ"),
        "machine": machine(),
        "command": " ".join(["bench/capacity.py", *sys.argv[1:]]),
        "parts": {name: run_part(name, arguments.build, ports) for name in arguments.parts or PARTS},
    }
    path = ROOT / "docs/capacity" / f"{now:%Y%m%dT%H%M%SZ}-{commit}.json"
    path = Path(arguments.output) if arguments.output else path
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(path)
    return int(any("failed" in part for part in result["parts"].values()))


if __name__ == "__main__":
    sys.exit(main())
