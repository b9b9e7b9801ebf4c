"""Readings of one process for the capacity measurements: memory, processor time of its threads by their
names, and the octets of its TCP connections."""

import os
import re
import subprocess
import time
from pathlib import Path

NANOSECONDS_PER_SECOND = 1e9
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

# Threads of the control plane, by the names that they give themselves; all others serve requests.
CONTROL_THREADS = ("control", "prober")


class Memory:
    """Resident memory of a process, in KB."""

    def __init__(self, pid):
        text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        self.resident = _status_field(text, "VmRSS")
        self.private = _status_field(text, "RssAnon")
        self.threads = _status_field(text, "Threads")


def _status_field(text, name):
    return int(re.search(rf"^{name}:\s+(\d+)", text, re.MULTILINE).group(1))


class Processor:
    """Processor time of a process so far, as a whole and by its threads that live; and its memory."""

    def __init__(self, pid):
        self.at = time.monotonic()
        self.private_kb = Memory(pid).private
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rsplit(")", 1)[1].split()
        self.total = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
        self.threads = {}
        for task in Path(f"/proc/{pid}/task").iterdir():
            try:
                name = (task / "comm").read_text(encoding="utf-8").strip()
                spent = int((task / "schedstat").read_text(encoding="ascii").split()[0])
            except FileNotFoundError:
                continue
            self.threads[int(task.name)] = (name, spent)

    def since(self, before):
        """Thread name to share of a core since an earlier reading, in percent."""
        elapsed = self.at - before.at
        shares = {}
        for task, (name, spent) in self.threads.items():
            spent -= before.threads.get(task, (name, 0))[1]
            share = spent / NANOSECONDS_PER_SECOND / elapsed * 100
            shares[name] = shares.get(name, 0) + share
        return shares

    def seconds_since(self, before):
        """Processor time of the whole process since an earlier reading, ended threads included."""
        return self.total - before.total


def rounded(shares):
    """Shares rounded, those next to nothing left out."""
    return {name: round(share, 4) for name, share in shares.items() if share >= 0.0005}


def control_share(shares):
    """The part of the control plane, in percent of a core."""
    return sum(share for name, share in shares.items() if name in CONTROL_THREADS)


class TcpTable:
    """Counts of all TCP connections of the machine at a moment, by process."""

    FIELDS = ("bytes_sent", "bytes_received", "segs_out", "segs_in")

    def __init__(self, listing=None):
        """Takes a listing of ss, or asks for one."""
        if listing is None:
            command = ["ss", "-tinpHO", "state", "established"]
            listing = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        self.at = time.monotonic()
        self.by_process = {}
        for line in listing.splitlines():
            local, remote = line.split()[2:4]
            counts = tuple(self._count(line, field) for field in self.FIELDS)
            for pid in re.findall(r"\bpid=(\d+)", line):
                self.by_process.setdefault(int(pid), {})[local, remote] = counts

    @staticmethod
    def _count(line, field):
        found = re.search(rf"\b{field}:(\d+)", line)
        return int(found.group(1)) if found else 0


class Traffic:
    """Octets and segments of a process's TCP connections to some ports, so far."""

    def __init__(self, table, pid, ports):
        wanted = {str(port) for port in ports}
        self.at = table.at
        self.connections = {
            ends: counts
            for ends, counts in table.by_process.get(pid, {}).items()
            if ends[1].rsplit(":", 1)[1] in wanted
        }

    def since(self, before):
        """Rates a second of the connections that both readings have."""
        elapsed = self.at - before.at
        totals = [0, 0, 0, 0]
        for ends, counts in self.connections.items():
            earlier = before.connections.get(ends)
            if earlier is not None:
                for index, count in enumerate(counts):
                    totals[index] += count - earlier[index]
        names = ("octets_sent_s", "octets_received_s", "segments_sent_s", "segments_received_s")
        return {name: round(total / elapsed, 1) for name, total in zip(names, totals)}


class Reading:
    """All readings of a daemon at a moment."""

    def __init__(self, daemon, table, database_ports):
        self.memory = Memory(daemon.pid)
        self.processor = Processor(daemon.pid)
        self.metrics = daemon.metrics()
        self.metrics_at = time.monotonic()
        self.traffic = Traffic(table, daemon.pid, database_ports)

    def datagram_rates(self, before):
        """Datagrams and octets of payload a second between daemons, both ways."""
        elapsed = self.metrics_at - before.metrics_at
        rates = {}
        for what in ("datagrams", "octets"):
            for direction in ("sent", "received"):
                name = f'swiftworks_control_{what}_total{{direction="{direction}"}}'
                change = self.metrics[name] - before.metrics[name]
                rates[f"{what}_{direction}_s"] = round(change / elapsed, 1)
        return rates
