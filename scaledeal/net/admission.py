"""Admission control for client connections, within the relay's limit on open file descriptors.

A client with a request needs two descriptors: its own and that of its attempt. A client that has not yet sent a
request, or that was turned away and has not closed yet, is idle. Idle clients get the descriptors that are left;
when there are too few, the oldest idle client is evicted.
"""

from __future__ import annotations

import logging
import resource
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from scaledeal.net.ports import Reactor, Timer

log = logging.getLogger("scaledeal.admission")

RESERVED_DESCRIPTORS = 58  # descriptors for the listeners, the log, discovery, operators and the two allowances below
# Of these, for health probes. Probe connections beyond this number are counted, and closed when a client needs room.
RESERVED_FOR_PROBES = 16
# Of these, for evicted clients whose sockets are not closed yet; also the most clients accepted in one round.
RESERVED_FOR_CLOSING = 16
IDLE_SHARE_DIVISOR = 5  # idle clients are limited to 1/5 of all descriptors, but not before IDLE_GRACE_S
IDLE_GRACE_S = 0.25  # time in which a new client can send its request before it is evicted for that limit
DEFAULT_DESCRIPTORS = 1024  # where neither the configuration nor the system sets a limit
SUMMARY_INTERVAL_S = 10.0  # between two log lines on clients that were turned away


class IdleClient(Protocol):
    """A client's connection without a request."""

    def read_pending(self) -> None:
        """Read the bytes that have arrived but are not read yet."""

    def dismiss(self) -> None:
        """Answer that no request is accepted any more, and close."""

    def close_now(self) -> None:
        """Close at once, to free the descriptor."""


