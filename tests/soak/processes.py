"""The processes of a soak: the session stand-ins, and the poolers with their log files."""

import asyncio
import json
import os
import random
import signal
import subprocess
import time

HEARTBEAT_MS = 400
READY_S = 30


class Standin:
    """The stand-in of store and databases, controlled by commands on its standard input."""

    def __init__(self, build, directory, configuration, announce):
        self.directory = directory
        path = directory / "configuration.json"
        path.write_text(json.dumps(configuration))
        program = build / "standins/session_platform/swiftworks-session-standin"
        self.process = subprocess.Popen(
            [program, "--commands", f"--announce={announce}", path], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.databases = {}  # id -> (host, port)
        self.store = None
        self.lock = asyncio.Lock()
        self.reader = None

    async def start(self):
        """Waits until the store listens."""
        loop = asyncio.get_running_loop()
        self.reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self.reader), self.process.stdout)
        while self.store is None:
            words = (await asyncio.wait_for(self.reader.readline(), READY_S)).decode().split()
            if words[:1] == ["database"]:
                self.databases[words[1]] = address_of(words[2])
            elif words[:1] == ["store"]:
                self.store = address_of(words[1])

    async def command(self, text):
        """Sends a command and waits until it is done. Returns the lines printed meanwhile."""
        said = []
        async with self.lock:
            self.process.stdin.write(text.encode() + b"\n")
            self.process.stdin.flush()
            while True:
                line = (await asyncio.wait_for(self.reader.readline(), READY_S)).decode().strip()
                if line == "done":
                    return said
                if not line or line.startswith("error"):
                    raise RuntimeError(f"{text[:80]}: {line or 'the stand-in has ended'}")
                said.append(line)

    def end(self):
        """Terminates the process."""
        self.process.terminate()
        self.process.wait()


def address_of(text):
    """("127.0.0.1", 80) from "127.0.0.1:80"."""
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Pooler:
    """One pooler, which is restarted when it ends."""

    def __init__(self, build, directory, name, settings):
        self.program = build / "platform/swiftworks-pooler"
        self.log_path = directory / f"{name}.log"
        self.name = name
        self.settings = settings
        self.process = None
        self.life = 0  # number of processes started so far
        self.started_at = 0.0
        self.wanted = True
        self.exits = []  # (time, code) of unexpected ends
        self.expected = False  # the rig has sent a signal that ends the process

    def start(self):
        """Starts a process."""
        self.life += 1
        self.started_at = time.monotonic()
        self.expected = False
        options = [f"--set={key}={value}" for key, value in self.settings.items()]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [self.program, *options], stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
            )

    def pid(self):
        """The process id of the current or last process."""
        return self.process.pid

    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Sends a signal if the process runs."""
        if self.is_running():
            self.expected = self.expected or number in (signal.SIGKILL, signal.SIGTERM)
            os.kill(self.process.pid, number)

    async def supervise(self, pause_s):
        """Restarts the process soon after it has ended."""
        while self.wanted:
            if not self.is_running():
                if not self.expected:
                    self.exits.append((time.monotonic(), self.process.returncode))
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
                if self.wanted:
                    self.start()
            await asyncio.sleep(0.02)

    def end(self):
        """Ends the process without a restart."""
        self.wanted = False
        if self.is_running():
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
