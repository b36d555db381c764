"""Clients: when they come, what they want, and how they come again.

Laws. New clients come as a Poisson process whose rate follows the scenario's shape. A client wants its connection for
a drawn time from its first line on. While it has none it comes again: after a move, a break or a drain within
``rejoin``; after a refusal as long as it was asked to wait, if it honours that, else after a back-off that doubles. A
client whose first tries were all refused or failed gives up after ``retries`` more; one that stood comes until it is
done. Every client has draws of its own, so one client more changes no other's.
"""

from __future__ import annotations

import math
from typing import Protocol

import numpy as np

from scaledeal.lab.kernel import Kernel, ScheduledCall, Streams
from scaledeal.lab.scenario.types import Class, Scenario
from scaledeal.lab.truth import RuleChecker, Service
from scaledeal.lab.world.server import Held

MS = 1_000_000
SECOND = 1000 * MS


class Host(Protocol):
    """What plays the relays."""

    def ask(self, client: Client) -> bool:
        """Bring a client's first line to a relay of its zone; False where the front has none for it."""

    def leave(self, client: Client) -> None:
        """Have a client end what it asked for, or its connection."""


class Client:
    """One client, over all its connections."""

    def __init__(
        self, crowd: Crowd, number: int, cls: int, zone: int, group: str, wants: int, draw: np.random.Generator
    ) -> None:
        self.crowd, self.number, self.cls, self.zone, self.group = crowd, number, cls, zone, group
        self.tenant = crowd.tenant_of(draw)
        self.draw = draw
        self.key = f"k{number}"
        self.load = crowd.draw_load(cls, draw)
        self.since = crowd.kernel.now
        self.done_at = self.since + wants
        self.visit = 0
        self.id = ""
        self.tries = 0  # that were refused or failed in a row
        self.stood = self.up = self.asking = self.over = False
        self.honours = draw.random() < crowd.day.clients.honour
        self.asked_at = 0
        self.relay = ""
        self._timer: ScheduledCall | None = None
        self._due: ScheduledCall | None = None

    @property
    def cell(self) -> int:
        """Return where its service is booked."""
        return self.cls * self.crowd.service.tenant_count + self.tenant

    @property
    def kind(self) -> Class:
        """Return its class."""
        return self.crowd.day.classes[self.cls]

    def come(self) -> None:
        """Ask for a connection, at whatever relay the front names."""
        crowd, now = self.crowd, self.crowd.kernel.now
        if self.over or now >= self.done_at:
            self._finish()
            return
        if self.visit:
            crowd.service.count("again", now)
        self.visit += 1
        self.id = f"c{self.number}.{self.visit}"
        self.asked_at, self.asking = now, True
        if not crowd.host.ask(self):
            self.asking = False
            crowd.service.count("no_relay", now)
            self._again(200 * MS)
            return
        patience: int = self.kind.deadline
        if crowd.day.clients.impatient and self.draw.random() < crowd.day.clients.impatient:
            patience = int(patience * self.draw.random())
            self._timer = crowd.kernel.after(patience, self._impatient)
        else:
            self._timer = crowd.kernel.after(patience + crowd.day.rules.slack + MS, self._time_up)

    def finish_at_end(self) -> None:
        """Leave when what it wanted is over."""
        self._due = self.crowd.kernel.at(self.done_at, self._finish)

    # What it hears

    def is_up(self) -> None:
        """Hear UP."""
        now = self.crowd.kernel.now
        self.crowd.checker.answer_received(self.id, now, "UP")
        self._stop()
        self.asking, self.up, self.stood, self.tries = False, True, True, 0
        self.crowd.service.record_duration(self.crowd.service.set_up_ms, now - self.asked_at)
        self.finish_at_end()

    def refused(self, wait: int) -> None:
        """Hear BUSY, with how long it is asked to wait, or 0."""
        self._refusal("BUSY", "refused", wait)

    def failed(self) -> None:
        """Hear an error."""
        self._refusal("ERR", "failed", 0)

    def moved(self) -> None:
        """Hear MOVE, from the relay or the server."""
        self._gone()

    def broken(self, unanswered: bool = False) -> None:
        """Hear that the connection broke."""
        self.crowd.service.count("broken", self.crowd.kernel.now)
        if unanswered:
            self.crowd.checker.client_left(self.id, self.crowd.kernel.now)
        self._gone()

    def turned_off(self) -> None:
        """Hear that no relay took the connection: it was refused or reset before it asked."""
        self.crowd.checker.forget(self.id)
        self._stop()
        self.asking = False
        self._again(200 * MS)

    # Inside

    def _refusal(self, word: str, what: str, wait: int) -> None:
        if not self.asking:
            self.crowd.checker.answer_received(self.id, self.crowd.kernel.now, word)
            return
        crowd, now = self.crowd, self.crowd.kernel.now
        crowd.checker.answer_received(self.id, now, word)
        crowd.service.count(what, now)
        self._stop()
        self.asking = False
        self.tries += 1
        if not self.stood and self.tries > crowd.day.clients.retries:
            crowd.service.count("gave_up", now)
            self.over = True
            crowd.left(self)
            return
        low, high = crowd.day.clients.backoff
        base = float(low if low == high else self.draw.uniform(low, high))
        back_off = min(float(crowd.day.clients.backoff_most), base * 2 ** min(self.tries - 1, 10))
        self._again(int(wait if wait and self.honours else back_off * (0.5 + self.draw.random())))

    def _gone(self) -> None:
        self._stop()
        self.up = self.asking = False
        low, high = self.crowd.day.clients.rejoin
        self._again(int(low if low == high else self.draw.uniform(low, high)))

    def _again(self, wait: int) -> None:
        self._timer = self.crowd.kernel.after(wait, self.come)

    def _impatient(self) -> None:
        if self.asking:
            self.crowd.checker.client_left(self.id, self.crowd.kernel.now)
            self.crowd.host.leave(self)
            self.asking = False
            self.tries += 1
            self._again(SECOND)

    def _time_up(self) -> None:
        if self.asking:
            self.crowd.checker.deadline_passed(self.id, self.crowd.kernel.now)
            self._impatient()

    def _finish(self) -> None:
        if self.over:
            return
        self.over = True
        self._stop()
        if self.up or self.asking:
            self.crowd.checker.client_left(self.id, self.crowd.kernel.now)
            self.crowd.host.leave(self)
        self.up = self.asking = False
        self.crowd.left(self)

    def _stop(self) -> None:
        for timer in (self._timer, self._due):
            if timer is not None:
                timer.cancel()
        self._timer = self._due = None


