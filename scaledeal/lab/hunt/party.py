"""Hunts in parallel: draws days, plays each in a process of its own, shrinks the first of each rule that breaks."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool

import msgspec

from scaledeal.lab.hosts.module import BalancerFactory
from scaledeal.lab.hunt.case import Case, failure_of, replay
from scaledeal.lab.hunt.draw import around, drawn
from scaledeal.lab.hunt.shrink import shrink
from scaledeal.lab.kernel import Streams
from scaledeal.lab.runs.play import HostName, load_balancer
from scaledeal.lab.scenario.types import Scenario
from scaledeal.policy import Balancer

Say = Callable[[str], object]
Seen = tuple[int, str, float]
AT_ONCE = 4  # days handed to a worker in one go


def factory_of(source: str) -> BalancerFactory:
    """Return what makes balancers of a source; of today's where there is none."""
    return load_balancer(source) if source else Balancer


def case_of(seed: int, number: int, host: HostName, near: Scenario | None = None) -> Case:
    """Return the day of this number, of this scenario if one is given: the same seed draws the same days."""
    draw = Streams(seed).of("hunt", host, number)
    day = around(draw, near) if near else drawn(draw, host)
    return Case(day, int(draw.integers(1 << 31)), host, shuffle=bool(draw.random() < 0.25))


def look(cases: dict[int, Case], source: str, against: str | None) -> list[Seen]:
    """Play some days; return the number, the rule that broke and the figure of each."""
    found = []
    for number, case in cases.items():
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


def hunted(
    tries: int,
    seed: int,
    host: HostName,
    source: str,
    workers: int,
    say: Say,
    against: str | None = None,
    near: Scenario | None = None,
) -> Iterator[Case]:
    """Yield one shrunk case for each rule that breaks, the first found of each.

    With ``against``, another module's source, only days are taken on which that one keeps every rule. With ``near``,
    they are days of that scenario.
    """
    seen: dict[str, int] = {}  # how many days broke each rule
    cases = {number: case_of(seed, number, host, near) for number in range(tries)}
    lots = [
        {number: cases[number] for number in range(at, min(tries, at + AT_ONCE))} for at in range(0, tries, AT_ONCE)
    ]
    worst = (2.0, -1)
    with ProcessPoolExecutor(workers) as pool:
        try:
            futures = [pool.submit(look, lot, source, against) for lot in lots]
            for done, future in enumerate(as_completed(futures), 1):
                for number, rule, score in future.result():
                    worst = min(worst, (score, number)) if not rule else worst
                    seen[rule] = seen.get(rule, 0) + 1
                    if rule and seen[rule] == 1:
                        say(f"day {number}: {rule}; shrinking")
                        yield shrunk(msgspec.structs.replace(cases[number], rule=rule), source, against)
                if done % 10 == 0 or done == len(lots):
                    broken = ", ".join(f"{rule} on {many}" for rule, many in sorted(seen.items()) if rule) or "none"
                    say(
                        f"{min(tries, done * AT_ONCE)} of {tries} days, rules broken: {broken}; "
                        f"worst G so far {worst[0]:.3f} (day {worst[1]})"
                    )
        except BrokenProcessPool:
            say("a worker died: what it played is lost, the days that were told stand")
