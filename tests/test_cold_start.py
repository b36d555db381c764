"""Crowds that return at once while some of the remaining servers are cold.

The sends of all relays together to one cold server are checked against its budget.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest
from driver import BASE, MS, SECOND, ClientRequest, Driver, SentAttempt

from scaledeal import interface as api
from scaledeal.cold_start import ColdStart

FULL_SERVER_CONNECTIONS = 100.0  # connections that fill a server
WARM_UTILISATION = 0.7
SETTINGS = replace(
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
RELATIVE_WORKS = (1.6, 0.7)  # of a set-up of each class, relative to the mean; a third are of the first class


@dataclass
class MassReturn:
    """A fleet in which several servers die at once; records the age and work of each send to a new server."""

    relays: int
    warm: int
    dying: int
    new_servers: int
    seed: int
    spread_s: float = 0.1  # time over which the clients return
    reports: bool = True
    budget: Callable[[api.Settings], ColdStart] = ColdStart

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.sends: dict[str, list[tuple[int, float]]] = {f"new{n}": [] for n in range(self.new_servers)}
        self.dead: frozenset[str] = frozenset()
        self.request_count = 0
        self.drivers = [self._driver(me) for me in range(self.relays)]
        self.age = self.rng.randrange(0, 8 * SECOND)
        self.start = self.drivers[0].now + 4 * SECOND - self.age
        for driver in self.drivers:
            driver.wait(4 * SECOND - min(self.age, 3 * SECOND))
            new_entries = tuple(api.ServerEntry(name, started=self.start) for name in self.sends)
            driver.members(api.MembershipKind.CHANGES, new_entries)
            driver.wait(min(self.age, 3 * SECOND))
            self._report(driver)

    def _driver(self, me: int) -> Driver:
        driver = Driver(replace(SETTINGS, me=me, siblings=self.relays), seed=me, servers=self.warm + self.dying)
        driver.probes_answered = False
        driver.balancer.cold_start = self.budget(driver.settings)
        driver.requests["old"] = ClientRequest(
            0, 0, [SentAttempt(driver.listed["s0"], driver.now, 0)], established=True
        )
        driver.event(api.OpenConnection("old", 0, "s0"))
        driver.event(api.Note("old", 0, "s0", api.NoteKind.LOAD, 1000.0))
        self._report(driver)
        return driver

    def _report(self, driver: Driver) -> None:
        """Give a relay reports of its servers; its view of a capacity is wrong by up to half in either direction."""
        for server in driver.listed if self.reports else ():
            if server not in self.dead:
                utilisation = 0.0 if server in self.sends else WARM_UTILISATION * self.rng.uniform(0.9, 1.1)
                report = utilisation, utilisation * FULL_SERVER_CONNECTIONS * self.rng.uniform(0.5, 1.5)
                driver.event(api.ProbeResult(server, api.Result.OK, MS, report))

    def run(self) -> MassReturn:
        """Kill servers; their clients return, and refused clients try again after 0.2 s."""
        self.dead = frozenset(f"s{n}" for n in range(self.dying))
        client_count = int(self.dying * FULL_SERVER_CONNECTIONS * WARM_UTILISATION)
        due = [(self.rng.uniform(0, self.spread_s), self.rng.random() < 1 / 3) for _ in range(client_count)]
        for step in range(50):
            now = [arrival for arrival in due if arrival[0] <= step * 0.05]
            due = [arrival for arrival in due if arrival[0] > step * 0.05]
            for _, is_first_class in now:
                self._arrive(self.rng.choice(self.drivers), 0 if is_first_class else 1)
            for driver in self.drivers:
                if step % 5 == 0:
                    self._report(driver)
                refused = self._settle(driver)
                due += [(step * 0.05 + 0.2, cls == 0) for cls in refused]
                driver.wait(50 * MS)
        return self

    def _arrive(self, driver: Driver, cls: int) -> None:
        self.request_count += 1
        driver.arrive(f"r{self.request_count}", cls, key=f"k{self.request_count % 5}", returning=True)
        self._settle(driver)

    def _settle(self, driver: Driver) -> list[int]:
        """Give every send its outcome; return the classes of the refused requests."""
        while out := driver.pending():
            for name in out:
                server = driver.server_of(name)
                if server in self.sends:
                    self.sends[server].append((driver.now - self.start, RELATIVE_WORKS[driver.requests[name].cls]))
                if server in self.dead:
                    driver.end(name, api.Result.CONNECT_FAILED)
                else:
                    driver.establish(name)
        over = [n for n, job in driver.requests.items() if job.over and not job.established]
        return [driver.requests.pop(name).cls for name in over]

    def worst_ratio(self) -> float:
        """Return the largest ratio, over all new servers, of the work sent in a second to the limit at that age."""
        return max(
            (
                sum(work for before, work in sends if at - SECOND < before <= at) / allowed(at)
                for sends in self.sends.values()
                for at, _ in sends
            ),
            default=0.0,
        )

    def used_share(self) -> float:
        """Return the ratio of the work sent to the new servers in the first second to their budget."""
        sent_work = sum(work for sends in self.sends.values() for at, work in sends if at <= self.age + SECOND)
        return sent_work / (self.new_servers * budget(self.age + SECOND // 2))


def budget(age: int) -> float:
    """Return N: the set-ups of mean work that the settings allow a new server of this age (ns) in a window."""
    return 3.0 * FULL_SERVER_CONNECTIONS * (0.3 + 0.7 * min(1.0, age / (9 * SECOND))) / 9.0


def allowed(age: int) -> float:
    """Return the limit of the rule: N, and a margin for chance."""
    return budget(age) + 2 * math.sqrt(budget(age)) + 2


SHAPES = [(32, 18, 8, 2), (32, 4, 4, 3), (32, 1, 6, 4), (32, 0, 8, 3), (32, 2, 5, 1), (230, 4, 6, 3), (230, 0, 8, 2)]


@pytest.mark.parametrize(("relays", "warm", "dying", "new_servers"), SHAPES)
def test_a_crowd_that_returns_at_once_overloads_no_new_server(relays, warm, dying, new_servers):
    # If each relay may send one, however small its share of the budget, 32 relays send 28 within 0.1 s, and 230 relays
    # would send 230.
    for seed in range(4 if relays < 100 else 1):
        mass_return = MassReturn(relays, warm, dying, new_servers, seed).run()
        message = (
            f"{mass_return.worst_ratio():.2f} of the limit, seed {seed}, at an age of {mass_return.age / SECOND:.1f} s"
        )
        assert mass_return.worst_ratio() <= 1, message


@pytest.mark.parametrize(("relays", "warm", "dying", "new_servers"), [(32, 4, 6, 3), (32, 0, 8, 2), (100, 2, 12, 2)])
def test_a_new_server_gets_half_of_its_budget_when_more_clients_return(relays, warm, dying, new_servers):
    # Relays could also keep to the budget by leaving new servers idle.
    shares = [MassReturn(relays, warm, dying, new_servers, seed, spread_s=1.5).run().used_share() for seed in range(3)]
    assert sum(shares) / len(shares) >= 0.5, (
        f"shares of the budget used in a second: {[round(share, 2) for share in shares]}"
    )


def test_without_reports_no_new_server_is_overloaded():
    for seed in range(4):
        mass_return = MassReturn(32, 2, 6, 3, seed, reports=False).run()
        assert mass_return.worst_ratio() <= 1, f"{mass_return.worst_ratio():.2f} of the limit, seed {seed}"


@pytest.mark.parametrize("reported", [math.nan, math.inf, -0.5, 101.0])
def test_an_impossible_report_or_load_keeps_the_last_valid_value(reported):
    mass_return = MassReturn(1, 3, 1, 1, seed=1)
    balancer = mass_return.drivers[0].balancer
    before = (
        balancer.servers["s0"].reported_utilisation,
        balancer.cold_start.connections_when_full,
        balancer.unit_capacity,
        [balancer.loads.mean(cls) for cls in range(2)],
    )
    mass_return.drivers[0].event(api.ProbeResult("s0", api.Result.OK, MS, (reported, 10.0)))
    if not 0 < reported < math.inf:
        mass_return.drivers[0].event(api.Note("old", 0, "s0", api.NoteKind.LOAD, reported))
    assert before == (
        balancer.servers["s0"].reported_utilisation,
        balancer.cold_start.connections_when_full,
        balancer.unit_capacity,
        [balancer.loads.mean(cls) for cls in range(2)],
    )


@pytest.mark.parametrize("warm_after", [0, 9 * SECOND])
@pytest.mark.parametrize("shift", [-3 * SECOND, 5 * SECOND, 500 * SECOND])
def test_a_changed_start_time_makes_a_server_neither_warmer_nor_colder_than_cold(warm_after, shift):
    driver = Driver(replace(SETTINGS, warm_after=warm_after))
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    warmth = driver.balancer.servers["new"].warmth
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now + shift),))
    assert driver.balancer.servers["new"].warmth == warmth == (SETTINGS.cold_share if warm_after else 1.0)


class AtLeastOneSlotPerRelay(ColdStart):
    """Each relay may send one set-up in a window, however small its share of the budget."""

    def slot_rate(self, capacity: float) -> float:
        return max(1 / self.window, super().slot_rate(capacity))


class SiblingsIgnored(ColdStart):
    """A relay uses the whole budget instead of its share."""

    def slot_rate(self, capacity: float) -> float:
        return super().slot_rate(capacity) * self.settings.siblings


class WindowDoubled(ColdStart):
    """The slots of two windows are given out in one."""

    def slot_rate(self, capacity: float) -> float:
        return super().slot_rate(capacity) * 2


class FleetLoadIgnored(ColdStart):
    """The crowd is estimated from the remaining fleet as if it were idle: hardly any returning clients are expected."""

    def update_load(self, elapsed: int, reported: object, unreported_capacity: float) -> None:
        super().update_load(elapsed, (), 0.0)


class SlotsKeptOpen(ColdStart):
    """Unused slots stay open for 9 s instead of lapsing."""

    def __init__(self, settings: api.Settings) -> None:
        super().__init__(settings)
        self.slot_open_time = 9 * SECOND


@pytest.mark.parametrize(
    "mutant", [AtLeastOneSlotPerRelay, SiblingsIgnored, WindowDoubled, FleetLoadIgnored, SlotsKeptOpen]
)
def test_a_mutant_of_the_budget_is_detected(mutant):
    worst_ratio = max(
        MassReturn(32, 1, 6, 3, seed, spread_s=1.0, budget=mutant).run().worst_ratio() for seed in range(4)
    )
    assert worst_ratio > 1, f"{mutant.__name__} breaks no rule: {worst_ratio:.2f} of the limit"
