"""Clients of a soak: each opens a connection through the front, uses it, and records what it receives."""

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

LINE_END = b"\r\n"
LINE_INTERVAL_RANGE_S = 0.5, 2.0  # between two lines of one client
ANSWER_WATCH_TIMEOUT_S = 12.0  # longer than any deadline, so that the delay of a late answer is measured
MALFORMED_LINES = (b"NONSENSE", b"OPEN half", b"OPEN a b c=none,d=9", b"\xff\xfe")


class ClientBehavior(Enum):
    """The behavior of a client."""

    STAYS = "stays"  # uses its connection until the relay ends it
    SHORT = "short"  # sends a few lines, then closes the connection
    LEAVES = "leaves"  # closes before its answer arrives
    SLOW = "slow"  # writes its first line in pieces
    STOPS = "stops"  # stops in the middle of its first line and keeps the connection open
    BAD = "bad"  # sends a malformed first line
    RESTS = "rests"  # connects, and sends its first line after a pause


class Target(msgspec.Struct, frozen=True):
    """The relay process to which the front sends a client."""

    relay: str
    incarnation: int
    port: int


class Front(Protocol):
    """Distributes clients over the relays and records what they report."""

    def target(self) -> Target | None:
        """Return the target of the next client, or None while no relay is in service."""

    def now(self) -> float:
        """Return the driver's monotonic time in seconds."""

    def record_request(self, request: Request) -> None:
        """Add a new request to the history."""

    def record_stalled_client(self, target: Target, seconds: float) -> None:
        """Record a bad client that was neither answered nor closed for ``seconds``."""


class Client:
    """One client, for the lifetime of its connection."""

    def __init__(
        self,
        front: Front,
        random: Random,
        request_class: str,
        answer_timeout: float,
        behavior: ClientBehavior,
        after_move: bool = False,
    ) -> None:
        """``answer_timeout`` is in seconds; ``after_move`` marks a client that comes back after a MOVE."""
        self.front, self.random, self.behavior = front, random, behavior
        self.request_class, self.answer_timeout, self.after_move = request_class, answer_timeout, after_move
        self.request: Request | None = None
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def run(self) -> str:
        """Connect, send a request and use the connection; return the first word of the last line received.

        The result is empty if no answer arrived, or if the client itself ended the connection.
        """
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
            return await self._exchange(target)
        finally:
            self._record_closed(ClosedBy.CLIENT)
            self.writer.transport.abort()

    async def _exchange(self, target: Target) -> str:
        if self.behavior is ClientBehavior.BAD:
            return await self._send_malformed_line(target)
        name = f"{self.random.getrandbits(64):016x}"
        again_value = ",again=1" if self.after_move else ""
        group = self.random.randrange(40)
        line = (
            f"OPEN {name} {group:04x} c={self.request_class},d={int(self.answer_timeout * 1000)},"
            f"g=g{group},h=1000{again_value}"
        ).encode() + LINE_END
        if self.behavior is ClientBehavior.STOPS:
            return await self._send_partial_line(target, line)
        if self.behavior is ClientBehavior.RESTS:
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        request = self.request = Request(
            name, self.request_class, target.relay, target.incarnation, self.answer_timeout
        )
        if not await self._write_first_line(line):
            return ""
        self.front.record_request(request)
        request.sent = self.front.now()
        answer = await self._read_first_answer(request)
        if request.is_established:
            return await self._use_connection(request)
        return answer

    async def _write_first_line(self, line: bytes) -> bool:
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

    async def _read_first_answer(self, request: Request) -> str:
        timeout = (
            self.random.uniform(0.0, self.answer_timeout)
            if self.behavior is ClientBehavior.LEAVES
            else ANSWER_WATCH_TIMEOUT_S
        )
        line = await self._read_line(timeout)
        if line is None:
            self._record_closed(ClosedBy.CLIENT)  # by a reset in half of the cases, else by an ordinary close
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
            self._record_closed(ClosedBy.RELAY)
        return request.answer.partition(" ")[0]

    async def _use_connection(self, request: Request) -> str:
        lines_left = self.random.randint(1, 6) if self.behavior is not ClientBehavior.STAYS else 1 << 30
        number = 0
        while lines_left > 0:
            number, lines_left = number + 1, lines_left - 1
            if request.asked_since is None:
                request.asked_since = self.front.now()
            self.writer.write(b"M %d" % number + LINE_END)
            pause = self.random.uniform(*LINE_INTERVAL_RANGE_S)
            next_line_at = self.front.now() + pause
            while (remaining := next_line_at - self.front.now()) > 0:
                line = await self._read_line(remaining)
                if line is None:
                    break
                if not line:
                    self._record_closed(ClosedBy.RELAY)
                    return request.last_line.partition(" ")[0]
                request.last_line = line.decode("latin-1")
                if line.startswith(b"M ") and request.asked_since is not None:
                    waited, request.asked_since = self.front.now() - request.asked_since, None
                    request.longest_wait = max(request.longest_wait, waited)
        self._record_closed(ClosedBy.CLIENT)
        return ""

    async def _read_line(self, timeout: float) -> bytes | None:
        """Return the next line, an empty one at the end of the connection, or None after ``timeout`` seconds."""
        try:
            return (await asyncio.wait_for(self.reader.readline(), timeout)).removesuffix(LINE_END)
        except TimeoutError:
            return None
        except OSError:
            return b""

    async def _send_malformed_line(self, target: Target) -> str:
        self.writer.write(self.random.choice(MALFORMED_LINES) + LINE_END)
        await self._await_answer_or_close(target)
        return ""

    async def _send_partial_line(self, target: Target, line: bytes) -> str:
        self.writer.write(line[: self.random.randrange(1, len(line) - 2)])
        await self._await_answer_or_close(target)
        return ""

    async def _await_answer_or_close(self, target: Target) -> None:
        started_at = self.front.now()
        if await self._read_line(ANSWER_WATCH_TIMEOUT_S) is None:
            self.front.record_stalled_client(target, self.front.now() - started_at)

    def _record_closed(self, by: ClosedBy) -> None:
        request = self.request
        if request is not None and request.closed is None:
            request.closed, request.closed_by = self.front.now(), by
