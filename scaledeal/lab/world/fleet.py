"""A complete deployment: servers, their discovery list, the store, the network, the front and the clients.

The fleet owns the simulation kernel and everything in a run except the relays, which a host provides.
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
EPOCH_MS = 1_700_000_000_000  # Unix time at the start of a run


class RelayHost(Protocol):
    """The interface of a host: requests of clients, and what troubles do to relays."""

    def ask(self, client: Client) -> bool:
        """Send a client's first line to a relay; return False if the front has no relay for it."""

    def leave(self, client: Client) -> None:
        """End a client's request or connection."""

    def kill(self, number: int) -> None:
        """Kill a relay at once."""

    def restart(self, number: int) -> None:
        """Stop a relay in an orderly way, and start it again when it has exited."""

    def upgrade(self, number: int) -> None:
        """Start a new version that takes over from a running relay."""

    def reload(self, number: int) -> None:
        """Make a relay reload its configuration."""


class RelayBackend(msgspec.Struct):
    """A relay as the front sees it."""

    number: int
    name: str
    zone: int
    in_rotation: bool = True  # whether the front sends clients to it


class Front:
    """Spreads the clients of a zone over the relays in rotation there; if there are none, over those of all zones."""

    def __init__(self, backends: list[RelayBackend], rng: np.random.Generator) -> None:
        self.backends, self.rng = backends, rng

    def pick(self, zone: int) -> RelayBackend | None:
        """Choose a relay for a client of a zone; return None if none is in rotation."""
        in_zone = [backend for backend in self.backends if backend.in_rotation and backend.zone == zone]
        candidates = in_zone or [backend for backend in self.backends if backend.in_rotation]
        return candidates[int(self.rng.integers(len(candidates)))] if candidates else None


class Fleet:
    """Everything that relays interact with in a run."""

    def __init__(self, day: Scenario, seed: int, stop: bool = True, shuffle: bool = False) -> None:
        """``stop``: end the run at the first broken rule; ``shuffle``: randomise the order of calls at one instant."""
        self.day, self.seed = day, seed
        self.streams = Streams(seed)
        self.kernel = Kernel(self.streams.of("ties") if shuffle else None)
        self.checker = RuleChecker(day.rules, stop)
        self.service = Service(day)
        self.paths = Paths(day, self.streams)
        self.directory = Directory(self.kernel, day, self.streams)
        self.servers: dict[str, TileServer] = {}
        # Set by a host that gives servers sockets.
        self.on_server_start: Callable[[TileServer], None] = lambda server: None
        self.server_count = 0  # servers started so far
        self.rng = self.streams.of("fleet")
        self.models = self._assign_models()
        self.server_rate = 0.0
        power = sum(model.cores * (model.speed.low + model.speed.high) / 2 for model in self.models)
        self.population = ClientPopulation(self.kernel, day, self.streams, self.service, self.checker, power)
        self.store = Station(self.kernel, 1)
        self.store_slowdown = 1.0  # factor of the store's time per call
        for model in self.models:
            self._create_server(model)
        self.directory.set_initial([self.entry(server, "active") for server in self.servers.values()])
        zones = len(day.zones)
        self.backends = [RelayBackend(n, f"n{n}", n % zones) for n in range(day.relays.count)]
        self.front = Front(self.backends, self.streams.of("front"))
        self.host: RelayHost = None  # type: ignore[assignment]  # set by ``attach``

    def attach(self, host: RelayHost) -> None:
        """Connect the host of the relays, and schedule the troubles of the day."""
        from scaledeal.lab.world.troubles import schedule_troubles

        self.host = self.population.host = host
        schedule_troubles(self)

    # Servers

    def live(self) -> list[TileServer]:
        """Return the servers that are alive and not draining, in the order of their start."""
        return [server for server in self.servers.values() if server.alive and not server.draining]

    def start_server(self, model: Model, zone: int | None = None) -> TileServer:
        """Start a cold server; discovery lists it after a delay."""
        server = self._create_server(model, max(1, self.kernel.now), zone)
        self.directory.record_change(self.entry(server, "active"), "add")
        return server

    def drain_server(self, server: TileServer) -> None:
        """Drain a server; its process exits after the delay ``servers.leaves``."""
        server.drain()
        self.directory.record_change(self.entry(server, "leaving"), "notice")
        low, high = self.day.servers.leaves
        self.kernel.after(int(self.rng.uniform(low, high) if low < high else low), lambda: self.end_server(server))

    def end_server(self, server: TileServer, silently: bool = False) -> None:
        """End a server at once; discovery notices a vanished machine (``silently``) later than a dead process."""
        if server.alive:
            server.die(silently)
            self.directory.record_change(self.entry(server, "left"), "silent" if silently else "notice")

    def entry(self, server: TileServer, status: str) -> Entry:
        """Return a server's entry in the discovery list."""
        cores = float(server.model.cores)
        weight = {
            "none": 1.0,
            "nominal": server.power,
            "rough": cores,
            "live": cores / (1 + len(server.connections) / cores),
        }[self.day.servers.weights]
        since = EPOCH_MS + server.started_at // MS if server.started_at else 0
        return Entry(
            server.name,
            self.address(server.name),
            self.day.zones[server.zone],
            server.model.name,
            server.zone,
            status,
            weight,
            float(since),
        )

    def address(self, name: str) -> str:
        """Return the address at which a server listens."""
        number = int(name.rpartition("-")[2])
        return f"10.1.{number // 200}.{number % 200 + 1}:9000"

    def store_time(self) -> int:
        """Return the ns that the store takes for one call."""
        rate = max(0.1, self.population.rate * self.day.store.headroom)
        return int(self.store_slowdown * SECOND / rate)

    def _create_server(self, model: Model, started_at: int = 0, zone: int | None = None) -> TileServer:
        number, self.server_count = self.server_count, self.server_count + 1
        name = f"s-{number}"
        server_zone = number % len(self.day.zones) if zone is None else zone
        server = TileServer(
            self.kernel,
            self.day,
            name,
            server_zone,
            model,
            self.streams.of("server", name),
            self.service,
            self.checker,
            self.store,
            self.store_time,
            self.population,
            started_at,
        )
        self.servers[name] = server
        self.on_server_start(server)
        return server

    def _assign_models(self) -> list[Model]:
        """Return the model of each server: shares as close as the count allows, in random order."""
        shares = np.array([model.share for model in self.day.servers.model])
        exact_counts = shares / shares.sum() * self.day.servers.count
        counts = np.floor(exact_counts).astype(int)
        for index in np.argsort(counts - exact_counts)[: self.day.servers.count - int(counts.sum())]:
            counts[index] += 1
        models = [model for model, count in zip(self.day.servers.model, counts, strict=True) for _ in range(count)]
        return [models[index] for index in self.rng.permutation(len(models))]
