"""Plays scenarios x seeds x variants, except the runs that are already stored, and compares the variants."""

from __future__ import annotations

import subprocess
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from scaledeal import interface as api
from scaledeal.lab.experiments.statistics import Verdict, compare
from scaledeal.lab.hosts.module import BalancerFactory
from scaledeal.lab.runs.play import HostName, Job, Outcome, Variant, load_balancer
from scaledeal.lab.runs.store import Store
from scaledeal.lab.runs.worker import play_in_parallel

DECISION_MODULE = "scaledeal/policy.py"


class VariantError(Exception):
    """A variant is badly specified or cannot be loaded; the message gives the reason."""


class ComparisonRow(msgspec.Struct, frozen=True):
    """The comparison of two variants on one scenario, or on all scenarios together."""

    scenario: str
    first: str
    second: str
    verdict: Verdict
    broken: tuple[int, int]  # number of runs of each variant with a broken rule


def parse_variant(specification: str) -> Variant:
    """Parse ``now``, ``rev:REVISION``, ``file:PATH`` or ``set:HCL``, each optionally prefixed with ``NAME=``.

    In ``set:HCL`` a semicolon stands for a line break. Raise VariantError if the variant cannot be loaded.
    """
    name, equals, rest = specification.partition("=")
    if not equals or ":" in name:
        name, rest = specification, specification
    kind, _, argument = rest.partition(":")
    if rest == "now":
        return Variant(name)
    if kind == "rev":
        shown = subprocess.run(["git", "show", f"{argument}:{DECISION_MODULE}"], capture_output=True, text=True)
        if shown.returncode:
            raise VariantError(f"{specification}: {shown.stderr.strip() or 'no such revision'}")
        return _check_source(Variant(name, shown.stdout), specification)
    if kind == "file":
        try:
            return _check_source(Variant(name, Path(argument).read_text("utf-8")), specification)
        except OSError as error:
            raise VariantError(f"{specification}: {error.strerror}") from None
    if kind == "set":
        return Variant(name, "", argument.replace(";", "\n"))
    raise VariantError(f"{specification}: one of now, rev:REVISION, file:PATH or set:HCL was expected")


def _check_source(variant: Variant, specification: str) -> Variant:
    try:
        _check_fit(load_balancer(variant.source))
    except ValueError as error:
        raise VariantError(f"{specification}: {error}") from None
    return variant


def _check_fit(make_balancer: BalancerFactory) -> None:
    """Have a balancer learn from one report; raise ValueError if it does not fit today's other decision modules.

    A variant holds ``policy.py`` alone, so that of an older revision may call the others as they were then.
    """
    second = 1_000_000_000
    settings = api.Settings(
        classes=(api.RequestClass(second, second),),
        may_probe=True,
        report_fields=(api.Field.UTILISATION,),
        report_source=api.Source.PROBES,
    )
    events = (
        api.Membership(api.MembershipKind.INITIAL, (api.ServerEntry("s"),)),
        api.Request("r", 0, second),
        api.ProbeResult("s", api.Result.OK, 1, (0.5,)),
    )
    balancer = make_balancer(settings, 1)
    for event in events:
        try:
            balancer.handle(0, event)
        except (AttributeError, TypeError) as error:
            raise ValueError(f"the module does not fit today's other decision modules: {error}") from None
        except Exception:  # any other fault is the variant's own, and each of its runs tells of it
            return


def make_jobs(texts: Iterable[str], seeds: Iterable[int], variants: Iterable[Variant], host: HostName) -> list[Job]:
    """Return all jobs of an experiment.

    The variants of one seed follow each other, so that a sweep stopped half way has mostly complete pairs.
    """
    seeds, variants = list(seeds), list(variants)
    return [
        Job(text, seed, host, variant, stop_at_violation=False)
        for text in texts
        for seed in seeds
        for variant in variants
    ]


def sweep(
    jobs: list[Job],
    store: Store,
    experiment: str,
    workers: int,
    should_stop: Callable[[], bool] = lambda: False,
) -> Iterator[tuple[Outcome, bool]]:
    """Yield the outcome of every job and whether it was already stored; new outcomes are stored as they arrive.

    No further job is started once ``should_stop`` returns true.
    """
    missing = []
    for job in jobs:
        if (stored := store.find(job.key)) is not None:
            yield msgspec.structs.replace(stored, variant=job.variant.name), True
        else:
            missing.append(job)
    for outcome in play_in_parallel(missing, workers, should_stop):
        store.save(outcome, experiment)
        yield outcome, False


def compare_variants(
    outcomes: Iterable[Outcome], variants: list[str], figure: Callable[[Outcome], float]
) -> list[ComparisonRow]:
    """Compare every variant with the first, on each scenario and on all together.

    Seeds for which one of the two has no run, or a run with an error, are left out.
    """
    by_title: dict[str, dict[str, dict[int, Outcome]]] = {}  # then by variant and by seed
    for outcome in outcomes:
        by_title.setdefault(outcome.title, {}).setdefault(outcome.variant, {})[outcome.seed] = outcome
    rows = []
    for second in variants[1:]:
        pairs: list[tuple[Outcome, Outcome]] = []
        for title, by_variant in by_title.items():
            scenario_pairs = _pairs(by_variant, variants[0], second)
            pairs += scenario_pairs
            if scenario_pairs:
                rows.append(_row(title, variants[0], second, scenario_pairs, figure))
        if len(by_title) > 1 and pairs:
            rows.append(_row("all", variants[0], second, pairs, figure))
    return rows


def _pairs(by_variant: dict[str, dict[int, Outcome]], first: str, second: str) -> list[tuple[Outcome, Outcome]]:
    a, b = by_variant.get(first, {}), by_variant.get(second, {})
    return [(a[seed], b[seed]) for seed in sorted(a.keys() & b.keys()) if not (a[seed].error or b[seed].error)]


def _row(
    title: str, first: str, second: str, pairs: list[tuple[Outcome, Outcome]], figure: Callable[[Outcome], float]
) -> ComparisonRow:
    verdict = compare([figure(a) for a, _ in pairs], [figure(b) for _, b in pairs])
    broken = (sum(bool(a.violations) for a, _ in pairs), sum(bool(b.violations) for _, b in pairs))
    return ComparisonRow(title, first, second, verdict, broken)
