"""Hosts balancers on the simulator's text wire; translates and decides nothing.

Reads batches from standard input and writes one reply to each. Malformed input ends the process
with one plain message on standard error and exit code 2. An exception inside a balancer becomes
a ``FAULT`` line.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable, Iterator
from typing import TextIO, TypeVar

from scaledeal import interface as api
from scaledeal.policy import Balancer
from scaledeal.settings import from_pairs

_STATES = {"live": api.ServerState.LIVE, "quiescing": api.ServerState.DRAINING, "dead": api.ServerState.GONE}
_KINDS = {
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
_NOTES = {"1": api.NoteKind.LOAD, "2": api.NoteKind.DELAY}
_MID_FLOW, _RETURNING = 8, 16


class WireError(Exception):
    """The input does not follow the wire."""


T = TypeVar("T")


def _choice(table: dict[str, T], word: str, what: str) -> T:
    if word not in table:
        raise WireError(f"{what}: unknown word {word!r}")
    return table[word]


class _Row:
    """The values of one line, read by position; every fault names the field."""

    def __init__(self, line: str) -> None:
        self.name, *self.values = line.split(" ")

    def text(self, at: int, field: str) -> str:
        if at >= len(self.values):
            raise WireError(f"{self.name}: field {field} is missing")
        value = self.values[at]
        return "" if value == "-" else value

    def need(self, at: int, field: str) -> str:
        value = self.text(at, field)
        if not value:
            raise WireError(f"{self.name}: field {field} is absent")
        return value

    def whole(self, at: int, field: str, absent: int | None = None) -> int:
        value = self.text(at, field)
        if not value and absent is not None:
            return absent
        try:
            return int(value)
        except ValueError:
            raise WireError(f"{self.name}: field {field} is no whole number: {value!r}") from None

    def number(self, at: int, field: str, absent: float | None = None) -> float:
        value = self.text(at, field)
        if not value and absent is not None:
            return absent
        try:
            return float(value)
        except ValueError:
            raise WireError(f"{self.name}: field {field} is no number: {value!r}") from None

    def report(self, at: int, field: str) -> tuple[float, ...]:
        value = self.text(at, field)
        try:
            return tuple(float(part) for part in value.split(",")) if value else ()
        except ValueError:
            raise WireError(f"{self.name}: field {field} holds no numbers: {value!r}") from None


def read_settings(words: list[str]) -> api.Settings:
    """Build the library's settings from the wire's path=value pairs."""
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


def _hint(row: _Row, options: int, at: int) -> float:
    return row.number(at, "Estimate", 0.0) / 1000 if options & 1 else 0.0


def _arrival(row: _Row) -> api.Event:
    options = row.whole(5, "Options", 0)
    return api.Request(
        request=row.need(0, "Handle"),
        request_class=row.whole(7, "Category"),
        deadline=row.whole(2, "GiveUpAt"),
        key=row.text(1, "TargetKey"),
        group=row.text(3, "TeamId"),
        tenant=row.whole(4, "Realm", 0),
        mid_flow=bool(options & _MID_FLOW),
        returning=bool(options & _RETURNING),
        load_hint=_hint(row, options, 6),
    )


def _handover(row: _Row) -> api.Event:
    return api.OpenConnection(
        request=row.need(0, "Handle"),
        request_class=row.whole(6, "Category"),
        server=row.need(1, "Server"),
        key=row.text(4, "TargetKey"),
        group=row.text(5, "TeamId"),
        tenant=row.whole(8, "Realm", 0),
        load_hint=_hint(row, row.whole(7, "Options", 0), 3),
    )


def _headers(row: _Row) -> api.Event:
    return api.Established(
        row.need(0, "Handle"), row.whole(3, "SendNo"), row.need(1, "Server"), row.whole(2, "Elapsed")
    )


def _completed(row: _Row) -> api.Event:
    return api.Outcome(
        request=row.need(0, "Handle"),
        attempt=row.whole(1, "SendNo"),
        server=row.need(2, "Server"),
        result=_choice(_RESULTS, row.need(3, "Verdict"), "COMPLETED: field Verdict"),
        elapsed=row.whole(4, "Elapsed"),
        last=row.whole(5, "Last") != 0,
        report=row.report(6, "Metrics"),
    )


def _interim(row: _Row) -> api.Event | None:
    kind = _NOTES.get(row.need(3, "Sort"))
    amount = row.number(4, "Amount")
    request, attempt, server = row.need(0, "Handle"), row.whole(1, "SendNo"), row.need(2, "Server")
    return api.Note(request, attempt, server, kind, amount) if kind else None


def _probe_done(row: _Row) -> api.Event:
    result = _choice(_RESULTS, row.need(1, "Verdict"), "PROBE_DONE: field Verdict")
    return api.ProbeResult(row.need(0, "Server"), result, row.whole(2, "Elapsed"), row.report(3, "Metrics"))


def _note_from(row: _Row) -> api.Event | None:
    row.whole(0, "Author")
    row.text(1, "Octets")
    return None


_EVENTS: dict[str, Callable[[_Row], api.Event | None]] = {
    "ARRIVAL": _arrival,
    "HANDOVER": _handover,
    "HEADERS": _headers,
    "COMPLETED": _completed,
    "INTERIM": _interim,
    "PROBE_DONE": _probe_done,
    "NOTE_FROM": _note_from,
    "FIRED": lambda row: api.Timer(row.whole(0, "Handle")),
    "VANISHED": lambda row: api.ClientGone(row.need(0, "Handle")),
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


def _entry(line: str) -> api.ServerEntry:
    row = _Row(line)
    if row.name != "ROW":
        raise WireError(f"MEMBERS: a ROW line was expected, not {row.name!r}")
    return api.ServerEntry(
        server=row.need(0, "Server"),
        started=row.whole(1, "StartTime", 0),
        zone=row.whole(3, "RackZone", 0),
        weight=row.number(4, "PowerHint", 1.0),
        state=_choice(_STATES, row.need(5, "Availability"), "ROW: field Availability"),
        cell=row.whole(6, "Stripe", 0),
    )


class Host:
    """Holds one balancer for each instance and feeds it its events."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.lines = self._numbered(source)
        self.sink = sink
        self.at = 0
        self.balancers: dict[int, Balancer] = {}

    def _numbered(self, source: TextIO) -> Iterator[str]:
        for line in source:
            self.at += 1
            yield line.rstrip("\n")

    def _next(self) -> str:
        line = next(self.lines, None)
        if line is None:
            raise WireError("input ends inside a batch")
        return line

    def serve(self) -> None:
        """Answer batches until the input ends between two of them."""
        for line in self.lines:
            row = _Row(line)
            if row.name != "FRAME":
                raise WireError(f"a FRAME line was expected, not {row.name!r}")
            reply = self._batch(row.whole(0, "clock"))
            reply.append("END\n")
            self.sink.write("\n".join(reply))
            self.sink.flush()

    def _batch(self, now: int) -> list[str]:
        reply: list[str] = []
        instance: int | None = None
        spoken_for: int | None = None
        while (line := self._next()) != "EOF_BATCH":
            row = _Row(line)
            if row.name == "TO":
                instance = row.whole(0, "Proxy")
                continue
            if instance is None:
                raise WireError(f"{row.name}: no TO line came before it")
            try:
                actions = self._event(instance, now, row)
            except WireError:
                raise
            except Exception as error:  # the module's own failure is reported on the wire
                told = f"{type(error).__name__}: {error}".replace("\n", " ")
                reply += [f"ON_BEHALF {instance}", f"FAULT {told}"]
                spoken_for = instance
                continue
            if actions and spoken_for != instance:
                reply.append(f"ON_BEHALF {instance}")
                spoken_for = instance
            reply += [_ACTIONS[type(action)](action) for action in actions]
        return reply

    def _event(self, instance: int, now: int, row: _Row) -> list[api.Action]:
        event: api.Event | None
        if row.name == "HELLO":
            salt = row.whole(0, "Salt")
            settings = read_settings(row.values[1:])
            self.balancers[instance] = Balancer(settings, salt)
            return []
        if row.name == "MEMBERS":
            event = self._members(row)
        elif row.name == "HALT":
            self.balancers.pop(instance, None)
            return []
        elif row.name in _EVENTS:
            event = _EVENTS[row.name](row)
        else:
            raise WireError(f"unknown message {row.name!r}")
        if instance not in self.balancers:
            raise WireError(f"{row.name}: instance {instance} got no HELLO before it")
        return self.balancers[instance].handle(now, event) if event else []

    def _members(self, row: _Row) -> api.Event:
        kind = _choice(_KINDS, row.need(0, "How"), "MEMBERS: field How")
        row.whole(1, "Stamp", 0)
        count = row.whole(2, "Lines", 0)
        return api.Membership(kind, tuple(_entry(self._next()) for _ in range(count)))


def main() -> int:
    """Serve standard input until it ends."""
    gc.freeze()
    host = Host(sys.stdin, sys.stdout)
    try:
        host.serve()
    except WireError as error:
        print(f"wirehost: line {host.at}: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        print(f"wirehost: after line {host.at}: not UTF-8: {error.reason}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
