"""Repeats of keyed requests: none is written once servers no longer discard it, however late its connection is up."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from driver import BASE, MS, SECOND, Driver, entries, replace
from hypothesis import example, given, settings
from hypothesis import strategies as st
from netfakes import OneRelay
from test_request_guard import GuardTestbed

from scaledeal import interface as api

DEADLINE_MS = 4000


def keyed_site(window: int, dial_timeout: int, scope: str) -> dict[str, object]:
    """Return settings with one keyed class; ``window`` and ``dial_timeout`` are in ms."""
    keyed = {"Name": "browse", "Aim": 3500 * MS, "Deadline": DEADLINE_MS * MS, "Window": window * MS}
    return {
        "Classes": [{**keyed, "Semantics": "by_key", "KeyScope": scope}],
        "Discovery": "on_request",
        "Caps": {"Cancelling": True, "DialTimeout": dial_timeout * MS, "MaxAttempts": 4},
    }


# Guards against a repeat that began within the window and was written after it, as its connection came up late.
@settings(max_examples=60, deadline=None)
@given(
    window=st.integers(100, 3000),
    dial_timeout=st.integers(50, 2500),
    failed_after=st.integers(0, 2500),
    late_by=st.integers(0, 2400),
    scope=st.sampled_from(("all", "zone", "cell")),
)
@example(window=1000, dial_timeout=1500, failed_after=600, late_by=1000, scope="all")
@example(window=1000, dial_timeout=1500, failed_after=600, late_by=300, scope="cell")
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(
    window: int, dial_timeout: int, failed_after: int, late_by: int, scope: str
) -> None:
    with TemporaryDirectory() as folder:
        relay = OneRelay(Path(folder), 3, keyed_site(window, dial_timeout, scope))
        client = relay.client(1, DEADLINE_MS)
        first = relay.attempts()[0].up(relay.reactor)
        first.flush()
        began = relay.reactor.seconds()
        relay.reactor.advance(failed_after / 1000)
        first.receive(b"ERR\r\n")
        first.flush()
        for repeat in relay.attempts()[1:]:
            relay.reactor.advance(late_by / 1000)
            age_ms = round((relay.reactor.seconds() - began) * 1000)
            if not repeat.over:
                wire = repeat.up(relay.reactor)
                wire.flush()
                assert not wire.sent or age_ms <= window, f"written {age_ms} ms after the first, window {window} ms"
                assert wire.sent or age_ms >= window, "a repeat within the window was not written"
                if not wire.sent:
                    assert relay.results()[-1:] != ["connect_failed"], "the server is blamed for the window"
        relay.run(DEADLINE_MS / 1000 + 0.1)
        assert client.lines(), "no answer in time"
        assert relay.relay.driver.invariants.summary() == "none violated"


# Guards against waiting for a late connection that could not be used any more.
def test_a_client_whose_repeat_misses_the_window_is_answered_at_its_end_and_no_server_is_suspected(
    tmp_path: Path,
) -> None:
    relay = OneRelay(tmp_path, 3, keyed_site(1000, 1500, "all"))
    client = relay.client(1, DEADLINE_MS)
    first = relay.attempts()[0].up(relay.reactor)
    first.flush()
    relay.run(0.6)
    first.receive(b"ERR\r\n")
    first.flush()
    suspected = set(relay.relay.driver.balancer.servers) - {
        server.id for server in relay.relay.driver.balancer.servers.values() if not server.failures
    }
    relay.run(0.42)
    client.flush()
    assert client.sent.startswith(b"BUSY") and relay.results() == ["error", "not_sent"]
    failing = {server.id for server in relay.relay.driver.balancer.servers.values() if server.failures}
    assert failing == suspected


# Guards against a scope that is judged by where the first attempt's server is listed now, not by where it was then.
@pytest.mark.parametrize("moved", ["a1", "a2"])
def test_the_scope_of_a_repeat_is_that_of_the_moment_at_which_the_first_attempt_was_sent(moved: str) -> None:
    testbed = GuardTestbed(api.Semantics.KEYED)
    request = testbed.open()
    testbed.guard.attempt_begun(request, "a1")
    testbed.guard.attempt_ended(request, api.Result.RESET)
    testbed.guard.attempt_begun(request, "a2")
    assert testbed.guard.check_write(request) is None
    entry = api.ServerEntry(moved, zone=ord("b"), cell=ord("b"))
    testbed.guard.listed(api.Membership(api.MembershipKind.CHANGES, (entry,)))
    assert testbed.guard.check_write(request) is (None if moved == "a1" else api.Result.NOT_SENT)
    assert (testbed.guard.check_send(request, "b1") is None) is False


# Guards against a repeat that the module holds past its window: it would be answered only close to its deadline.
@pytest.mark.parametrize("scope", api.Scope)
def test_a_held_repeat_is_given_up_when_its_window_ends(scope: api.Scope) -> None:
    keyed = replace(BASE.classes[1], semantics=api.Semantics.KEYED, scope=scope, window=500 * MS)
    driver = Driver(replace(BASE, classes=(keyed,)), servers=6)
    driver.arrive("a")
    driver.arrive("b")
    driver.balancer.set_up_limit = driver.balancer.min_set_up_limit = 1.0
    driver.end("a", api.Result.ERROR)
    assert not driver.requests["a"].over, "held, as too many set-ups are under way"
    driver.wait(800 * MS)
    assert driver.requests["a"].over and len(driver.requests["a"].attempts) == 1


# Guards against a keyed repeat in another cell than the first attempt's, where that server has been listed anew.
def test_a_repeat_stays_in_the_cell_in_which_the_first_attempt_was_sent() -> None:
    keyed = replace(BASE.classes[1], semantics=api.Semantics.KEYED, scope=api.Scope.CELL, window=2 * SECOND)
    driver = Driver(replace(BASE, classes=(keyed,)), servers=6)
    driver.arrive("a")
    first = driver.requests["a"].attempts[0].server
    moved = tuple(replace(each, cell=99) for each in entries(6) if each.server == first.server)
    driver.members(api.MembershipKind.CHANGES, moved)
    driver.end("a", api.Result.ERROR)
    assert len(driver.requests["a"].attempts) == 2
    assert driver.requests["a"].attempts[1].server.cell == first.cell
