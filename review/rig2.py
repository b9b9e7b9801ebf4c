"""Stand-ins and helpers of the scripts in review/4 to review/8: the platform's store and promotion call, one service of
databases, sessions of clients, and poolers as processes with the deploy file's command and settings template.

The stand-ins do what PROTOCOL.md says and no more; where it is silent they are sound. All times are seconds of the
monotonic clock since the start of the run. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
START = time.monotonic()

# Figures of kitakaze-grid.toml.
HEARTBEAT_MS = 1200
DRAIN_MS = 7000
GRACE_S = 6
PROMOTE_MS = 300
SLOTS = 2
MAX_CONNECTIONS = 32
STORE_ANSWER_MS = 4
LAG_MS = 20


def now():
    """Seconds since the start of the run."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, text):
        """Adds one line."""
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        """Adds one line and prints it."""
        self.note(text)
        print(f"{now():7.2f} {text}", flush=True)

    def close(self):
        """Ends the record."""
        self.file.close()


# ---- the platform's store, and the promotion call ----


class Store:
    """Rows with versions; the feed keeps all history."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (version, value in base64)
        self.changes = []  # (version, table, part, key)
        self.version = 1
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        """Writes a row; None removes it. Returns the version."""
        self.version += 1
        self._apply(table, part, key, value)
        self._wake()
        return self.version

    def _apply(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (self.version, value)
        self.changes.append((self.version, table, part, key))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_text(self, table, key, text):
        """Writes a row of the operator or of a database."""
        return self.put(table, "", key, base64.b64encode(text.encode()).decode())

    def _row(self, table, part, key):
        version, value = self.rows[(table, part, key)]
        return {"table": table, "part": part, "tlsKey": key, "value": value, "ver": version}

    def _answer(self, **more):
        return 200, more | {"ver": self.version, "now_ms": int(now() * 1000) + 50000}

    def transact(self, body):
        """POST rows-tx."""
        wanted = body.get("expectedRev") or []
        for row in wanted:
            known = self.rows.get((row["table"], row.get("part", ""), row["tlsKey"]), (0, ""))
            if known[0] != row["ver"]:
                rows = [
                    self._row(one["table"], one.get("part", ""), one["tlsKey"])
                    for one in wanted
                    if (one["table"], one.get("part", ""), one["tlsKey"]) in self.rows
                ]
                return 412, self._answer(rows=rows)[1]
        if any(row["table"] == "servers" for row in body.get("put", [])):
            return 403, {}
        self.version += 1
        for row in body.get("put") or []:
            self._apply(row["table"], row.get("part", ""), row["tlsKey"], row["value"])
        for row in body.get("remove") or []:
            self._apply(row["table"], row.get("part", ""), row["tlsKey"], None)
        self._wake()
        return self._answer()

    def get(self, query):
        """GET rows-get."""
        table, part = query.get("table"), query.get("part", "")
        keys = sorted(key for (t, p, key) in self.rows if t == table and p == part and key >= query.get("from", ""))
        limit = min(int(query.get("limit", 500)), 500)
        return self._answer(rows=[self._row(table, part, key) for key in keys[:limit]], more=len(keys) > limit)

    async def feed(self, query):
        """GET rows-feed."""
        table, after = query["table"], int(query["after"])
        until = now() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            last = {}
            for version, one, part, key in self.changes:
                if one == table and version > after:
                    last[(part, key)] = version
            if last or now() >= until:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), max(until - now(), 0.001))
            except asyncio.TimeoutError:
                pass
        rows = []
        for (part, key), version in sorted(last.items(), key=lambda item: item[1]):
            if (table, part, key) in self.rows:
                rows.append(self._row(table, part, key))
            else:
                rows.append({"table": table, "part": part, "tlsKey": key, "ver": version, "gone": True})
        return self._answer(rows=rows)


class Http:
    """The platform's HTTP/1.1 server: the store and the promotion call at one address."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.promote = None  # called with service, id, holder and token; returns the status
        self.address = ""
        self.server = None

    async def start(self):
        """Listens at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
                headers = {name.lower(): value for name, value in headers.items()}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(STORE_ANSWER_MS / 1000)
                status, answer = await self._answer(method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if method == "POST" and url.path == "/swiftworks/rows-tx":
            return self.store.transact(json.loads(body))
        if method == "GET" and url.path == "/swiftworks/rows-get":
            return self.store.get(query)
        if method == "GET" and url.path == "/swiftworks/rows-feed":
            return await self.store.feed(query)
        if method == "POST" and url.path == "/promotion":
            order = json.loads(body)
            holder = headers.get("swiftworks-duty-holder")
            token = int(headers.get("swiftworks-fencing-token", 0))
            status = self.promote(order["service"], order["id"], holder, token)
            self.record.say(f"promotion of {order['id']} ordered by {holder} with token {token}: {status}")
            return status, {}
        return 404, {}


# ---- databases ----


class Commit:
    """One commit that wrote."""

    def __init__(self, term, writes):
        self.term = term
        self.writes = writes  # of (request id, thing, data)


class Database:
    """One database of the service."""

    def __init__(self, group, name, zone):
        self.group = group
        self.id = name
        self.zone = zone
        self.log = []
        self.applied = 0
        self.leads = False
        self.term = 1
        self.paused = 0
        self.deaf = False  # receives nothing
        self.per_round = None  # commits that it receives at most in each LAG_MS; None: all
        self.running = False
        self.recorded = True  # keeps its entry in the store
        self.draining = False
        self.sequence = 0
        self.written = None
        self.born = 0
        self.port = 0
        self.server = None
        self.connections = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.work_ms = {"READ": 4, "WRITE": 4, "COMMIT": 2}
        self.runs = []  # (time, request id, text)

    async def start(self):
        """Starts, with the log that it has."""
        self.born = int(time.time() * 1000)
        self.paused = 0
        if self.leads and self.group.newest_term() > self.term:
            self.leads = False
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True

    def crash(self):
        """Ends without a word; connections break."""
        self.running = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    def beat(self):
        """Writes the entry, if more than the sequence has changed."""
        if not (self.running and self.recorded):
            return
        self.sequence += 1
        entry = {
            "service": self.group.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if self.leads else "replica",
            "born": self.born,
        }
        text = json.dumps(entry)
        if text != self.written:
            self.written = text
            self.group.store.put_text("servers", self.id, json.dumps(entry | {"sequence": self.sequence}))

    def forget(self):
        """The entry goes."""
        self.written = None
        self.group.store.put("servers", "", self.id, None)

    def position(self, length=None):
        """TERM.NUMBER of the log, or of its first commits."""
        length = len(self.log) if length is None else length
        return (self.log[length - 1].term if length else 1, length)

    def seen(self):
        """Number of commits that a read sees."""
        return len(self.log) if self.leads else self.applied

    def receive(self):
        """Receives what the primary has, and applies what was received before."""
        self.applied = min(max(self.applied, 0), len(self.log))
        source = self.group.source()
        if self.running and not self.leads:
            self.applied = len(self.log)
        if not self.running or self.leads or self.deaf or self.paused or source is None or source.deaf:
            return
        if source.term < self.term:
            return
        same = 0
        while same < min(len(self.log), len(source.log)) and self.log[same] is source.log[same]:
            same += 1
        if same < len(self.log):
            del self.log[same:]  # it was ahead, and is rolled back
            self.applied = min(self.applied, same)
        self.log.extend(source.log[same : None if self.per_round is None else same + self.per_round])
        self.term = source.term

    def confirms(self, primary, length):
        """True if it has received that much from the primary."""
        return self is not primary and len(self.log) >= length and self.log[length - 1] is primary.log[length - 1]

    async def _commit(self, writes):
        """Commits; returns once as many replicas as needed have received it. False: it leads no more."""
        if not self.leads:
            return False
        self.log.append(Commit(self.term, writes))
        length = len(self.log)
        while self.leads and self.running:
            holders = sum(one.confirms(self, length) for one in self.group.databases)
            if holders >= self.group.sync:
                return True
            await asyncio.sleep(0.002)
        return None

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        session = Connection(self, writer)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                if not await session.handle(line):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """One connection to a database."""

    def __init__(self, database, writer):
        self.database = database
        self.writer = writer
        self.started = False
        self.state = "I"
        self.plain = False  # the open transaction may write
        self.writes = []
        self.prepared = {}
        self.values = {}

    def send(self, line):
        """Sends one message."""
        self.writer.write(line.encode("latin-1") + b"\r\n")

    def ready(self):
        """Ends an answer."""
        database = self.database
        self.send("READY %s %d.%d" % ((self.state,) + database.position(database.seen())))

    def error(self, code):
        """Answers an error."""
        if self.state == "T":
            self.state = "E"
        self.send(f"ERROR {code} {self.database.id}")
        self.ready()

    def complete(self, signature="-"):
        """Answers success."""
        self.send(f"COMPLETE {signature}")
        self.ready()

    async def handle(self, line):
        """Handles one message. False: the connection ends."""
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            database = self.database
            if fields[0] != database.group.service or (len(fields) > 2 and fields[2] != database.id):
                self.send(f"ERROR MISROUTED {database.id}")
                return False
            if len(database.connections) > MAX_CONNECTIONS:
                self.send(f"ERROR OVERLOAD {database.id}")
                return False
            self.started = True
            self.ready()
            return True
        if word == "TERMINATE" or not self.started:
            return False
        name, _, text = rest.partition(" ")
        await self.run(name, text)
        return True

    async def slot(self, kind):
        """Holds a slot for the work. False: none was free."""
        database = self.database
        if database.waiting >= 16:
            return False
        database.waiting += 1
        try:
            async with database.slots:
                await asyncio.sleep(database.work_ms[kind] / 1000)
        finally:
            database.waiting -= 1
        return True

    async def run(self, name, text):
        """Runs one statement."""
        database = self.database
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            wanted, _, text = rest.partition(" ")
            term, number = (int(part) for part in wanted.split("."))
            if database.position(database.seen()) < (term, number):
                self.error("LAGGING")
                return
            word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            self.control(word, rest)
        elif self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            self.error("MALFORMED")
        elif word == "BEGIN":
            if rest != "READ" and not database.leads:
                self.error("READONLY")
                return
            self.state, self.plain, self.writes = "T", rest != "READ", []
            self.complete()
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
            self.complete()
        elif word == "SET":
            key, _, value = rest.partition(" ")
            self.values[key] = value
            self.complete()
        elif word == "RESET":
            self.values, self.prepared = {}, {}
            self.complete()
        elif word == "PREPARE":
            key, mode, shape = rest.split(" ", 2)
            self.prepared[key] = (mode, shape)
            self.complete()
        elif word == "EXECUTE":
            key, thing, data = (rest.split(" ", 2) + ["", ""])[:3]
            if key not in self.prepared:
                self.error("NOSTMT")
                return
            await self.work(name, self.prepared[key][0], thing, data, text)
        elif word in ("READ", "WRITE"):
            thing, _, data = rest.partition(" ")
            await self.work(name, word, thing, data, text)
        elif word == "COMMIT":
            await self.end(name, text)
        else:
            self.error("MALFORMED")

    async def work(self, name, kind, thing, data, text):
        """A read or a write."""
        database = self.database
        if self.plain and self.state == "T" and not database.leads or kind == "WRITE" and not database.leads:
            self.error("READONLY")
            return
        if not await self.slot(kind):
            self.error("BUSY")
            return
        if not database.running:
            return
        database.runs.append((now(), name, text))
        database.group.record.note(f"{database.id} runs {name} {text}")
        if database.group.observer is not None:
            database.group.observer(self, name, kind, text)
        if kind == "READ":
            self.send("ROW " + database.group.value(database, thing))
        elif self.state == "T":
            self.writes.append((name, thing, data))
        elif not await database._commit([(name, thing, data)]):
            return  # never answered
        self.complete(f"s.{database.id}.{name}")

    async def end(self, name, text):
        """COMMIT."""
        database = self.database
        if self.state == "E":
            self.state, self.writes = "I", []
            self.complete()
            return
        if self.writes and not database.leads:
            self.state, self.writes = "I", []
            self.error("READONLY")
            return
        if not await self.slot("COMMIT"):
            self.error("BUSY")
            return
        database.runs.append((now(), name, text))
        database.group.record.note(f"{database.id} runs {name} {text}")
        if database.group.observer is not None:
            database.group.observer(self, name, "COMMIT", text)
        writes, self.writes, self.state = self.writes, [], "I"
        if writes and not await database._commit(writes):
            return
        self.complete(f"s.{database.id}.{name}")

    def control(self, word, rest):
        """STATUS, PAUSE, RESUME and STEPDOWN."""
        database = self.database
        if word == "PAUSE" and not database.leads and int(rest) > database.term:
            database.paused = int(rest)
        elif word == "RESUME":
            database.paused = 0
        elif word == "STEPDOWN" and database.leads and database.term < int(rest):
            database.leads = False
        if word != "STATUS":
            database.group.record.note(f"{database.id} is told {word} {rest}")
        role = "primary" if database.leads else "replica"
        received = "%d.%d" % database.position()
        held = len(database.connections)
        self.send(f"ROW {role} {database.term} {received} {database.paused} 0 0 {held}")
        self.complete()


class Group:
    """The databases of one service, and what moves between them."""

    def __init__(self, store, record, service, sync=1):
        self.store = store
        self.record = record
        self.service = service
        self.sync = sync
        self.databases = []
        self.observer = None  # called with the connection, the request id, the kind and the text of each run
        self.promoted = []  # (time, database, its commits), as each promotion took effect
        self.tokens = []
        self.tasks = []

    def newest_term(self):
        """The newest term that any database has led in."""
        return max(one.term for one in self.databases)

    def source(self):
        """The running database that leads the newest term."""
        leaders = [one for one in self.databases if one.leads and one.running]
        return max(leaders, key=lambda one: one.term) if leaders else None

    def value(self, database, thing):
        """The thing's value at the database."""
        for commit in reversed(database.log[: database.seen()]):
            for _, one, data in reversed(commit.writes):
                if one == thing:
                    return data
        return "none"

    async def add(self, name, zone, leads=False):
        """Starts a new database."""
        database = Database(self, name, zone)
        database.leads = leads
        self.databases.append(database)
        await database.start()
        database.beat()
        return database

    def start(self):
        """Starts heartbeats, replication and the end of replaced primaries."""
        self.tasks.append(asyncio.create_task(self._beat()))
        self.tasks.append(asyncio.create_task(self._replicate()))
        self.tasks.append(asyncio.create_task(self._replace()))

    async def _beat(self):
        while True:
            for database in self.databases:
                database.beat()
            await asyncio.sleep(0.1)  # a change is told at once; nothing is written otherwise

    async def _replicate(self):
        while True:
            for database in self.databases:
                database.receive()
            await asyncio.sleep(LAG_MS / 1000)

    async def _replace(self):
        while True:
            source = self.source()
            for database in self.databases:
                if database.running and database.leads and source is not database and not database.deaf:
                    await asyncio.sleep(0.5)
                    database.leads = False
            await asyncio.sleep(0.1)

    def promote(self, service, name, holder, token):
        """The promotion call."""
        self.tokens.append((now(), holder, token))
        found = [one for one in self.databases if one.id == name and one.running]
        if service != self.service or not found:
            return 409
        if not found[0].leads:
            asyncio.create_task(self._promote(found[0]))
        return 200

    async def _promote(self, database):
        await asyncio.sleep(PROMOTE_MS / 1000)
        if not database.running or database.leads:
            return
        database.term = self.newest_term() + 1
        database.leads = True
        database.paused = 0
        held = {name for commit in database.log for name, _, _ in commit.writes}
        self.promoted.append((now(), database.id, held))
        self.record.say(f"{database.id} leads term {database.term} with {len(database.log)} commits")


