"""Proxies between relays and servers: every relay reaches every server through a separate link.

A link forwards bytes, records the attempts that cross it, and simulates faults of the network: silence, resets,
connections that are established late, and bytes that arrive in pieces.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from scaledeal.lab.soak.history import Attempt

LINE_END = b"\r\n"
PIECE_BYTES = 7
PIECE_INTERVAL_S = 0.002
BACKLOG = 1  # small, so that a few connections fill the queue
TCP_ESTABLISHED = 1  # state in the first byte of TCP_INFO
PROBES = (b"PING", b"STATS")

Now = Callable[[], float]


class Link:
    """The path from one relay to one server."""

    def __init__(self, relay: str, server: str, cell: int, now: Now, record: Callable[[Attempt], None]) -> None:
        self.relay, self.server, self.cell = relay, server, cell
        self.incarnation = 0  # of the relay
        self.now, self.record = now, record
        self.upstream: int | None = None  # the server's port; None while the server does not run
        self.silent = False  # whether bytes are withheld in both directions
        self.pieces = False  # whether bytes are forwarded in pieces
        self.connections: set[ProxiedConnection] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.fillers: list[socket.socket] = []  # connections that fill the accept queue so that others wait
        self._accepting: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the address at which the relay reaches the server."""
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def open(self) -> None:
        """Start accepting connections."""
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    def close(self) -> None:
        """Close the listener and reset all connections."""
        self.delay_connections(False)
        if self._accepting is not None:
            self._accepting.cancel()
        self.reset()
        self.listener.close()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    def set_silent(self, silent: bool) -> None:
        """Forward and accept nothing; or, with ``silent`` unset, reset the silenced connections and go on."""
        if silent == self.silent:
            return
        self.silent = silent
        self.delay_connections(silent)
        if not silent:
            self.reset()

    def delay_connections(self, late: bool) -> None:
        """Keep new connections waiting for their handshake, or let them complete at the peer's next SYN retry."""
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
            if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED:
                # The relay gave it up while it waited in the queue. Its bytes could still be read and would be recorded
                # as if they were sent now.
                sock.close()
                continue
            connection = ProxiedConnection(self)
            self.connections.add(connection)
            await loop.connect_accepted_socket(lambda accepted=connection: accepted.relay_side, sock)  # type: ignore[misc]
            connection.dial()


class ProxiedConnection:
    """A connection from a relay, and the proxy's own connection to the server."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.relay_side, self.server_side = _Side(self, True), _Side(self, False)
        self.attempt: Attempt | None = None
        self.first_line, self.answer = b"", b""
        self.closed = False

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

    def forward(self, from_relay: bool, data: bytes) -> None:
        """Forward bytes from one side to the other, unless the link is silent."""
        if from_relay:
            self._record_first_line(data)
        if self.link.silent:
            return
        if not from_relay:
            self._record_answer(data)
        other = self.server_side if from_relay else self.relay_side
        other.write(data, self.link.pieces)

    def half_closed(self, from_relay: bool) -> None:
        """Handle the end of one side's sending."""
        if from_relay:
            self._record_relay_ended()
        if self.link.silent:
            return
        if not from_relay:
            self._record_server_ended()
        (self.server_side if from_relay else self.relay_side).send_eof()

    def side_closed(self, from_relay: bool, by_error: bool) -> None:
        """Handle the close of one side: reset the other side after an error, else close it."""
        if from_relay:
            self._record_relay_ended()
        if self.link.silent and not from_relay:
            return
        if not from_relay:
            self._record_server_ended()
        other = self.server_side if from_relay else self.relay_side
        other.reset() if by_error else other.close()
        if self.relay_side.closed:
            self.link.connections.discard(self)

    def reset(self) -> None:
        """Reset both sides."""
        self._record_server_ended()
        self.relay_side.reset()
        self.server_side.reset()
        self.link.connections.discard(self)

    # Recording of the attempt

    def _record_first_line(self, data: bytes) -> None:
        if self.attempt is not None and self.attempt.complete_at is not None:
            return
        self.first_line += data
        if self.first_line.startswith(b"OPEN ") and self.attempt is None:
            link = self.link
            name = self.first_line.split(b" ")[1].split(LINE_END)[0].decode()
            self.attempt = Attempt(name, link.relay, link.incarnation, link.server, link.cell, link.now())
            link.record(self.attempt)
        if self.attempt is not None and LINE_END in self.first_line:
            self.attempt.id = self.first_line.split(b" ")[1].decode()
            self.attempt.complete_at = self.link.now()

    def _record_answer(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None or attempt.answered is not None:
            return
        self.answer += data
        if LINE_END in self.answer:
            attempt.answer = self.answer.partition(LINE_END)[0].decode()
            attempt.answered = self.link.now()

    def _record_relay_ended(self) -> None:
        if self.attempt is not None and self.attempt.relay_ended is None:
            self.attempt.relay_ended = self.link.now()

    def _record_server_ended(self) -> None:
        if self.attempt is not None and self.attempt.server_ended is None:
            self.attempt.server_ended = self.link.now()


class _Side(asyncio.Protocol):
    """One side of a proxied connection; buffers bytes until it is connected."""

    def __init__(self, connection: ProxiedConnection, is_relay_side: bool) -> None:
        self.connection, self.is_relay_side = connection, is_relay_side
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []  # until the transport is connected
        self.piece_queue = b""
        self.eof_requested = self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.closed:
            self.reset()
            return
        for data in self.unsent:
            transport.write(data)
        if self.eof_requested:
            self.send_eof()

    def data_received(self, data: bytes) -> None:
        self.connection.forward(self.is_relay_side, data)

    def eof_received(self) -> bool:
        self.connection.half_closed(self.is_relay_side)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self.connection.side_closed(self.is_relay_side, exc is not None)

    def write(self, data: bytes, pieces: bool) -> None:
        if self.transport is None:
            self.unsent.append(data)
        elif self.transport.is_closing():
            return
        elif pieces or self.piece_queue:
            self.piece_queue += data
            if len(self.piece_queue) == len(data):
                self._write_piece()
        else:
            self.transport.write(data)

    def _write_piece(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        piece, self.piece_queue = self.piece_queue[:PIECE_BYTES], self.piece_queue[PIECE_BYTES:]
        self.transport.write(piece)
        if self.piece_queue:
            asyncio.get_running_loop().call_later(PIECE_INTERVAL_S, self._write_piece)
        elif self.eof_requested:
            self.send_eof()

    def send_eof(self) -> None:
        self.eof_requested = True
        if self.transport is not None and not self.piece_queue and not self.transport.is_closing():
            with suppress(OSError):
                self.transport.write_eof()

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        self.closed = True
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            self.transport.abort()
