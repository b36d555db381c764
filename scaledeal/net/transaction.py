"""One request of a user agent, from its arrival until its last attempt is closed.

A transaction owns the current attempt and the timer of the final answer, and gives exactly one final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from scaledeal import interface as api
from scaledeal.net.delays import Delays
from scaledeal.net.figures import EndCause, Figures
from scaledeal.net.load_lines import LoadLines
from scaledeal.net.ports import Timer
from scaledeal.net.request_guard import NEVER_RAN, RequestGuard
from scaledeal.net.sides import Agent, Attempt, ClientRequest, PausedConnection

MS = 1_000_000
UNANSWERED_REPORT_NS = 250 * MS  # after it, the delay of a message is reported before its answer arrives
# After it, a connection without an answer is reported as silent, if its server answers others.
SILENT_REPORT_NS = 1000 * MS
SILENT_TIMEOUT_NS = 6000 * MS  # after it, a connection that returns nothing is closed as broken; 7 s are allowed
DEADLINE_SLACK_NS = 10_000_000  # after the deadline, a request that the module left unanswered is answered as failed


class State(Enum):
    """The state of a transaction."""

    WAITING = 1  # an answer is owed
    ESTABLISHED = 2  # served: lines pass both ways
    OFFERED = 3  # to another process of this relay: nothing is read until that process has taken it or has ended
    OVER = 4  # answered, moved, or the client left; an attempt may still be closing


class TransactionHost(Protocol):
    """The part of the driver that transactions use."""

    draining: bool
    figures: Figures
    guard: RequestGuard
    delays: Delays
    load_lines: LoadLines

    def now(self) -> int:
        """Return the time in nanoseconds."""

    def later(self, delay: int, call: Callable[[], None]) -> Timer:
        """Call ``call`` after ``delay`` nanoseconds."""

    def post(self, event: api.Event) -> None:
        """Post an event to the decision module."""

    def forget(self, transaction: Transaction) -> None:
        """Remove a transaction from the table."""

    def release_id(self, transaction: Transaction) -> None:
        """Free the id of a request that is over; called once for each transaction."""

    def handed_over(self, transaction: Transaction) -> None:
        """Record that another process of this relay has the connection, and with it the id."""

    def ended(self, transaction: Transaction, cause: EndCause) -> None:
        """Record why a transaction is over; called once for each."""

    def overdue(self, transaction: Transaction) -> None:
        """Record that the decision module left a request unanswered."""

    def message_late(self, transaction: Transaction, duration: int, unanswered: bool) -> None:
        """Record a message delay of ``duration`` nanoseconds, above its class's aim; ``unanswered``: still waiting."""

    def server_silent(self, transaction: Transaction) -> None:
        """Record that an application server has returned nothing on a connection for too long."""


