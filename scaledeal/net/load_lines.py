"""Reads LOAD lines: the same word carries a connection's load and, at times, the delay of messages at a server.

The settings say that application servers report both (``Specifics.Notes``): the load in microseconds of work a
second, when it changes; and the delay of a message in milliseconds, once a second while it is high and one more time
when it is low again. On the wire both are ``LOAD X``, without a mark. A delay that is taken for a load makes a crowded
server look idle. Two properties tell them apart: a connection's first LOAD is its load; and delays come exactly a
second apart, at least two in a row. So a value far below the connection's load is held back, as neither, until a
second one comes or its time is over.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import msgspec

from scaledeal import interface as api
from scaledeal.net.fault_log import GOOD_VALUES_TO_RECOVER, FaultLog

log = logging.getLogger("scaledeal.reports")

MS = 1_000_000
PERIOD_NS = 1000 * MS  # between two delays of one server
PERIOD_TOLERANCE_NS = 20 * MS  # how far from a period two delays may come
MAX_SHORT_DELAY_MS = 5000.0  # longer delays come from a server that hangs, and are as large as loads
MAX_DELAY_MS = 60_000.0  # the longest delay that is recognised at all
LONG_PERIOD_TOLERANCE_NS = 5 * MS  # how far from a period two delays of a hanging server may come
MAX_LONG_DELAY_CHANGE_MS = 1500.0  # by which such a delay may differ from the one a period before
MAX_VALUE = 1e9  # us of work a second, or ms; a line with a larger value, or one below 0, is ignored
MIN_DROP_FACTOR = 10.0  # a load rarely falls to less than 1/10 of itself in one step

Reading = tuple[api.NoteKind, float]


class _Server(msgspec.Struct):
    """What is known of the delays of one application server."""

    last_at: int = -PERIOD_NS * 9  # when the last value came that may have been a delay
    confirmed: bool = False  # whether that value was a delay: then the next is due a period later
    pending: str | None = None  # the connection whose value is held back
    value: float = 0.0  # the value held back
    # When values came that may be delays of a hanging server, and these values.
    recent: deque[tuple[int, float]] = msgspec.field(default_factory=lambda: deque(maxlen=64))


class LoadLines:
    """Tells loads from delays, for all connections of this relay."""

    def __init__(self, threshold_ms: float, now: Callable[[], int]) -> None:
        self.threshold_ms = threshold_ms  # servers report delays above it
        self.now = now
        self.loads: dict[str, float] = {}
        self.servers: dict[str, _Server] = {}
        self.holding_back: set[str] = set()  # servers of which a value is held back
        self.faults = FaultLog(log, "LOAD lines with an impossible value", GOOD_VALUES_TO_RECOVER)

    def read(self, server: str, connection: str, amount: float) -> Reading | None:
        """Return whether a line's value is a load or a delay, and the value.

        Return None if that is not known yet, or if the value is impossible.
        """
        if not 0 <= amount <= MAX_VALUE:
            # One such value (NaN, infinity) would spoil every sum of loads; the connection's last load stays in force.
            self.faults.record_faults({server: f"{amount:g}"})
            return None
        self.faults.record_good((server,))
        before = self.loads.get(connection)
        if before is None:
            return self._load(connection, amount)
        known = self.servers.setdefault(server, _Server())
        now = self.now()
        due = abs(now - known.last_at - PERIOD_NS) <= PERIOD_TOLERANCE_NS
        if MAX_SHORT_DELAY_MS < amount <= MAX_DELAY_MS:
            # A hanging server's delays are as large as loads; without this check they would be taken for loads.
            hangs = any(
                abs(now - at - PERIOD_NS) <= LONG_PERIOD_TOLERANCE_NS
                and abs(amount - value) <= MAX_LONG_DELAY_CHANGE_MS
                for at, value in known.recent
            )
            known.recent.append((now, amount))
            if hangs:
                return api.NoteKind.DELAY, amount
        if due and amount <= MAX_SHORT_DELAY_MS:
            self.holding_back.discard(server)
            known.last_at, known.confirmed, known.pending = now, amount > self.threshold_ms, None
            return api.NoteKind.DELAY, amount
        if amount <= MAX_SHORT_DELAY_MS and not (known.confirmed and now - known.last_at < PERIOD_NS):
            known.last_at, known.confirmed = now, False
            if amount * MIN_DROP_FACTOR < before:
                known.pending, known.value = connection, amount
                self.holding_back.add(server)
                return None
        return self._load(connection, amount)

    def settle(self) -> list[tuple[str, float]]:
        """Return the held-back values that no second one followed in time, with their connections.

        They are loads, and recorded as such.
        """
        settled = []
        for server in list(self.holding_back):
            known = self.servers[server]
            if known.pending is not None and self.now() - known.last_at > PERIOD_NS + PERIOD_TOLERANCE_NS:
                if known.pending in self.loads:
                    self.loads[known.pending] = known.value
                    settled.append((known.pending, known.value))
                known.pending = None
                self.holding_back.discard(server)
        return settled

    def forget(self, connection: str) -> None:
        """Drop the load of a connection that is over."""
        self.loads.pop(connection, None)

    def forget_server(self, server: str) -> None:
        """Forget a server that has left the list, but for a value of it that is held back."""
        if server not in self.holding_back:
            self.servers.pop(server, None)

    def _load(self, connection: str, amount: float) -> Reading:
        self.loads[connection] = amount
        return api.NoteKind.LOAD, amount
