"""Fleets of thousands of servers: no event costs more than among hundreds, and placement works as among a few."""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from driver import BASE, MS, SECOND, Driver, entries

from scaledeal import interface as api
from scaledeal.policy import MAX_WAITING_REQUESTS
from scaledeal.ranking import MAX_CANDIDATES, ServerRing, digest, rendezvous
from scaledeal.state import Server

FEW, MANY = 200, 3200
MAX_GROWTH = 1.3  # of the work of an event, from FEW to MANY servers
WORK_OF_A_STEP = 160  # bytecodes for a server that changes by itself, once a second
REPORTS = replace(
    BASE,
    siblings=3,
    may_probe=True,
    groups=True,
    report_source=api.Source.PROBES,
    report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
)


def steps(call: Callable[[], object]) -> int:
    """Return how many bytecodes a call executes: a measure of its work that is the same on every machine."""
    count = 0

    def trace(frame: Any, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(None)
    return count


def warm(servers: int, **changes: Any) -> Driver:
    """Return a relay of a warm fleet, with connections at and reports of some servers."""
    driver = Driver(replace(REPORTS, **changes), servers=servers)
    driver.probes_answered = False
    for number in range(100):
        driver.event(api.OpenConnection(f"o{number}", 0, f"s{number}", group=f"g{number}"))
        driver.event(api.Note(f"o{number}", 0, f"s{number}", api.NoteKind.LOAD, 1000.0))
        driver.event(api.ProbeResult(f"s{number}", api.Result.OK, MS, (0.4, 20.0)))
    return driver


def cold(servers: int, siblings: int = 3) -> Driver:
    """Return a relay of a fleet whose servers have all just started."""
    driver = warm(servers, siblings=siblings)
    driver.members(api.MembershipKind.CHANGES, entries(servers, started=driver.now))
    driver.wait(5 * SECOND // 2)
    return driver


def failing(servers: int) -> Driver:
    """Return a relay of a fleet of which many servers have failed."""
    driver = warm(servers)
    for number in range(servers // 4):
        driver.event(api.ProbeResult(f"s{number}", api.Result.TIMEOUT, MS))
    return driver


def keyed(servers: int, scope: api.Scope) -> Driver:
    """Return a relay whose requests may be repeated only in their scope; a cell has ten servers."""
    cls = replace(BASE.classes[1], semantics=api.Semantics.KEYED, scope=scope, window=2 * SECOND)
    driver = Driver(replace(REPORTS, classes=(cls,)), servers=0)
    driver.probes_answered = False
    listed = [replace(each, cell=number // 10) for number, each in enumerate(entries(servers))]
    driver.members(api.MembershipKind.FULL, tuple(listed))
    return driver


FLEETS = {
    "warm": warm,
    "all cold": cold,
    "all cold, 230 relays": lambda servers: cold(servers, 230),
    "a quarter failing": failing,
    "own zone preferred": lambda servers: warm(servers, zone_price=1.0, move_price=0.1),
    "repeats in a zone": lambda servers: keyed(servers, api.Scope.ZONE),
    "repeats in a cell": lambda servers: keyed(servers, api.Scope.CELL),
}


def hold_requests(driver: Driver) -> None:
    """Have requests wait for reports, up to the most that do."""
    for number in range(20 * MAX_WAITING_REQUESTS):
        if len(driver.balancer.held) > MAX_WAITING_REQUESTS:
            break
        driver.balancer.probe_tokens = 10.0
        driver.arrive(f"h{number}", group=f"h{number}")


def answered_probe(driver: Driver) -> int:
    hold_requests(driver)
    probed = driver.actions(api.Probe)[-1].server
    return steps(lambda: driver.event(api.ProbeResult(probed, api.Result.OK, MS, (0.4, 20.0))))


def failed_attempt(driver: Driver) -> int:
    driver.balancer.probe_tokens = 0.0
    driver.arrive("f", group="f")
    return steps(lambda: driver.end("f", api.Result.ERROR)) if driver.requests["f"].attempts else 0


def returning_crowd(driver: Driver) -> int:
    def crowd() -> None:
        for number in range(30):
            driver.arrive(f"c{number}", group=f"c{number}", returning=True)

    return steps(crowd)


def changed_list(driver: Driver) -> int:
    hold_requests(driver)
    number = len(driver.listed) // 2
    new = replace(driver.listed[f"s{number}"], server="new", started=driver.now, weight=1.5)
    draining = replace(driver.listed[f"s{number}"], state=api.ServerState.DRAINING)
    return steps(lambda: driver.members(api.MembershipKind.CHANGES, (draining, new)))


EVENTS: dict[str, Callable[[Driver], int]] = {
    "request": lambda driver: steps(lambda: driver.arrive("a", group="a")),
    "crowd": returning_crowd,
    "probe answered": answered_probe,
    "attempt failed": failed_attempt,
    "ticks": lambda driver: steps(lambda: driver.wait(2 * SECOND)),
    "list changed": changed_list,
    "figures": lambda driver: steps(driver.balancer.rotation_counts),
}


# Guards against work that grows with the servers: a crowd at a relay that knew 3,200 of them was answered seconds late.
@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("event", EVENTS)
def test_the_work_of_an_event_does_not_grow_with_the_servers(fleet: str, event: str) -> None:
    few, many = (EVENTS[event](FLEETS[fleet](servers)) for servers in (FEW, MANY))
    # Servers that are cold warm up by themselves, which a step once a second follows; figures tell of each that is
    # cold or failing.
    changing = {"ticks": "cold" in fleet, "figures": "cold" in fleet or "failing" in fleet}.get(event, False)
    allowed = MAX_GROWTH * few + (WORK_OF_A_STEP * 2 * MANY if changing else 0)
    assert many <= allowed, f"{many} bytecodes with {MANY} servers, {few} with {FEW}"


def on_ring(count: int) -> tuple[ServerRing[Server], list[Server]]:
    servers = [Server(f"s{i}", [0], digest(f"s{i}")) for i in range(count)]
    ring: ServerRing[Server] = ServerRing()
    for server in servers:
        ring.add(server)
    return ring, servers


def first_of(ring: ServerRing[Server], key: str) -> str:
    return rendezvous(key, ring.following(digest(key), MAX_CANDIDATES))[0].id


# Guards against candidates that are not the same at every relay, or that move the keys of servers that stay.
def test_candidates_are_spread_evenly_and_a_server_that_leaves_moves_few_other_keys() -> None:
    ring, servers = on_ring(1000)
    keys = [f"k{number}" for number in range(20_000)]
    before = {key: first_of(ring, key) for key in keys}
    counts = Counter(before.values())
    assert len(counts) > 990 and max(counts.values()) < 3 * len(keys) / len(servers)
    for server in servers[:20]:
        ring.remove(server)
    gone = {server.id for server in servers[:20]}
    moved = sum(first_of(ring, key) != first for key, first in before.items() if first not in gone)
    assert moved <= 0.03 * len(keys), f"{moved} keys of servers that stayed were moved as 2 % left"
    small, few = on_ring(MAX_CANDIDATES)
    assert set(map(id, small.following(7, MAX_CANDIDATES))) == set(map(id, few))


# Guards against a search that ends with the key's own candidates: none may be in the scope or have a slot.
@pytest.mark.parametrize("scope", [api.Scope.CELL, api.Scope.ZONE])
def test_a_repeat_finds_the_servers_of_its_scope_among_thousands(scope: api.Scope) -> None:
    driver = keyed(MANY, scope)
    driver.probes_answered = True
    for number in range(20):
        driver.balancer.retry_tokens = 5.0
        driver.arrive(f"r{number}")
        driver.end(f"r{number}", api.Result.ERROR)
        first, second = (attempt.server for attempt in driver.requests[f"r{number}"].attempts)
        assert first.server != second.server
        driver.establish(f"r{number}")


def test_a_group_stays_at_its_server_among_thousands() -> None:
    driver = warm(MANY)
    driver.probes_answered = True
    for number in range(100):
        driver.arrive(f"r{number}", group=f"g{number}")
    stayed = sum(driver.server_of(f"r{number}") == f"s{number}" for number in range(100))
    assert stayed >= 95, f"{stayed} of 100; a server with room shares with its second"


def test_a_busy_fleet_uses_the_few_cold_servers_that_have_a_slot_among_thousands() -> None:
    driver = warm(MANY)
    driver.members(api.MembershipKind.CHANGES, entries(5, started=driver.now))
    driver.wait(2 * SECOND)
    for number in range(5, 100):
        driver.event(api.ProbeResult(f"s{number}", api.Result.OK, MS, (0.8, 20.0)))
    driver.wait(SECOND)
    driver.probes_answered = True
    driver.arrive("r", key="a key whose candidates are elsewhere")
    assert driver.server_of("r") in {f"s{number}" for number in range(5)}


def test_a_slot_is_found_among_thousands_of_cold_servers() -> None:
    driver = cold(MANY, siblings=230)
    driver.probes_answered = True
    for number in range(20):
        driver.arrive(f"r{number}", 1, returning=True)
        driver.wait(SECOND // 5)
    driver.wait(4 * SECOND)
    placed = [name for name, request in driver.requests.items() if request.attempts and name.startswith("r")]
    assert len(placed) >= 15, f"{len(placed)} of 20 were placed"


# Guards against sets and sums that drift from the servers they stand for, whatever order the changes come in.
@pytest.mark.parametrize("seed", range(10))
def test_the_table_agrees_with_its_servers_after_any_changes(seed: int) -> None:
    draw = random.Random(seed)
    driver = Driver(REPORTS, seed, servers=6)
    balancer, table = driver.balancer, driver.balancer.table
    for number in range(400):
        name = f"s{draw.randrange(8)}"
        match draw.randrange(6):
            case 0:
                state = draw.choice(list(api.ServerState))
                weight = draw.choice((1.0, 0.5, 2.0, 1e6))
                started = draw.choice((0, driver.now - draw.randrange(30) * SECOND))
                entry = api.ServerEntry(name, state, started, draw.randrange(2), weight, draw.randrange(2))
                kind = draw.choice((api.MembershipKind.CHANGES,) * 4 + (api.MembershipKind.FULL,))
                driver.members(kind, (entry,))
            case 1:
                driver.arrive(f"r{number}", draw.randrange(2), group=f"g{draw.randrange(4)}")
            case 2 if driver.pending():
                driver.establish(draw.choice(driver.pending()))
            case 3 if up := [n for n, r in driver.requests.items() if r.established and not r.over]:
                driver.event(api.Note(ended := draw.choice(up), 0, driver.server_of(ended), api.NoteKind.LOAD, 900.0))
                driver.end(ended, draw.choice((api.Result.OK, api.Result.RESET)))
            case 4:
                result = draw.choice((api.Result.OK, api.Result.TIMEOUT))
                driver.event(api.ProbeResult(name, result, MS, (draw.random(), 20.0)))
            case 5:
                driver.wait(draw.randrange(SECOND))
        servers = balancer.servers.values()
        live = {s.id: s for s in servers if s.state is api.ServerState.LIVE}
        assert table.live == live and len(table.ring) == len(live)
        assert table.cold == {n: s for n, s in live.items() if s.warmth < 1}
        assert table.failing == {n: s for n, s in live.items() if s.failures}
        assert table.left == {s.id: s for s in servers if s.state is api.ServerState.GONE}
        assert all(s.connections for s in table.left.values())
        capacity = sum(s.weight * s.warmth for s in live.values())
        assert table.warm_capacity + table.cold_capacity == pytest.approx(capacity, abs=1e-6)
        loads = sum(balancer._own_load(s) / s.weight for s in balancer.tracked.values())
        assert balancer.loads_by_server.total(balancer._class_loads()) == pytest.approx(loads, abs=1e-6)
        assert balancer.holders.keys() == {g for s in servers for g in s.groups if g.startswith("g")}
        in_rotation = len(balancer._in_rotation(list(live.values())))
        listed = len(balancer.servers) - len(table.left)
        assert balancer.rotation_counts() == (listed, listed - in_rotation)