# ---- poolers ----


def lookup(scopes, name):
    """The value of a gap's name."""
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def fill(template, settings):
    """Fills the settings template as DEPLOY.md says, as far as the project's template needs it."""

    def section(match):
        value = lookup([settings], match[2])
        shown = bool(value) if match[1] == "#" else not value
        return fill(match[3], settings) if shown else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def gap(match):
        value = lookup([settings], match[1])
        if isinstance(value, list):
            return ",".join(str(one) for one in value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


def deploy_value(key):
    """A text of deploy/system.toml."""
    found = re.search(rf'^{key} = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), flags=re.M)
    return found[1]


def free_port(address):
    """A free port of the address."""
    with socket.socket() as one:
        one.bind((address, 0))
        return one.getsockname()[1]


class Pooler:
    """One pooler as a process."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.name = f"front-{index}"
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{index + 1}"
        self.zone = f"zone-{index % fleet.zones}"
        self.process = None
        self.ports = {}

    def draw_ports(self):
        """Free ports; they stay."""
        self.ports = {name: free_port(self.ip) for name in ("front", "ready", "control", "forward")}

    def start(self, bootstrap):
        """Starts the process with the deploy file's command."""
        listen = {name: f"{self.ip}:{self.ports[name]}" for name in ("front", "ready", "control")}
        settings = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": listen,
            "internalPorts": [self.ports["forward"]],
            "seeds": [f"{one.ip}:{one.ports['control']}" for one in self.fleet.poolers[:3]],
            "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0},
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": {"configApplyMs": 3000, "graceS": GRACE_S, "drainMs": DRAIN_MS},
            "platform": {"address": self.fleet.platform, "reads_per_s": 2000},
            "cloudApi": {"address": self.fleet.platform},
        }
        template = (ROOT / deploy_value("template")).read_text()
        path = self.fleet.folder / f"{self.name}.conf"
        path.write_text(fill(template, settings))
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.fleet.folder), "LANG": "C"}
        self.process = subprocess.Popen(
            shlex.split(deploy_value("run")),
            cwd=ROOT,
            env=environment | {"SWIFTWORKS_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self):
        """True if the readiness probe gets 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ports["ready"]), 1)
            writer.write(b"GET /swiftworks/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """All poolers of the run."""

    def __init__(self, platform, count, zones=3):
        self.platform = platform
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = (random.randint(1, 250), random.randint(1, 250))
        self.poolers = [Pooler(self, index) for index in range(count)]
        for pooler in self.poolers:
            pooler.draw_ports()

    def start(self):
        """The first start of the whole system."""
        for pooler in self.poolers:
            pooler.start(True)

    async def await_ready(self, seconds=20):
        """Waits until all are ready. False: they are not."""
        until = now() + seconds
        while now() < until:
            if all([await pooler.ready() for pooler in self.poolers]):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        """Ends all processes."""
        for pooler in self.poolers:
            pooler.end()


# ---- clients ----


class Lost(Exception):
    """The connection ended."""


class Session:
    """One client's session."""

    def __init__(self, pooler, record):
        self.pooler = pooler
        self.record = record
        self.reader = None
        self.writer = None

    async def open(self, database, who="user"):
        """Connects and starts. False: refused."""
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.pooler.ip, self.pooler.ports["front"], limit=1 << 21), 2
            )
            self.writer.write(f"STARTUP {database} {who}\r\n".encode())
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
            return line.startswith(b"READY")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def ask(self, name, text):
        """Sends a statement. Returns the rows, the signature or None, the error's code or None, and the state."""
        try:
            self.record.note(f"client asks {self.pooler.name} {name} {text}")
            self.writer.write(f"QUERY {name} {text}\r\n".encode())
            rows, signature, code = [], None, None
            while True:
                line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    signature = rest
                elif word == "ERROR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    self.record.note(f"client gets {name} {code or signature} {rest}")
                    return rows, signature, code, rest[:1]
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.note(f"client gets {name} END OF CONNECTION")
            raise Lost from error

    def close(self):
        """Ends the session."""
        if self.writer is not None:
            self.writer.close()


