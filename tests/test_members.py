"""Membership of relays in simulated time: joins, deaths, stalls, partitions, and the number of messages."""

from __future__ import annotations

import pytest

from scaledeal.fleet.core.members import NS_PER_MS, Members, Ping, Settings, State, Update
from scaledeal.lab.membership import MembershipSimulation, NetworkFaults

SECOND = 1000 * NS_PER_MS
COUNT = 30


def converged_fleet(seed: int = 1, loss: float = 0.02) -> MembershipSimulation:
    fleet = MembershipSimulation(COUNT, seed, Settings(), NetworkFaults(loss))
    assert fleet.run_until(fleet.converged, 60 * SECOND) is not None, "the relays did not all discover each other"
    return fleet


def test_fleet_without_process_faults_converges_with_no_false_death_and_bounded_messages() -> None:
    fleet = converged_fleet()
    fleet.sent = 0
    fleet.kernel.run(fleet.kernel.now + 60 * SECOND)
    assert fleet.false_deaths() == set() and fleet.converged()
    assert fleet.sent / COUNT / 60 <= 4, f"{fleet.sent / COUNT / 60:.1f} messages a second a relay"


@pytest.mark.parametrize("seed", [1, 2])
def test_death_is_known_to_all_within_the_bound_and_a_restarted_relay_rejoins(seed: int) -> None:
    fleet = converged_fleet(seed)
    fleet.kill("n7")
    bound = fleet.settings.detection_bound(COUNT)
    assert fleet.run_until(lambda: fleet.states_of("n7") == {State.DEAD}, bound) is not None, fleet.states_of("n7")
    fleet.start("n7", 99)  # it does not know its earlier incarnation
    assert fleet.run_until(fleet.converged, 60 * SECOND) is not None, fleet.states_of("n7")
    assert fleet.relays["n7"].local.incarnation >= 1, "it rejoined without raising its incarnation above the dead one"


def test_stalled_relay_is_dead_to_all_and_returns_with_a_higher_incarnation() -> None:
    fleet = converged_fleet()
    fleet.stall("n3", 40 * SECOND)
    assert fleet.run_until(lambda: fleet.states_of("n3") == {State.DEAD}, 40 * SECOND) is not None
    fleet.kernel.run(fleet.kernel.now + 40 * SECOND)
    assert fleet.run_until(fleet.converged, 30 * SECOND) is not None, fleet.states_of("n3")
    assert fleet.relays["n3"].local.incarnation >= 1
    assert fleet.false_deaths() == set(), "the stalled relay declares others dead because of its own stall"


def test_relay_cut_off_from_a_single_other_is_not_suspected() -> None:
    # One relay alone must not declare another dead: it requests indirect probes first.
    fleet = converged_fleet(loss=0.0)
    fleet.is_cut = lambda source, target: {source, target} == {"n1", "n2"}
    fleet.kernel.run(fleet.kernel.now + 60 * SECOND)
    assert fleet.false_deaths() == set()
    incarnations = [fleet.relays[name].local.incarnation for name in ("n1", "n2")]
    assert incarnations == [0, 0], f"suspected by the other, and refuted it: {incarnations}"


def test_two_halves_merge_again_after_a_partition() -> None:
    fleet = converged_fleet()
    half = {f"n{number}" for number in range(COUNT // 2)}
    fleet.is_cut = lambda source, target: (source in half) != (target in half)
    fleet.kernel.run(fleet.kernel.now + 60 * SECOND)
    assert fleet.relays["n0"].alive() == sorted(half), "the other half must be dead to this one"
    fleet.is_cut = lambda source, target: False
    assert fleet.run_until(fleet.converged, 90 * SECOND) is not None


def test_leaving_relay_announces_it_and_is_not_suspected_first() -> None:
    fleet = converged_fleet()
    fleet.leave("n9")
    assert fleet.run_until(lambda: fleet.states_of("n9") == {State.LEFT}, 15 * SECOND) is not None, fleet.states_of(
        "n9"
    )


def test_update_that_does_not_override_is_ignored() -> None:
    member = Members("a", "a:1", {"b": "b:1"}, Settings(), 1)
    for state, incarnation, expected in (
        (State.SUSPECT, 2, State.SUSPECT),
        (State.ALIVE, 2, State.SUSPECT),
        (State.ALIVE, 1, State.SUSPECT),
        (State.ALIVE, 3, State.ALIVE),
        (State.DEAD, 3, State.DEAD),
        (State.SUSPECT, 3, State.DEAD),
    ):
        member.receive(0, Ping(1, "b", (Update("b", "b:1", state, incarnation),)))
        assert member.state("b") is expected, (state, incarnation)
    member.receive(0, Ping(2, "b", (Update("a", "a:1", State.SUSPECT, 0),)))
    assert member.local.incarnation == 1 and member.state("a") is State.ALIVE, "a suspicion of oneself is refuted"
