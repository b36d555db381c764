"""Many relays at once: limits that one relay keeps easily and that forty together can exceed."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from driver import BASE, MS, SECOND, ClientRequest, Driver, SentAttempt, entries

from scaledeal import interface as api
from scaledeal.policy import MAX_WAITING_REQUESTS, Balancer

RELAY_COUNT = 40
FULL_SERVER_CONNECTIONS = 40.0  # connections that fill a warm server
SETTINGS = replace(
    BASE,
    siblings=RELAY_COUNT,
    may_probe=True,
    report_source=api.Source.PROBES,
    probe_price=0.0029,
    report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
    cold_share=0.3,
    warm_after=9 * SECOND,
    overload_factor=3.0,
    overload_window=SECOND,
)


def fleet(settings: api.Settings = SETTINGS, count: int = RELAY_COUNT, **driver_options: int) -> list[Driver]:
    drivers = [Driver(replace(settings, me=me, siblings=count), seed=me, **driver_options) for me in range(count)]
    for driver in drivers:
        give_load_and_reports(driver)
    return drivers


def give_load_and_reports(driver: Driver) -> None:
    """Give a relay a connection's load and a probe's report of each server."""
    driver.requests["old"] = ClientRequest(0, 0, [SentAttempt(driver.listed["s0"], driver.now, 0)], established=True)
    driver.event(api.OpenConnection("old", 0, "s0"))
    driver.event(api.Note("old", 0, "s0", api.NoteKind.LOAD, 1000.0))
    for server in driver.listed:
        answer_probe(driver, server, 0.5)


def answer_probe(driver: Driver, server: str, utilisation: float) -> None:
    driver.event(api.ProbeResult(server, api.Result.OK, MS, (utilisation, utilisation * FULL_SERVER_CONNECTIONS)))


def send_times_to_new_server(count: int, rate: int) -> list[tuple[int, int]]:
    """Send ``rate`` clients a second to each of ``count`` relays; return the new server's age at each send to it."""
    drivers = fleet(count=count, servers=3)
    start = drivers[0].now + SECOND
    for driver in drivers:
        driver.wait(2 * SECOND)
        driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=start),))
    step = SECOND // rate
    for turn in range(8 * rate):
        for driver in drivers:
            for server in ("s0", "s1", "s2"):
                answer_probe(driver, server, 0.95)
            answer_probe(driver, "new", 0.0)
            driver.arrive(f"r{turn}", key=f"k{turn}-{driver.settings.me}")
            if driver.pending():
                driver.establish(driver.pending()[0])
            driver.wait(step)
    return sorted(
        (at - start, 1)
        for driver in drivers
        for at, action in driver.performed
        if isinstance(action, api.Send) and action.server == "new"
    )


@pytest.mark.parametrize("count", [3, RELAY_COUNT])
def test_all_relays_together_send_a_new_server_no_more_than_its_budget(count: int):
    sends = [at for at, _ in send_times_to_new_server(count, rate=2 if count == RELAY_COUNT else 20)]
    for at in sends:
        sends_in_second = sum(at <= other < at + SECOND for other in sends)
        warmth = 0.3 + 0.7 * min(1.0, (at + SECOND) / (9 * SECOND))
        # The sends of two consecutive windows may fall into one second.
        assert sends_in_second <= 2 * (3.0 * FULL_SERVER_CONNECTIONS * warmth / 9.0 + 1), (
            f"{sends_in_second} sends in a second at an age of {at / SECOND:.1f} s"
        )


def test_a_new_server_is_used_although_each_relays_share_of_its_budget_is_less_than_one():
    sends = [at for at, _ in send_times_to_new_server(RELAY_COUNT, rate=2)]
    assert sum(at <= 4 * SECOND for at in sends) >= 15, f"{len(sends)} sends: {sends}"


def test_a_request_waits_for_reports_of_the_servers_that_it_may_go_to():
    driver = fleet(servers=4)[0]
    driver.wait(4 * SECOND)  # the reports are outdated by now
    driver.probes_answered = False
    driver.arrive("r", key="k")
    probed = [a.server for a in driver.actions(api.Probe)][-2:]
    assert not driver.pending() and len(set(probed)) == 2, "placed by an outdated report"
    for server, load in zip(probed, (2.0, 0.1), strict=True):
        answer_probe(driver, server, load)
    assert driver.pending() == ["r"] or driver.actions(api.Probe)[-1].server not in probed
    driver.wait(200 * MS)
    assert driver.server_of("r") != probed[0], "the report was not used"


