"""The adapter between balancers and the simulator's text protocol; it translates and decides nothing.

It reads batches of events from standard input and writes one reply to each. Malformed input ends the process with
one line on standard error and exit code 2. An exception inside a balancer becomes a ``FAULT`` line.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable, Iterator
from typing import TextIO, TypeVar

from scaledeal import interface as api
from scaledeal.policy import Balancer
from scaledeal.settings import from_pairs

_SERVER_STATES = {"live": api.ServerState.LIVE, "quiescing": api.ServerState.DRAINING, "dead": api.ServerState.GONE}
_MEMBERSHIP_KINDS = {
    "incr": api.MembershipKind.CHANGES,
    "total": api.MembershipKind.FULL,
    "warm_copy": api.MembershipKind.INITIAL,
    "lost": api.MembershipKind.LOST,
}
_RESULTS = {
    "done": api.Result.OK,
    "err": api.Result.ERROR,
    "busy": api.Result.FULL,
    "etimedout": api.Result.TIMEOUT,
    "econnrefused": api.Result.CONNECT_FAILED,
    "econnreset": api.Result.RESET,
    "ecanceled": api.Result.CANCELLED,
    "skipped": api.Result.NOT_SENT,
}
_NOTE_KINDS = {"1": api.NoteKind.LOAD, "2": api.NoteKind.DELAY}
# Bits of an arrival's options
_MID_FLOW = 8
_RETURNING = 16


class WireError(Exception):
    """The input does not follow the simulator's protocol."""


T = TypeVar("T")


def _look_up(table: dict[str, T], word: str, field: str) -> T:
    if word not in table:
        raise WireError(f"{field}: unknown word {word!r}")
    return table[word]


class _Line:
    """One line of input: its name, and its values by position; every error names the field."""

    def __init__(self, line: str) -> None:
        self.name, *self.values = line.split(" ")

    def text(self, index: int, field: str) -> str:
        if index >= len(self.values):
            raise WireError(f"{self.name}: field {field} is missing")
        value = self.values[index]
        return "" if value == "-" else value

    def required(self, index: int, field: str) -> str:
        value = self.text(index, field)
        if not value:
            raise WireError(f"{self.name}: field {field} is empty")
        return value

    def integer(self, index: int, field: str, default: int | None = None) -> int:
        value = self.text(index, field)
        if not value and default is not None:
            return default
        try:
            return int(value)
        except ValueError:
            raise WireError(f"{self.name}: field {field} is not a whole number: {value!r}") from None

    def number(self, index: int, field: str, default: float | None = None) -> float:
        value = self.text(index, field)
        if not value and default is not None:
            return default
        try:
            return float(value)
        except ValueError:
            raise WireError(f"{self.name}: field {field} is not a number: {value!r}") from None

    def numbers(self, index: int, field: str) -> tuple[float, ...]:
        value = self.text(index, field)
        try:
            return tuple(float(part) for part in value.split(",")) if value else ()
        except ValueError:
            raise WireError(f"{self.name}: field {field} is not a list of numbers: {value!r}") from None


def read_settings(words: list[str]) -> api.Settings:
    """Build the balancer's settings from the path=value words of a HELLO line."""
    pairs: dict[str, str] = {}
    for word in words:
        path, equals, value = word.partition("=")
        if not equals:
            raise WireError(f"HELLO: setting without a value: {word!r}")
        pairs[path] = value
    try:
        document = from_pairs(pairs)
    except ValueError as error:
        raise WireError(f"HELLO: setting {error}") from None
    return document.settings()


def _load_hint(line: _Line, options: int, index: int) -> float:
    return line.number(index, "Estimate", 0.0) / 1000 if options & 1 else 0.0


def _arrival(line: _Line) -> api.Event:
    options = line.integer(5, "Options", 0)
    return api.Request(
        request=line.required(0, "Handle"),
        request_class=line.integer(7, "Category"),
        deadline=line.integer(2, "GiveUpAt"),
        key=line.text(1, "TargetKey"),
        group=line.text(3, "TeamId"),
        tenant=line.integer(4, "Realm", 0),
        mid_flow=bool(options & _MID_FLOW),
        returning=bool(options & _RETURNING),
        load_hint=_load_hint(line, options, 6),
    )


def _handover(line: _Line) -> api.Event:
    return api.OpenConnection(
        request=line.required(0, "Handle"),
        request_class=line.integer(6, "Category"),
        server=line.required(1, "Server"),
        key=line.text(4, "TargetKey"),
        group=line.text(5, "TeamId"),
        tenant=line.integer(8, "Realm", 0),
        load_hint=_load_hint(line, line.integer(7, "Options", 0), 3),
    )


def _headers(line: _Line) -> api.Event:
    return api.Established(
        line.required(0, "Handle"), line.integer(3, "SendNo"), line.required(1, "Server"), line.integer(2, "Elapsed")
    )


def _completed(line: _Line) -> api.Event:
    return api.Outcome(
        request=line.required(0, "Handle"),
        attempt=line.integer(1, "SendNo"),
        server=line.required(2, "Server"),
        result=_look_up(_RESULTS, line.required(3, "Verdict"), "COMPLETED: field Verdict"),
        elapsed=line.integer(4, "Elapsed"),
        last=line.integer(5, "Last") != 0,
        report=line.numbers(6, "Metrics"),
    )


def _interim(line: _Line) -> api.Event | None:
    kind = _NOTE_KINDS.get(line.required(3, "Sort"))
    amount = line.number(4, "Amount")
    request, attempt, server = line.required(0, "Handle"), line.integer(1, "SendNo"), line.required(2, "Server")
    return api.Note(request, attempt, server, kind, amount) if kind else None


