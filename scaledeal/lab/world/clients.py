"""Clients: their arrival, the time for which they want a connection, and their reconnects.

Laws. New clients arrive as a Poisson process whose rate follows the scenario's shape. A client wants a connection for a
random time from its first line on. While it has none it reconnects: after a move, a broken connection or a drain within
``rejoin``; after a refusal when the time given by BUSY has passed, if it honours that, otherwise after an exponential
back-off. A client that was never connected gives up after ``retries`` retries; one that was connected retries until its
time is over. Every client has its own random stream, so that adding a client does not change any other.
"""

from __future__ import annotations

import math
from typing import Protocol

import numpy as np

from scaledeal.lab.kernel import Kernel, ScheduledCall, Streams
from scaledeal.lab.scenario.types import Class, Scenario
from scaledeal.lab.truth import RuleChecker, Service
from scaledeal.lab.world.server import ServerConnection

MS = 1_000_000
SECOND = 1000 * MS


class Host(Protocol):
    """The interface of the code that runs the relays."""

    def ask(self, client: Client) -> bool:
        """Send a client's first line to a relay of its zone; return False if the front has no relay for it."""

    def leave(self, client: Client) -> None:
        """End a client's request or connection."""


class Client:
    """One client, across all its connections."""

    def __init__(
        self,
        population: ClientPopulation,
        number: int,
        cls: int,
        zone: int,
        group: str,
        lifetime: int,
        rng: np.random.Generator,
    ) -> None:
        self.population, self.number, self.cls, self.zone, self.group = population, number, cls, zone, group
        self.tenant = population.sample_tenant(rng)
        self.rng = rng
        self.key = f"k{number}"
        self.load = population.sample_load(cls, rng)
        self.arrived_at = population.kernel.now
        self.done_at = self.arrived_at + lifetime
        self.visit = 0
        self.id = ""
        self.failures = 0  # consecutive requests that were refused, failed or abandoned
        self.was_connected = self.connected = self.pending = self.finished = False
        self.honours_retry_after = rng.random() < population.day.clients.honour
        self.requested_at = 0
        self.relay = ""
        self._timer: ScheduledCall | None = None
        self._finish_timer: ScheduledCall | None = None

    @property
    def cell(self) -> int:
        """Return the index of its class and tenant in the service accounts."""
        return self.cls * self.population.service.tenant_count + self.tenant

    @property
    def class_settings(self) -> Class:
        """Return the settings of its class."""
        return self.population.day.classes[self.cls]

    def connect(self) -> None:
        """Request a connection from the relay that the front chooses, or finish if its time is over."""
        population, now = self.population, self.population.kernel.now
        if self.finished or now >= self.done_at:
            self._finish()
            return
        if self.visit:
            population.service.count("again", now)
        self.visit += 1
        self.id = f"c{self.number}.{self.visit}"
        self.requested_at, self.pending = now, True
        if not population.host.ask(self):
            self.pending = False
            population.service.count("no_relay", now)
            self._reconnect_after(200 * MS)
            return
        timeout: int = self.class_settings.deadline
        if population.day.clients.impatient and self.rng.random() < population.day.clients.impatient:
            timeout = int(timeout * self.rng.random())
            self._timer = population.kernel.after(timeout, self._abandon)
        else:
            self._timer = population.kernel.after(timeout + population.day.rules.slack + MS, self._on_deadline)

    def schedule_finish(self) -> None:
        """Schedule its departure at the end of the time for which it wants a connection."""
        self._finish_timer = self.population.kernel.at(self.done_at, self._finish)

    # Events from the relay

    def on_connected(self) -> None:
        """Handle UP."""
        now = self.population.kernel.now
        self.population.checker.answer_received(self.id, now, "UP")
        self._cancel_timers()
        self.pending, self.connected, self.was_connected, self.failures = False, True, True, 0
        self.population.service.record_duration(self.population.service.set_up_ms, now - self.requested_at)
        self.schedule_finish()

    def on_refused(self, wait: int) -> None:
        """Handle BUSY; ``wait`` is the ns that it asks the client to wait, or 0."""
        self._on_rejected("BUSY", "refused", wait)

    def on_failed(self) -> None:
        """Handle ERR."""
        self._on_rejected("ERR", "failed", 0)

    def on_moved(self) -> None:
        """Handle MOVE from the relay or the server."""
        self._on_connection_lost()

    def on_broken(self, unanswered: bool = False) -> None:
        """Handle a broken connection; ``unanswered``: no answer to its request is due any more."""
        self.population.service.count("broken", self.population.kernel.now)
        if unanswered:
            self.population.checker.client_left(self.id, self.population.kernel.now)
        self._on_connection_lost()

    def on_connect_failed(self) -> None:
        """Handle a connection that was refused or reset before the request was sent."""
        self.population.checker.forget(self.id)
        self._cancel_timers()
        self.pending = False
        self._reconnect_after(200 * MS)

    # Inside

    def _on_rejected(self, word: str, counter: str, wait: int) -> None:
        if not self.pending:
            self.population.checker.answer_received(self.id, self.population.kernel.now, word)
            return
        population, now = self.population, self.population.kernel.now
        population.checker.answer_received(self.id, now, word)
        population.service.count(counter, now)
        self._cancel_timers()
        self.pending = False
        self.failures += 1
        if not self.was_connected and self.failures > population.day.clients.retries:
            population.service.count("gave_up", now)
            self.finished = True
            population.remove(self)
            return
        low, high = population.day.clients.backoff
        base = float(low if low == high else self.rng.uniform(low, high))
        back_off = min(float(population.day.clients.backoff_most), base * 2 ** min(self.failures - 1, 10))
        self._reconnect_after(int(wait if wait and self.honours_retry_after else back_off * (0.5 + self.rng.random())))

    def _on_connection_lost(self) -> None:
        self._cancel_timers()
        self.connected = self.pending = False
        low, high = self.population.day.clients.rejoin
        self._reconnect_after(int(low if low == high else self.rng.uniform(low, high)))

    def _reconnect_after(self, wait: int) -> None:
        self._timer = self.population.kernel.after(wait, self.connect)

    def _abandon(self) -> None:
        if self.pending:
            self.population.checker.client_left(self.id, self.population.kernel.now)
            self.population.host.leave(self)
            self.pending = False
            self.failures += 1
            self._reconnect_after(SECOND)

    def _on_deadline(self) -> None:
        if self.pending:
            self.population.checker.deadline_passed(self.id, self.population.kernel.now)
            self._abandon()

    def _finish(self) -> None:
        if self.finished:
            return
        self.finished = True
        self._cancel_timers()
        if self.connected or self.pending:
            self.population.checker.client_left(self.id, self.population.kernel.now)
            self.population.host.leave(self)
        self.connected = self.pending = False
        self.population.remove(self)

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._finish_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._finish_timer = None


