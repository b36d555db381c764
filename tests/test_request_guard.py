"""The guard of requests: what may be sent, repeated, refused and closed, and what is counted where it was not kept."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from scaledeal import interface as api
from scaledeal.net.clocks import ClockMonitor, UnixClock
from scaledeal.net.invariants import Invariants, Rule
from scaledeal.net.request_guard import NEVER_RAN, Obligation, RequestGuard
from scaledeal.net.roster import Catalog, Endpoint, Roster, UnixTimeConverter

MS, SECOND = 1_000_000, 1_000_000_000
WINDOW = 500 * MS
SERVERS = ("a1", "a2", "b1")  # zone and cell by letter


class World:
    """A guard, its clock, and three servers in two cells."""

    def __init__(self, semantics: api.Semantics = api.Semantics.REPEATABLE, scope: api.Scope = api.Scope.CELL) -> None:
        self.now = 10 * SECOND
        about = api.RequestClass(aim=1, deadline=SECOND, semantics=semantics, scope=scope, window=WINDOW)
        self.invariants = Invariants(lambda: self.now)
        self.guard = RequestGuard(api.Settings(classes=(about,)), SECOND, lambda: self.now, self.invariants)
        self.list()

    def list(self, *draining: str, kind: api.MembershipKind = api.MembershipKind.FULL) -> None:
        self.guard.listed(
            api.Membership(
                kind,
                tuple(
                    api.ServerEntry(
                        name,
                        api.ServerState.DRAINING if name in draining else api.ServerState.LIVE,
                        zone=ord(name[0]),
                        cell=ord(name[0]),
                    )
                    for name in SERVERS
                ),
            )
        )

    def open(self, wait: int = SECOND, standing: bool = False) -> Obligation:
        return self.guard.open("r", 0, self.now + wait, standing)


def test_a_second_copy_and_a_send_after_the_end_are_prevented_and_counted() -> None:
    world = World()
    owed = world.open()
    assert world.guard.judge_send(owed, "a1") is None
    world.guard.begun(owed, "a1")
    assert world.guard.judge_send(owed, "a2") is api.Result.NOT_SENT
    world.guard.ended(owed, api.Result.RESET)
    assert world.guard.judge_send(owed, "a2") is None
    world.guard.client_left(owed)
    assert world.guard.judge_send(owed, "a2") is api.Result.NOT_SENT and not world.guard.may_write(owed)
    assert world.invariants.prevented == {Rule.SECOND_COPY: 1, Rule.SENT_AFTER_END: 2}
    assert not world.invariants.violations and world.invariants.summary() == "none violated"


@pytest.mark.parametrize("kind", [api.MembershipKind.CHANGES, api.MembershipKind.FULL])
def test_a_draining_server_gets_nothing_once_the_grace_less_a_hold_up_is_over(kind: api.MembershipKind) -> None:
    world = World()
    owed, stood = world.open(9 * SECOND), world.open(9 * SECOND, standing=True)
    world.list("a1", kind=kind)
    world.guard.begun(owed, "a1")
    world.guard.begun(stood, "a1")
    world.now += 840 * MS
    assert world.guard.may_write(owed)
    world.now += 20 * MS
    assert not world.guard.may_write(owed) and world.guard.may_write(stood)
    world.guard.ended(owed, api.Result.CONNECT_FAILED)
    assert world.guard.judge_send(owed, "a1") is api.Result.CONNECT_FAILED
    world.list(kind=kind)
    assert world.guard.judge_send(owed, "a1") is None


def test_a_server_that_a_whole_list_lacks_counts_as_draining() -> None:
    world = World()
    world.guard.listed(api.Membership(api.MembershipKind.FULL, (api.ServerEntry("a2"),)))
    world.now += SECOND
    assert world.guard.judge_send(world.open(), "b1") is api.Result.CONNECT_FAILED


def may(semantics: api.Semantics, scope: api.Scope, first: api.Result, after: int, server: str) -> bool:
    """Return the protocol's own answer: whether a second attempt may go to a server after a first one at a1."""
    if first in NEVER_RAN or semantics is api.Semantics.REPEATABLE:
        return True
    if semantics is api.Semantics.ONCE or after > WINDOW:
        return False
    return scope is api.Scope.ALL or server[0] == "a"


