"""The servers that one relay knows, with the sets and sums that decisions need kept up to date.

No clock, no I/O. No event costs more where there are more servers, but a full list: a change of one server updates what
depends on it, and nothing looks at all servers for a request, a report or a tick.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from scaledeal import interface as api
from scaledeal.cold_start import ColdStart
from scaledeal.estimates import ListedWeights
from scaledeal.ranking import ServerRing, digest
from scaledeal.state import Server

STALE_PROBE_ENTRIES = 64  # outdated entries of the probe queue that are kept beside as many as there are servers


class ServerTable:
    """All known servers, and those that are live, cold, failing or avoided.

    A server's state, place, weight, warmth and failures are changed through the table alone.
    """

    def __init__(self, classes: int) -> None:
        self.classes = classes
        self.by_name: dict[str, Server] = {}
        self.live: dict[str, Server] = {}
        self.cold: dict[str, Server] = {}  # of the live ones, those that may still be cold
        self.failing: dict[str, Server] = {}  # of the live ones, those that have failed last
        self.assumed_draining: dict[str, Server] = {}  # may also hold some that are not any more
        self.probed: dict[str, Server] = {}  # those whose probe is not answered
        self.left: dict[str, Server] = {}  # no longer listed, but with connections
        self.weights = ListedWeights()
        self.warm_capacity = self.cold_capacity = 0.0  # sums over the live servers, in capacities of weight 1
        self.ring: ServerRing[Server] = ServerRing()  # of all live servers
        self._zone_rings: dict[int, ServerRing[Server]] = {}
        self._cell_rings: dict[int, ServerRing[Server]] = {}
        self._weight_changed: set[str] = set()  # servers whose listed weight was not looked at yet
        self._weight_replaced: set[str] = set()  # servers whose listed weight is not used
        self._probe_queue: list[tuple[int, str]] = []  # a heap; an entry counts while it names the server's next probe

    # Servers

    def add(self, name: str) -> Server:
        """Add a server, which is not live before ``place`` says so."""
        server = self.by_name[name] = self.left[name] = Server(name, [0] * self.classes, digest(name))
        self.weights.record(name, server.listed_weight)
        return server

    def place(self, server: Server, state: api.ServerState, zone: int, cell: int) -> None:
        """Set a server's state, zone and cell as listed."""
        if (server.state, server.zone, server.cell) == (state, zone, cell):
            return
        if server.state is api.ServerState.LIVE:
            self._leave(server)
        self.left.pop(server.id, None)
        server.state, server.zone, server.cell = state, zone, cell
        if state is api.ServerState.LIVE:
            self._join(server)
        elif state is api.ServerState.GONE:
            self.left[server.id] = server
            self.discard_if_unused(server)

    def discard_if_unused(self, server: Server) -> None:
        """Forget a server that is no longer listed and holds no connections."""
        if server.state is api.ServerState.GONE and not server.connections:
            self.by_name.pop(server.id, None)
            self.left.pop(server.id, None)
            self.probed.pop(server.id, None)
            self.assumed_draining.pop(server.id, None)
            self.weights.remove(server.id)

    def zone_ring(self, zone: int) -> ServerRing[Server]:
        """Return the live servers of a zone."""
        return self._zone_rings.get(zone) or ServerRing()

    def cell_ring(self, cell: int) -> ServerRing[Server]:
        """Return the live servers of a cell."""
        return self._cell_rings.get(cell) or ServerRing()

    def _join(self, server: Server) -> None:
        self.live[server.id] = server
        for ring in self._rings(server):
            ring.add(server)
        if server.failures:
            self.failing[server.id] = server
        self._count_capacity(server, 1)
        if server.warmth < 1:
            self.cold[server.id] = server
        self.schedule_probe(server, server.next_probe_at)

    def _leave(self, server: Server) -> None:
        del self.live[server.id]
        for ring in self._rings(server):
            ring.remove(server)
        if not self.zone_ring(server.zone):
            del self._zone_rings[server.zone]
        if not self.cell_ring(server.cell):
            del self._cell_rings[server.cell]
        self.failing.pop(server.id, None)
        self._count_capacity(server, -1)
        self.cold.pop(server.id, None)
        if not self.live:
            self.warm_capacity = 0.0
        if not self.cold:
            self.cold_capacity = 0.0

    def _rings(self, server: Server) -> tuple[ServerRing[Server], ...]:
        zone_ring = self._zone_rings.setdefault(server.zone, ServerRing())
        return self.ring, zone_ring, self._cell_rings.setdefault(server.cell, ServerRing())

    # Failures

    def set_failures(self, server: Server, failures: int) -> None:
        """Set how often in a row a server has failed."""
        server.failures = failures
        if failures and server.id in self.live:
            self.failing[server.id] = server
        elif not failures:
            self.failing.pop(server.id, None)

    # Capacity

    def set_warmth(self, server: Server, warmth: float) -> None:
        """Set the share of its capacity that a server has at its age."""
        if warmth != server.warmth:
            self._set_capacity(server, server.weight, warmth)

    def refresh_cold(self, cold_start: ColdStart, now: int) -> None:
        """Bring the warmth of all cold servers up to ``now``."""
        for server in list(self.cold.values()):
            self.set_warmth(server, cold_start.warmth(now - server.started))
        self.cold_capacity = sum(server.weight * server.warmth for server in self.cold.values())

    def set_listed_weight(self, server: Server, weight: float) -> None:
        """Record the weight that a list gives; it is used from ``update_weights`` on."""
        if weight != server.listed_weight:
            server.listed_weight = weight
            self.weights.record(server.id, weight)
            self._weight_changed.add(server.id)

    def update_weights(self) -> list[Server]:
        """Give each server its listed weight, or the fleet's median where the listed one can't be right.

        Return the servers with a new listed weight that is not used.
        """
        typical, implausible = self.weights.typical(), self.weights.implausible()
        changed, self._weight_changed = self._weight_changed, set()
        affected = implausible | self._weight_replaced | changed
        self._weight_replaced = implausible
        for server in [self.by_name[name] for name in sorted(affected) if name in self.by_name]:
            weight = typical if server.id in implausible else server.listed_weight
            if weight != server.weight:
                self._set_capacity(server, weight, server.warmth)
        return [self.by_name[name] for name in sorted(implausible & changed)]

    def _set_capacity(self, server: Server, weight: float, warmth: float) -> None:
        is_live = server.id in self.live
        if is_live:
            self._count_capacity(server, -1)
        server.weight, server.warmth = weight, warmth
        if is_live:
            self._count_capacity(server, 1)
            if warmth < 1:
                self.cold[server.id] = server
            else:
                self.cold.pop(server.id, None)

    def _count_capacity(self, server: Server, sign: int) -> None:
        capacity = sign * server.weight * server.warmth
        if server.warmth < 1:
            self.cold_capacity += capacity
        else:
            self.warm_capacity += capacity

    # Probes

    def schedule_probe(self, server: Server, at: int) -> None:
        """Set when a server is to be probed next."""
        server.next_probe_at = at
        heapq.heappush(self._probe_queue, (at, server.id))
        if len(self._probe_queue) > 2 * len(self.live) + STALE_PROBE_ENTRIES:
            self._probe_queue = [(each.next_probe_at, name) for name, each in self.live.items()]
            heapq.heapify(self._probe_queue)

    def take_due_probe(self, now: int) -> Server | None:
        """Return the live server whose probe is due for longest; its next probe has to be scheduled."""
        while self._probe_queue and self._probe_queue[0][0] <= now:
            at, name = heapq.heappop(self._probe_queue)
            server = self.live.get(name)
            if server is not None and server.next_probe_at == at:
                return server
        return None


