"""The four rules as properties over generated sequences of events, checked on the actions alone."""

from dataclasses import replace

import pytest
from driver import BASE, MS, SECOND, Driver, entries
from hypothesis import given
from hypothesis import strategies as st

from scaledeal import interface as api

RESULTS_EXCEPT_OK = [r for r in api.Result if r is not api.Result.OK]
STEPS = ["arrive", "arrive", "arrive", "establish", "end", "wait", "leave", "list", "note", "probe"]
STEP = st.tuples(st.sampled_from(STEPS), st.integers(0, 99), st.integers(0, 99))
SEMANTICS_AND_SCOPES = [
    (api.Semantics.REPEATABLE, api.Scope.ALL),
    (api.Semantics.ONCE, api.Scope.ALL),
    (api.Semantics.KEYED, api.Scope.ALL),
    (api.Semantics.KEYED, api.Scope.ZONE),
    (api.Semantics.KEYED, api.Scope.CELL),
]


def play(driver: Driver, step: tuple[str, int, int], number: int) -> None:
    step_kind, a, b = step
    waiting = driver.pending()
    open_connections = [n for n, r in driver.requests.items() if r.established and r.attempts[-1].result is None]
    if step_kind == "arrive":
        driver.arrive(f"r{number}", a % 2, key=f"k{b % 5}", group=f"g{b % 3}", mid_flow=a % 9 == 7, returning=b % 2 > 0)
    elif step_kind == "establish" and waiting:
        driver.establish(waiting[a % len(waiting)], b * MS)
    elif step_kind == "end" and waiting + open_connections:
        names = waiting + open_connections
        driver.end(names[a % len(names)], RESULTS_EXCEPT_OK[b % len(RESULTS_EXCEPT_OK)])
    elif step_kind == "wait":
        driver.wait(a * b * MS)
    elif step_kind == "leave" and waiting:
        driver.leave(waiting[a % len(waiting)])
    elif step_kind == "list":
        state = list(api.ServerState)[b % 3]
        entry = replace(entries(4)[a % 4], state=state, started=driver.now if b > 50 else 0)
        driver.members(api.MembershipKind.CHANGES, (entry,))
    elif step_kind == "note" and open_connections:
        name = open_connections[a % len(open_connections)]
        kind = list(api.NoteKind)[b % 2]
        driver.event(api.Note(name, len(driver.requests[name].attempts) - 1, driver.server_of(name), kind, 10.0 * a))
    elif step_kind == "probe":
        driver.event(api.ProbeResult(f"s{a % 5}", list(api.Result)[b % 8], MS, (b / 50, 3.0)))


@pytest.mark.parametrize(("semantics", "scope"), SEMANTICS_AND_SCOPES)
@given(steps=st.lists(STEP, min_size=25, max_size=60), seed=st.integers(0, 99))
def test_one_answer_in_time_no_second_effect_and_no_send_to_a_draining_server(semantics, scope, steps, seed):
    classes = tuple(replace(c, semantics=semantics, scope=scope, window=SECOND) for c in BASE.classes)
    settings = replace(
        BASE,
        classes=classes,
        groups=True,
        report_source=api.Source.PROBES,
        report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
    )
    driver = Driver(settings, seed)
    for number, step in enumerate(steps):
        play(driver, step, number)
        driver.check_no_answer_overdue()
    driver.wait(6 * SECOND)
    assert all(request.over or request.established for request in driver.requests.values())


@given(
    gap=st.integers(20, 400),
    siblings=st.integers(1, 8),
    age=st.integers(0, 15),
    failing=st.booleans(),
    seed=st.integers(0, 99),
)
def test_a_cold_server_gets_no_more_than_its_budget(gap, siblings, age, failing, seed):
    driver = Driver(replace(BASE, siblings=siblings), seed, servers=5)
    for i in range(4 * SECOND // (gap * MS)):
        driver.arrive(f"a{i}", 1)
        for name in driver.pending():
            driver.establish(name)
        driver.wait(gap * MS)
    started = driver.now - age * SECOND
    driver.members(api.MembershipKind.CHANGES, (api.ServerEntry("s1", started=started),))
    sends = []
    for i in range(8 * SECOND // (gap * MS)):
        driver.arrive(f"b{i}", 1)
        for name in driver.pending():
            if driver.server_of(name) == "s1":
                sends.append(driver.now)
            if failing and driver.server_of(name) == "s1":
                driver.end(name, api.Result.RESET)
            else:
                driver.establish(name)
        driver.wait(gap * MS)
    # A warm server of its size gets a quarter of this relay's set-ups, so its capacity is at least that.
    warm_rate = SECOND / (gap * MS) / 4
    for at in sends:
        window = [s for s in sends if at <= s < at + 3 * SECOND]
        grown = 0.1 + 0.9 * (at + 3 * SECOND - started) / (20 * SECOND)
        assert len(window) <= 4.0 * min(1.0, grown) * warm_rate * 3 * 1.1 + 0.01


def test_a_restarted_relay_sends_nothing_to_a_cold_server_for_one_window():
    driver = Driver(servers=0)
    started = driver.now - SECOND
    driver.members(api.MembershipKind.FULL, (api.ServerEntry("s0"), api.ServerEntry("s1", started=started)))
    for i in range(200):
        driver.arrive(f"r{i}", 1)
        for name in driver.pending():
            assert driver.server_of(name) == "s0"
            driver.establish(name)
        driver.wait(10 * MS)
