"""A stand-in tile server as a process of its own: ``python -m scaledeal.lab.soak.tile_server NAME``.

Prints its port, then takes the names of behaviors, one a line, on standard input; it ends with that. Speaks the lines
of the protocol: first lines, probes, and an echo for every line of a connection that is up.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from itertools import count

from scaledeal.lab.soak.plan import ServerBehavior

END = b"\r\n"
WORKS = 0.01  # seconds from a first line to its answer
SLOW = 1.0  # and where the server is slow
ENDS = 0.4  # seconds for which a connection stands where the server ends them
CAPACITY = 40.0  # connections that count as a load of 1


class TileServer:
    """Its behavior, and how many connections it holds."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.behavior = ServerBehavior.SOUND
        self.standing = 0
        self.receipts = count(1)

    def report(self) -> bytes:
        """Return a load report as a probe's answer carries it."""
        return b"PONG eps=0.0,inflight=%d,x0=%.3f" % (self.standing, self.standing / CAPACITY)


class Connection(asyncio.Protocol):
    """One connection of a relay's."""

    def __init__(self, server: TileServer) -> None:
        self.server = server
        self.part = b""
        self.transport: asyncio.Transport
        self.asked = self.stands = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Take what has come, line by line."""
        *lines, self.part = (self.part + data).split(END)
        for line in lines:
            self.line(line)

    def line(self, line: bytes) -> None:
        """Take one line."""
        if self.stands:
            self.say(line)
        elif line in (b"PING", b"STATS"):
            self.say(self.server.report() if line == b"STATS" else b"PONG")
        elif not self.asked:
            self.asked = True
            works = SLOW if self.server.behavior is ServerBehavior.SLOW else WORKS
            asyncio.get_running_loop().call_later(works, self.answer)

    def answer(self) -> None:
        """Answer a first line as the behavior is."""
        if self.transport.is_closing():
            return
        match self.server.behavior:
            case ServerBehavior.ERRORS:
                self.say(b"ERR")
                self.transport.close()
            case ServerBehavior.BUSY:
                self.say(b"BUSY")
                self.transport.close()
            case ServerBehavior.SERVED:
                self.say(b"BYE")
                self.transport.close()
            case ServerBehavior.HALF:
                self.transport.write(b"UP r")
                self.reset()
            case behavior:
                self.stands = True
                self.server.standing += 1
                self.say(b"UP %s-%d" % (self.server.name.encode(), next(self.server.receipts)))
                if behavior is ServerBehavior.ENDS:
                    asyncio.get_running_loop().call_later(ENDS, self.transport.close)

    def say(self, line: bytes) -> None:
        """Write one line."""
        self.transport.write(line + END)

    def reset(self) -> None:
        """Break the connection."""
        linger = struct.pack("ii", 1, 0)
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count it out."""
        if self.stands:
            self.server.standing -= 1


async def serve(name: str) -> None:
    """Serve until standard input ends."""
    loop, server = asyncio.get_running_loop(), TileServer(name)
    listener = await loop.create_server(lambda: Connection(server), "127.0.0.1", 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        server.behavior = ServerBehavior(line.decode().strip())


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
