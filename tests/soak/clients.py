"""Clients of a soak: sessions over the line protocol that stay open as long as their pooler's process runs."""

import asyncio
import itertools
from dataclasses import dataclass

from crowd import USUAL_KEY
from deployment import now

ANSWER_S = 6.0  # time-out of an answer
REOPEN_S = 0.25  # pause before another attempt to open a session
LOST = "lost"  # the connection broke, or there was no answer
NO_DATABASE = "NODB"
PREPARED = "WRITE shape"  # the prepared statement
numbers = itertools.count(1)


@dataclass
class Operation:
    """One statement and its result at the client."""

    pooler: str
    life: int  # number of the pooler's process when it was sent
    database: str
    text: str
    identity: str
    sent: float
    ended: float
    result: str  # "ok", an error's code, or LOST
    row: str
    values: str = ""  # acknowledged values of the session, in the form of a database's records
    transaction: str = ""  # name of the transaction it is part of


class Session:
    """One connection to a pooler."""

    def __init__(self, pooler, address, database, record, key=USUAL_KEY):
        self.pooler = pooler
        self.address = address
        self.database = database
        self.record = record
        self.key = key
        self.reader = None
        self.writer = None
        self.values = {}
        self.prepared = False
        self.transaction = ""

    async def open(self):
        """Connects and starts the session; records a rejected start. False if there is no session."""
        sent, life = now(), self.pooler.life
        try:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), ANSWER_S)
            self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
            line = await self.read_line()
        except (OSError, asyncio.TimeoutError, EOFError):
            self.close()
            return False
        if line.startswith("READY"):
            self.values, self.prepared, self.transaction = {}, False, ""
            return True
        code = line.split()[1] if line.startswith("ERROR") else LOST
        self.note(life, "STARTUP", "-", sent, code, "")
        self.close()
        return False

    def close(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def read_line(self):
        """The next message."""
        line = await asyncio.wait_for(self.reader.readline(), ANSWER_S)
        if not line:
            raise EOFError
        return line.decode().rstrip("\r\n")

    def note(self, life, text, identity, sent, result, row):
        """Records one operation."""
        values = "".join(f"{name}={value};" for name, value in sorted(self.values.items()))
        operation = Operation(
            self.pooler.name, life, self.database, text, identity, sent, now(), result, row, values, self.transaction
        )
        self.record(operation)
        return operation

    async def ask(self, text):
        """Sends one statement and records its result."""
        identity = f"{next(numbers):016x}"
        sent, life = now(), self.pooler.life
        result, row = LOST, ""
        try:
            self.writer.write(f"QUERY {identity} {text}\r\n".encode())
            while True:
                line = await self.read_line()
                if line.startswith("ROW "):
                    row = line[4:]
                elif line.startswith("COMPLETE"):
                    result = "ok"
                elif line.startswith("ERROR"):
                    result = line.split()[1]
                elif line.startswith("READY"):
                    break
        except (OSError, asyncio.TimeoutError, EOFError):
            result = LOST
            self.close()
        return self.note(life, text, identity, sent, result, row)


async def keep_open(session, act, pause_s, until):
    """Calls `act` repeatedly on an open session until the end, and opens another session when one is lost."""
    while now() < until():
        if session.writer is None and not await session.open():
            await asyncio.sleep(REOPEN_S)
            continue
        await act(session)
        await asyncio.sleep(pause_s())
    session.close()


async def ask_service(session):
    """Reads the name of the service that the route leads to."""
    await session.ask("READ service")


class Writer:
    """Writes a thing that no other client writes, and reads it back; sometimes in transactions, by a prepared statement,
    or with session values."""

    def __init__(self, thing, chance):
        self.thing = thing
        self.chance = chance
        self.count = 0

    def next_value(self):
        """A value that no other write has."""
        self.count += 1
        return f"{self.thing}.{self.count}"

    async def act(self, session):
        """One operation."""
        await self.chance.choice([self.write, self.write, self.read, self.transact, self.execute, self.set_value])(session)

    async def write(self, session):
        """A single write."""
        await session.ask(f"WRITE {self.thing} {self.next_value()}")

    async def read(self, session):
        """Reads the thing back."""
        await session.ask(f"READ {self.thing}")

    async def set_value(self, session):
        """Sets a session value; closes the session after an error, as its values are then unknown."""
        name, value = self.chance.choice("ab"), self.next_value()
        if (await session.ask(f"SET {name} {value}")).result == "ok":
            session.values[name] = value
        else:
            session.close()

    async def execute(self, session):
        """A write by a prepared statement."""
        if not session.prepared:
            session.prepared = (await session.ask(f"PREPARE mine {PREPARED}")).result == "ok"
            if not session.prepared:
                session.close()
                return
        await session.ask(f"EXECUTE mine {self.thing} {self.next_value()}")

    async def transact(self, session):
        """A transaction of two writes."""
        session.transaction = self.next_value()
        if (await session.ask("BEGIN")).result == "ok":
            good = True
            for _ in range(2):
                good = good and (await session.ask(f"WRITE {self.thing} {self.next_value()}")).result == "ok"
            if session.writer is not None:
                await session.ask("COMMIT" if good and self.chance.random() < 0.8 else "ROLLBACK")
        session.transaction = ""
