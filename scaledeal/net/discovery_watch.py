"""Discovery's list of application servers, kept up to date by a long-poll watch over HTTP/1.1."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from scaledeal import interface as api
from scaledeal.net.http_body import BodyTooLongError, HeaderLimit, read_body
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.roster import Catalog, Roster, decode_readable_entries
from scaledeal.net.watch_times import BODY_TIMEOUT_S, WatchTimes

log = logging.getLogger("scaledeal.discovery")

MembershipCallback = Callable[[api.Membership, dict[str, str]], None]

MAX_HEADER_BYTES = 256 << 10
MAX_LIST_BYTES = 4 << 20  # 1,024 servers, each on a line as long as the protocol allows
BUSY_STATUS = 503  # discovery's answer to a call that would wait too long for its turn
HEADER_TOO_LONG = "the answer's header exceeds the size limit of 256 KiB"
CONNECT_TIMEOUT_S = 2.0


class BusyError(ConnectionError):
    """Discovery refused the call because it is busy."""


class UnexpectedStatusError(ConnectionError):
    """Discovery answered with a status other than 200."""


class DiscoveryWatch:
    """A watch on one discovery, with one call at a time: the first does not wait, and failed ones are retried.

    A call that times out is repeated at once, one that fails after a pause of ``WatchTimes``. That discovery can't be
    reached is reported as LOST. Another discovery needs another watch, as the versions of its list are its own.
    """

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        port: int,
        catalog: Catalog,
        report: MembershipCallback,
        times: WatchTimes,
        unix_time: Callable[[], float],
    ) -> None:
        self.reactor = reactor
        self.url = f"http://{host}:{port}/catalog/members"
        self.catalog = catalog
        self.report = report
        self.times = times
        self.unix_time = unix_time  # seconds on the clock that all machines read
        self.index: int | None = None  # version of the list held; None until a whole list has arrived
        self.watching = False
        self.closed = False
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False  # this class retries failed calls at their own times
        self.pool.maxPersistentPerHost = 1
        self.header_limit = HeaderLimit(reactor, CONNECT_TIMEOUT_S, MAX_HEADER_BYTES)
        self.http_agent: Any = Agent.usingEndpointFactory(reactor, self.header_limit, self.pool)
        self.call: Deferred[Any] | None = None  # the call that is out
        self.failure_reason = ""  # of the last failed call
        self.wait = 0.0  # seconds that the call may wait for news
        self.answer_timeout = 0.0  # seconds after that wait at which the call times out
        self.answer_started = False  # whether the answer to the call has begun
        self.call_started = 0.0  # when the call was made, in ``unix_time``
        self.timer: Timer | None = None  # ends the call that is out, or starts the next one

    def resume_from(self, known: Roster, request_whole: bool) -> None:
        """Report the last known list as INITIAL, and watch on from its version or request the whole list."""
        self.index = None if request_whole else known.index
        self._report(api.MembershipKind.INITIAL, *self.catalog.read(known, self.unix_time()))

    def watch(self) -> None:
        """Request changes from now on until closed; first the whole list if no version is held."""
        if not self.watching and not self.closed:
            self.watching = True
            self._call(0.0)

    def close(self) -> None:
        """End the watch for good; a late answer or failure of its call has no effect."""
        self.closed = True
        self._stop_timer()
        if self.call is not None:
            self.call.cancel()
        self.pool.closeCachedConnections()

    def _call(self, wait: float) -> None:
        self.wait, self.answer_started, self.call_started = wait, False, self.unix_time()
        query = "" if self.index is None else f"?after={self.index}&wait_ms={int(wait * 1000)}"
        self.header_limit.call_started()
        call: Deferred[Any] = self.http_agent.request(b"GET", (self.url + query).encode())
        self.call = call
        self.answer_timeout = self.times.timeout(wait) - wait
        self._set_timeout(wait + self.answer_timeout, call)
        call.addCallback(self._read_answer, call)
        call.addCallbacks(self._handle_answer, self._handle_failure)
        call.addErrback(self._handle_internal_error, call)

    def _set_timeout(self, timeout: float, call: Deferred[Any]) -> None:
        self._stop_timer()
        self.timer = self.reactor.callLater(timeout, call.cancel)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _read_answer(self, response: Any, call: Deferred[Any]) -> Deferred[bytes]:
        # An answer that never ends may contain news, which is presumed known from the moment at which it was written,
        # so the time that a body may take is limited.
        self._set_timeout(BODY_TIMEOUT_S, call)
        self.answer_started = True
        self.header_limit.header_complete()
        body: Deferred[bytes] = read_body(response, MAX_LIST_BYTES)
        if response.code != 200:
            body.addCallback(lambda _: _raise_status(response.code))
        return body

    def _handle_answer(self, body: bytes) -> None:
        self._stop_timer()
        if self.closed:  # another discovery has replaced this one, whose list must not be reported any more
            return
        try:
            roster = msgspec.json.decode(body, type=Roster)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._retry_after(f"answer not understood: {error}", self.times.retry_pause(0.0, False))
            if (readable := decode_readable_entries(body)).endpoints:
                self._report(api.MembershipKind.CHANGES, *self.catalog.read(readable, self.unix_time()))
            return
        listed, addresses = self.catalog.read(roster, self.unix_time())
        went_back = not roster.snapshot and self.index is not None and roster.index < self.index
        # The next call goes out before the list is reported: discovery treats a watch as continued only if the next
        # call comes within 200 ms.
        if went_back:
            # These changes do not follow on from the list held here, so the whole list is requested. They are reported
            # all the same, as what discovery has sent is presumed known.
            log.warning(
                "discovery list version went back from %d to %d: requesting the whole list", self.index, roster.index
            )
            self.index = None
            self._call(0.0)
        else:
            self.index = roster.index
            if self.times.failures:
                log.info("discovery list received again after %d failed calls", self.times.failures)
            self.times.record_answer()
            self._call(self.times.wait_time(self.unix_time()))
        self._report(api.MembershipKind.FULL if roster.snapshot else api.MembershipKind.CHANGES, listed, addresses)

    def _report(self, kind: api.MembershipKind, listed: tuple[api.ServerEntry, ...], addresses: dict[str, str]) -> None:
        self.report(api.Membership(kind, listed), addresses)

    def _handle_internal_error(self, failure: Failure, call: Deferred[Any]) -> None:
        """Retry after an exception in this relay's own code, which would otherwise end the watch for good."""
        log.error("discovery list could not be processed: %s", failure.getTraceback())
        if self.call is call and not self.closed:
            self.index = None
            self._retry_after("a fault in the relay", self.times.retry_pause(0.0, False))

    def _handle_failure(self, failure: Failure) -> None:
        timed_out = self.timer is not None and not self.timer.active()
        self._stop_timer()
        if self.closed:
            self.watching = False
        elif timed_out:
            self._handle_timeout()
        elif failure.check(BusyError):
            self._retry_after(failure.getErrorMessage(), self.times.busy_pause())
        else:
            connection_failed = (
                failure.check(UnexpectedStatusError, BodyTooLongError) is None and not self.header_limit.too_long
            )
            elapsed = 0.0 if self.wait else self.unix_time() - self.call_started
            reason = HEADER_TOO_LONG if self.header_limit.too_long else _failure_reason(failure)
            self._retry_after(reason, self.times.retry_pause(elapsed, connection_failed))
            if connection_failed:
                self.report(api.Membership(api.MembershipKind.LOST), {})

    def _handle_timeout(self) -> None:
        """Repeat a call that timed out at once, a call to an agent after its pause.

        News that never arrived is presumed known all the same, so a silent call must not delay the next one.
        """
        reason, unanswered = self._timeout_reason(), not self.answer_started
        if not self.times.pushed or self.wait:
            if not self.times.failures:
                log.warning("discovery watch timed out: %s; opened again", reason)
            self.times.record_timeout()
            self._call(0.0)
        else:
            self._retry_after(reason, self.times.retry_pause(0.0))
        if unanswered:
            self.report(api.Membership(api.MembershipKind.LOST), {})

    def _timeout_reason(self) -> str:
        if self.answer_started:
            return f"an answer did not end within {BODY_TIMEOUT_S:.1f} s"
        return f"no answer {self.answer_timeout:.1f} s after " + (
            f"a wait of {self.wait:.1f} s" if self.wait else "the call"
        )

    def _retry_after(self, reason: str, pause: float) -> None:
        """Call again after a pause, in seconds.

        Of a series of failures for the same reason only the first is logged; the number of all is logged at its end.
        """
        self.call = None
        if self.times.failures <= 1 or reason != self.failure_reason:
            log.warning("discovery call failed: %s; retrying until a list arrives", reason)
        self.failure_reason = reason
        self.timer = self.reactor.callLater(pause, self._call, 0.0)


def _failure_reason(failure: Failure) -> str:
    """Return why a call failed in one line: Twisted wraps the cause in failures, which print as tracebacks."""
    value: Any = failure.value
    while True:
        causes = (*getattr(value, "reasons", ()), *value.args)
        inner = next((cause for cause in causes if isinstance(cause, Failure)), None)
        if inner is None:
            break
        value = inner.value
    return " ".join(str(value).split()) or repr(value)


def _raise_status(status: int) -> bytes:
    raise (BusyError if status == BUSY_STATUS else UnexpectedStatusError)(f"discovery answered {status}")
