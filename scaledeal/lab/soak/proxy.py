"""The proxies between relays and servers: every relay reaches every server through a link of its own.

A link passes bytes on, records the attempts that cross it, and plays the network's faults: silence, resets, connections
that come up late, and bytes in pieces.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from scaledeal.lab.soak.history import Attempt

END = b"\r\n"
PIECE = 7  # bytes at once where bytes come in pieces
GAP = 0.002  # seconds between two pieces
BACKLOG = 1
ESTABLISHED = 1  # of the states that TCP_INFO tells
PROBES = (b"PING", b"STATS")

Now = Callable[[], float]


class Link:
    """The way from one relay to one server."""

    def __init__(self, relay: str, server: str, cell: int, now: Now, record: Callable[[Attempt], None]) -> None:
        self.relay, self.server, self.cell = relay, server, cell
        self.incarnation = 0  # of the relay
        self.now, self.record = now, record
        self.upstream: int | None = None  # the server's port; none while it is down
        self.silent = False
        self.pieces = False
        self.connections: set[ProxiedConnection] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.fillers: list[socket.socket] = []  # connections that fill the queue while others are to come up late
        self._accepting: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return where the relay finds the server."""
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def open(self) -> None:
        """Take connections from now on."""
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    def close(self) -> None:
        """Be gone, with all that passes."""
        self.come_up_late(False)
        if self._accepting is not None:
            self._accepting.cancel()
        self.reset()
        self.listener.close()

    def reset(self) -> None:
        """Reset whatever passes."""
        for connection in list(self.connections):
            connection.reset()

    def cut(self, silent: bool) -> None:
        """Pass nothing on, and take nothing new; or reset what was silent, and go on."""
        if silent == self.silent:
            return
        self.silent = silent
        self.come_up_late(silent)
        if not silent:
            self.reset()

    def come_up_late(self, late: bool) -> None:
        """Have new connections wait for their handshake, or let them come up with the next try of their side."""
        if late and self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
            for _ in range(BACKLOG + 1):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.listener.getsockname())
                self.fillers.append(filler)
        elif not late and self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            self.open()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != ESTABLISHED:
                # Given up while it waited in the queue: what it had sent is still read, and would count as sent now.
                sock.close()
                continue
            connection = ProxiedConnection(self)
            self.connections.add(connection)
            await loop.connect_accepted_socket(lambda made=connection: made.relay_side, sock)  # type: ignore[misc]
            connection.dial()


class ProxiedConnection:
    """One connection of a relay's to a server, and the proxy's own behind it."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.relay_side, self.server_side = _Side(self, True), _Side(self, False)
        self.attempt: Attempt | None = None
        self.first, self.answer = b"", b""
        self.over = False

    def dial(self) -> None:
        """Connect to the server."""
        asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        try:
            if self.link.upstream is None:
                raise ConnectionRefusedError
            await asyncio.get_running_loop().create_connection(
                lambda: self.server_side, "127.0.0.1", self.link.upstream
            )
        except OSError:
            self.reset()

    def came(self, from_relay: bool, data: bytes) -> None:
        """Take bytes from one side, and pass them on unless the link is cut."""
        if from_relay:
            self._note_first(data)
        if self.link.silent:
            return
        if not from_relay:
            self._note_answer(data)
        other = self.server_side if from_relay else self.relay_side
        other.write(data, self.link.pieces)

    def ended(self, from_relay: bool) -> None:
        """Hear that one side ended its sending."""
        if from_relay:
            self._note_relay_ended()
        if self.link.silent:
            return
        if not from_relay:
            self._note_server_ended()
        (self.server_side if from_relay else self.relay_side).end()

    def lost(self, from_relay: bool, broke: bool) -> None:
        """Hear that one side is over."""
        if from_relay:
            self._note_relay_ended()
        if self.link.silent and not from_relay:
            return
        if not from_relay:
            self._note_server_ended()
        other = self.server_side if from_relay else self.relay_side
        other.reset() if broke else other.close()
        if self.relay_side.over:
            self.link.connections.discard(self)

    def reset(self) -> None:
        """Reset both sides."""
        self._note_server_ended()
        self.relay_side.reset()
        self.server_side.reset()
        self.link.connections.discard(self)

    # The record

    def _note_first(self, data: bytes) -> None:
        if self.attempt is not None and self.attempt.complete_at is not None:
            return
        self.first += data
        if self.first.startswith(b"OPEN ") and self.attempt is None:
            link = self.link
            name = self.first.split(b" ")[1].split(END)[0].decode()
            self.attempt = Attempt(name, link.relay, link.incarnation, link.server, link.cell, link.now())
            link.record(self.attempt)
        if self.attempt is not None and END in self.first:
            self.attempt.id = self.first.split(b" ")[1].decode()
            self.attempt.complete_at = self.link.now()

    def _note_answer(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None or attempt.answered is not None:
            return
        self.answer += data
        if END in self.answer:
            attempt.answer = self.answer.partition(END)[0].decode()
            attempt.answered = self.link.now()

    def _note_relay_ended(self) -> None:
        if self.attempt is not None and self.attempt.relay_ended is None:
            self.attempt.relay_ended = self.link.now()

    def _note_server_ended(self) -> None:
        if self.attempt is not None and self.attempt.server_ended is None:
            self.attempt.server_ended = self.link.now()


class _Side(asyncio.Protocol):
    """One side of a connection; holds what comes before it is connected."""

    def __init__(self, connection: ProxiedConnection, of_relay: bool) -> None:
        self.connection, self.of_relay = connection, of_relay
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.queue = b""
        self.ends = self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.over:
            self.reset()
            return
        for data in self.waiting:
            transport.write(data)
        if self.ends:
            self.end()

    def data_received(self, data: bytes) -> None:
        self.connection.came(self.of_relay, data)

    def eof_received(self) -> bool:
        self.connection.ended(self.of_relay)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over:
            self.over = True
            self.connection.lost(self.of_relay, exc is not None)

    def write(self, data: bytes, pieces: bool) -> None:
        if self.transport is None:
            self.waiting.append(data)
        elif self.transport.is_closing():
            return
        elif pieces or self.queue:
            self.queue += data
            if len(self.queue) == len(data):
                self._write_piece()
        else:
            self.transport.write(data)

    def _write_piece(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        piece, self.queue = self.queue[:PIECE], self.queue[PIECE:]
        self.transport.write(piece)
        if self.queue:
            asyncio.get_running_loop().call_later(GAP, self._write_piece)
        elif self.ends:
            self.end()

    def end(self) -> None:
        self.ends = True
        if self.transport is not None and not self.queue and not self.transport.is_closing():
            with suppress(OSError):
                self.transport.write_eof()

    def close(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        self.over = True
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            self.transport.abort()
