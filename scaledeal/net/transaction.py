"""One request of a user agent, from its arrival until nothing of it is left.

It owns the current attempt and the timer of the final answer, and gives exactly one final answer.
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
from scaledeal.net.request_guard import RequestGuard
from scaledeal.net.sides import Agent, Ask, Attempt, Carried

MS = 1_000_000
UNANSWERED = 250 * MS  # a message without an answer for so long is news before its answer comes
STALLED = 1000 * MS  # a connection without an answer for so long, at a server that answers others, is silent
SILENT = 6000 * MS  # a connection that returns nothing for so long is taken as broken; 7 s are allowed
SLACK = 10_000_000  # ns after the deadline at which a request that nobody answered is answered here


class State(Enum):
    """Where a transaction stands."""

    WAITING = 1  # an answer is owed
    STANDING = 2  # served: lines pass both ways
    HANDED = 3  # offered to another process of this relay: nothing is read until that has it, or is gone
    OVER = 4  # answered, moved or left; an attempt may still be closing


class TransactionHost(Protocol):
    """What a transaction needs of the driver."""

    draining: bool
    figures: Figures
    guard: RequestGuard
    delays: Delays
    load_lines: LoadLines

    def now(self) -> int:
        """Return the time."""

    def later(self, delay: int, call: Callable[[], None]) -> Timer:
        """Call after so many nanoseconds."""

    def post(self, event: api.Event) -> None:
        """Tell the decision module."""

    def forget(self, transaction: Transaction) -> None:
        """Take it off the table."""

    def ended(self, transaction: Transaction, cause: EndCause) -> None:
        """Hear why it is over: once for each request."""

    def overdue(self, transaction: Transaction) -> None:
        """Hear that the decision module left it unanswered."""

    def late(self, transaction: Transaction, took: int, waits: bool) -> None:
        """Hear that a message took so many nanoseconds, longer than its class wants, or waits that long already."""

    def silent(self, transaction: Transaction) -> None:
        """Hear that its application server has returned nothing for too long."""


class Transaction:
    """The states of one request; the decision module's actions and both sides' news change them."""

    def __init__(self, host: TransactionHost, handle: str, ask: Ask, agent: Agent) -> None:
        self.host = host
        self.handle = handle
        self.ask = ask
        self.agent = agent
        self.state = State.WAITING
        self.owed = host.guard.open(ask.name or handle, ask.request_class, ask.deadline, bool(ask.standing_at))
        self.attempts = 0
        self.current: Attempt | None = None
        self.server = ""
        self.began = 0
        self.counts = host.figures.counts[ask.request_class]
        self.aim = host.delays.aims[ask.request_class]
        self.told_late = 0  # since when the message waits that was noted as late
        self.told_silent = 0  # since when the message waits whose silence the module was told of
        self.timer: Timer | None = host.later(max(0, ask.deadline - host.now()) + SLACK, self._answer_owed)

    # The decision module's actions

    def send(self, server: str, address: str, timeout: int) -> None:
        """Begin an attempt, unless the request is over or its time is up."""
        number, self.attempts = self.attempts, self.attempts + 1
        self.server, self.began = server, self.host.now()
        left = self.ask.deadline - self.began
        not_sent = self.host.guard.judge_send(self.owed, server)
        if not_sent is not None:
            self._outcome(number, not_sent, ())
        elif not address:
            self._outcome(number, api.Result.CONNECT_FAILED, ())
        else:
            self.host.guard.begun(self.owed, server)
            self.current = self.agent.begin_attempt(address, min(timeout or left, left), self)

    def refuse(self, retry_after: int) -> None:
        """Answer: refused."""
        if self.state is State.WAITING and not self.host.guard.may_refuse(self.owed):
            self.fail()
        elif self._answered(EndCause.REFUSED):
            self.counts.throttled += 1
            self.agent.refuse(retry_after)

    def fail(self) -> None:
        """Answer: failed."""
        if self._answered(EndCause.FAILED):
            self.counts.faulted += 1
            self.agent.fail()

    def cancel(self, number: int) -> None:
        """Give up the attempt of this number, if it is still out and does not stand."""
        if self.current is not None and number == self.attempts - 1 and self.state is not State.STANDING:
            self.current.give_up()

    def move(self, cause: EndCause = EndCause.MOVED) -> None:
        """End a connection that stands politely."""
        if self.state is State.STANDING and self.current is not None:
            self.state = State.OVER
            self.host.ended(self, cause)
            self.agent.move()
            self.current.leave(False)

    def send_away(self) -> None:
        """End a connection that stands politely though the decision module did not ask for it."""
        if self.state is State.STANDING:
            # Guards against servers taken for draining: they did not send away whom this relay moved.
            self.host.post(api.ClientGone(self.handle))
            self.move(EndCause.SENT_AWAY)

    # Another process of this relay

    def resumed(self, server: str) -> None:
        """Stand from the beginning: another process has brought it up."""
        self.state, self.server, self.attempts = State.STANDING, server, 1
        self.host.guard.answered(self.owed)
        self._stop_timer()

    def hand_over(self) -> Carried | None:
        """Offer a connection that stands to another process; None while that can't be done."""
        carried = self.agent.hand_over() if self.state is State.STANDING else None
        if carried is not None:
            self.state = State.HANDED
        return carried

    def let_go(self) -> None:
        """Hear that another process has it."""
        if self.state is State.HANDED:
            self.state, self.current = State.OVER, None
            self.host.ended(self, EndCause.HANDED_OVER)
            self.agent.release()
            self.host.post(api.ClientGone(self.handle))  # its server has not sent it away
            self._outcome(self.attempts - 1, api.Result.CANCELLED, ())

    def keep(self) -> None:
        """Hear that the other process is gone without it."""
        if self.state is State.HANDED:
            self.state = State.STANDING
            self.agent.cancel_handover()

    # News of the attempt

    def may_write(self) -> bool:
        """Tell whether the attempt's first line may be written now."""
        return self.host.guard.may_write(self.owed)

    def written(self) -> None:
        """Hear that the attempt's first line is written whole."""
        self.counts.relayed += 1

    def established(self) -> None:
        """Hear that the connection stands."""
        self.counts.fulfilled += 1
        self.state = State.STANDING
        self.host.guard.answered(self.owed)
        self._stop_timer()
        ask = self.ask
        if ask.standing_at:
            self.host.post(
                api.OpenConnection(
                    self.handle, ask.request_class, self.server, ask.key, ask.group, ask.tenant, ask.load_hint
                )
            )
        else:
            elapsed = self.host.now() - self.began
            self.host.post(api.Established(self.handle, self.attempts - 1, self.server, elapsed))
        if self.host.draining:
            self.send_away()

    def load_line(self, amount: float) -> None:
        """Pass on what a LOAD line tells."""
        if told := self.host.load_lines.read(self.server, self.handle, amount):
            self.note(*told)

    def message_took(self, took: int) -> None:
        """Pass on how long a message took, where that is news."""
        self.host.delays.record_answer(self.server, took)
        if took > self.aim > 0:
            self.host.late(self, took, False)
        self._delay(took)

    def _delay(self, took: int) -> None:
        if self.host.delays.should_report(self.server, took):
            self.note(api.NoteKind.DELAY, took / MS)

    def look(self, now: int) -> None:
        """Look at a connection that stands: one that returns nothing is told, and in the end broken off."""
        since = self.current.silent_since() if self.current is not None else 0
        if not since or self.current is None:
            return
        self.host.guard.silent(self.owed, now - since)
        if now - since > self.aim > 0 and self.told_late != since:
            self.told_late = since
            self.host.late(self, now - since, True)
        if now - since >= SILENT:
            self.host.silent(self)
            self.current.break_off()
        elif now - since >= UNANSWERED and not self.host.delays.answered_since(self.server, since):
            self._delay(now - since)
        elif now - since >= STALLED and self.told_silent != since:
            # Guards against one connection that fell silent being told as a server that hangs.
            self.told_silent = since
            self.note(api.NoteKind.SILENT, (now - since) / MS)

    def note(self, kind: api.NoteKind, amount: float) -> None:
        """Tell the module news of the connection."""
        self.host.post(api.Note(self.handle, self.attempts - 1, self.server, kind, amount))

    def over(self, result: api.Result, report: tuple[float, ...], broke: bool) -> None:
        """Hear how the attempt ended."""
        self.current = None
        self.host.guard.ended(self.owed, result)
        stood = self.state is State.STANDING
        if stood or (result is api.Result.OK and self.state is State.WAITING):
            self.counts.fulfilled += not stood  # served to its end at once
            self.state = State.OVER
            self.host.guard.answered(self.owed)
            self.host.ended(self, EndCause.SERVER_BROKE if result is api.Result.RESET else EndCause.SERVER_ENDED)
            self._stop_timer()
            self.agent.ended(broke)
        elif self.ask.standing_at and self.state is State.WAITING:
            self.fail()
            return
        self._outcome(self.attempts - 1, result, report)

    # News of the user agent

    def gone(self, broke: bool) -> None:
        """Hear that the client left."""
        if self.state is State.STANDING:
            self.state = State.OVER
            self.host.ended(self, EndCause.CLIENT_LEFT)
            if self.current is not None:
                self.current.leave(broke)
        elif self.state is State.WAITING:
            self.state = State.OVER
            self.host.guard.client_left(self.owed)
            self.host.ended(self, EndCause.CLIENT_LEFT)
            self._stop_timer()
            if self.ask.standing_at:
                self.cancel(self.attempts - 1)
            elif self.current is not None:
                # Guards against an attempt that begins after its client left; unsent, it needs nobody's leave.
                self.current.withdraw(api.Result.CANCELLED)
            self.host.post(api.ClientGone(self.handle))
            self._forget_if_over()

    def cut_off(self) -> None:
        """Hear that this relay itself closed the client's connection, and not by an answer."""
        if self.state is State.WAITING:
            self.host.guard.closed(self.owed, by_relay=True)

    def sending_ended(self) -> None:
        """Hear that the client ended its sending: before an answer that means that it left."""
        if self.state is State.STANDING and self.current is not None:
            self.current.client_ended_sending()
        else:
            self.gone(False)

    # Inside

    def _answered(self, cause: EndCause) -> bool:
        """Tell whether the final answer may be given now; from here on it counts as given."""
        if self.state is not State.WAITING:
            return False
        self.state = State.OVER
        self.host.guard.answered(self.owed)
        self.host.ended(self, cause)
        self._stop_timer()
        if self.current is not None:
            self.current.give_up()
        self._forget_if_over()
        return True

    def _answer_owed(self) -> None:
        """Answer a request that was held past its time: an answer is owed whatever the module does."""
        self.timer = None
        if self._answered(EndCause.OVERDUE):
            self.host.overdue(self)
            self.counts.faulted += 1
            self.agent.fail()
            self.host.post(api.ClientGone(self.handle))

    def _outcome(self, number: int, result: api.Result, report: tuple[float, ...]) -> None:
        last = self.state is State.OVER
        self._forget_if_over()
        elapsed = self.host.now() - self.began
        self.host.post(api.Outcome(self.handle, number, self.server, result, elapsed, last, report))

    def _forget_if_over(self) -> None:
        if self.state is State.OVER and self.current is None:
            self.host.forget(self)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
