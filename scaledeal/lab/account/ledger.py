"""Books every second that a client wanted its connection and had none, or a poor one, to one cause.

A client wants its connection from its first line until it, or its server, ends it in peace. What it goes without:

- before it is up: waiting at the relay until an attempt begins, then in attempts that did not come up;
- between two visits: after a refusal, a failure, a move, a break, a drain, a relay's end;
- while it stands: ``MESSAGES`` apart come messages, and one that is late spoils the time until the next, or until it is
  answered if that is longer; so does a server that by any relay's report is asked for more than it can do, or at which
  by any relay's note messages take longer than the class wants, until the next word of it, ``LASTS`` at most.

A client that never comes again is booked ``GAVE_UP`` seconds at most, or until the lines end.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from scaledeal.lab.account.journeys import Attempt, End, Journeys, Visit
from scaledeal.net.trace import Line

MESSAGES = 2.0  # seconds between two messages of a client, as the protocol tells
LASTS = 2.0  # seconds for which one word of a server tells its state
GAVE_UP = 10.0  # seconds booked for a client that does not come again
SET_UP = 0.05  # seconds of a set-up that are nobody's fault
HUNG = 2000.0  # ms of a message from which its server counts as hung
UNKNOWN = "unattributed"
STANDS = ("late messages", "standing")  # how the causes begin that befall connections that stand
_GAPS = {
    End.REFUSED: "refused",
    End.FAILED: "failed",
    End.MOVED: "moved",
    End.SENT_AWAY: "sent away by a draining server",
    End.BROKEN: "broken",
    End.RELAY_GONE: "relay gone",
    End.LEFT: "client left unanswered",
}


class Entry(msgspec.Struct, frozen=True):
    """Seconds lost by one client to one cause."""

    cause: str
    cls: int
    key: str
    relay: str
    server: str
    began: float
    ended: float

    @property
    def seconds(self) -> float:
        """Return how long it lasted."""
        return max(0.0, self.ended - self.began)


class Prices(msgspec.Struct):
    """What costs points, counted over the fleet."""

    firsts: int = 0  # first visits of a client: what prices are shares of
    again: int = 0
    attempts: int = 0
    wasted: int = 0  # attempts that did not come up
    far: int = 0  # attempts that crossed zones
    moves: Counter[str] = msgspec.field(default_factory=Counter)  # by rule
    probes: int = 0
    calls: int = 0  # for the list


class Second(msgspec.Struct):
    """One second of the whole fleet."""

    new: int = 0
    again: int = 0
    refused: int = 0
    moved: int = 0
    broken: int = 0
    attempts: int = 0
    wasted: int = 0
    probes: int = 0
    rungs: list[int] = []  # of the relays, as they last told
    asked: list[float] = []  # of the reports that came
    cold: list[float] = []  # of those from cold servers
    lost: dict[str, float] = msgspec.field(default_factory=lambda: defaultdict(float))  # seconds of worth, by cause


class Truth:
    """What the fleet's reports together tell of each server, which no relay alone knows."""

    def __init__(self) -> None:
        self.at: dict[str, list[float]] = defaultdict(list)
        self.told: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        self.slow: dict[str, list[tuple[float, float]]] = defaultdict(list)  # when, and ms of a message

    def take(self, line: Line) -> None:
        """Take a report."""
        self.at[line.server].append(line.at)
        self.told[line.server].append((line.asked, line.cold))

    def troubles(self, server: str, aim: float, began: float, ended: float) -> Iterator[tuple[float, float, str]]:
        """Yield when in a span a server served nobody of a class whose messages are wanted within ``aim`` ms."""
        reports = zip(self.at[server], self.told[server], strict=True)
        words = [(at, asked > 1, "asked too much") for at, (asked, _) in reports]
        words += [(at, ms > aim > 0, "hung" if ms >= HUNG else "slow") for at, ms in self.slow[server]]
        words = sorted(word for word in words if began - LASTS < word[0] < ended)
        for place, (at, bad, why) in enumerate(words):
            until = min(ended, at + LASTS, words[place + 1][0] if place + 1 < len(words) else ended)
            if bad and until > max(at, began):
                yield max(at, began), until, why

    def word(self, server: str, at: float) -> str:
        """Return a server's state at a moment, by its latest report from any relay."""
        place = bisect_right(self.at[server], at + 0.5) - 1
        if place < 0 or at - self.at[server][place] > 4.0:
            return "not reported"
        asked, cold = self.told[server][place]
        return ("cold, " if cold else "") + ("asked too much" if asked > 1 else "full" if asked > 0.75 else "with room")


