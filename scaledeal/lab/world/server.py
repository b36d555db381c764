"""A tile server.

Laws. Work is counted in seconds of a reference core. A server does ``cores * speed * warmth`` of it a second; warmth
grows evenly from ``cold_from`` to 1 over its ``cold`` time. Each connection asks for its load, and each group of which
any connection is held for ``group_cost`` mean loads more; ``asked`` is that sum over what the server can do now. What
is asked beyond 1 piles up, and is worked off while less is asked. A connection is well served for the share of its
messages that take no longer than its class wants: ``1 - exp(-(1 - asked) * left / m)``, where ``m`` is a message's time
at an idle server and ``left`` is the wanted time less what is piled up (response times of M/M/1). Past ``buffer`` the
heaviest connections are dropped. New connections are set up in turn, by as many workers as cores, then by the store.
Until the settings call it warm, it falls over when it gets more than ``N + 2 * sqrt(N) + 2`` new connections of mean
work in any window of ``rules.fall``; one of a class counts by that class's mean. What N is says ``allowed``: the
settings' cold share and warm-up count there, not the server's own.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from typing import Protocol

import msgspec
import numpy as np

from scaledeal.lab.kernel import Kernel, Station
from scaledeal.lab.scenario.types import Model, Scenario
from scaledeal.lab.truth import RuleChecker, Service

MS = 1_000_000
SECOND = 1000 * MS
ROUND = 100 * MS  # between two looks at a server that is cold or has work piled up
NOTE = SECOND  # between two notes of how long messages take


class Seat(Protocol):
    """The other end of a connection at a server, or of one that asks for it."""

    relay: str

    def up(self) -> None:
        """Hear that it stands."""

    def turned_away(self) -> None:
        """Hear that the server has no room: it never ran."""

    def error(self) -> None:
        """Hear that it failed."""

    def load(self, amount: float) -> None:
        """Hear the connection's load, in microseconds of work a second."""

    def delay(self, ms: float) -> None:
        """Hear how long a message takes at this server now."""

    def sent_away(self) -> None:
        """Hear that the server drains and ends the connection politely."""

    def reset(self) -> None:
        """Hear that the connection broke."""


class Means(Protocol):
    """What connections ask for on average; loads are of a reference core."""

    mean_load: float  # of those that stand
    mean_work: float  # of those that come
    relative_works: list[float]  # of new connections, by class, relative to mean_work


class Held(msgspec.Struct, eq=False):
    """A connection at a server, from its arrival until its end."""

    seat: Seat
    id: str
    cls: int
    group: str
    load: float  # of a reference core
    draw: np.random.Generator
    cell: int = 0  # class and tenant, as service is booked
    stands: bool = False
    silent: bool = False  # its messages are answered no more
    over: bool = False


