"""A small deployment for the scripts of the review: stand-ins for the platform, the databases and the clients.

All of them run in one process, on loopback addresses, and speak what PROTOCOL.md says. The poolers are processes of
their own, started with the command and the settings template of the deploy file. Every event that a client, a database
or the platform can see is kept, and written to record.txt.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1200  # of the databases, as in the small sites
PROMOTE_MS = 300
WORK_MS = 4  # of a statement
CONTROL_MS = 1  # of STATUS and the commands, which take a slot as well
QUEUE = 16  # statements that wait for a slot; further ones get BUSY
READY_S = 30
ENDED, BROKEN, IMPOSSIBLE = 0, 1, 2  # exit codes: held, broken, could not run


class Impossible(Exception):
    """The case could not be brought about."""


class Record:
    """Everything that was sent, answered and run."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def add(self, who, text):
        """Adds one event."""
        self.lines.append(f"{time.monotonic() - self.start:9.4f} {who:<12} {text}")

    def write(self, path):
        """Writes all events."""
        path.write_text("\n".join(self.lines) + "\n")


# ---------------------------------------------------------------------------------------------- HTTP


async def read_request(reader):
    """Method, path, headers and body of a request; None at the end of the connection."""
    line = (await reader.readline()).decode("latin-1").split()
    if len(line) < 3:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not header:
            break
        name, value = header.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line[0], line[1], headers, body


