"""Deployments of real processes on loopback for the capacity measurements: stand-in databases of many
groups, and one or more separate fleets of daemons. Only processes started here are ended."""

import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

ZONES = ("imlil", "marrakech", "ouarzazate")
DATABASES_PER_GROUP = 3
SLOTS = 5
CONNECTIONS = 35

# Ports that no outgoing connection takes.
FIRST_PORT = 20000
LAST_PORT = 31999

STOP_SECONDS = 8
WAIT_SECONDS = 20
POLL_SECONDS = 0.02

TEMPLATE = {
    "description": "A hut whose reads go to replicas.",
    "parameters": {"group": {"type": "group", "description": "Where its bookings are kept."}},
    "route": {
        "group": {"parameter": "group"},
        "max_staleness_ms": 1000,
        "read_wait_ms": 40,
        "read_primary_share_percent": 30,
        "weight": 100,
        "in_flight_limit": 1024,
        "request_timeout_ms": 20000,
        "writes_require_key": True,
    },
}


class Failure(Exception):
    """A measurement that could not be made."""


class Ports:
    """Hands out free ports, each once in a run."""

    def __init__(self):
        self._left = list(range(FIRST_PORT, LAST_PORT + 1))
        random.shuffle(self._left)

    def take(self):
        """A port that nobody listens on, by TCP or UDP."""
        while self._left:
            port = self._left.pop()
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
                try:
                    stream.bind(("127.0.0.1", port))
                    datagram.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise Failure("no free port")


def wait_until(condition, what, seconds=WAIT_SECONDS):
    """Waits until a condition holds; returns its value."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise Failure(f"{what}: not within {seconds} s")


class Group:
    """One database group: its place in the configuration and the ports of its stand-ins."""

    def __init__(self, number, ports):
        self.number = number
        self.name = f"group-{number}"
        self.ports = [ports.take() for _ in range(DATABASES_PER_GROUP)]
        self.admin_ports = [ports.take() for _ in range(DATABASES_PER_GROUP)]

    def fault(self, query):
        """An admin call at each database of the group."""
        for port in self.admin_ports:
            url = f"http://127.0.0.1:{port}/fault?{query}"
            with urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=5):
                pass

    def configuration(self):
        """The group's part of a configuration."""
        databases = [
            {
                "name": f"{self.name}-{index}",
                "zone": ZONES[index],
                "host": "127.0.0.1",
                "port": port,
                "slots": SLOTS,
                "connections": CONNECTIONS,
            }
            for index, port in enumerate(self.ports)
        ]
        return {"id": self.number, "databases": databases}


class Daemon:
    """One daemon process and its three ports."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.port, self.admin_port, self.peer_port = (ports.take() for _ in range(3))
        self.process = None

    @property
    def pid(self):
        """The process id."""
        return self.process.pid

    def fetch(self, path):
        """The text of an operators' page."""
        url = f"http://127.0.0.1:{self.admin_port}{path}"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return answer.read().decode()

    def metrics(self):
        """Name with labels, as it is written, to value."""
        values = {}
        for line in self.fetch("/metrics").splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values

    def gauge(self, name):
        """The value of one metric without labels."""
        return self.metrics()[name]

    def status(self):
        """The daemon's state as it tells it."""
        return json.loads(self.fetch("/v1/status"))

    def ask(self, tenant, body, headers=()):
        """One statement; returns status, headers and answer."""
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.port}/v1/tenants/{tenant}/statements",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json", **dict(headers)},
        )
        try:
            with urllib.request.urlopen(request, timeout=20) as answer:
                return answer.status, answer.headers, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return error.code, error.headers, json.loads(error.read())


