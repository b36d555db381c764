"""Placement, health, attempts, membership and moves: one failure found, one test."""

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from driver import BASE, MS, SECOND, Driver, Job, Try, entries
from sites import SITES, Site

from scaledeal import interface as api
from scaledeal.policy import Balancer, Server, digest, pair_hash, rendezvous
from scaledeal.settings import Document

REPORTS = replace(
    BASE,
    may_probe=True,
    report_source=api.Source.PROBES,
    groups=True,
    report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
)


def ranking(key: str, names: list[str]) -> list[str]:
    return [s.id for s in rendezvous(key, [Server(name, [0], digest(name)) for name in names])]


def report(driver: Driver, **asked: float) -> None:
    for server, value in asked.items():
        driver.event(api.ProbeResult(server, api.Result.OK, MS, (value, 10.0)))


def fill(driver: Driver, count: int, **more: object) -> list[str]:
    names = [f"f{len(driver.jobs)}-{i}" for i in range(count)]
    for name in names:
        driver.arrive(name, **more)
        if name in driver.out():
            driver.establish(name)
    return names


def test_the_ranking_is_the_same_everywhere():
    assert ranking("board-7", ["a:1", "b:2", "c:3", "d:4"]) == PINNED


PINNED = ["b:2", "c:3", "a:1", "d:4"]


def test_a_server_that_leaves_disturbs_only_its_own_keys():
    names = [f"s{i}" for i in range(8)]
    for key in map(str, range(200)):
        before = ranking(key, names)
        assert ranking(key, [n for n in names if n != "s3"]) == [n for n in before if n != "s3"]


def test_without_groups_the_less_loaded_of_the_top_two_is_taken():
    driver = Driver(servers=6)
    for name in fill(driver, 30, key="one"):
        assert driver.server_of(name) in ranking("one", [f"s{i}" for i in range(6)])[:2]
    used = [driver.server_of(n) for n in driver.jobs]
    assert abs(used.count(used[0]) - 15) <= 1


def test_a_new_version_places_a_group_where_the_old_one_holds_it():
    names = [f"s{i}" for i in range(6)]
    far = ranking("map", names)[4]
    driver = Driver(replace(REPORTS, zone_price=0.0), servers=6)
    for number in range(5):
        driver.event(api.OpenConnection(f"old-{number}", 0, far, group="map", inherited=True))
        driver.event(api.Note(f"old-{number}", 0, far, api.NoteKind.LOAD, 900.0))
    assert not driver.balancer.took_over_open, "clients that come back are let in as after a restart"
    driver.arrive("r", key="x", group="map")
    assert driver.server_of("r") == far
    assert driver.balancer.unit_capacity == 0.0
    report(driver, **{far: 0.5})
    assert driver.balancer.unit_capacity, "the capacity is learned from the first report on"


def test_a_slow_server_is_not_filled_as_if_it_were_like_the_others():
    driver = Driver(replace(REPORTS, groups=False), servers=4)
    [first] = fill(driver, 1)
    server = driver.server_of(first)
    driver.event(api.Note(first, 0, server, api.NoteKind.LOAD, 1000.0))
    for _ in range(60):
        report(driver, s0=0.6, s1=0.2, s2=0.2, s3=0.2)  # each holds ten: s0 can do a third of what others can
    balancer = driver.balancer
    before = {name: balancer.utilisation(balancer.servers[name]) for name in ("s0", "s1")}
    for name in before:
        for number in range(5):
            driver.event(api.OpenConnection(f"{name}-{number}", 0, name, load_hint=1000.0))
    grew = {name: balancer.utilisation(balancer.servers[name]) - was for name, was in before.items()}
    assert grew["s0"] > 2 * grew["s1"] > 0
    # Guards against a server that looks fast, for few connections, being trusted with more than most can do.
    assert grew["s1"] >= 5 * 1000.0 / balancer.unit_capacity * 0.99


