"""The driver's view of a QUIC flow: an agent that sends the final answer, and one attempt at a server."""

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

NS_PER_MS = 1_000_000


class QuicAttempt:
    """One attempt at a tile server. It owns its timeout's timer; the router owns its path."""

    def __init__(self, side: QuicSide, flow: Flow, events: AttemptEvents) -> None:
        self.side = side
        self.flow = flow
        self.events = events
        self.timer: Timer | None = None
        self.established = False
        self.ended = False

    def begin(self, timeout_ns: int) -> QuicAttempt:
        """Send the client's first flight and start the timeout, which covers the whole attempt."""
        self.timer = self.side.reactor.callLater(timeout_ns / 1e9, self.abort, api.Result.TIMEOUT)
        sent_all = self.side.carry_out(self.side.router.begin_attempt(self.flow, self.events.server, self.side.now()))
        if sent_all and self.flow.attempt_path is not None:
            self.events.request_written()
        else:
            # Deferred: the transaction refers to this attempt only after ``begin`` has returned.
            self.side.reactor.callLater(0, self.abort, api.Result.CONNECT_FAILED)
        return self

    def abort(self, result: api.Result) -> None:
        """Close the connection to the server, then report the result; do nothing once established or ended."""
        if not self.ended and not self.established:
            self.side.carry_out(self.side.router.end_attempt(self.flow))
            self._end(result)

    def server_answered(self) -> None:
        """Report the attempt as established: the server's first flight has been sent to the client."""
        self._stop_timer()
        self.established = True
        self.events.established()

    def server_gone(self) -> None:
        """End the attempt of an established flow whose server is gone."""
        if not self.ended:
            self._end(api.Result.RESET)

    # Called by the transaction

    def cancel(self) -> None:
        """Cancel the attempt before it is established."""
        self.abort(api.Result.CANCELLED)

    def withdraw(self, result: api.Result = api.Result.CONNECT_FAILED) -> None:
        """Send nothing more before the server answers: it accepts no new work, or the client has left.

        The attempt itself stays open, as the server may still answer what it has received.
        """
        if not self.established:
            self.side.router.stop_sending(self.flow)

    def client_left(self, broke: bool) -> None:
        """End the attempt after the user agent's side has ended."""
        if not self.ended:
            self._end(api.Result.CANCELLED)

    def client_ended_sending(self) -> None:
        """Do nothing: half-closed QUIC streams concern the endpoints only."""

    def is_out(self) -> bool:
        """Return whether the attempt goes on."""
        return not self.ended

    def unanswered_since(self) -> int:
        """Return 0: encryption hides which messages wait for an answer."""
        return 0

    def close_as_broken(self) -> None:
        """Do nothing; never called, as ``unanswered_since`` is always 0."""

    # Internals

    def _end(self, result: api.Result) -> None:
        self.ended = True
        self._stop_timer()
        self.events.attempt_ended(result, (), False)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class QuicAgent:
    """The user agent of one flow, as the driver sees it."""

    def __init__(self, side: QuicSide, flow: Flow) -> None:
        self.side = side
        self.flow = flow
        self.transaction: Transaction | None = None
        self.current_attempt: QuicAttempt | None = None

    def begin_attempt(self, address: str, wait: int, events: AttemptEvents) -> QuicAttempt:
        """Start one attempt; the router looks the server's address up itself."""
        self.current_attempt = QuicAttempt(self.side, self.flow, events)
        return self.current_attempt.begin(wait)

    def adopt(self, transaction: Transaction) -> None:
        """Attach the transaction of an adopted flow, with an attempt that is established from the beginning."""
        self.transaction = transaction
        self.current_attempt = QuicAttempt(self.side, self.flow, transaction)
        self.current_attempt.established = True
        transaction.current = self.current_attempt

    def refuse(self, retry_after: int) -> None:
        """Answer CONNECTION_REFUSED; the reason phrase holds the time before a retry, if it is known."""
        retry_after_ms = -(-retry_after // NS_PER_MS)
        self._reject(
            frames.CONNECTION_REFUSED, b"retry-after-ms=%d" % retry_after_ms if retry_after_ms > 0 else b"busy"
        )

    def fail(self) -> None:
        """Answer INTERNAL_ERROR."""
        self._reject(frames.INTERNAL_ERROR, b"failed")

    def _reject(self, code: int, reason: bytes) -> None:
        self.side.carry_out(self.side.router.reject(self.flow, code, reason, self.side.now()))

    def move(self) -> None:
        """Have the client reconnect, or leave the flow where it is; see docs/quic.md, 'What happens when'."""
        self.side.move(self.flow)

    def ended(self, broke: bool) -> None:
        """Remove the flow from the router."""
        self.side.carry_out(self.side.router.close_flow(self.flow, self.side.now(), False))

    def flow_closed(self, lost: bool) -> None:
        """End the transaction after the router has removed the flow; ``lost`` says that its server is gone."""
        transaction, self.transaction = self.transaction, None
        if transaction is None or self.current_attempt is None:
            return
        if lost:
            self.current_attempt.server_gone()
        else:
            # Without this event the decision module would attribute the end to the server, and take it for draining.
            self.side.driver.post(api.ClientGone(transaction.handle))
            transaction.client_left(False)

    def hand_over(self) -> PausedConnection | None:
        """Return None: a new process finds the flows by their connection ids."""
        return None

    def release(self) -> None:
        """Do nothing; never called, as ``hand_over`` returns None."""

    def cancel_handover(self) -> None:
        """Do nothing; never called, as ``hand_over`` returns None."""
