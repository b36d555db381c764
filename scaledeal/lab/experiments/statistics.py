"""Decides which of two variants is better, from the same seeds played with both.

Student's t interval (scipy) is computed for the paired differences. The verdict is better or worse only if the interval
excludes 0; if not, the number of further seeds needed for a verdict is estimated from the spread seen so far.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Literal

import msgspec
import numpy as np
from scipy import stats

MAX_FURTHER_SEEDS = 10_000  # a larger number is reported as none
TEST_POWER = 0.8  # probability of a verdict with the estimated number of seeds


class Verdict(msgspec.Struct, frozen=True):
    """The result of a paired comparison of B with A."""

    pairs: int
    first: float  # mean of A
    second: float  # mean of B
    difference: float  # mean of B - A
    low: float  # lower bound of the difference's interval
    high: float  # upper bound
    verdict: Literal["better", "worse", "can't tell"]
    further_seeds: int = msgspec.field(name="further")  # needed for a verdict; 0 if there is one, -1 if no number helps

    def __str__(self) -> str:
        more = {0: "", -1: "; the variants are alike, as far as these seeds show"}.get(
            self.further_seeds, f"; {self.further_seeds} more seeds would decide"
        )
        return (
            f"{self.verdict}: {self.second:.4f} against {self.first:.4f}, difference {self.difference:+.4f} "
            f"[{self.low:+.4f}, {self.high:+.4f}] over {self.pairs} pairs{more}"
        )


def compare(first: Sequence[float], second: Sequence[float], level: float = 0.95) -> Verdict:
    """Compare B with A, whose figures are for the same seeds in the same order.

    ``level`` is the confidence level of the interval. Raise ValueError if the lengths differ, if there are no figures,
    or if a figure is not finite.
    """
    if len(first) != len(second) or not len(first):
        raise ValueError("both variants need figures for the same seeds, at least one")
    a, b = np.asarray(first, dtype=float), np.asarray(second, dtype=float)
    if not (np.isfinite(a).all() and np.isfinite(b).all()):
        raise ValueError("figures must be finite numbers")
    differences = b - a
    mean, count = float(differences.mean()), len(differences)
    spread = float(differences.std(ddof=1)) if count > 1 else math.inf
    if spread == 0:
        verdict: Literal["better", "worse", "can't tell"] = (
            "better" if mean > 0 else "worse" if mean < 0 else "can't tell"
        )
        return Verdict(count, float(a.mean()), float(b.mean()), mean, mean, mean, verdict, 0 if mean else -1)
    half_width = float(stats.t.ppf((1 + level) / 2, count - 1)) * spread / math.sqrt(count) if count > 1 else math.inf
    decided = abs(mean) > half_width
    verdict = ("better" if mean > 0 else "worse") if decided else "can't tell"
    further_seeds = 0 if decided else _further_seeds(mean, spread, count, level)
    return Verdict(
        count, float(a.mean()), float(b.mean()), mean, mean - half_width, mean + half_width, verdict, further_seeds
    )


def _further_seeds(mean: float, spread: float, count: int, level: float) -> int:
    """Return how many further seeds would show a difference of this size with a probability of ``TEST_POWER``.

    The result is -1 if the mean difference is 0 or more than ``MAX_FURTHER_SEEDS`` seeds would be needed.
    """
    if not math.isfinite(spread):
        return 1
    if mean == 0:
        return -1
    needed = (float(stats.norm.ppf((1 + level) / 2)) + float(stats.norm.ppf(TEST_POWER))) ** 2 * (spread / mean) ** 2
    return max(1, math.ceil(needed) - count) if needed < MAX_FURTHER_SEEDS else -1