def test_a_request_close_to_its_deadline_does_not_wait_for_reports():
    # Waiting for a report would delay the final answer past the deadline. The hunt found this failure:
    # tests/lab_cases/mended-held-past-its-time.json.
    driver = fleet(servers=4)[0]
    driver.wait(4 * SECOND)
    driver.probes_answered = False
    driver.requests["r"] = ClientRequest(0, driver.now + 100 * MS)
    driver.event(api.Request("r", 0, driver.now + 100 * MS, key="k"))
    assert driver.pending() == ["r"], "delayed for a report that arrives after the deadline"


def test_a_server_that_does_not_answer_a_probe_gets_no_set_up():
    driver = fleet(servers=4)[0]
    driver.wait(4 * SECOND)
    driver.probes_answered = False
    driver.arrive("r", key="k")
    unanswered, answered = [a.server for a in driver.actions(api.Probe)][-2:]
    answer_probe(driver, answered, 0.2)
    assert not driver.pending(), "placed although the other server's report is still due"
    driver.wait(100 * MS)
    assert driver.server_of("r") != unanswered


def test_a_crowd_that_waits_for_reports_does_not_start_a_timer_for_each_request():
    # With a timer for each request, and every timer checking all waiting requests, the work grows with the square of
    # the crowd.
    driver = fleet(servers=4)[0]
    driver.wait(4 * SECOND)
    driver.probes_answered = False
    before = len(driver.timers)
    for number in range(500):
        driver.arrive(f"r{number}", key=f"k{number}")
    timers = len(driver.timers) - before
    assert 1 <= timers <= MAX_WAITING_REQUESTS + 1, f"{timers} timers for 500 waiting requests"


def test_returning_clients_earn_the_probes_that_place_them():
    # After a break that sends all clients back at once, no new client earns a probe. Unless returning clients earn
    # probes, they are all placed without reports.
    driver = fleet(servers=4)[0]
    for turn in range(12):
        driver.wait(2 * SECOND)
        before = len(driver.actions(api.Probe))
        driver.arrive(f"r{turn}", key=f"k{turn}", returning=True)
        driver.establish(f"r{turn}")
        assert len(driver.actions(api.Probe)) > before, f"client {turn} was placed without a probe"
    assert len(driver.actions(api.Probe)) <= 12 * 2 + 10, "more probes than placing the clients takes"


def test_relays_with_few_set_ups_admit_most_returning_clients_at_a_low_rung():
    # Forty relays whose token buckets fill at a twentieth of a set-up per second would refuse every client after a
    # break.
    admitted = 0
    for driver in fleet(servers=4):
        driver.arrive("new", key="n")
        driver.establish("new")
        driver.wait(6 * SECOND)
        assert sum(driver.balancer.ladder.estimate.values()) > 0
        driver.balancer.ladder.rung = 1
        driver.balancer.ladder._set_rates(driver.now, [1.0, 1.0])
        for turn in range(3):
            driver.arrive(f"r{turn}", key=f"k{turn}", returning=True)
            admitted += f"r{turn}" in driver.pending()
            if f"r{turn}" in driver.pending():
                driver.establish(f"r{turn}")
    assert admitted >= 0.7 * 3 * RELAY_COUNT, f"{admitted} of {3 * RELAY_COUNT} admitted at a rung that refuses a tenth"


def test_a_slow_store_is_not_flooded_with_repeated_attempts():
    # A slow shared store delays each set-up by nearly a second, and each repeated attempt adds a call to it.
    drivers = fleet(servers=8)
    for driver in drivers:
        driver.arrive("r", key=f"k{driver.settings.me}")
        driver.wait(850 * MS)
    sends = sum(len(driver.requests["r"].attempts) for driver in drivers)
    assert sends <= 2 * RELAY_COUNT, f"{sends} attempts in 850 ms for {RELAY_COUNT} clients"


def test_relays_with_the_same_reports_spread_a_group_by_free_capacity_over_the_servers():
    connections_by_server: dict[str, int] = {}
    for driver in fleet(replace(SETTINGS, groups=True), servers=2):
        answer_probe(driver, "s0", 0.3)
        answer_probe(driver, "s1", 0.3)
        driver.arrive("r", key=f"k{driver.settings.me}", group="g")
        connections_by_server[driver.server_of("r")] = connections_by_server.get(driver.server_of("r"), 0) + 1
    assert min(connections_by_server.get(s.server, 0) for s in entries(2)) >= RELAY_COUNT // 6, connections_by_server


