"""A whole deployment: the servers and the list that follows them, the store, the network, the front and the clients.

It owns the kernel of a run and everything in it but the relays, which a host plays.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
import numpy as np

from scaledeal.lab.kernel import Kernel, Station, Streams
from scaledeal.lab.scenario.types import Model, Scenario
from scaledeal.lab.truth import RuleChecker, Service
from scaledeal.lab.world.clients import Client, ClientPopulation
from scaledeal.lab.world.directory import Directory, Entry
from scaledeal.lab.world.network import Paths
from scaledeal.lab.world.server import TileServer

MS = 1_000_000
SECOND = 1000 * MS
EPOCH = 1_700_000_000_000  # ms: Unix time at the beginning of a run


class RelayHost(Protocol):
    """What troubles do to relays, besides what clients ask of them."""

    def ask(self, client: Client) -> bool:
        """Bring a client's first line to a relay."""

    def leave(self, client: Client) -> None:
        """Have a client end it."""

    def kill(self, number: int) -> None:
        """End a relay at once."""

    def restart(self, number: int) -> None:
        """Tell a relay to end, and start it again when it has."""

    def upgrade(self, number: int) -> None:
        """Have a new version take over from a relay that serves."""

    def reload(self, number: int) -> None:
        """Have a relay read its configuration again."""


class Door(msgspec.Struct):
    """A relay as the front sees it."""

    number: int
    name: str
    zone: int
    open: bool = True


class Front:
    """Spreads the clients of a zone over its relays; where the zone has none, over all."""

    def __init__(self, doors: list[Door], draw: np.random.Generator) -> None:
        self.doors, self.draw = doors, draw

    def pick(self, zone: int) -> Door | None:
        """Name a relay for a client."""
        near = [door for door in self.doors if door.open and door.zone == zone]
        choice = near or [door for door in self.doors if door.open]
        return choice[int(self.draw.integers(len(choice)))] if choice else None


class Fleet:
    """Everything that relays meet."""

    def __init__(self, day: Scenario, seed: int, stop: bool = True, shuffle: bool = False) -> None:
        """``stop``: end at the first broken rule. ``shuffle``: draw the order of what falls on one instant."""
        self.day, self.seed = day, seed
        self.streams = Streams(seed)
        self.kernel = Kernel(self.streams.of("ties") if shuffle else None)
        self.checker = RuleChecker(day.rules, stop)
        self.service = Service(day)
        self.paths = Paths(day, self.streams)
        self.directory = Directory(self.kernel, day, self.streams)
        self.servers: dict[str, TileServer] = {}
        self.on_start: Callable[[TileServer], None] = lambda server: None  # a host that gives servers sockets
        self.numbered = 0
        self.draw = self.streams.of("fleet")
        self.models = self._models()
        self.server_rate = 0.0
        power = sum(model.cores * (model.speed.low + model.speed.high) / 2 for model in self.models)
        self.population = ClientPopulation(self.kernel, day, self.streams, self.service, self.checker, power)
        self.store = Station(self.kernel, 1)
        self.store_slow = 1.0
        for model in self.models:
            self._start(model)
        self.directory.set_initial([self.entry(server, "active") for server in self.servers.values()])
        zones = len(day.zones)
        self.doors = [Door(n, f"n{n}", n % zones) for n in range(day.relays.count)]
        self.front = Front(self.doors, self.streams.of("front"))
        self.host: RelayHost = None  # type: ignore[assignment]  # set by ``play``

    def play(self, host: RelayHost) -> None:
        """Have a host's relays meet this fleet from now on, until the day is over."""
        from scaledeal.lab.world.troubles import begin

        self.host = self.population.host = host
        begin(self)

    # Servers

    def live(self) -> list[TileServer]:
        """Return the servers that serve, in the order in which they started."""
        return [server for server in self.servers.values() if server.alive and not server.draining]

    def start_server(self, model: Model, zone: int | None = None) -> TileServer:
        """Start a cold one; the list hears of it later."""
        server = self._start(model, max(1, self.kernel.now), zone)
        self.directory.record_change(self.entry(server, "active"), "add")
        return server

    def drain_server(self, server: TileServer) -> None:
        """Have one leave: it drains, and its process ends later."""
        server.drain()
        self.directory.record_change(self.entry(server, "leaving"), "notice")
        low, high = self.day.servers.leaves
        self.kernel.after(int(self.draw.uniform(low, high) if low < high else low), lambda: self.end_server(server))

    def end_server(self, server: TileServer, silently: bool = False) -> None:
        """End one at once; a machine that vanishes is noticed later than a process that dies."""
        if server.alive:
            server.die(silently)
            self.directory.record_change(self.entry(server, "left"), "silent" if silently else "notice")

    def entry(self, server: TileServer, status: str) -> Entry:
        """Return a server's line of the list."""
        cores = float(server.model.cores)
        told = {
            "none": 1.0,
            "nominal": server.power,
            "rough": cores,
            "live": cores / (1 + len(server.connections) / cores),
        }[self.day.servers.weights]
        since = EPOCH + server.started_at // MS if server.started_at else 0
        return Entry(
            server.name,
            self.address(server.name),
            self.day.zones[server.zone],
            server.model.name,
            server.zone,
            status,
            told,
            float(since),
        )

    def address(self, name: str) -> str:
        """Return where a server listens."""
        number = int(name.rpartition("-")[2])
        return f"10.1.{number // 200}.{number % 200 + 1}:9000"

    def store_time(self) -> int:
        """Return the ns of the store for one call."""
        rate = max(0.1, self.population.rate * self.day.store.headroom)
        return int(self.store_slow * SECOND / rate)

    def _start(self, model: Model, started: int = 0, zone: int | None = None) -> TileServer:
        number, self.numbered = self.numbered, self.numbered + 1
        name = f"s-{number}"
        where = number % len(self.day.zones) if zone is None else zone
        server = TileServer(
            self.kernel,
            self.day,
            name,
            where,
            model,
            self.streams.of("server", name),
            self.service,
            self.checker,
            self.store,
            self.store_time,
            self.population,
            started,
        )
        self.servers[name] = server
        self.on_start(server)
        return server

    def _models(self) -> list[Model]:
        """Give each server its model: shares are kept as closely as the count allows, the order is drawn."""
        shares = np.array([model.share for model in self.day.servers.model])
        wanted = shares / shares.sum() * self.day.servers.count
        counts = np.floor(wanted).astype(int)
        for place in np.argsort(counts - wanted)[: self.day.servers.count - int(counts.sum())]:
            counts[place] += 1
        models = [model for model, count in zip(self.day.servers.model, counts, strict=True) for _ in range(count)]
        return [models[place] for place in self.draw.permutation(len(models))]
