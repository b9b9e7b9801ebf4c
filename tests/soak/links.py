"""Loopback proxies: every connection of a soak passes through one, which can delay, hold back or reset it.

A proxy listens at its target's announced address. It identifies the connecting process by the owner of the socket, so
that faults can be injected into the link between two processes, and into one direction of it.
"""

import asyncio
import collections
import os
import socket
import struct
import time
from dataclasses import dataclass, field

# SO_LINGER with time 0: closing resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)

# Constants of sock_diag(7), by which the inode of a socket is found.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
ANY_STATE = 0xFFFFFFFF
NO_COOKIE = b"\xff" * 8
INODE_OFFSET = 68

REFUSAL = b"HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n"


@dataclass
class Direction:
    """The state of one direction of a link."""

    delay_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: no limit
    held: bool = False  # data is held back until this is reset

    def is_plain(self):
        """Whether data may pass at once."""
        return not (self.held or self.delay_s or self.bytes_per_s)


@dataclass
class Link:
    """All connections from one process to another."""

    source: str
    target: str
    forth: Direction = field(default_factory=Direction)
    back: Direction = field(default_factory=Direction)
    refuses: bool = False  # calls get 503
    loses_answers: bool = False  # calls are carried out, but the replies are held back for good
    accepted: int = 0  # connections so far
    pipes: set = field(default_factory=set)

    def change(self, forth, back):
        """Sets the state of both directions."""
        self.forth, self.back = forth, back
        for pipe in list(self.pipes):
            pipe.pump()

    def reset(self):
        """Resets all connections, even in the middle of a message."""
        for pipe in list(self.pipes):
            pipe.abort()

    def block(self):
        """Open connections pass no more data, for good; new ones work."""
        for pipe in list(self.pipes):
            pipe.blocked = True


class Pipe:
    """One direction of one connection."""

    def __init__(self, link, forth):
        self.link = link
        self.forth = forth
        self.blocked = False
        self.queue = collections.deque()  # of (due, data); data None: end of stream
        self.last_due = 0.0
        self.source = None
        self.sink = None
        self.timer = None
        link.pipes.add(self)

    def state(self):
        """The state of this direction."""
        return self.link.forth if self.forth else self.link.back

    def feed(self, data):
        """Accepts data from the source; None for the end of stream."""
        state = self.state()
        if state.is_plain() and not self.queue and not self.blocked and self.sink is not None:
            self.send(data)
            return
        due = max(self.last_due, time.monotonic() + state.delay_s)
        if data is not None and state.bytes_per_s:
            due += len(data) / state.bytes_per_s
        self.last_due = due
        self.queue.append((due, data))
        self.pump()

    def pump(self):
        """Sends the data that is due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and self.sink is not None and not self.blocked and not self.state().held:
            wait = self.queue[0][0] - time.monotonic()
            if wait > 0 and not self.state().is_plain():
                self.timer = asyncio.get_running_loop().call_later(wait, self.pump)
                return
            self.send(self.queue.popleft()[1])

    def send(self, data):
        """Writes data to the sink; closes the sink's connection at the end of stream."""
        if data is not None:
            self.sink.write(data)
        else:
            self.sink.close()
            self.link.pipes.discard(self)

    def abort(self):
        """Resets both ends."""
        for transport in (self.source, self.sink):
            reset(transport)
        self.link.pipes.discard(self)


def reset(transport):
    """Closes a connection by a reset."""
    if transport is None:
        return
    handle = transport.get_extra_info("socket")
    if handle is not None and handle.fileno() >= 0:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


class End(asyncio.Protocol):
    """One end of a proxied connection: received data goes into its pipe."""

    def __init__(self, pipe, back):
        self.pipe = pipe  # data sent by this end's process
        self.back = back  # data sent to it
        self.transport = None

    def connection_made(self, transport):
        """Attaches the two pipes to this end."""
        self.transport = transport
        self.pipe.source = transport
        self.back.sink = transport
        self.back.pump()

    def data_received(self, data):
        """Passes received data to the pipe, or applies a fault of the link."""
        link = self.pipe.link
        if self.pipe.forth and link.refuses:
            self.transport.write(REFUSAL)
            return
        if not self.pipe.forth and link.loses_answers:
            self.pipe.blocked = True
        self.pipe.feed(data)

    def eof_received(self):
        """Passes the end of stream on."""
        self.pipe.feed(None)
        return True

    def connection_lost(self, exc):
        """Passes the end of the connection on, as a reset if it was one."""
        if exc is not None:
            reset(self.pipe.sink)
        elif self.pipe in self.pipe.link.pipes:
            self.pipe.feed(None)
        self.back.link.pipes.discard(self.back)


class Proxy:
    """Listens at an address for one target. `source` is a name, or a function from a port to one."""

    def __init__(self, links, listen, target, target_name, source):
        self.links = links
        self.listen = listen
        self.target = target
        self.target_name = target_name
        self.source = source
        self.server = None

    async def start(self):
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, *self.listen, backlog=512)

    def accept(self):
        """Creates the near end of a new connection."""
        return NearEnd(self)


class NearEnd(End):
    """The end of the process that connected."""

    def __init__(self, proxy):
        super().__init__(None, None)
        self.proxy = proxy

    def connection_made(self, transport):
        """Identifies the connecting process, and connects to the target."""
        proxy = self.proxy
        source = proxy.source
        if callable(source):
            source = source(transport.get_extra_info("peername"), transport.get_extra_info("sockname"))
        link = proxy.links.get(source, proxy.target_name)
        link.accepted += 1
        self.pipe, self.back = Pipe(link, True), Pipe(link, False)
        super().connection_made(transport)
        asyncio.get_running_loop().create_task(self.connect())

    async def connect(self):
        """Connects to the target; a refused connect resets the near end."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: End(self.back, self.pipe), *self.proxy.target)
        except OSError:
            self.pipe.abort()
            self.back.abort()


class Links:
    """All links by source and target."""

    def __init__(self):
        self.links = {}

    def get(self, source, target):
        """The link between two processes."""
        return self.links.setdefault((source, target), Link(source, target))


class Owners:
    """Finds which process of the rig holds a socket."""

    def __init__(self, pids):
        self.pids = pids  # a function that gives name -> pid

    def name_of(self, peer, local):
        """The process that connects from `peer` to `local`; "?" if it has ended."""
        inode = find_inode(peer, local)
        if inode is not None:
            wanted = f"socket:[{inode}]"
            for name, pid in self.pids().items():
                if holds(pid, wanted):
                    return name
        return "?"


def find_inode(peer, local):
    """The inode of the socket that is connected from `peer` to `local`; None if it was closed."""
    numbers = struct.pack(">HH", peer[1], local[1])
    addresses = [socket.inet_aton(host) + bytes(12) for host in (peer[0], local[0])]
    identity = numbers + addresses[0] + addresses[1] + bytes(4) + NO_COOKIE
    query = struct.pack("<BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ANY_STATE) + identity
    header = struct.pack("<IHHII", 16 + len(query), SOCK_DIAG_BY_FAMILY, 1, 1, 0)  # NLM_F_REQUEST
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(header + query)
        answer = netlink.recv(4096)
    kind = struct.unpack_from("<IH", answer)[1]
    return struct.unpack_from("<I", answer, 16 + INODE_OFFSET)[0] if kind == SOCK_DIAG_BY_FAMILY else None


def holds(pid, wanted):
    """Whether the process has the socket open."""
    try:
        names = os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"/proc/{pid}/fd/{name}") == wanted:
                return True
        except OSError:
            pass
    return False
