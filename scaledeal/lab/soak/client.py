"""Clients of a soak: each opens a connection through the front, keeps using it, and writes down what it met."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from enum import Enum
from random import Random
from typing import Protocol

import msgspec

from scaledeal.lab.soak.history import ClosedBy, Request

END = b"\r\n"
LINES_APART = 0.5, 2.0  # seconds between two lines of a client's
WATCHED = 12.0  # seconds for which a client waits for its answer at most, to see how late it comes
BAD = (b"NONSENSE", b"OPEN half", b"OPEN a b c=none,d=9", b"\xff\xfe")


class ClientBehavior(Enum):
    """How a client behaves."""

    STAYS = "stays"  # uses its connection until the relay ends it
    SHORT = "short"  # a few lines, then an orderly end
    LEAVES = "leaves"  # gives up before its answer
    SLOW = "slow"  # writes its line in pieces
    STOPS = "stops"  # stops in the middle of its line, and stays
    BAD = "bad"  # sends what is no request
    RESTS = "rests"  # connects, and asks late


class Target(msgspec.Struct, frozen=True):
    """Where the front sends a client."""

    relay: str
    incarnation: int
    port: int


class Front(Protocol):
    """Distributes clients."""

    def target(self) -> Target | None:
        """Return where the next client goes; none while no relay is in service."""

    def now(self) -> float:
        """Return the driver's time."""

    def record(self, request: Request) -> None:
        """Take a new request into the history."""

    def client_stalled(self, target: Target, seconds: float) -> None:
        """Hear of a client that stopped in mid-request and was neither answered nor closed for so long."""


class Client:
    """One client, until its connection is over."""

    def __init__(
        self,
        front: Front,
        random: Random,
        request_class: str,
        wait: float,
        behavior: ClientBehavior,
        again: bool = False,
    ) -> None:
        self.front, self.random, self.behavior = front, random, behavior
        self.request_class, self.wait, self.again = request_class, wait, again
        self.request: Request | None = None
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def run(self) -> str:
        """Connect, ask, use the connection; return the last word that came back."""
        target = self.front.target()
        if target is None:
            return ""
        try:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", target.port)
        except OSError:
            return ""
        with suppress(OSError):
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            return await self._talk(target)
        finally:
            self._note_closed(ClosedBy.CLIENT)
            self.writer.transport.abort()

    async def _talk(self, target: Target) -> str:
        if self.behavior is ClientBehavior.BAD:
            return await self._say_nonsense(target)
        name = f"{self.random.getrandbits(64):016x}"
        more = ",again=1" if self.again else ""
        group = self.random.randrange(40)
        line = (
            f"OPEN {name} {group:04x} c={self.request_class},d={int(self.wait * 1000)},g=g{group},h=1000{more}"
        ).encode() + END
        if self.behavior is ClientBehavior.STOPS:
            return await self._stop_half(target, line)
        if self.behavior is ClientBehavior.RESTS:
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        request = self.request = Request(name, self.request_class, target.relay, target.incarnation, self.wait)
        if not await self._write_first(line):
            return ""
        self.front.record(request)
        request.sent = self.front.now()
        answer = await self._first_answer(request)
        if request.stood:
            return await self._use(request)
        return answer

    async def _write_first(self, line: bytes) -> bool:
        size = len(line) if self.behavior is not ClientBehavior.SLOW else 9
        try:
            for start in range(0, len(line), size):
                self.writer.write(line[start : start + size])
                await self.writer.drain()
                if size < len(line):
                    await asyncio.sleep(0.05)
        except OSError:
            return False
        return not self.writer.is_closing()

    async def _first_answer(self, request: Request) -> str:
        waits = self.random.uniform(0.0, self.wait) if self.behavior is ClientBehavior.LEAVES else WATCHED
        line = await self._line(waits)
        if line is None:
            self._note_closed(ClosedBy.CLIENT)  # it leaves, rudely or not
            if self.random.random() < 0.5 and not self.writer.is_closing():
                self.writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            self.writer.transport.abort()
            return ""
        if line:
            request.answered = self.front.now()
            request.answer = request.last_line = line.decode("latin-1")
        else:
            self._note_closed(ClosedBy.RELAY)
        return request.answer.partition(" ")[0]

    async def _use(self, request: Request) -> str:
        left = self.random.randint(1, 6) if self.behavior is not ClientBehavior.STAYS else 1 << 30
        number = 0
        while left > 0:
            number, left = number + 1, left - 1
            if request.asked_since is None:
                request.asked_since = self.front.now()
            self.writer.write(b"M %d" % number + END)
            pause = self.random.uniform(*LINES_APART)
            until = self.front.now() + pause
            while (rest := until - self.front.now()) > 0:
                line = await self._line(rest)
                if line is None:
                    break
                if not line:
                    self._note_closed(ClosedBy.RELAY)
                    return request.last_line.partition(" ")[0]
                request.last_line = line.decode("latin-1")
                if line.startswith(b"M ") and request.asked_since is not None:
                    waited, request.asked_since = self.front.now() - request.asked_since, None
                    request.longest_wait = max(request.longest_wait, waited)
        self._note_closed(ClosedBy.CLIENT)
        return ""

    async def _line(self, seconds: float) -> bytes | None:
        """Return the next line, empty at the end of the connection, None where none comes in so many seconds."""
        try:
            return (await asyncio.wait_for(self.reader.readline(), seconds)).removesuffix(END)
        except TimeoutError:
            return None
        except OSError:
            return b""

    async def _say_nonsense(self, target: Target) -> str:
        self.writer.write(self.random.choice(BAD) + END)
        await self._owed_an_end(target)
        return ""

    async def _stop_half(self, target: Target, line: bytes) -> str:
        self.writer.write(line[: self.random.randrange(1, len(line) - 2)])
        await self._owed_an_end(target)
        return ""

    async def _owed_an_end(self, target: Target) -> None:
        began = self.front.now()
        if await self._line(WATCHED) is None:
            self.front.client_stalled(target, self.front.now() - began)

    def _note_closed(self, by: ClosedBy) -> None:
        request = self.request
        if request is not None and request.closed is None:
            request.closed, request.closed_by = self.front.now(), by
