"""The user agent's side: a client's connection from its first line to its end."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from scaledeal.net import wording
from scaledeal.net.admission import Admission
from scaledeal.net.attempt import NS_PER_S, AttemptContext, LineAttempt
from scaledeal.net.buffers import MAX_LINE_BYTES
from scaledeal.net.lines import LineLink
from scaledeal.net.reading_turns import ReadingTurns
from scaledeal.net.request_ids import ClaimResult, RequestIds
from scaledeal.net.sides import Agent, AttemptEvents, ClientRequest, PausedConnection, ResumableSession, SessionOpener
from scaledeal.net.transaction import Transaction

FIRST_LINE_TIMEOUT_S = 2.5  # for a complete first line, and between two PINGs
MAX_PINGS = 50  # in that time: twice as many as from a front that sends one every 0.1 s; more are a flood
MAX_EARLY_LINES = 16  # lines accepted before the answer; more are a flood,
MAX_EARLY_BYTES = 4 * MAX_LINE_BYTES  # and so are more bytes
STANDING_DEADLINE_CAP_MS = 40_000  # time to restore a connection that was established before the start


class Stage(Enum):
    """The stage of a client's connection."""

    FIRST_LINE = 1  # no request yet
    REQUESTED = 2  # the request is not answered yet; its id may still be undecided
    ESTABLISHED = 3  # lines pass both ways
    OVER = 4


class ClientContext(msgspec.Struct, frozen=True):
    """State that all user agents of this relay share."""

    attempt_context: AttemptContext
    classes: dict[str, int]  # numbers of classes, by name
    tenants: dict[str, int]  # numbers of tenants, by their names in the settings
    admission: Admission
    start_transaction: Callable[[ClientRequest, Agent], Transaction]
    is_ready: Callable[[], bool]  # whether a PING of a front is answered with PONG
    reading_turns: ReadingTurns = msgspec.field(default_factory=ReadingTurns)
    session_openers: list[SessionOpener] = msgspec.field(default_factory=list)  # none or one, for resumable sessions
    request_ids: RequestIds = msgspec.field(default_factory=RequestIds)  # the driver's

    def tenant_number(self, read: wording.OpenLine) -> int | None:
        """Return the number of the tenant in a first line's ``t``; None if the settings do not have that tenant.

        ``t`` is a tenant's name in the settings (in the protocol of both deployments) or, in the older form, a whole
        number below the number of tenants. Without ``t`` the request belongs to the first tenant.
        """
        name = read.get("t")
        if not name:
            return 0
        if (number := self.tenants.get(name)) is not None:
            return number
        count = max(1, len(self.tenants))
        return int(name) if name.isdigit() and len(name) < 10 and int(name) < count else None


def client_request(read: wording.OpenLine, number: int, tenant: int, now: int) -> ClientRequest:
    """Return the request in a first line received at ``now``, of class ``number`` and tenant ``tenant``."""
    wait = int(read.get("d"))
    if read.get("at"):
        # Otherwise it could wait for hours for an application server that no list names.
        wait = min(wait, STANDING_DEADLINE_CAP_MS)
    return ClientRequest(
        request_class=number,
        deadline=now + wait * wording.MS,
        key=read.key,
        group=read.get("g"),
        tenant=tenant,
        returning=read.get("again") == "1",
        load_hint=wording.number_or_zero(read.get("h")) / 1000,  # ``h`` is in nanoseconds a second, as in the simulator
        previous_server=read.get("at"),
        request_id=read.id,
    )


