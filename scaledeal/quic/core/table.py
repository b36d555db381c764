"""What is known of flows, paths and ids, with a bound on each; no I/O, and times in ns are handed in.

Theory of operation. A *path* is a client's address and the upstream socket that is its own; a *flow* has one or
more paths and one server. A datagram finds its path by (source, id); failing that its flow by id, and so on down
to an id that only the codec knows. Nothing is looked for by a scan: an entry costs the same among ten thousand.

A path ends when it has been idle, when its flow ends, or when an unproven one gives way to a newer one. Unproven is
a path on which the client has not spoken again after the server did: all that a stranger's copies can make.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Any

from scaledeal.quic.core.opening import Opening
from scaledeal.quic.ids.tokens import Source

SECOND = 1_000_000_000
IDS_A_FLOW = 16  # ids remembered of one flow; an older one is still routed by what it says
AMPLIFY = 3  # bytes out for each one in before a client's address is proven (RFC 9000 section 8)


class State(Enum):
    """Where a flow stands; the table in docs/quic.md has the transitions."""

    OPENING = 1
    ASKED = 2
    STANDING = 3
    ANSWERED = 4
    OVER = 5


_NEXT = {
    State.OPENING: {State.ASKED, State.ANSWERED, State.OVER},
    State.ASKED: {State.STANDING, State.ANSWERED, State.OVER},
    State.STANDING: {State.OVER},
    State.ANSWERED: {State.OVER},
    State.OVER: set(),
}


class Path:
    """One client address of a flow."""

    __slots__ = ("answered", "cid", "due", "flow", "proven", "received", "seen", "sent", "source", "upstream")

    def __init__(self, flow: Flow, source: Source, now: int) -> None:
        self.flow = flow
        self.source = source
        self.cid = b""  # the id that the client last began to use on it
        self.received = 0  # bytes from the client, until it is proven
        self.sent = 0  # bytes to the client, until then
        self.answered = False  # the server has spoken on it
        self.proven = False  # the client has heard that
        self.seen = now
        self.due = -1  # the second in which it is looked at next
        self.upstream: Any = None  # the sockets' side keeps its socket here


class Flow:
    """One QUIC connection, as far as a relay can tell one."""

    __slots__ = (
        "adopted",
        "agent",
        "answer",
        "attempt",
        "dcid",
        "due",
        "early",
        "frozen",
        "ids",
        "opening",
        "paths",
        "proven",
        "repeats",
        "scid",
        "server",
        "since",
        "source",
        "state",
        "version",
    )

    def __init__(self, source: Source, dcid: bytes, now: int, state: State) -> None:
        self.source = source
        self.dcid = dcid  # the client's first destination id; empty of an adopted flow
        self.scid = b""
        self.version = 0
        self.state = state
        self.since = now  # when it came into this state
        self.server = ""
        self.opening: Opening | None = None
        self.attempt: Path | None = None  # the path of the pass that is out
        self.proven = False  # a Retry token has proven its client's address
        self.frozen = False  # its server drains: nothing more is sent there before it answers
        self.early: list[bytes] = []  # what a server sent before its answer came
        self.answer = b""  # the final answer, for repeats
        self.repeats = 0
        self.adopted = not dcid
        self.due = -1  # the second in which it is looked at next
        self.paths: dict[Source, Path] = {}
        self.ids: list[bytes] = []
        self.agent: Any = None  # the sockets' side keeps its agent here

    def turn(self, state: State, now: int) -> None:
        """Go on to another state; a step that is none of the table's is a defect."""
        assert state in _NEXT[self.state], f"{self.state.name} to {state.name}"
        self.state, self.since = state, now