def response(status, body=None, headers=()):
    """The bytes of an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


class Platform:
    """The platform's store of rows and its promotion service; each pooler has ports of its own for both."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> [value or None, version]
        self.version = 0
        self.changed = asyncio.Event()
        self.cut = set()  # poolers that are partitioned from the store: their calls are met with silence
        self.api_answer_s = 0.02  # time that the promotion service takes to answer
        self.orders = []  # (time, holder, token, service, database) as they arrived
        self.groups = {}
        self.servers = []

    def put(self, table, part, key, value):
        """Writes one row, or removes it."""
        self.version += 1
        self.rows[(table, part, key)] = [value, self.version]
        self.announce()

    def announce(self):
        """Wakes all that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, where):
        """One row as an answer shows it."""
        value, version = self.rows[where]
        out = {"table": where[0], "part": where[1], "tlsKey": where[2], "ver": version}
        return out | ({"gone": True} if value is None else {"value": value})

    def answer(self, rows):
        """The fields that every answer about rows has."""
        return {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    def get(self, query):
        """rows-get."""
        table, part = query.get("table", ""), query.get("part", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k, v in self.rows.items() if k[:2] == (table, part) and v[0] is not None)
        keys = [key for key in keys if key[2] >= query.get("from", "")]
        if "targetVersion" in query:
            keys = [key for key in keys if key[2] < query["targetVersion"]]
        return self.answer([self.row(key) for key in keys[:limit]]) | {"more": len(keys) > limit}

    async def feed(self, query):
        """rows-feed."""
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        after = int(query.get("after", 0))
        while True:
            keys = [k for k, v in self.rows.items() if k[0] == query.get("table", "") and v[1] > after]
            left = until - time.monotonic()
            if keys or left <= 0:
                return self.answer([self.row(key) for key in sorted(keys, key=lambda k: self.rows[k][1])])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        """rows-tx: status and answer."""
        conditions = body.get("expectedRev", [])
        keys = [(c["table"], c.get("part", ""), c["tlsKey"]) for c in conditions]
        present = [self.row(key) for key in keys if self.rows.get(key, [None])[0] is not None]
        versions = [self.rows[k][1] if self.rows.get(k, [None])[0] is not None else 0 for k in keys]
        if versions != [c["ver"] for c in conditions]:
            return 412, self.answer(present)
        self.version += 1
        for row in body.get("put", []):
            self.rows[(row["table"], row.get("part", ""), row["tlsKey"])] = [row["value"], self.version]
        for row in body.get("remove", []):
            self.rows[(row["table"], row.get("part", ""), row["tlsKey"])] = [None, self.version]
        self.announce()
        return 200, self.answer([])

    async def call_store(self, pooler, request):
        """The answer to one call of the store; None: there is none."""
        method, path, _, body = request
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if pooler in self.cut:
            return None
        await asyncio.sleep(0.003)
        if method == "GET" and parts.path == "/swiftworks/rows-get":
            status, answer = 200, self.get(query)
        elif method == "GET" and parts.path == "/swiftworks/rows-feed":
            status, answer = 200, await self.feed(query)
        elif method == "POST" and parts.path == "/swiftworks/rows-tx":
            status, answer = self.transact(json.loads(body))
        else:
            status, answer = 404, None
        if pooler in self.cut:
            return None
        return response(status, answer, [("Store-Era", 0)])

    async def call_promotion(self, pooler, request):
        """The answer to one call of the promotion service."""
        _, _, headers, body = request
        wanted = json.loads(body)
        holder, token = headers.get("swiftworks-duty-holder"), int(headers.get("swiftworks-fencing-token", 0))
        order = (time.monotonic(), holder, token, wanted["service"], wanted["id"])
        self.orders.append(order)
        self.record.add("promotion", f"holder {holder} token {token} service {order[3]} database {order[4]}")
        accepted = self.groups[wanted["service"]].promote(wanted["id"])
        await asyncio.sleep(self.api_answer_s)
        return response(200 if accepted else 409)

    async def serve(self, pooler, call, host):
        """Listens for one pooler; returns the address."""

        async def on_connection(reader, writer):
            try:
                while True:
                    request = await read_request(reader)
                    if request is None:
                        break
                    answer = await call(pooler, request)
                    if answer is None:
                        await asyncio.sleep(3600)  # this connection says nothing more
                    writer.write(answer)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(on_connection, host, 0)
        self.servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"


# ---------------------------------------------------------------------------------------- databases


class Database:
    """One database of a service. It keeps its log over a crash, unless it starts again knowing nothing."""

    def __init__(self, group, name, zone, slots):
        self.group, self.id, self.zone, self.slots = group, name, zone, slots
        self.log = []  # of (term, thing, data); the position is its length
        self.leads = False
        self.term = 1
        self.paused = 0
        self.running = False
        self.deaf = False  # receives nothing
        self.cut_from_store = False
        self.draining = False
        self.slot = asyncio.Semaphore(slots)
        self.waiting = 0
        self.apply_lag_s = 0.0
        self.applied = 0
        self.busy = 0
        self.connections = set()
        self.server = self.address = self.beats = None
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def position(self, length):
        """TERM.NUMBER of a length of the log."""
        return f"{self.log[length - 1][0] if length else 0}.{length}"

    def visible(self):
        """The length of the log that reads see."""
        return len(self.log) if self.leads else min(self.applied, len(self.log))

    async def start(self):
        """Starts to listen and to record itself in the store."""
        host, port = self.address if self.address else (self.group.host, 0)
        self.server = await asyncio.start_server(self.on_connection, host, port, reuse_address=True, limit=2**21)
        self.address = (host, self.server.sockets[0].getsockname()[1])
        self.running = True
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends as a process does that crashes."""
        self.running = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.group.record.add(self.id, "crashed")

    async def start_again(self, keeps_log):
        """Starts after a crash under the same id and address."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.paused = 0
        if not keeps_log:
            self.log, self.applied, self.term, self.leads = [], 0, 0, False
        await self.start()
        self.group.record.add(self.id, f"started again, log {self.position(len(self.log))}")

    async def beat(self):
        """Writes the record about every heartbeat."""
        while True:
            self.tell()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def tell(self):
        """Writes the record now, if the store is reached."""
        if self.cut_from_store or not self.running:
            return
        self.sequence += 1
        entry = {
            "service": self.group.service,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "dbRole": "primary" if self.leads else "replica",
            "born": self.born,
        }
        text = base64.b64encode(json.dumps(entry).encode()).decode()
        self.group.platform.put("servers", "", self.id, text)

    def receive(self, primary):
        """Takes the primary's log. True if it was received."""
        if not self.running or self.deaf or self.paused or self.leads or not primary.leads or not primary.running:
            return False
        if primary.term < self.term:
            return False
        self.log = list(primary.log)
        self.term = primary.term
        length = len(self.log)
        asyncio.get_running_loop().call_later(self.apply_lag_s, self.apply, length)
        return True

    def apply(self, length):
        """Makes a length of the log visible."""
        self.applied = max(self.applied, min(length, len(self.log)))

    def value(self, thing):
        """What reads see of a thing."""
        for _, name, data in reversed(self.log[: self.visible()]):
            if name == thing:
                return data
        return "none"

    async def on_connection(self, reader, writer):
        """Serves one connection."""
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer).serve()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database, self.reader, self.writer = database, reader, writer
        self.state, self.read_write = "I", False
        self.writes, self.prepared, self.values = [], {}, {}

    async def send(self, *lines):
        """Sends an answer."""
        self.writer.write("".join(line + "\r\n" for line in lines).encode("latin-1"))
        await self.writer.drain()

    def ready(self):
        """The end of every answer."""
        return f"READY {self.state} {self.database.position(self.database.visible())}"

    async def error(self, code):
        """Refuses a statement."""
        if self.state == "T":
            self.state = "E"
        await self.send(f"ERROR {code} {self.database.id}", self.ready())

    async def serve(self):
        """Answers until the connection ends. A line ends with CR LF."""
        first = (await self.reader.readuntil(b"\r\n")).decode("latin-1")[:-2].split(" ")
        group = self.database.group
        named = len(first) < 4 or first[3] == self.database.id
        if first[:2] != ["STARTUP", group.service] or not named:
            await self.send(f"ERROR MISROUTED {self.database.id}")
            return
        if len(self.database.connections) > group.max_connections:
            await self.send(f"ERROR OVERLOAD {self.database.id}")
            return
        await asyncio.sleep(0.002)
        await self.send(self.ready())
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
            words = line.split(" ", 2)
            if words[0] != "QUERY" or len(words) < 3:
                return
            await self.statement(words[1], words[2])

    async def statement(self, name, text):
        """Runs one statement."""
        database = self.database
        if name != "-":
            database.group.note_sent(database, name, text)
        whole = text
        if text.startswith("AFTER "):
            _, wanted, text = text.split(" ", 2)
            term, number = wanted.split(".")
            length = database.visible()
            held = tuple(int(part) for part in database.position(length).split("."))
            if held < (int(term), int(number)):
                await self.error("LAGGING")
                return
        words = text.split(" ", 2)
        word = words[0]
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            await self.control(word, int(words[1]) if len(words) > 1 else 0)
        elif word == "BEGIN":
            await self.begin(len(words) > 1)
        elif word in ("COMMIT", "ROLLBACK"):
            await self.end(name, word == "COMMIT")
        elif word == "READ":
            await self.read(name, text[5:], whole)
        elif word == "WRITE":
            await self.write(name, words[1], words[2] if len(words) > 2 else "", whole)
        elif word == "EXECUTE":
            await self.execute(name, words, whole)
        else:
            if word == "PREPARE":
                self.prepared[words[1]] = words[2]
            elif word == "SET":
                self.values[words[1]] = words[2] if len(words) > 2 else ""
                database.group.record.add(database.id, f"told {text!r}")
            elif word == "RESET":
                self.prepared.clear()
                self.values.clear()
            await self.send("COMPLETE -", self.ready())

    async def work(self, ms):
        """Holds a slot for a time. False: there is none."""
        database = self.database
        if database.slot.locked() and database.waiting >= QUEUE:
            await self.error("BUSY")
            return False
        database.waiting += 1
        try:
            await database.slot.acquire()
        finally:
            database.waiting -= 1
        database.busy += 1
        try:
            await asyncio.sleep(ms / 1000)
        finally:
            database.busy -= 1
            database.slot.release()
        return True

    async def control(self, word, term):
        """STATUS and the commands that answer the same row."""
        database = self.database
        if not await self.work(CONTROL_MS):
            return
        if word == "PAUSE" and not database.leads and term > database.term:
            database.paused = term
        elif word == "RESUME":
            database.paused = 0
        elif word == "STEPDOWN" and database.leads and database.term < term:
            database.leads = False
            database.applied = len(database.log)
            database.tell()
        role = "primary" if database.leads else "replica"
        row = (
            f"{role} {database.term} {database.position(len(database.log))} {database.paused} 0 "
            f"{database.busy} {len(database.connections)}"
        )
        database.group.record.add(database.id, f"{word}{f' {term}' if term else ''} -> {row}")
        await self.send(f"ROW {row}", "COMPLETE -", self.ready())

    async def begin(self, read_only):
        """BEGIN."""
        if not read_only and not self.database.leads:
            await self.error("READONLY")
            return
        self.state, self.read_write, self.writes = "T", not read_only, []
        await self.send("COMPLETE -", self.ready())

    async def read(self, name, thing, whole):
        """READ."""
        if not await self.work(self.database.group.work_ms):
            return
        value = self.database.value(thing)
        signature = self.database.group.note_run(self.database, name, whole, value, dict(self.values))
        await self.send(f"ROW {value}", f"COMPLETE {signature}", self.ready())

    async def write(self, name, thing, data, whole):
        """WRITE."""
        if not await self.work(self.database.group.work_ms):
            return
        if not self.database.leads:
            await self.error("READONLY")
            return
        signature = self.database.group.note_run(self.database, name, whole, "")
        self.writes.append((thing, data))
        if self.state == "I" and not await self.commit(name):
            return
        await self.send(f"COMPLETE {signature}", self.ready())

    async def execute(self, name, words, whole):
        """EXECUTE."""
        shape = self.prepared.get(words[1])
        if shape is None:
            await self.error("NOSTMT")
            return
        rest = words[2].split(" ", 1)
        if shape.startswith("WRITE"):
            await self.write(name, rest[0], rest[1] if len(rest) > 1 else "", whole)
        else:
            await self.read(name, rest[0], whole)

    async def commit(self, name):
        """Commits the writes; the answer waits for one replica. False: the connection is given up."""
        database, writes = self.database, self.writes
        self.writes = []
        if not writes:
            return True
        if not database.leads:
            await self.error("READONLY")
            return False
        database.log += [(database.term, thing, data) for thing, data in writes]
        length, term = len(database.log), database.term
        while True:
            if not database.leads or not database.running or database.term != term:
                raise ConnectionError
            if await database.group.replicate(database):
                break
            await asyncio.sleep(0.01)
        database.group.record.add(database.id, f"committed {name} as {database.position(length)}")
        return True

    async def end(self, name, commits):
        """COMMIT and ROLLBACK."""
        failed, self.state = self.state != "T", "I"
        signature = "-"
        if commits and not failed:
            if not await self.commit(name):
                return
            signature = self.database.group.note_run(self.database, name, "COMMIT", "")
        self.writes = []
        await self.send(f"COMPLETE {signature}", self.ready())


