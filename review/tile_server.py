"""A stand-in for a tile server in a process of its own: ``python review/tile_server.py NAME``.

It prints one JSON object a line: first its port, then what it received and when, on the monotonic clock. It answers
probes, brings each connection up at once, and returns every line at once; an id that is up here already is turned away.
``spoil DIGITS`` on standard input puts digits before the number of requests in its next report. When the process dies,
its connections are reset, as the protocol page says of a process that dies.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
import time

RESET_ON_CLOSE, ORDERLY_CLOSE = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)
CAPACITY = 60.0  # connections that are reported as a load of 1


class TileServer:
    """What the connections of this server share."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.established: set[Connection] = set()
        self.receipts = 0
        self.spoilt = b""  # digits that stand before the next report's ``inflight``

    def tell(self, event: str, **values: object) -> None:
        """Print one event."""
        print(json.dumps({"at": time.monotonic(), "event": event, **values}), flush=True)


class Connection(asyncio.Protocol):
    """One connection from a relay."""

    def __init__(self, server: TileServer) -> None:
        self.server = server
        self.partial = b""
        self.id = ""
        self.ending = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have the connection reset if the process dies."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._set(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._set(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _set(self, level: int, option: int, value: int | bytes) -> None:
        self.transport.get_extra_info("socket").setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Handle each whole line."""
        *lines, self.partial = (self.partial + data).split(b"\r\n")
        for line in lines:
            if not self.ending:
                self.line(line)

    def line(self, line: bytes) -> None:
        """Answer a probe, bring a connection up, or return a line."""
        if self.id:
            self.transport.write(line + b"\r\n")
        elif line in (b"PING", b"STATS"):
            used = len(self.server.established)
            report = b" eps=0.0,inflight=%d,x0=%.3f" % (used, used / CAPACITY) if line == b"STATS" else b""
            if report and self.server.spoilt:
                report = report.replace(b"inflight=", b"inflight=" + self.server.spoilt)
                self.server.spoilt = b""
                self.server.tell("spoilt", answer=report.decode())
            self.transport.write(b"PONG" + report + b"\r\n")
        elif line.startswith(b"OPEN ") and len(line.split(b" ")) == 4:
            identity = line.split(b" ")[1].decode()
            self.server.tell("open", id=identity, line=line.decode())
            if any(each.id == identity for each in self.server.established):
                self.end(b"BUSY")
                return
            self.id = identity
            self.server.tell("up", id=identity)
            self.server.established.add(self)
            self.server.receipts += 1
            self.transport.write(b"UP %s-%d\r\n" % (self.server.name.encode(), self.server.receipts))
        else:
            self.server.tell("syntax", line=line.decode("ascii", "replace"))
            self.end(b"SYNTAX")

    def end(self, word: bytes) -> None:
        """Write a last line and end the connection in order."""
        self.ending = True
        self.server.established.discard(self)
        self._set(socket.SOL_SOCKET, socket.SO_LINGER, ORDERLY_CLOSE)
        self.transport.write(word + b"\r\n")
        self.transport.write_eof()

    def eof_received(self) -> bool:
        """End the connection as the relay did."""
        if not self.ending:
            self._set(socket.SOL_SOCKET, socket.SO_LINGER, ORDERLY_CLOSE)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.server.established.discard(self)
        if self.id:
            self.server.tell("over", id=self.id, reset=exc is not None)


async def serve(name: str) -> None:
    """Listen on a free port, print it, and serve until standard input ends."""
    loop, server = asyncio.get_running_loop(), TileServer(name)
    listener = await loop.create_server(lambda: Connection(server), "127.0.0.1", 0, backlog=512)
    server.tell("listens", port=listener.sockets[0].getsockname()[1])
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while word := (await reader.readline()).strip():
        if word.startswith(b"spoil "):
            server.spoilt = word.partition(b" ")[2]


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
