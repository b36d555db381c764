"""The driver's view of a QUIC flow: an agent that gives its final answer, and one attempt at a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from scaledeal import interface as api
from scaledeal.net.ports import Timer
from scaledeal.net.sides import AttemptEvents, PausedConnection
from scaledeal.net.transaction import Transaction
from scaledeal.quic.core.table import Flow
from scaledeal.quic.wire import frames

if TYPE_CHECKING:
    from scaledeal.quic.sockets.side import QuicSide

MS = 1_000_000


class QuicAttempt:
    """One attempt at a tile server; it owns the timer of its wait, the router owns its path."""

    def __init__(self, side: QuicSide, flow: Flow, events: AttemptEvents) -> None:
        self.side = side
        self.flow = flow
        self.events = events
        self.timer: Timer | None = None
        self.stands = False
        self.done = False

    def begin(self, wait: int) -> QuicAttempt:
        """Send all that the client has sent; the whole attempt may wait so many nanoseconds."""
        self.timer = self.side.reactor.callLater(wait / 1e9, self.failed, api.Result.TIMEOUT)
        sent = self.side.carry_out(self.side.router.attempt(self.flow, self.events.server, self.side.now()))
        if sent and self.flow.attempt is not None:
            self.events.request_written()
        else:
            # Later, as the transaction does not hold this attempt yet.
            self.side.reactor.callLater(0, self.failed, api.Result.CONNECT_FAILED)
        return self

    def failed(self, result: api.Result) -> None:
        """End the attempt, towards its server first, and tell how it ended."""
        if not self.done and not self.stands:
            self.side.carry_out(self.side.router.end_attempt(self.flow))
            self._over(result)

    def served(self) -> None:
        """Hear that the server's first flight has reached the client."""
        self._stop_timer()
        self.stands = True
        self.events.established()

    def lost(self) -> None:
        """Hear that the server of a flow that stands is gone."""
        if not self.done:
            self._over(api.Result.RESET)

    # What the transaction calls

    def give_up(self) -> None:
        """Stop waiting."""
        self.failed(api.Result.CANCELLED)

    def withdraw(self, result: api.Result = api.Result.CONNECT_FAILED) -> None:
        """Send nothing more to a server that wants nothing new or whose client left, unless it answers what it has."""
        if not self.stands:
            self.side.router.freeze(self.flow)

    def leave(self, broke: bool) -> None:
        """Be done: the user agent's side is over."""
        if not self.done:
            self._over(api.Result.CANCELLED)

    def client_ended_sending(self) -> None:
        """Do nothing: QUIC's half-closes are the endpoints' own."""

    def silent_since(self) -> int:
        """Return 0: what waits for an answer can't be told from outside of the encryption."""
        return 0

    def break_off(self) -> None:
        """Never called, as nothing is silent here."""

    # Inside

    def _over(self, result: api.Result) -> None:
        self.done = True
        self._stop_timer()
        self.events.attempt_ended(result, (), False)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class QuicAgent:
    """The client of one flow."""

    def __init__(self, side: QuicSide, flow: Flow) -> None:
        self.side = side
        self.flow = flow
        self.transaction: Transaction | None = None
        self.current: QuicAttempt | None = None

    def begin_attempt(self, address: str, wait: int, events: AttemptEvents) -> QuicAttempt:
        """Start one attempt."""
        self.current = QuicAttempt(self.side, self.flow, events)
        return self.current.begin(wait)

    def stands(self, transaction: Transaction) -> None:
        """Stand from the beginning: an id says that the flow does."""
        self.transaction = transaction
        self.current = QuicAttempt(self.side, self.flow, transaction)
        self.current.stands = True
        transaction.current = self.current

    def refuse(self, retry_after: int) -> None:
        """Answer CONNECTION_REFUSED; its reason says when to come again, where that is known."""
        wait = -(-retry_after // MS)
        self._answer(frames.CONNECTION_REFUSED, b"retry-after-ms=%d" % wait if wait > 0 else b"busy")

    def fail(self) -> None:
        """Answer INTERNAL_ERROR."""
        self._answer(frames.INTERNAL_ERROR, b"failed")

    def _answer(self, code: int, reason: bytes) -> None:
        self.side.carry_out(self.side.router.answer(self.flow, code, reason, self.side.now()))

    def move(self) -> None:
        """Have the client come again, or leave the flow where it is: see docs/quic.md, 'What happens when'."""
        self.side.move(self.flow)

    def ended(self, broke: bool) -> None:
        """Forget the flow."""
        self.side.carry_out(self.side.router.end(self.flow, self.side.now(), False))

    def gone(self, lost: bool) -> None:
        """Hear that the router has forgotten the flow."""
        transaction, self.transaction = self.transaction, None
        if transaction is None or self.current is None:
            return
        if lost:
            self.current.lost()
        else:
            # Guards against servers taken for draining: it is not they who ended this.
            self.side.driver.post(api.ClientGone(transaction.handle))
            transaction.client_left(False)

    def hand_over(self) -> PausedConnection | None:
        """Return None: a new version finds flows by their ids."""
        return None

    def release(self) -> None:
        """Never called, as nothing is handed over."""

    def cancel_handover(self) -> None:
        """Never called, as nothing is handed over."""
