#!/usr/bin/env python3
"""A client of the pooler's line protocol: runs statements in one session, or generates a small load.

Use:  tools/line_client.py PORT DATABASE KEY TEXT [TEXT]...
      tools/line_client.py PORT DATABASE KEY --rate N --seconds S TEXT

Prints each answer's rows and its last line, with the request's id for tools/explain.py. With --rate, TEXT is sent N
times a second in one session, and the answers are counted by kind. Exits with 1 if an answer is missing.
"""

import argparse
import collections
import secrets
import socket
import sys
import time

PATIENCE_S = 10


class Session:
    """One session with a pooler."""

    def __init__(self, port, database, key):
        self.socket = socket.create_connection(("127.0.0.1", port), PATIENCE_S)
        self.lines = self.socket.makefile("r", newline="\r\n")
        self.send(f"STARTUP {database} {key}")
        self.started = self.read_line()

    def send(self, line):
        """Sends one message."""
        self.socket.sendall((line + "\r\n").encode())

    def read_line(self):
        """The next message; empty at the end of the connection."""
        return self.lines.readline().rstrip("\r\n")

    def ask(self, text):
        """The request's id, its rows, and the line that ends its answer."""
        name = secrets.token_hex(8)
        self.send(f"QUERY {name} {text}")
        rows, last = [], ""
        while True:
            line = self.read_line()
            if not line or line.startswith("READY "):
                return name, rows, last
            if line.startswith("ROW "):
                rows.append(line[4:])
            else:
                last = line


def ask_all(session, texts):
    """Runs the statements one after the other. False if an answer is missing."""
    complete = True
    for text in texts:
        name, rows, last = session.ask(text)
        complete = complete and last != ""
        print(f"{name}  {text}  ->  {' '.join(rows + [last])}")
    return complete


def load(session, text, rate, seconds):
    """Sends the statement at a rate, and counts the answers by kind."""
    kinds = collections.Counter()
    start = time.monotonic()
    for number in range(int(rate * seconds)):
        time.sleep(max(0.0, start + number / rate - time.monotonic()))
        last = session.ask(text)[2]
        kinds[" ".join(last.split()[:2]) if last.startswith("ERROR") else last.split(" ")[0]] += 1
    for kind, count in kinds.most_common():
        print(f"{count:6} {kind or 'no answer'}")
    return "" not in kinds


def main():
    """Reads the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("port", type=int)
    parser.add_argument("database")
    parser.add_argument("key")
    parser.add_argument("text", nargs="+")
    parser.add_argument("--rate", type=float)
    parser.add_argument("--seconds", type=float, default=2.0)
    options = parser.parse_args()
    session = Session(options.port, options.database, options.key)
    if not session.started.startswith("READY "):
        print(session.started or "no answer")
        return 0 if session.started else 1
    if options.rate:
        return 0 if load(session, options.text[0], options.rate, options.seconds) else 1
    return 0 if ask_all(session, options.text) else 1


if __name__ == "__main__":
    sys.exit(main())