def configuration(service, version=1):
    """The operator's configuration: one route of each kind."""
    kinds = {
        "actions": ("primary", 800, 120, 1),
        "views": ("bounded_staleness", 1500, 400, 2),
        "syncs": ("read_your_writes", 800, 200, 2),
    }
    routes = [
        {
            "name": f"r-{name}",
            "hostname": name,
            "pathPrefix": "/",
            "routeType": kind,
            "timeoutMs": timeout,
            "targetLatencyMs": target,
            "priority": priority,
            "service": service,
            "attempts": 2,
            "maxStalenessMs": 1500 if name == "views" else 2500,
        }
        for name, (kind, timeout, target, priority) in kinds.items()
    ]
    services = [{"name": service, "maxConns": MAX_CONNECTIONS, "syncReplicas": 1}]
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": {"txIdleMs": 3000}})


class Run:
    """A deployment of one service before some poolers."""

    def __init__(self, folder, poolers=3):
        self.zones = 3
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.count = poolers
        self.store = None
        self.http = None
        self.group = None
        self.fleet = None

    async def start(self, replicas=2):
        """Starts all. False: the deployment does not serve."""
        self.store = Store()
        self.http = Http(self.store, self.record)
        await self.http.start()
        self.group = Group(self.store, self.record, "ledger")
        self.http.promote = self.group.promote
        await self.group.add("db-p", "zone-0", leads=True)
        for index in range(replicas):
            await self.group.add(f"db-{'abcdef'[index]}", f"zone-{(index + 1) % 3}")
        self.group.start()
        self.store.put_text("op", "config", configuration("ledger"))
        self.fleet = Fleet(self.http.address, self.count, self.zones)
        self.fleet.start()
        if not await self.fleet.await_ready():
            return False
        until = now() + 20
        while now() < until:
            session = Session(self.fleet.poolers[0], self.record)
            if await session.open("actions"):
                try:
                    answer = await session.ask("%016x" % random.getrandbits(64), "WRITE first 1")
                    if answer[1]:
                        session.close()
                        return True
                except Lost:
                    pass
            session.close()
            await asyncio.sleep(0.2)
        return False

    def end(self):
        """Ends all processes."""
        if self.fleet is not None:
            self.fleet.end()
        self.record.close()