class Transaction:
    """The state machine of one request, driven by the decision module's actions and the events of both sides."""

    def __init__(self, host: TransactionHost, handle: str, request: ClientRequest, agent: Agent) -> None:
        self.host = host
        self.handle = handle
        self.request = request
        self.agent = agent
        self.state = State.WAITING
        self.id_released = False
        self.written = False  # the first line of the current attempt is written whole
        self.may_have_run = False  # one was, and its outcome does not prove that the request never ran
        self.abandoned = False  # the client left before the answer, or was told that the request failed
        self.guarded = host.guard.open(
            request.request_id or handle, request.request_class, request.deadline, bool(request.previous_server)
        )
        self.attempts = 0
        self.current: Attempt | None = None
        self.server = ""
        self.attempt_started_at = 0
        self.counts = host.figures.counts[request.request_class]
        self.aim = host.delays.aims[request.request_class]
        self.late_reported = 0  # since when the message waits that was recorded as late
        self.silence_reported = 0  # since when the message waits whose silence was reported to the module
        self.timer: Timer | None = host.later(
            max(0, request.deadline - host.now()) + DEADLINE_SLACK_NS, self._answer_overdue
        )

    # Actions of the decision module

    def send(self, server: str, address: str, timeout: int) -> None:
        """Begin an attempt of ``timeout`` nanoseconds (0: until the deadline), unless the guard forbids it."""
        number, self.attempts = self.attempts, self.attempts + 1
        self.server, self.attempt_started_at = server, self.host.now()
        left = self.request.deadline - self.attempt_started_at
        not_sent = self.host.guard.check_send(self.guarded, server)
        if not_sent is not None:
            self._outcome(number, not_sent, ())
        elif not address:
            self._outcome(number, api.Result.CONNECT_FAILED, ())
        else:
            self.host.guard.attempt_begun(self.guarded, server)
            self.current = self.agent.begin_attempt(address, min(timeout or left, left), self)

    def refuse(self, retry_after: int) -> None:
        """Refuse the request; it fails instead if it may have run, as repeating it would not be safe."""
        if self.state is State.WAITING and not self.host.guard.may_refuse(self.guarded):
            self.fail()
        elif self._begin_answer(EndCause.REFUSED):
            self.counts.throttled += 1
            self.agent.refuse(retry_after)

    def fail(self) -> None:
        """Answer that the request failed."""
        if self._begin_answer(EndCause.FAILED):
            self.counts.faulted += 1
            self.agent.fail()

    @property
    def used_up(self) -> bool:
        """Whether the id must not be used again: the request may have run, and would run a second time."""
        repeatable = self.guarded.semantics is api.Semantics.REPEATABLE
        return (self.abandoned or not repeatable) and (self.may_have_run or self.written)

    def cancel(self, number: int) -> None:
        """Cancel the attempt of this number, if it is the current one and its connection is not established."""
        if self.current is not None and number == self.attempts - 1 and self.state is not State.ESTABLISHED:
            self.current.cancel()

    def move(self, cause: EndCause = EndCause.MOVED) -> None:
        """End an established connection in order: the client is told to reconnect."""
        if self.state is State.ESTABLISHED and self.current is not None:
            self.state = State.OVER
            self.host.ended(self, cause)
            self.agent.move()
            self.current.client_left(False)
            self._release_id_if_over()

    def move_unrequested(self) -> None:
        """Move the client of an established connection without an action of the decision module."""
        if self.state is State.ESTABLISHED:
            # The module would otherwise attribute the MOVE to the server, and take that for draining.
            self.host.post(api.ClientGone(self.handle))
            self.move(EndCause.SENT_AWAY)

    # Hand-over to another process of this relay

    def resumed(self, server: str) -> None:
        """Start as established: another process has set up the connection."""
        self.state, self.server, self.attempts = State.ESTABLISHED, server, 1
        self.may_have_run = True
        self.host.guard.answered(self.guarded)
        self._stop_timer()

    def hand_over(self) -> PausedConnection | None:
        """Pause an established connection for another process and return it; return None while that is impossible."""
        paused = self.agent.hand_over() if self.state is State.ESTABLISHED else None
        if paused is not None:
            self.state = State.OFFERED
        return paused

    def handover_completed(self) -> None:
        """Release the connection: another process has taken it."""
        if self.state is State.OFFERED:
            self.state, self.current = State.OVER, None
            self.may_have_run = False  # from here on that is for the other process to say
            self.host.ended(self, EndCause.HANDED_OVER)
            self.host.handed_over(self)
            self.agent.release()
            self.host.post(api.ClientGone(self.handle))  # so the module does not attribute the end to the server
            self._outcome(self.attempts - 1, api.Result.CANCELLED, ())

    def handover_failed(self) -> None:
        """Resume the connection: the other process has ended without taking it."""
        if self.state is State.OFFERED:
            self.state = State.ESTABLISHED
            self.agent.cancel_handover()

    # Events of the attempt

    def time_to_write(self) -> int | None:
        """Return the ns within which the attempt's first line has to be written; None without such a limit."""
        return self.host.guard.time_to_write(self.guarded)

    def check_write(self) -> api.Result | None:
        """Return None if the attempt's first line may be written now, else the result to end the attempt with."""
        return self.host.guard.check_write(self.guarded)

    def request_written(self) -> None:
        """Count an attempt whose first line is completely written."""
        self.counts.relayed += 1
        self.written = True

    def established(self) -> None:
        """Record that the connection is established, and tell the decision module."""
        self.counts.fulfilled += 1
        self.state, self.may_have_run, self.written = State.ESTABLISHED, True, False
        self.host.guard.answered(self.guarded)
        self._stop_timer()
        request = self.request
        if request.previous_server:
            self.host.post(
                api.OpenConnection(
                    self.handle,
                    request.request_class,
                    self.server,
                    request.key,
                    request.group,
                    request.tenant,
                    request.load_hint,
                )
            )
        else:
            elapsed = self.host.now() - self.attempt_started_at
            self.host.post(api.Established(self.handle, self.attempts - 1, self.server, elapsed))
        if self.host.draining:
            self.move_unrequested()

    def load_received(self, amount: float) -> None:
        """Report the load or delay in a LOAD line to the decision module."""
        if reading := self.host.load_lines.read(self.server, self.handle, amount):
            self.note(*reading)

    def message_answered(self, duration: int) -> None:
        """Record a message's delay in nanoseconds, and report it to the decision module if it is due."""
        self.host.delays.record_answer(self.server, duration)
        if duration > self.aim > 0:
            self.host.message_late(self, duration, False)
        self._report_delay(duration)

    def _report_delay(self, duration: int) -> None:
        if self.host.delays.should_report(self.server, duration):
            self.note(api.NoteKind.DELAY, duration / MS)

    def check_silence(self, now: int) -> None:
        """Report an established connection that returns nothing; close it after ``SILENT_TIMEOUT_NS``."""
        since = self.current.unanswered_since() if self.current is not None else 0
        if not since or self.current is None:
            return
        self.host.guard.check_silence(self.guarded, now - since)
        if now - since > self.aim > 0 and self.late_reported != since:
            self.late_reported = since
            self.host.message_late(self, now - since, True)
        if now - since >= SILENT_TIMEOUT_NS:
            self.host.server_silent(self)
            self.current.close_as_broken()
        elif now - since >= UNANSWERED_REPORT_NS and not self.host.delays.answered_since(self.server, since):
            self._report_delay(now - since)
        elif now - since >= SILENT_REPORT_NS and self.silence_reported != since:
            # The server answers other connections, so this is reported as one silent connection, not as a delay there.
            self.silence_reported = since
            self.note(api.NoteKind.SILENT, (now - since) / MS)

    def note(self, kind: api.NoteKind, amount: float) -> None:
        """Post a note on the connection to the decision module."""
        self.host.post(api.Note(self.handle, self.attempts - 1, self.server, kind, amount))

    def attempt_ended(self, result: api.Result, report: tuple[float, ...], broke: bool) -> None:
        """Handle the end of the current attempt, and post its outcome."""
        self.current = None
        self.host.guard.attempt_ended(self.guarded, result)
        self.may_have_run |= self.written and result not in NEVER_RAN
        self.written = False
        was_established = self.state is State.ESTABLISHED
        if was_established or (result is api.Result.OK and self.state is State.WAITING):
            self.counts.fulfilled += not was_established  # served completely by its first answer
            self.state = State.OVER
            self.host.guard.answered(self.guarded)
            self.host.ended(self, EndCause.SERVER_BROKE if result is api.Result.RESET else EndCause.SERVER_ENDED)
            self._stop_timer()
            self.agent.ended(broke)
        elif self.request.previous_server and self.state is State.WAITING:
            self.fail()
            return
        self._outcome(self.attempts - 1, result, report)

    # Events of the user agent

    def client_left(self, broke: bool) -> None:
        """Handle the end of the client's connection, in order unless ``broke``."""
        if self.state is State.ESTABLISHED:
            self.state = State.OVER
            self.host.ended(self, EndCause.CLIENT_LEFT)
            if self.current is not None:
                self.current.client_left(broke)
            self._release_id_if_over()
        elif self.state is State.WAITING:
            self.state = State.OVER
            self.abandoned = True
            self.host.guard.client_left(self.guarded)
            self.host.ended(self, EndCause.CLIENT_LEFT)
            self._stop_timer()
            if self.request.previous_server:
                self.cancel(self.attempts - 1)
            elif self.current is not None:
                # Nothing may be sent once the client has left; withdrawing an unsent attempt needs no module action.
                self.current.withdraw(api.Result.CANCELLED)
            self.host.post(api.ClientGone(self.handle))
            self._forget_if_over()

    def closed_by_relay(self) -> None:
        """Record that this relay closed the client's connection without an answer."""
        if self.state is State.WAITING:
            self.host.guard.connection_closed(self.guarded, by_relay=True)

    def client_ended_sending(self) -> None:
        """Handle the end of the client's sending: before an answer it means that the client has left."""
        if self.state is State.ESTABLISHED and self.current is not None:
            self.current.client_ended_sending()
        else:
            self.client_left(False)

    # Internal methods

    def _begin_answer(self, cause: EndCause) -> bool:
        """Return whether the final answer may be given now; if so, count it as given and cancel the attempt."""
        if self.state is not State.WAITING:
            return False
        self.state = State.OVER
        self.abandoned = cause is not EndCause.REFUSED
        self.host.guard.answered(self.guarded)
        self.host.ended(self, cause)
        self._stop_timer()
        if self.current is not None:
            self.current.cancel()
        self._forget_if_over()
        return True

    def _answer_overdue(self) -> None:
        """Fail a request that the module left unanswered past its deadline: each client gets an answer."""
        self.timer = None
        if self._begin_answer(EndCause.OVERDUE):
            self.host.overdue(self)
            self.counts.faulted += 1
            self.agent.fail()
            self.host.post(api.ClientGone(self.handle))

    def _outcome(self, number: int, result: api.Result, report: tuple[float, ...]) -> None:
        last = self.state is State.OVER
        self._forget_if_over()
        elapsed = self.host.now() - self.attempt_started_at
        self.host.post(api.Outcome(self.handle, number, self.server, result, elapsed, last, report))

    def _release_id_if_over(self) -> None:
        """Free the request's id, unless an attempt is out: another request with this id would be a second copy."""
        out = self.current is not None and self.current.is_out()
        if self.state is State.OVER and not out and not self.id_released:
            self.id_released = True
            self.host.release_id(self)

    def _forget_if_over(self) -> None:
        self._release_id_if_over()
        if self.state is State.OVER and self.current is None:
            self.host.forget(self)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
