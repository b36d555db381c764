"""Attributes each second in which a client wanted a connection and had none, or a poor one, to one cause.

A client wants its connection from its first line until the client, or its server, ends it normally. Losses are booked:

- before the connection is up: the wait at the relay until an attempt begins, then attempts that did not come up;
- between two requests: after a refusal, a failure, a move, a break, a drain, or the end of a relay;
- while the connection is up: messages are ``MESSAGE_INTERVAL_S`` apart, and a late one costs the time until the next,
  or until its answer if that is later. A server that has more load than capacity by any relay's report, or whose
  messages take longer than the class wants by any relay's note, costs the time until the next report or note about
  it, at most ``REPORT_VALIDITY_S``.

A client that never returns is booked for at most ``NO_RETURN_LOSS_S``, or until the trace ends.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from scaledeal.lab.account.client_histories import Attempt, ClientHistories, End, RequestHistory
from scaledeal.net.trace import Line

MESSAGE_INTERVAL_S = 2.0  # between two messages of a client, as the protocol defines it
REPORT_VALIDITY_S = 2.0  # for which one report or note describes a server
NO_RETURN_LOSS_S = 10.0  # booked for a client that does not return
SET_UP_ALLOWANCE_S = 0.05  # a wait or a set-up up to this long is no loss
HUNG_MESSAGE_MS = 2000.0  # delay of a message from which its server counts as hung
UNATTRIBUTED = "unattributed"
CONNECTED_CAUSES = ("late messages", "standing")  # prefixes of the causes that occur while a connection is up
_GAP_CAUSES = {
    End.REFUSED: "refused",
    End.FAILED: "failed",
    End.MOVED: "moved",
    End.SENT_AWAY: "sent away by a draining server",
    End.BROKEN: "broken",
    End.RELAY_GONE: "relay gone",
    End.LEFT: "client left unanswered",
}


class Entry(msgspec.Struct, frozen=True):
    """The seconds that one client lost to one cause."""

    cause: str
    cls: int
    key: str
    relay: str
    server: str
    began: float
    ended: float

    @property
    def seconds(self) -> float:
        """Return the length of the loss."""
        return max(0.0, self.ended - self.began)


class Prices(msgspec.Struct):
    """Counts over the fleet of everything that has a price."""

    firsts: int = 0  # first requests of a client; prices are given per first request
    again: int = 0
    attempts: int = 0
    wasted: int = 0  # attempts that did not come up
    far: int = 0  # attempts that crossed zones
    moves: Counter[str] = msgspec.field(default_factory=Counter)  # by rule
    probes: int = 0
    calls: int = 0  # to discovery, for the list


class Second(msgspec.Struct):
    """Counts and states of the whole fleet in one second."""

    new: int = 0
    again: int = 0
    refused: int = 0
    moved: int = 0
    broken: int = 0
    attempts: int = 0
    wasted: int = 0
    probes: int = 0
    rungs: list[int] = []  # the latest of each relay
    asked: list[float] = []  # load over capacity, by the reports on warm servers
    cold: list[float] = []  # the same of cold servers
    lost: dict[str, float] = msgspec.field(default_factory=lambda: defaultdict(float))  # worth-seconds, by cause


class ServerReports:
    """The load reports and slow-message notes of all relays, by server; no single relay has all of them."""

    def __init__(self) -> None:
        self.report_times: dict[str, list[float]] = defaultdict(list)
        self.load_reports: dict[str, list[tuple[float, bool]]] = defaultdict(
            list
        )  # load over capacity, and whether cold
        self.slow_messages: dict[str, list[tuple[float, float]]] = defaultdict(list)  # time, and delay in ms

    def add(self, line: Line) -> None:
        """Add a load report."""
        self.report_times[line.server].append(line.at)
        self.load_reports[line.server].append((line.asked, line.cold))

    def bad_spans(self, server: str, aim_ms: float, began: float, ended: float) -> Iterator[tuple[float, float, str]]:
        """Yield begin, end and reason of each part of a span in which a server was overloaded or slow.

        It counts as slow where a message took longer than ``aim_ms``, the class's target; an aim of 0 is no target.
        """
        reports = zip(self.report_times[server], self.load_reports[server], strict=True)
        states = [(at, load_ratio > 1, "asked too much") for at, (load_ratio, _) in reports]
        states += [
            (at, delay_ms > aim_ms > 0, "hung" if delay_ms >= HUNG_MESSAGE_MS else "slow")
            for at, delay_ms in self.slow_messages[server]
        ]
        states = sorted(state for state in states if began - REPORT_VALIDITY_S < state[0] < ended)
        for index, (at, bad, reason) in enumerate(states):
            until = min(ended, at + REPORT_VALIDITY_S, states[index + 1][0] if index + 1 < len(states) else ended)
            if bad and until > max(at, began):
                yield max(at, began), until, reason

    def describe(self, server: str, at: float) -> str:
        """Return a server's state at a time, by the latest report of any relay from 4 s before to 0.5 s after it."""
        index = bisect_right(self.report_times[server], at + 0.5) - 1
        if index < 0 or at - self.report_times[server][index] > 4.0:
            return "not reported"
        load_ratio, cold = self.load_reports[server][index]
        return ("cold, " if cold else "") + (
            "asked too much" if load_ratio > 1 else "full" if load_ratio > 0.75 else "with room"
        )


