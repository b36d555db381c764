"""Decides whether the protocol allows a request to be sent, repeated, refused or closed now; nothing else does.

The guard takes no decision of the decision module: it enforces the protocol's rules on the module, on the network code
and on both sides of a connection, from what this process itself has sent and received. It does no I/O; the caller
provides the clock.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from scaledeal import interface as api
from scaledeal.net.invariants import Invariants, Rule

TIMEOUT_SLACK_NS = 50_000_000  # by which each of the protocol's time limits is longer on sockets
LATE_ANSWER_NS = 500_000_000  # time after the deadline from which an answer counts as lost
MAX_SILENCE_NS = 7_000_000_000  # time that a connection may return nothing
MAX_GONE_SERVERS = 4096  # names of servers that have left the list that are still known; the oldest is forgotten first
MAX_HOLD_UP_NS = 150_000_000  # time that the relay may be held up between reading its clock and writing

NEVER_RAN = frozenset((api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_SENT))


class Location(msgspec.Struct, frozen=True):
    """The zone and cell of a server, to which repeats of a keyed request may be limited."""

    zone: int = -1
    cell: int = -1


class SentAttempt(msgspec.Struct, frozen=True):
    """An attempt that may have run."""

    server: str
    sent_at: int  # when the attempt began, in ns
    location: Location | None  # of the server when the attempt began; None if no list has named it


class GuardedRequest(msgspec.Struct):
    """What the guard knows about one request."""

    request_id: str  # the id that the client gave it
    deadline: int  # ns
    semantics: api.Semantics
    scope: api.Scope
    window: int  # ns
    established_before: bool = False  # its connection was established before this relay's start, at a server it names
    over: bool = False  # answered, or its client left
    attempt_server: str = ""  # the server of the current attempt; empty if there is none
    attempt_began: int = 0  # ns
    attempt_location: Location | None = None
    may_have_run: SentAttempt | None = None  # the first attempt that may have run


class RequestGuard:
    """Checks every attempt, refusal and end of this relay's requests; ``invariants`` counts what breaks a rule."""

    def __init__(self, settings: api.Settings, grace: int, now: Callable[[], int], invariants: Invariants) -> None:
        """``grace`` is the time in nanoseconds within which sends to a draining server have to stop."""
        self.settings = settings
        self.now = now
        self.invariants = invariants
        self.locations: dict[str, Location] = {}
        self.draining: dict[str, int] = {}  # servers that take nothing new, and since when this relay has known, in ns
        self.grace = max(0, grace - MAX_HOLD_UP_NS)
        self._gone: dict[str, None] = {}  # servers that have left the list, the latest last

    # Servers

    def listed(self, event: api.Membership) -> list[str]:
        """Record a list of servers; return those that have left it so long ago that they are forgotten."""
        now = self.now()
        for entry in event.servers:
            self.locations[entry.server] = Location(entry.zone, entry.cell)
            self._gone.pop(entry.server, None)
            if entry.state is api.ServerState.LIVE:
                self.draining.pop(entry.server, None)
            else:
                self.draining.setdefault(entry.server, now)
            if entry.state is api.ServerState.GONE:
                self._gone[entry.server] = None
        if event.kind is api.MembershipKind.FULL:
            listed = {entry.server for entry in event.servers}
            for server in sorted(self.locations.keys() - listed - self._gone.keys()):
                self.draining.setdefault(server, now)
                self._gone[server] = None
        return self._forget_gone()

    # Requests

    def open(self, request_id: str, request_class: int, deadline: int, established_before: bool) -> GuardedRequest:
        """Begin to guard a request, which must get a final answer from now on."""
        settings = self.settings.classes[request_class]
        return GuardedRequest(
            request_id, deadline, settings.semantics, settings.scope, settings.window, established_before
        )

    def check_send(self, request: GuardedRequest, server: str) -> api.Result | None:
        """Return None if an attempt at this server may begin, else the result to report to the decision module."""
        if request.over:
            self.invariants.record_prevented(Rule.SENT_AFTER_END, request.request_id, server)
        elif request.attempt_server:
            self.invariants.record_prevented(
                Rule.SECOND_COPY, request.request_id, f"{server} beside {request.attempt_server}"
            )
        elif self.now() >= request.deadline:
            return api.Result.NOT_SENT  # not a fault: the module learns that the time is over
        elif not self._may_repeat(request, server):
            self.invariants.record_prevented(
                Rule.UNSAFE_REPEAT, request.request_id, f"{server} after {request.may_have_run}"
            )
        elif not request.established_before and self._is_closed_to_new(server):
            self.invariants.record_prevented(Rule.SENT_TO_DRAINING, request.request_id, server)
            return api.Result.CONNECT_FAILED
        else:
            return None
        return api.Result.NOT_SENT

    def attempt_begun(self, request: GuardedRequest, server: str) -> None:
        """Record that an attempt has begun."""
        request.attempt_server, request.attempt_began = server, self.now()
        request.attempt_location = self.locations.get(server)

    def time_to_write(self, request: GuardedRequest) -> int | None:
        """Return the ns left in which a repeat may be written; None if only the request's deadline limits it."""
        if request.may_have_run is None or request.semantics is not api.Semantics.KEYED:
            return None
        return max(0, request.may_have_run.sent_at + request.window - self.now())

    def check_write(self, request: GuardedRequest) -> api.Result | None:
        """Return None if the current attempt may write its first byte now, else the result to report."""
        # A connection may be established long after the attempt began, so everything is checked again.
        server = request.attempt_server
        late = f"{server}, connected late"
        if request.over:
            self.invariants.record_prevented(Rule.SENT_AFTER_END, request.request_id, late)
        elif self.now() >= request.deadline:
            self.invariants.record_prevented(Rule.SENT_TOO_LATE, request.request_id, late)
        elif not self._may_repeat(request, server):
            self.invariants.record_prevented(
                Rule.UNSAFE_REPEAT, request.request_id, f"{late} after {request.may_have_run}"
            )
        elif not request.established_before and self._is_closed_to_new(server):
            self.invariants.record_prevented(Rule.SENT_TO_DRAINING, request.request_id, late)
            return api.Result.CONNECT_FAILED
        else:
            return None
        return api.Result.NOT_SENT

    def attempt_ended(self, request: GuardedRequest, result: api.Result) -> None:
        """Record the result of the current attempt, which is over."""
        if request.attempt_server and result not in NEVER_RAN and request.may_have_run is None:
            request.may_have_run = SentAttempt(request.attempt_server, request.attempt_began, request.attempt_location)
        request.attempt_server = ""

    def may_refuse(self, request: GuardedRequest) -> bool:
        """Return whether the client may be told that repeating the request is safe."""
        if request.semantics is api.Semantics.REPEATABLE:
            return True
        if request.semantics is api.Semantics.KEYED and request.scope is api.Scope.ALL:
            return True
        if request.may_have_run is None and not request.attempt_server:
            return True
        first = request.may_have_run or request.attempt_server
        self.invariants.record_prevented(Rule.UNSAFE_REFUSAL, request.request_id, f"{first}")
        return False

    def answered(self, request: GuardedRequest) -> None:
        """Record the final answer, or the end of an established connection, which has had its answer before."""
        if request.over:
            return
        request.over = True
        lateness = self.now() - request.deadline
        if lateness > LATE_ANSWER_NS:
            self.invariants.record_violation(
                Rule.LATE_ANSWER, request.request_id, f"{lateness / 1e6:.0f} ms after its deadline"
            )

    def client_left(self, request: GuardedRequest) -> None:
        """Record that the client closed or cancelled: it needs no answer, and nothing may be sent."""
        request.over = True

    def connection_closed(self, request: GuardedRequest, by_relay: bool) -> None:
        """Record that the client's connection is closed; ``by_relay``: this process closed it."""
        if by_relay and not request.over:
            self.invariants.record_violation(Rule.CLOSED_UNANSWERED, request.request_id, "closed by this relay")
        request.over = True

    def check_silence(self, request: GuardedRequest, silence: int) -> None:
        """Check the time in nanoseconds for which an established connection has returned nothing."""
        if silence > MAX_SILENCE_NS + TIMEOUT_SLACK_NS:
            self.invariants.record_violation(
                Rule.STALLED, request.request_id, f"nothing returned for {silence / 1e9:.1f} s"
            )

    def process_exiting(self, request: GuardedRequest) -> None:
        """Record a violation if the process exits before this request is over."""
        if not request.over:
            self.invariants.record_violation(Rule.OWED_AT_EXIT, request.request_id, "no answer when the process ended")

    # Internal methods

    def _forget_gone(self) -> list[str]:
        forgotten = list(self._gone)[: max(0, len(self._gone) - MAX_GONE_SERVERS)]
        for server in forgotten:
            del self._gone[server]
            self.locations.pop(server, None)
            self.draining.pop(server, None)
        return forgotten

    def _may_repeat(self, request: GuardedRequest, server: str) -> bool:
        before = request.may_have_run
        if before is None or request.semantics is api.Semantics.REPEATABLE:
            return True
        if request.semantics is api.Semantics.ONCE or self.now() - before.sent_at > request.window:
            return False
        if request.scope is api.Scope.ALL:
            return True
        location, first_location = self.locations.get(server), before.location
        if location is None or first_location is None:
            return server == before.server
        return (
            location.zone == first_location.zone
            if request.scope is api.Scope.ZONE
            else location.cell == first_location.cell
        )

    def _is_closed_to_new(self, server: str) -> bool:
        """Return whether the server has been draining for longer than the grace."""
        since = self.draining.get(server)
        return since is not None and self.now() - since > self.grace
