#!/usr/bin/env python3
"""Runs the soak with the kept seeds, each for a bounded time. Prints TAP. Usage: test_soak.py BUILD"""

import pathlib
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
SLACK_S = 60  # for the start and the checks
BY_HAND = "hand "  # prefix of seeds that take long, and are run by hand


def read_seeds():
    """The kept seeds: the arguments of a run, and its purpose."""
    for line in (HERE / "seeds.txt").read_text(encoding="utf-8").splitlines():
        words, _, purpose = line.partition("#")
        if words.strip() and not words.startswith(BY_HAND):
            yield words.split(), purpose.strip()


def play(build, words):
    """One run: its output, and whether it passed."""
    seed, seconds, *options = words
    command = [sys.executable, HERE / "soak.py", "--build", build, "--seed", seed, "--seconds", seconds, *options]
    done = subprocess.run(command, capture_output=True, text=True, timeout=float(seconds) + SLACK_S, check=False)
    return done.stdout + done.stderr, done.returncode == 0


def main():
    """Runs the seeds one after the other."""
    seeds = list(read_seeds())
    all_good = True
    print(f"1..{len(seeds)}")
    for number, (words, purpose) in enumerate(seeds, 1):
        output, good = play(sys.argv[1], words)
        all_good &= good
        for line in output.splitlines():
            print(f"# {line}")
        print(f"{'ok' if good else 'not ok'} {number} soak of seed {' '.join(words)}: {purpose}", flush=True)
    sys.exit(0 if all_good else 1)


if __name__ == "__main__":
    main()
