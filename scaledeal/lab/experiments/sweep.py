"""Plays scenarios x seeds x variants, as far as the store has them not, and compares the variants."""

from __future__ import annotations

import subprocess
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from scaledeal.lab.experiments.statistics import Verdict, compare
from scaledeal.lab.runs.play import HostName, Job, Outcome, Variant, module_from
from scaledeal.lab.runs.store import Store
from scaledeal.lab.runs.worker import in_parallel

MODULE = "scaledeal/policy.py"


class VariantError(Exception):
    """A variant that can't be had; the text says why."""


class Row(msgspec.Struct, frozen=True):
    """Two variants on one scenario, or on all together."""

    scenario: str
    first: str
    second: str
    verdict: Verdict
    broken: tuple[int, int]  # runs of each with a broken rule or no end


def variant_of(told: str) -> Variant:
    """Read ``now``, ``rev:REVISION``, ``file:PATH`` or ``set:HCL``, each with ``NAME=`` before it if wanted."""
    name, equals, rest = told.partition("=")
    if not equals or ":" in name:
        name, rest = told, told
    kind, _, what = rest.partition(":")
    if rest == "now":
        return Variant(name)
    if kind == "rev":
        found = subprocess.run(["git", "show", f"{what}:{MODULE}"], capture_output=True, text=True)
        if found.returncode:
            raise VariantError(f"{told}: {found.stderr.strip() or 'no such revision'}")
        return _checked(Variant(name, found.stdout), told)
    if kind == "file":
        try:
            return _checked(Variant(name, Path(what).read_text("utf-8")), told)
        except OSError as error:
            raise VariantError(f"{told}: {error.strerror}") from None
    if kind == "set":
        return Variant(name, "", what.replace(";", "\n"))
    raise VariantError(f"{told}: one of now, rev:REVISION, file:PATH or set:HCL was expected")


def _checked(variant: Variant, told: str) -> Variant:
    try:
        module_from(variant.source)
    except ValueError as error:
        raise VariantError(f"{told}: {error}") from None
    return variant


def jobs_of(texts: Iterable[str], seeds: Iterable[int], variants: Iterable[Variant], host: HostName) -> list[Job]:
    """Return all runs of an experiment, pairs close together: what is stopped half way has whole pairs."""
    seeds, variants = list(seeds), list(variants)
    return [Job(text, seed, host, variant, stop=False) for text in texts for seed in seeds for variant in variants]


def sweep(
    jobs: list[Job],
    store: Store,
    experiment: str,
    workers: int,
    stopped: Callable[[], bool] = lambda: False,
) -> Iterator[tuple[Outcome, bool]]:
    """Yield the outcome of every job and whether it was kept from before; new ones are kept as they come."""
    missing = []
    for job in jobs:
        if (kept := store.find(job.key)) is not None:
            yield msgspec.structs.replace(kept, variant=job.variant.name), True
        else:
            missing.append(job)
    for outcome in in_parallel(missing, workers, stopped):
        store.put(outcome, experiment)
        yield outcome, False


def rows_of(outcomes: Iterable[Outcome], variants: list[str], figure: Callable[[Outcome], float]) -> list[Row]:
    """Compare every variant with the first, on each scenario and on all; seeds that one of them lacks are left out."""
    table: dict[str, dict[str, dict[int, Outcome]]] = {}
    for each in outcomes:
        table.setdefault(each.title, {}).setdefault(each.variant, {})[each.seed] = each
    rows = []
    for second in variants[1:]:
        pairs: list[tuple[Outcome, Outcome]] = []
        for title, by_variant in table.items():
            mine = _pairs(by_variant, variants[0], second)
            pairs += mine
            if mine:
                rows.append(_row(title, variants[0], second, mine, figure))
        if len(table) > 1 and pairs:
            rows.append(_row("all", variants[0], second, pairs, figure))
    return rows


def _pairs(by_variant: dict[str, dict[int, Outcome]], first: str, second: str) -> list[tuple[Outcome, Outcome]]:
    a, b = by_variant.get(first, {}), by_variant.get(second, {})
    return [(a[seed], b[seed]) for seed in sorted(a.keys() & b.keys()) if not (a[seed].error or b[seed].error)]


def _row(
    title: str, first: str, second: str, pairs: list[tuple[Outcome, Outcome]], figure: Callable[[Outcome], float]
) -> Row:
    verdict = compare([figure(a) for a, _ in pairs], [figure(b) for _, b in pairs])
    broken = (sum(bool(a.violations) for a, _ in pairs), sum(bool(b.violations) for _, b in pairs))
    return Row(title, first, second, verdict, broken)
