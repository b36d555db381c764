"""What this relay heard and decided, one JSON line each, with the figures a decision was taken on.

Off unless ``PROXY_TRACE`` names a file, or ``-`` for standard error among the log's lines, each then behind the
word TRACE. It decides nothing, and without it nothing of it is called. ``scaledeal lab account`` reads it.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import Any

import msgspec

from scaledeal import interface as api
from scaledeal.net.sides import ClientRequest
from scaledeal.policy import Balancer, Server

log = logging.getLogger("scaledeal.trace")

MS = 1_000_000
MARK = b"TRACE "


class Line(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=False):
    """One line: ``at`` in seconds since 1970, all other times in ms; what does not apply is left out."""

    at: float
    what: str
    relay: str = ""
    request: str = ""  # this relay's own name of it
    id: str = ""  # the client's
    key: str = ""
    group: str = ""
    cls: int = -1
    again: bool = False  # the client's connection stood before
    server: str = ""
    result: str = ""
    stood: bool = False  # whether the connection was up when it ended
    why: str = ""  # the rule that refused, failed or moved
    ms: float = 0.0  # how long it took, or may take
    rung: int = 0
    index: float = 0.0  # the load index at the last step
    share: float = 1.0  # of its bucket
    asked: float = -1.0  # load asked of the server over what it can do, as this relay believes
    told_ms: float = -1.0  # age of that server's last report
    cold: bool = False
    number: int = 0  # of the attempt, or of entries
    live: int = 0
    zone: int = -1
    far: bool = False  # the server is in another zone
    names: tuple[str, ...] = ()  # of the classes
    worths: tuple[float, ...] = ()
    aims: tuple[float, ...] = ()  # of messages
    siblings: int = 0


class Trace:
    """Writes the lines of one relay; every call takes the driver's time in nanoseconds."""

    def __init__(self, relay: str, write: Callable[[bytes], object], ahead: int) -> None:
        """``write`` takes a whole line; ``ahead`` is Unix time less the driver's, in nanoseconds."""
        self.relay, self.ahead = relay, ahead
        self.write = write
        self.encoder = msgspec.json.Encoder()
        self.rung = 0

    def put(self, now: int, what: str, **more: Any) -> None:
        """Write one line."""
        line = Line(round((now + self.ahead) / 1e9, 6), what, self.relay, **more)
        try:
            self.write(self.encoder.encode(line) + b"\n")
        except OSError as error:
            # Guards against a full disk that takes the relay's decisions along: it goes on without a trace.
            log.error("trace ended: %s", error.strerror)
            self.write = len

    def begins(self, now: int, names: tuple[str, ...], settings: api.Settings) -> None:
        """Note the start, and what the account needs of the settings."""
        self.put(
            now,
            "start",
            names=names,
            worths=tuple(c.worth for c in settings.classes),
            zone=settings.zone,
            aims=tuple(c.message_aim / MS for c in settings.classes),
            siblings=settings.siblings,
        )

    def takes(self, now: int, request: str, ask: ClientRequest) -> None:
        """Note a request, or a connection that stood before the start."""
        self.put(
            now,
            "ask",
            request=request,
            id=ask.request_id,
            key=ask.key,
            group=ask.group,
            cls=ask.request_class,
            again=ask.returning,
            server=ask.previous_server,
        )

    def over(self, now: int, request: str, client: str, server: str, why: str) -> None:
        """Note why a request, or a connection that stood, is over."""
        self.put(now, "over", request=request, id=client, server=server, why=why)

    def late(self, now: int, request: str, server: str, took: int, waits: bool) -> None:
        """Note a message that came later than its class wants it, or that is waited for so long."""
        self.put(now, "late", request=request, server=server, ms=took / MS, why="waits" if waits else "")

    def handled(self, now: int, event: api.Event, actions: list[api.Action], balancer: Balancer) -> None:
        """Note an event, then what the decision module wants done."""
        match event:
            case api.Established():
                self.put(
                    now, "up", request=event.request, server=event.server, ms=event.elapsed / MS, number=event.attempt
                )
            case api.Outcome():
                self.put(
                    now,
                    "out",
                    request=event.request,
                    server=event.server,
                    result=event.result.value,
                    number=event.attempt,
                    ms=event.elapsed / MS,
                    stood=event.last,
                )
            case api.Note(kind=api.NoteKind.DELAY):
                self.put(now, "slow", server=event.server, ms=event.amount)
            case api.ClientGone():
                self.put(now, "gone", request=event.request)
            case api.ProbeResult():
                self.put(
                    now,
                    "report",
                    result=event.result.value,
                    ms=event.elapsed / MS,
                    **self._server(now, balancer, event.server),
                )
            case api.Membership():
                live = sum(entry.state is api.ServerState.LIVE for entry in event.servers)
                self.put(now, "list", why=event.kind.value, number=len(event.servers), live=live)
        for action in actions:
            self._action(now, action, balancer)
        if balancer.ladder.rung != self.rung:
            self.rung = balancer.ladder.rung
            self.put(now, "rung", rung=self.rung, index=balancer.ladder.last_index)

    def _action(self, now: int, action: api.Action, balancer: Balancer) -> None:
        match action:
            case api.Send():
                self.put(
                    now,
                    "send",
                    request=action.request,
                    ms=action.timeout / MS,
                    rung=balancer.ladder.rung,
                    **self._server(now, balancer, action.server),
                )
            case api.Refuse():
                self.put(
                    now,
                    "refuse",
                    request=action.request,
                    why=action.why,
                    ms=action.retry_after / MS,
                    rung=balancer.ladder.rung,
                    index=balancer.ladder.last_index,
                )
            case api.Fail():
                self.put(now, "fail", request=action.request, why=action.why)
            case api.Move():
                flight = balancer.requests.get(action.request)
                told = self._server(now, balancer, flight.attempts[-1].server.id) if flight else {}
                self.put(now, "move", request=action.request, why=action.why, rung=balancer.ladder.rung, **told)
            case api.Probe():
                self.put(now, "probe", server=action.server)
            case api.Watch():
                self.put(now, "watch")

    def _server(self, now: int, balancer: Balancer, name: str) -> dict[str, Any]:
        server: Server | None = balancer.servers.get(name)
        if server is None:
            return {"server": name}
        asked = balancer.utilisation(server)
        age = (now - server.reported_at) / MS if server.reported_utilisation >= 0 else -1.0
        return {
            "server": name,
            "asked": -1.0 if asked is None else round(asked, 3),
            "told_ms": round(age, 1),
            "cold": balancer.is_cold(server),
            "far": server.zone != balancer.settings.zone,
        }


def open_trace(where: str, relay: str, ahead: int) -> Trace:
    """Return a trace that appends to a file, or that writes to standard error; raise OSError if it can't."""
    if where == "-":
        return Trace(relay, lambda line: _write_whole(2, MARK + line), ahead)
    # Guards against lines that a killed relay takes along: each is handed to the system as it is written.
    file = os.open(where, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    return Trace(relay, lambda line: _write_whole(file, line), ahead)


def _write_whole(descriptor: int, data: bytes) -> None:
    """Write all of it: the system may take less at once."""
    while data:
        data = data[os.write(descriptor, data) :]
