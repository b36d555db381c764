"""The request guard: what may be sent, repeated, refused and closed, and which violations are counted."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from scaledeal import interface as api
from scaledeal.net.clocks import ClockMonitor, UnixClock
from scaledeal.net.invariants import Invariants, Rule
from scaledeal.net.request_guard import NEVER_RAN, GuardedRequest, RequestGuard
from scaledeal.net.roster import Catalog, Endpoint, Roster, UnixTimeConverter

MS, SECOND = 1_000_000, 1_000_000_000
WINDOW = 500 * MS
SERVERS = ("a1", "a2", "b1")  # the letter stands for zone and cell


class GuardTestbed:
    """A guard, its clock, and three servers in two cells."""

    def __init__(self, semantics: api.Semantics = api.Semantics.REPEATABLE, scope: api.Scope = api.Scope.CELL) -> None:
        self.now = 10 * SECOND
        request_class = api.RequestClass(aim=1, deadline=SECOND, semantics=semantics, scope=scope, window=WINDOW)
        self.invariants = Invariants(lambda: self.now)
        self.guard = RequestGuard(api.Settings(classes=(request_class,)), SECOND, lambda: self.now, self.invariants)
        self.list()

    def list(self, *draining: str, kind: api.MembershipKind = api.MembershipKind.FULL) -> None:
        """Send the guard a list of all servers, of which ``draining`` drain."""
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

    def open(self, wait: int = SECOND, established_before: bool = False) -> GuardedRequest:
        return self.guard.open("r", 0, self.now + wait, established_before)


def test_a_second_attempt_and_a_send_after_the_end_are_prevented_and_counted() -> None:
    testbed = GuardTestbed()
    request = testbed.open()
    assert testbed.guard.check_send(request, "a1") is None
    testbed.guard.attempt_begun(request, "a1")
    assert testbed.guard.check_send(request, "a2") is api.Result.NOT_SENT
    testbed.guard.attempt_ended(request, api.Result.RESET)
    assert testbed.guard.check_send(request, "a2") is None
    testbed.guard.client_left(request)
    assert testbed.guard.check_send(request, "a2") is api.Result.NOT_SENT
    assert testbed.guard.check_write(request) is api.Result.NOT_SENT
    assert testbed.invariants.prevented == {Rule.SECOND_COPY: 1, Rule.SENT_AFTER_END: 2}
    assert not testbed.invariants.violations and testbed.invariants.summary() == "none violated"


@pytest.mark.parametrize("kind", [api.MembershipKind.CHANGES, api.MembershipKind.FULL])
def test_a_draining_server_gets_nothing_new_after_the_grace_minus_the_maximum_hold_up(kind: api.MembershipKind) -> None:
    testbed = GuardTestbed()
    request, established = testbed.open(9 * SECOND), testbed.open(9 * SECOND, established_before=True)
    testbed.list("a1", kind=kind)
    testbed.guard.attempt_begun(request, "a1")
    testbed.guard.attempt_begun(established, "a1")
    testbed.now += 840 * MS
    assert testbed.guard.check_write(request) is None
    testbed.now += 20 * MS
    assert testbed.guard.check_write(request) is api.Result.CONNECT_FAILED
    assert testbed.guard.check_write(established) is None
    testbed.guard.attempt_ended(request, api.Result.CONNECT_FAILED)
    assert testbed.guard.check_send(request, "a1") is api.Result.CONNECT_FAILED
    testbed.list(kind=kind)
    assert testbed.guard.check_send(request, "a1") is None


def test_a_server_missing_from_a_full_list_counts_as_draining() -> None:
    testbed = GuardTestbed()
    testbed.guard.listed(api.Membership(api.MembershipKind.FULL, (api.ServerEntry("a2"),)))
    testbed.now += SECOND
    assert testbed.guard.check_send(testbed.open(), "b1") is api.Result.CONNECT_FAILED


def may_repeat(semantics: api.Semantics, scope: api.Scope, first: api.Result, after: int, server: str) -> bool:
    """Return whether the protocol allows a second attempt at ``server``, ``after`` ns after a first one at a1."""
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
def test_repeats_and_refusals_are_allowed_exactly_as_in_the_protocol(
    semantics: api.Semantics, scope: api.Scope, first: api.Result, after: int, server: str
) -> None:
    testbed = GuardTestbed(semantics, scope)
    request = testbed.open()
    testbed.guard.attempt_begun(request, "a1")
    testbed.guard.attempt_ended(request, first)
    testbed.now += after
    assert (testbed.guard.check_send(request, server) is None) == may_repeat(semantics, scope, first, after, server)
    safe_to_repeat = first in NEVER_RAN or semantics is api.Semantics.REPEATABLE
    keyed_everywhere = semantics is api.Semantics.KEYED and scope is api.Scope.ALL
    assert testbed.guard.may_refuse(request) == (safe_to_repeat or keyed_everywhere)


def answer_late(testbed: GuardTestbed, request: GuardedRequest) -> None:
    testbed.now += SECOND + 501 * MS
    testbed.guard.answered(request)


@pytest.mark.parametrize(
    ("rule", "violate"),
    [
        (Rule.LATE_ANSWER, answer_late),
        (Rule.CLOSED_UNANSWERED, lambda testbed, request: testbed.guard.connection_closed(request, by_relay=True)),
        (Rule.STALLED, lambda testbed, request: testbed.guard.check_silence(request, 8 * SECOND)),
        (Rule.OWED_AT_EXIT, lambda testbed, request: testbed.guard.process_exiting(request)),
    ],
)
def test_a_violation_is_counted_by_rule_and_logged_with_the_request_id(
    rule: Rule, violate: Callable[[GuardTestbed, GuardedRequest], None], caplog: pytest.LogCaptureFixture
) -> None:
    testbed = GuardTestbed()
    violate(testbed, testbed.open())
    assert testbed.invariants.violations == {rule: 1} and testbed.invariants.summary() == f"1 {rule.value}"
    assert f"invariant {rule.value} violated" in caplog.text and "request r:" in caplog.text
    assert f'relay_invariant_violations_total{{rule="{rule.value}"}} 1' in testbed.invariants.lines()


class OneTimerReactor:
    """A reactor with one timer, which the test fires."""

    def __init__(self) -> None:
        self.call: Callable[[], object] = lambda: None

    def callLater(self, delay: float, call: Callable[[], object]) -> None:  # noqa: N802
        self.call = call


def test_steps_of_the_wall_clock_and_delays_of_the_loop_are_counted(caplog: pytest.LogCaptureFixture) -> None:
    reactor, clocks = OneTimerReactor(), [5 * SECOND, 900 * SECOND]
    monitor = ClockMonitor(reactor, lambda: clocks[0], lambda: clocks[1])  # type: ignore[arg-type]
    unix_clock = UnixClock(lambda: clocks[0], clocks[1])
    monitor.start()
    for elapsed, step in ((1.0, 0.0), (1.0, -3600.0), (1.2, 0.0), (1.0, 0.05)):
        clocks[0] += int(elapsed * SECOND)
        clocks[1] += int((elapsed + step) * SECOND)
        reactor.call()
    assert (monitor.steps, monitor.delays, round(monitor.longest_delay, 2)) == (1, 1, 0.2)
    assert "stepped by -3600.000 s" in caplog.text and unix_clock.seconds() == 904.2


def test_a_start_time_missing_from_the_previous_list_is_not_before_that_list(caplog: pytest.LogCaptureFixture) -> None:
    # On a machine whose clock is an hour ahead, a server that has just started would otherwise count as warm.
    catalog, hour, now = Catalog((), UnixTimeConverter(0)), 3_600_000.0, 9_000_000.0
    catalog.read(Roster(endpoints=(Endpoint("a"),)), now / 1000)
    entries, _ = catalog.read(Roster(2, False, (Endpoint("b", since_ms=now - hour),)), now / 1000 + 5)
    assert entries[0].started == int(now * MS) and "not listed before" in caplog.text
    entries, _ = catalog.read(Roster(3, False, (Endpoint("c", since_ms=now + 4000),)), now / 1000 + 9)
    assert entries[0].started == int((now + 4000) * MS)
