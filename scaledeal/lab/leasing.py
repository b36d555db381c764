"""Leases and fencing as a model: relays with clocks of unlike pace, stalls, loss, delay, repeats and reordering.

The model moves tables, seats and fences of ``fleet.core.lease`` themselves, so the two can't drift apart. What it adds
is what can happen around them: a tick of time, in which each clock goes on by its own pace; a message, once sent,
arrives at any later moment, any number of times, or never; a relay that looked at its lease acts at any later moment.

``MUTANTS`` are protocols with one guard left out; the checker has to catch each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from minicheck import Protocol

from scaledeal.fleet.core.lease import Command, Fence, Grant, Renew, Seat, Take, Timing, after

SLOW, FAST = 2, 3  # units that a clock goes on in a tick
SPAN = 6  # units; a holder renews after a third of it
DRIFT = (FAST - SLOW) / (FAST + SLOW)
ENDS = 6  # ticks that a run lasts, unless told
TOKENS = 2  # grants that are followed


class Rules(msgspec.Struct, frozen=True):
    """The protocol's guards; a mutant leaves one out."""

    margin: bool = True  # a contender waits longer than a span, for drift
    from_sending: bool = True  # a holder counts from what it sent, not from what it learned
    compare: bool = True  # the table compares the renewal that a taker saw
    check: bool = True  # what acts touch compares tokens


MUTANTS = {
    "no margin for drift": Rules(margin=False),
    "a span counted from the answer": Rules(from_sending=False),
    "a renewal that the table does not compare": Rules(compare=False),
    "a token that nobody checks": Rules(check=False),
}


class Relay(msgspec.Struct, frozen=True):
    """A seat between two events, and its relay's clock."""

    pace: int
    clock: int = 0
    grant: Grant = Grant("d")
    learned_at: int | None = 0
    holds_until: int = 0
    asked: tuple[tuple[tuple[int, int], int], ...] = ()
    asked_at: int = -SPAN


class World(msgspec.Struct, frozen=True):
    """Everything: what is agreed on, the relays, what is under way, and what the fence let through."""

    agreed: Grant
    relays: tuple[Relay, ...]
    told: frozenset[Grant] = frozenset()
    proposed: frozenset[Command] = frozenset()
    acts: frozenset[int] = frozenset()  # tokens with which somebody may yet act
    highest: int = 0
    late: bool = False  # an act with a lower token than one before it went through
    left: int = ENDS  # ticks of time


Step = tuple[str, World]
"""What happened, and the world after it."""


def start(paces: tuple[int, ...] = (SLOW, FAST), ticks: int = ENDS) -> World:
    """Return the world before anybody holds the duty; ``paces``: units that each relay's clock goes on in a tick."""
    return World(Grant("d"), tuple(Relay(pace) for pace in paces), left=ticks)


def steps(world: World, rules: Rules) -> list[Step]:
    """Return everything that may happen next."""
    found: list[Step] = []
    if world.left:
        relays = tuple(msgspec.structs.replace(each, clock=each.clock + each.pace) for each in world.relays)
        found.append(("time passes", msgspec.structs.replace(world, relays=relays, left=world.left - 1)))
    for number, relay in enumerate(world.relays):
        found += _relay_steps(world, number, relay, rules)
    for command in world.proposed:
        found += _agreed(world, command, rules)
    for token in world.acts:
        found.append((f"an act with token {token} arrives", _acted(world, token, rules)))
    return found


def _seat(number: int, relay: Relay, rules: Rules) -> Seat:
    seat = Seat("d", f"n{number}", Timing(SPAN, DRIFT if rules.margin else 0.0))
    seat.grant, seat.learned_at, seat.holds_until = relay.grant, relay.learned_at, relay.holds_until
    seat.asked, seat.asked_at = dict(relay.asked), relay.asked_at
    return seat


def _kept(relay: Relay, seat: Seat) -> Relay:
    return Relay(
        relay.pace,
        relay.clock,
        seat.grant,
        seat.learned_at,
        seat.holds_until,
        tuple(sorted(seat.asked.items())),
        seat.asked_at,
    )


def _with(world: World, number: int, relay: Relay, **more: Any) -> World:
    relays = (*world.relays[:number], relay, *world.relays[number + 1 :])
    return msgspec.structs.replace(world, relays=relays, **more)


def _relay_steps(world: World, number: int, relay: Relay, rules: Rules) -> list[Step]:
    found: list[Step] = []
    seat = _seat(number, relay, rules)
    if (token := seat.token(relay.clock)) and token not in world.acts:
        found.append((f"n{number} looks at its lease", msgspec.structs.replace(world, acts=world.acts | {token})))
    if (command := seat.due(relay.clock)) is not None and command not in world.proposed:
        proposed = world.proposed | {command}
        found.append(
            (f"n{number} asks {type(command).__name__}", _with(world, number, _kept(relay, seat), proposed=proposed))
        )
    for grant in world.told:
        if (grant.token, grant.beat) > (relay.grant.token, relay.grant.beat):
            seat = _seat(number, relay, rules)
            seat.learned(relay.clock, grant)
            if not rules.from_sending and grant.holder == seat.name:
                seat.holds_until = relay.clock + SPAN
            found.append(
                (
                    f"n{number} learns {grant.holder} {grant.token}.{grant.beat}",
                    _tidied(_with(world, number, _kept(relay, seat)), rules),
                )
            )
    return found


def _agreed(world: World, command: Command, rules: Rules) -> list[Step]:
    grant = world.agreed
    if not rules.compare and isinstance(command, Take):
        command = msgspec.structs.replace(command, beat=grant.beat)
    made = after(grant, command)
    bound = isinstance(command, Renew) and grant.beat >= 1
    if made is None or made.token > TOKENS or bound:
        return []
    after_it = msgspec.structs.replace(world, agreed=made, told=world.told | {made})
    return [(f"the table takes {command}", _tidied(after_it, rules))]


def _tidied(world: World, rules: Rules) -> World:
    """Leave out messages that can change nothing any more: worlds that differ in them alone are one."""
    at = (world.agreed.token, world.agreed.beat)
    open_ = frozenset(c for c in world.proposed if (c.token, c.beat if rules.compare else at[1]) >= at)  # type: ignore[union-attr]
    known = min((each.grant.token, each.grant.beat) for each in world.relays)
    return msgspec.structs.replace(
        world, proposed=open_, told=frozenset(each for each in world.told if (each.token, each.beat) > known)
    )


def _acted(world: World, token: int, rules: Rules) -> World:
    fence = Fence()
    fence.highest = world.highest
    went = fence.admits(token) or not rules.check
    return msgspec.structs.replace(
        world,
        highest=max(world.highest, token),
        acts=world.acts - {token},
        late=world.late or (went and token < world.highest),
    )


def _one_holder(fields: dict[str, Any]) -> bool:
    world: World = fields["world"]
    return sum(each.clock < each.holds_until for each in world.relays) <= 1


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "one holder at a moment": _one_holder,
    "no act after a newer one": lambda fields: not fields["world"].late,
}
SOUND = Rules()


def protocol(rules: Rules = SOUND, paces: tuple[int, ...] = (SLOW, FAST), ticks: int = ENDS) -> Protocol:
    """Return the model for the checker."""
    return Protocol(
        name="leasing",
        candidate=False,
        fields=("world",),
        initial=(start(paces, ticks),),
        transitions=lambda state: [(label, (then,)) for label, then in steps(state[0], rules)],
        invariants=INVARIANTS,
    )
