"""Discovery's list of application servers, kept up by a long-poll watch over HTTP/1.1."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from scaledeal import interface as api
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.roster import Calendar, Roster, entries
from scaledeal.net.watch_times import BODY, WatchTimes

log = logging.getLogger("scaledeal.discovery")

Tell = Callable[[api.Membership, dict[str, str]], None]


class DiscoveryWatch:
    """One watch at a time, which begins with a call that doesn't wait.

    A watch that falls silent is opened anew at once. Any other failure ends it: it is told as LOST and made good when
    the decision module says so, but for an agent on this machine, which is asked again and again at no cost.
    It speaks with one discovery. Another discovery is another watch: its versions are counted on its own.
    """

    def __init__(self, reactor: Reactor, host: str, port: int, zones: tuple[str, ...], calendar: Calendar,
                 tell: Tell, times: WatchTimes) -> None:
        self.reactor = reactor
        self.base = f"http://{host}:{port}/catalog/members"
        self.zones = zones
        self.calendar = calendar
        self.tell = tell
        self.times = times
        self.index: int | None = None  # version of the list held; none before the whole list has come
        self.watching = False
        self.closed = False
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False  # a failed call is made again here, or where the decision module says so
        self.pool.maxPersistentPerHost = 1
        self.agent: Any = Agent(reactor, connectTimeout=2.0, pool=self.pool)
        self.asked: Deferred[Any] | None = None  # the call that is out
        self.waits = 0.0  # seconds that it may wait for news
        self.begun = False  # whether its answer has begun
        self.timer: Timer | None = None  # ends the call that is out, or begins the next one of an agent

    def start_with(self, known: Roster, whole: bool) -> None:
        """Tell the list as it was last held, and go on from there or ask for the whole of it."""
        self.index = None if whole else known.index
        self._tell(api.MembershipKind.INITIAL, known)

    def watch(self) -> None:
        """Ask for changes from here on, until a call fails; for the whole list where none is held yet."""
        if not self.watching and not self.closed:
            self.watching = True
            self._call(0.0)

    def close(self) -> None:
        """End the watch for good; a late answer or failure of it touches nothing."""
        self.closed = True
        self._stop_timer()
        if self.asked is not None:
            self.asked.cancel()
        self.pool.closeCachedConnections()

    def _call(self, waits: float) -> None:
        self.waits, self.begun = waits, False
        query = "" if self.index is None else f"?after={self.index}&wait_ms={int(waits * 1000)}"
        asked: Deferred[Any] = self.agent.request(b"GET", (self.base + query).encode())
        self.asked = asked
        self._give_up_after(self.times.patience(waits), asked)
        asked.addCallback(self._read, asked)
        asked.addCallbacks(self._answered, self._failed)
        asked.addErrback(lambda failure: log.error("discovery list could not be told: %s", failure.getTraceback()))

    def _give_up_after(self, patience: float, asked: Deferred[Any]) -> None:
        self._stop_timer()
        self.timer = self.reactor.callLater(patience, asked.cancel)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _read(self, response: Any, asked: Deferred[Any]) -> Deferred[bytes]:
        # Guards against an answer that never ends: it may hold news, which counts as told from when it is written.
        self._give_up_after(BODY, asked)
        self.begun = True
        body: Deferred[bytes] = readBody(response)
        if response.code != 200:
            body.addCallback(lambda _: _refused(response.code))
        return body

    def _answered(self, body: bytes) -> None:
        self._stop_timer()
        if self.closed:  # guards against the list of a discovery that another has taken over from
            return
        try:
            roster = msgspec.json.decode(body, type=Roster)
        except msgspec.MsgspecError as error:
            self._lost(f"answer not understood: {error}")
            return
        if not roster.snapshot and self.index is not None and roster.index < self.index:
            # Guards against changes that no longer follow on from the list held here.
            log.warning("discovery list went back from %d to %d: asking for all of it", self.index, roster.index)
            self.index = None
            self._call(0.0)
            return
        self.index = roster.index
        if self.times.missed:
            log.info("discovery list is told again")
        self.times.answered()
        # The next call goes out before the list is told: a watch goes on only if it comes within 200 ms.
        self._call(self.times.wait())
        self._tell(api.MembershipKind.FULL if roster.snapshot else api.MembershipKind.CHANGES, roster)

    def _failed(self, failure: Failure) -> None:
        silent = self.timer is not None and not self.timer.active()
        self._stop_timer()
        why = self._missed() if silent else failure.getErrorMessage() or repr(failure.value)
        if silent and self.waits and not self.closed:
            # Guards against news that counts as told though it never came: the module would wait before it asks
            # again, and so long a watch that has fallen silent does not let it.
            log.warning("discovery watch fell silent: %s; opened anew", why)
            self._call(0.0)
        else:
            self._lost(why)

    def _missed(self) -> str:
        if self.begun:
            return f"an answer did not end within {BODY:.1f} s"
        late = self.times.patience(self.waits) - self.waits
        return f"no answer {late:.1f} s after " + (f"a wait of {self.waits:.1f} s" if self.waits else "the call")

    def _lost(self, why: str) -> None:
        self.asked = None
        if self.closed:
            self.watching = False
        elif self.times.pushed:
            # Guards against a list that counts as told once the agent is back: it is asked again all the while.
            if not self.times.missed:
                log.warning("discovery list lost: %s; the agent is asked again until it answers", why)
            self.timer = self.reactor.callLater(self.times.pause(), self._call, 0.0)
        else:
            self.watching = False
            log.warning("discovery list lost: %s", why)
            self.tell(api.Membership(api.MembershipKind.LOST), {})

    def _tell(self, kind: api.MembershipKind, roster: Roster) -> None:
        addresses = {each.name: each.address for each in roster.endpoints if each.address}
        self.tell(api.Membership(kind, entries(roster, self.zones, self.calendar)), addresses)


def _refused(code: int) -> bytes:
    raise ConnectionError(f"discovery answered {code}")
