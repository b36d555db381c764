"""The tables of flows, paths and connection ids, each with an upper bound. No I/O; callers pass times in ns.

Theory of operation. A *path* is a client address with an upstream socket of its own; a *flow* has one or more paths
and one server. A datagram's path is looked up by (source, id); failing that, its flow by id, and so on down to an id
that only the codec can decode. No lookup scans a table: its cost does not grow with the number of entries.

A path is removed when it has been idle, when its flow ends, or when it is unvalidated and a newer path evicts it. A
path is unvalidated until the client has sent again after the server responded on it; copies of datagrams that a
stranger sends can only create unvalidated paths.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Any

from scaledeal.quic.core.first_flight import FirstFlight
from scaledeal.quic.ids.tokens import Source

NS_PER_SECOND = 1_000_000_000
MAX_IDS_PER_FLOW = 16  # the oldest id is forgotten beyond that; it is still routed by the server id encoded in it
AMPLIFICATION_LIMIT = 3  # bytes sent per byte received until a client's address is validated (RFC 9000 section 8)


class FlowState(Enum):
    """State of a flow; the table in docs/quic.md lists the transitions."""

    AWAITING_HELLO = 1
    REQUESTED = 2
    ESTABLISHED = 3
    REJECTED = 4
    CLOSED = 5


_TRANSITIONS = {
    FlowState.AWAITING_HELLO: {FlowState.REQUESTED, FlowState.REJECTED, FlowState.CLOSED},
    FlowState.REQUESTED: {FlowState.ESTABLISHED, FlowState.REJECTED, FlowState.CLOSED},
    FlowState.ESTABLISHED: {FlowState.CLOSED},
    FlowState.REJECTED: {FlowState.CLOSED},
    FlowState.CLOSED: set(),
}


class Path:
    """One client address of a flow."""

    __slots__ = (
        "server_responded",
        "cid",
        "due_second",
        "flow",
        "validated",
        "received_bytes",
        "last_seen",
        "sent_bytes",
        "source",
        "upstream",
    )

    def __init__(self, flow: Flow, source: Source, now: int) -> None:
        self.flow = flow
        self.source = source
        self.cid = b""  # the destination id that the client most recently started to use on this path
        self.received_bytes = 0  # from the client, counted until the path is validated
        self.sent_bytes = 0  # to the client, counted until the path is validated
        self.server_responded = False  # the server has sent a datagram on this path
        self.validated = False  # the client has sent again after receiving the server's response
        self.last_seen = now
        self.due_second = -1  # the second of the next timer check; -1 without one
        self.upstream: Any = None  # the path's upstream socket, set by ``sockets``


class Flow:
    """One QUIC connection, as far as a relay can identify one."""

    __slots__ = (
        "adopted",
        "agent",
        "final_answer",
        "attempt_path",
        "dcid",
        "due_second",
        "early_server_datagrams",
        "sending_stopped",
        "ids",
        "first_flight",
        "paths",
        "address_validated",
        "repeat_count",
        "scid",
        "server",
        "state_since",
        "source",
        "state",
        "version",
    )

    def __init__(self, source: Source, dcid: bytes, now: int, state: FlowState) -> None:
        self.source = source
        self.dcid = dcid  # the client's first destination id; empty for an adopted flow
        self.scid = b""
        self.version = 0
        self.state = state
        self.state_since = now  # when the flow entered this state
        self.server = ""
        self.first_flight: FirstFlight | None = None
        self.attempt_path: Path | None = None  # the path of the attempt in progress
        self.address_validated = False  # a Retry token has validated the client's address
        self.sending_stopped = False  # the server drains: it gets nothing more before it answers
        self.early_server_datagrams: list[bytes] = []  # received from the server before its answer
        self.final_answer = b""  # the rejection that is sent again for repeated Initials
        self.repeat_count = 0  # datagrams received after the rejection
        self.adopted = not dcid
        self.due_second = -1  # the second of the next timer check; -1 without one
        self.paths: dict[Source, Path] = {}
        self.ids: list[bytes] = []
        self.agent: Any = None  # the flow's QuicAgent, set by ``sockets``

    def set_state(self, state: FlowState, now: int) -> None:
        """Enter another state; a transition that is not in the table is a defect."""
        assert state in _TRANSITIONS[self.state], f"{self.state.name} to {state.name}"
        self.state, self.state_since = state, now


class FlowTable:
    """Owns all flows, paths and known connection ids."""

    def __init__(self, max_flows: int, max_paths: int, max_paths_per_flow: int, idle_timeout_ns: int) -> None:
        self.max_flows, self.max_paths, self.max_paths_per_flow = max_flows, max_paths, max_paths_per_flow
        self.idle_timeout_ns = idle_timeout_ns
        self.flows: dict[Flow, None] = {}
        self.by_initial_dcid: dict[tuple[Source, bytes], Flow] = {}
        self.by_id: dict[bytes, Flow] = {}
        self.by_source_and_server: dict[tuple[Source, str], Flow] = {}
        self.by_source: dict[Source, Flow] = {}
        self.by_server: dict[str, dict[Flow, None]] = {}
        self.routes: dict[tuple[Source, bytes], Path] = {}
        self.unvalidated: OrderedDict[Path, None] = OrderedDict()
        self.path_count = 0
        self.pending_setups = 0  # set-ups that have not received their final answer
        self._wheel: dict[int, dict[Path | Flow, None]] = {}  # timer wheel: second to the entries due in it
        self._wheel_second = -1  # the last second that has been processed

    # Flows

    def is_full(self) -> bool:
        """Tell whether the table holds its maximum number of flows."""
        return len(self.flows) >= self.max_flows

    def create_flow(self, source: Source, dcid: bytes, now: int) -> Flow:
        """Add a flow whose set-up begins."""
        flow = Flow(source, dcid, now, FlowState.AWAITING_HELLO)
        self.flows[flow] = None
        self.by_initial_dcid[source, dcid] = flow
        self.pending_setups += 1
        return flow

    def adopt_flow(self, source: Source, server: str, now: int) -> Flow:
        """Add an established flow whose server is known from a connection id."""
        flow = Flow(source, b"", now, FlowState.ESTABLISHED)
        self.flows[flow] = None
        self.set_server(flow, server)
        return flow

    def set_server(self, flow: Flow, server: str) -> None:
        """Record the server that a flow is at, or that is being tried for it."""
        if flow.server:
            self.by_server[flow.server].pop(flow, None)
        flow.server = server
        self.by_server.setdefault(server, {})[flow] = None

    def set_state(self, flow: Flow, state: FlowState, now: int) -> None:
        """Move a flow to another state and keep the count of pending set-ups."""
        if flow.state in (FlowState.AWAITING_HELLO, FlowState.REQUESTED) and state not in (
            FlowState.AWAITING_HELLO,
            FlowState.REQUESTED,
        ):
            self.pending_setups -= 1
        flow.set_state(state, now)

    def remove_flow(self, flow: Flow, now: int) -> list[Path]:
        """Remove a flow and all of its index entries; return its paths, whose sockets the caller closes."""
        if flow.state is FlowState.CLOSED:
            return []
        self.set_state(flow, FlowState.CLOSED, now)
        self.unschedule(flow)
        self.flows.pop(flow, None)
        self.by_initial_dcid.pop((flow.source, flow.dcid), None)
        if flow.server and flow in self.by_server.get(flow.server, {}):
            del self.by_server[flow.server][flow]
            if not self.by_server[flow.server]:
                del self.by_server[flow.server]
        closed = list(flow.paths.values())
        for path in closed:
            self.remove_path(path)
        for cid in flow.ids:
            self.by_id.pop(cid, None)
        flow.first_flight, flow.attempt_path, flow.early_server_datagrams = None, None, []
        return closed

    # Paths

    def get_or_create_path(self, flow: Flow, source: Source, now: int) -> tuple[Path, list[Path]]:
        """Return the flow's path from this source, creating it if needed, and the paths evicted to make room for it."""
        found = flow.paths.get(source)
        if found is not None:
            return found, []
        evicted = self._make_room(flow)
        path = Path(flow, source, now)
        flow.paths[source] = path
        self.path_count += 1
        self.unvalidated[path] = None
        # An existing entry stays: a datagram of this flow copied from another client's address must not take over
        # that client's entries.
        self.by_source.setdefault(source, flow)
        if flow.state is FlowState.ESTABLISHED:
            self.by_source_and_server.setdefault((source, flow.server), flow)
        self.schedule(path, now + self.idle_timeout_ns)
        return path, evicted

    def set_primary_at_source(self, flow: Flow) -> None:
        """Point the source's index entries at this flow; call it when a server has answered the flow there.

        They replace entries that a copied datagram of another flow has created.
        """
        self.by_source[flow.source] = self.by_source_and_server[flow.source, flow.server] = flow

    def has_room_for_path(self, flow: Flow) -> bool:
        """Tell whether a path can be added to this flow, by evicting an unvalidated one if necessary."""
        if len(flow.paths) >= self.max_paths_per_flow:
            return True  # one of the flow's own paths is evicted
        return self.path_count < self.max_paths or bool(self.unvalidated)

    def _make_room(self, flow: Flow) -> list[Path]:
        evicted: list[Path] = []
        if len(flow.paths) >= self.max_paths_per_flow:
            # Unvalidated paths are evicted first, then the least recently used: copies from spoofed sources evict
            # each other before the client's own path.
            oldest = min(flow.paths.values(), key=lambda candidate: (candidate.validated, candidate.last_seen))
            evicted.append(oldest)
            self.remove_path(oldest)
        elif self.path_count >= self.max_paths and self.unvalidated:
            oldest = next(iter(self.unvalidated))
            evicted.append(oldest)
            self.remove_path(oldest)
        return evicted

    def remove_path(self, path: Path) -> None:
        """Remove a path; its flow stays, even without any path left."""
        flow = path.flow
        if flow.paths.get(path.source) is not path:
            return
        del flow.paths[path.source]
        self.path_count -= 1
        self.unschedule(path)
        self.unvalidated.pop(path, None)
        for cid in flow.ids:
            if self.routes.get((path.source, cid)) is path:
                del self.routes[path.source, cid]
        if self.by_source.get(path.source) is flow:
            del self.by_source[path.source]
        if self.by_source_and_server.get((path.source, flow.server)) is flow:
            del self.by_source_and_server[path.source, flow.server]

    def pin_path(self, path: Path) -> None:
        """Exempt a path from eviction: it carries an attempt, whose end must be sent to its server."""
        self.unvalidated.pop(path, None)

    def unpin_path(self, path: Path) -> None:
        """Make a path evictable again unless it is validated; call it when the attempt has been answered."""
        if not path.validated:
            self.unvalidated[path] = None

    def mark_validated(self, path: Path) -> None:
        """Mark a path as validated: the client has answered what the server sent on it."""
        path.validated = True
        self.unvalidated.pop(path, None)

    # Ids

    def add_id(self, flow: Flow, cid: bytes) -> None:
        """Add a connection id to a flow; beyond ``MAX_IDS_PER_FLOW`` the oldest is removed."""
        if not cid or self.by_id.get(cid) is flow:
            return
        if cid in self.by_id:  # a faulty server gave one id to two flows: the older flow keeps it
            return
        if len(flow.ids) >= MAX_IDS_PER_FLOW:
            oldest = flow.ids.pop(0)
            self.by_id.pop(oldest, None)
            for source in flow.paths:
                self.routes.pop((source, oldest), None)
        flow.ids.append(cid)
        self.by_id[cid] = flow

    def add_route(self, path: Path, cid: bytes) -> None:
        """Route datagrams with this id from the path's source directly to this path."""
        if self.by_id.get(cid) is path.flow:
            self.routes[path.source, cid] = path
        path.cid = cid

    # Time

    def schedule(self, entry: Path | Flow, due_ns: int) -> None:
        """Have ``pop_due`` return a path or flow within about a second of this time; replaces an earlier time."""
        self.unschedule(entry)
        entry.due_second = due_ns // NS_PER_SECOND + 1
        self._wheel.setdefault(entry.due_second, {})[entry] = None

    def unschedule(self, entry: Path | Flow) -> None:
        """Remove a path or flow from the timer wheel."""
        # The wheel entry is deleted with its path; if it stayed until it was due, memory would grow with the rate of
        # datagrams from strangers.
        if (bucket := self._wheel.get(entry.due_second)) is not None:
            bucket.pop(entry, None)
            if not bucket:
                del self._wheel[entry.due_second]
        entry.due_second = -1

    def pop_due(self, now: int) -> list[Path | Flow]:
        """Remove and return the entries due by now; the caller checks them and may schedule them again."""
        second = now // NS_PER_SECOND
        if self._wheel_second < 0 or second - self._wheel_second > len(self._wheel):
            # After a jump of the clock, going through every second in between would take too long.
            due_seconds = sorted(key for key in self._wheel if key <= second)
        else:
            due_seconds = [key for key in range(self._wheel_second + 1, second + 1) if key in self._wheel]
        self._wheel_second = max(self._wheel_second, second)
        found = [entry for key in due_seconds for entry in self._wheel.pop(key)]
        for entry in found:
            entry.due_second = -1
        return found
