"""Discovery's list of application servers, kept up by a long-poll watch over HTTP/1.1."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from scaledeal import interface as api
from scaledeal.net.http_body import HeaderBound, TooLongError, read_body
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.roster import Catalog, Roster, readable
from scaledeal.net.watch_times import BODY, WatchTimes

log = logging.getLogger("scaledeal.discovery")

Tell = Callable[[api.Membership, dict[str, str]], None]

HEADER = 256 << 10  # bytes of the longest header of an answer
LIST = 4 << 20  # bytes of the longest answer: 1,024 servers, each on a line as long as the protocol allows
BUSY = 503  # what discovery answers to a call that would wait too long for its turn
TOO_LONG = "the header of an answer is longer than any"
CONNECT = 2.0  # seconds that a connection to discovery may take


class BusyError(ConnectionError):
    """Discovery answered that it has no time for this call."""


class NoListError(ConnectionError):
    """Discovery answered something else than a list."""


class DiscoveryWatch:
    """One watch at a time, which begins with a call that doesn't wait and is made good until it is closed.

    A call that falls silent is made anew at once, one that fails after a pause of ``WatchTimes``; that discovery can't
    be reached is told as LOST. It speaks with one discovery. Another is another watch: its versions are its own.
    """

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        port: int,
        catalog: Catalog,
        tell: Tell,
        times: WatchTimes,
        unix: Callable[[], float],
    ) -> None:
        self.reactor = reactor
        self.base = f"http://{host}:{port}/catalog/members"
        self.catalog = catalog
        self.tell = tell
        self.times = times
        self.unix = unix  # seconds on the clock that all machines read
        self.index: int | None = None  # version of the list held; none before the whole list has come
        self.watching = False
        self.closed = False
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False  # a failed call is made again here, at its time
        self.pool.maxPersistentPerHost = 1
        self.header = HeaderBound(reactor, CONNECT, HEADER)
        self.agent: Any = Agent.usingEndpointFactory(reactor, self.header, self.pool)
        self.asked: Deferred[Any] | None = None  # the call that is out
        self.why = ""  # why the last one failed
        self.waits = 0.0  # seconds that it may wait for news
        self.late = 0.0  # seconds after that at which it is given up
        self.begun = False  # whether its answer has begun
        self.began = 0.0  # when it was made, in ``unix``
        self.timer: Timer | None = None  # ends the call that is out, or begins the next one

    def start_with(self, known: Roster, whole: bool) -> None:
        """Tell the list as it was last held, and go on from there or ask for the whole of it."""
        self.index = None if whole else known.index
        self._tell(api.MembershipKind.INITIAL, *self.catalog.read(known, self.unix()))

    def watch(self) -> None:
        """Ask for changes from here on, until closed; for the whole list where none is held yet."""
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
        self.waits, self.begun, self.began = waits, False, self.unix()
        query = "" if self.index is None else f"?after={self.index}&wait_ms={int(waits * 1000)}"
        self.header.begins()
        asked: Deferred[Any] = self.agent.request(b"GET", (self.base + query).encode())
        self.asked = asked
        self.late = self.times.patience(waits) - waits
        self._give_up_after(waits + self.late, asked)
        asked.addCallback(self._read, asked)
        asked.addCallbacks(self._answered, self._failed)
        asked.addErrback(self._not_told, asked)

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
        self.header.ended()
        body: Deferred[bytes] = read_body(response, LIST)
        if response.code != 200:
            body.addCallback(lambda _: _refused(response.code))
        return body

    def _answered(self, body: bytes) -> None:
        self._stop_timer()
        if self.closed:  # guards against the list of a discovery that another has taken over from
            return
        try:
            roster = msgspec.json.decode(body, type=Roster)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._again(f"answer not understood: {error}", self.times.pause(0.0, False))
            if (rest := readable(body)).endpoints:
                self._tell(api.MembershipKind.CHANGES, *self.catalog.read(rest, self.unix()))
            return
        listed, addresses = self.catalog.read(roster, self.unix())
        went_back = not roster.snapshot and self.index is not None and roster.index < self.index
        # The next call goes out before the list is told: a watch goes on only if it comes within 200 ms.
        if went_back:
            # Guards against changes that no longer follow on from the list held here. What they tell counts as told.
            log.warning("discovery list went back from %d to %d: asking for all of it", self.index, roster.index)
            self.index = None
            self._call(0.0)
        else:
            self.index = roster.index
            if self.times.missed:
                log.info("discovery list is told again after %d failed calls", self.times.missed)
            self.times.answered()
            self._call(self.times.wait(self.unix()))
        self._tell(api.MembershipKind.FULL if roster.snapshot else api.MembershipKind.CHANGES, listed, addresses)

    def _tell(self, kind: api.MembershipKind, listed: tuple[api.ServerEntry, ...], addresses: dict[str, str]) -> None:
        self.tell(api.Membership(kind, listed), addresses)

    def _not_told(self, failure: Failure, asked: Deferred[Any]) -> None:
        """Guard against a fault of this relay's own that ends the watch for good."""
        log.error("discovery list could not be told: %s", failure.getTraceback())
        if self.asked is asked and not self.closed:
            self.index = None
            self._again("a fault in the relay", self.times.pause(0.0, False))

    def _failed(self, failure: Failure) -> None:
        silent = self.timer is not None and not self.timer.active()
        self._stop_timer()
        if self.closed:
            self.watching = False
        elif silent:
            self._fell_silent()
        elif failure.check(BusyError):
            self._again(failure.getErrorMessage(), self.times.refused())
        else:
            broke = failure.check(NoListError, TooLongError) is None and not self.header.too_long
            took = 0.0 if self.waits else self.unix() - self.began
            why = TOO_LONG if self.header.too_long else _reason(failure)
            self._again(why, self.times.pause(took, broke))
            if broke:
                self.tell(api.Membership(api.MembershipKind.LOST), {})

    def _fell_silent(self) -> None:
        """Guard against news that counts as told though it never came: ask again, an agent after its pause."""
        why, unheard = self._missed(), not self.begun
        if not self.times.pushed or self.waits:
            if not self.times.missed:
                log.warning("discovery watch fell silent: %s; opened anew", why)
            self.times.silent()
            self._call(0.0)
        else:
            self._again(why, self.times.pause(0.0))
        if unheard:
            self.tell(api.Membership(api.MembershipKind.LOST), {})

    def _missed(self) -> str:
        if self.begun:
            return f"an answer did not end within {BODY:.1f} s"
        return f"no answer {self.late:.1f} s after " + (f"a wait of {self.waits:.1f} s" if self.waits else "the call")

    def _again(self, why: str, pause: float) -> None:
        """Ask again after a pause; of a row of like failures the first is logged, and the number of all at its end."""
        self.asked = None
        if self.times.missed <= 1 or why != self.why:
            log.warning("discovery list lost: %s; asked again until it is told", why)
        self.why = why
        self.timer = self.reactor.callLater(pause, self._call, 0.0)


def _reason(failure: Failure) -> str:
    """Return why a call failed in one line: Twisted wraps the cause in failures, which print as tracebacks."""
    value: Any = failure.value
    while True:
        causes = (*getattr(value, "reasons", ()), *value.args)
        inner = next((cause for cause in causes if isinstance(cause, Failure)), None)
        if inner is None:
            break
        value = inner.value
    return " ".join(str(value).split()) or repr(value)


def _refused(code: int) -> bytes:
    raise (BusyError if code == BUSY else NoListError)(f"discovery answered {code}")
