"""A stand-in for discovery: the list of tile servers over HTTP/1.1, with a long-poll watch."""

from __future__ import annotations

import re
import socket
from typing import Any

import msgspec

from scaledeal.lab.loop import Loop

_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1")


class Discovery:
    """Serves the entries given by ``put``; open watches are answered as soon as an entry changes."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # by server, the version at which its entry last changed
        self.connections: dict[socket.socket, int | None] = {}  # version after which each waits, None for no wait
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        loop.add_reader(self.sock, self._accept)

    @property
    def address(self) -> str:
        """Return the ``host:port`` that it listens on."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def put(self, name: str, address: str, status: str = "active") -> None:
        """Add a tile server to the list, or change its entry."""
        self.index += 1
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self.changed_at[name] = self.index
        for connection, after in list(self.connections.items()):
            if after is not None:
                self._answer(connection, after)

    def _accept(self) -> None:
        connection = self.sock.accept()[0]
        self.connections[connection] = None
        self.loop.add_reader(connection, lambda: self._handle_request(connection))

    def _handle_request(self, connection: socket.socket) -> None:
        try:
            data = connection.recv(65_536)
        except OSError:
            data = b""
        match = _CALL.match(data)
        if match is None:
            self.connections.pop(connection, None)
            self.loop.remove(connection)
        elif match[1] is None or int(match[1]) < self.index:
            self._answer(connection, int(match[1]) if match[1] else None)
        else:
            self.connections[connection] = int(match[1])
            moment = self.loop.now() + int(match[2]) / 1000
            self.loop.call_at(moment, lambda: self._end_wait(connection, int(match[1])))

    def _end_wait(self, connection: socket.socket, after: int) -> None:
        if self.connections.get(connection) == after == self.index:
            self._answer(connection, after)

    def _answer(self, connection: socket.socket, after: int | None) -> None:
        listed = [entry for name, entry in self.entries.items() if after is None or self.changed_at[name] > after]
        if after is None:
            listed = [entry for entry in listed if entry["status"] != "left"]
        body = msgspec.json.encode({"index": self.index, "snapshot": after is None, "endpoints": listed})
        self.connections[connection] = None
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )
