"""Crowds that come again at once while cold servers are part of what is left: what all gateways send one is counted."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest
from driver import BASE, MS, SECOND, ClientRequest, Driver, SentAttempt

from scaledeal import interface as api
from scaledeal.cold_start import ColdStart, Slots

HOLDS = 100.0  # connections that fill a server
ASKED = 0.7
SITE = replace(
    BASE,
    may_probe=True,
    report_source=api.Source.PROBES,
    probe_price=0.0029,
    cold_share=0.3,
    report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
    warm_after=9 * SECOND,
    overload_factor=3.0,
    overload_window=SECOND,
)
COSTS = (1.6, 0.7)  # of a call of each class, over the mean of those that come: a third are of the first


@dataclass
class Storm:
    """A fleet of which some servers die at once, and what its newcomers were sent: when, and the cost."""

    relays: int
    warm: int
    dying: int
    newcomers: int
    seed: int
    spread: float = 0.1  # seconds over which the clients come again
    reports: bool = True
    budget: Callable[[api.Settings], ColdStart] = ColdStart

    def __post_init__(self) -> None:
        self.draw = random.Random(self.seed)
        self.sends: dict[str, list[tuple[int, float]]] = {f"new{n}": [] for n in range(self.newcomers)}
        self.dead: frozenset[str] = frozenset()
        self.number = 0
        self.drivers = [self._driver(me) for me in range(self.relays)]
        self.age = self.draw.randrange(0, 8 * SECOND)
        self.start = self.drivers[0].now + 4 * SECOND - self.age
        for driver in self.drivers:
            driver.wait(4 * SECOND - min(self.age, 3 * SECOND))
            news = tuple(api.ServerEntry(name, started=self.start) for name in self.sends)
            driver.members(api.MembershipKind.CHANGES, news)
            driver.wait(min(self.age, 3 * SECOND))
            self._tell(driver)

    def _driver(self, me: int) -> Driver:
        driver = Driver(replace(SITE, me=me, siblings=self.relays), seed=me, servers=self.warm + self.dying)
        driver.probes_answered = False
        driver.balancer.cold_start = self.budget(driver.settings)
        driver.requests["old"] = ClientRequest(
            0, 0, [SentAttempt(driver.listed["s0"], driver.now, 0)], established=True
        )
        driver.event(api.OpenConnection("old", 0, "s0"))
        driver.event(api.Note("old", 0, "s0", api.NoteKind.LOAD, 1000.0))
        self._tell(driver)
        return driver

    def _tell(self, driver: Driver) -> None:
        """Have a gateway read reports; its view of a capacity is wrong by half either way."""
        for server in driver.listed if self.reports else ():
            if server not in self.dead:
                asked = 0.0 if server in self.sends else ASKED * self.draw.uniform(0.9, 1.1)
                told = asked, asked * HOLDS * self.draw.uniform(0.5, 1.5)
                driver.event(api.ProbeResult(server, api.Result.OK, MS, told))

    def run(self) -> Storm:
        """Kill servers; their clients come again, and whoever is refused once more 0.2 s later."""
        self.dead = frozenset(f"s{n}" for n in range(self.dying))
        crowd = int(self.dying * HOLDS * ASKED)
        due = [(self.draw.uniform(0, self.spread), self.draw.random() < 1 / 3) for _ in range(crowd)]
        for step in range(50):
            now = [each for each in due if each[0] <= step * 0.05]
            due = [each for each in due if each[0] > step * 0.05]
            for _, first in now:
                self._comes(self.draw.choice(self.drivers), 0 if first else 1)
            for driver in self.drivers:
                if step % 5 == 0:
                    self._tell(driver)
                refused = self._settle(driver)
                due += [(step * 0.05 + 0.2, cls == 0) for cls in refused]
                driver.wait(50 * MS)
        return self

    def _comes(self, driver: Driver, cls: int) -> None:
        self.number += 1
        driver.arrive(f"r{self.number}", cls, key=f"k{self.number % 5}", returning=True)
        self._settle(driver)

    def _settle(self, driver: Driver) -> list[int]:
        """Let every send have its outcome; return the classes of those that were refused."""
        while out := driver.pending():
            for name in out:
                server = driver.server_of(name)
                if server in self.sends:
                    self.sends[server].append((driver.now - self.start, COSTS[driver.requests[name].cls]))
                if server in self.dead:
                    driver.end(name, api.Result.CONNECT_FAILED)
                else:
                    driver.establish(name)
        over = [n for n, job in driver.requests.items() if job.over and not job.established]
        return [driver.requests.pop(name).cls for name in over]

    def worst(self) -> float:
        """Return the fullest window of a second at one newcomer, over what the rule bears then."""
        return max(
            (
                sum(cost for before, cost in sends if at - SECOND < before <= at) / bears(at)
                for sends in self.sends.values()
                for at, _ in sends
            ),
            default=0.0,
        )

    def used(self) -> float:
        """Return what the newcomers got in the first second, over their budget."""
        got = sum(cost for sends in self.sends.values() for at, cost in sends if at <= self.age + SECOND)
        return got / (self.newcomers * budget(self.age + SECOND // 2))


def budget(age: int) -> float:
    """Return N: what the settings allow a newcomer of this age in a window."""
    return 3.0 * HOLDS * (0.3 + 0.7 * min(1.0, age / (9 * SECOND))) / 9.0


def bears(age: int) -> float:
    return budget(age) + 2 * math.sqrt(budget(age)) + 2


SHAPES = [(32, 18, 8, 2), (32, 4, 4, 3), (32, 1, 6, 4), (32, 0, 8, 3), (32, 2, 5, 1), (230, 4, 6, 3), (230, 0, 8, 2)]


@pytest.mark.parametrize(("relays", "warm", "dying", "newcomers"), SHAPES)
def test_a_crowd_that_comes_again_at_once_pushes_no_newcomer_over(relays, warm, dying, newcomers):
    # Guards against one send of each gateway, however small its part: 32 relays sent 28 within 0.1 s, 230 would 230.
    for seed in range(4 if relays < 100 else 1):
        storm = Storm(relays, warm, dying, newcomers, seed).run()
        told = f"{storm.worst():.2f} of what the rule bears, seed {seed}, {storm.age / SECOND:.1f} s old"
        assert storm.worst() <= 1, told


@pytest.mark.parametrize(("relays", "warm", "dying", "newcomers"), [(32, 4, 6, 3), (32, 0, 8, 2), (100, 2, 12, 2)])
def test_a_newcomer_gets_half_of_its_budget_where_more_come(relays, warm, dying, newcomers):
    # Guards against a budget that is kept by leaving newcomers idle.
    parts = [Storm(relays, warm, dying, newcomers, seed, spread=1.5).run().used() for seed in range(3)]
    assert sum(parts) / len(parts) >= 0.5, f"parts of the budget used in a second: {[round(p, 2) for p in parts]}"


def test_without_a_single_report_no_newcomer_is_pushed_over():
    for seed in range(4):
        storm = Storm(32, 2, 6, 3, seed, reports=False).run()
        assert storm.worst() <= 1, f"{storm.worst():.2f} of what the rule bears, seed {seed}"


@pytest.mark.parametrize("told", [math.nan, math.inf, -0.5, 101.0])
def test_a_report_or_load_that_cannot_be_leaves_the_last_good_value(told):
    storm = Storm(1, 3, 1, 1, seed=1)
    balancer = storm.drivers[0].balancer
    kept = (
        balancer.servers["s0"].reported_utilisation,
        balancer.cold_start.mean_connections,
        balancer.unit_capacity,
        balancer.load_sum[:],
    )
    storm.drivers[0].event(api.ProbeResult("s0", api.Result.OK, MS, (told, 10.0)))
    if not 0 < told < math.inf:
        storm.drivers[0].event(api.Note("old", 0, "s0", api.NoteKind.LOAD, told))
    assert kept == (
        balancer.servers["s0"].reported_utilisation,
        balancer.cold_start.mean_connections,
        balancer.unit_capacity,
        balancer.load_sum,
    )


@pytest.mark.parametrize("warm_after", [0, 9 * SECOND])
@pytest.mark.parametrize("later", [-3 * SECOND, 5 * SECOND, 500 * SECOND])
def test_a_start_that_moves_makes_no_server_warmer_and_none_colder_than_cold(warm_after, later):
    driver = Driver(replace(SITE, warm_after=warm_after))
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    was = driver.balancer.servers["new"].warmth
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now + later),))
    assert driver.balancer.servers["new"].warmth == was == (SITE.cold_share if warm_after else 1.0)


class FloorOfOne(ColdStart):
    """Each gateway may send one in a window, however small its part."""

    def slot_rate(self, capacity: float) -> float:
        return max(1 / self.window, super().slot_rate(capacity))


class SiblingsIgnored(ColdStart):
    """A gateway takes the whole budget for its own."""

    def slot_rate(self, capacity: float) -> float:
        return super().slot_rate(capacity) * self.settings.siblings


class WindowDoubled(ColdStart):
    """What two windows bear is given out in one."""

    def slot_rate(self, capacity: float) -> float:
        return super().slot_rate(capacity) * 2


class DeadForgotten(ColdStart):
    """The crowd is reckoned from what still stands, an idle fleet: hardly anyone is taken to come."""

    def update_load(self, elapsed: int, servers: object) -> None:
        super().update_load(elapsed, ())


class NeverLapse(ColdStart):
    """Slots that nobody came for are kept for later."""

    def has_open_slot(self, now: int, slots: Slots, capacity: float) -> bool:
        before, slots.count = slots.count, slots.count + self.slot_rate(capacity) * (now - slots.counted_at)
        slots.counted_at = now
        slots.open_until += [now + 9 * SECOND] * (math.floor(slots.count) - math.floor(before))
        return bool(slots.open_until)


@pytest.mark.parametrize("mutant", [FloorOfOne, SiblingsIgnored, WindowDoubled, DeadForgotten, NeverLapse])
def test_a_mutant_of_the_budget_is_seen(mutant):
    worst = max(Storm(32, 1, 6, 3, seed, spread=1.0, budget=mutant).run().worst() for seed in range(4))
    assert worst > 1, f"{mutant.__name__} keeps the rule: {worst:.2f} of what it bears"
