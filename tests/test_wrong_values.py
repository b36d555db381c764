"""Values of other processes that are wrong by any factor: reports, loads, hints and weights.

What a relay has learned has to be the same as without the wrong value, or nearly so, and no work grows with the value.
"""

from __future__ import annotations

import pickle
from dataclasses import replace

import pytest
from driver import BASE, MS, SECOND, Driver
from hypothesis import given, settings
from hypothesis import strategies as st
from test_cold_start import MassReturn

from scaledeal import interface as api
from scaledeal.cold_start import ColdStart

COUNTED = replace(
    BASE,
    may_probe=True,
    report_source=api.Source.PROBES,
    report_fields=(api.Field.OTHER, api.Field.INFLIGHT, api.Field.UTILISATION),
    cold_share=0.3,
    warm_after=9 * SECOND,
    overload_factor=3.0,
    overload_window=SECOND,
    siblings=3,
    fixed_weights=True,
)
UNCOUNTED = replace(COUNTED, report_fields=(api.Field.UTILISATION, api.Field.OTHER))
LOAD = 20_000.0  # us of work a second of each connection
UTILISATION = 0.4
CONNECTIONS = 5  # of this relay at each server
TOLERANCE = 0.3  # by which what is learned may differ from what is learned without the wrong value
WRONG_FACTORS = st.one_of(st.sampled_from([1e-3, 10.0, 2e2, 1e8]), st.floats(1e-4, 1e8))


class Fleet:
    """A relay in a fleet of equal servers; ``spoil`` changes one value that the relay is told."""

    def __init__(self, settings: api.Settings, servers: int, wrong_loads: dict[int, float] | None = None) -> None:
        self.driver = Driver(settings, servers=servers)
        self.driver.probes_answered = False
        self.balancer = self.driver.balancer
        wrong = wrong_loads or {}
        for number in range(servers * CONNECTIONS):
            server = f"s{number % servers}"
            self.driver.event(api.OpenConnection(f"o{number}", 0, server, group=f"g{number % 7}"))
            load = LOAD * wrong.get(number, 1.0)
            self.driver.event(api.Note(f"o{number}", 0, server, api.NoteKind.LOAD, load))

    def report(self, server: str, factor: float = 1.0, field: api.Field = api.Field.OTHER) -> None:
        """Give the relay one report, in which the value of ``field`` is wrong by ``factor``."""
        right = {
            api.Field.UTILISATION: UTILISATION,
            api.Field.INFLIGHT: float(CONNECTIONS * COUNTED.siblings),
            api.Field.OTHER: 1.0,
        }
        fields = self.balancer.settings.report_fields
        values = tuple(right[each] * (factor if each is field else 1.0) for each in fields)
        self.driver.event(api.ProbeResult(server, api.Result.OK, MS, values))

    def learned(self) -> tuple[float, float, float]:
        """Return the rate of slots at a new server, the capacity of a server, and the mean load."""
        self.balancer._update_cold_start(0)
        return (self.balancer.cold_start.slot_rate(0.5), self.balancer.unit_capacity, self.balancer._mean_load())


def assert_same(learned: tuple[float, ...], expected: tuple[float, ...]) -> None:
    assert learned == pytest.approx(expected, rel=TOLERANCE)


@settings(max_examples=150, deadline=None)
@given(
    counted=st.booleans(),
    servers=st.integers(3, 14),
    rounds=st.integers(2, 6),
    field=st.sampled_from([api.Field.INFLIGHT, api.Field.UTILISATION, api.Field.OTHER]),
    factor=WRONG_FACTORS,
    data=st.data(),
)
def test_one_wrong_report_in_any_field_at_any_moment_teaches_nothing(counted, servers, rounds, field, factor, data):
    # One report with digits before its number of requests made a relay count on millions of slots at a new server.
    wrong_at = data.draw(st.integers(0, servers * rounds - 1), label="wrong_at")
    fleet, sound = (Fleet(COUNTED if counted else UNCOUNTED, servers) for _ in range(2))
    for number in range(servers * rounds):
        server = f"s{number % servers}"
        fleet.report(server, factor if number == wrong_at else 1.0, field)
        sound.report(server)
    assert_same(fleet.learned(), sound.learned())


