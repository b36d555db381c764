"""Admission, the one owner of the relay's descriptors: which clients without a request may stay, and for how long.

A client with a request needs two descriptors, its own and its attempt's. Whoever has not asked yet, or
was turned away and has not closed, is idle: it gets what is left; when that is too little, the oldest
has to go.
"""

from __future__ import annotations

import logging
import resource
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from scaledeal.net.ports import Reactor, Timer

log = logging.getLogger("scaledeal.admission")

OWN = 58  # descriptors for the listeners, the log, discovery, the health probes, operators and those below
PROBES = 16  # of these, for health probes; what those hold beyond is counted, and given back when a client comes
CLOSING = 16  # of these, for idle clients that were told to go and are not closed yet; clients taken in one go
IDLE_SHARE = 5  # idle clients are kept to this part of all descriptors, as far as that is fair
FAIR = 0.25  # seconds that a newcomer gets to ask before it has to give way
UNSTATED = 1024  # descriptors where neither the configuration nor the system says
SUMMARY = 10.0  # seconds between two log lines on who was turned away


class IdleClient(Protocol):
    """A client's connection without a request."""

    def read_now(self) -> None:
        """Read what has come and waits for its turn."""

    def dismiss(self) -> None:
        """Answer that no request is taken here any more, and close."""

    def give_way(self) -> None:
        """Close now: the descriptor is needed."""


def most_descriptors(stated: int) -> int:
    """Return how many descriptors there are: what is stated, unless the system allows less."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = soft if soft != resource.RLIM_INFINITY else UNSTATED
    return min(stated, allowed) if stated > 0 else min(allowed, UNSTATED)


class Admission:
    """Counts clients, lets them in and has the oldest silent one give way."""

    def __init__(self, reactor: Reactor, most: int, now: Callable[[], int]) -> None:
        self.reactor = reactor
        self.most = most
        self.lent = 0  # descriptors that another process of this relay holds
        self.now = now
        self.silent: dict[IdleClient, int] = {}  # who has sent nothing of a request, and since when; the oldest first
        self.writers: dict[IdleClient, None] = {}  # who has begun to ask; who wrote last stands last
        self.going: set[IdleClient] = set()  # who was told to go
        self.asked = 0  # clients with a request or a connection that stands
        self.probing: Callable[[], int] = lambda: 0  # how many connections health probes hold
        self.end_probes: Callable[[int], None] = lambda most: None  # has them hold at most so many
        self.turned_away: Counter[str] = Counter()
        self._timer: Timer | None = None
        self._reading = False  # while what has come from a client that is to go is read

    def room(self) -> bool:
        """Make room for one more client; False if there is no descriptor for it."""
        if not self._make_room(1):
            self.count("no descriptor left")
            return False
        return True

    def room_to_ask(self) -> bool:
        """Make room for the attempt of a client that has just asked; False if there is no descriptor for it."""
        # Guards against clients that came while there was room for them, and then ask all at once.
        return self._make_room(0)

    def shed(self) -> None:
        """Have the oldest idle client go, if there is one: the system is short of descriptors or memory."""
        if (self.silent or self.writers) and not self._reading:
            self._send_away_oldest()

    def _make_room(self, more: int) -> bool:
        if self._full(more) and self._probing():
            self.end_probes(PROBES)
        if self._reading:  # whoever is idle still goes, if need be, once this has been read
            return self._free() >= 0
        # Guards against hundreds of silent connections taking the descriptors of those who ask.
        while (self.silent or self.writers) and (self._full(more) or self._crowded()):
            self._send_away_oldest()
        return not self._full(more)

    def _send_away_oldest(self) -> None:
        group = self.silent or self.writers
        oldest = next(iter(group))
        # Guards against a request that has come, and is shut unread; one read here sends nobody else away.
        self._reading = True
        try:
            oldest.read_now()
        finally:
            self._reading = False
        if oldest in group:
            self.leave(oldest)
            self.going.add(oldest)
            self.count("gave way")
            oldest.give_way()

    def enter(self, client: IdleClient) -> None:
        """Take a new client."""
        self.silent[client] = self.now()

    def writes(self, client: IdleClient) -> None:
        """Hear that an idle client goes on writing its request."""
        # Guards against a client that takes 2 s to write being taken for one of a silent crowd.
        if client not in self.going:
            self.silent.pop(client, None)
            self.writers.pop(client, None)
            self.writers[client] = None

    def has_asked(self, client: IdleClient) -> None:
        """Hear that an idle client has a request: it is no longer idle."""
        self.leave(client)
        self.asked += 1

    def has_ended(self) -> None:
        """Hear that the connection of a client that had asked is over."""
        self.asked -= 1

    def leave(self, client: IdleClient) -> None:
        """Hear that an idle client's connection is over."""
        self.silent.pop(client, None)
        self.writers.pop(client, None)
        self.going.discard(client)

    def close(self) -> None:
        """Dismiss all who have no request: the process is to go."""
        for client in [*self.silent, *self.writers]:
            client.dismiss()

    def count(self, why: str) -> None:
        """Count a client that was turned away; a line for each would be a second flood."""
        self.turned_away[why] += 1
        if self._timer is None:
            self._timer = self.reactor.callLater(SUMMARY, self._tell)

    def spare(self) -> int:
        """Return how many descriptors stay free if nobody new comes and all idle clients ask."""
        return max(0, self.most - OWN - self._going() - self._probing() - 2 * (self.present() + self.asked))

    def for_probes(self) -> int:
        """Return how many connections health probes may hold: their own, and half of what no client needs."""
        # Guards against a list of hundreds of servers whose probe connections, kept a while, pass the limit.
        return PROBES + max(0, self.most - self.lent - OWN - self._going() - 2 * (self.present() + self.asked)) // 2

    def present(self) -> int:
        """Return how many have no request."""
        return len(self.silent) + len(self.writers)

    def _going(self) -> int:
        return max(0, len(self.going) - CLOSING)

    def _probing(self) -> int:
        return max(0, self.probing() - PROBES)

    def _free(self) -> int:
        """Return how many descriptors are left for clients without a request."""
        return self.most - self.lent - OWN - self._going() - self._probing() - 2 * self.asked

    def _full(self, more: int) -> bool:
        return self.present() + more > self._free()

    def _crowded(self) -> bool:
        longest = self.now() - next(iter(self.silent.values()), self.now())
        return self.present() >= (self.most - self.lent) // IDLE_SHARE and longest > FAIR * 1e9

    def _tell(self) -> None:
        self._timer = None
        told = ", ".join(f"{count} {why}" for why, count in sorted(self.turned_away.items()))
        self.turned_away.clear()
        log.info("turned away in %d s: %s", SUMMARY, told)
