"""Placement, health, attempts, membership and moves of one balancer: a test for each failure that was found."""

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from driver import BASE, MS, SECOND, ClientRequest, Driver, SentAttempt, entries
from sites import SITES, Site

from scaledeal import interface as api
from scaledeal.policy import Balancer
from scaledeal.ranking import digest, pair_hash, rendezvous
from scaledeal.settings import Document
from scaledeal.state import Server

REPORTS = replace(
    BASE,
    may_probe=True,
    report_source=api.Source.PROBES,
    groups=True,
    report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
)


def ranking(key: str, names: list[str]) -> list[str]:
    return [s.id for s in rendezvous(key, [Server(name, [0], digest(name)) for name in names])]


def report(driver: Driver, **utilisations: float) -> None:
    for server, value in utilisations.items():
        driver.event(api.ProbeResult(server, api.Result.OK, MS, (value, 10.0)))


def fill(driver: Driver, count: int, **fields: object) -> list[str]:
    names = [f"f{len(driver.requests)}-{i}" for i in range(count)]
    for name in names:
        driver.arrive(name, **fields)
        if name in driver.pending():
            driver.establish(name)
    return names


def test_the_ranking_is_the_same_at_every_relay():
    assert ranking("board-7", ["a:1", "b:2", "c:3", "d:4"]) == EXPECTED_RANKING


EXPECTED_RANKING = ["b:2", "c:3", "a:1", "d:4"]


def test_removing_a_server_moves_only_its_own_keys():
    names = [f"s{i}" for i in range(8)]
    for key in map(str, range(200)):
        before = ranking(key, names)
        assert ranking(key, [n for n in names if n != "s3"]) == [n for n in before if n != "s3"]


def test_without_groups_the_less_loaded_of_the_top_two_is_chosen():
    driver = Driver(servers=6)
    for name in fill(driver, 30, key="one"):
        assert driver.server_of(name) in ranking("one", [f"s{i}" for i in range(6)])[:2]
    used = [driver.server_of(n) for n in driver.requests]
    assert abs(used.count(used[0]) - 15) <= 1


def test_a_successor_places_a_group_where_its_predecessor_holds_it():
    names = [f"s{i}" for i in range(6)]
    far = ranking("map", names)[4]
    driver = Driver(replace(REPORTS, zone_price=0.0), servers=6)
    for number in range(5):
        driver.event(api.OpenConnection(f"old-{number}", 0, far, group="map", inherited=True))
        driver.event(api.Note(f"old-{number}", 0, far, api.NoteKind.LOAD, 900.0))
    assert not driver.balancer.had_connections_at_start, "returning clients are admitted by share, as after a restart"
    driver.arrive("r", key="x", group="map")
    assert driver.server_of("r") == far
    assert driver.balancer.unit_capacity == 0.0
    report(driver, **{far: 0.5})
    assert driver.balancer.unit_capacity, "the capacity is learned from the first report on"


def test_a_slow_server_is_not_filled_at_the_others_capacity():
    driver = Driver(replace(REPORTS, groups=False), servers=4)
    [first] = fill(driver, 1)
    server = driver.server_of(first)
    driver.event(api.Note(first, 0, server, api.NoteKind.LOAD, 1000.0))
    for _ in range(60):
        # Each holds ten connections, so s0 has a third of the capacity of the others.
        report(driver, s0=0.6, s1=0.2, s2=0.2, s3=0.2)
    balancer = driver.balancer
    before = {name: balancer.utilisation(balancer.servers[name]) for name in ("s0", "s1")}
    for name in before:
        for number in range(5):
            driver.event(api.OpenConnection(f"{name}-{number}", 0, name, load_hint=1000.0))
    grew = {name: balancer.utilisation(balancer.servers[name]) - was for name, was in before.items()}
    assert grew["s0"] > 2 * grew["s1"] > 0
    # A server that looks fast because it has few connections is given no higher capacity than the others.
    assert grew["s1"] >= 5 * 1000.0 / balancer.unit_capacity * 0.99