class Cluster:
    """The processes of one measurement. A context manager: all end with it."""

    def __init__(self, build, ports):
        self.build = Path(build).resolve()
        self.ports = ports
        self.directory = Path(tempfile.mkdtemp(prefix="swiftworks-capacity."))
        self.processes = []
        self.groups = []

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in self.processes:
            try:
                process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("CAPACITY_KEEP") != "1":
            shutil.rmtree(self.directory)

    def start(self, name, arguments, **options):
        """Starts a process whose output goes to a file of that name."""
        log = (self.directory / f"{name}.out").open("ab")
        options.setdefault("stdin", subprocess.DEVNULL)
        options.setdefault("stdout", log)
        process = subprocess.Popen([str(one) for one in arguments], stderr=log, **options)
        log.close()
        process.name = name
        self.processes.append(process)
        return process

    def add_groups(self, count, arguments=()):
        """Starts the databases of new groups; the first of each leads."""
        groups = [Group(len(self.groups) + index + 1, self.ports) for index in range(count)]
        self.groups += groups
        for group in groups:
            for index in range(DATABASES_PER_GROUP):
                self._start_database(group, index, arguments)
        for group in groups:
            for port in group.ports:
                wait_until(lambda: is_listening(port), f"a database at port {port}")
        return groups

    def _start_database(self, group, index, arguments):
        following = ["--role", "primary"]
        if index > 0:
            following = ["--role", "replica", "--primary", f"127.0.0.1:{group.ports[0]}"]
        program = self.build / "standins/database/standin-database"
        name = f"{group.name}-{index}"
        command = [program, "--listen", f"127.0.0.1:{group.ports[index]}"]
        command += ["--admin", f"127.0.0.1:{group.admin_ports[index]}"]
        command += ["--name", name, "--zone", ZONES[index], "--slots", SLOTS]
        command += ["--connections", CONNECTIONS, *following, *arguments]
        self.start(name, command)

    def write_configuration(self, name, groups, tenants):
        """A bundle with these groups, as configuration parts, and tenants spread over them."""
        names = list(groups)
        bundle = {
            "description": "Capacity measurement.",
            "zones": {zone: {"id": number + 1} for number, zone in enumerate(ZONES)},
            "groups": groups,
            "templates": {"hut": TEMPLATE},
            "tenants": {
                tenant_name(index): {
                    "template": "hut",
                    "parameters": {"group": names[index % len(names)]},
                }
                for index in range(tenants)
            },
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(bundle), encoding="utf-8")
        return path

    def token_keys(self):
        """The file of the keys of session tokens."""
        path = self.directory / "token-keys"
        if not path.exists():
            path.touch(mode=0o600)
            path.write_text(f"1 {secrets.token_hex(32)}\n", encoding="utf-8")
        return path

    def start_fleet(self, name, size, configuration, settings=(), peers=None):
        """Starts daemons that know each other; does not wait for them."""
        daemons = [
            Daemon(f"{name}-{index}", ZONES[index % len(ZONES)], self.ports)
            for index in range(size)
        ]
        if peers is None:
            peers = ",".join(f"127.0.0.1:{daemon.peer_port}" for daemon in daemons)
        for daemon in daemons:
            values = [
                f"daemon.name={daemon.name}",
                f"daemon.deployment=capacity-{os.getpid()}",
                f"daemon.zone={daemon.zone}",
                f"daemon.listen=127.0.0.1:{daemon.port}",
                f"daemon.admin_listen=127.0.0.1:{daemon.admin_port}",
                f"daemon.peer_listen=127.0.0.1:{daemon.peer_port}",
                f"daemon.peers={peers}",
                f"configuration.file={configuration}",
                f"session.token_keys_file={self.token_keys()}",
                *settings,
            ]
            command = [self.build / "src/daemon/swiftworksd"]
            for value in values:
                command += ["--set", value]
            daemon.process = self.start(daemon.name, command)
        return daemons


def group_parts(groups):
    """The groups' part of a configuration."""
    return {group.name: group.configuration() for group in groups}


def tenant_name(index):
    """The name of a tenant; tenant i has group i modulo the number of groups."""
    return f"hut-{index:06d}"


def is_listening(port):
    """True if something accepts connections at the port."""
    with socket.socket() as attempt:
        return attempt.connect_ex(("127.0.0.1", port)) == 0


def await_fleet(daemons):
    """Until each daemon knows all others and takes requests."""
    for daemon in daemons:
        wait_until(lambda: is_listening(daemon.port), f"{daemon.name} at port {daemon.port}")
        wait_until(
            lambda: len(daemon.status()["members"]) == len(daemons), f"{daemon.name} knows all"
        )


def serving_daemon(daemon, tenant):
    """The name of the daemon that serves a tenant's reads; None while none does."""
    status, headers, _ = daemon.ask(tenant, {"sql": "SELECT 1", "access": "read"})
    if status != 200:
        return None
    fields = dict(one.strip().split("=") for one in headers["Swiftworks-Served-By"].split(";"))
    return fields["daemon"]