class ClientPopulation:
    """All clients of a run: their arrival, and the distributions from which they are drawn."""

    def __init__(
        self, kernel: Kernel, day: Scenario, streams: Streams, service: Service, checker: RuleChecker, power: float
    ) -> None:
        """``power`` is the fleet's capacity in reference cores."""
        self.kernel, self.day, self.streams = kernel, day, streams
        self.service, self.checker = service, checker
        self.host: Host = None  # type: ignore[assignment]  # set by Fleet
        self.rng = streams.of("clients")
        per_core = _sample(self.rng, day.servers.per_core)
        self.life = _sample(self.rng, day.clients.life)
        shares = np.array([cls.share for cls in day.classes])
        self.class_shares = shares / shares.sum()
        self.class_loads = [_sample(self.rng, cls.load) for cls in day.classes]
        self.class_lives = [_sample(self.rng, cls.life) for cls in day.classes]
        # A connection of mean load takes 1 / per_core of a core; the mean weights each class by its lifetime.
        weight = self.class_shares * np.array(self.class_lives)
        self.mean_load = 1 / per_core
        self.load_unit = self.mean_load * weight.sum() / float((weight * np.array(self.class_loads)).sum())
        # The mean load of new connections in reference cores, and that of each class relative to it.
        self.mean_work = float(self.load_unit * (self.class_shares * np.array(self.class_loads)).sum())
        self.relative_works = [float(self.load_unit) * load / self.mean_work for load in self.class_loads]
        established = day.clients.load * power * per_core
        mean_life = float((self.class_shares * np.array(self.class_lives)).sum()) * self.life / SECOND
        self.rate = established / mean_life  # new clients per second
        self.expected_established = established
        tenant_shares = np.array([tenant.share for tenant in day.tenant] or [1.0])
        self.cumulative_tenant_shares = np.cumsum(tenant_shares / tenant_shares.sum())
        self.quotas = service.quotas = tuple(tenant.quota * power * per_core for tenant in day.tenant)
        self.zone_shares = self._zone_shares()
        self.cumulative_group_shares = self._cumulative_group_shares(established)
        self.client_count = 0
        self.clients: dict[int, Client] = {}  # present, by number
        self.extra_rate = 0.0  # additional arrivals, relative to the usual rate
        self._phase = float(self.rng.random())
        self._burst = 1.0

    # Arrivals

    def start(self) -> list[Client]:
        """Start the arrivals; return the clients that are connected at the start of the day."""
        self._schedule_arrival()
        if self.day.clients.shape == "bursty":
            self._change_burst()
        if not self.day.clients.standing:
            return []
        weight = self.class_shares * np.array(self.class_lives)
        counts = self.rng.multinomial(int(round(self.expected_established)), weight / weight.sum())
        return [self.new_client(cls, connected=True) for cls, count in enumerate(counts) for _ in range(count)]

    def new_client(self, cls: int | None = None, connected: bool = False) -> Client:
        """Create a client of the given or a random class, and record its demand."""
        self.client_count += 1
        rng = self.streams.of("client", self.client_count)
        if cls is None:
            cls = int(np.searchsorted(np.cumsum(self.class_shares), rng.random()))
        zone = int(np.searchsorted(np.cumsum(self.zone_shares), rng.random()))
        group = (
            f"g{int(np.searchsorted(self.cumulative_group_shares, rng.random()))}"
            if len(self.cumulative_group_shares)
            else ""
        )
        client = Client(
            self,
            self.client_count,
            min(cls, len(self.class_shares) - 1),
            min(zone, len(self.zone_shares) - 1),
            group,
            self._sample_lifetime(cls, rng),
            rng,
        )
        self.clients[client.number] = client
        self.service.record_wanted(client.cell, client.arrived_at, client.done_at)
        self.service.count("standing" if connected else "clients", self.kernel.now)
        return client

    def sample_tenant(self, rng: np.random.Generator) -> int:
        """Draw a client's tenant; with fewer than two tenants no random number is used."""
        return (
            int(np.searchsorted(self.cumulative_tenant_shares, rng.random()))
            if len(self.cumulative_tenant_shares) > 1
            else 0
        )

    def remove(self, client: Client) -> None:
        """Remove a client that has finished."""
        self.clients.pop(client.number, None)

    def server_connection(self, client: Client, peer: object) -> ServerConnection:
        """Return the server's record of a client's connection."""
        return ServerConnection(
            peer,  # type: ignore[arg-type]
            client.id,
            client.cls,
            client.group,
            client.load,
            client.rng,
            client.cell,
        )

    def sample_load(self, cls: int, rng: np.random.Generator) -> float:
        """Draw a connection's load, in reference cores."""
        sigma = self.day.classes[cls].spread
        return (
            float(self.load_unit)
            * self.class_loads[cls]
            * math.exp(sigma * float(rng.standard_normal()) - sigma * sigma / 2)
        )

    def _sample_lifetime(self, cls: int, rng: np.random.Generator) -> int:
        mean = self.life * self.class_lives[min(cls, len(self.class_lives) - 1)]
        law = self.day.clients.law
        if law == "fixed":
            return int(mean)
        if law == "lognormal":
            return int(mean * math.exp(float(rng.standard_normal()) - 0.5))
        return int(float(rng.exponential(mean)))

    def _schedule_arrival(self) -> None:
        # Thinning: candidates arrive at the maximum rate; each is accepted with probability rate / max_rate.
        max_rate = self.rate * (1 + self.day.clients.swing + max(0.0, self.extra_rate))
        wait = float(self.rng.exponential(1 / max_rate))
        self.kernel.after(int(wait * SECOND), lambda: self._arrive(max_rate))

    def _arrive(self, max_rate: float) -> None:
        if self.kernel.now >= self.day.seconds:
            return
        if self.rng.random() * max_rate < self.rate * (self._rate_factor() + self.extra_rate):
            self.new_client().connect()
        self._schedule_arrival()

    def _rate_factor(self) -> float:
        swing = self.day.clients.swing
        if self.day.clients.shape == "wave":
            return 1 + swing * math.sin(2 * math.pi * (self.kernel.now / self.day.seconds + self._phase))
        return float(self._burst) if self.day.clients.shape == "bursty" else 1.0

    def _change_burst(self) -> None:
        swing = self.day.clients.swing
        self._burst = 1 + swing * float(self.rng.choice([-1.0, 1.0]))
        self.kernel.after(int(self.rng.exponential(3 * SECOND)) + MS, self._change_burst)

    def _zone_shares(self) -> np.ndarray:
        skew, count = self.day.clients.zone_skew, len(self.day.zones)
        shares = np.array([1 + skew * (2 * self.rng.random() - 1) for _ in range(count)])
        shares = np.maximum(shares, 0.01)
        return np.asarray(shares / shares.sum())

    def _cumulative_group_shares(self, established: float) -> np.ndarray:
        size = self.day.servers.group_size
        if size <= 0:
            return np.array([])
        count = max(1, int(established / size))
        weights = 1 / np.arange(1, count + 1) ** self.day.servers.group_skew
        return np.asarray(np.cumsum(weights / weights.sum()))


def _sample(rng: np.random.Generator, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return float(low if low == high else rng.uniform(low, high))