def descriptor_limit(configured: int) -> int:
    """Return the number of usable descriptors: the configured one, or the system's soft limit if that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = soft if soft != resource.RLIM_INFINITY else DEFAULT_DESCRIPTORS
    return min(configured, allowed) if configured > 0 else min(allowed, DEFAULT_DESCRIPTORS)


class Admission:
    """Counts clients, admits them and evicts the oldest idle one when descriptors run short."""

    def __init__(self, reactor: Reactor, limit: int, now: Callable[[], int]) -> None:
        self.reactor = reactor
        self.limit = limit
        self.lent = 0  # descriptors that another process of this relay holds
        self.now = now
        self.silent: dict[IdleClient, int] = {}  # clients that sent no part of a request: time of connecting, in order
        self.writers: dict[IdleClient, None] = {}  # clients that sent a part of a request; the latest to write is last
        self.closing: set[IdleClient] = set()  # evicted clients whose connections are not over yet
        self.active = 0  # clients with a request or an established connection
        self.probe_connections: Callable[[], int] = lambda: 0  # returns how many connections health probes hold
        self.limit_probes: Callable[[int], None] = lambda limit: None  # closes probe connections down to this number
        self.turned_away: Counter[str] = Counter()
        self._timer: Timer | None = None
        self._reading = False  # while pending bytes of a client about to be evicted are read

    def admit_client(self) -> bool:
        """Make room for one more client; return False if there is no descriptor for it."""
        if not self._make_room(1):
            self.count_turned_away("no descriptor left")
            return False
        return True

    def admit_request(self) -> bool:
        """Make room for the attempt of a client that has sent its request; return False if there is no descriptor."""
        # Clients that were admitted while there was room may all send their requests at once.
        return self._make_room(0)

    def evict_oldest(self) -> None:
        """Evict the oldest idle client, if there is one: the system is short of descriptors or memory."""
        if (self.silent or self.writers) and not self._reading:
            self._evict_oldest()

    def _make_room(self, more: int) -> bool:
        if self._full(more) and self._extra_probes():
            self.limit_probes(RESERVED_FOR_PROBES)
        if self._reading:  # the caller's loop evicts further idle clients, if need be, once the bytes are read
            return self._free() >= 0
        # Otherwise hundreds of silent connections would hold the descriptors that clients with requests need.
        while (self.silent or self.writers) and (self._full(more) or self._crowded()):
            self._evict_oldest()
        return not self._full(more)

    def _evict_oldest(self) -> None:
        group = self.silent or self.writers
        oldest = next(iter(group))
        # A request that has already arrived would be closed unread, so pending bytes are read first.
        # A request found by this read evicts no other client.
        self._reading = True
        try:
            oldest.read_pending()
        finally:
            self._reading = False
        if oldest in group:
            self.remove(oldest)
            self.closing.add(oldest)
            self.count_turned_away("evicted while idle")
            oldest.close_now()

    def add(self, client: IdleClient) -> None:
        """Add a new client as silent."""
        self.silent[client] = self.now()

    def record_write(self, client: IdleClient) -> None:
        """Record that an idle client has sent a further part of its request."""
        # A client that takes 2 s to write its request must not be evicted with a crowd of silent ones.
        if client not in self.closing:
            self.silent.pop(client, None)
            self.writers.pop(client, None)
            self.writers[client] = None

    def request_received(self, client: IdleClient) -> None:
        """Count an idle client that has sent its request as active."""
        self.remove(client)
        self.active += 1

    def request_ended(self) -> None:
        """Record that the connection of an active client is over."""
        self.active -= 1

    def remove(self, client: IdleClient) -> None:
        """Remove an idle client: its connection is over, or it is idle no longer."""
        self.silent.pop(client, None)
        self.writers.pop(client, None)
        self.closing.discard(client)

    def close(self) -> None:
        """Dismiss all clients without a request, before the process exits."""
        for client in [*self.silent, *self.writers]:
            client.dismiss()

    def count_turned_away(self, why: str) -> None:
        """Count a client that was turned away; a log line for each would let a flood of clients flood the log."""
        self.turned_away[why] += 1
        if self._timer is None:
            self._timer = self.reactor.callLater(SUMMARY_INTERVAL_S, self._log_summary)

    def spare(self) -> int:
        """Return how many descriptors stay free if no new client comes and all idle clients send requests."""
        return max(
            0,
            self.limit
            - RESERVED_DESCRIPTORS
            - self._extra_closing()
            - self._extra_probes()
            - 2 * (self.idle_count() + self.active),
        )

    def probe_allowance(self) -> int:
        """Return how many connections health probes may hold: their reserved ones, and half of the spare ones."""
        # With a list of hundreds of servers, probe connections that are kept open would exceed the limit.
        return (
            RESERVED_FOR_PROBES
            + max(
                0,
                self.limit
                - self.lent
                - RESERVED_DESCRIPTORS
                - self._extra_closing()
                - 2 * (self.idle_count() + self.active),
            )
            // 2
        )

    def idle_count(self) -> int:
        """Return how many clients have no request."""
        return len(self.silent) + len(self.writers)

    def _extra_closing(self) -> int:
        return max(0, len(self.closing) - RESERVED_FOR_CLOSING)

    def _extra_probes(self) -> int:
        return max(0, self.probe_connections() - RESERVED_FOR_PROBES)

    def _free(self) -> int:
        """Return how many descriptors are left for clients without a request."""
        return (
            self.limit
            - self.lent
            - RESERVED_DESCRIPTORS
            - self._extra_closing()
            - self._extra_probes()
            - 2 * self.active
        )

    def _full(self, more: int) -> bool:
        return self.idle_count() + more > self._free()

    def _crowded(self) -> bool:
        longest = self.now() - next(iter(self.silent.values()), self.now())
        return self.idle_count() >= (self.limit - self.lent) // IDLE_SHARE_DIVISOR and longest > IDLE_GRACE_S * 1e9

    def _log_summary(self) -> None:
        self._timer = None
        summary = ", ".join(f"{count} {why}" for why, count in sorted(self.turned_away.items()))
        self.turned_away.clear()
        log.info("clients turned away in %d s: %s", SUMMARY_INTERVAL_S, summary)
