"""Model of leases and fencing, with clocks of different rates, stalls, loss, delay, duplication and reordering.

The model runs the grants, participants and fences of ``fleet.core.lease`` themselves, so model and code can't diverge.
It adds their environment: a tick of time advances each clock by its own rate; a message, once sent, arrives at any
later moment, any number of times, or never; a relay that has checked its lease acts at any later moment.

``MUTANTS`` are protocols with one guard left out; the model checker must find a violation in each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from minicheck import Protocol

from scaledeal.fleet.core.lease import Command, Fence, Grant, LeaseParticipant, Renew, Take, Timing, next_grant

SLOW_RATE = 2  # units of time by which a slow clock advances in a tick
FAST_RATE = 3  # the same of a fast clock
LEASE_UNITS = 6  # duration of a lease; a holder renews after a third of it
DRIFT = (FAST_RATE - SLOW_RATE) / (FAST_RATE + SLOW_RATE)
DEFAULT_TICKS = 6
MAX_TOKEN = 2  # bounds the state space: grants with a higher token are not explored


class Guards(msgspec.Struct, frozen=True):
    """The protocol's guards; a mutant leaves one out."""

    drift_margin: bool = True  # a contender waits longer than a lease's duration, to allow for drift
    count_from_sending: bool = True  # a holder counts from its request, not from the answer
    compare_renewals: bool = True  # the table compares the renewals that a taker observed
    check_tokens: bool = True  # the resource compares fencing tokens


MUTANTS = {
    "no margin for drift": Guards(drift_margin=False),
    "duration counted from the answer": Guards(count_from_sending=False),
    "table ignores renewals": Guards(compare_renewals=False),
    "resource ignores tokens": Guards(check_tokens=False),
}


class RelayState(msgspec.Struct, frozen=True):
    """The state of a participant between two events, and of its relay's clock."""

    rate: int
    clock: int = 0
    grant: Grant = Grant("d")
    observed_at: int | None = 0
    holds_until: int = 0
    requested: tuple[tuple[tuple[int, int], int], ...] = ()
    last_request_at: int = -LEASE_UNITS


class World(msgspec.Struct, frozen=True):
    """The whole state of the model: the table, the relays, messages and acts in transit, and the fence."""

    agreed: Grant
    relays: tuple[RelayState, ...]
    announced: frozenset[Grant] = frozenset()
    proposed: frozenset[Command] = frozenset()
    pending_acts: frozenset[int] = frozenset()  # tokens with which a relay may still act
    highest_token: int = 0
    stale_act_admitted: bool = False  # an act was admitted after one with a higher token
    ticks_left: int = DEFAULT_TICKS


Step = tuple[str, World]
"""A label of the event, and the world after it."""


def start(rates: tuple[int, ...] = (SLOW_RATE, FAST_RATE), ticks: int = DEFAULT_TICKS) -> World:
    """Return the world before any relay holds the duty; ``rates``: units of time per tick of each relay's clock."""
    return World(Grant("d"), tuple(RelayState(rate) for rate in rates), ticks_left=ticks)


def steps(world: World, guards: Guards) -> list[Step]:
    """Return all possible next steps."""
    found: list[Step] = []
    if world.ticks_left:
        relays = tuple(msgspec.structs.replace(relay, clock=relay.clock + relay.rate) for relay in world.relays)
        found.append(("time passes", msgspec.structs.replace(world, relays=relays, ticks_left=world.ticks_left - 1)))
    for number, relay in enumerate(world.relays):
        found += _relay_steps(world, number, relay, guards)
    for command in world.proposed:
        found += _table_steps(world, command, guards)
    for token in world.pending_acts:
        found.append((f"an act with token {token} arrives", _after_act(world, token, guards)))
    return found


def _participant(number: int, relay: RelayState, guards: Guards) -> LeaseParticipant:
    participant = LeaseParticipant("d", f"n{number}", Timing(LEASE_UNITS, DRIFT if guards.drift_margin else 0.0))
    participant.grant, participant.observed_at, participant.holds_until = (
        relay.grant,
        relay.observed_at,
        relay.holds_until,
    )
    participant.requested, participant.last_request_at = dict(relay.requested), relay.last_request_at
    return participant