def _probe_done(line: _Line) -> api.Event:
    result = _look_up(_RESULTS, line.required(1, "Verdict"), "PROBE_DONE: field Verdict")
    return api.ProbeResult(line.required(0, "Server"), result, line.integer(2, "Elapsed"), line.numbers(3, "Metrics"))


def _note_from(line: _Line) -> api.Event | None:
    line.integer(0, "Author")
    line.text(1, "Octets")
    return None


_EVENTS: dict[str, Callable[[_Line], api.Event | None]] = {
    "ARRIVAL": _arrival,
    "HANDOVER": _handover,
    "HEADERS": _headers,
    "COMPLETED": _completed,
    "INTERIM": _interim,
    "PROBE_DONE": _probe_done,
    "NOTE_FROM": _note_from,
    "FIRED": lambda line: api.Timer(line.integer(0, "Handle")),
    "VANISHED": lambda line: api.ClientGone(line.required(0, "Handle")),
}

_ACTIONS: dict[type[api.Action], Callable[..., str]] = {
    api.Send: lambda a: f"TRANSMIT {a.request} {a.server} {a.timeout}",
    api.Refuse: lambda a: f"REJECT {a.request} {a.retry_after}",
    api.Fail: lambda a: f"ERROR {a.request}",
    api.Cancel: lambda a: f"ABANDON {a.request} {a.attempt}",
    api.Move: lambda a: f"TRANSFER {a.request}",
    api.Probe: lambda a: f"TOUCH {a.server}",
    api.Watch: lambda a: "TRACK 1",
    api.SetTimer: lambda a: f"SCHEDULE {a.delay} {a.token}",
    api.Log: lambda a: f"WRITE_LOG {a.text}",
}


def _server_entry(text: str) -> api.ServerEntry:
    line = _Line(text)
    if line.name != "ROW":
        raise WireError(f"MEMBERS: a ROW line was expected, not {line.name!r}")
    return api.ServerEntry(
        server=line.required(0, "Server"),
        started=line.integer(1, "StartTime", 0),
        zone=line.integer(3, "RackZone", 0),
        weight=line.number(4, "PowerHint", 1.0),
        state=_look_up(_SERVER_STATES, line.required(5, "Availability"), "ROW: field Availability"),
        cell=line.integer(6, "Stripe", 0),
    )


class Host:
    """Runs one balancer for each instance of the simulator and passes it its events."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.lines = self._count_lines(source)
        self.sink = sink
        self.line_number = 0
        self.balancers: dict[int, Balancer] = {}

    def _count_lines(self, source: TextIO) -> Iterator[str]:
        for line in source:
            self.line_number += 1
            yield line.rstrip("\n")

    def _next(self) -> str:
        line = next(self.lines, None)
        if line is None:
            raise WireError("input ends inside a batch")
        return line

    def serve(self) -> None:
        """Answer batches until the input ends; raise WireError if it is malformed or ends inside a batch."""
        for text in self.lines:
            line = _Line(text)
            if line.name != "FRAME":
                raise WireError(f"a FRAME line was expected, not {line.name!r}")
            reply = self._batch(line.integer(0, "clock"))
            reply.append("END\n")
            self.sink.write("\n".join(reply))
            self.sink.flush()

    def _batch(self, now: int) -> list[str]:
        reply: list[str] = []
        instance: int | None = None
        reply_instance: int | None = None
        while (text := self._next()) != "EOF_BATCH":
            line = _Line(text)
            if line.name == "TO":
                instance = line.integer(0, "Proxy")
                continue
            if instance is None:
                raise WireError(f"{line.name}: no TO line came before it")
            try:
                actions = self._handle(instance, now, line)
            except WireError:
                raise
            except Exception as error:  # a failure of the balancer is part of the reply
                message = f"{type(error).__name__}: {error}".replace("\n", " ")
                reply += [f"ON_BEHALF {instance}", f"FAULT {message}"]
                reply_instance = instance
                continue
            if actions and reply_instance != instance:
                reply.append(f"ON_BEHALF {instance}")
                reply_instance = instance
            reply += [_ACTIONS[type(action)](action) for action in actions]
        return reply

    def _handle(self, instance: int, now: int, line: _Line) -> list[api.Action]:
        event: api.Event | None
        if line.name == "HELLO":
            seed = line.integer(0, "Salt")
            settings = read_settings(line.values[1:])
            self.balancers[instance] = Balancer(settings, seed)
            return []
        if line.name == "MEMBERS":
            event = self._members(line)
        elif line.name == "HALT":
            self.balancers.pop(instance, None)
            return []
        elif line.name in _EVENTS:
            event = _EVENTS[line.name](line)
        else:
            raise WireError(f"unknown message {line.name!r}")
        if instance not in self.balancers:
            raise WireError(f"{line.name}: instance {instance} got no HELLO before it")
        return self.balancers[instance].handle(now, event) if event else []

    def _members(self, line: _Line) -> api.Event:
        kind = _look_up(_MEMBERSHIP_KINDS, line.required(0, "How"), "MEMBERS: field How")
        line.integer(1, "Stamp", 0)
        count = line.integer(2, "Lines", 0)
        return api.Membership(kind, tuple(_server_entry(self._next()) for _ in range(count)))


def main() -> int:
    """Serve standard input until it ends and return the exit code."""
    gc.freeze()
    host = Host(sys.stdin, sys.stdout)
    try:
        host.serve()
    except WireError as error:
        print(f"wirehost: line {host.line_number}: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        print(f"wirehost: after line {host.line_number}: not UTF-8: {error.reason}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