def test_servers_out_of_rotation_are_those_that_get_no_new_connections():
    driver = Driver(REPORTS, servers=4)
    assert driver.balancer.rotation_counts() == (4, 0)
    driver.event(api.ProbeResult("s0", api.Result.TIMEOUT, MS))
    assert driver.balancer.rotation_counts() == (4, 1)
    driver.members(api.MembershipKind.CHANGES, entries(2, state=api.ServerState.DRAINING)[1:])
    assert driver.balancer.rotation_counts() == (4, 2), "one is suspected, one drains"
    new = api.ServerEntry("s9", started=driver.now)
    driver.members(api.MembershipKind.CHANGES, (new,))
    assert driver.balancer.rotation_counts() == (5, 3), "cold, and its capacity is not known yet"
    used = {driver.server_of(name) for name in fill(driver, 30)}
    assert used == {"s2", "s3"}
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("s1", state=api.ServerState.GONE),))
    assert driver.balancer.rotation_counts() == (4, 2)
    for name in ("s2", "s3", "s9"):
        driver.members(api.MembershipKind.CHANGES, (api.ServerEntry(name, state=api.ServerState.GONE),))
    # A suspect server that is the last one left still gets connections, so it counts as in rotation.
    assert driver.balancer.rotation_counts() == (1, 0)


def test_a_mid_flow_connection_goes_to_its_top_server_without_admission():
    driver = Driver(servers=6)
    top = ranking("one", [f"s{i}" for i in range(6)])[0]
    for i in range(10):
        driver.arrive(f"r{i}", key="one", mid_flow=True)
        assert driver.server_of(f"r{i}") == top


def test_a_group_stays_whole_where_it_is_held():
    # A group costs at each server that holds part of it: new members go to the server that holds it already.
    driver = Driver(replace(BASE, groups=True), servers=6)
    held = ranking("g", [f"s{i}" for i in range(6)])[3]
    for i in range(3):
        driver.requests[f"o{i}"] = _open_connection(driver, held)
        driver.event(api.OpenConnection(f"o{i}", 0, held, key=f"k{i}", group="g"))
    names = [fill(driver, 1, key=f"n{i}", group="g")[0] for i in range(5)]
    assert {driver.server_of(n) for n in names} == {held}


def _open_connection(driver: Driver, server: str):
    from driver import ClientRequest, SentAttempt

    return ClientRequest(0, 0, [SentAttempt(driver.listed[server], driver.now, 0)], established=True)


def test_a_crowded_server_is_passed_over():
    # Without the check for crowded servers, a group fills its first servers while others are idle.
    driver = Driver(REPORTS, servers=4)
    order = ranking("g", ["s0", "s1", "s2", "s3"])
    report(driver, **{order[0]: 0.9, order[1]: 0.9, order[2]: 0.2, order[3]: 0.2})
    driver.arrive("r", group="g")
    assert driver.server_of("r") == order[2]


def test_a_server_that_times_out_is_avoided_and_returns_after_one_trial():
    driver = Driver(servers=6)
    key = "k"
    driver.arrive("r", key=key)
    first = driver.server_of("r")
    driver.end("r", api.Result.TIMEOUT)
    assert driver.server_of("r") != first
    driver.establish("r")
    assert all(driver.server_of(n) != first for n in fill(driver, 20, key=key))
    driver.wait(2 * SECOND)
    trials = []
    for i in range(40):
        driver.arrive(f"t{i}", key=f"x{i}")
        trials += [n for n in driver.pending() if driver.server_of(n) == first and n not in trials]
        for name in driver.pending():
            if driver.server_of(name) != first:
                driver.establish(name)
    assert len(trials) == 1
    driver.establish(trials[0])
    assert any(driver.server_of(n) == first for n in fill(driver, 40))


def test_failures_everywhere_make_at_most_a_third_suspect():
    driver = Driver(servers=6)
    for i in range(30):
        driver.arrive(f"r{i}")
        while f"r{i}" in driver.pending():
            driver.end(f"r{i}", api.Result.ERROR)
    suspected = [line for line in driver.log if "suspected" in line]
    assert 1 <= len(suspected) <= 2