class Ledger:
    """The account of one run."""

    def __init__(self, lines: Iterable[Line]) -> None:
        self.histories = ClientHistories()
        self.reports = ServerReports()
        self.prices = Prices()
        self.class_names: tuple[str, ...] = ()
        self.class_worths: tuple[float, ...] = ()
        self.message_aims_ms: tuple[float, ...] = ()  # by class
        self.relays = 0
        self.seconds: dict[int, Second] = defaultdict(Second)
        self.entries: list[Entry] = []
        self.connected_worth_s = 0.0  # worth-seconds for which connections were up
        self.return_causes: Counter[str] = Counter()  # why clients returned
        self._rungs: dict[str, int] = {}
        for line in lines:
            self._add_line(line)
        self.histories.close()
        self.start, self.end = self.histories.first_at, self.histories.last_at
        for requests in self.histories.by_key.values():
            self._book_client(requests)
        self._sum_by_second()

    # Lines

    def _add_line(self, line: Line) -> None:
        self.histories.add(line)
        second = self.seconds[int(line.at)]
        match line.what:
            case "start":
                self.class_names, self.class_worths, self.message_aims_ms = line.names, line.worths, line.aims
                self.relays = max(self.relays, line.siblings)
                self._rungs[line.relay] = 0
            case "send":
                second.attempts += 1
                self.prices.far += line.far
            case "probe":
                second.probes += 1
                self.prices.probes += 1
            case "report" if line.asked >= 0:
                self.reports.add(line)
                (second.cold if line.cold else second.asked).append(line.asked)
            case "slow":
                self.reports.slow_messages[line.server].append((line.at, line.ms))
            case "rung":
                self._rungs[line.relay] = line.rung
            case "move":
                self.prices.moves[line.why] += 1
            case "watch":
                self.prices.calls += 1
        second.rungs = list(self._rungs.values()) if not second.rungs else second.rungs

    # Losses of one client

    def _book_client(self, requests: list[RequestHistory]) -> None:
        for index, request in enumerate(requests):
            following = requests[index + 1] if index + 1 < len(requests) else None
            if following is not None and request.end is End.OPEN:
                # No line has its end: the time from its last line to the next request is unattributed.
                request.ended = min(following.began, last_seen(request))
            self._book_request(request, index == 0)
            if request.end in _GAP_CAUSES:
                self._book_gap(request, following)
            elif following is not None and request.end is End.OPEN:
                self._book(UNATTRIBUTED, request, "", request.ended or following.began, following.began)
            if following is not None:
                self.return_causes[self._gap_cause(request) if request.end in _GAP_CAUSES else request.end.value] += 1

    def _book_request(self, request: RequestHistory, first: bool) -> None:
        connected_before_start = first and bool(request.connected_at) and not request.attempts
        if not connected_before_start:
            self.prices.firsts += first
            self.prices.again += not first
            second = self.seconds[int(request.began)]
            if first and not request.returning:
                second.new += 1
            else:
                second.again += 1
        for attempt in request.attempts:
            self.prices.attempts += 1
            if attempt.result != "up":
                self.prices.wasted += 1
                self.seconds[int(attempt.began)].wasted += 1
        self._book_set_up(request)
        if request.connected_at:
            ended = request.ended or self.end
            self.connected_worth_s += max(0.0, ended - request.connected_at) * self._worth(request.cls)
            self._book_poor_service(request, ended)

    def _book_set_up(self, request: RequestHistory) -> None:
        at = request.began
        for attempt in request.attempts:
            if attempt.began - at > SET_UP_ALLOWANCE_S:
                self._book("waiting at the relay", request, attempt.server, at, attempt.began)
            at = attempt.ended or self.end
            if attempt.result != "up":
                self._book(
                    f"attempt: {attempt.result or 'still out'}, server {self._server_state(attempt)}",
                    request,
                    attempt.server,
                    attempt.began,
                    at,
                )
            elif at - attempt.began > SET_UP_ALLOWANCE_S:
                self._book("slow set-up", request, attempt.server, attempt.began, at)
        ended = request.ended or self.end
        if not request.connected_at and ended - at > SET_UP_ALLOWANCE_S:
            self._book("waiting at the relay", request, "", at, ended)

    def _server_state(self, attempt: Attempt) -> str:
        return self.reports.describe(attempt.server, attempt.began)

    def _book_poor_service(self, request: RequestHistory, ended: float) -> None:
        spans = [
            (
                late.sent,
                min(ended, max(late.until or ended, late.sent + MESSAGE_INTERVAL_S)),
                "late messages, server "
                f"{'hung' if late.delay_ms >= HUNG_MESSAGE_MS else self.reports.describe(request.server, late.sent)}",
            )
            for late in request.late_messages
        ]
        aim_ms = self.message_aims_ms[request.cls] if 0 <= request.cls < len(self.message_aims_ms) else 0.0
        spans += [
            (began, until, f"standing at a server {reason}")
            for began, until, reason in self.reports.bad_spans(request.server, aim_ms, request.connected_at, ended)
        ]
        booked_until = request.connected_at
        for began, until, cause in sorted(spans):  # spans overlap, and no time may be booked twice
            if until > max(booked_until, began):
                self._book(cause, request, request.server, max(booked_until, began), until)
                booked_until = until

    def _book_gap(self, request: RequestHistory, following: RequestHistory | None) -> None:
        until = following.began if following is not None else min(self.end, request.ended + NO_RETURN_LOSS_S)
        suffix = "" if following is not None else ", never came again"
        self._book(self._gap_cause(request) + suffix, request, request.server, request.ended, until)

    def _gap_cause(self, request: RequestHistory) -> str:
        cause = _GAP_CAUSES[request.end]
        if request.end in (End.REFUSED, End.FAILED, End.MOVED):
            cause += f": {request.reason or 'no rule told'}"
        if request.end is End.BROKEN:
            cause += f": {request.reason}, server {self.reports.describe(request.server, request.ended)}"
        return cause

    def _worth(self, cls: int) -> float:
        return self.class_worths[cls] if 0 <= cls < len(self.class_worths) else 1.0

    def _book(self, cause: str, request: RequestHistory, server: str, began: float, ended: float) -> None:
        if ended > began:
            self.entries.append(Entry(cause, request.cls, request.key, request.relay, server, began, ended))

    # Totals

    def _sum_by_second(self) -> None:
        for entry in self.entries:
            for second, part in split_by_second(entry.began, entry.ended):
                self.seconds[second].lost[entry.cause] += part * self._worth(entry.cls)
        for requests in self.histories.by_key.values():
            for request in requests:
                if request.ended:
                    row = self.seconds[int(request.ended)]
                    row.refused += request.end is End.REFUSED
                    row.moved += request.end is End.MOVED
                    row.broken += request.end is End.BROKEN

    def lost_by_cause(self) -> dict[str, float]:
        """Return the worth-seconds lost by cause, the largest first."""
        total: dict[str, float] = defaultdict(float)
        for entry in self.entries:
            total[entry.cause] += entry.seconds * self._worth(entry.cls)
        return ranked(total)

    def wanted_worth_s(self) -> float:
        """Return the worth-seconds that clients wanted: with a connection up, and without one."""
        without = sum(e.seconds * self._worth(e.cls) for e in self.entries if not e.cause.startswith(CONNECTED_CAUSES))
        return self.connected_worth_s + without

    def lost_by_class(self) -> dict[str, dict[str, float]]:
        """Return the seconds lost by class and cause."""
        table: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        for entry in self.entries:
            name = self.class_names[entry.cls] if 0 <= entry.cls < len(self.class_names) else str(entry.cls)
            table[name][entry.cause] += entry.seconds
        return {name: ranked(row) for name, row in sorted(table.items())}

    def lost_by_relay(self) -> dict[str, float]:
        """Return the worth-seconds lost by the relay at which each loss began, the largest first."""
        total: dict[str, float] = defaultdict(float)
        for entry in self.entries:
            total[entry.relay] += entry.seconds * self._worth(entry.cls)
        return ranked(total)

    def count_returns(self) -> tuple[Counter[int], Counter[str]]:
        """Return the clients by their number of requests, and the attempts of returning clients by server."""
        request_counts: Counter[int] = Counter()
        servers: Counter[str] = Counter()
        for requests in self.histories.by_key.values():
            request_counts[len(requests)] += 1
            for request in requests[1:]:
                servers.update(attempt.server for attempt in request.attempts)
        return request_counts, servers


def last_seen(request: RequestHistory) -> float:
    """Return the latest time that any line gives for a request."""
    return max(
        request.began,
        request.connected_at,
        *(attempt.ended for attempt in request.attempts),
        *(late.sent for late in request.late_messages),
    )


def ranked(amounts: dict[str, float]) -> dict[str, float]:
    """Return amounts by name, the largest first."""
    return dict(sorted(amounts.items(), key=lambda item: (-item[1], item[0])))


def split_by_second(began: float, ended: float) -> Iterator[tuple[int, float]]:
    """Yield each whole second that a span touches, and how much of it the span covers."""
    second = int(began)
    while second < ended:
        yield second, min(ended, second + 1.0) - max(began, float(second))
        second += 1
