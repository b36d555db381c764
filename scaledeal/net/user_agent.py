"""The user agent's side: a client's connection from its first line to its end."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from scaledeal.net import wording
from scaledeal.net.admission import Admission
from scaledeal.net.attempt import SECOND, AttemptContext, LineAttempt
from scaledeal.net.lines import LineLink
from scaledeal.net.sides import Agent, Ask, AttemptEvents, Carried, Resume, Resumption
from scaledeal.net.transaction import Transaction

FIRST_LINE = 2.5  # seconds that a client may stay without a whole first line, or between two PINGs
PINGS = 50  # PINGs taken in that time, twice those of a front that asks every 0.1 s; more are a flood
EARLY = 16  # lines taken before the answer; more are a flood
STOOD = 40_000  # ms after which a connection from before the start that is not up again is lost


class Stage(Enum):
    """How far a client's connection has come."""

    FIRST = 1
    ASKED = 2
    STANDING = 3
    OVER = 4


class Reception(msgspec.Struct, frozen=True):
    """What all user agents of this relay share."""

    context: AttemptContext
    classes: dict[str, int]
    tenants: dict[str, int]  # tenants' names in the settings, and their numbers
    admission: Admission
    take: Callable[[Ask, Agent], Transaction]
    ready: Callable[[], bool]  # whether a front that asks is told yes
    resume: list[Resume] = msgspec.field(default_factory=list)  # who takes resumable sessions: none, or one
    ids: set[str] = msgspec.field(default_factory=set)  # of the requests and connections that are open here

    def tenant(self, read: wording.OpenLine) -> int | None:
        """Return the number of the tenant that a first line names in ``t``; None for one the settings lack.

        ``t`` names a tenant as the settings do (the protocol of both deployments); a whole number below
        their count, the older form, is taken too. Without ``t`` a request is the first tenant's.
        """
        told = read.get("t")
        if not told:
            return 0
        if (number := self.tenants.get(told)) is not None:
            return number
        count = max(1, len(self.tenants))
        return int(told) if told.isdigit() and len(told) < 10 and int(told) < count else None


def asked(read: wording.OpenLine, number: int, tenant: int, now: int) -> Ask:
    """Return what a first line asks for at this moment: of class ``number``, for tenant ``tenant``."""
    wait = int(read.get("d"))
    if read.get("at"):
        wait = min(wait, STOOD)  # guards against one that waits for hours for a server that no list names
    return Ask(
        request_class=number,
        deadline=now + wait * wording.MS,
        key=read.key,
        group=read.get("g"),
        tenant=tenant,
        returning=read.get("again") == "1",
        load_hint=wording.number(read.get("h")) / 1000,  # nanoseconds a second, as in the simulator
        standing_at=read.get("at"),
        name=read.id,
    )


