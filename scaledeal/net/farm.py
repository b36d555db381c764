"""The farm: discovery's list of application servers, kept up by a long-poll watch over HTTP/1.1."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from scaledeal import interface as api
from scaledeal.net.ports import Reactor
from scaledeal.net.roster import Calendar, Roster, entries

log = logging.getLogger("scaledeal.farm")

WAIT_MS = 10_000  # how long discovery may wait for news
GRACE = 4.0  # seconds beyond that after which a call counts as failed

Tell = Callable[[api.Membership, dict[str, str]], None]


class Farm:
    """One watch at a time; a failure ends it, and is told as LOST.

    A farm speaks with one discovery. Another discovery is another farm: its versions are counted on its own.
    """

    def __init__(self, reactor: Reactor, host: str, port: int, zones: tuple[str, ...], calendar: Calendar,
                 tell: Tell) -> None:
        self.reactor = reactor
        self.base = f"http://{host}:{port}/catalog/members"
        self.zones = zones
        self.calendar = calendar
        self.tell = tell
        self.index: int | None = None  # version of the list held; none before the whole list has come
        self.watching = False
        self.closed = False
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False  # the decision module says when a failed call is made again
        self.pool.maxPersistentPerHost = 1
        self.agent: Any = Agent(reactor, connectTimeout=2.0, pool=self.pool)
        self.asked: Deferred[Any] | None = None  # the call that is out

    def start_with(self, known: Roster, whole: bool) -> None:
        """Tell the list as it was last held, and go on from there or ask for the whole of it."""
        self.index = None if whole else known.index
        self._tell(api.MembershipKind.INITIAL, known)

    def watch(self) -> None:
        """Ask for changes from here on, until a call fails; for the whole list where none is held yet."""
        if not self.watching and not self.closed:
            self.watching = True
            self._call()

    def close(self) -> None:
        """End the watch for good; a late answer or failure of it touches nothing."""
        self.closed = True
        if self.asked is not None:
            self.asked.cancel()
        self.pool.closeCachedConnections()

    def _call(self) -> None:
        query = "" if self.index is None else f"?after={self.index}&wait_ms={WAIT_MS}"
        asked: Deferred[Any] = self.agent.request(b"GET", (self.base + query).encode())
        self.asked = asked
        asked.addCallback(self._read)
        asked.addTimeout(WAIT_MS / 1000 + GRACE, self.reactor)  # type: ignore[arg-type]
        asked.addCallbacks(self._answered, self._failed)
        asked.addErrback(lambda failure: log.error("farm list could not be told: %s", failure.getTraceback()))

    def _read(self, response: Any) -> Deferred[bytes]:
        body: Deferred[bytes] = readBody(response)
        if response.code != 200:
            body.addCallback(lambda _: _refused(response.code))
        return body

    def _answered(self, body: bytes) -> None:
        if self.closed:  # guards against the list of a discovery that another has taken over from
            return
        try:
            roster = msgspec.json.decode(body, type=Roster)
        except msgspec.MsgspecError as error:
            self._lost(f"answer not understood: {error}")
            return
        if not roster.snapshot and self.index is not None and roster.index < self.index:
            # Guards against changes that no longer follow on from the list held here.
            log.warning("farm list went back from %d to %d: asking for all of it", self.index, roster.index)
            self.index = None
            self._call()
            return
        self.index = roster.index
        # The next call goes out before the list is told: a watch goes on only if it comes within 200 ms.
        self._call()
        self._tell(api.MembershipKind.FULL if roster.snapshot else api.MembershipKind.CHANGES, roster)

    def _failed(self, failure: Failure) -> None:
        self._lost(failure.getErrorMessage() or repr(failure.value))

    def _lost(self, why: str) -> None:
        self.watching = False
        self.asked = None
        if self.closed:
            return
        log.warning("farm list lost: %s", why)
        self.tell(api.Membership(api.MembershipKind.LOST), {})

    def _tell(self, kind: api.MembershipKind, roster: Roster) -> None:
        addresses = {each.name: each.address for each in roster.endpoints if each.address}
        self.tell(api.Membership(kind, entries(roster, self.zones, self.calendar)), addresses)


def _refused(code: int) -> bytes:
    raise ConnectionError(f"discovery answered {code}")
