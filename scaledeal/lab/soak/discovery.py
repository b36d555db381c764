"""A simulated discovery service on HTTP/1.1 that can be down, silent or slow, and that writes its answers in pieces.

Each relay calls a port of its own, so that the history shows which list each relay received; all ports serve the same
catalog.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Any

import msgspec

from scaledeal.lab.soak.history import ListWritten, StateChange

_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1")
PIECES_PER_ANSWER = 3
SLOW_ANSWER_DELAY_S = 0.8  # added to an answer while discovery is slow


class ListedServer(msgspec.Struct):
    """One listed server; its address depends on the relay that asks."""

    name: str
    zone: str
    cell: int
    status: str = "active"
    since: float = 0.0  # Unix time of its start in seconds; 0 if it started long ago
    index: int = 1  # index of its last change


class Catalog:
    """The listed servers, the index of the last change, and the calls that wait for a change."""

    def __init__(self, now: Callable[[], float], record: Callable[[StateChange], None]) -> None:
        self.now, self.record = now, record
        self.index = 1
        self.servers: dict[str, ListedServer] = {}
        self.waiters: set[asyncio.Event] = set()

    def change(self, name: str, zone: str, cell: int, status: str, since: float) -> None:
        """List a server or change its entry, and wake the waiting calls."""
        self.index += 1
        self.servers[name] = ListedServer(name, zone, cell, status, since, self.index)
        self.record(StateChange(name, status, self.now(), self.index, since))
        for event in self.waiters:
            event.set()

    def changed_after(self, after: int | None) -> list[ListedServer]:
        """Return the servers that changed after index ``after``, or if it is None all servers that have not left."""
        if after is None:
            return [server for server in self.servers.values() if server.status != "left"]
        return [server for server in self.servers.values() if server.index > after]


class DiscoveryEndpoint:
    """The discovery service as one relay reaches it: its ports and their faults."""

    def __init__(
        self,
        relay: str,
        catalog: Catalog,
        address_of: Callable[[str, str], str],
        record_list: Callable[[ListWritten], None],
    ) -> None:
        """``address_of`` maps a relay and a server to an address; ``record_list`` is called for each written list."""
        self.relay, self.catalog = relay, catalog
        self.address_of, self.record_list = address_of, record_list
        self.incarnation = 0
        self.slow = False
        self.port = 0
        self._listeners: list[asyncio.Server] = []  # the configuration names the last one
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_down = False
        self._calls: dict[asyncio.StreamWriter, bool] = {}  # open connections; True if no call on them is answered

    @property
    def address(self) -> str:
        """Return the address that the relay is to call."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listen on a new port, which becomes the address."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listeners.append(listener)
        self.port = listener.sockets[0].getsockname()[1]

    async def open_new_port(self) -> None:
        """Listen on a further port, which becomes the address; earlier ports stay open."""
        await self.open()

    async def close(self) -> None:
        """Close all listeners and cancel all calls."""
        for listener in self._listeners:
            listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start_outage(self) -> None:
        """Abort all open connections, and every new one until the outage ends."""
        self._is_down = True
        for writer in self._calls:
            writer.transport.abort()

    def end_outage(self) -> None:
        """Accept connections again."""
        self._is_down = False

    def silence_open_connections(self) -> None:
        """Leave every call on the connections that are open now unanswered."""
        for writer in self._calls:
            self._calls[writer] = True

    def full_list(self) -> dict[str, Any]:
        """Return the full list in the format of a configuration file."""
        return self._document(None)

    def _document(self, after: int | None) -> dict[str, Any]:
        return {
            "index": self.catalog.index,
            "snapshot": after is None,
            "endpoints": [
                {
                    "name": server.name,
                    "address": self.address_of(self.relay, server.name),
                    "zone": server.zone,
                    "type": "m",
                    "group": server.cell,
                    "status": server.status,
                    "weight": 1.0,
                    "since_ms": int(server.since * 1000),
                }
                for server in self.catalog.changed_after(after)
            ],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._is_down:
            writer.transport.abort()
            return
        self._calls[writer] = False
        try:
            while call := await self._read_call(reader):
                await self._write_answer(call, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the relay closed the connection, or the soak is over
        finally:
            del self._calls[writer]
            writer.close()

    async def _read_call(self, reader: asyncio.StreamReader) -> re.Match[bytes] | None:
        head = await reader.readuntil(b"\r\n\r\n")
        return _CALL.match(head)

    async def _write_answer(self, call: re.Match[bytes], writer: asyncio.StreamWriter) -> None:
        after = int(call[1]) if call[1] else None
        if after is not None and after >= self.catalog.index:
            await self._wait_for_change(int(call[2]) / 1000)
        if self.slow:
            await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        if self._calls[writer]:
            await asyncio.Event().wait()  # never returns: the connection was silenced
        index = self.catalog.index
        body = msgspec.json.encode(self._document(after))
        answer = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)) + body
        size = -(-len(answer) // PIECES_PER_ANSWER)
        for start in range(0, len(answer), size):
            writer.write(answer[start : start + size])
            await writer.drain()
        self.record_list(ListWritten(self.relay, self.incarnation, self.catalog.now(), index))

    async def _wait_for_change(self, seconds: float) -> None:
        event = asyncio.Event()
        self.catalog.waiters.add(event)
        try:
            await asyncio.wait_for(event.wait(), seconds)
        except TimeoutError:
            pass
        finally:
            self.catalog.waiters.discard(event)