def test_a_crowd_is_sent_a_few_at_a_time_and_answered_in_time():
    # The clients of a dead relay all return at once; sent together, they overload a store that the servers share.
    driver = Driver(servers=6)
    for i in range(300):
        driver.arrive(f"r{i}", 1, returning=True)
    assert len(driver.pending()) <= 12
    while driver.pending():
        driver.establish(driver.pending()[0])
    assert all(request.established for request in driver.requests.values())


def test_no_server_at_all_holds_then_refuses_in_time():
    driver = Driver(servers=0)
    driver.arrive("r")
    assert driver.actions(api.Refuse) == []
    driver.wait(3 * SECOND)
    assert [a.request for a in driver.actions(api.Refuse)] == ["r"]
    driver.arrive("late")
    driver.members(api.MembershipKind.FULL, entries(2))
    assert driver.pending() == ["late"]


def test_a_lost_watch_is_renewed_with_jitter_and_the_list_is_kept():
    gaps = set()
    for seed in range(5):
        driver = Driver(replace(BASE, ask_discovery=True), seed)
        assert len(driver.actions(api.Watch)) == 1
        lost = driver.now
        driver.event(api.Membership(api.MembershipKind.LOST))
        driver.wait(5 * SECOND)
        watched_at = [at for at, a in driver.performed if isinstance(a, api.Watch)]
        assert len(watched_at) == 2
        gaps.add(watched_at[1] - lost)
        fill(driver, 1)
        assert driver.actions(api.Send)
    assert len(gaps) > 1


def test_a_server_missing_from_a_full_list_is_gone():
    driver = Driver(servers=4)
    driver.members(api.MembershipKind.FULL, entries(1))
    assert {driver.server_of(n) for n in fill(driver, 20)} == {"s0"}


