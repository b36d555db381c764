"""A trace of the events and decisions of this relay, one JSON line each, with the figures a decision was based on.

Tracing is off unless ``PROXY_TRACE`` names a file, or ``-`` for standard error; there each line follows the word TRACE,
as log lines are written there too. The trace has no influence on decisions, and none of its methods is called while
tracing is off. ``scaledeal lab account`` reads it.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import Any

import msgspec

from scaledeal import interface as api
from scaledeal.net.sides import ClientRequest
from scaledeal.policy import Balancer
from scaledeal.state import Server

log = logging.getLogger("scaledeal.trace")

NS_PER_MS = 1_000_000
LINE_PREFIX = b"TRACE "  # of the lines on standard error


class Line(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=False):
    """One line: ``at`` is in seconds since 1970, other times in ms; fields with their default are left out."""

    at: float
    what: str
    relay: str = ""
    request: str = ""  # this relay's handle of it
    id: str = ""  # the id that the client gave the request
    key: str = ""
    group: str = ""
    cls: int = -1
    again: bool = False  # the client is returning: it had an established connection before
    server: str = ""
    result: str = ""
    stood: bool = False  # the request ended with this attempt, as it does with an established connection
    why: str = ""  # the rule that refused, failed or moved
    ms: float = 0.0  # duration, or maximum duration
    rung: int = 0  # of admission control
    index: float = 0.0  # the load index at the last step
    share: float = 1.0  # of its bucket
    asked: float = -1.0  # the server's utilisation as estimated by this relay: its load over its capacity
    told_ms: float = -1.0  # age of the server's last load report
    cold: bool = False  # the server is cold
    number: int = 0  # of the attempt, or how many servers a list has
    live: int = 0  # how many of them are live
    zone: int = -1
    far: bool = False  # the server is in another zone
    names: tuple[str, ...] = ()  # of the classes
    worths: tuple[float, ...] = ()
    aims: tuple[float, ...] = ()  # of the classes' messages
    siblings: int = 0


class Trace:
    """Writes the trace lines of one relay; ``now`` is the time on the driver's clock in nanoseconds."""

    def __init__(self, relay: str, write: Callable[[bytes], object], unix_offset: int) -> None:
        """``write`` takes a whole line; ``unix_offset`` is Unix time minus the driver's, in nanoseconds."""
        self.relay, self.unix_offset = relay, unix_offset
        self.write = write
        self.encoder = msgspec.json.Encoder()
        self.rung = 0

    def write_line(self, now: int, what: str, **fields: Any) -> None:
        """Write one line."""
        line = Line(round((now + self.unix_offset) / 1e9, 6), what, self.relay, **fields)
        try:
            self.write(self.encoder.encode(line) + b"\n")
        except OSError as error:
            # A full disk must not stop the relay, so it goes on without a trace.
            log.error("writing the trace failed, tracing stopped: %s", error.strerror)
            self.write = len

    def relay_started(self, now: int, names: tuple[str, ...], settings: api.Settings) -> None:
        """Write the start, with the settings that the account needs."""
        self.write_line(
            now,
            "start",
            names=names,
            worths=tuple(c.worth for c in settings.classes),
            zone=settings.zone,
            aims=tuple(c.message_aim / NS_PER_MS for c in settings.classes),
            siblings=settings.siblings,
        )

    def request_received(self, now: int, handle: str, request: ClientRequest) -> None:
        """Write a request, or a connection that was established before the start."""
        self.write_line(
            now,
            "ask",
            request=handle,
            id=request.request_id,
            key=request.key,
            group=request.group,
            cls=request.request_class,
            again=request.returning,
            server=request.previous_server,
        )

    def request_ended(self, now: int, request: str, client_id: str, server: str, why: str) -> None:
        """Write why a request or an established connection is over; ``client_id`` is the client's id of it."""
        self.write_line(now, "over", request=request, id=client_id, server=server, why=why)

    def message_late(self, now: int, request: str, server: str, duration: int, unanswered: bool) -> None:
        """Write a message delay of ``duration`` nanoseconds above its class's aim; ``unanswered``: still waiting."""
        self.write_line(
            now, "late", request=request, server=server, ms=duration / NS_PER_MS, why="waits" if unanswered else ""
        )

    def event_handled(self, now: int, event: api.Event, actions: list[api.Action], balancer: Balancer) -> None:
        """Write an event, then the actions of the decision module and a change of the rung."""
        match event:
            case api.Established():
                self.write_line(
                    now,
                    "up",
                    request=event.request,
                    server=event.server,
                    ms=event.elapsed / NS_PER_MS,
                    number=event.attempt,
                )
            case api.Outcome():
                self.write_line(
                    now,
                    "out",
                    request=event.request,
                    server=event.server,
                    result=event.result.value,
                    number=event.attempt,
                    ms=event.elapsed / NS_PER_MS,
                    stood=event.last,
                )
            case api.Note(kind=api.NoteKind.DELAY):
                self.write_line(now, "slow", server=event.server, ms=event.amount)
            case api.ClientGone():
                self.write_line(now, "gone", request=event.request)
            case api.ProbeResult():
                self.write_line(
                    now,
                    "report",
                    result=event.result.value,
                    ms=event.elapsed / NS_PER_MS,
                    **self._server_fields(now, balancer, event.server),
                )
            case api.Membership():
                live = sum(entry.state is api.ServerState.LIVE for entry in event.servers)
                self.write_line(now, "list", why=event.kind.value, number=len(event.servers), live=live)
        for action in actions:
            self._write_action(now, action, balancer)
        if balancer.ladder.rung != self.rung:
            self.rung = balancer.ladder.rung
            self.write_line(now, "rung", rung=self.rung, index=balancer.ladder.last_index)

    def _write_action(self, now: int, action: api.Action, balancer: Balancer) -> None:
        match action:
            case api.Send():
                self.write_line(
                    now,
                    "send",
                    request=action.request,
                    ms=action.timeout / NS_PER_MS,
                    rung=balancer.ladder.rung,
                    **self._server_fields(now, balancer, action.server),
                )
            case api.Refuse():
                self.write_line(
                    now,
                    "refuse",
                    request=action.request,
                    why=action.why,
                    ms=action.retry_after / NS_PER_MS,
                    rung=balancer.ladder.rung,
                    index=balancer.ladder.last_index,
                )
            case api.Fail():
                self.write_line(now, "fail", request=action.request, why=action.why)
            case api.Move():
                request = balancer.requests.get(action.request)
                fields = self._server_fields(now, balancer, request.attempts[-1].server.id) if request else {}
                self.write_line(
                    now, "move", request=action.request, why=action.why, rung=balancer.ladder.rung, **fields
                )
            case api.Probe():
                self.write_line(now, "probe", server=action.server)
            case api.Watch():
                self.write_line(now, "watch")

    def _server_fields(self, now: int, balancer: Balancer, name: str) -> dict[str, Any]:
        server: Server | None = balancer.servers.get(name)
        if server is None:
            return {"server": name}
        utilisation = balancer.utilisation(server)
        age = (now - server.reported_at) / NS_PER_MS if server.reported_utilisation >= 0 else -1.0
        return {
            "server": name,
            "asked": -1.0 if utilisation is None else round(utilisation, 3),
            "told_ms": round(age, 1),
            "cold": balancer.is_cold(server),
            "far": server.zone != balancer.settings.zone,
        }


def open_trace(path: str, relay: str, unix_offset: int) -> Trace:
    """Return a trace that appends to a file, or writes to standard error if ``path`` is ``-``; raise OSError."""
    if path == "-":
        return Trace(relay, lambda line: _write_all(2, LINE_PREFIX + line), unix_offset)
    # Each line is written at once: a killed relay would lose buffered ones.
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    return Trace(relay, lambda line: _write_all(file, line), unix_offset)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all data: one call of ``write`` may take only a part of it."""
    while data:
        data = data[os.write(descriptor, data) :]