class UserAgent(LineLink):
    """A client's connection."""

    def __init__(self, client_context: ClientContext) -> None:
        context = client_context.attempt_context
        super().__init__(context.reactor, context.pool)
        self.client_context = client_context
        self.stage = Stage.FIRST_LINE
        self.open_line: wording.OpenLine | None = None
        self.transaction: Transaction | None = None
        self.current: LineAttempt | None = None
        self.session: ResumableSession | None = None
        self.early: list[bytes] = []  # lines received before the answer
        self.pings, self.pings_since = 0, 0  # PINGs counted since that time
        self.has_request = False  # whether it was ever counted as a client with a request

    # Events of the client's connection

    def link_up(self) -> None:
        """Start the timeout of the first line: the client may send nothing, or only a part of its request."""
        self.client_context.admission.add(self)
        self._set_timer(FIRST_LINE_TIMEOUT_S, self._first_line_timed_out)

    def line_received(self, line: bytes) -> None:
        """Handle a line of the client."""
        if self.stage is Stage.ESTABLISHED and self.current is not None:
            if self.session is None or self.session.from_client(line):
                self.current.send_message(line)
            else:
                self._cut()
        elif self.stage is Stage.FIRST_LINE:
            self._first_line(line)
        elif self.stage is Stage.REQUESTED:
            self.early.append(line)
            # Reading goes on, as the end of the client may follow these lines, and its attempts must not outlive it.
            if len(self.early) > MAX_EARLY_LINES or sum(map(len, self.early)) > MAX_EARLY_BYTES:
                self._client_left(False)
                self._reject("flooded")

    def takes_blocks(self) -> bool:
        """Return whether lines pass unchanged now: the connection is established, and has no resumable session."""
        return self.stage is Stage.ESTABLISHED and self.session is None and self.current is not None

    def block_received(self, block: bytes) -> None:
        """Pass many lines of the client on."""
        if self.current is not None:
            self.current.send_block(block)

    def partial_line_received(self, part: bytes) -> None:
        """Record in the admission that the client is writing its request."""
        if self.stage is Stage.FIRST_LINE and wording.may_begin_open(part):
            self.client_context.admission.record_write(self)

    def line_too_long(self) -> None:
        """Answer a line that is too long; reset an established connection."""
        if self.stage is Stage.ESTABLISHED:
            self.reset()
        else:
            # A request before this line is still owed its answer, so the connection is not just reset.
            self._client_left(False)
            self._reject("line too long")

    def peer_ended_sending(self) -> None:
        """Handle the end of the client's sending: before the answer it means that the client gives up its request."""
        if self.stage is Stage.FIRST_LINE:
            self._reject("closed without a request")
        elif self.stage is Stage.REQUESTED:
            self._client_left(False)
            self.send(wording.ERR)
            self.end()
        elif self.stage is Stage.ESTABLISHED and self.transaction is not None:
            # Lines of the application server still pass until it ends its own sending.
            self.transaction.client_ended_sending()

    def link_lost(self, broke: bool) -> None:
        """Handle the end of the connection."""
        if self.closed_here and self.transaction is not None:
            self.transaction.closed_by_relay()
        self._client_left(broke)
        if self.has_request:
            self.client_context.admission.request_ended()
        else:
            self.client_context.admission.remove(self)

    def read_pending(self) -> None:
        """Read the bytes that have arrived but are not read yet."""
        if self.wire is not None and not self.closing:
            self.wire.doRead()

    def read_ahead(self) -> None:
        """Read all that the client has sent, up to its end, before its request is sent on.

        What the relay would read later may end with the client's leaving, and a request of such a client must not be
        sent. There is a limit to what a client may send before its answer.
        """
        while self.stage is Stage.REQUESTED and self.wire is not None and not self.closing:
            bytes_before = self.bytes_received
            ended = self.wire.doRead()
            if ended is not None and self.stage is Stage.REQUESTED:
                # The reactor reads the same end again, and closes the connection.
                self.peer_ended_sending()
            if self.bytes_received == bytes_before:
                return

    def close_now(self) -> None:
        """Reset the connection, to free its descriptor."""
        self.reset()

    def dismiss(self) -> None:
        """Answer ERR and close, as this process reads no more; so a request that arrives just now gets an answer."""
        self._reject("too late")

    def _first_line(self, line: bytes) -> None:
        if line == wording.PING:
            self._ping()
            return
        read, context = wording.read_open(line), self.client_context
        number = context.classes.get(read.get("c")) if read else None
        tenant = context.tenant_number(read) if read else None
        if read is None or number is None or tenant is None:
            self._reject("invalid request")
            return
        if not context.request_ids.may_open(read.id):
            # Servers reject a second connection under the same id, and the rejections would count against them; and a
            # request that may have run would run a second time.
            self._reject("id in use" if context.request_ids.is_open(read.id) else "id used before")
            return
        request = client_request(read, number, tenant, context.attempt_context.now())
        self._request_received(Stage.REQUESTED, read)
        # The answer may come later, from another process of this relay; until then the request waits like any other.
        context.request_ids.claim(read.id, lambda result: self._id_decided(result, request))

    def _id_decided(self, result: ClaimResult, request: ClientRequest) -> None:
        """Begin the request if its id was granted, and its client is still there."""
        read = self.open_line
        if result is ClaimResult.GRANTED:
            if read is None or not self._begin(request, read):
                self.client_context.request_ids.release(request.request_id)
        elif read is not None:
            self._detach_transaction()
            if result is ClaimResult.IN_USE:
                self._reject("id in use")
            else:
                self._reject("id not decided", wording.BUSY)  # it was sent to no server, so a repeat is harmless

    def _begin(self, request: ClientRequest, read: wording.OpenLine) -> bool:
        """Begin the transaction, which frees the id at its end; return False if there is none to begin."""
        if not self._open_session(read):
            return False
        if not self.client_context.admission.admit_request():
            self.client_context.admission.count_turned_away("no descriptor left")
            self._refusal(wording.BUSY)
            return False
        self.transaction = self.client_context.start_transaction(request, self)
        return True

    def _open_session(self, read: wording.OpenLine) -> bool:
        """Open or resume the client's session, if it has one; return False if that is refused."""
        for open_session in self.client_context.session_openers:
            session = open_session(read.parameters())
            if isinstance(session, bytes):
                self._detach_transaction()
                self._reject("resume refused", session)
                return False
            self.session = session
            if session is not None:
                session.cut = self._cut
        return True

    def _request_received(self, stage: Stage, read: wording.OpenLine) -> None:
        self._stop_timer()
        self.stage, self.open_line, self.has_request = stage, read, True
        self.client_context.admission.request_received(self)

    def _ping(self) -> None:
        now = self.client_context.attempt_context.now()
        if now - self.pings_since > FIRST_LINE_TIMEOUT_S * NS_PER_S:
            self.pings_since, self.pings = now, 0
        self.pings += 1
        if self.pings > MAX_PINGS:
            self._reject("flooded")
        else:
            # A front that sends PING here learns of a drain, as one that calls the operators' address does.
            self.send(wording.PONG if self.client_context.is_ready() else wording.ERR)
            self._set_timer(FIRST_LINE_TIMEOUT_S, self._pings_timed_out)

    def _pings_timed_out(self) -> None:
        # A client that has begun to write its request after a PING gets an answer before the connection is closed.
        if self.has_partial_line():
            self._first_line_timed_out()
        else:
            self.end()

    def _first_line_timed_out(self) -> None:
        self._reject("too late")

    def _reject(self, why: str, answer: bytes = wording.ERR) -> None:
        """Answer and close a connection without a valid request; ``why`` is counted for the log."""
        self.client_context.admission.count_turned_away(why)
        self._stop_timer()
        self.stage = Stage.OVER
        self.send(answer)
        self.end()

    def _client_left(self, broke: bool) -> None:
        transaction = self._detach_transaction()
        if transaction is not None:
            transaction.client_left(broke)

    def _cut(self) -> None:
        """Reset a connection whose session another connection has resumed, or whose lines violate its session."""
        self._client_left(True)
        self.reset()

    def _detach_transaction(self) -> Transaction | None:
        """Detach and return the transaction, if any."""
        self.stage = Stage.OVER
        transaction, self.transaction = self.transaction, None
        self.open_line = None
        if self.session is not None:
            self.session.leave()
        return transaction

    # Methods that the transaction calls (sides.Agent)

    def begin_attempt(self, address: str, wait: int, events: AttemptEvents) -> LineAttempt:
        """Start one attempt that may wait ``wait`` nanoseconds for its answer."""
        assert self.open_line is not None
        read = self.open_line
        if self.session is not None:
            read = read.with_parameters(self.session.asked())
        line = read.with_wait(wait)
        self.current = LineAttempt(self.client_context.attempt_context, line, self, events)
        return self.current.begin(address, wait)

    def refuse(self, retry_after: int) -> None:
        """Answer BUSY: the request can be repeated, after ``retry_after`` nanoseconds if above 0."""
        wait = -(-retry_after // wording.MS)
        self._refusal(b"%s %d" % (wording.BUSY, wait) if wait > 0 else wording.BUSY)

    def fail(self) -> None:
        """Answer ERR: the request failed."""
        self._refusal(wording.ERR)

    def move(self) -> None:
        """Send MOVE, so that the client reconnects; only whole lines are queued, so it never splits one."""
        self._answer(wording.MOVE if self.session is None else self.session.move())

    def ended(self, broke: bool) -> None:
        """Close as the application server's side did: in order unless ``broke``."""
        self._detach_transaction()
        if broke:
            # An answer that was passed on just before its server died is still written to the client.
            self.flush_and_reset()
        else:
            self.end()

    # Hand-over to another process

    def resumed(self, read: wording.OpenLine, transaction: Transaction, current: LineAttempt) -> None:
        """Start as established: another process has set up the connection."""
        self._request_received(Stage.ESTABLISHED, read)
        self.transaction, self.current = transaction, current

    def hand_over(self) -> PausedConnection | None:
        """Pause an established connection and return it; return None while it has data in transit or a session."""
        current, read = self.current, self.open_line
        if self.session is not None:
            return None  # it is moved, and the client resumes it at the new version by its token
        if read is None or current is None or not (self.is_idle() and current.link.is_idle()):
            return None
        (client_fd, from_client), (server_fd, from_server) = (
            self.pause_for_handover(),
            current.link.pause_for_handover(),
        )
        line = read.with_wait(int(read.get("d")) * wording.MS)
        state = wording.HandoverState(line, current.oldest_unanswered_at, from_client, from_server)
        return PausedConnection((client_fd, server_fd), msgspec.json.encode(state))

    def release(self) -> None:
        """Close this process's descriptors of the handed-over connection, without ending it."""
        self._detach_transaction()
        if self.current is not None:
            self.current.release()
        super().release()
        self.client_context.admission.request_ended()

    def cancel_handover(self) -> None:
        """Resume the connection: no other process has taken it."""
        self.resume_after_handover()
        if self.current is not None:
            self.current.link.resume_after_handover()

    def _refusal(self, line: bytes) -> None:
        self._answer(line if self.session is None else self.session.refusal(line))

    def _answer(self, line: bytes) -> None:
        self._detach_transaction()
        self.send(line)
        self.end()

    # Methods that the attempt calls (attempt.Peer)

    def established(self, link: LineLink, line: bytes) -> bool:
        """Pass on the answer and relay lines both ways from here on; return False if the client has left."""
        if self.stage is not Stage.REQUESTED:
            return False
        self.stage = Stage.ESTABLISHED
        for next_line in [line] if self.session is None else self.session.up(line):
            self.send(next_line)
        self.relay_with(link)
        early, self.early = self.early, []
        for next_line in early:
            self.line_received(next_line)
        return True

    def relay_with(self, link: LineLink) -> None:
        """Relay lines to and from an application server's connection, neither faster than the other takes them."""
        self.set_sink(link)
        link.set_sink(self)
        self.take_turns(self.client_context.reading_turns)
        link.take_turns(self.client_context.reading_turns)

    def pass_block(self, block: bytes) -> None:
        """Pass many lines on to the client."""
        self.send_block(block)

    def pass_on(self, line: bytes) -> None:
        """Pass a line on to the client."""
        if self.session is None:
            self.send(line)
            return
        replies = self.session.to_client(line)
        if replies is None:
            self._cut()
        else:
            for reply in replies:
                self.send(reply)