class Group:
    """The databases of one service."""

    def __init__(self, platform, record, service, host, max_connections=32):
        self.platform, self.record, self.service, self.host = platform, record, service, host
        self.max_connections = max_connections
        self.work_ms = WORK_MS
        self.databases = {}
        self.runs = []  # (time, database, id, text, row, session values of the connection)
        self.sent = []  # (time, database, id, text): all statements that came with an id
        self.promotions = []  # (time, database, length of its log)
        self.on_promoted = None
        platform.groups[service] = self

    async def add(self, name, zone, slots=4, leads=False):
        """Adds and starts a database."""
        database = Database(self, name, zone, slots)
        database.leads = leads
        self.databases[name] = database
        await database.start()
        return database

    def leader(self):
        """The database that leads the newest term."""
        leading = [one for one in self.databases.values() if one.leads and one.running]
        return max(leading, key=lambda one: one.term, default=None)

    async def replicate(self, primary):
        """Sends the log to all replicas. True if one has received it."""
        await asyncio.sleep(0.001)
        received = [one.receive(primary) for one in self.databases.values() if one is not primary]
        return any(received)

    def promote(self, name):
        """Accepts or refuses an order; the named database leads some hundred ms later."""
        database = self.databases.get(name)
        if database is None or not database.running:
            return False
        if not database.leads:
            asyncio.get_running_loop().call_later(PROMOTE_MS / 1000, self.take_lead, database)
        return True

    def take_lead(self, database):
        """The named database leads the next term."""
        if not database.running or database.leads:
            return
        former = self.leader()
        database.leads, database.paused = True, 0
        database.term = max(one.term for one in self.databases.values()) + 1
        self.promotions.append((time.monotonic(), database.id, len(database.log)))
        self.record.add(database.id, f"leads term {database.term} with log {database.position(len(database.log))}")
        database.tell()
        if self.on_promoted:
            self.on_promoted(database)
        if former is not None and former is not database:
            asyncio.get_running_loop().call_later(1.0, self.retire, former, database)

    def retire(self, former, database):
        """An old primary stops leading within a second of reaching the new one."""
        if former.leads and former.term < database.term:
            former.leads = False
            former.tell()

    def note_sent(self, database, name, text):
        """A statement with an id has come."""
        self.sent.append((time.monotonic(), database.id, name, text))
        self.record.add(database.id, f"received {name} {text!r}")

    def note_run(self, database, name, text, row, values=None):
        """A statement has run; returns its signature."""
        self.runs.append((time.monotonic(), database.id, name, text, row, values))
        shown = (f" with {values}" if values else "") + (f" -> {row!r}" if row else "")
        self.record.add(database.id, f"ran {name} {text!r}{shown}")
        return f"{database.id}.{secrets.token_hex(6)}"


