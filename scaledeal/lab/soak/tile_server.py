"""A simulated tile server in a separate process: ``python -m scaledeal.lab.soak.tile_server NAME``.

It prints its port, then reads the names of behaviors from standard input, one per line, and exits when that ends. It
speaks the line protocol: it answers first lines and probes, and echoes every line of an established connection.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from itertools import count

from scaledeal.lab.soak.plan import ServerBehavior

LINE_END = b"\r\n"
ANSWER_DELAY_S = 0.01  # from a first line to its answer
SLOW_ANSWER_DELAY_S = 1.0  # with ``ServerBehavior.SLOW``
CONNECTION_LIFETIME_S = 0.4  # with ``ServerBehavior.ENDS``
CAPACITY_CONNECTIONS = 40.0  # established connections that are reported as a load of 1


class TileServer:
    """The server's current behavior and its number of established connections."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.behavior = ServerBehavior.SOUND
        self.established_count = 0
        self.connection_numbers = count(1)

    def report(self) -> bytes:
        """Return the answer to a STATS probe, with a load report."""
        return b"PONG eps=0.0,inflight=%d,x0=%.3f" % (
            self.established_count,
            self.established_count / CAPACITY_CONNECTIONS,
        )


class Connection(asyncio.Protocol):
    """One connection from a relay."""

    def __init__(self, server: TileServer) -> None:
        self.server = server
        self.partial_line = b""
        self.transport: asyncio.Transport
        self.first_line_received = self.established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into lines and handle each."""
        *lines, self.partial_line = (self.partial_line + data).split(LINE_END)
        for line in lines:
            self.handle_line(line)

    def handle_line(self, line: bytes) -> None:
        """Echo, answer a probe, or schedule the answer to the first line; ignore later lines before that answer."""
        if self.established:
            self.write_line(line)
        elif line in (b"PING", b"STATS"):
            self.write_line(self.server.report() if line == b"STATS" else b"PONG")
        elif not self.first_line_received:
            self.first_line_received = True
            delay = SLOW_ANSWER_DELAY_S if self.server.behavior is ServerBehavior.SLOW else ANSWER_DELAY_S
            asyncio.get_running_loop().call_later(delay, self.answer_first_line)

    def answer_first_line(self) -> None:
        """Answer the first line according to the server's behavior."""
        if self.transport.is_closing():
            return
        match self.server.behavior:
            case ServerBehavior.ERRORS:
                self.write_line(b"ERR")
                self.transport.close()
            case ServerBehavior.BUSY:
                self.write_line(b"BUSY")
                self.transport.close()
            case ServerBehavior.SERVED:
                self.write_line(b"BYE")
                self.transport.close()
            case ServerBehavior.HALF:
                self.transport.write(b"UP r")
                self.reset()
            case behavior:
                self.established = True
                self.server.established_count += 1
                self.write_line(b"UP %s-%d" % (self.server.name.encode(), next(self.server.connection_numbers)))
                if behavior is ServerBehavior.ENDS:
                    asyncio.get_running_loop().call_later(CONNECTION_LIFETIME_S, self.transport.close)

    def write_line(self, line: bytes) -> None:
        """Write one line."""
        self.transport.write(line + LINE_END)

    def reset(self) -> None:
        """Reset the connection."""
        linger = struct.pack("ii", 1, 0)
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Update the number of established connections."""
        if self.established:
            self.server.established_count -= 1


async def serve(name: str) -> None:
    """Listen on a free port, print it, and serve until standard input ends."""
    loop, server = asyncio.get_running_loop(), TileServer(name)
    listener = await loop.create_server(lambda: Connection(server), "127.0.0.1", 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        server.behavior = ServerBehavior(line.decode().strip())


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