class UserAgent(LineLink):
    """A client's connection."""

    def __init__(self, reception: Reception) -> None:
        context = reception.context
        super().__init__(context.reactor, context.pool)
        self.reception = reception
        self.stage = Stage.FIRST
        self.open_line: wording.OpenLine | None = None
        self.transaction: Transaction | None = None
        self.current: LineAttempt | None = None
        self.session: Resumption | None = None
        self.early: list[bytes] = []  # lines that came before the answer
        self.pings, self.pinged_since = 0, 0  # PINGs since then
        self.asked = False

    # The client's lines

    def link_up(self) -> None:
        """Guard against a client that never says anything, or only ever half of it."""
        self.reception.admission.add(self)
        self._set_timer(FIRST_LINE, self._too_late)

    def line_received(self, line: bytes) -> None:
        """Take a line of the client's."""
        if self.stage is Stage.STANDING and self.current is not None:
            if self.session is None or self.session.from_client(line):
                self.current.message(line)
            else:
                self._cut()
        elif self.stage is Stage.FIRST:
            self._first(line)
        elif self.stage is Stage.ASKED:
            self.early.append(line)
            # Read on: behind these lines stands the client's end, which its attempts must not outlive.
            if len(self.early) > EARLY:
                self._leave(False)
                self._reject("flooded")

    def partial_line_received(self, part: bytes) -> None:
        """Tell the admission of a client that is writing its request."""
        if self.stage is Stage.FIRST and wording.may_be_open(part):
            self.reception.admission.record_write(self)

    def line_too_long(self) -> None:
        """Answer a line that is too long."""
        if self.stage is Stage.STANDING:
            self.reset()
        else:
            # Guards against a request that is cut off without an answer, as what came behind it was bad.
            self._leave(False)
            self._reject("line too long")

    def peer_ended_sending(self) -> None:
        """Hear that the client ended its sending: as with an attempt, it gives up what it asked for."""
        if self.stage is Stage.FIRST:
            self._reject("never asked")
        elif self.stage is Stage.ASKED:
            self._leave(False)
            self.send(wording.ERR)
            self.end()
        elif self.stage is Stage.STANDING and self.transaction is not None:
            # What the application server still has to say passes until it ends its own sending.
            self.transaction.sending_ended()

    def link_lost(self, broke: bool) -> None:
        """Hear that the connection is over."""
        if self.closed_here and self.transaction is not None:
            self.transaction.cut_off()
        self._leave(broke)
        if self.asked:
            self.reception.admission.request_ended()
        else:
            self.reception.admission.remove(self)

    def read_pending(self) -> None:
        """Read what has come and waits for its turn."""
        if self.wire is not None and not self.closing:
            self.wire.doRead()

    def close_now(self) -> None:
        """Close now: others need the descriptor."""
        self.reset()

    def dismiss(self) -> None:
        """Close with a word, as nobody will read here any more: what is asked in this very moment has its answer."""
        self._reject("too late")

    def _first(self, line: bytes) -> None:
        if line == wording.PING:
            self._ping()
            return
        read, reception = wording.read_open(line), self.reception
        number = reception.classes.get(read.get("c")) if read else None
        tenant = reception.tenant(read) if read else None
        if read is None or number is None or tenant is None:
            self._reject("no request")
            return
        if read.id in reception.ids:
            # Guards against a client under another's id: servers turn it away, and that speaks against them.
            self._reject("id in use")
            return
        for resume in reception.resume:
            session = resume(read.names)
            if isinstance(session, bytes):
                self._reject("resume refused", session)
                return
            self.session = session
            if session is not None:
                session.cut = self._cut
        self._has_asked(Stage.ASKED, read)
        if not reception.admission.admit_request():
            reception.admission.count_turned_away("no descriptor left")
            self._refusal(wording.BUSY)
            return
        self.transaction = reception.take(asked(read, number, tenant, reception.context.now()), self)

    def _has_asked(self, stage: Stage, read: wording.OpenLine) -> None:
        self._stop_timer()
        self.stage, self.open_line, self.asked = stage, read, True
        self.reception.ids.add(read.id)
        self.reception.admission.request_received(self)

    def _ping(self) -> None:
        now = self.reception.context.now()
        if now - self.pinged_since > FIRST_LINE * SECOND:
            self.pinged_since, self.pings = now, 0
        self.pings += 1
        if self.pings > PINGS:
            self._reject("flooded")
        else:
            # A front that asks here hears of a drain as one that calls the operators' address.
            self.send(wording.PONG if self.reception.ready() else wording.ERR)
            self._set_timer(FIRST_LINE, self._no_more_pings)

    def _no_more_pings(self) -> None:
        # Guards against a client that pinged, then took long to write its request, and is closed without a word.
        if self.has_partial_line():
            self._too_late()
        else:
            self.end()

    def _too_late(self) -> None:
        self._reject("too late")

    def _reject(self, why: str, words: bytes = wording.ERR) -> None:
        """Answer what is no request."""
        self.reception.admission.count_turned_away(why)
        self._stop_timer()
        self.stage = Stage.OVER
        self.send(words)
        self.end()

    def _leave(self, broke: bool) -> None:
        transaction = self._over()
        if transaction is not None:
            transaction.gone(broke)

    def _cut(self) -> None:
        """Break a connection whose session another one holds now, or whose lines are none of it."""
        self._leave(True)
        self.reset()

    def _over(self) -> Transaction | None:
        """Be done with the transaction: the one place where its id is given back."""
        self.stage = Stage.OVER
        transaction, self.transaction = self.transaction, None
        if self.open_line is not None:
            self.reception.ids.discard(self.open_line.id)
            self.open_line = None
        if self.session is not None:
            self.session.leave()
        return transaction

    # What the transaction calls

    def begin_attempt(self, address: str, wait: int, events: AttemptEvents) -> LineAttempt:
        """Start one attempt."""
        assert self.open_line is not None
        read = self.open_line
        if self.session is not None:
            read = msgspec.structs.replace(read, names=self.session.asked())
        line = read.with_wait(wait)
        self.current = LineAttempt(self.reception.context, line, self, events)
        return self.current.begin(address, wait)

    def refuse(self, retry_after: int) -> None:
        """Answer that trying again is harmless."""
        wait = -(-retry_after // wording.MS)
        self._refusal(b"%s %d" % (wording.BUSY, wait) if wait > 0 else wording.BUSY)

    def fail(self) -> None:
        """Answer that it failed."""
        self._refusal(wording.ERR)

    def move(self) -> None:
        """Tell the client to come again; lines are whole here, so this stands between two of them."""
        self._answer(wording.MOVE if self.session is None else self.session.move())

    def ended(self, broke: bool) -> None:
        """Close as the application server's side did."""
        self._over()
        if broke:
            # Guards against an answer that is passed on and never read, as its server dies right behind it.
            self.flush_and_reset()
        else:
            self.end()

    # Another process

    def resumed(self, read: wording.OpenLine, transaction: Transaction, current: LineAttempt) -> None:
        """Stand from the beginning: another process has brought it up."""
        self._has_asked(Stage.STANDING, read)
        self.transaction, self.current = transaction, current

    def hand_over(self) -> Carried | None:
        """Stop reading a connection that stands, and return it; None while anything of it is under way."""
        current, read = self.current, self.open_line
        if self.session is not None:
            return None  # it is moved, and goes on at the new version by its token
        if read is None or current is None or not (self.is_idle() and current.link.is_idle()):
            return None
        (mine, of_client), (other, of_server) = self.pause_for_handover(), current.link.pause_for_handover()
        line = read.with_wait(int(read.get("d")) * wording.MS)
        state = wording.Paused(line, current.asked_at, of_client, of_server)
        return Carried((mine, other), msgspec.json.encode(state))

    def release(self) -> None:
        """Give up what was handed over: another process has it."""
        self._over()
        if self.current is not None:
            self.current.let_go()
        super().release()
        self.reception.admission.request_ended()

    def cancel_handover(self) -> None:
        """Read on: no other process has it."""
        self.resume_after_handover()
        if self.current is not None:
            self.current.link.resume_after_handover()

    def _refusal(self, line: bytes) -> None:
        self._answer(line if self.session is None else self.session.refusal(line))

    def _answer(self, line: bytes) -> None:
        self._over()
        self.send(line)
        self.end()

    # What the attempt calls

    def stands(self, link: LineLink, line: bytes) -> bool:
        """Pass on the answer; from here on lines go both ways. Tell whether the client is still there."""
        if self.stage is not Stage.ASKED:
            return False
        self.stage = Stage.STANDING
        for each in [line] if self.session is None else self.session.up(line):
            self.send(each)
        self.set_sink(link)
        link.set_sink(self)
        early, self.early = self.early, []
        for each in early:
            self.line_received(each)
        return True

    def pass_on(self, line: bytes) -> None:
        """Pass a line on to the client."""
        if self.session is None:
            self.send(line)
            return
        told = self.session.to_client(line)
        if told is None:
            self._cut()
        else:
            for each in told:
                self.send(each)
