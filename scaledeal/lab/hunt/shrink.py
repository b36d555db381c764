"""Takes away from a case all that it does not need to break its rule: troubles, relays, servers, time, clients.

Each step is tried on its own and kept where the same rule still breaks; a day is played again for each, with other
seeds too, since a smaller fleet draws otherwise. It ends when no step helps, or after so many tries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from scaledeal.hcl import Duration
from scaledeal.lab.hunt.case import Case

SECOND = 1_000_000_000
SEEDS = 6  # other seeds tried where a smaller day holds with its own
TRIES = 400

Fails = Callable[[Case], str]  # the rule that a case breaks, or nothing


def shrink(case: Case, fails: Fails, tries: int = TRIES) -> Case:
    """Return the smallest case found that breaks the same rule."""
    left = [tries]
    again = True
    while again and left[0] > 0:
        again = False
        for smaller in _smaller(case):
            if (found := _still(smaller, case.rule, fails, left)) is not None:
                case, again = found, True
                break
    return case


def _still(case: Case, rule: str, fails: Fails, left: list[int]) -> Case | None:
    for other in range(SEEDS):
        if left[0] <= 0:
            return None
        left[0] -= 1
        tried = msgspec.structs.replace(case, seed=case.seed + other)
        if fails(tried) == rule:
            return tried
    return None


def _with(case: Case, **more: Any) -> Case:
    return msgspec.structs.replace(case, day=msgspec.structs.replace(case.day, **more))


def _smaller(case: Case) -> Iterator[Case]:
    """Yield days with less in them, the boldest steps first."""
    day = case.day
    for place in range(len(day.trouble)):
        yield _with(case, trouble=day.trouble[:place] + day.trouble[place + 1 :])
    if day.clients.load > 0.02:
        for factor in (0.25, 0.5, 0.8):
            yield _with(case, clients=msgspec.structs.replace(day.clients, load=day.clients.load * factor))
    for name in ("relays", "servers"):
        block = getattr(day, name)
        for count in sorted({1, block.count // 2, block.count - 1} - {0, block.count}):
            yield _with(case, **{name: msgspec.structs.replace(block, count=count)})
    if len(day.classes) > 1:
        yield _with(case, classes=day.classes[:1])
    if len(day.zones) > 1 and all(trouble.zone is None for trouble in day.trouble):
        yield _with(case, zones=day.zones[:1])
    if day.clients.standing:
        yield _with(case, clients=msgspec.structs.replace(day.clients, standing=False))
    ends = max([int(trouble.at.high + trouble.lasts.high) for trouble in day.trouble], default=0)
    for seconds in (day.seconds // 2, day.seconds * 3 // 4, ends + SECOND):
        if SECOND <= seconds < day.seconds and all(t.at.high <= seconds for t in day.trouble):
            yield _with(case, seconds=Duration(seconds))