def test_an_idle_server_counts_in_the_load_index():
    # If idle new servers, which report a utilisation of zero, did not count, relays would refuse requests because of
    # the loaded servers alone.
    driver = fleet(servers=4)[0]
    driver.balancer.servers["s0"].reported_utilisation = 0.5
    for server in ("s1", "s2", "s3"):
        answer_probe(driver, server, 0.0)
    driver.wait(SECOND)
    assert {"s1", "s2", "s3"} <= driver.balancer.tracked.keys()


def test_settings_without_an_overload_window_allow_new_servers():
    driver = fleet(replace(SETTINGS, overload_window=0), count=3, servers=2)[0]
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("new", started=driver.now),))
    driver.wait(2 * SECOND)
    driver.arrive("r")
    assert driver.pending() == ["r"]


def simulate_crowd(count: int, rate: int, new_servers: int, utilisation: float, seed: int) -> dict[str, list[int]]:
    """Send ``rate`` clients a second to ``count`` relays; return the ages of each new server at the sends to it.

    Arrivals are spread unevenly over the relays; about a seventh have the same key; the rate triples for a while; and a
    third of the relays restart.
    """
    rng = random.Random(seed)
    drivers = fleet(count=count, servers=12)
    start = drivers[0].now + SECOND
    new_entries = tuple(api.ServerEntry(f"new{n}", started=start) for n in range(new_servers))
    sends: dict[str, list[int]] = {entry.server: [] for entry in new_entries}
    listed = drivers[0].listed
    for driver in drivers:
        driver.wait(2 * SECOND)
        driver.members(api.MembershipKind.CHANGES, new_entries)
    shares = [rng.choice((0.3, 1, 1, 4)) for _ in drivers]
    request_count = 0
    for step in range(80):
        if step == 50:
            for index in range(0, count, 3):
                record_sends(drivers[index], start, sends)
                restarted = Driver(drivers[index].settings)
                restarted.now, restarted.balancer = drivers[index].now, Balancer(restarted.settings, index)
                restarted.timers.clear()
                restarted.members(api.MembershipKind.INITIAL, (*listed.values(), *new_entries))
                give_load_and_reports(restarted)
                drivers[index] = restarted
        for driver, share in zip(drivers, shares, strict=True):
            if step % 4 == 0:
                for server in (*(f"s{n}" for n in range(12)), *sends):
                    answer_probe(driver, server, 0.0 if server in sends else utilisation)
            arrivals = rate * share / sum(shares) * (3 if 30 <= step < 60 else 1) / 20
            for _ in range(int(arrivals) + (rng.random() < arrivals % 1)):
                request_count += 1
                driver.arrive(f"r{request_count}", key="hot" if rng.random() < 0.15 else f"k{rng.randrange(400)}")
                if driver.pending():
                    driver.establish(driver.pending()[-1])
            driver.wait(50 * MS)
    for driver in drivers:
        record_sends(driver, start, sends)
    return sends


def record_sends(driver: Driver, start: int, sends: dict[str, list[int]]) -> None:
    """Add the ages of the new servers, in ns, at the sends of a relay."""
    for at, action in driver.performed:
        if isinstance(action, api.Send) and action.server in sends:
            sends[action.server].append(at - start)


@pytest.mark.parametrize(
    "count,rate,new_servers,utilisation",
    [(20, 150, 2, 0.95), (30, 200, 3, 0.6), (30, 200, 3, 0.95), (200, 400, 6, 0.6), (200, 400, 6, 0.95)],
)
def test_all_relays_together_exceed_a_new_servers_budget_only_by_chance(count, rate, new_servers, utilisation):
    # Giving out three times as many slots as the budget, because most of them lapse, fails where clients arrive at
    # every relay: no slot lapses, and all relays together sent up to 2.8 times the budget.
    sends = simulate_crowd(count, rate, new_servers, utilisation, seed=count)
    assert sum(map(len, sends.values())) > 10, "new servers are left idle"
    for name, ages in sends.items():
        for at in ages:
            sends_in_second = sum(at - SECOND < other <= at for other in ages)
            budget = 3.0 * FULL_SERVER_CONNECTIONS * (0.3 + 0.7 * min(1.0, at / (9 * SECOND))) / 9.0
            limit = budget + 2 * math.sqrt(budget) + 2
            assert sends_in_second <= limit, (
                f"{name}: {sends_in_second} sends in a second, {limit:.1f} allowed, at an age of {at / SECOND:.1f} s"
            )