def test_out_of_rotation_are_those_that_no_new_connection_goes_to():
    driver = Driver(REPORTS, servers=4)
    assert driver.balancer.rotation_counts() == (4, 0)
    driver.event(api.ProbeResult("s0", api.Result.TIMEOUT, MS))
    assert driver.balancer.rotation_counts() == (4, 1)
    driver.members(api.MembershipKind.CHANGES, entries(2, state=api.ServerState.DRAINING)[1:])
    assert driver.balancer.rotation_counts() == (4, 2), "one is suspected, one drains"
    new = api.ServerEntry("s9", started=driver.now)
    driver.members(api.MembershipKind.CHANGES, (new,))
    assert driver.balancer.rotation_counts() == (5, 3), "cold, and no estimate yet of what it can take"
    used = {driver.server_of(name) for name in fill(driver, 30)}
    assert used == {"s2", "s3"}
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("s1", state=api.ServerState.GONE),))
    assert driver.balancer.rotation_counts() == (4, 2)
    for name in ("s2", "s3", "s9"):
        driver.members(api.MembershipKind.CHANGES, (api.ServerEntry(name, state=api.ServerState.GONE),))
    # Guards against a figure that says all are avoided while the last suspect serves.
    assert driver.balancer.rotation_counts() == (1, 0)


def test_a_mid_flow_connection_goes_to_its_top_server_unchecked():
    driver = Driver(servers=6)
    top = ranking("one", [f"s{i}" for i in range(6)])[0]
    for i in range(10):
        driver.arrive(f"r{i}", key="one", mid_flow=True)
        assert driver.server_of(f"r{i}") == top


def test_a_group_stays_whole_where_it_is_held():
    # Guards against paying for a group at two servers.
    driver = Driver(replace(BASE, groups=True), servers=6)
    held = ranking("g", [f"s{i}" for i in range(6)])[3]
    for i in range(3):
        driver.jobs[f"o{i}"] = _standing(driver, held)
        driver.event(api.OpenConnection(f"o{i}", 0, held, key=f"k{i}", group="g"))
    names = [fill(driver, 1, key=f"n{i}", group="g")[0] for i in range(5)]
    assert {driver.server_of(n) for n in names} == {held}


def _standing(driver: Driver, server: str):
    from driver import Job, Try

    return Job(0, 0, [Try(driver.list[server], driver.now, 0)], stands=True)


def test_a_crowded_server_is_passed_over():
    # Guards against a group that fills its first servers while others stand idle.
    driver = Driver(REPORTS, servers=4)
    order = ranking("g", ["s0", "s1", "s2", "s3"])
    report(driver, **{order[0]: 0.9, order[1]: 0.9, order[2]: 0.2, order[3]: 0.2})
    driver.arrive("r", group="g")
    assert driver.server_of("r") == order[2]


def test_a_silent_server_leaves_and_returns_by_one_trial():
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
        trials += [n for n in driver.out() if driver.server_of(n) == first and n not in trials]
        for name in driver.out():
            if driver.server_of(name) != first:
                driver.establish(name)
    assert len(trials) == 1
    driver.establish(trials[0])
    assert any(driver.server_of(n) == first for n in fill(driver, 40))


def test_trouble_everywhere_ejects_no_more_than_a_third():
    driver = Driver(servers=6)
    for i in range(30):
        driver.arrive(f"r{i}")
        while f"r{i}" in driver.out():
            driver.end(f"r{i}", api.Result.ERROR)
    suspected = [line for line in driver.log if "suspected" in line]
    assert 1 <= len(suspected) <= 2


def test_a_herd_is_let_in_a_few_at_a_time_and_answered_in_time():
    # Guards against a dead gateway's clients all coming at once.
    driver = Driver(servers=6)
    for i in range(300):
        driver.arrive(f"r{i}", 1, returning=True)
    assert len(driver.out()) <= 12
    while driver.out():
        driver.establish(driver.out()[0])
    assert all(job.stands for job in driver.jobs.values())