class TileServer:
    """One process on one machine."""

    def __init__(
        self,
        kernel: Kernel,
        day: Scenario,
        name: str,
        zone: int,
        model: Model,
        draw: np.random.Generator,
        service: Service,
        checker: RuleChecker,
        store: Station,
        store_time: Callable[[], int],
        means: Means,
        started: int = 0,
    ) -> None:
        self.kernel, self.day, self.model, self.draw = kernel, day, model, draw
        self.service, self.checker = service, checker
        self.store, self.store_time = store, store_time
        self.name, self.zone, self.started = name, zone, started
        self.means = means
        self.mean_load = means.mean_load
        self.power = model.cores * _drawn(draw, model.speed)  # reference cores, when warm
        self.cold_from = _drawn(draw, model.cold_from)
        self.cold_time = int(_drawn(draw, model.cold)) if started else 0
        self.period = int(_drawn(draw, day.servers.report_period))
        self.age = int(_drawn(draw, day.servers.report_delay))
        self.phase = int(draw.integers(0, self.period))
        self.held: dict[str, Held] = {}
        self.groups: dict[str, int] = {}
        self.counts = [0] * len(day.classes) * service.tenant_count  # connections that stand, by class and tenant
        self.told = 0.0  # loads of those that stand, in reference cores
        self.piled = 0.0  # seconds of its own work
        self.tills = Station(kernel, model.cores, patience=None)
        self.coming = 0.0  # set-up work that waits, in seconds of a reference core
        self.alive, self.draining, self.hung, self.reachable = True, False, False, True
        self.on_death: Callable[[bool], None] = lambda silently: None
        self.given = 1.0  # share of the machine that it gets, times how fast that runs
        self.errors = 0.0  # share of set-ups that fail
        self.paused_until = 0
        self.errors_seen = 0
        self._seen = kernel.now
        self._looks = False
        self._noted: dict[str, int] = {}  # relays that were told of slow messages, and when
        self._past: list[tuple[int, float, int]] = [(0, 0.0, 0)]  # when, asked, connections
        self._arrived: list[tuple[int, str, float]] = []  # while cold: when, from which relay, and its part of N
        if started:
            self._look_soon()

    # What it can do

    def warmth(self) -> float:
        """Return the share of its power that it has now."""
        age = self.kernel.now - self.started
        if not self.started or age >= self.cold_time:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * age / self.cold_time

    def asked(self) -> float:
        """Return the load asked over what it can do now."""
        groups = self.day.servers.group_cost * self.mean_load * len(self.groups)
        return (self.told + groups) / (self.power * self.warmth() * self.given)

    def stands_still(self) -> bool:
        """Tell whether it answers nothing at present."""
        return self.hung or not self.alive or self.kernel.now < self.paused_until

    def delay_ms(self, cls: int) -> float:
        """Return how long a message of a class takes now."""
        idle = self.day.servers.message * self.day.classes[cls].message / MS
        return idle / (1 - min(self.asked(), 0.98)) + self.piled * 1000

    # Connections

    def arrive(self, held: Held) -> None:
        """Take the first line of a connection; its seat hears what becomes of it."""
        self.touch()
        self.held[held.id] = held
        self._press(held)
        if not self.alive or self.hung:
            return  # it was accepted, and nothing will be said
        if self.draw.random() < self.errors:
            self.errors_seen += 1
            self._answer(held, held.seat.error)
        elif self.draining or self._full():
            self._answer(held, held.seat.turned_away)
        else:
            work = _drawn(self.draw, self.day.servers.setup) / SECOND
            self.coming += work
            took = work / (self.power / self.model.cores * self.warmth() * self.given)
            self.tills.submit(int(took * SECOND), lambda served: self._set_up(held, work, took))

    def stands_already(self, held: Held) -> None:
        """Hold a connection from before the run."""
        self.held[held.id] = held
        self._stand(held)

    def leave(self, held: Held) -> None:
        """Hear that the other side ended a connection, or gave it up."""
        self.touch()
        self._drop(held)

    def probe(self) -> tuple[float, ...] | None:
        """Return a load report, or nothing where it answers nothing."""
        if self.stands_still():
            return None
        moment = (self.kernel.now - self.age - self.phase) // self.period * self.period + self.phase
        place = bisect_right(self._past, (moment, math.inf, 0)) - 1
        _, asked, count = self._past[max(0, place)]
        noise = 1 + self.day.servers.report_noise * float(self.draw.standard_normal())
        values = {
            "eps": float(self.errors_seen),
            "inflight": float(count),
            "x0": max(0.0, asked * noise),
            "queue": float(len(self.tills.waiting)),
        }
        return tuple(values[name] for name in self.day.rules.report_fields)

    # What befalls it

    def hang(self, on: bool) -> None:
        """Answer nothing, or answer again."""
        self.touch()
        self.hung = on
        self._look_soon()

    def pause(self, until: int) -> None:
        """Stand still for a while."""
        self.touch()
        self.paused_until = until
        self.kernel.at(until, self.touch)
        self._look_soon()

    def drain(self) -> None:
        """Want nothing new, and send the clients away if that is its habit."""
        self.draining = True
        if self.day.servers.goaway:
            for held in list(self.held.values()):
                if held.stands:
                    held.seat.sent_away()
                    self._drop(held)

    def die(self, silently: bool = False) -> None:
        """End the process: connections are reset; a machine that vanishes leaves them open and silent."""
        self.touch()
        self.alive, self.reachable = False, not silently
        if not silently:
            for held in list(self.held.values()):
                held.seat.reset()
                self._drop(held)
        self.on_death(silently)

    def reset_some(self, part: float) -> None:
        """Break a share of the connections."""
        for held in list(self.held.values()):
            if held.stands and self.draw.random() < part:
                held.seat.reset()
                self._drop(held)

    def silence_some(self, part: float) -> None:
        """Answer nothing more on a share of the connections, while the others go on."""
        self.touch()
        for held in self.held.values():
            if held.stands and not held.silent and self.draw.random() < part:
                held.silent = True
                self.counts[held.cell] -= 1

    def gets(self, times: float) -> None:
        """Get so many times of the machine that it had: another program takes or leaves some, or it runs slower."""
        self.touch()
        self.given *= times
        self._log()
        self._look_soon()

    def reports_late(self, span: int) -> None:
        """Have reports come so much later, or earlier again."""
        self.age += span

    # Inside

    def touch(self) -> None:
        """Book what was served since the last look, and pile up or work off."""
        now = self.kernel.now
        span = (now - self._seen) / SECOND
        if span > 0:
            asked, still = self.asked(), self.stands_still()
            before = self.piled
            self.piled = max(0.0, before + span * (asked if still else asked - 1))
            if not still:
                self._book(asked, (before + self.piled) / 2, span)
            self._seen = now
        while self.piled > self.day.servers.buffer.low / SECOND and self.counts_any() and not self.hung:
            self._shed()

    def counts_any(self) -> bool:
        """Tell whether any connection stands."""
        return any(held.stands for held in self.held.values())

    def _book(self, asked: float, piled: float, span: float) -> None:
        for cell, count in enumerate(self.counts):
            if count:
                wanted = self.day.classes[cell // self.service.tenant_count].message / SECOND
                left = max(0.0, wanted - piled)
                share = 1 - math.exp(-max(0.0, 1 - asked) * left / (self.day.servers.message * wanted))
                if asked >= 1 and piled <= 0:
                    share = 0.0
                self.service.record_served(cell, self._seen, span, share * count)

    def _shed(self) -> None:
        standing = [held for held in self.held.values() if held.stands]  # in the order in which they came
        newest = self.day.servers.sheds == "newest"
        one = standing[-1] if newest else max(standing, key=lambda held: (held.load, held.id))
        self.piled = max(0.0, self.piled - 0.1)
        one.seat.reset()
        self._drop(one)

    def _full(self) -> bool:
        crowded = self.model.cap and len(self.held) > self.model.cap
        return bool(crowded) or self.coming > self.day.servers.queue.low / SECOND * self.power

    def _answer(self, held: Held, tell: Callable[[], None]) -> None:
        if self.stands_still():
            return
        self._drop(held)
        tell()

    def _set_up(self, held: Held, work: float, took: float) -> None:
        self.coming = max(0.0, self.coming - work)
        self.service.record_set_up_work(work, held.over)
        if not held.over:
            self.store.submit(self.store_time(), lambda called: self._called(held, called))

    def _called(self, held: Held, called: bool) -> None:
        if held.over or self.stands_still():
            return
        if not called or self.draining:
            self._answer(held, held.seat.error if not called else held.seat.turned_away)
            return
        held.seat.up()
        self._stand(held)

    def _stand(self, held: Held) -> None:
        self.touch()
        held.stands = True
        self.counts[held.cell] += 1
        self.told += held.load
        if held.group:
            self.groups[held.group] = self.groups.get(held.group, 0) + 1
        self._log()
        if self.day.servers.tells_load:
            held.seat.load(held.load * 1e6)
        self._change_later(held)
        self._look_soon()

    def _change_later(self, held: Held) -> None:
        cls = self.day.classes[held.cls]
        if cls.swing > 0:
            self.kernel.after(int(_drawn(held.draw, cls.change)), lambda: self._change(held))

    def _change(self, held: Held) -> None:
        if held.over or not held.stands:
            return
        self.touch()
        factor = math.exp(self.day.classes[held.cls].swing * float(held.draw.standard_normal()))
        # Guards against loads that wander off: half of the way back to the mean each time.
        wanted = math.sqrt(held.load * self.mean_load) * factor
        self.told += wanted - held.load
        held.load = wanted
        self._log()
        if self.day.servers.tells_load and not self.stands_still() and not held.silent:
            held.seat.load(held.load * 1e6)
        self._change_later(held)
        self._look_soon()

    def _drop(self, held: Held) -> None:
        if held.over:
            return
        held.over = True
        self.held.pop(held.id, None)
        self.checker.attempt_closed(held.id, self.name, self.kernel.now)
        if held.stands:
            self.counts[held.cell] -= not held.silent
            self.told = max(0.0, self.told - held.load)
            if held.group:
                self.groups[held.group] -= 1
                if not self.groups[held.group]:
                    del self.groups[held.group]
        self._log()

    def _log(self) -> None:
        now = self.kernel.now
        self._past.append((now, self.asked(), len(self.held)))
        if len(self._past) > 256:
            keep = bisect_right(self._past, (now - self.age - 2 * self.period, math.inf, 0)) - 1
            self._past = self._past[max(0, keep) :]

    def _press(self, held: Held) -> None:
        """Note what a cold server is sent, and have it fall over where that is too much for one window."""
        now, rules = self.kernel.now, self.day.rules
        if not (self.alive and self.started and now - self.started < self.day.servers.warm_after):
            return
        self._arrived = [each for each in self._arrived if each[0] > now - rules.fall]
        self._arrived.append((now, held.seat.relay, self.means.relative_works[held.cls]))
        allowed = self.allowed()
        if sum(work for *_, work in self._arrived) > allowed + 2 * math.sqrt(allowed) + 2:
            self.checker.cold_server_overloaded(self.name, now, [relay for _, relay, _ in self._arrived], allowed)
            self.die()

    def allowed(self) -> float:
        """Return N: how many new connections of mean work the settings allow it in a window now, while it is cold.

        ``fall_multiple`` times what fills it over its warm-up, of the capacity that it has at the least by its age.
        """
        rules, servers = self.day.rules, self.day.servers
        age = (self.kernel.now - self.started) / servers.warm_after
        capacity = self.power / self.means.mean_work * (servers.min_cold_share + (1 - servers.min_cold_share) * age)
        return rules.fall_multiple * capacity * rules.fall / servers.warm_after

    def _look_soon(self) -> None:
        if not self._looks:
            self._looks = True
            self.kernel.after(ROUND, self._look)

    def _look(self) -> None:
        self._looks = False
        self.touch()
        self._tell_slow()
        busy = self.piled > 0 or self.asked() > 1 or self.stands_still() or self.warmth() < 1 or self._noted
        if busy and self.alive:
            self._look_soon()

    def _tell_slow(self) -> None:
        """Tell each relay once a second, on one connection, how long messages take while that is long."""
        if self.stands_still() or not self.held:
            return
        aims = [cls.message for cls in self.day.classes]
        slow = self.delay_ms(aims.index(min(aims)))
        if slow * MS <= min(aims) / 3 and not self._noted:
            return
        now = self.kernel.now
        first: dict[str, Held] = {}
        for held in self.held.values():
            if held.stands and not held.silent:
                first.setdefault(held.seat.relay, held)
        for relay, held in first.items():
            self._note(relay, held, slow, slow * MS > min(aims) / 3, now)
        self._noted = {relay: at for relay, at in self._noted.items() if relay in first}

    def _note(self, relay: str, held: Held, ms: float, slow: bool, now: int) -> None:
        told = self._noted.get(relay)
        if slow and (told is None or now - told >= NOTE):
            self._noted[relay] = now
            held.seat.delay(ms)
        elif not slow and told is not None:
            del self._noted[relay]
            held.seat.delay(ms)


def _drawn(draw: np.random.Generator, ends: tuple[float, float]) -> float:
    """Draw one value of a range."""
    low, high = ends
    return float(low if low == high else draw.uniform(low, high))
