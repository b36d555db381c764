"""Leases: the protocol's state space, mutants without one guard, and single participants with a table."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from scaledeal.fleet.core.lease import Fence, Grant, LeaseParticipant, Release, Renew, Take, Timing, apply
from scaledeal.lab.leasing import ALL_GUARDS, FAST_RATE, INVARIANTS, MUTANTS, SLOW_RATE, protocol

DURATION = 3000
TIMING = Timing(DURATION, 0.05)


@pytest.mark.parametrize("rates", [(SLOW_RATE, FAST_RATE), (FAST_RATE, SLOW_RATE)])
def test_whole_state_space_has_one_holder_and_no_stale_act(rates: tuple[int, ...]) -> None:
    found = check_safety(protocol(ALL_GUARDS, rates, 4), 400_000)
    assert found["exhaustive"] and found["reachable_states"] > 10_000, found["reachable_states"]
    assert {name for name, result in found["properties"].items() if result["holds"]} == set(INVARIANTS)


@pytest.mark.parametrize(
    ("name", "violated"),
    [
        ("no margin for drift", "at most one holder at any time"),
        ("duration counted from the answer", "at most one holder at any time"),
        ("table ignores renewals", "at most one holder at any time"),
        ("resource ignores tokens", "no act admitted after a newer one"),
    ],
)
def test_each_mutant_violates_its_invariant(name: str, violated: str) -> None:
    found = check_safety(protocol(MUTANTS[name]), 150_000)["properties"][violated]
    assert found["holds"] is False, f"{name}: no violation in the explored states"


def request_grant(table: dict[str, Grant], participant: LeaseParticipant, now: int) -> Grant:
    """Apply a participant's command to the table and let it observe the resulting grant, all at one moment."""
    command = participant.next_command(now)
    assert command is not None
    grant = apply(table, command)
    assert grant is not None
    participant.observe(now, grant)
    return grant


def test_each_new_holder_gets_a_higher_token() -> None:
    table: dict[str, Grant] = {}
    first, second = LeaseParticipant("d", "n0#0", TIMING), LeaseParticipant("d", "n1#0", TIMING)
    for participant in (first, second):
        participant.observe(0, Grant("d"))
    assert request_grant(table, first, 0).token == 1 and first.token(DURATION - 1) == 1
    second.observe(10, table["d"])
    assert second.next_command(10 + TIMING.takeover_wait - 1) is None, (
        "no contender may take a lease before takeover_wait is over"
    )
    assert first.token(DURATION) == 0, "without a renewal a lease ends one duration after its request"
    assert request_grant(table, second, 10 + TIMING.takeover_wait).token == 2
    assert first.next_command(DURATION + 1) is None and first.token(DURATION + 1) == 0, (
        "the former holder must observe the new grant before it may contend"
    )


def test_a_renewal_extends_the_lease_from_its_request_and_prevents_a_takeover() -> None:
    table: dict[str, Grant] = {}
    first, second = LeaseParticipant("d", "n0#0", TIMING), LeaseParticipant("d", "n1#0", TIMING)
    first.observe(0, Grant("d"))
    request_grant(table, first, 0)
    second.observe(5, table["d"])
    assert first.next_command(999) is None and isinstance(renew := first.next_command(1000), Renew)
    repeated = first.next_command(2000)
    assert repeated == renew, "an unanswered request is repeated"
    grant = apply(table, renew)
    assert grant is not None and apply(table, renew) is None, "a duplicate command takes effect once"
    first.observe(2900, grant)
    assert first.token(1000 + DURATION - 1) == 1 and first.token(1000 + DURATION) == 0, (
        "the duration counts from the first request"
    )
    outdated = Take("d", "n1#0", 1, 0)
    assert apply(table, outdated) is None, "a taker that has not observed the renewal is refused"


def test_a_restarted_process_does_not_hold_the_grant_of_an_earlier_one() -> None:
    participant = LeaseParticipant("d", "n0#1", TIMING)
    participant.observe(0, Grant("d", "n0#1", 3, 2))  # granted under the same name
    assert participant.token(1) == 0 and participant.next_command(TIMING.takeover_wait - 1) is None
    assert isinstance(participant.next_command(TIMING.takeover_wait), Take)


def test_a_draining_holder_releases_so_that_the_next_need_not_wait() -> None:
    table: dict[str, Grant] = {}
    first, second = LeaseParticipant("d", "n0#0", TIMING), LeaseParticipant("d", "n1#0", TIMING, rank=1)
    first.observe(0, Grant("d"))
    request_grant(table, first, 0)
    first.drain()
    command = first.next_command(10)
    assert isinstance(command, Release) and first.token(10) == 0, (
        "a participant stops acting once it has sent a release"
    )
    grant = apply(table, command)
    assert grant is not None
    second.observe(20, grant)
    assert second.next_command(20) is None, "a participant of higher rank waits for the lower ones"
    assert request_grant(table, second, 20 + DURATION // 20).token == 2
    assert first.next_command(10 * DURATION) is None, "a drained participant does not contend again"


def test_a_fence_refuses_older_tokens() -> None:
    fence = Fence()
    assert [fence.admits(token) for token in (0, 1, 1, 3, 2, 3)] == [False, True, True, True, False, True]
    assert fence.refused == 2


@pytest.mark.parametrize(("duration", "drift"), [(0, 0.0), (1, 1.0), (1, -0.1)])
def test_timing_out_of_range_is_refused(duration: int, drift: float) -> None:
    with pytest.raises(ValueError, match="duration: must be above 0"):
        Timing(duration, drift)