class Crowd:
    """All clients of a run."""

    def __init__(
        self, kernel: Kernel, day: Scenario, streams: Streams, service: Service, checker: RuleChecker, power: float
    ) -> None:
        """``power`` is what the fleet can do, in reference cores."""
        self.kernel, self.day, self.streams = kernel, day, streams
        self.service, self.checker = service, checker
        self.host: Host = None  # type: ignore[assignment]  # set once there is one
        self.draw = streams.of("clients")
        per_core = _draw(self.draw, day.servers.per_core)
        self.life = _draw(self.draw, day.clients.life)
        shares = np.array([each.share for each in day.classes])
        self.shares = shares / shares.sum()
        self.loads = [_draw(self.draw, each.load) for each in day.classes]
        self.lives = [_draw(self.draw, each.life) for each in day.classes]
        # The mean load of a connection that stands fills one per_core-th of a core.
        weight = self.shares * np.array(self.lives)
        self.mean_load = 1 / per_core
        self.unit = self.mean_load * weight.sum() / float((weight * np.array(self.loads)).sum())
        self.mean_work = float(self.unit * (self.shares * np.array(self.loads)).sum())  # of those that come
        self.works = [float(self.unit) * load / self.mean_work for load in self.loads]  # a class's over that
        standing = day.clients.load * power * per_core
        mean_life = float((self.shares * np.array(self.lives)).sum()) * self.life / SECOND
        self.rate = standing / mean_life  # new clients a second
        self.expected = standing
        tenants = np.array([each.share for each in day.tenant] or [1.0])
        self.tenants = np.cumsum(tenants / tenants.sum())
        self.quotas = service.quotas = tuple(each.quota * power * per_core for each in day.tenant)
        self.zones = self._zone_shares()
        self.groups = self._group_shares(standing)
        self.numbered = 0
        self.here: dict[int, Client] = {}
        self.extra = 0.0  # a crowd: times the usual rate that comes on top
        self._phase = float(self.draw.random())
        self._burst = 1.0

    # Who comes

    def begin(self) -> list[Client]:
        """Have clients come from now on; return those who stand already."""
        self._next()
        if self.day.clients.shape == "bursty":
            self._change_burst()
        if not self.day.clients.standing:
            return []
        weight = self.shares * np.array(self.lives)
        counts = self.draw.multinomial(int(round(self.expected)), weight / weight.sum())
        return [self.new(cls, standing=True) for cls, count in enumerate(counts) for _ in range(count)]

    def new(self, cls: int | None = None, standing: bool = False) -> Client:
        """Return a client that comes for the first time."""
        self.numbered += 1
        draw = self.streams.of("client", self.numbered)
        if cls is None:
            cls = int(np.searchsorted(np.cumsum(self.shares), draw.random()))
        zone = int(np.searchsorted(np.cumsum(self.zones), draw.random()))
        group = f"g{int(np.searchsorted(self.groups, draw.random()))}" if len(self.groups) else ""
        client = Client(
            self,
            self.numbered,
            min(cls, len(self.shares) - 1),
            min(zone, len(self.zones) - 1),
            group,
            self._wants(cls, draw),
            draw,
        )
        self.here[client.number] = client
        self.service.record_wanted(client.cell, client.since, client.done_at)
        self.service.count("standing" if standing else "clients", self.kernel.now)
        return client

    def tenant_of(self, draw: np.random.Generator) -> int:
        """Draw a client's tenant; without any, nothing is drawn."""
        return int(np.searchsorted(self.tenants, draw.random())) if len(self.tenants) > 1 else 0

    def left(self, client: Client) -> None:
        """Be done with a client."""
        self.here.pop(client.number, None)

    def held(self, client: Client, seat: object) -> Held:
        """Return what a server holds of a client's connection."""
        return Held(
            seat,  # type: ignore[arg-type]
            client.id,
            client.cls,
            client.group,
            client.load,
            client.draw,
            client.cell,
        )

    def draw_load(self, cls: int, draw: np.random.Generator) -> float:
        """Return a connection's load, in reference cores."""
        sigma = self.day.classes[cls].spread
        return float(self.unit) * self.loads[cls] * math.exp(sigma * float(draw.standard_normal()) - sigma * sigma / 2)

    def _wants(self, cls: int, draw: np.random.Generator) -> int:
        mean = self.life * self.lives[min(cls, len(self.lives) - 1)]
        law = self.day.clients.law
        if law == "fixed":
            return int(mean)
        if law == "lognormal":
            return int(mean * math.exp(float(draw.standard_normal()) - 0.5))
        return int(float(draw.exponential(mean)))

    def _next(self) -> None:
        # Thinning: arrivals at the highest rate, of which the share of the rate in force comes.
        most = self.rate * (1 + self.day.clients.swing + max(0.0, self.extra))
        wait = float(self.draw.exponential(1 / most))
        self.kernel.after(int(wait * SECOND), lambda: self._arrival(most))

    def _arrival(self, most: float) -> None:
        if self.kernel.now >= self.day.seconds:
            return
        if self.draw.random() * most < self.rate * (self._shape() + self.extra):
            self.new().come()
        self._next()

    def _shape(self) -> float:
        swing = self.day.clients.swing
        if self.day.clients.shape == "wave":
            return 1 + swing * math.sin(2 * math.pi * (self.kernel.now / self.day.seconds + self._phase))
        return float(self._burst) if self.day.clients.shape == "bursty" else 1.0

    def _change_burst(self) -> None:
        swing = self.day.clients.swing
        self._burst = 1 + swing * float(self.draw.choice([-1.0, 1.0]))
        self.kernel.after(int(self.draw.exponential(3 * SECOND)) + MS, self._change_burst)

    def _zone_shares(self) -> np.ndarray:
        skew, count = self.day.clients.zone_skew, len(self.day.zones)
        shares = np.array([1 + skew * (2 * self.draw.random() - 1) for _ in range(count)])
        shares = np.maximum(shares, 0.01)
        return np.asarray(shares / shares.sum())

    def _group_shares(self, standing: float) -> np.ndarray:
        size = self.day.servers.group_size
        if size <= 0:
            return np.array([])
        count = max(1, int(standing / size))
        weights = 1 / np.arange(1, count + 1) ** self.day.servers.group_skew
        return np.asarray(np.cumsum(weights / weights.sum()))


def _draw(draw: np.random.Generator, ends: tuple[float, float]) -> float:
    low, high = ends
    return float(low if low == high else draw.uniform(low, high))