def main(folder, play, poolers=3, seconds=115):
    """Plays a case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run."""
    run = Run(folder, poolers)

    async def whole():
        return await asyncio.wait_for(play(run), seconds)

    code = 2
    try:
        code = asyncio.run(whole())
    except Exception as error:  # whatever it is, the case did not run
        run.record.say(f"could not run: {error!r}")
    finally:
        if run.fleet is not None:
            print("logs:", run.fleet.folder)
        run.end()
    sys.exit(code)


class Entry:
    """The platform's address for clients of one zone: probes the daemons once a second, and picks one for each new
    connection."""

    def __init__(self, poolers):
        self.poolers = poolers
        self.misses = {pooler: 0 for pooler in poolers}
        self.task = asyncio.create_task(self._probe())

    async def _probe(self):
        while True:
            for pooler, ready in zip(self.poolers, await asyncio.gather(*[one.ready() for one in self.poolers])):
                self.misses[pooler] = 0 if ready else self.misses[pooler] + 1
            await asyncio.sleep(1)

    def pick(self):
        """The daemon for a new connection: of those that are in, or of all if fewer than half are."""
        taken = [pooler for pooler in self.poolers if self.misses[pooler] < 2]
        if len(taken) * 2 < len(self.poolers):
            taken = self.poolers
        return random.choice(taken)
