"""A stand-in discovery service on HTTP/1.1 that can be down, silent or slow, and that answers in pieces.

Each relay speaks to a port of its own, so that the record tells who was told what; the list is one.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Any

import msgspec

from scaledeal.lab.soak.history import ListWritten, StateChange

_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1")
PIECES = 3  # pieces of an answer
SLOW = 0.8  # seconds that an answer takes where discovery is slow


class ListedServer(msgspec.Struct):
    """One server as it is listed; its address depends on who asks."""

    name: str
    zone: str
    cell: int
    status: str = "active"
    since: float = 0.0  # Unix seconds of its start, 0 for long ago
    index: int = 1  # of its last change


class Catalog:
    """The list, its version, and who waits for news of it."""

    def __init__(self, now: Callable[[], float], record: Callable[[StateChange], None]) -> None:
        self.now, self.record = now, record
        self.index = 1
        self.servers: dict[str, ListedServer] = {}
        self.waiting: set[asyncio.Event] = set()

    def change(self, name: str, zone: str, cell: int, status: str, since: float) -> None:
        """List a server, or change what is listed of it."""
        self.index += 1
        self.servers[name] = ListedServer(name, zone, cell, status, since, self.index)
        self.record(StateChange(name, status, self.now(), self.index, since))
        for event in self.waiting:
            event.set()

    def news(self, after: int | None) -> list[ListedServer]:
        """Return what has changed since a version, or the whole list."""
        if after is None:
            return [each for each in self.servers.values() if each.status != "left"]
        return [each for each in self.servers.values() if each.index > after]


class DiscoveryEndpoint:
    """One relay's way to discovery: a port, and what is wrong with it."""

    def __init__(
        self, relay: str, catalog: Catalog, address_of: Callable[[str, str], str], record: Callable[[ListWritten], None]
    ) -> None:
        """``address_of`` returns where a relay finds a server; ``record`` hears of each list that is written."""
        self.relay, self.catalog = relay, catalog
        self.address_of, self.record = address_of, record
        self.incarnation = 0
        self.slow = False
        self.port = 0
        self._listeners: list[asyncio.Server] = []  # the newest last: the one that the configuration names
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_down = False
        self._calls: dict[asyncio.StreamWriter, bool] = {}  # open connections, and whether they fell silent

    @property
    def address(self) -> str:
        """Return where the relay calls."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Take calls at a port of its own."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listeners.append(listener)
        self.port = listener.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Take calls at a further port too, which is the address from now on."""
        await self.open()

    async def close(self) -> None:
        """Be gone, with all calls."""
        for listener in self._listeners:
            listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def down(self) -> None:
        """Break the calls that wait, and every new one."""
        self._is_down = True
        for writer in self._calls:
            writer.transport.abort()

    def up(self) -> None:
        """Answer again."""
        self._is_down = False

    def fall_silent(self) -> None:
        """Never answer what is open now."""
        for writer in self._calls:
            self._calls[writer] = True

    def whole_list(self) -> dict[str, Any]:
        """Return the list as a configuration file holds it."""
        return self._document(None)

    def _document(self, after: int | None) -> dict[str, Any]:
        return {
            "index": self.catalog.index,
            "snapshot": after is None,
            "endpoints": [
                {
                    "name": each.name,
                    "address": self.address_of(self.relay, each.name),
                    "zone": each.zone,
                    "type": "m",
                    "group": each.cell,
                    "status": each.status,
                    "weight": 1.0,
                    "since_ms": int(each.since * 1000),
                }
                for each in self.catalog.news(after)
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
            while call := await self._call(reader):
                await self._answer(call, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller left, or the soak is over
        finally:
            del self._calls[writer]
            writer.close()

    async def _call(self, reader: asyncio.StreamReader) -> re.Match[bytes] | None:
        head = await reader.readuntil(b"\r\n\r\n")
        return _CALL.match(head)

    async def _answer(self, call: re.Match[bytes], writer: asyncio.StreamWriter) -> None:
        after = int(call[1]) if call[1] else None
        if after is not None and after >= self.catalog.index:
            await self._wait(int(call[2]) / 1000)
        if self.slow:
            await asyncio.sleep(SLOW)
        if self._calls[writer]:
            await asyncio.Event().wait()  # it fell silent
        index = self.catalog.index
        body = msgspec.json.encode(self._document(after))
        answer = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)) + body
        size = -(-len(answer) // PIECES)
        for start in range(0, len(answer), size):
            writer.write(answer[start : start + size])
            await writer.drain()
        self.record(ListWritten(self.relay, self.incarnation, self.catalog.now(), index))

    async def _wait(self, seconds: float) -> None:
        event = asyncio.Event()
        self.catalog.waiting.add(event)
        try:
            await asyncio.wait_for(event.wait(), seconds)
        except TimeoutError:
            pass
        finally:
            self.catalog.waiting.discard(event)