def test_no_server_at_all_holds_then_refuses_in_time():
    driver = Driver(servers=0)
    driver.arrive("r")
    assert driver.actions(api.Refuse) == []
    driver.wait(3 * SECOND)
    assert [a.request for a in driver.actions(api.Refuse)] == ["r"]
    driver.arrive("late")
    driver.members(api.MembershipKind.FULL, entries(2))
    assert driver.out() == ["late"]


def test_a_lost_watch_is_asked_for_again_with_jitter_and_the_list_is_kept():
    gaps = set()
    for seed in range(5):
        driver = Driver(replace(BASE, ask_discovery=True), seed)
        assert len(driver.actions(api.Watch)) == 1
        lost = driver.now
        driver.event(api.Membership(api.MembershipKind.LOST))
        driver.wait(5 * SECOND)
        asked = [at for at, a in driver.seen if isinstance(a, api.Watch)]
        assert len(asked) == 2
        gaps.add(asked[1] - lost)
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


def test_overload_everywhere_cuts_least_worth_for_its_load_once_the_ladder_polices():
    # Guards against overload that outlives the ladder's refusals.
    driver = Driver(REPORTS, servers=2)
    names = [n for i in range(20) for n in fill(driver, 1, cls=i % 2, group=f"g{i % 3}")]
    for _ in range(8):
        report(driver, s0=2.0, s1=2.0)
        driver.wait(SECOND // 2)
    assert driver.balancer.ladder.rung > 0
    cut = [names.index(a.request) % 2 for a in driver.actions(api.Move)]
    assert cut and sum(cut[:4]) == 4


def test_clients_are_moved_before_their_server_leaves():
    # Guards against clients cut off without a word: a server may leave without sending them away.
    driver = Driver(servers=4)
    names = fill(driver, 12)
    leaving = driver.server_of(names[0])
    staying = {n for n in names if driver.server_of(n) != leaving}
    draining = replace(driver.list[leaving], state=api.ServerState.DRAINING)
    driver.members(api.MembershipKind.CHANGES, (draining,))
    driver.wait(SECOND // 2)
    assert not driver.actions(api.Move)
    driver.wait(SECOND)
    moved = [a.request for a in driver.actions(api.Move)]
    assert sorted(moved) == sorted(set(names) - staying) and moved


def test_a_server_that_answers_nothing_loses_its_clients_within_seconds():
    # Guards against clients left for seconds at a server that hangs, as it does not look asked too much.
    driver = Driver(REPORTS, servers=4)
    names = fill(driver, 12, group="g")
    hung = driver.server_of(names[0])
    report(driver, **{f"s{i}": 0.3 for i in range(4)})
    driver.event(api.Note(names[0], 0, hung, api.NoteKind.DELAY, 2250.0))
    driver.wait(3 * SECOND // 2)
    assert {a.request for a in driver.actions(api.Move)} >= {n for n in names if driver.server_of(n) == hung}
    assert all(driver.server_of(n) != hung for n in fill(driver, 5, group="g"))


def test_a_gateway_with_few_connections_cuts_them_no_faster_than_one_with_many():
    # Guards against many gateways with two connections each all rounding up to one a tick.
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
    # Guards against a holder that takes a whole herd while its neighbours stand idle.
    driver = Driver(replace(BASE, groups=True), servers=4)
    names = fill(driver, 20, group="g")
    held = driver.server_of(names[0])
    driver.event(api.Note(names[0], 0, held, api.NoteKind.DELAY, 400.0))
    assert all(driver.server_of(n) != held for n in fill(driver, 5, group="g"))


def test_returning_clients_are_no_new_demand():
    driver = Driver(servers=4)
    for i in range(40):
        fill(driver, 1, returning=i % 4 > 0)
        driver.wait(50 * MS)
    assert sum(driver.balancer.ladder.estimate.values()) == pytest.approx(5, rel=0.3)


def test_a_tenant_over_its_share_is_policed_as_low_worth():
    settings = replace(BASE, tenants=(api.Tenant(open_connections=4), api.Tenant()), over_share_worth=0.1)
    driver = Driver(settings)
    fill(driver, 6, tenant=0)
    assert driver.balancer.requests[fill(driver, 1, tenant=0)[0]].bucket == (0, True)
    assert driver.balancer.requests[fill(driver, 1, tenant=1)[0]].bucket == (0, False)


def test_unknown_things_are_ignored_and_time_may_not_go_back():
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


BAD = [("classes", ()), ("siblings", 0), ("max_attempts", 0), ("cold_share", 0.0), ("warm_after", -1)]


@pytest.mark.parametrize(("field", "value"), BAD)
def test_settings_that_cannot_be_worked_with_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        replace(BASE, **{field: value})


def test_nothing_is_kept_of_what_is_over():
    driver = Driver(REPORTS, servers=4)
    for i in range(3000):
        name = fill(driver, 1, group=f"g{i}")[0]
        driver.end(name, api.Result.OK)
        del driver.jobs[name]
    driver.members(api.MembershipKind.FULL, entries(1))
    balancer = driver.balancer
    assert not balancer.requests and not balancer.held and list(balancer.servers) == ["s0"]
    assert not balancer.servers["s0"].connections and not balancer.servers["s0"].groups


SCRIPT = """
from driver import Driver
d = Driver()
for i in range(60):
    d.arrive(f"r{i}", i % 2, key=f"k{i % 7}")
    for n in d.out():
        d.establish(n)
    d.wait(37_000_000)
print(d.seen)
"""


def test_the_hash_seed_of_the_process_changes_nothing():
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
    # Guards against many gateways probing many servers for few clients.
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


def test_many_gateways_share_the_set_ups_under_way():
    # Guards against the returning clients of dead gateways: a fixed window at each of many is no bound.
    driver = Driver(replace(BASE, siblings=60), servers=60)
    for i in range(50):
        driver.arrive(f"r{i}", 1, returning=True)
    assert len(driver.out()) == 2


def test_a_large_fleet_costs_each_request_and_tick_little():
    # Guards against a day cut off for CPU: work a tick must not grow with servers nothing is known of.
    driver = Driver(replace(REPORTS, probe_price=0.002, siblings=300), servers=300)
    fill(driver, 20)
    assert len(driver.balancer.tracked) <= 20
    driver.wait(2 * SECOND)
    for name in list(driver.jobs):
        driver.end(name, api.Result.CANCELLED)
    driver.wait(10 * SECOND)
    assert not driver.balancer.tracked


def test_under_overload_a_group_is_kept_whole_over_all_zones():
    # Guards against a group in every zone, each paying for it, when there is no capacity to spare.
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


def test_a_repeat_that_would_be_held_past_its_time_is_answered_at_once():
    # Guards against a lost request: its attempt timed out late, and the window was full of others.
    driver = Driver(servers=6)
    driver.arrive("a", 1)
    driver.arrive("b", 1)
    driver.now = driver.jobs["a"].deadline - 200 * MS
    driver.balancer.set_up_limit = driver.balancer.min_set_up_limit = 1.0
    driver.arrive("held first", 1)
    driver.end("a", api.Result.TIMEOUT)
    assert driver.jobs["a"].over


def returned(driver: Driver, count: int) -> int:
    """Let clients come whose connections were moved; return how many are refused at once."""
    before = len(driver.actions(api.Refuse))
    fill(driver, count, returning=True)
    return len(driver.actions(api.Refuse)) - before


@pytest.mark.parametrize("restarted", [True, False])
def test_a_gateway_just_restarted_takes_back_who_stood_there(restarted):
    # Guards against a restart after which the first rung refuses nearly all: the estimate knew no demand.
    driver = Driver(REPORTS)
    if not restarted:
        driver.event(api.OpenConnection("old", 0, "s1"))
    driver.balancer.ladder.rung = 1
    driver.balancer.ladder._set_rates(driver.now, [1.0, 1.0])
    refused = returned(driver, 60)
    assert refused < 20 if restarted else refused > 40


def test_a_gateway_without_reports_yet_spreads_a_group():
    # Guards against a restart that puts the largest group on one server before a report has come back.
    driver = Driver(REPORTS)
    fill(driver, 40, group="sheet-7")
    held = sorted(len(s.connections) for s in driver.balancer.servers.values())
    assert held[-1] <= 24 and held[-2] >= 6
    small = Driver(REPORTS)
    fill(small, 5, group="sheet-7")
    assert max(len(s.connections) for s in small.balancer.servers.values()) == 5, "a small group stays together"


def test_all_servers_are_probed_at_the_first_tick():
    # Guards against placing a second and a half of clients by nothing after a restart.
    driver = Driver(REPORTS)
    driver.wait(SECOND // 4)
    assert {probe.server for probe in driver.actions(api.Probe)} == {"s0", "s1", "s2", "s3"}


def standing(driver: Driver, server: str, count: int, **more: object) -> list[str]:
    """Have connections stand at one server from before the start."""
    names = [f"{server}-{i}" for i in range(count)]
    for name in names:
        driver.jobs[name] = job = Job(0, 0)
        job.stands = True
        driver.event(api.OpenConnection(name, 0, server, group=f"g-{name}", **more))
        driver.event(api.Note(name, 0, server, api.NoteKind.LOAD, 30_000.0))
    return names


def test_a_connection_that_breaks_alone_leaves_no_server_out():
    # Guards against a sound server left out for a second or more, and its groups scattered, for one reset.
    driver = Driver(REPORTS)
    first, second, *_ = standing(driver, "s1", 5)
    driver.wait(2 * SECOND)
    for name, suspected in ((first, False), (second, True)):
        driver.jobs[name].tries = [Try(driver.list["s1"], driver.now, driver.now)]
        driver.end(name, api.Result.RESET)
        assert bool(driver.balancer.servers["s1"].suspect_until > driver.now) is suspected


@pytest.mark.parametrize("broke", [api.Result.RESET, api.Result.CONNECT_FAILED])
def test_one_broken_set_up_leaves_no_server_out_whose_connections_stand(broke):
    # Guards against groups scattered over others for a second each time that one new connection breaks.
    driver = Driver(REPORTS, servers=1)
    driver.arrive("alone")
    driver.end("alone", broke)
    assert driver.balancer.servers["s0"].suspect_until > driver.now, "nothing else stands: it may be gone"
    driver = Driver(REPORTS, servers=2)
    server = driver.balancer.servers["s1"]
    standing(driver, "s1", 5)
    driver.members(api.MembershipKind.CHANGES, (replace(driver.list["s0"], state=api.ServerState.DRAINING),))
    driver.arrive("first")
    driver.end("first", broke)
    assert server.suspect_until == 0
    while not server.suspect_until and driver.out():
        driver.end(driver.out()[0], broke)
    assert server.suspect_until > driver.now, "the second in a row speaks against it"


def test_the_index_is_of_servers_that_are_ready():
    # Guards against refusals for a failing server that gets nothing new: the others have room.
    driver = Driver(REPORTS, servers=2)
    report(driver, s0=1.6, s1=0.3)
    ladder = driver.balancer.ladder
    driver.balancer._sample_index()
    assert ladder.index_sum == pytest.approx(65.0)
    driver.balancer._record_failure(driver.balancer.servers["s0"])
    ladder.index_sum = 0.0
    driver.balancer._sample_index()
    assert ladder.index_sum == pytest.approx(30.0)


def test_a_server_that_sends_its_clients_away_is_left_out_before_the_list_tells():
    # Guards against clients sent back to a server that drains: it takes them and answers none.
    driver = Driver(REPORTS)
    names = standing(driver, "s1", 8)
    server = driver.balancer.servers["s1"]

    def ends(name: str) -> bool:
        driver.jobs[name].tries = [Try(driver.list["s1"], driver.now, driver.now)]
        driver.end(name, api.Result.CANCELLED)
        return driver.balancer._is_suspect(server)

    for name in names[:3]:
        assert not ends(name), "clients that leave one by one"
        driver.wait(SECOND // 4)
    driver.wait(SECOND)
    assert [ends(name) for name in names[3:]] == [False, False, True, True, True]
    fill(driver, 12)
    assert "s1" not in {send.server for send in driver.actions(api.Send)}
    driver.members(api.MembershipKind.CHANGES, (replace(driver.list["s1"], started=driver.now),))
    assert not driver.balancer._is_suspect(server), "a new process"


def test_a_silent_connection_is_moved_and_its_server_is_not_blamed():
    driver = Driver(REPORTS)
    name, *others = standing(driver, "s1", 5)
    driver.event(api.Note(name, 0, "s1", api.NoteKind.SILENT, 1100.0))
    assert [move.request for move in driver.actions(api.Move)] == [name]
    driver.wait(SECOND)
    assert not driver.balancer.servers["s1"].failures and len(driver.actions(api.Move)) == 1


def test_a_report_is_taken_for_the_load_of_the_moment_it_tells_of():
    # Guards against clients moved on and on from a server whose report is older than their moves.
    driver = Driver(REPORTS)
    names = standing(driver, "s1", 10)
    report(driver, s1=1.0)
    driver.wait(SECOND)
    for name in names[:5]:
        driver.event(api.Note(name, 0, "s1", api.NoteKind.SILENT, 1100.0))
        driver.jobs[name].tries = [Try(driver.list["s1"], driver.now, driver.now)]
        driver.end(name, api.Result.CANCELLED)
    report(driver, s1=1.0)  # it left the server before they did
    server = driver.balancer.servers["s1"]
    assert driver.balancer.utilisation(server) == pytest.approx(0.5, abs=0.1)
    driver.wait(SECOND)
    report(driver, s1=0.5)
    assert driver.balancer.utilisation(server) == pytest.approx(0.5, abs=0.05)


def test_a_capacity_is_learned_in_the_unit_of_loads_only():
    # Guards against a restart amid the service: reports come before any load is told, and connections counted
    # as 1 gave a capacity 10,000 times too small: every server seemed asked thousands of times too much.
    driver = Driver(REPORTS)
    report(driver, s1=0.5)
    assert driver.balancer.unit_capacity == 0
    names = fill(driver, 4)
    for name in names:
        driver.event(api.Note(name, 0, driver.server_of(name), api.NoteKind.LOAD, 30_000.0))
    report(driver, s0=0.5, s1=0.5, s2=0.5, s3=0.5)
    fill(driver, 8)
    asked = [driver.balancer.utilisation(s) for s in driver.balancer.servers.values()]
    assert all(0.5 <= each <= 1.0 for each in asked) and driver.balancer.unit_capacity > 100_000


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.name)
def test_a_capacity_is_learned_and_a_newcomer_gets_turns_whatever_reports_tell(site: Site):
    # Guards against reports that count no connections: no capacity was ever learned from them, so that reports
    # went unread in placing and a server that had just started was left idle until it was warm.
    settings = msgspec.convert(site.settings, Document, strict=False).settings()
    driver = Driver(settings)
    told = tuple(
        {api.Field.UTILISATION: 0.5, api.Field.INFLIGHT: 10.0 * settings.siblings}.get(f, 0.0)
        for f in settings.report_fields
    )
    for server in driver.list:
        standing(driver, server, 10)
        driver.event(api.ProbeResult(server, api.Result.OK, MS, told))
    # Ten connections of 30,000 of this gateway, as many of each other one, and half of the capacity used.
    assert driver.balancer.unit_capacity == pytest.approx(2 * settings.siblings * 300_000, rel=0.01)
    driver.wait(2 * SECOND)
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    for turn in range(200):
        driver.event(api.ProbeResult("new", api.Result.OK, MS, (0.0,) * len(told)))
        fill(driver, 1, group=f"n{turn}")
        driver.wait(SECOND // 20)
        for name in driver.out():  # those that waited for a slot
            driver.establish(name)
    got = sum(isinstance(a, api.Send) and a.server == "new" for _, a in driver.seen)
    assert got >= 5, f"{got} of 200 went to the newcomer while it was cold"


@pytest.mark.parametrize(
    ("asked", "newcomer", "stays"), [(0.95, False, True), (1.15, False, False), (0.95, True, False)]
)
def test_a_group_keeps_to_its_server_up_to_a_bound_over_the_mean(asked: float, newcomer: bool, stays: bool):
    # Guards against groups scattered over all servers where all are asked much: each pair of group and server costs;
    # and against groups kept at hot servers while one that has just started has room.
    driver = Driver(REPORTS, servers=4)
    if newcomer:
        driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    order = ranking("g", ["s0", "s1", "s2", "s3"])
    for server in order:
        standing(driver, server, 10)
    driver.arrive("first", group="g")
    driver.establish("first")
    home = driver.server_of("first")
    for _ in range(5):
        report(driver, **{server: asked if server == home else 0.8 for server in order})
        driver.wait(SECOND // 4)
    driver.balancer.ladder.rung = 0
    taken = set[str]()
    # A newcomer takes one of the group as soon as a slot opens there, within three windows of overload.
    for turn in range(36 if newcomer else 1):
        report(driver, **{server: asked if server == home else 0.8 for server in order})
        driver.arrive(f"second{turn}", group="g")
        driver.balancer.ladder.rung = 0
        taken |= {driver.server_of(name) for name in driver.out()}
        for name in driver.out():
            driver.establish(name)
        driver.wait(newcomer * SECOND // 4)
    assert ("new" in taken) is newcomer and (home in taken) is (stays or newcomer), taken


def test_a_saturated_server_loses_first_the_groups_it_holds_least_of():
    # Guards against the cost of a whole group paid for a straggler, while a large one is sent away.
    driver = Driver(REPORTS, servers=4)
    for server in driver.list:
        standing(driver, server, 10)
    # The large one is the first to go by the order that all gateways share.
    large = min((f"g{i}" for i in range(50)), key=lambda g: pair_hash(digest(g), digest("s1")))
    for i in range(20):
        name = f"big{i}" if i < 16 else f"stray{i}"
        driver.jobs[name] = _standing(driver, "s1")
        driver.event(api.OpenConnection(name, 0, "s1", group=large if i < 16 else name))
    report(driver, **{f"s{i}": 1.5 if i == 1 else 0.2 for i in range(4)})
    driver.wait(SECOND)
    moved = [a.request for a in driver.actions(api.Move)]
    assert moved and not any(name.startswith("big") for name in moved), moved


def test_a_backlog_is_worked_off_sooner_while_the_others_have_room():
    # Guards against clients that earn nothing for seconds while a few at a time are moved.
    moved = {}
    for delay in (60.0, 1200.0):
        driver = Driver(REPORTS, servers=8)
        names = standing(driver, "s1", 40)
        report(driver, **{f"s{i}": 1.0 if i == 1 else 0.2 for i in range(8)})
        for _ in range(4):
            driver.event(api.Note(names[-1], 0, "s1", api.NoteKind.DELAY, delay))
            driver.wait(SECOND // 4)
        moved[delay] = len(driver.actions(api.Move))
    assert moved[1200.0] >= 14 and moved[1200.0] >= 2 * moved[60.0]
