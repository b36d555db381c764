"""The one place that says whether a request may be sent, repeated, refused or closed now.

It decides nothing that the decision module decides: it holds the module, the network code and the two sides of a
connection to the protocol's rules, from what this process itself has sent and heard. No I/O; the clock is the caller's.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from scaledeal import interface as api
from scaledeal.net.invariants import Invariants, Rule

SLACK = 50_000_000  # ns by which each of the protocol's time limits is longer on sockets
ANSWER_LATE = 500_000_000  # ns after the deadline from which an answer counts as lost
STREAM_SILENT = 7_000_000_000  # ns that a connection may return nothing
HELD_UP = 150_000_000  # ns that the relay may be held up between reading its clock and writing

NEVER_RAN = frozenset((api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_SENT))


class Location(msgspec.Struct, frozen=True):
    """Where a server stands: what repeats of a keyed request are tied to."""

    zone: int = -1
    cell: int = -1


class Copy(msgspec.Struct, frozen=True):
    """An attempt that may have run."""

    server: str
    sent_at: int  # ns, when it was begun


class Obligation(msgspec.Struct):
    """What the guard keeps of one request."""

    request: str  # the client's id
    deadline: int  # ns
    semantics: api.Semantics
    scope: api.Scope
    window: int  # ns
    standing: bool = False  # it stood before this relay's start, at a server of its own
    over: bool = False  # answered, or its client left
    out: str = ""  # the server of the attempt that is out
    out_since: int = 0
    may_have_run: Copy | None = None  # the first attempt that may have run


class RequestGuard:
    """Judges every attempt, refusal and end of this relay's requests; ``invariants`` counts what breaks a rule."""

    def __init__(self, settings: api.Settings, grace: int, now: Callable[[], int], invariants: Invariants) -> None:
        """``grace`` is the ns within which sends to a draining server have to stop."""
        self.settings = settings
        self.now = now
        self.invariants = invariants
        self.locations: dict[str, Location] = {}
        self.draining: dict[str, int] = {}  # servers that want nothing new, and since when this relay has known
        self.grace = max(0, grace - HELD_UP)

    # What is known of servers

    def listed(self, event: api.Membership) -> None:
        """Take a list of servers."""
        now = self.now()
        for entry in event.servers:
            self.locations[entry.server] = Location(entry.zone, entry.cell)
            if entry.state is api.ServerState.LIVE:
                self.draining.pop(entry.server, None)
            else:
                self.draining.setdefault(entry.server, now)
        if event.kind is api.MembershipKind.FULL:
            listed = {entry.server for entry in event.servers}
            for server in self.locations.keys() - listed:
                self.draining.setdefault(server, now)

    # A request

    def open(self, request: str, request_class: int, deadline: int, standing: bool) -> Obligation:
        """Take a request whose final answer is owed from now on."""
        about = self.settings.classes[request_class]
        return Obligation(request, deadline, about.semantics, about.scope, about.window, standing)

    def judge_send(self, owed: Obligation, server: str) -> api.Result | None:
        """Return None where an attempt at this server may begin, else the result that the module is told of it."""
        if owed.over:
            self.invariants.prevents(Rule.SENT_AFTER_END, owed.request, server)
        elif owed.out:
            self.invariants.prevents(Rule.SECOND_COPY, owed.request, f"{server} beside {owed.out}")
        elif self.now() >= owed.deadline:
            return api.Result.NOT_SENT  # no fault: the module is told that the time is up
        elif not self._may_repeat(owed, server):
            self.invariants.prevents(Rule.UNSAFE_REPEAT, owed.request, f"{server} after {owed.may_have_run}")
        elif not owed.standing and self._drains(server):
            self.invariants.prevents(Rule.SENT_TO_DRAINING, owed.request, server)
            return api.Result.CONNECT_FAILED
        else:
            return None
        return api.Result.NOT_SENT

    def begun(self, owed: Obligation, server: str) -> None:
        """Hear that an attempt has begun."""
        owed.out, owed.out_since = server, self.now()

    def may_write(self, owed: Obligation) -> bool:
        """Tell whether the first byte of the attempt that is out may be written now: its connection has come up."""
        if owed.over:
            return self._prevented(Rule.SENT_AFTER_END, owed, f"{owed.out}, connected late")
        if self.now() >= owed.deadline:
            return self._prevented(Rule.SENT_TOO_LATE, owed, f"{owed.out}, connected late")
        if not owed.standing and self._drains(owed.out):
            return self._prevented(Rule.SENT_TO_DRAINING, owed, f"{owed.out}, connected late")
        return True

    def ended(self, owed: Obligation, result: api.Result) -> None:
        """Hear how the attempt that was out ended."""
        if owed.out and result not in NEVER_RAN and owed.may_have_run is None:
            owed.may_have_run = Copy(owed.out, owed.out_since)
        owed.out = ""

    def may_refuse(self, owed: Obligation) -> bool:
        """Tell whether a client may be told that trying again is harmless."""
        if owed.semantics is api.Semantics.REPEATABLE:
            return True
        if owed.semantics is api.Semantics.KEYED and owed.scope is api.Scope.ALL:
            return True
        if owed.may_have_run is None and not owed.out:
            return True
        return self._prevented(Rule.UNSAFE_REFUSAL, owed, f"{owed.may_have_run or owed.out}")

    def answered(self, owed: Obligation) -> None:
        """Hear that the final answer is given, or that a connection that had it long since is over."""
        if owed.over:
            return
        owed.over = True
        late = self.now() - owed.deadline
        if late > ANSWER_LATE:
            self.invariants.violated(Rule.LATE_ANSWER, owed.request, f"{late / 1e6:.0f} ms after its deadline")

    def client_left(self, owed: Obligation) -> None:
        """Hear that the client closed or cancelled: nothing is owed, and nothing may be sent."""
        owed.over = True

    def closed(self, owed: Obligation, by_relay: bool) -> None:
        """Hear that the client's connection is closed; ``by_relay`` where this process closed it."""
        if by_relay and not owed.over:
            self.invariants.violated(Rule.CLOSED_UNANSWERED, owed.request, "closed by this relay")
        owed.over = True

    def silent(self, owed: Obligation, silence: int) -> None:
        """Hear that a connection that stands has returned nothing for so many ns."""
        if silence > STREAM_SILENT + SLACK:
            self.invariants.violated(Rule.STALLED, owed.request, f"nothing returned for {silence / 1e9:.1f} s")

    def process_ends(self, owed: Obligation) -> None:
        """Hear that the process ends while this request is on its books."""
        if not owed.over:
            self.invariants.violated(Rule.OWED_AT_EXIT, owed.request, "no answer when the process ended")

    # Inside

    def _may_repeat(self, owed: Obligation, server: str) -> bool:
        before = owed.may_have_run
        if before is None or owed.semantics is api.Semantics.REPEATABLE:
            return True
        if owed.semantics is api.Semantics.ONCE or self.now() - before.sent_at > owed.window:
            return False
        if owed.scope is api.Scope.ALL:
            return True
        mine, first = self.locations.get(server), self.locations.get(before.server)
        if mine is None or first is None:
            return server == before.server
        return mine.zone == first.zone if owed.scope is api.Scope.ZONE else mine.cell == first.cell

    def _drains(self, server: str) -> bool:
        since = self.draining.get(server)
        return since is not None and self.now() - since > self.grace

    def _prevented(self, rule: Rule, owed: Obligation, detail: str) -> bool:
        self.invariants.prevents(rule, owed.request, detail)
        return False
