"""Hunts in parallel: draws days, plays each in a process of its own, shrinks the first of each rule that breaks."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool

import msgspec

from scaledeal.lab.hosts.module import Factory
from scaledeal.lab.hunt.case import Case, failure_of, replay
from scaledeal.lab.hunt.draw import drawn
from scaledeal.lab.hunt.shrink import shrink
from scaledeal.lab.kernel import Streams
from scaledeal.lab.runs.play import HostName, module_from
from scaledeal.policy import Balancer

Say = Callable[[str], object]
Seen = tuple[int, str, float]
AT_ONCE = 4  # days handed to a worker in one go


def factory_of(source: str) -> Factory:
    """Return what makes balancers of a source; of today's where there is none."""
    return module_from(source) if source else Balancer


def case_of(seed: int, number: int, host: HostName) -> Case:
    """Return the day of this number: the same seed draws the same days, however many run at once."""
    draw = Streams(seed).of("hunt", host, number)
    return Case(drawn(draw, host), int(draw.integers(1 << 31)), host, shuffle=bool(draw.random() < 0.25))


def look(seed: int, numbers: list[int], host: HostName, source: str, against: str | None) -> list[Seen]:
    """Play some days; return the number, the rule that broke and the figure of each."""
    found = []
    for number in numbers:
        case = case_of(seed, number, host)
        violation, score = replay(case, factory_of(source))
        rule = violation.rule if violation else ""
        if rule and against is not None and failure_of(case, factory_of(against)):
            rule = ""  # the other one breaks a rule there too
        found.append((number, rule, score))
    return found


def shrunk(case: Case, source: str, against: str | None) -> Case:
    """Return the smallest case that breaks the same rule, with its trace as the note."""
    factory = factory_of(source)

    def fails(tried: Case) -> str:
        rule = failure_of(tried, factory)
        both = rule == case.rule and against is not None and failure_of(tried, factory_of(against))
        return "" if both else rule

    small = shrink(case, fails)
    violation, _ = replay(small, factory)
    return msgspec.structs.replace(small, note=str(violation) if violation else "")


def hunted(tries: int, seed: int, host: HostName, source: str, workers: int, say: Say,
           against: str | None = None) -> Iterator[Case]:
    """Yield one shrunk case for each rule that breaks, the first found of each.

    With ``against``, another module's source, only days are taken on which that one keeps every rule.
    """
    seen: set[str] = set()
    lots = [list(range(at, min(tries, at + AT_ONCE))) for at in range(0, tries, AT_ONCE)]
    worst = (2.0, -1)
    with ProcessPoolExecutor(workers) as pool:
        try:
            futures = [pool.submit(look, seed, lot, host, source, against) for lot in lots]
            for done, future in enumerate(as_completed(futures), 1):
                for number, rule, score in future.result():
                    worst = min(worst, (score, number)) if not rule else worst
                    if rule and rule not in seen:
                        seen.add(rule)
                        say(f"day {number}: {rule}; shrinking")
                        yield shrunk(msgspec.structs.replace(case_of(seed, number, host), rule=rule), source, against)
                if done % 10 == 0 or done == len(lots):
                    say(f"{min(tries, done * AT_ONCE)} of {tries} days, worst G so far {worst[0]:.3f} (day {worst[1]})")
        except BrokenProcessPool:
            say("a worker died: what it played is lost, the days that were told stand")