class TrackedLoads:
    """The servers with connections or reports, and the sum of this relay's loads over the weights of their servers."""

    def __init__(self, classes: int) -> None:
        self.servers: dict[str, Server] = {}
        self._known = 0.0
        self._unknown = [0.0] * classes  # numbers of connections of unknown load, by class

    def add(self, server: Server) -> None:
        """Track a server; one that is tracked already is left as it is."""
        previous = self.servers.get(server.id)
        if previous is server:
            return
        if previous is not None:  # it left the list, and came back under its name
            self.remove(previous)
        self.servers[server.id] = server
        self._count(server, server.known_load, server.unknown_loads)

    def remove(self, server: Server) -> None:
        """Track a server no longer."""
        if self.servers.get(server.id) is server:
            del self.servers[server.id]
            self._count(server, -server.known_load, [-count for count in server.unknown_loads])

    def change(self, server: Server, known: float, cls: int, unknown: int) -> None:
        """Change a server's known load, and its number of connections of unknown load in a class."""
        server.known_load += known
        server.unknown_loads[cls] += unknown
        if self.servers.get(server.id) is server:
            self._known += known / server.weight
            self._unknown[cls] += unknown / server.weight

    def total(self, class_load: list[float]) -> float:
        """Return the sum of the loads over the weights; ``class_load`` has the mean load of each class."""
        return self._known + sum(count * load for count, load in zip(self._unknown, class_load, strict=True))

    def recount(self) -> None:
        """Add the sums up anew: weights have changed, or errors of rounding may have added up."""
        self._known = 0.0
        self._unknown = [0.0] * len(self._unknown)
        for server in self.servers.values():
            self._count(server, server.known_load, server.unknown_loads)

    def _count(self, server: Server, known: float, unknown: Iterable[int]) -> None:
        self._known += known / server.weight
        for cls, count in enumerate(unknown):
            self._unknown[cls] += count / server.weight
