"""Judges a soak by what crossed the sockets: the protocol's rules, and no word of the relays but their log.

Pure: histories in, violations out. Every time limit is the protocol's, and ``SLACK`` for the driver's own delays.
"""

from __future__ import annotations

import signal
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from math import sqrt

import msgspec

from scaledeal.lab.soak.history import Attempt, ClosedBy, Ending, History, Request
from scaledeal.lab.soak.plan import DRAIN_GRACE, Fault, Plan

SLACK = 0.15  # seconds: the driver's own delays, and a relay that is held up for a moment
SOCKETS = 0.05  # seconds by which each of the protocol's limits is longer on sockets
ANSWER = 0.5  # seconds after its time from which a request without its answer is lost
LEFT = 0.1  # seconds after its client left in which an attempt may still begin
SILENT = 7.0  # seconds that a connection may return nothing
BROKEN_OFF = 5.8  # seconds of silence from which a relay may break a connection off
SERVER_ENDED = 1.0  # seconds in which the end of a server's side reaches the client
BAD_CLIENT = 3.0  # seconds in which a client that stops in mid-request gets its error or close
TOLD = 6.0  # seconds after which a change counts as told while discovery can be reached
READY = 10.0  # seconds in which a relay is ready
LAG = 0.25  # seconds by which the driver may be late without a word
VOID = 1.0  # seconds of that from which its judgement is void; between the two every limit is wider by the lag
SERVER_RATE = 40.0  # requests of mean work a second that a warm server bears
DISCOVERY_FAULTS = frozenset((Fault.DISCOVERY_DOWN, Fault.DISCOVERY_SILENT, Fault.DISCOVERY_SLOW, Fault.RELOAD))


class Rule(Enum):
    """What may not happen."""

    LOST = "lost"  # a request without its final answer in time, or closed with none
    WRONG_ANSWER = "wrong answer"  # an UP that no server gave for it
    AFTER_CLIENT_LEFT = "sent after its client left"
    AFTER_ANSWER = "sent after its final answer"
    SECOND_COPY = "second copy"
    RAN_TWICE = "may have run twice"
    UNSAFE_REFUSAL = "refused though it may have run"
    DRAINING = "sent to a draining server"
    SLOW_START = "too much for a server in slow start"
    STALLED = "connection left waiting"
    CUT = "connection cut without MOVE"
    END_HELD_BACK = "server's end not passed on"
    HELD_AT_KILL = "held when SIGKILL came"
    STALLED_CLIENT = "bad client neither answered nor closed"
    CRASH = "relay crashed"
    NOT_READY = "relay not ready in time"
    LOG = "traceback or violated invariant in a log"


class Violation(msgspec.Struct, frozen=True):
    """One rule broken: when, at which relay, and by which request."""

    rule: Rule
    at: float
    relay: str
    request: str
    detail: str


