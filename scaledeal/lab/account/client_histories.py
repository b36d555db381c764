"""Joins the trace lines of each client: its requests to relays, and the attempts, the connection and the end of each.

A client is identified by the key of its flow, which it keeps when it returns; ids are new for each connection. Times
are seconds since 1970, as in the lines.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import msgspec

from scaledeal.net.trace import Line


class End(Enum):
    """How a request ended."""

    OPEN = "open"  # not ended before the end of the trace
    SERVED = "served"  # ended normally by the client or the server
    REFUSED = "refused"
    FAILED = "failed"
    MOVED = "moved"
    SENT_AWAY = "sent away"  # by a draining server
    BROKEN = "broken"  # by the server
    LEFT = "left"  # by the client, before an answer
    RELAY_GONE = "relay gone"


class Attempt(msgspec.Struct):
    """One attempt to set up a connection to a server, with its result."""

    server: str
    began: float
    load_ratio: float  # load of the server over its capacity, as the relay estimated it at the start of the attempt
    report_age_ms: float
    cold: bool
    far: bool
    rung: int
    ended: float = 0.0  # 0 while the attempt is pending
    result: str = ""


class LateMessage(msgspec.Struct):
    """A message that was answered late, or is not answered yet."""

    sent: float
    until: float  # when it was answered or the request ended; 0 while it is pending
    delay_ms: float


class RequestHistory(msgspec.Struct):
    """One request of a client to a relay, including its connection if it came up."""

    relay: str
    request_id: str  # assigned by the relay
    client_request_id: str  # assigned by the client
    key: str
    group: str
    cls: int
    returning: bool
    began: float
    attempts: list[Attempt] = []
    connected_at: float = 0.0  # 0 if it never came up
    server: str = ""
    late_messages: list[LateMessage] = []
    end: End = End.OPEN
    ended: float = 0.0
    reason: str = ""
    rung: int = 0


class ClientHistories:
    """The requests of each client, built from trace lines in the order of time."""

    def __init__(self) -> None:
        self.by_key: dict[str, list[RequestHistory]] = defaultdict(list)
        self.open_requests: dict[tuple[str, str], RequestHistory] = {}  # by relay and the relay's id
        self.last_line_at: dict[str, float] = {}  # by relay
        self.first_at = self.last_at = 0.0
        self._handlers = {
            "send": self._on_send,
            "up": self._on_up,
            "out": self._on_out,
            "late": self._on_late,
            "refuse": self._on_refuse,
            "fail": self._on_fail,
            "move": self._on_move,
            "gone": self._on_gone,
        }

    def add(self, line: Line) -> None:
        """Add the next line; lines must be given in the order of time."""
        self.first_at = self.first_at or line.at
        self.last_at = line.at
        if line.what == "start":
            self._on_start(line)
        elif line.what == "ask":
            self._on_ask(line)
        elif (request := self.open_requests.get((line.relay, line.request))) and (
            handler := self._handlers.get(line.what)
        ):
            handler(line, request)
        self.last_line_at[line.relay] = line.at

    def close(self, silence_s: float = 2.0) -> None:
        """End the trace: a relay whose last line is more than ``silence_s`` before the last of all counts as gone."""
        for request in list(self.open_requests.values()):
            last_line_at = self.last_line_at[request.relay]
            if self.last_at - last_line_at > silence_s:
                self._end(request, last_line_at, End.RELAY_GONE, "relay fell silent")

    def _on_start(self, line: Line) -> None:
        # A killed relay writes no end of its open requests, which would count as connected for ever: its next start
        # ends them.
        for request in [each for each in self.open_requests.values() if each.relay == line.relay]:
            self._end(request, self.last_line_at[line.relay], End.RELAY_GONE, "relay started again")

    def _on_ask(self, line: Line) -> None:
        request = RequestHistory(line.relay, line.request, line.id, line.key, line.group, line.cls, line.again, line.at)
        if line.server:  # the connection was up before the relay started
            request.connected_at, request.server = line.at, line.server
        self.open_requests[line.relay, line.request] = request
        self.by_key[line.key].append(request)

    def _on_send(self, line: Line, request: RequestHistory) -> None:
        request.attempts.append(Attempt(line.server, line.at, line.asked, line.told_ms, line.cold, line.far, line.rung))

    def _on_up(self, line: Line, request: RequestHistory) -> None:
        request.connected_at, request.server = line.at, line.server
        if request.attempts:
            request.attempts[-1].ended, request.attempts[-1].result = line.at, "up"

    def _on_out(self, line: Line, request: RequestHistory) -> None:
        if not request.connected_at:
            if request.attempts and not request.attempts[-1].ended:
                request.attempts[-1].ended, request.attempts[-1].result = line.at, line.result
            if line.result == "ok":
                self._end(request, line.at, End.SERVED, "")
            return
        ends = {"ok": End.SERVED, "cancelled": End.SENT_AWAY}
        self._end(request, line.at, ends.get(line.result, End.BROKEN), line.result)

    def _on_late(self, line: Line, request: RequestHistory) -> None:
        sent = line.at - line.ms / 1000
        if request.late_messages and not request.late_messages[-1].until:
            request.late_messages[-1].until, request.late_messages[-1].delay_ms = line.at, line.ms
            if abs(request.late_messages[-1].sent - sent) < 0.05:
                return  # the answer to the pending message
        request.late_messages.append(LateMessage(sent, 0.0 if line.why == "waits" else line.at, line.ms))

    def _on_refuse(self, line: Line, request: RequestHistory) -> None:
        request.rung = line.rung
        self._end(request, line.at, End.REFUSED, line.why)

    def _on_fail(self, line: Line, request: RequestHistory) -> None:
        self._end(request, line.at, End.FAILED, line.why)

    def _on_move(self, line: Line, request: RequestHistory) -> None:
        request.rung = line.rung
        self._end(request, line.at, End.MOVED, line.why)

    def _on_gone(self, line: Line, request: RequestHistory) -> None:
        self._end(request, line.at, End.SERVED if request.connected_at else End.LEFT, "client left")

    def _end(self, request: RequestHistory, at: float, end: End, reason: str) -> None:
        request.ended, request.end, request.reason = at, end, reason
        if request.late_messages and not request.late_messages[-1].until:
            request.late_messages[-1].until = at
        if request.attempts and not request.attempts[-1].ended:
            request.attempts[-1].ended, request.attempts[-1].result = at, "given up"
        self.open_requests.pop((request.relay, request.request_id), None)