class FlowTable:
    """Owns all flows, paths and known ids."""

    def __init__(self, max_flows: int, max_paths: int, paths_a_flow: int, idle: int) -> None:
        self.max_flows, self.max_paths, self.paths_a_flow = max_flows, max_paths, paths_a_flow
        self.idle = idle
        self.flows: dict[Flow, None] = {}
        self.by_opening: dict[tuple[Source, bytes], Flow] = {}
        self.by_id: dict[bytes, Flow] = {}
        self.by_peer: dict[tuple[Source, str], Flow] = {}
        self.by_source: dict[Source, Flow] = {}
        self.by_server: dict[str, dict[Flow, None]] = {}
        self.routes: dict[tuple[Source, bytes], Path] = {}
        self.unproven: OrderedDict[Path, None] = OrderedDict()
        self.paths = 0
        self.under_way = 0  # set-ups that are owed an answer
        self._wheel: dict[int, dict[Path | Flow, None]] = {}
        self._turned = -1  # the second up to which the wheel has been turned

    # Flows

    def full(self) -> bool:
        """Tell whether there is room for another flow."""
        return len(self.flows) >= self.max_flows

    def open(self, source: Source, dcid: bytes, now: int) -> Flow:
        """Enter a flow that begins."""
        flow = Flow(source, dcid, now, State.OPENING)
        self.flows[flow] = None
        self.by_opening[source, dcid] = flow
        self.under_way += 1
        return flow

    def adopt(self, source: Source, server: str, now: int) -> Flow:
        """Enter a flow that stands already, as an id says."""
        flow = Flow(source, b"", now, State.STANDING)
        self.flows[flow] = None
        self.place(flow, server)
        return flow

    def place(self, flow: Flow, server: str) -> None:
        """Note at which server a flow is, or is tried."""
        if flow.server:
            self.by_server[flow.server].pop(flow, None)
        flow.server = server
        self.by_server.setdefault(server, {})[flow] = None

    def turn(self, flow: Flow, state: State, now: int) -> None:
        """Have a flow go on to another state."""
        if flow.state in (State.OPENING, State.ASKED) and state not in (State.OPENING, State.ASKED):
            self.under_way -= 1
        flow.turn(state, now)

    def forget(self, flow: Flow, now: int) -> list[Path]:
        """Take a flow off with all that was known by it; return its paths, whose sockets are to close."""
        if flow.state is State.OVER:
            return []
        self.turn(flow, State.OVER, now)
        self.unwatch(flow)
        self.flows.pop(flow, None)
        self.by_opening.pop((flow.source, flow.dcid), None)
        if flow.server and flow in self.by_server.get(flow.server, {}):
            del self.by_server[flow.server][flow]
            if not self.by_server[flow.server]:
                del self.by_server[flow.server]
        closed = list(flow.paths.values())
        for path in closed:
            self.drop(path)
        for cid in flow.ids:
            self.by_id.pop(cid, None)
        flow.opening, flow.attempt, flow.early = None, None, []
        return closed

    # Paths

    def path(self, flow: Flow, source: Source, now: int) -> tuple[Path, list[Path]]:
        """Return the flow's path from this source, made where there is none, and those that gave way to it."""
        found = flow.paths.get(source)
        if found is not None:
            return found, []
        away = self._make_room(flow)
        path = Path(flow, source, now)
        flow.paths[source] = path
        self.paths += 1
        self.unproven[path] = None
        # Guards against a copy from another client's address that takes that client's entries over.
        self.by_source.setdefault(source, flow)
        if flow.state is State.STANDING:
            self.by_peer.setdefault((source, flow.server), flow)
        self.watch(path, now + self.idle)
        return path, away

    def vouch(self, flow: Flow) -> None:
        """Hear that a server has answered a flow at its source: its entries go before a copy's."""
        self.by_source[flow.source] = self.by_peer[flow.source, flow.server] = flow

    def room_for_path(self, flow: Flow) -> bool:
        """Tell whether a path of this flow can be made, if need be in place of one that is unproven."""
        if len(flow.paths) >= self.paths_a_flow:
            return True  # one of its own gives way
        return self.paths < self.max_paths or bool(self.unproven)

    def _make_room(self, flow: Flow) -> list[Path]:
        away: list[Path] = []
        if len(flow.paths) >= self.paths_a_flow:
            # Guards against copies from spoofed sources: they push out each other, the client's own path last.
            oldest = min(flow.paths.values(), key=lambda each: (each.proven, each.seen))
            away.append(oldest)
            self.drop(oldest)
        elif self.paths >= self.max_paths and self.unproven:
            oldest = next(iter(self.unproven))
            away.append(oldest)
            self.drop(oldest)
        return away

    def drop(self, path: Path) -> None:
        """Take a path off; its flow stays, even without any."""
        flow = path.flow
        if flow.paths.get(path.source) is not path:
            return
        del flow.paths[path.source]
        self.paths -= 1
        self.unwatch(path)
        self.unproven.pop(path, None)
        for cid in flow.ids:
            if self.routes.get((path.source, cid)) is path:
                del self.routes[path.source, cid]
        if self.by_source.get(path.source) is flow:
            del self.by_source[path.source]
        if self.by_peer.get((path.source, flow.server)) is flow:
            del self.by_peer[path.source, flow.server]

    def guard(self, path: Path) -> None:
        """Have a path give way to no other: an attempt is out on it, which its server must hear the end of."""
        self.unproven.pop(path, None)

    def unguard(self, path: Path) -> None:
        """Hear that the attempt has been answered."""
        if not path.proven:
            self.unproven[path] = None

    def prove(self, path: Path) -> None:
        """Hear that the client answers on a path what the server said there."""
        path.proven = True
        self.unproven.pop(path, None)

    # Ids

    def learn(self, flow: Flow, cid: bytes) -> None:
        """Remember an id of a flow; the oldest gives way."""
        if not cid or self.by_id.get(cid) is flow:
            return
        if cid in self.by_id:  # guards against a server that gives one id to two flows: the older one keeps it
            return
        if len(flow.ids) >= IDS_A_FLOW:
            old = flow.ids.pop(0)
            self.by_id.pop(old, None)
            for source in flow.paths:
                self.routes.pop((source, old), None)
        flow.ids.append(cid)
        self.by_id[cid] = flow

    def route(self, path: Path, cid: bytes) -> None:
        """Have datagrams of this id and source go this way at once."""
        if self.by_id.get(cid) is path.flow:
            self.routes[path.source, cid] = path
        path.cid = cid

    # Time

    def watch(self, what: Path | Flow, due: int) -> None:
        """Look at a path or flow again at about this time."""
        self.unwatch(what)
        what.due = due // SECOND + 1
        self._wheel.setdefault(what.due, {})[what] = None

    def unwatch(self, what: Path | Flow) -> None:
        """Look at it no more."""
        # Guards against memory that grows with what strangers send: an entry goes when its path does.
        if (bucket := self._wheel.get(what.due)) is not None:
            bucket.pop(what, None)
            if not bucket:
                del self._wheel[what.due]
        what.due = -1

    def due(self, now: int) -> list[Path | Flow]:
        """Return what was to be looked at by now; the caller looks and may have it watched again."""
        second = now // SECOND
        if self._turned < 0 or second - self._turned > len(self._wheel):
            # Guards against turning through every second of a clock that has jumped.
            late = sorted(each for each in self._wheel if each <= second)
        else:
            late = [each for each in range(self._turned + 1, second + 1) if each in self._wheel]
        self._turned = max(self._turned, second)
        found = [what for each in late for what in self._wheel.pop(each)]
        for what in found:
            what.due = -1
        return found