@pytest.mark.parametrize("factor", [1e-3, 30.0, 1e7])
@pytest.mark.parametrize("field", [api.Field.INFLIGHT, api.Field.UTILISATION])
@pytest.mark.parametrize("servers", [3, 12])
def test_a_server_whose_reports_are_always_wrong_teaches_nothing_about_the_others(servers, field, factor):
    # Such a server would set what all others are taken to bear, if it were asked more often than they are.
    fleet, sound = (Fleet(COUNTED, servers) for _ in range(2))
    for turn in range(12):
        for server in [f"s{number}" for number in range(servers)] if turn % 3 == 0 else ["s0"]:
            fleet.report(server, factor if server == "s0" else 1.0, field)
            sound.report(server)
    assert_same(fleet.learned()[:2], sound.learned()[:2])


@pytest.mark.parametrize("factor", [12.0, 1e3, 1e8])
def test_one_wrong_report_at_each_relay_overloads_no_new_server(factor):
    # Slots that were counted from the wrong report let through many times what a new server bears.
    class OneWrongReport(MassReturn):
        def _report(self, driver: Driver) -> None:
            super()._report(driver)
            if driver not in wronged:
                wronged.append(driver)
                driver.event(api.ProbeResult("s0", api.Result.OK, MS, (0.7, 70.0 * factor)))

    wronged: list[Driver] = []
    worst = OneWrongReport(32, 4, 6, 3, seed=1, spread_s=1.0).run().worst_ratio()
    assert worst <= 1, f"{worst:.2f} of the limit"


@pytest.mark.parametrize("slots_per_window", [1e3, 1e6, 1e12])
def test_the_memory_of_slots_does_not_grow_with_their_number(slots_per_window):
    # A list with an entry for each slot stopped the relay where a budget was large.
    cold_start = ColdStart(COUNTED)
    cold_start.connections_when_full = 1000.0
    slots = cold_start.new_slots(0, 1 << 63)
    for step in range(1, 40):
        capacity = slots_per_window / cold_start.slot_rate(1.0) / cold_start.window
        assert cold_start.has_open_slot(step * 50 * MS, slots, capacity)
        assert len(pickle.dumps(slots)) < 4096


def test_slots_open_at_their_rate_and_lapse_after_their_time():
    # A count without a list must not give out more slots than a list did: one of 20 a window, open for 0.4 of it.
    cold_start = ColdStart(COUNTED)
    cold_start.connections_when_full = 1000.0
    slots = cold_start.new_slots(0, 0)
    capacity = 20 / (cold_start.slot_rate(1.0) * cold_start.window)
    used = 0
    for step in range(1, 1001):
        while cold_start.has_open_slot(step * MS, slots, capacity):
            slots.use_oldest()
            used += 1
    assert used == 20
    assert cold_start.has_open_slot(3 * SECOND, slots, capacity)
    left = 0
    while cold_start.has_open_slot(3 * SECOND, slots, capacity):
        slots.use_oldest()
        left += 1
    assert left == 8, "only those of the last 0.4 windows are open"


@settings(max_examples=60, deadline=None)
@given(position=st.integers(0, 29), factor=st.floats(40.0, 1e5))
def test_one_wrong_load_of_a_connection_teaches_nothing(position, factor):
    # One LOAD line set the mean load of a class, and its server's load, for as long as the connection lived.
    fleet, sound = Fleet(COUNTED, 6, {position: factor}), Fleet(COUNTED, 6)
    for each in (fleet, sound):
        for number in range(12):
            each.report(f"s{number % 6}")
    assert_same(fleet.learned(), sound.learned())
    for server in sound.balancer.servers:
        loads = [each.balancer._own_load(each.balancer.servers[server]) for each in (fleet, sound)]
        assert loads[0] == pytest.approx(loads[1], rel=TOLERANCE)
    # Of the first five loads, none can be told to be wrong when it comes.
    assert sum("load of" in text for text in fleet.driver.log) == (position >= 4)


