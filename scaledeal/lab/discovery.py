"""A stand-in for discovery: the list of tile servers over HTTP/1.1, with a long-poll watch."""

from __future__ import annotations

import re
import socket
from typing import Any

import msgspec

from scaledeal.lab.loop import Loop

_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1")


class Discovery:
    """Lists what it is told to; a watch hears of a change at once."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.callers: dict[socket.socket, int | None] = {}  # who waits, and after which version
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        loop.read(self.sock, self._accept)

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def put(self, name: str, address: str, status: str = "active") -> None:
        """List a tile server, or change its entry."""
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
        self.changed[name] = self.index
        for caller, after in list(self.callers.items()):
            if after is not None:
                self._answer(caller, after)

    def _accept(self) -> None:
        caller = self.sock.accept()[0]
        self.callers[caller] = None
        self.loop.read(caller, lambda: self._call(caller))

    def _call(self, caller: socket.socket) -> None:
        try:
            data = caller.recv(65_536)
        except OSError:
            data = b""
        found = _CALL.match(data)
        if found is None:
            self.callers.pop(caller, None)
            self.loop.forget(caller)
        elif found[1] is None or int(found[1]) < self.index:
            self._answer(caller, int(found[1]) if found[1] else None)
        else:
            self.callers[caller] = int(found[1])
            moment = self.loop.now() + int(found[2]) / 1000
            self.loop.at(moment, lambda: self._time_up(caller, int(found[1])))

    def _time_up(self, caller: socket.socket, after: int) -> None:
        if self.callers.get(caller) == after == self.index:
            self._answer(caller, after)

    def _answer(self, caller: socket.socket, after: int | None) -> None:
        listed = [entry for name, entry in self.entries.items() if after is None or self.changed[name] > after]
        if after is None:
            listed = [entry for entry in listed if entry["status"] != "left"]
        body = msgspec.json.encode({"index": self.index, "snapshot": after is None, "endpoints": listed})
        self.callers[caller] = None
        caller.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )
