"""Reads LOAD lines: the same words carry a connection's load and, at times, the time a message takes.

The settings say that application servers tell both (``Specifics.Notes``): the load in microseconds of work a
second, when it changes, and the milliseconds that a message takes there, once a second while they are many
and once more when they are few again. On the wire both come as ``LOAD X``, without a mark. Taken for a load,
a time makes a crowded server look idle. What tells them apart: a connection's first LOAD is its load, and
times come exactly a second apart, at least two in a row; so a value far under the connection's load waits
for a second one before it counts as either.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import msgspec

from scaledeal import interface as api
from scaledeal.net.fault_log import SOUND, FaultLog

log = logging.getLogger("scaledeal.reports")

MS = 1_000_000
PERIOD = 1000 * MS
JITTER = 20 * MS  # how far from a period two times may come
LONGEST = 5000.0  # ms; longer times are told of a server that hangs, and lie among the loads
HANGS = 60_000.0  # ms; the longest time that is looked for at all
CLOSE = 5 * MS  # how far from a period two such times may come
GROWTH = 1500.0  # ms by which such a time may differ from the one a period before
MOST = 1e9  # us of work a second, or ms; past it, or below 0, a line tells nothing
FAR_UNDER = 10.0  # a load falls to less than this fraction of itself in one step only rarely

Told = tuple[api.NoteKind, float]


class _Server(msgspec.Struct):
    """What is known of one application server's times."""

    last_at: int = -PERIOD * 9  # when a value came that may have been a time
    sure: bool = False  # whether it was one: then the next is due a period later
    doubt: str | None = None  # the connection whose value waits, and that value
    value: float = 0.0
    recent: deque[tuple[int, float]] = msgspec.field(default_factory=lambda: deque(maxlen=64))


class LoadLines:
    """Tells loads from times, for all connections of this relay."""

    def __init__(self, least: float, now: Callable[[], int]) -> None:
        self.least = least  # ms past which times are told
        self.now = now
        self.loads: dict[str, float] = {}
        self.servers: dict[str, _Server] = {}
        self.faults = FaultLog(log, "LOAD lines with a load that can't be", SOUND)

    def read(self, server: str, connection: str, amount: float) -> Told | None:
        """Return what a line tells; None where that shows only later, or where it can't be."""
        if not 0 <= amount <= MOST:
            # Guards against one line that leaves no sum of loads a number: the connection's last load stays.
            self.faults.bad({server: f"{amount:g}"})
            return None
        self.faults.good((server,))
        before = self.loads.get(connection)
        if before is None:
            return self._load(connection, amount)
        known = self.servers.setdefault(server, _Server())
        now = self.now()
        due = abs(now - known.last_at - PERIOD) <= JITTER
        if LONGEST < amount <= HANGS:
            # Guards against a server that hangs being told as loads: its times are as large as loads are.
            hangs = any(abs(now - at - PERIOD) <= CLOSE and abs(amount - value) <= GROWTH for at, value in known.recent)
            known.recent.append((now, amount))
            if hangs:
                return api.NoteKind.DELAY, amount
        if due and amount <= LONGEST:
            known.last_at, known.sure, known.doubt = now, amount > self.least, None
            return api.NoteKind.DELAY, amount
        if amount <= LONGEST and not (known.sure and now - known.last_at < PERIOD):
            known.last_at, known.sure = now, False
            if amount * FAR_UNDER < before:
                known.doubt, known.value = connection, amount
                return None
        return self._load(connection, amount)

    def settle(self) -> list[tuple[str, float]]:
        """Return the values that waited for a second one in vain, with their connections: they are loads."""
        settled = []
        for known in self.servers.values():
            if known.doubt is not None and self.now() - known.last_at > PERIOD + JITTER:
                if known.doubt in self.loads:
                    self.loads[known.doubt] = known.value
                    settled.append((known.doubt, known.value))
                known.doubt = None
        return settled

    def forget(self, connection: str) -> None:
        """Drop what is known of a connection that is over."""
        self.loads.pop(connection, None)

    def _load(self, connection: str, amount: float) -> Told:
        self.loads[connection] = amount
        return api.NoteKind.LOAD, amount
