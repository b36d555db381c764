"""Checks the history of a soak against the rules of the protocol.

It uses what was recorded at the sockets; of what the relays report it uses only their logs. The check is pure: it maps
a history to violations. Every time limit is that of the protocol, widened by ``SLACK_S`` for the driver's own delays.
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
from scaledeal.lab.soak.plan import DRAIN_GRACE_S, Fault, Plan

SLACK_S = 0.15  # for the driver's own delays and for a relay that is held up for a moment
SOCKET_MARGIN_S = 0.05  # added to each of the protocol's limits, as it is measured at the sockets
ANSWER_GRACE_S = 0.5  # a request without an answer is lost so long after its deadline
LATE_ATTEMPT_GRACE_S = 0.1  # an attempt may start so long after its client left or got its final answer
MAX_SILENCE_S = 7.0  # a connection may return nothing for so long
CLOSE_AFTER_SILENCE_S = 5.8  # a relay may close a connection that has been silent for so long
SERVER_END_TIMEOUT_S = 1.0  # the end of a server's side reaches the client within this time
BAD_CLIENT_TIMEOUT_S = 3.0  # a client that stops in mid-request gets an error or a close within this time
CHANGE_NOTICE_TIMEOUT_S = 6.0  # while discovery can be reached, a change counts as received after this time
READY_TIMEOUT_S = 10.0  # a relay is ready within this time
MAX_LAG_S = 1.0  # above this lag of the driver, nothing can be concluded from a soak
WARM_SERVER_RATE_PER_S = 40.0  # requests of mean work that a warm server can bear
DISCOVERY_FAULTS = frozenset((Fault.DISCOVERY_DOWN, Fault.DISCOVERY_SILENT, Fault.DISCOVERY_SLOW, Fault.RELOAD))


class Rule(Enum):
    """A rule of the protocol, by the way in which it is broken."""

    LOST = "lost"  # no final answer in time, or closed without one
    WRONG_ANSWER = "wrong answer"  # an UP that no server sent for this request
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
    """One breach of a rule: when, at which relay, and for which request."""

    rule: Rule
    at: float
    relay: str
    request: str
    detail: str


class Oracle:
    """Checks one history against the rules."""

    def __init__(self, plan: Plan, history: History) -> None:
        self.plan, self.history = plan, history
        self.endings: dict[tuple[str, int], Ending] = {(e.relay, e.incarnation): e for e in history.endings}
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(history.attempts, key=lambda attempt: attempt.first_byte):
            self.attempts[attempt.id].append(attempt)
        self.classes = {entry["Name"]: entry for entry in plan.settings["Classes"]}

    def violations(self) -> list[Violation]:
        """Return all breaches of the rules, the earliest first."""
        found = [*self._check_logs(), *self._check_processes(), *self._check_slow_starts(), *self._check_drains()]
        for request in self.history.requests:
            found += self._check_answer(request)
            found += self._check_attempts(request)
            if request.is_established:
                found += self._check_connection(request)
        return sorted(found, key=lambda violation: violation.at)

    def void_reason(self) -> str:
        """Return why nothing can be concluded from this soak; empty if something can."""
        lag = self.history.worst_lag
        return f"the driver itself was {lag:.2f} s late: too slow a machine" if lag > MAX_LAG_S else ""

    # Requests

    def _check_answer(self, request: Request) -> Iterator[Violation]:
        if request.sent is None:
            return
        due = request.sent + request.answer_timeout + ANSWER_GRACE_S + SLACK_S
        if request.answered is not None:
            if request.answered > due:
                yield self._violation(Rule.LOST, request.answered, request, f"{request.answered - due:.2f} s too late")
            elif request.is_established and not any(
                attempt.answer == request.answer for attempt in self.attempts[request.id]
            ):
                yield self._violation(Rule.WRONG_ANSWER, request.answered, request, request.answer)
            return
        closed = request.closed if request.closed is not None else self.history.ended
        if self._crashed_by(request.relay, request.incarnation, min(closed, due)):
            return
        if request.closed_by is ClosedBy.RELAY:
            yield self._violation(Rule.LOST, closed, request, "closed with no answer")
        elif closed > due:
            yield self._violation(Rule.LOST, due, request, "never answered")

    def _check_attempts(self, request: Request) -> Iterator[Violation]:
        attempts = self.attempts[request.id]
        client_left = request.closed if request.closed_by is ClosedBy.CLIENT and request.answered is None else None
        semantics = self.classes[request.request_class]["Semantics"]
        may_have_run: Attempt | None = None
        previous: Attempt | None = None
        for attempt in attempts:
            began = attempt.first_byte
            if client_left is not None and began > client_left + LATE_ATTEMPT_GRACE_S + SOCKET_MARGIN_S:
                yield self._violation(Rule.AFTER_CLIENT_LEFT, began, request, f"{began - client_left:.2f} s after")
            if request.answered is not None and began > request.answered + LATE_ATTEMPT_GRACE_S:
                yield self._violation(Rule.AFTER_ANSWER, began, request, f"{began - request.answered:.2f} s after")
            if (
                previous is not None
                and attempt.complete_at is not None
                and _outstanding_until(previous) > attempt.complete_at + 0.005
            ):
                yield self._violation(
                    Rule.SECOND_COPY, attempt.complete_at, request, f"{attempt.server} and {previous.server}"
                )
            if (
                may_have_run is not None
                and attempt.complete_at is not None
                and not self._may_repeat(semantics, request, may_have_run, attempt)
            ):
                yield self._violation(
                    Rule.RAN_TWICE, attempt.complete_at, request, f"{may_have_run.server}, then {attempt.server}"
                )
            if attempt.complete_at is not None:
                previous = attempt
                if may_have_run is None and not attempt.answer.startswith("BUSY"):
                    may_have_run = attempt
        safe = semantics == "repeatable" or (semantics == "by_key" and self._scope(request) == "all")
        if may_have_run is not None and not safe and request.answer.startswith("BUSY"):
            yield self._violation(Rule.UNSAFE_REFUSAL, request.answered or 0.0, request, f"after {may_have_run.server}")

    def _scope(self, request: Request) -> str:
        return str(self.classes[request.request_class]["KeyScope"])

    def _may_repeat(self, semantics: str, request: Request, may_have_run: Attempt, attempt: Attempt) -> bool:
        if semantics != "by_key":
            return semantics == "repeatable"
        window = self.classes[request.request_class]["Window"] / 1e9 + SOCKET_MARGIN_S
        shares_keys = self._scope(request) == "all" or may_have_run.cell == attempt.cell
        return shares_keys and attempt.first_byte - may_have_run.first_byte <= window

    def _check_connection(self, request: Request) -> Iterator[Violation]:
        closed = request.closed if request.closed is not None else self.history.ended
        crashed = self._crashed_by(request.relay, request.incarnation, closed)
        current_wait = closed - request.asked_since if request.asked_since is not None else 0.0
        longest = max(request.longest_wait, 0.0 if crashed else current_wait)
        if longest > MAX_SILENCE_S + SOCKET_MARGIN_S + SLACK_S:
            yield self._violation(Rule.STALLED, closed, request, f"nothing came back for {longest:.2f} s")
        established = next((attempt for attempt in self.attempts[request.id] if attempt.answer == request.answer), None)
        if established is None or crashed:
            return
        ended = established.server_ended
        if ended is not None and closed - ended > SERVER_END_TIMEOUT_S + SOCKET_MARGIN_S + SLACK_S:
            yield self._violation(
                Rule.END_HELD_BACK, closed, request, f"{closed - ended:.2f} s after {established.server}"
            )
        ended_by_server = ended is not None and (
            established.relay_ended is None or ended <= established.relay_ended + 0.02
        )
        close_was_announced = request.last_line.partition(" ")[0] in ("MOVE", "BYE")
        if request.closed_by is ClosedBy.RELAY and not (
            ended_by_server or close_was_announced or current_wait >= CLOSE_AFTER_SILENCE_S
        ):
            yield self._violation(Rule.CUT, closed, request, f"at {established.server}, after {request.last_line!r}")

    # Servers

    def _check_drains(self) -> Iterator[Violation]:
        notified = self._drain_notices()
        for attempt in self.history.attempts:
            since = notified.get((attempt.relay, attempt.incarnation, attempt.server))
            limit = DRAIN_GRACE_S + SOCKET_MARGIN_S + SLACK_S
            if since is not None and attempt.first_byte > since + limit:
                yield Violation(
                    Rule.DRAINING,
                    attempt.first_byte,
                    attempt.relay,
                    attempt.id,
                    f"{attempt.server}, {attempt.first_byte - since:.2f} s after the relay was notified",
                )

    def _drain_notices(self) -> dict[tuple[str, int, str], float]:
        """Return when each relay process was notified that a server drains or has left.

        The keys are relay, incarnation and server; servers that become active again later are not included.
        """
        last_change = {change.server: change for change in self.history.changes}
        first_departure = {
            change.server: change for change in reversed(self.history.changes) if change.status != "active"
        }
        departures = [first_departure[name] for name, change in last_change.items() if change.status != "active"]
        discovery_was_reachable = not any(event.fault in DISCOVERY_FAULTS for event in self.plan.events)
        notified: dict[tuple[str, int, str], float] = {}
        for written in self.history.lists:
            for change in departures:
                if written.index >= change.index:
                    key = (written.relay, written.incarnation, change.server)
                    at = max(written.at, change.at)
                    notified[key] = min(
                        notified.get(key, at),
                        at,
                        change.at + CHANGE_NOTICE_TIMEOUT_S if discovery_was_reachable else at,
                    )
        return notified

    def _check_slow_starts(self) -> Iterator[Violation]:
        rules = self.plan.settings["Rules"]
        window, warm_after = rules["Fall"] / 1e9, rules["WarmAfter"] / 1e9
        for change in self.history.changes:
            if change.status != "active" or not change.since:
                continue
            arrivals = sorted(
                attempt.complete_at
                for attempt in self.history.attempts
                if attempt.server == change.server
                and attempt.complete_at is not None
                and change.at <= attempt.complete_at <= change.at + warm_after
            )
            for index, moment in enumerate(arrivals):
                warmth = rules["ColdFrom"] + (1 - rules["ColdFrom"]) * min(1.0, (moment - change.at) / warm_after)
                allowed = rules["OverloadFactor"] * WARM_SERVER_RATE_PER_S * warmth * window
                allowed += (3 if allowed < 30 else 2) * sqrt(allowed + (3 if allowed < 30 else 2))
                count = bisect_left(arrivals, moment + window) - index
                if count > allowed:
                    yield Violation(
                        Rule.SLOW_START, moment, "", "", f"{change.server}: {count} requests, {allowed:.0f} allowed"
                    )
                    break

    # Processes

    def _check_processes(self) -> Iterator[Violation]:
        for ending in self.history.endings:
            if ending.sigterm_at is None and ending.sigkill_at is None:
                yield Violation(Rule.CRASH, self.history.ended, ending.relay, "", f"exit code {ending.exit_code}")
            elif ending.sigterm_at is not None and ending.sigkill_at is None and not self._ended_properly(ending):
                yield Violation(
                    Rule.CRASH, ending.sigterm_at, ending.relay, "", f"exit code {ending.exit_code} at its end"
                )
            elif ending.sigterm_at is not None and ending.sigkill_at is not None:
                yield from self._check_connections_at_kill(ending, ending.sigkill_at)
        for client in self.history.stalled_clients:
            if client.seconds <= BAD_CLIENT_TIMEOUT_S:
                continue
            if not self._crashed_by(client.relay, client.incarnation, client.since + client.seconds):
                yield Violation(Rule.STALLED_CLIENT, client.since, client.relay, "", f"for {client.seconds:.1f} s")
        for relay, seconds in self.history.slow_starts:
            if seconds > READY_TIMEOUT_S:
                yield Violation(Rule.NOT_READY, 0.0, relay, "", f"{seconds:.1f} s")

    def _ended_properly(self, ending: Ending) -> bool:
        """Return whether a relay ended properly after SIGTERM.

        A relay that has served no request may also be ended by the signal itself.
        """
        served = any(
            (request.relay, request.incarnation) == (ending.relay, ending.incarnation)
            for request in self.history.requests
        )
        return ending.exit_code == 0 or (ending.exit_code == -signal.SIGTERM and not served)

    def _check_connections_at_kill(self, ending: Ending, sigkill_at: float) -> Iterator[Violation]:
        for request in self.history.requests:
            of_this_process = (request.relay, request.incarnation) == (ending.relay, ending.incarnation)
            if (
                of_this_process
                and request.sent is not None
                and (request.closed is None or request.closed >= sigkill_at)
            ):
                yield self._violation(Rule.HELD_AT_KILL, sigkill_at, request, request.last_line)

    def _check_logs(self) -> Iterator[Violation]:
        for relay, lines in self.history.logs.items():
            for line in lines:
                violated = "invariant" in line and ("violated" in line and "none violated" not in line)
                if "Traceback" in line or "Unhandled" in line or violated:
                    yield Violation(Rule.LOG, self.history.ended, relay, "", line)

    def _crashed_by(self, relay: str, incarnation: int, by: float) -> bool:
        """Return whether a relay process was killed without SIGTERM, or crashed, by the time ``by``."""
        ending = self.endings.get((relay, incarnation))
        return (
            ending is not None
            and ending.sigterm_at is None
            and (ending.sigkill_at is None or ending.sigkill_at <= by + SLACK_S)
        )

    def _violation(self, rule: Rule, at: float, request: Request, detail: str) -> Violation:
        return Violation(rule, at, request.relay, request.id, detail)


def _outstanding_until(attempt: Attempt) -> float:
    """Return when an attempt stops being outstanding: answered other than with UP, or ended by either side."""
    answered = attempt.answered if not attempt.answer.startswith("UP") else None
    ends = [moment for moment in (answered, attempt.server_ended, attempt.relay_ended) if moment is not None]
    return min(ends, default=float("inf"))
