"""Has connections that send much take turns, so that hundreds of them hold up others by one round's share alone."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from scaledeal.net.ports import Reactor

TURNS_PER_ROUND = 32  # connections that are read on in each round of the reactor


class Reader(Protocol):
    """A connection that has sent much in one read, and waits for its next turn."""

    reactor: Reactor

    def read_on(self) -> None:
        """Read again, unless the connection has been paused or closed otherwise meanwhile."""


class ReadingTurns:
    """The connections that wait for their turn, in its order; each waits once at a time."""

    def __init__(self) -> None:
        self._waiting: deque[Reader] = deque()
        self._scheduled = False

    def wait(self, reader: Reader) -> None:
        """Have a connection, which has stopped reading, read on at its turn."""
        self._waiting.append(reader)
        self._schedule(reader.reactor)

    def _schedule(self, reactor: Reactor) -> None:
        if not self._scheduled:
            self._scheduled = True
            reactor.callLater(0, self._next_round, reactor)

    def _next_round(self, reactor: Reactor) -> None:
        self._scheduled = False
        for _ in range(min(TURNS_PER_ROUND, len(self._waiting))):
            self._waiting.popleft().read_on()
        if self._waiting:
            self._schedule(reactor)