class Judge:
    """Looks at one history."""

    def __init__(self, plan: Plan, history: History) -> None:
        self.plan, self.history = plan, history
        self.extra = history.worst_lag if history.worst_lag > LAG else 0.0
        self.slack = SLACK + self.extra
        self.endings: dict[tuple[str, int], Ending] = {(e.relay, e.incarnation): e for e in history.endings}
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(history.attempts, key=lambda attempt: attempt.first_byte):
            self.attempts[attempt.id].append(attempt)
        self.classes = {each["Name"]: each for each in plan.settings["Classes"]}

    def violations(self) -> list[Violation]:
        """Return all that was broken, the earliest first."""
        found = [*self._of_log(), *self._of_processes(), *self._of_slow_starts(), *self._of_drains()]
        for request in self.history.requests:
            found += self._of_answer(request)
            found += self._of_attempts(request)
            if request.is_established:
                found += self._of_connection(request)
        return sorted(found, key=lambda violation: violation.at)

    def void(self) -> str:
        """Return why nothing can be said of this soak; empty where it can."""
        lag = self.history.worst_lag
        return f"the driver itself was {lag:.2f} s late: too slow a machine" if lag > VOID else ""

    # Requests

    def _of_answer(self, request: Request) -> Iterator[Violation]:
        if request.sent is None:
            return
        due = request.sent + request.answer_timeout + ANSWER + self.slack
        if request.answered is not None:
            if request.answered > due:
                yield self._broken(Rule.LOST, request.answered, request, f"{request.answered - due:.2f} s too late")
            elif request.is_established and not any(
                each.answer == request.answer for each in self.attempts[request.id]
            ):
                yield self._broken(Rule.WRONG_ANSWER, request.answered, request, request.answer)
            return
        closed = request.closed if request.closed is not None else self.history.ended
        if self._crashed(request.relay, request.incarnation, min(closed, due)):
            return
        if request.closed_by is ClosedBy.RELAY:
            yield self._broken(Rule.LOST, closed, request, "closed with no answer")
        elif closed > due:
            yield self._broken(Rule.LOST, due, request, "never answered")

    def _of_attempts(self, request: Request) -> Iterator[Violation]:
        attempts = self.attempts[request.id]
        left = request.closed if request.closed_by is ClosedBy.CLIENT and request.answered is None else None
        semantics = self.classes[request.request_class]["Semantics"]
        ran: Attempt | None = None
        before: Attempt | None = None
        for attempt in attempts:
            began = attempt.first_byte
            if left is not None and began > left + LEFT + SOCKETS + self.extra:
                yield self._broken(Rule.AFTER_CLIENT_LEFT, began, request, f"{began - left:.2f} s after")
            if request.answered is not None and began > request.answered + LEFT + self.extra:
                yield self._broken(Rule.AFTER_ANSWER, began, request, f"{began - request.answered:.2f} s after")
            if (
                before is not None
                and attempt.complete_at is not None
                and _out_until(before) > attempt.complete_at + 0.005 + self.extra
            ):
                yield self._broken(
                    Rule.SECOND_COPY, attempt.complete_at, request, f"{attempt.server} and {before.server}"
                )
            if (
                ran is not None
                and attempt.complete_at is not None
                and not self._may_repeat(semantics, request, ran, attempt)
            ):
                yield self._broken(Rule.RAN_TWICE, attempt.complete_at, request, f"{ran.server}, then {attempt.server}")
            if attempt.complete_at is not None:
                before = attempt
                if ran is None and not attempt.answer.startswith("BUSY"):
                    ran = attempt
        safe = semantics == "repeatable" or (semantics == "by_key" and self._scope(request) == "all")
        if ran is not None and not safe and request.answer.startswith("BUSY"):
            yield self._broken(Rule.UNSAFE_REFUSAL, request.answered or 0.0, request, f"after {ran.server}")

    def _scope(self, request: Request) -> str:
        return str(self.classes[request.request_class]["KeyScope"])

    def _may_repeat(self, semantics: str, request: Request, ran: Attempt, attempt: Attempt) -> bool:
        if semantics != "by_key":
            return semantics == "repeatable"
        window = self.classes[request.request_class]["Window"] / 1e9 + SOCKETS + self.extra
        same = self._scope(request) == "all" or ran.cell == attempt.cell
        return same and attempt.first_byte - ran.first_byte <= window

    def _of_connection(self, request: Request) -> Iterator[Violation]:
        closed = request.closed if request.closed is not None else self.history.ended
        crashed = self._crashed(request.relay, request.incarnation, closed)
        waits = closed - request.asked_since if request.asked_since is not None else 0.0
        longest = max(request.longest_wait, 0.0 if crashed else waits)
        if longest > SILENT + SOCKETS + self.slack:
            yield self._broken(Rule.STALLED, closed, request, f"nothing came back for {longest:.2f} s")
        stood = next((each for each in self.attempts[request.id] if each.answer == request.answer), None)
        if stood is None or crashed:
            return
        ended = stood.server_ended
        if ended is not None and closed - ended > SERVER_ENDED + SOCKETS + self.slack:
            yield self._broken(Rule.END_HELD_BACK, closed, request, f"{closed - ended:.2f} s after {stood.server}")
        by_server = ended is not None and (stood.relay_ended is None or ended <= stood.relay_ended + 0.02 + self.extra)
        parted = request.last_line.partition(" ")[0] in ("MOVE", "BYE")
        if request.closed_by is ClosedBy.RELAY and not (by_server or parted or waits >= BROKEN_OFF):
            yield self._broken(Rule.CUT, closed, request, f"at {stood.server}, after {request.last_line!r}")

    # Servers

    def _of_drains(self) -> Iterator[Violation]:
        told = self._told()
        for attempt in self.history.attempts:
            since = told.get((attempt.relay, attempt.incarnation, attempt.server))
            limit = DRAIN_GRACE + SOCKETS + self.slack
            if since is not None and attempt.first_byte > since + limit:
                yield Violation(
                    Rule.DRAINING,
                    attempt.first_byte,
                    attempt.relay,
                    attempt.id,
                    f"{attempt.server}, {attempt.first_byte - since:.2f} s after it was told",
                )

    def _told(self) -> dict[tuple[str, int, str], float]:
        """Return when each relay was told that a server drains or is gone; those that never come back alone."""
        last = {change.server: change for change in self.history.changes}
        first = {change.server: change for change in reversed(self.history.changes) if change.status != "active"}
        gone = [first[name] for name, change in last.items() if change.status != "active"]
        sound = not any(event.fault in DISCOVERY_FAULTS for event in self.plan.events)
        told: dict[tuple[str, int, str], float] = {}
        for written in self.history.lists:
            for change in gone:
                if written.index >= change.index:
                    key = (written.relay, written.incarnation, change.server)
                    at = max(written.at, change.at)
                    told[key] = min(told.get(key, at), at, change.at + TOLD if sound else at)
        return told

    def _of_slow_starts(self) -> Iterator[Violation]:
        rules = self.plan.settings["Rules"]
        span, warm_after = rules["Fall"] / 1e9, rules["WarmAfter"] / 1e9
        for change in self.history.changes:
            if change.status != "active" or not change.since:
                continue
            came = sorted(
                each.complete_at
                for each in self.history.attempts
                if each.server == change.server
                and each.complete_at is not None
                and change.at <= each.complete_at <= change.at + warm_after
            )
            for index, moment in enumerate(came):
                warm = rules["ColdFrom"] + (1 - rules["ColdFrom"]) * min(1.0, (moment - change.at) / warm_after)
                allowed = rules["OverloadFactor"] * SERVER_RATE * warm * span
                allowed += (3 if allowed < 30 else 2) * sqrt(allowed + (3 if allowed < 30 else 2))
                count = bisect_left(came, moment + span) - index
                if count > allowed:
                    yield Violation(Rule.SLOW_START, moment, "", "", f"{change.server}: {count} of {allowed:.0f}")
                    break

    # Processes

    def _of_processes(self) -> Iterator[Violation]:
        for ending in self.history.endings:
            if ending.sigterm_at is None and ending.sigkill_at is None:
                yield Violation(Rule.CRASH, self.history.ended, ending.relay, "", f"exit code {ending.exit_code}")
            elif ending.sigterm_at is not None and ending.sigkill_at is None and not self._ended_well(ending):
                yield Violation(
                    Rule.CRASH, ending.sigterm_at, ending.relay, "", f"exit code {ending.exit_code} at its end"
                )
            elif ending.sigterm_at is not None and ending.sigkill_at is not None:
                yield from self._held(ending, ending.sigkill_at)
        for client in self.history.stalled_clients:
            if client.seconds <= BAD_CLIENT + self.extra:
                continue
            if not self._crashed(client.relay, client.incarnation, client.since + client.seconds):
                yield Violation(Rule.STALLED_CLIENT, client.since, client.relay, "", f"for {client.seconds:.1f} s")
        for relay, seconds in self.history.slow_starts:
            if seconds > READY + self.extra:
                yield Violation(Rule.NOT_READY, 0.0, relay, "", f"{seconds:.1f} s")

    def _ended_well(self, ending: Ending) -> bool:
        """Tell whether a relay that was told to end did; one that has served nobody may end by the signal itself."""
        served = any(
            (request.relay, request.incarnation) == (ending.relay, ending.incarnation)
            for request in self.history.requests
        )
        return ending.exit_code == 0 or (ending.exit_code == -signal.SIGTERM and not served)

    def _held(self, ending: Ending, killed: float) -> Iterator[Violation]:
        for request in self.history.requests:
            mine = (request.relay, request.incarnation) == (ending.relay, ending.incarnation)
            if mine and request.sent is not None and (request.closed is None or request.closed >= killed):
                yield self._broken(Rule.HELD_AT_KILL, killed, request, request.last_line)

    def _of_log(self) -> Iterator[Violation]:
        for relay, lines in self.history.logs.items():
            for line in lines:
                violated = "invariant" in line and ("violated" in line and "none violated" not in line)
                if "Traceback" in line or "Unhandled" in line or violated:
                    yield Violation(Rule.LOG, self.history.ended, relay, "", line)

    def _crashed(self, relay: str, incarnation: int, by: float) -> bool:
        """Tell whether a relay's process was killed without a word by this moment."""
        ending = self.endings.get((relay, incarnation))
        return (
            ending is not None
            and ending.sigterm_at is None
            and (ending.sigkill_at is None or ending.sigkill_at <= by + self.slack)
        )

    def _broken(self, rule: Rule, at: float, request: Request, detail: str) -> Violation:
        return Violation(rule, at, request.relay, request.id, detail)


def _out_until(attempt: Attempt) -> float:
    """Return until when an attempt is out: answered without coming up, or ended by either side."""
    answered = attempt.answered if not attempt.answer.startswith("UP") else None
    ends = [moment for moment in (answered, attempt.server_ended, attempt.relay_ended) if moment is not None]
    return min(ends, default=float("inf"))
