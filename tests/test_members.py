"""Membership of relays, in simulated time: joins, deaths, stalls, cuts, and what is sent."""

from __future__ import annotations

import pytest

from scaledeal.fleet.core.members import MS, Members, News, Pace, Ping, State
from scaledeal.lab.membership import Muster, Weather

SECOND = 1000 * MS
COUNT = 30


def gathered(seed: int = 1, loss: float = 0.02) -> Muster:
    muster = Muster(COUNT, seed, Pace(), Weather(loss))
    assert muster.until(muster.agree, 60 * SECOND) is not None, "not all found each other"
    return muster


def test_all_find_each_other_and_nobody_is_blamed_in_a_calm_run_of_bounded_messages() -> None:
    muster = gathered()
    muster.sent = 0
    muster.kernel.run(muster.kernel.now + 60 * SECOND)
    assert muster.blamed() == set() and muster.agree()
    assert muster.sent / COUNT / 60 <= 4, f"{muster.sent / COUNT / 60:.1f} messages a second a relay"


@pytest.mark.parametrize("seed", [1, 2])
def test_a_death_is_known_to_all_within_the_bound_and_its_next_process_is_taken_back(seed: int) -> None:
    muster = gathered(seed)
    muster.kill("n7")
    bound = muster.pace.known_within(COUNT)
    assert muster.until(lambda: muster.held("n7") == {State.DEAD}, bound) is not None, muster.held("n7")
    muster.start("n7", 99)  # it knows nothing of its earlier incarnation
    assert muster.until(muster.agree, 60 * SECOND) is not None, muster.held("n7")
    assert muster.relays["n7"].me.incarnation >= 1, "it came back without outdoing what was told of it"


def test_one_that_stalls_is_dead_to_all_and_comes_back_with_a_higher_incarnation() -> None:
    muster = gathered()
    muster.sleep("n3", 40 * SECOND)
    assert muster.until(lambda: muster.held("n3") == {State.DEAD}, 40 * SECOND) is not None
    muster.kernel.run(muster.kernel.now + 40 * SECOND)
    assert muster.until(muster.agree, 30 * SECOND) is not None, muster.held("n3")
    assert muster.relays["n3"].me.incarnation >= 1
    assert muster.blamed() == set(), "the one that slept blames the others for its own silence"


def test_one_whose_way_to_a_single_other_is_cut_is_not_blamed() -> None:
    # Guards against a death told by one relay alone: others are asked first.
    muster = gathered(loss=0.0)
    muster.cut = lambda source, target: {source, target} == {"n1", "n2"}
    muster.kernel.run(muster.kernel.now + 60 * SECOND)
    assert muster.blamed() == set()
    denials = [muster.relays[name].me.incarnation for name in ("n1", "n2")]
    assert denials == [0, 0], f"suspected by the other, and denied it: {denials}"


def test_two_halves_find_each_other_again_after_a_cut() -> None:
    muster = gathered()
    half = {f"n{number}" for number in range(COUNT // 2)}
    muster.cut = lambda source, target: (source in half) != (target in half)
    muster.kernel.run(muster.kernel.now + 60 * SECOND)
    assert muster.relays["n0"].alive() == sorted(half), "the other half is dead to this one"
    muster.cut = lambda source, target: False
    assert muster.until(muster.agree, 90 * SECOND) is not None


def test_one_that_leaves_says_so_and_is_not_suspected_first() -> None:
    muster = gathered()
    muster.leave("n9")
    assert muster.until(lambda: muster.held("n9") == {State.LEFT}, 15 * SECOND) is not None, muster.held("n9")


def test_what_is_old_or_as_high_changes_nothing() -> None:
    member = Members("a", "a:1", {"b": "b:1"}, Pace(), 1)
    for state, incarnation, held in (
        (State.SUSPECT, 2, State.SUSPECT),
        (State.ALIVE, 2, State.SUSPECT),
        (State.ALIVE, 1, State.SUSPECT),
        (State.ALIVE, 3, State.ALIVE),
        (State.DEAD, 3, State.DEAD),
        (State.SUSPECT, 3, State.DEAD),
    ):
        member.heard(0, Ping(1, "b", (News("b", "b:1", state, incarnation),)))
        assert member.state("b") is held, (state, incarnation)
    member.heard(0, Ping(2, "b", (News("a", "a:1", State.SUSPECT, 0),)))
    assert member.me.incarnation == 1 and member.state("a") is State.ALIVE, "a suspicion of oneself is denied"