def _relay_state(relay: RelayState, participant: LeaseParticipant) -> RelayState:
    return RelayState(
        relay.rate,
        relay.clock,
        participant.grant,
        participant.observed_at,
        participant.holds_until,
        tuple(sorted(participant.requested.items())),
        participant.last_request_at,
    )


def _with_relay(world: World, number: int, relay: RelayState, **changes: Any) -> World:
    relays = (*world.relays[:number], relay, *world.relays[number + 1 :])
    return msgspec.structs.replace(world, relays=relays, **changes)


def _relay_steps(world: World, number: int, relay: RelayState, guards: Guards) -> list[Step]:
    found: list[Step] = []
    participant = _participant(number, relay, guards)
    if (token := participant.token(relay.clock)) and token not in world.pending_acts:
        found.append(
            (
                f"n{number} checks its lease",
                msgspec.structs.replace(world, pending_acts=world.pending_acts | {token}),
            )
        )
    if (command := participant.next_command(relay.clock)) is not None and command not in world.proposed:
        proposed = world.proposed | {command}
        found.append(
            (
                f"n{number} proposes {type(command).__name__}",
                _with_relay(world, number, _relay_state(relay, participant), proposed=proposed),
            )
        )
    for grant in world.announced:
        if (grant.token, grant.renewals) > (relay.grant.token, relay.grant.renewals):
            participant = _participant(number, relay, guards)
            participant.observe(relay.clock, grant)
            if not guards.count_from_sending and grant.holder == participant.name:
                participant.holds_until = relay.clock + LEASE_UNITS
            found.append(
                (
                    f"n{number} observes {grant.holder} {grant.token}.{grant.renewals}",
                    _drop_ineffective(_with_relay(world, number, _relay_state(relay, participant)), guards),
                )
            )
    return found


def _table_steps(world: World, command: Command, guards: Guards) -> list[Step]:
    grant = world.agreed
    if not guards.compare_renewals and isinstance(command, Take):
        command = msgspec.structs.replace(command, renewals=grant.renewals)
    new_grant = next_grant(grant, command)
    renewed_before = isinstance(command, Renew) and grant.renewals >= 1  # bounds the state space
    if new_grant is None or new_grant.token > MAX_TOKEN or renewed_before:
        return []
    world_after = msgspec.structs.replace(world, agreed=new_grant, announced=world.announced | {new_grant})
    return [(f"the table accepts {command}", _drop_ineffective(world_after, guards))]


def _drop_ineffective(world: World, guards: Guards) -> World:
    """Drop messages that can no longer have an effect, so that worlds which differ only in these become one state."""
    agreed = (world.agreed.token, world.agreed.renewals)
    effective = frozenset(
        command
        for command in world.proposed
        if (command.token, command.renewals if guards.compare_renewals else agreed[1]) >= agreed  # type: ignore[union-attr]
    )
    observed_by_all = min((relay.grant.token, relay.grant.renewals) for relay in world.relays)
    return msgspec.structs.replace(
        world,
        proposed=effective,
        announced=frozenset(grant for grant in world.announced if (grant.token, grant.renewals) > observed_by_all),
    )


def _after_act(world: World, token: int, guards: Guards) -> World:
    fence = Fence()
    fence.highest = world.highest_token
    admitted = fence.admits(token) or not guards.check_tokens
    return msgspec.structs.replace(
        world,
        highest_token=max(world.highest_token, token),
        pending_acts=world.pending_acts - {token},
        stale_act_admitted=world.stale_act_admitted or (admitted and token < world.highest_token),
    )


def _one_holder(fields: dict[str, Any]) -> bool:
    world: World = fields["world"]
    return sum(relay.clock < relay.holds_until for relay in world.relays) <= 1


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "at most one holder at any time": _one_holder,
    "no act admitted after a newer one": lambda fields: not fields["world"].stale_act_admitted,
}
ALL_GUARDS = Guards()


def protocol(
    guards: Guards = ALL_GUARDS, rates: tuple[int, ...] = (SLOW_RATE, FAST_RATE), ticks: int = DEFAULT_TICKS
) -> Protocol:
    """Return the model in the form that the model checker takes."""
    return Protocol(
        name="leasing",
        candidate=False,
        fields=("world",),
        initial=(start(rates, ticks),),
        transitions=lambda state: [(label, (then,)) for label, then in steps(state[0], guards)],
        invariants=INVARIANTS,
    )