@given(
    semantics=st.sampled_from(api.Semantics),
    scope=st.sampled_from(api.Scope),
    first=st.sampled_from(api.Result),
    after=st.sampled_from((0, WINDOW, WINDOW + 1)),
    server=st.sampled_from(SERVERS),
)
def test_a_repeat_is_sent_and_refused_just_where_the_protocol_allows_it(
    semantics: api.Semantics, scope: api.Scope, first: api.Result, after: int, server: str
) -> None:
    world = World(semantics, scope)
    owed = world.open()
    world.guard.begun(owed, "a1")
    world.guard.ended(owed, first)
    world.now += after
    assert (world.guard.judge_send(owed, server) is None) == may(semantics, scope, first, after, server)
    harmless = first in NEVER_RAN or semantics is api.Semantics.REPEATABLE
    keyed_everywhere = semantics is api.Semantics.KEYED and scope is api.Scope.ALL
    assert world.guard.may_refuse(owed) == (harmless or keyed_everywhere)


def late(world: World, owed: Obligation) -> None:
    world.now += SECOND + 501 * MS
    world.guard.answered(owed)


@pytest.mark.parametrize(
    ("rule", "happens"),
    [
        (Rule.LATE_ANSWER, late),
        (Rule.CLOSED_UNANSWERED, lambda world, owed: world.guard.closed(owed, by_relay=True)),
        (Rule.STALLED, lambda world, owed: world.guard.silent(owed, 8 * SECOND)),
        (Rule.OWED_AT_EXIT, lambda world, owed: world.guard.process_ends(owed)),
    ],
)
def test_what_happened_all_the_same_is_counted_told_and_logged_with_the_id(
    rule: Rule, happens: Callable[[World, Obligation], None], caplog: pytest.LogCaptureFixture
) -> None:
    world = World()
    happens(world, world.open())
    assert world.invariants.violations == {rule: 1} and world.invariants.summary() == f"1 {rule.value}"
    assert f"invariant {rule.value} violated" in caplog.text and "request r:" in caplog.text
    assert f'relay_invariant_violations_total{{rule="{rule.value}"}} 1' in world.invariants.lines()


class Reactor:
    """Holds one timer, which the test fires."""

    def __init__(self) -> None:
        self.call: Callable[[], object] = lambda: None

    def callLater(self, delay: float, call: Callable[[], object]) -> None:  # noqa: N802
        self.call = call


def test_steps_of_the_wall_clock_and_delays_of_the_loop_are_counted(caplog: pytest.LogCaptureFixture) -> None:
    reactor, clocks = Reactor(), [5 * SECOND, 900 * SECOND]
    monitor = ClockMonitor(reactor, lambda: clocks[0], lambda: clocks[1])  # type: ignore[arg-type]
    shared = UnixClock(lambda: clocks[0], clocks[1])
    monitor.start()
    for span, step in ((1.0, 0.0), (1.0, -3600.0), (1.2, 0.0), (1.0, 0.05)):
        clocks[0] += int(span * SECOND)
        clocks[1] += int((span + step) * SECOND)
        reactor.call()
    assert (monitor.steps, monitor.delays, round(monitor.longest_delay, 2)) == (1, 1, 0.2)
    assert "stepped by -3600.000 s" in caplog.text and shared.seconds() == 904.2


def test_a_start_that_the_list_before_did_not_tell_is_no_older_than_that_list(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a machine whose clock is an hour ahead: a server that has just started would count as warm.
    catalog, hour, now = Catalog((), UnixTimeConverter(0)), 3_600_000.0, 9_000_000.0
    catalog.read(Roster(endpoints=(Endpoint("a"),)), now / 1000)
    entries, _ = catalog.read(Roster(2, False, (Endpoint("b", since_ms=now - hour),)), now / 1000 + 5)
    assert entries[0].started == int(now * MS) and "not listed before" in caplog.text
    entries, _ = catalog.read(Roster(3, False, (Endpoint("c", since_ms=now + 4000),)), now / 1000 + 9)
    assert entries[0].started == int((now + 4000) * MS)
