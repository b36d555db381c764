"""Puts together what one client met: its visits to relays, and in each the attempts, the standing time and the end.

A client is known by its flow's key, which it keeps when it comes again; ids are new for each connection. Times are
seconds since 1970, as in the lines.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import msgspec

from scaledeal.net.trace import Line


class End(Enum):
    """How a visit ended."""

    OPEN = "open"  # it had not when the lines end
    SERVED = "served"  # to the end that its client or its server wanted
    REFUSED = "refused"
    FAILED = "failed"
    MOVED = "moved"
    SENT_AWAY = "sent away"  # by a draining server
    BROKEN = "broken"  # by its server
    LEFT = "left"  # by its client before an answer
    RELAY_GONE = "relay gone"


class Attempt(msgspec.Struct):
    """One send: from when to when, where to, and what came of it."""

    server: str
    began: float
    asked: float  # believed of the server when it was taken
    told_ms: float
    cold: bool
    far: bool
    rung: int
    ended: float = 0.0  # 0 while it is out
    result: str = ""


class Late(msgspec.Struct):
    """A message that came late, or is still waited for."""

    sent: float
    until: float  # 0 while it is waited for
    ms: float


class Visit(msgspec.Struct):
    """One connection of a client to a relay."""

    relay: str
    request: str
    id: str
    key: str
    group: str
    cls: int
    again: bool
    began: float
    attempts: list[Attempt] = []
    up: float = 0.0  # 0 where it never was
    server: str = ""
    late: list[Late] = []
    end: End = End.OPEN
    ended: float = 0.0
    why: str = ""
    rung: int = 0


class Journeys:
    """Reads lines in their order and keeps each client's visits."""

    def __init__(self) -> None:
        self.by_key: dict[str, list[Visit]] = defaultdict(list)
        self.open: dict[tuple[str, str], Visit] = {}
        self.heard: dict[str, float] = {}  # when each relay last wrote a line
        self.first = self.last = 0.0
        self._read = {
            "send": self._send,
            "up": self._up,
            "out": self._out,
            "late": self._late,
            "refuse": self._refuse,
            "fail": self._fail,
            "move": self._move,
            "gone": self._gone,
        }

    def take(self, line: Line) -> None:
        """Take the next line."""
        self.first = self.first or line.at
        self.last = line.at
        if line.what == "start":
            self._started(line)
        elif line.what == "ask":
            self._ask(line)
        elif (visit := self.open.get((line.relay, line.request))) and (read := self._read.get(line.what)):
            read(line, visit)
        self.heard[line.relay] = line.at

    def close(self, quiet: float = 2.0) -> None:
        """Hear that the lines are over: a relay that fell silent so many seconds before is gone."""
        for visit in list(self.open.values()):
            heard = self.heard[visit.relay]
            if self.last - heard > quiet:
                self._end(visit, heard, End.RELAY_GONE, "relay fell silent")

    def _started(self, line: Line) -> None:
        # Guards against connections of a killed relay that seem to stand for ever: a start ends what was before.
        for visit in [v for v in self.open.values() if v.relay == line.relay]:
            self._end(visit, self.heard[line.relay], End.RELAY_GONE, "relay started again")

    def _ask(self, line: Line) -> None:
        visit = Visit(line.relay, line.request, line.id, line.key, line.group, line.cls, line.again, line.at)
        if line.server:  # stood before the start
            visit.up, visit.server = line.at, line.server
        self.open[line.relay, line.request] = visit
        self.by_key[line.key].append(visit)

    def _send(self, line: Line, visit: Visit) -> None:
        visit.attempts.append(Attempt(line.server, line.at, line.asked, line.told_ms, line.cold, line.far, line.rung))

    def _up(self, line: Line, visit: Visit) -> None:
        visit.up, visit.server = line.at, line.server
        if visit.attempts:
            visit.attempts[-1].ended, visit.attempts[-1].result = line.at, "up"

    def _out(self, line: Line, visit: Visit) -> None:
        if not visit.up:
            if visit.attempts and not visit.attempts[-1].ended:
                visit.attempts[-1].ended, visit.attempts[-1].result = line.at, line.result
            if line.result == "ok":
                self._end(visit, line.at, End.SERVED, "")
            return
        ends = {"ok": End.SERVED, "cancelled": End.SENT_AWAY}
        self._end(visit, line.at, ends.get(line.result, End.BROKEN), line.result)

    def _late(self, line: Line, visit: Visit) -> None:
        sent = line.at - line.ms / 1000
        if visit.late and not visit.late[-1].until:
            visit.late[-1].until, visit.late[-1].ms = line.at, line.ms
            if abs(visit.late[-1].sent - sent) < 0.05:
                return  # the answer to the one that was waited for
        visit.late.append(Late(sent, 0.0 if line.why == "waits" else line.at, line.ms))

    def _refuse(self, line: Line, visit: Visit) -> None:
        visit.rung = line.rung
        self._end(visit, line.at, End.REFUSED, line.why)

    def _fail(self, line: Line, visit: Visit) -> None:
        self._end(visit, line.at, End.FAILED, line.why)

    def _move(self, line: Line, visit: Visit) -> None:
        visit.rung = line.rung
        self._end(visit, line.at, End.MOVED, line.why)

    def _gone(self, line: Line, visit: Visit) -> None:
        self._end(visit, line.at, End.SERVED if visit.up else End.LEFT, "client left")

    def _end(self, visit: Visit, at: float, end: End, why: str) -> None:
        visit.ended, visit.end, visit.why = at, end, why
        if visit.late and not visit.late[-1].until:
            visit.late[-1].until = at
        if visit.attempts and not visit.attempts[-1].ended:
            visit.attempts[-1].ended, visit.attempts[-1].result = at, "given up"
        self.open.pop((visit.relay, visit.request), None)