@pytest.mark.parametrize("hints_before", [0, 2, 20])
def test_one_wrong_hint_of_a_client_saturates_no_server(hints_before):
    # A client that expects a load of 1e12 made its server look overloaded, so that the others' clients were moved.
    driver = Driver(COUNTED, servers=4)
    for number in range(hints_before + 30):
        driver.arrive(f"r{number}", key=f"k{number}", load_hint=1e12 if number == hints_before else LOAD)
        for name in driver.pending():
            driver.establish(name)
    driver.wait(2 * SECOND)
    loads = [driver.balancer._own_load(server) for server in driver.balancer.servers.values()]
    assert not driver.actions(api.Move)
    assert max(loads) <= LOAD * (hints_before + 30)


@pytest.mark.parametrize("weight", [1e-6, 1e-3, 1e4, 1e9])
@pytest.mark.parametrize("moment", ["before the reports", "after the reports", "with its start"])
def test_one_wrong_weight_in_a_list_teaches_nothing(weight, moment):
    # Connections are divided by weights, and keys ranked by them: one entry of 1e-6 held up all connections for 2 s.
    fleet, sound = (Fleet(COUNTED, 12) for _ in range(2))
    entry = api.ServerEntry("s0", weight=1.0)
    wrong = replace(entry, weight=weight)
    joined = api.ServerEntry("new", started=sound.driver.now, weight=1.0)
    for each, listed in ((fleet, wrong), (sound, entry)):
        if moment == "before the reports":
            each.driver.members(api.MembershipKind.CHANGES, (listed,))
        for number in range(24):
            each.report(f"s{number % 12}")
        if moment == "after the reports":
            each.driver.members(api.MembershipKind.CHANGES, (listed,))
        new = replace(joined, weight=weight) if moment == "with its start" and each is fleet else joined
        each.driver.members(api.MembershipKind.CHANGES, (new,))
    assert_same(fleet.learned(), sound.learned())
    weights = [server.weight for server in fleet.balancer.servers.values()]
    assert weights == [1.0] * 13
    assert any("weight" in text for text in fleet.driver.log)


def test_weights_that_differ_as_machines_do_are_taken():
    # A fleet of one unit for all machines must not be read as a fault, whatever that unit is.
    for unit in (1e-3, 1.0, 5e4):
        driver = Driver(COUNTED, servers=0)
        entries = tuple(api.ServerEntry(f"s{n}", weight=unit * size) for n, size in enumerate((1, 2, 4, 16, 32)))
        driver.members(api.MembershipKind.FULL, entries)
        assert [s.weight for s in driver.balancer.servers.values()] == [entry.weight for entry in entries]


def test_a_sudden_overload_counts_once_a_second_report_confirms_it():
    # Digits before a utilisation moved the clients of a sound server away; a server that is overloaded says so again.
    fleet = Fleet(COUNTED, 4)
    for _ in range(3):
        for number in range(4):
            fleet.report(f"s{number}")
    server = fleet.balancer.servers["s0"]
    fleet.report("s0", 100.0, api.Field.UTILISATION)
    assert fleet.balancer.utilisation(server) == pytest.approx(UTILISATION, rel=0.1)
    fleet.report("s0")
    fleet.report("s0", 100.0, api.Field.UTILISATION)
    assert fleet.balancer.utilisation(server) == pytest.approx(UTILISATION, rel=0.1)
    assert sum("waits for confirmation" in text for text in fleet.driver.log) == 2
    fleet.report("s0", 120.0, api.Field.UTILISATION)
    assert fleet.balancer.utilisation(server) == pytest.approx(120 * UTILISATION, rel=0.1)


def test_a_capacity_that_changes_for_good_is_learned():
    # Leaving out what differs must not mean to keep what was learned first for ever.
    fleet = Fleet(COUNTED, 4)
    for number in range(200):
        fleet.report(f"s{number % 4}", 1.0 if number < 40 else 0.5, api.Field.INFLIGHT)
    slower = Fleet(COUNTED, 4)
    for number in range(40):
        slower.report(f"s{number % 4}", 0.5, api.Field.INFLIGHT)
    assert_same(fleet.learned(), slower.learned())