# ------------------------------------------------------------------------------------------ poolers


def look_up(name, scopes):
    """The value of a gap of the template."""
    for scope in scopes:
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def fill(template, fields):
    """Fills the settings template as DEPLOY.md tells."""

    def section(match):
        sign, name, inside = match.groups()
        value = look_up(name, [fields])
        given = value is not None and value is not False
        return fill(inside, fields) if given == (sign == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def gap(match):
        value = look_up(match.group(1), [fields])
        if value is None:
            return ""
        return ",".join(str(one) for one in value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


class Pooler:
    """One machine with one pooler."""

    def __init__(self, rig, name, zone, address, store, promotion):
        self.rig, self.name, self.zone, self.ip = rig, name, zone, address
        self.store, self.promotion = store, promotion
        self.process, self.starts = None, 0
        self.log = rig.directory / f"{name}.log"

    def start(self, seeds, bootstrap):
        """Starts the process with the command and the template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["pooler"]
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {"front": f"{self.ip}:8784", "ready": f"{self.ip}:8785", "control": f"{self.ip}:8782"},
            "internalPorts": [7440, 7455],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.25, "cores": 1, "maxFds": 4200, "linkMbps": 1000.0},
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": {"configApplyMs": 3000, "graceS": 6},
            "platform": {"address": self.store, "reads_per_s": 2000},
            "cloudApi": {"address": self.promotion},
        }
        settings = self.rig.directory / f"{self.name}.settings"
        settings.write_text(fill((ROOT / deploy["template"]).read_text(), fields))
        words = deploy["run"].split(" ")
        program = program_path(words[0])
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [program, *words[1:]],
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "SWIFTWORKS_SETTINGS": str(settings)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.starts += 1
        self.rig.record.add(self.name, f"started as process {self.process.pid}")

    def signal(self, number):
        """Sends a signal to the process."""
        self.rig.record.add(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def said(self, text):
        """Whether the log has a text."""
        return text in self.log.read_text(errors="replace")

    def end(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def program_path(name):
    """The pooler, as the platform's build or the project's own has made it."""
    for path in (ROOT / name, ROOT / "build-release/platform/swiftworks-pooler", ROOT / "build/platform/swiftworks-pooler"):
        if path.exists():
            return path
    raise Impossible("no pooler is built")


# ------------------------------------------------------------------------------------------ clients


class Client:
    """One session with a pooler."""

    def __init__(self, rig, name, pooler, database, patience_s=5.0):
        self.rig, self.name, self.pooler, self.database = rig, name, pooler, database
        self.patience_s = patience_s
        self.reader = self.writer = None

    async def open(self):
        """Connects and starts the session. False if it is refused."""
        address = (self.pooler.ip, 8784)
        self.reader, self.writer = await asyncio.open_connection(*address, limit=2**21)
        self.writer.write(f"STARTUP {self.database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), self.patience_s)
        return line.startswith(b"READY")

    def close(self):
        """Closes the session."""
        if self.writer is not None:
            self.writer.close()

    async def ask(self, text, name=None):
        """(id, rows, last line before READY) of one request."""
        name = name or secrets.token_hex(8)
        self.rig.record.add(self.name, f"sends {name} {text!r} to {self.pooler.name}")
        rows, last = [], ""
        try:
            self.writer.write(f"QUERY {name} {text}\r\n".encode("latin-1"))
            while True:
                data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), self.patience_s)
                line = data.decode("latin-1")[:-2]
                if line.startswith("READY "):
                    break
                if line.startswith("ROW "):
                    rows.append(line[4:])
                else:
                    last = line
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            last = f"({type(error).__name__})"
        self.rig.record.add(self.name, f"answered {name} {rows!r} {last}")
        return name, rows, last


# ---------------------------------------------------------------------------------------------- rig


class Rig:
    """The whole deployment."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.record = Record()
        self.platform = Platform(self.record)
        self.poolers = []
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.groups = []
        self.stopping = False  # clients in the background end

    async def group(self, service, max_connections=32, slots=4):
        """Adds a service with a primary and two replicas in three zones; returns it."""
        group = Group(self.platform, self.record, service, f"{self.net}.{100 + len(self.groups)}", max_connections)
        self.groups.append(group)
        for number, zone in enumerate(("z1", "z2", "z3")):
            await group.add(f"i-{service}-{number}", zone, slots, leads=number == 0)
        return group

    def configure(self, routes, version=1, staleness_ms=1500):
        """Writes the configuration, as the operator does. routes: (hostname, routeType, service)."""
        configuration = {
            "version": version,
            "routes": [
                {
                    "name": host,
                    "hostname": host,
                    "pathPrefix": "/",
                    "routeType": kind,
                    "timeoutMs": 800,
                    "targetLatencyMs": 200,
                    "priority": 1,
                    "service": service,
                    "maxStalenessMs": staleness_ms,
                }
                for host, kind, service in routes
            ],
            "services": [
                {"name": one.service, "maxConns": one.max_connections, "syncReplicas": 1} for one in self.groups
            ],
            "limits": {"txIdleMs": 5000},
        }
        self.platform.put("op", "", "config", base64.b64encode(json.dumps(configuration).encode()).decode())

    async def start_poolers(self, count):
        """Starts poolers on machines of their own."""
        for number in range(count):
            name = f"front-{number + 1}"
            store = await self.platform.serve(name, self.platform.call_store, f"{self.net}.200")
            promotion = await self.platform.serve(name, self.platform.call_promotion, f"{self.net}.201")
            address = f"{self.net}.{number + 1}"
            self.poolers.append(Pooler(self, name, f"z{number % 3 + 1}", address, store, promotion))
        for pooler in self.poolers:
            pooler.start(self.seeds(), True)

    def seeds(self):
        """Control addresses of up to three machines."""
        return [f"{one.ip}:8782" for one in self.poolers[:3]]

    def restart(self, pooler):
        """Starts a pooler again, as the platform does after a short delay."""
        pooler.start(self.seeds(), False)

    async def until(self, condition, seconds, what, every=0.005):
        """Waits for a condition."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise Impossible(f"not within {seconds} s: {what}")
            await asyncio.sleep(every)

    async def coordinator(self):
        """The pooler that holds the lease."""
        def held():
            holding = []
            for one in self.poolers:
                text = one.log.read_text(errors="replace") if one.log.exists() else ""
                if text.rfind("Holds the coordinator lease") > text.rfind("No longer the coordinator"):
                    holding.append(one)
            return holding
        await self.until(lambda: len(held()) == 1, READY_S, "one pooler holds the lease", 0.05)
        return held()[0]

    async def serving(self, hosts):
        """Waits until every pooler runs a write for every host."""
        for pooler in self.poolers:
            for host in hosts:
                end = time.monotonic() + READY_S
                while True:
                    try:
                        client = Client(self, "probe", pooler, host)
                        served = await client.open() and (await client.ask("WRITE probe x"))[2].startswith("COMPLETE")
                        client.close()
                    except (ConnectionError, asyncio.TimeoutError):
                        served = False
                    if served:
                        break
                    if time.monotonic() > end:
                        raise Impossible(f"{pooler.name} does not serve {host}")
                    await asyncio.sleep(0.1)

    def end(self):
        """Ends all processes that were started."""
        for pooler in self.poolers:
            pooler.end()


async def play(case, rig, trouble, limit_s):
    """Plays a case, and lets the clients in the background end."""
    try:
        return await asyncio.wait_for(case(rig, trouble), limit_s)
    finally:
        rig.stopping = True
        await asyncio.sleep(0.5)


def run(case, folder, limit_s=90):
    """Plays a case and exits. case(rig, trouble) returns the list of what broke the rule."""
    folder = pathlib.Path(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = IMPOSSIBLE
    with tempfile.TemporaryDirectory() as directory:
        rig = Rig(directory)

        def stop(*_):
            rig.end()
            shutil.rmtree(directory, ignore_errors=True)
            os._exit(IMPOSSIBLE)

        signal.signal(signal.SIGTERM, stop)
        try:
            broken = asyncio.run(play(case, rig, trouble, limit_s))
            for line in broken:
                rig.record.add("RULE", f"broken: {line}")
                print(f"broken: {line}")
            code = BROKEN if broken else ENDED
            if not broken:
                print("the rule held")
        except Exception as error:  # whatever else went wrong is no verdict
            print(f"could not run: {error or type(error).__name__}")
            rig.record.add("RULE", f"could not run: {error or type(error).__name__}")
        finally:
            rig.end()
            rig.record.add("exit", str(code))
            rig.record.write(folder / "record.txt")
            if os.environ.get("LOGS"):  # a folder for the poolers' logs
                for pooler in rig.poolers:
                    (pathlib.Path(os.environ["LOGS"]) / pooler.log.name).write_bytes(pooler.log.read_bytes())
    sys.exit(code)