def test_a_saturated_server_loses_connections_only_to_servers_with_room():
    driver = Driver(REPORTS, servers=4)
    names = fill(driver, 12, group="g")
    hot = driver.server_of(names[0])
    report(driver, **{f"s{i}": 3.0 if f"s{i}" == hot else 0.95 for i in range(4)})
    driver.wait(SECOND // 2)
    assert driver.actions(api.Move) == []
    report(driver, **{f"s{i}": 3.0 if f"s{i}" == hot else 0.1 for i in range(4)})
    driver.wait(SECOND)
    moved = len(driver.actions(api.Move))
    assert 1 <= moved <= 8


def test_under_overload_the_ladder_sheds_the_least_worth_for_its_load():
    # Refusals alone do not end an overload, as long-lived connections stay open.
    driver = Driver(REPORTS, servers=2)
    names = [n for i in range(20) for n in fill(driver, 1, cls=i % 2, group=f"g{i % 3}")]
    for _ in range(8):
        report(driver, s0=2.0, s1=2.0)
        driver.wait(SECOND // 2)
    assert driver.balancer.ladder.rung > 0
    cut = [names.index(a.request) % 2 for a in driver.actions(api.Move)]
    assert cut and sum(cut[:4]) == 4


def test_clients_are_moved_before_their_server_leaves():
    # A draining server may leave without sending its clients away, which cuts them off without notice.
    driver = Driver(servers=4)
    names = fill(driver, 12)
    leaving = driver.server_of(names[0])
    staying = {n for n in names if driver.server_of(n) != leaving}
    draining = replace(driver.listed[leaving], state=api.ServerState.DRAINING)
    driver.members(api.MembershipKind.CHANGES, (draining,))
    driver.wait(SECOND // 2)
    assert not driver.actions(api.Move)
    driver.wait(SECOND)
    moved = [a.request for a in driver.actions(api.Move)]
    assert sorted(moved) == sorted(set(names) - staying) and moved


def test_a_hung_server_loses_its_clients_within_seconds():
    # Reports of a hung server show no overload, so its clients would stay there for seconds.
    driver = Driver(REPORTS, servers=4)
    names = fill(driver, 12, group="g")
    hung = driver.server_of(names[0])
    report(driver, **{f"s{i}": 0.3 for i in range(4)})
    driver.event(api.Note(names[0], 0, hung, api.NoteKind.DELAY, 2250.0))
    driver.wait(3 * SECOND // 2)
    assert {a.request for a in driver.actions(api.Move)} >= {n for n in names if driver.server_of(n) == hung}
    assert all(driver.server_of(n) != hung for n in fill(driver, 5, group="g"))


def test_a_relay_with_few_connections_sheds_them_no_faster_than_one_with_many():
    # If each relay rounds up to one connection a tick, many relays with two each cut half of all at once.
    cut = 0
    for seed in range(40):
        driver = Driver(REPORTS, seed, servers=1)
        fill(driver, 2)
        driver.balancer.ladder.rung = 5
        report(driver, s0=2.0)
        driver.wait(SECOND)
        cut += len(driver.actions(api.Move))
    assert 4 <= cut <= 40  # of 80 connections, at a twentieth each of four ticks


def test_without_reports_the_load_at_which_a_server_turned_slow_bounds_its_groups():
    # Otherwise the server that holds a group takes a whole crowd of it while others are idle.
    driver = Driver(replace(BASE, groups=True), servers=4)
    names = fill(driver, 20, group="g")
    held = driver.server_of(names[0])
    driver.event(api.Note(names[0], 0, held, api.NoteKind.DELAY, 400.0))
    assert all(driver.server_of(n) != held for n in fill(driver, 5, group="g"))


def test_returning_clients_do_not_count_as_demand():
    driver = Driver(servers=4)
    for i in range(40):
        fill(driver, 1, returning=i % 4 > 0)
        driver.wait(50 * MS)
    assert sum(driver.balancer.ladder.estimate.values()) == pytest.approx(5, rel=0.3)


def test_a_tenant_over_its_share_gets_a_bucket_of_lower_worth():
    settings = replace(BASE, tenants=(api.Tenant(open_connections=4), api.Tenant()), over_share_worth=0.1)
    driver = Driver(settings)
    fill(driver, 6, tenant=0)
    assert driver.balancer.requests[fill(driver, 1, tenant=0)[0]].bucket == (0, True)
    assert driver.balancer.requests[fill(driver, 1, tenant=1)[0]].bucket == (0, False)


def test_events_for_unknown_names_are_ignored_and_time_must_not_go_back():
    driver = Driver()
    for event in (
        api.Established("x", 0, "s0", 1),
        api.Outcome("x", 0, "s0", api.Result.OK, 1, True),
        api.Note("x", 0, "s9", api.NoteKind.LOAD, 1.0),
        api.ProbeResult("s9", api.Result.OK, 1),
        api.ClientGone("x"),
    ):
        assert driver.balancer.handle(driver.now, event) == []
    with pytest.raises(ValueError, match="now"):
        driver.balancer.handle(driver.now - 1, api.ClientGone("x"))


INVALID_SETTINGS = [("classes", ()), ("siblings", 0), ("max_attempts", 0), ("cold_share", 0.0), ("warm_after", -1)]


@pytest.mark.parametrize(("field", "value"), INVALID_SETTINGS)
def test_invalid_settings_raise_an_error_that_names_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        replace(BASE, **{field: value})


def test_no_state_is_kept_of_requests_that_have_ended():
    driver = Driver(REPORTS, servers=4)
    for i in range(3000):
        name = fill(driver, 1, group=f"g{i}")[0]
        driver.end(name, api.Result.OK)
        del driver.requests[name]
    driver.members(api.MembershipKind.FULL, entries(1))
    balancer = driver.balancer
    assert not balancer.requests and not balancer.held and list(balancer.servers) == ["s0"]
    assert not balancer.servers["s0"].connections and not balancer.servers["s0"].groups


SCRIPT = """
from driver import Driver
d = Driver()
for i in range(60):
    d.arrive(f"r{i}", i % 2, key=f"k{i % 7}")
    for n in d.pending():
        d.establish(n)
    d.wait(37_000_000)
print(d.performed)
"""


def test_actions_do_not_depend_on_the_hash_seed():
    here = Path(__file__).parent
    seen = set()
    for seed in ("0", "1", "77"):
        env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": f"{here}:{here.parent}"}
        call = [sys.executable, "-c", SCRIPT]
        seen.add(subprocess.run(call, env=env, capture_output=True, text=True, check=True).stdout)
    assert len(seen) == 1


def test_the_same_events_give_the_same_actions():
    def play() -> list[list[api.Action]]:
        balancer = Balancer(REPORTS, 5)
        out = [balancer.handle(1, api.Membership(api.MembershipKind.INITIAL, entries(3)))]
        return out + [balancer.handle(2 + i * 300 * MS, api.Timer(0)) for i in range(20)]

    assert play() == play()


def test_probes_are_paid_for_by_requests_and_go_to_the_candidates_first():
    # Otherwise many relays probe many servers for few clients.
    driver = Driver(replace(REPORTS, probe_price=0.002), servers=60)
    driver.wait(30 * SECOND)
    before = len(driver.actions(api.Probe))
    assert before <= 10
    report(driver, **{a.server: 0.1 for a in driver.actions(api.Probe)})
    for i in range(20):
        driver.arrive(f"r{i}", key=f"k{i}", group=f"k{i}")
        report(driver, **{a.server: 0.1 for a in driver.actions(api.Probe)[before:]})
        driver.wait(2 * SECOND)
    probed = [a.server for a in driver.actions(api.Probe)][before:]
    assert 20 <= len(probed) <= 20 * 2.5 + 1
    tops = {server for i in range(20) for server in ranking(f"k{i}", [f"s{n}" for n in range(60)])[:2]}
    assert sum(1 for server in probed if server in tops) > len(probed) / 2


def test_many_relays_share_the_limit_on_set_ups_under_way():
    # A fixed limit at each of many relays does not bound the crowd that returns when some relays die.
    driver = Driver(replace(BASE, siblings=60), servers=60)
    for i in range(50):
        driver.arrive(f"r{i}", 1, returning=True)
    assert len(driver.pending()) == 2


def test_a_large_fleet_costs_each_request_and_tick_little():
    # Work per tick that grows with the servers of which nothing is known uses up the CPU time of a simulated day.
    driver = Driver(replace(REPORTS, probe_price=0.002, siblings=300), servers=300)
    fill(driver, 20)
    assert len(driver.balancer.tracked) <= 20
    driver.wait(2 * SECOND)
    for name in list(driver.requests):
        driver.end(name, api.Result.CANCELLED)
    driver.wait(10 * SECOND)
    assert not driver.balancer.tracked


def test_under_overload_a_group_is_kept_whole_over_all_zones():
    # A group in every zone costs at a server in each, which is too much when no capacity is left.
    driver = Driver(replace(BASE, groups=True, zone=1, zone_price=0.06, move_price=0.02), servers=0)
    driver.members(api.MembershipKind.FULL, tuple(replace(e, zone=i % 4) for i, e in enumerate(entries(12))))
    top = ranking("g", [f"s{i}" for i in range(12)])
    near = [name for name in top if int(name[1:]) % 4 == 1]
    assert near[0] != top[0]
    driver.arrive("r0", group="g")
    assert driver.server_of("r0") in near
    driver.balancer.ladder.rung = 1
    driver.balancer.ladder.tokens = dict.fromkeys(driver.balancer.ladder.tokens, 9.0)
    driver.arrive("r1", group="h")
    assert driver.server_of("r1") == ranking("h", [f"s{i}" for i in range(12)])[0]


def test_a_retry_that_would_be_held_past_its_deadline_is_answered_at_once():
    # A request is lost if its attempt times out late and its retry is then held because the set-up limit is reached.
    driver = Driver(servers=6)
    driver.arrive("a", 1)
    driver.arrive("b", 1)
    driver.now = driver.requests["a"].deadline - 200 * MS
    driver.balancer.set_up_limit = driver.balancer.min_set_up_limit = 1.0
    driver.arrive("held first", 1)
    driver.end("a", api.Result.TIMEOUT)
    assert driver.requests["a"].over


def refused_on_return(driver: Driver, count: int) -> int:
    """Let clients return whose connections were moved; return how many are refused at once."""
    before = len(driver.actions(api.Refuse))
    fill(driver, count, returning=True)
    return len(driver.actions(api.Refuse)) - before


@pytest.mark.parametrize("restarted", [True, False])
def test_a_restarted_relay_readmits_clients_that_were_connected(restarted):
    # After a restart the estimate has seen no demand, so that the rates of the first rung would refuse nearly all.
    driver = Driver(REPORTS)
    if not restarted:
        driver.event(api.OpenConnection("old", 0, "s1"))
    driver.balancer.ladder.rung = 1
    driver.balancer.ladder._set_rates(driver.now, [1.0, 1.0])
    refused = refused_on_return(driver, 60)
    assert refused < 20 if restarted else refused > 40


def test_a_relay_without_reports_spreads_a_large_group():
    # After a restart, the largest group would fill one server before the first report arrives.
    driver = Driver(REPORTS)
    fill(driver, 40, group="sheet-7")
    held = sorted(len(s.connections) for s in driver.balancer.servers.values())
    assert held[-1] <= 24 and held[-2] >= 6
    small = Driver(REPORTS)
    fill(small, 5, group="sheet-7")
    assert max(len(s.connections) for s in small.balancer.servers.values()) == 5, "a small group stays together"


def test_all_servers_are_probed_at_the_first_tick():
    # Otherwise clients are placed without any report for a probe interval, 1.5 s, after a restart.
    driver = Driver(REPORTS)
    driver.wait(SECOND // 4)
    assert {probe.server for probe in driver.actions(api.Probe)} == {"s0", "s1", "s2", "s3"}


def open_connections(driver: Driver, server: str, count: int, **fields: object) -> list[str]:
    """Report connections that were open at one server before the start, each with a load."""
    names = [f"{server}-{i}" for i in range(count)]
    for name in names:
        driver.requests[name] = request = ClientRequest(0, 0)
        request.established = True
        driver.event(api.OpenConnection(name, 0, server, group=f"g-{name}", **fields))
        driver.event(api.Note(name, 0, server, api.NoteKind.LOAD, 30_000.0))
    return names


def test_one_broken_connection_does_not_make_its_server_suspect():
    # Otherwise one reset takes a sound server out of rotation for a second or more and scatters its groups.
    driver = Driver(REPORTS)
    first, second, *_ = open_connections(driver, "s1", 5)
    driver.wait(2 * SECOND)
    for name, suspected in ((first, False), (second, True)):
        driver.requests[name].attempts = [SentAttempt(driver.listed["s1"], driver.now, driver.now)]
        driver.end(name, api.Result.RESET)
        assert bool(driver.balancer.servers["s1"].suspect_until > driver.now) is suspected


@pytest.mark.parametrize("broke", [api.Result.RESET, api.Result.CONNECT_FAILED])
def test_one_broken_set_up_does_not_make_a_server_with_open_connections_suspect(broke):
    # Otherwise each new connection that breaks scatters the groups of its server over others for a second.
    driver = Driver(REPORTS, servers=1)
    driver.arrive("alone")
    driver.end("alone", broke)
    assert driver.balancer.servers["s0"].suspect_until > driver.now, "no other connection is open: it may be gone"
    driver = Driver(REPORTS, servers=2)
    server = driver.balancer.servers["s1"]
    open_connections(driver, "s1", 5)
    driver.members(api.MembershipKind.CHANGES, (replace(driver.listed["s0"], state=api.ServerState.DRAINING),))
    driver.arrive("first")
    driver.end("first", broke)
    assert server.suspect_until == 0
    while not server.suspect_until and driver.pending():
        driver.end(driver.pending()[0], broke)
    assert server.suspect_until > driver.now, "a second failure in a row makes it suspect"


def test_the_load_index_covers_ready_servers_only():
    # The load of a failing server, which gets no new connections, must not cause refusals while others have room.
    driver = Driver(REPORTS, servers=2)
    report(driver, s0=1.6, s1=0.3)
    ladder = driver.balancer.ladder
    driver.balancer._sample_index()
    assert ladder.index_sum == pytest.approx(65.0)
    driver.balancer._record_failure(driver.balancer.servers["s0"])
    ladder.index_sum = 0.0
    driver.balancer._sample_index()
    assert ladder.index_sum == pytest.approx(30.0)


def test_a_server_that_sends_its_clients_away_is_avoided_before_the_list_says_it_drains():
    # Clients sent back to a draining server are accepted there but get no answer.
    driver = Driver(REPORTS)
    names = open_connections(driver, "s1", 8)
    server = driver.balancer.servers["s1"]

    def ends(name: str) -> bool:
        driver.requests[name].attempts = [SentAttempt(driver.listed["s1"], driver.now, driver.now)]
        driver.end(name, api.Result.CANCELLED)
        return driver.balancer._is_suspect(server)

    for name in names[:3]:
        assert not ends(name), "clients that leave one by one are no sign of a drain"
        driver.wait(SECOND // 4)
    driver.wait(SECOND)
    assert [ends(name) for name in names[3:]] == [False, False, True, True, True]
    fill(driver, 12)
    assert "s1" not in {send.server for send in driver.actions(api.Send)}
    driver.members(api.MembershipKind.CHANGES, (replace(driver.listed["s1"], started=driver.now),))
    assert not driver.balancer._is_suspect(server), "a new process is not suspect"


def test_a_silent_connection_is_moved_without_making_its_server_suspect():
    driver = Driver(REPORTS)
    name, *others = open_connections(driver, "s1", 5)
    driver.event(api.Note(name, 0, "s1", api.NoteKind.SILENT, 1100.0))
    assert [move.request for move in driver.actions(api.Move)] == [name]
    driver.wait(SECOND)
    assert not driver.balancer.servers["s1"].failures and len(driver.actions(api.Move)) == 1


def test_a_report_counts_for_the_load_at_the_time_it_was_made():
    # A report that is older than recent moves must not cause more moves from the same server.
    driver = Driver(REPORTS)
    names = open_connections(driver, "s1", 10)
    report(driver, s1=1.0)
    driver.wait(SECOND)
    for name in names[:5]:
        driver.event(api.Note(name, 0, "s1", api.NoteKind.SILENT, 1100.0))
        driver.requests[name].attempts = [SentAttempt(driver.listed["s1"], driver.now, driver.now)]
        driver.end(name, api.Result.CANCELLED)
    report(driver, s1=1.0)  # made before those connections left
    server = driver.balancer.servers["s1"]
    assert driver.balancer.utilisation(server) == pytest.approx(0.5, abs=0.1)
    driver.wait(SECOND)
    report(driver, s1=0.5)
    assert driver.balancer.utilisation(server) == pytest.approx(0.5, abs=0.05)


def test_a_capacity_is_learned_only_once_a_load_is_known():
    # After a restart during service, reports arrive before any load is known. With each connection counted as 1, the
    # learned capacity is 10,000 times too small, and every server seems overloaded thousands of times.
    driver = Driver(REPORTS)
    report(driver, s1=0.5)
    assert driver.balancer.unit_capacity == 0
    names = fill(driver, 4)
    for name in names:
        driver.event(api.Note(name, 0, driver.server_of(name), api.NoteKind.LOAD, 30_000.0))
    report(driver, s0=0.5, s1=0.5, s2=0.5, s3=0.5)
    fill(driver, 8)
    utilisations = [driver.balancer.utilisation(s) for s in driver.balancer.servers.values()]
    assert all(0.5 <= u <= 1.0 for u in utilisations) and driver.balancer.unit_capacity > 100_000


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.name)
def test_a_capacity_is_learned_and_a_cold_server_is_used_whatever_reports_contain(site: Site):
    # If no capacity is learned from reports that do not count connections, placement ignores those reports, and a
    # server that has just started gets nothing until it is warm.
    settings = msgspec.convert(site.settings, Document, strict=False).settings()
    driver = Driver(settings)
    values = tuple(
        {api.Field.UTILISATION: 0.5, api.Field.INFLIGHT: 10.0 * settings.siblings}.get(f, 0.0)
        for f in settings.report_fields
    )
    for server in driver.listed:
        open_connections(driver, server, 10)
        driver.event(api.ProbeResult(server, api.Result.OK, MS, values))
    # Ten connections of load 30,000 of this relay, as many of each other one, and half of the capacity used.
    assert driver.balancer.unit_capacity == pytest.approx(2 * settings.siblings * 300_000, rel=0.01)
    driver.wait(2 * SECOND)
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    for turn in range(200):
        driver.event(api.ProbeResult("new", api.Result.OK, MS, (0.0,) * len(values)))
        fill(driver, 1, group=f"n{turn}")
        driver.wait(SECOND // 20)
        for name in driver.pending():  # requests that waited for a slot
            driver.establish(name)
    got = sum(isinstance(a, api.Send) and a.server == "new" for _, a in driver.performed)
    assert got >= 5, f"{got} of 200 went to the new server while it was cold"


@pytest.mark.parametrize(
    ("utilisation", "cold_server", "stays"), [(0.95, False, True), (1.15, False, False), (0.95, True, False)]
)
def test_a_group_keeps_to_its_server_up_to_a_bound_over_the_mean(utilisation: float, cold_server: bool, stays: bool):
    # Each pair of group and server costs, so groups must not be scattered over all servers where all have much load;
    # nor may they be kept at overloaded servers while one that has just started has room.
    driver = Driver(REPORTS, servers=4)
    if cold_server:
        driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    order = ranking("g", ["s0", "s1", "s2", "s3"])
    for server in order:
        open_connections(driver, server, 10)
    driver.arrive("first", group="g")
    driver.establish("first")
    home = driver.server_of("first")
    for _ in range(5):
        report(driver, **{server: utilisation if server == home else 0.8 for server in order})
        driver.wait(SECOND // 4)
    driver.balancer.ladder.rung = 0
    taken = set[str]()
    # A new server gets a connection of the group when a slot opens there, within three overload windows.
    for turn in range(36 if cold_server else 1):
        report(driver, **{server: utilisation if server == home else 0.8 for server in order})
        driver.arrive(f"second{turn}", group="g")
        driver.balancer.ladder.rung = 0
        taken |= {driver.server_of(name) for name in driver.pending()}
        for name in driver.pending():
            driver.establish(name)
        driver.wait(cold_server * SECOND // 4)
    assert ("new" in taken) is cold_server and (home in taken) is (stays or cold_server), taken


def test_a_saturated_server_loses_first_the_groups_it_holds_least_of():
    # Moving a large group away while single connections of other groups stay costs more than it helps.
    driver = Driver(REPORTS, servers=4)
    for server in driver.listed:
        open_connections(driver, server, 10)
    # The large group would be the first to go in the order that all relays share.
    large = min((f"g{i}" for i in range(50)), key=lambda g: pair_hash(digest(g), digest("s1")))
    for i in range(20):
        name = f"big{i}" if i < 16 else f"stray{i}"
        driver.requests[name] = _open_connection(driver, "s1")
        driver.event(api.OpenConnection(name, 0, "s1", group=large if i < 16 else name))
    report(driver, **{f"s{i}": 1.5 if i == 1 else 0.2 for i in range(4)})
    driver.wait(SECOND)
    moved = [a.request for a in driver.actions(api.Move)]
    assert moved and not any(name.startswith("big") for name in moved), moved


def test_a_longer_backlog_moves_more_clients_while_other_servers_have_room():
    # Clients earn nothing for seconds if only a few at a time are moved away from a backlog.
    moved = {}
    for delay in (60.0, 1200.0):
        driver = Driver(REPORTS, servers=8)
        names = open_connections(driver, "s1", 40)
        report(driver, **{f"s{i}": 1.0 if i == 1 else 0.2 for i in range(8)})
        for _ in range(4):
            driver.event(api.Note(names[-1], 0, "s1", api.NoteKind.DELAY, delay))
            driver.wait(SECOND // 4)
        moved[delay] = len(driver.actions(api.Move))
    assert moved[1200.0] >= 14 and moved[1200.0] >= 2 * moved[60.0]
