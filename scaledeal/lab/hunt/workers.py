"""Hunts in parallel: plays drawn days in worker processes and shrinks the first case of each rule that breaks."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool

import msgspec

from scaledeal.lab.hosts.module import BalancerFactory
from scaledeal.lab.hunt.case import Case, find_broken_rule, replay
from scaledeal.lab.hunt.draw import draw_scenario, vary_sizes
from scaledeal.lab.hunt.shrink import shrink
from scaledeal.lab.kernel import Streams
from scaledeal.lab.runs.play import HostName, load_balancer
from scaledeal.lab.scenario.types import Scenario
from scaledeal.policy import Balancer

ReportProgress = Callable[[str], object]
DayResult = tuple[int, str, float]  # number of the day, the rule that it broke or "", and its score
DAYS_PER_TASK = 4


def load_factory(source: str) -> BalancerFactory:
    """Return the factory of the balancers defined by a module's source, or of the current ones if it is empty."""
    return load_balancer(source) if source else Balancer


def draw_case(seed: int, number: int, host: HostName, scenario: Scenario | None = None) -> Case:
    """Return the day with this number; the same seed draws the same days.

    With ``scenario``, the day is that scenario with other sizes.
    """
    rng = Streams(seed).of("hunt", host, number)
    day = vary_sizes(rng, scenario) if scenario else draw_scenario(rng, host)
    return Case(day, int(rng.integers(1 << 31)), host, shuffle=bool(rng.random() < 0.25))


def play_cases(cases: dict[int, Case], source: str, against: str | None) -> list[DayResult]:
    """Play some days and return the result of each."""
    results = []
    for number, case in cases.items():
        violation, score = replay(case, load_factory(source))
        rule = violation.rule if violation else ""
        if rule and against is not None and find_broken_rule(case, load_factory(against)):
            rule = ""  # the other module breaks a rule on this day too
        results.append((number, rule, score))
    return results


def shrink_case(case: Case, source: str, against: str | None) -> Case:
    """Return the smallest case found that breaks the same rule, with the violation and its trace as the note."""
    factory = load_factory(source)

    def find_rule(candidate: Case) -> str:
        rule = find_broken_rule(candidate, factory)
        both_break = rule == case.rule and against is not None and find_broken_rule(candidate, load_factory(against))
        return "" if both_break else rule

    smallest = shrink(case, find_rule)
    violation, _ = replay(smallest, factory)
    return msgspec.structs.replace(smallest, note=str(violation) if violation else "")


def hunt_cases(
    tries: int,
    seed: int,
    host: HostName,
    source: str,
    workers: int,
    report_progress: ReportProgress,
    against: str | None = None,
    scenario: Scenario | None = None,
) -> Iterator[Case]:
    """Play ``tries`` days and yield one shrunk case for each rule that breaks, the first found of each.

    With ``against``, the source of another module, only days count on which that module keeps every rule. With
    ``scenario``, the days are that scenario with other sizes.
    """
    day_counts: dict[str, int] = {}  # days by the rule that they broke
    cases = {number: draw_case(seed, number, host, scenario) for number in range(tries)}
    batches = [
        {number: cases[number] for number in range(first, min(tries, first + DAYS_PER_TASK))}
        for first in range(0, tries, DAYS_PER_TASK)
    ]
    worst = (2.0, -1)  # the lowest score and its day
    with ProcessPoolExecutor(workers) as pool:
        try:
            futures = [pool.submit(play_cases, batch, source, against) for batch in batches]
            for done, future in enumerate(as_completed(futures), 1):
                for number, rule, score in future.result():
                    worst = min(worst, (score, number)) if not rule else worst
                    day_counts[rule] = day_counts.get(rule, 0) + 1
                    if rule and day_counts[rule] == 1:
                        report_progress(f"day {number}: {rule}; shrinking")
                        yield shrink_case(msgspec.structs.replace(cases[number], rule=rule), source, against)
                if done % 10 == 0 or done == len(batches):
                    broken = (
                        ", ".join(f"{rule} on {days}" for rule, days in sorted(day_counts.items()) if rule) or "none"
                    )
                    report_progress(
                        f"{min(tries, done * DAYS_PER_TASK)} of {tries} days, rules broken: {broken}; "
                        f"worst G so far {worst[0]:.3f} (day {worst[1]})"
                    )
        except BrokenProcessPool:
            report_progress(
                "a worker process died: its unreported days are lost, the results reported so far are valid"
            )
