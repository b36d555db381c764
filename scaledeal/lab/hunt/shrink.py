"""Shrinks a case: removes troubles, relays, servers, time and clients that it does not need to break its rule.

Each step is tried on its own and kept if the same rule still breaks. Every step is played with several seeds, since
other numbers are drawn for a smaller fleet. Shrinking ends when no step helps, or after a maximum number of runs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from scaledeal.hcl import Duration
from scaledeal.lab.hunt.case import Case

SECOND = 1_000_000_000
SEEDS_PER_STEP = 6  # the seed of the case first
MAX_RUNS = 400

FindRule = Callable[[Case], str]  # returns the rule that a case breaks, or ""


def shrink(case: Case, find_rule: FindRule, max_runs: int = MAX_RUNS) -> Case:
    """Return the smallest case found that breaks the same rule."""
    runs_left = [max_runs]
    progress = True
    while progress and runs_left[0] > 0:
        progress = False
        for smaller in _smaller_cases(case):
            if (reproduced := _reproduce(smaller, case.rule, find_rule, runs_left)) is not None:
                case, progress = reproduced, True
                break
    return case


def _reproduce(case: Case, rule: str, find_rule: FindRule, runs_left: list[int]) -> Case | None:
    """Return the case with the first seed with which it breaks the rule; count the runs down in ``runs_left``."""
    for offset in range(SEEDS_PER_STEP):
        if runs_left[0] <= 0:
            return None
        runs_left[0] -= 1
        candidate = msgspec.structs.replace(case, seed=case.seed + offset)
        if find_rule(candidate) == rule:
            return candidate
    return None


def _replace_in_day(case: Case, **changes: Any) -> Case:
    return msgspec.structs.replace(case, day=msgspec.structs.replace(case.day, **changes))


def _smaller_cases(case: Case) -> Iterator[Case]:
    """Yield cases with one part removed or reduced; within each part the largest reduction comes first."""
    day = case.day
    for index in range(len(day.trouble)):
        yield _replace_in_day(case, trouble=day.trouble[:index] + day.trouble[index + 1 :])
    if day.clients.load > 0.02:
        for factor in (0.25, 0.5, 0.8):
            yield _replace_in_day(case, clients=msgspec.structs.replace(day.clients, load=day.clients.load * factor))
    for name in ("relays", "servers"):
        block = getattr(day, name)
        for count in sorted({1, block.count // 2, block.count - 1} - {0, block.count}):
            yield _replace_in_day(case, **{name: msgspec.structs.replace(block, count=count)})
    if len(day.classes) > 1:
        yield _replace_in_day(case, classes=day.classes[:1])
    if len(day.zones) > 1 and all(trouble.zone is None for trouble in day.trouble):
        yield _replace_in_day(case, zones=day.zones[:1])
    if day.clients.standing:
        yield _replace_in_day(case, clients=msgspec.structs.replace(day.clients, standing=False))
    last_trouble_end = max([int(trouble.at.high + trouble.lasts.high) for trouble in day.trouble], default=0)
    for seconds in (day.seconds // 2, day.seconds * 3 // 4, last_trouble_end + SECOND):
        if SECOND <= seconds < day.seconds and all(t.at.high <= seconds for t in day.trouble):
            yield _replace_in_day(case, seconds=Duration(seconds))