class Ledger:
    """The account of one run."""

    def __init__(self, lines: Iterable[Line]) -> None:
        self.journeys = Journeys()
        self.truth = Truth()
        self.prices = Prices()
        self.names: tuple[str, ...] = ()
        self.worths: tuple[float, ...] = ()
        self.aims: tuple[float, ...] = ()
        self.relays = 0
        self.seconds: dict[int, Second] = defaultdict(Second)
        self.entries: list[Entry] = []
        self.stood = 0.0  # seconds of worth for which connections stood
        self.returns: Counter[str] = Counter()  # why clients came again
        self._rungs: dict[str, int] = {}
        for line in lines:
            self._line(line)
        self.journeys.close()
        self.start, self.end = self.journeys.first, self.journeys.last
        for visits in self.journeys.by_key.values():
            self._client(visits)
        self._by_second()

    # The lines

    def _line(self, line: Line) -> None:
        self.journeys.take(line)
        second = self.seconds[int(line.at)]
        match line.what:
            case "start":
                self.names, self.worths, self.aims = line.names, line.worths, line.aims
                self.relays = max(self.relays, line.siblings)
                self._rungs[line.relay] = 0
            case "send":
                second.attempts += 1
                self.prices.far += line.far
            case "probe":
                second.probes += 1
                self.prices.probes += 1
            case "report" if line.asked >= 0:
                self.truth.take(line)
                (second.cold if line.cold else second.asked).append(line.asked)
            case "slow":
                self.truth.slow[line.server].append((line.at, line.ms))
            case "rung":
                self._rungs[line.relay] = line.rung
            case "move":
                self.prices.moves[line.why] += 1
            case "watch":
                self.prices.calls += 1
        second.rungs = list(self._rungs.values()) if not second.rungs else second.rungs

    # A client

    def _client(self, visits: list[Visit]) -> None:
        for number, visit in enumerate(visits):
            after = visits[number + 1] if number + 1 < len(visits) else None
            if after is not None and visit.end is End.OPEN:
                visit.ended = min(after.began, last_seen(visit))  # no line tells its end: what follows is unattributed
            self._visit(visit, number == 0)
            if visit.end in _GAPS:
                self._gap(visit, after)
            elif after is not None and visit.end is End.OPEN:
                self._book(UNKNOWN, visit, "", visit.ended or after.began, after.began)
            if after is not None:
                self.returns[self._cause(visit) if visit.end in _GAPS else visit.end.value] += 1

    def _visit(self, visit: Visit, first: bool) -> None:
        standing = first and bool(visit.up) and not visit.attempts
        if not standing:
            self.prices.firsts += first
            self.prices.again += not first
            second = self.seconds[int(visit.began)]
            if first and not visit.again:
                second.new += 1
            else:
                second.again += 1
        for attempt in visit.attempts:
            self.prices.attempts += 1
            if attempt.result != "up":
                self.prices.wasted += 1
                self.seconds[int(attempt.began)].wasted += 1
        self._set_up(visit)
        if visit.up:
            ended = visit.ended or self.end
            self.stood += max(0.0, ended - visit.up) * self._worth(visit.cls)
            self._late(visit, ended)

    def _set_up(self, visit: Visit) -> None:
        at = visit.began
        for attempt in visit.attempts:
            if attempt.began - at > SET_UP:
                self._book("waiting at the relay", visit, attempt.server, at, attempt.began)
            at = attempt.ended or self.end
            if attempt.result != "up":
                self._book(
                    f"attempt: {attempt.result or 'still out'}, server {self._state(attempt)}",
                    visit,
                    attempt.server,
                    attempt.began,
                    at,
                )
            elif at - attempt.began > SET_UP:
                self._book("slow set-up", visit, attempt.server, attempt.began, at)
        ended = visit.ended or self.end
        if not visit.up and ended - at > SET_UP:
            self._book("waiting at the relay", visit, "", at, ended)

    def _state(self, attempt: Attempt) -> str:
        return self.truth.word(attempt.server, attempt.began)

    def _late(self, visit: Visit, ended: float) -> None:
        spoilt = [
            (
                late.sent,
                min(ended, max(late.until or ended, late.sent + MESSAGES)),
                f"late messages, server {'hung' if late.ms >= HUNG else self.truth.word(visit.server, late.sent)}",
            )
            for late in visit.late
        ]
        aim = self.aims[visit.cls] if 0 <= visit.cls < len(self.aims) else 0.0
        spoilt += [
            (began, until, f"standing at a server {why}")
            for began, until, why in self.truth.troubles(visit.server, aim, visit.up, ended)
        ]
        reached = visit.up
        for began, until, cause in sorted(spoilt):  # no moment counts twice
            if until > max(reached, began):
                self._book(cause, visit, visit.server, max(reached, began), until)
                reached = until

    def _gap(self, visit: Visit, after: Visit | None) -> None:
        until = after.began if after is not None else min(self.end, visit.ended + GAVE_UP)
        back = "" if after is not None else ", never came again"
        self._book(self._cause(visit) + back, visit, visit.server, visit.ended, until)

    def _cause(self, visit: Visit) -> str:
        cause = _GAPS[visit.end]
        if visit.end in (End.REFUSED, End.FAILED, End.MOVED):
            cause += f": {visit.why or 'no rule told'}"
        if visit.end is End.BROKEN:
            cause += f": {visit.why}, server {self.truth.word(visit.server, visit.ended)}"
        return cause

    def _worth(self, cls: int) -> float:
        return self.worths[cls] if 0 <= cls < len(self.worths) else 1.0

    def _book(self, cause: str, visit: Visit, server: str, began: float, ended: float) -> None:
        if ended > began:
            self.entries.append(Entry(cause, visit.cls, visit.key, visit.relay, server, began, ended))

    # The whole

    def _by_second(self) -> None:
        for entry in self.entries:
            for second, part in spread(entry.began, entry.ended):
                self.seconds[second].lost[entry.cause] += part * self._worth(entry.cls)
        for visits in self.journeys.by_key.values():
            for visit in visits:
                if visit.ended:
                    row = self.seconds[int(visit.ended)]
                    row.refused += visit.end is End.REFUSED
                    row.moved += visit.end is End.MOVED
                    row.broken += visit.end is End.BROKEN

    def lost(self) -> dict[str, float]:
        """Return the worth-seconds lost by cause, the largest first."""
        total: dict[str, float] = defaultdict(float)
        for entry in self.entries:
            total[entry.cause] += entry.seconds * self._worth(entry.cls)
        return ranked(total)

    def asked_for(self) -> float:
        """Return the worth-seconds that clients wanted: those that stood, and those without a connection."""
        without = sum(e.seconds * self._worth(e.cls) for e in self.entries if not e.cause.startswith(STANDS))
        return self.stood + without

    def by_class(self) -> dict[str, dict[str, float]]:
        """Return the seconds lost by class and cause."""
        table: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        for entry in self.entries:
            name = self.names[entry.cls] if 0 <= entry.cls < len(self.names) else str(entry.cls)
            table[name][entry.cause] += entry.seconds
        return {name: ranked(row) for name, row in sorted(table.items())}

    def by_relay(self) -> dict[str, float]:
        """Return the worth-seconds lost by the relay at which the trouble began, the most first."""
        total: dict[str, float] = defaultdict(float)
        for entry in self.entries:
            total[entry.relay] += entry.seconds * self._worth(entry.cls)
        return ranked(total)

    def storm(self) -> tuple[Counter[int], Counter[str]]:
        """Return how many clients came how often, and the servers that returning clients were sent to."""
        often: Counter[int] = Counter()
        servers: Counter[str] = Counter()
        for visits in self.journeys.by_key.values():
            often[len(visits)] += 1
            for visit in visits[1:]:
                servers.update(attempt.server for attempt in visit.attempts)
        return often, servers


def last_seen(visit: Visit) -> float:
    """Return the last moment that any line told of a visit."""
    return max(visit.began, visit.up, *(each.ended for each in visit.attempts), *(each.sent for each in visit.late))


def ranked(amounts: dict[str, float]) -> dict[str, float]:
    """Return amounts by name, the largest first."""
    return dict(sorted(amounts.items(), key=lambda each: (-each[1], each[0])))


def spread(began: float, ended: float) -> Iterator[tuple[int, float]]:
    """Yield the whole seconds that a span touches, and how much of each."""
    second = int(began)
    while second < ended:
        yield second, min(ended, second + 1.0) - max(began, float(second))
        second += 1
