"""Leases: the protocol's state space, mutants of it, and one seat's table."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from scaledeal.fleet.core.lease import Fence, Grant, Release, Renew, Seat, Take, Timing, apply
from scaledeal.lab.leasing import FAST, INVARIANTS, MUTANTS, SLOW, SOUND, protocol

SPAN = 3000
TIMING = Timing(SPAN, 0.05)


@pytest.mark.parametrize("paces", [(SLOW, FAST), (FAST, SLOW)])
def test_no_two_hold_and_no_late_act_goes_through_in_the_whole_state_space(paces: tuple[int, ...]) -> None:
    found = check_safety(protocol(SOUND, paces, 4), 400_000)
    assert found["exhaustive"] and found["reachable_states"] > 10_000, found["reachable_states"]
    assert {name for name, each in found["properties"].items() if each["holds"]} == set(INVARIANTS)


@pytest.mark.parametrize(
    ("name", "breaks"),
    [
        ("no margin for drift", "one holder at a moment"),
        ("a span counted from the answer", "one holder at a moment"),
        ("a renewal that the table does not compare", "one holder at a moment"),
        ("a token that nobody checks", "no act after a newer one"),
    ],
)
def test_each_mutant_is_caught(name: str, breaks: str) -> None:
    found = check_safety(protocol(MUTANTS[name]), 150_000)["properties"][breaks]
    assert found["holds"] is False, f"{name}: not seen in the states walked"


def granted(table: dict[str, Grant], seat: Seat, now: int) -> Grant:
    """Have a seat ask, the table agree, and the seat learn of it at once."""
    command = seat.due(now)
    assert command is not None
    made = apply(table, command)
    assert made is not None
    seat.learned(now, made)
    return made


def test_a_lease_goes_from_holder_to_holder_with_a_higher_token_each_time() -> None:
    table: dict[str, Grant] = {}
    one, other = Seat("d", "n0#0", TIMING), Seat("d", "n1#0", TIMING)
    for seat in (one, other):
        seat.learned(0, Grant("d"))
    assert granted(table, one, 0).token == 1 and one.token(SPAN - 1) == 1
    other.learned(10, table["d"])
    assert other.due(10 + TIMING.patience - 1) is None, "before its patience is over nobody may take a lease"
    assert one.token(SPAN) == 0, "a holder that renewed nothing holds no longer than a span from its asking"
    assert granted(table, other, 10 + TIMING.patience).token == 2
    assert one.due(SPAN + 1) is None and one.token(SPAN + 1) == 0, "the old one learns first, and contends later"


def test_a_renewal_moves_the_end_from_its_asking_and_keeps_others_waiting() -> None:
    table: dict[str, Grant] = {}
    one, other = Seat("d", "n0#0", TIMING), Seat("d", "n1#0", TIMING)
    one.learned(0, Grant("d"))
    granted(table, one, 0)
    other.learned(5, table["d"])
    assert one.due(999) is None and isinstance(first := one.due(1000), Renew)
    again = one.due(2000)
    assert again == first, "what was not answered is asked again"
    made = apply(table, first)
    assert made is not None and apply(table, first) is None, "a command that comes twice counts once"
    one.learned(2900, made)
    assert one.token(1000 + SPAN - 1) == 1 and one.token(1000 + SPAN) == 0, "counted from the first asking"
    late = Take("d", "n1#0", 1, 0)
    assert apply(table, late) is None, "a taker that did not see the renewal is refused"


def test_a_process_that_starts_again_holds_nothing_that_an_earlier_one_was_granted() -> None:
    seat = Seat("d", "n0#1", TIMING)
    seat.learned(0, Grant("d", "n0#1", 3, 2))  # even under its own name
    assert seat.token(1) == 0 and seat.due(TIMING.patience - 1) is None
    assert isinstance(seat.due(TIMING.patience), Take)


def test_a_holder_that_drains_gives_back_and_the_next_need_not_wait() -> None:
    table: dict[str, Grant] = {}
    one, other = Seat("d", "n0#0", TIMING), Seat("d", "n1#0", TIMING, rank=1)
    one.learned(0, Grant("d"))
    granted(table, one, 0)
    one.leave()
    command = one.due(10)
    assert isinstance(command, Release) and one.token(10) == 0, "it acts no more once it gave back"
    made = apply(table, command)
    assert made is not None
    other.learned(20, made)
    assert other.due(20) is None, "a later one lets those before it try"
    assert granted(table, other, 20 + SPAN // 20).token == 2
    assert one.due(10 * SPAN) is None, "one that drains does not come back"


def test_a_fence_lets_no_older_holder_through() -> None:
    fence = Fence()
    assert [fence.admits(token) for token in (0, 1, 1, 3, 2, 3)] == [False, True, True, True, False, True]
    assert fence.refused == 2


@pytest.mark.parametrize(("span", "drift"), [(0, 0.0), (1, 1.0), (1, -0.1)])
def test_times_that_can_not_be_counted_with_are_refused(span: int, drift: float) -> None:
    with pytest.raises(ValueError, match="span: must be above 0"):
        Timing(span, drift)
