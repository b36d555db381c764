"""Says of two variants which is better, from the same seeds played with both.

The paired differences have Student's t interval (scipy). A verdict needs the interval to leave out 0; where it does
not, the number of further seeds that would tell is worked out from the spread seen so far.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Literal

import msgspec
import numpy as np
from scipy import stats

MOST = 10_000  # further seeds past which it is not worth telling how many
POWER = 0.8


class Verdict(msgspec.Struct, frozen=True):
    """What the pairs say."""

    pairs: int
    first: float  # mean of A
    second: float  # mean of B
    difference: float  # mean of B - A
    low: float  # of its interval
    high: float
    verdict: Literal["better", "worse", "can't tell"]
    further: int  # seeds that would tell, 0 where it is told, -1 where no number would

    def __str__(self) -> str:
        more = {0: "", -1: "; they are alike, as far as these seeds go"}.get(
            self.further, f"; {self.further} more seeds would tell"
        )
        return (
            f"{self.verdict}: {self.second:.4f} against {self.first:.4f}, difference {self.difference:+.4f} "
            f"[{self.low:+.4f}, {self.high:+.4f}] over {self.pairs} pairs{more}"
        )


def compare(first: Sequence[float], second: Sequence[float], level: float = 0.95) -> Verdict:
    """Compare B with A, the same seeds in the same order; raise ValueError where there are no pairs."""
    if len(first) != len(second) or not len(first):
        raise ValueError("the same seeds of both are needed, one at least")
    a, b = np.asarray(first, dtype=float), np.asarray(second, dtype=float)
    if not (np.isfinite(a).all() and np.isfinite(b).all()):
        raise ValueError("figures must be numbers")
    differences = b - a
    mean, count = float(differences.mean()), len(differences)
    spread = float(differences.std(ddof=1)) if count > 1 else math.inf
    if spread == 0:
        word: Literal["better", "worse", "can't tell"] = "better" if mean > 0 else "worse" if mean < 0 else "can't tell"
        return Verdict(count, float(a.mean()), float(b.mean()), mean, mean, mean, word, 0 if mean else -1)
    half = float(stats.t.ppf((1 + level) / 2, count - 1)) * spread / math.sqrt(count) if count > 1 else math.inf
    told = abs(mean) > half
    word = ("better" if mean > 0 else "worse") if told else "can't tell"
    further = 0 if told else _further(mean, spread, count, level)
    return Verdict(count, float(a.mean()), float(b.mean()), mean, mean - half, mean + half, word, further)


def _further(mean: float, spread: float, count: int, level: float) -> int:
    """Return how many more seeds would show a difference as large as this one, four times out of five."""
    if not math.isfinite(spread):
        return 1
    if mean == 0:
        return -1
    needed = (float(stats.norm.ppf((1 + level) / 2)) + float(stats.norm.ppf(POWER))) ** 2 * (spread / mean) ** 2
    return max(1, math.ceil(needed) - count) if needed < MOST else -1
