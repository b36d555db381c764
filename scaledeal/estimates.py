"""Estimates from values that other processes report: capacities of servers and loads of connections.

No clock, no I/O. Any single report may be wrong by any factor, and one server may report wrongly all the time. So each
estimate is a median, or a mean without the extreme values, over the recent reports: a wrong one has no weight in it,
and leaves no trace once it is out of the window. Limits on the values alone would let a wrong one count for ever.
"""

from __future__ import annotations

import math
import statistics
from bisect import bisect_left, bisect_right, insort
from collections import OrderedDict, deque
from collections.abc import Collection

MIN_FOR_MEDIAN = 3  # fewer values do not show which of them is wrong
REPORTS_PER_SERVER = 10  # latest reports of a server that count
MAX_SERVERS = 40  # latest servers to report that count for the fleet
POOLED_REPORTS = 64  # latest reports of all servers, where they count no connections
LOADS_PER_CLASS = 256  # latest loads of a class that count
MIN_LOADS = 5  # fewer loads do not show which of them is wrong
IMPLAUSIBLE_LOAD_FACTOR = 30.0  # a load above this multiple of its class's median is wrong
IMPLAUSIBLE_WEIGHT_FACTOR = 100.0  # so is a weight that differs from the fleet's median by more than this factor


def weighted_median(values: Collection[tuple[float, float]]) -> float:
    """Return the median of values with weights, given as pairs.

    Of two values it is the lower one, as one of them may be wrong by any factor.
    """
    half = sum(weight for _, weight in values) / 2
    reached, below = 0.0, None
    for value, weight in sorted(values):
        if below is not None:
            return (below + value) / 2
        reached += weight
        if math.isclose(reached, half) and len(values) >= MIN_FOR_MEDIAN:
            below = value  # half of the weight lies at or below it: the median is between it and the next
        elif reached >= half:
            return value
    raise ValueError("no values")


class CapacityEstimate:
    """The capacity of servers, as reported: a median in which each server weighs the same."""

    def __init__(self) -> None:
        self.fleet = 0.0  # of a server of weight 1; 0 while unknown
        self._reports: OrderedDict[str, deque[float]] = OrderedDict()  # the latest server to report is last

    def record(self, server: str, capacity: float) -> float:
        """Take in one report, and return the server's capacity."""
        reports = self._reports.setdefault(server, deque(maxlen=REPORTS_PER_SERVER))
        reports.append(capacity)
        self._reports.move_to_end(server)
        if len(self._reports) > MAX_SERVERS:
            self._reports.popitem(last=False)
        self.fleet = weighted_median([(each, 1 / len(latest)) for latest in self._reports.values() for each in latest])
        return weighted_median([(each, 1.0) for each in reports])


class PooledRatio:
    """The ratio of two sums over the latest reports, without those whose denominator is extreme.

    For numerators that this relay counts itself: these may be 0 in most reports, so that medians of ratios would be 0.
    """

    def __init__(self) -> None:
        self._reports: deque[tuple[float, float]] = deque(maxlen=POOLED_REPORTS)  # denominator and numerator

    def record(self, numerator: float, denominator: float) -> float:
        """Take in one report, and return the ratio."""
        self._reports.append((denominator, numerator))
        extreme = (len(self._reports) + 1) // 4
        middle = sorted(self._reports)[extreme : len(self._reports) - extreme]
        return sum(n for _, n in middle) / sum(d for d, _ in middle)


class LoadEstimate:
    """The mean load of a connection, by class, and which loads can't be right."""

    def __init__(self, classes: int) -> None:
        self._latest = [deque[float]() for _ in range(classes)]
        self._sorted: list[list[float]] = [[] for _ in range(classes)]
        self._means = [0.0] * classes
        self.count = 0  # loads recorded so far

    def record(self, cls: int, load: float) -> None:
        """Take in the load of a connection of a class."""
        latest, ordered = self._latest[cls], self._sorted[cls]
        if len(latest) == LOADS_PER_CLASS:
            del ordered[bisect_left(ordered, latest.popleft())]
        latest.append(load)
        insort(ordered, load)
        plausible = ordered[: bisect_right(ordered, self._limit(cls))]
        self._means[cls] = sum(plausible) / len(plausible)
        self.count += 1

    def is_plausible(self, cls: int, load: float) -> bool:
        """Tell whether a load can be right beside those of its class, or of all classes while that has few."""
        known = [cls] if len(self._sorted[cls]) >= MIN_LOADS else range(len(self._sorted))
        if sum(len(self._sorted[each]) for each in known) < MIN_LOADS:
            return True
        return load <= max(self._limit(each) for each in known if self._sorted[each])

    def mean(self, cls: int) -> float:
        """Return the mean load of a class; that of all classes while it is unknown, and 1 without any load."""
        return self._means[cls] or self.overall_mean()

    def overall_mean(self) -> float:
        """Return the mean load over all classes, weighted by their loads recorded; 1 without any."""
        if not self.count:
            return 1.0
        counts = [len(latest) for latest in self._latest]
        return sum(mean * count for mean, count in zip(self._means, counts, strict=True)) / sum(counts)

    def _limit(self, cls: int) -> float:
        return IMPLAUSIBLE_LOAD_FACTOR * statistics.median_low(self._sorted[cls])


class ListedWeights:
    """The weights of all servers as listed, and which of them can't be right beside the fleet's median.

    A change takes no longer where there are more servers, but for the move of a list's items in memory.
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._sorted: list[tuple[float, str]] = []

    def record(self, server: str, weight: float) -> None:
        """Record the listed weight of a server."""
        self.remove(server)
        self._weights[server] = weight
        insort(self._sorted, (weight, server))

    def remove(self, server: str) -> None:
        """Forget a server; one that is not known is ignored."""
        weight = self._weights.pop(server, None)
        if weight is not None:
            del self._sorted[bisect_left(self._sorted, (weight, server))]

    def typical(self) -> float:
        """Return the fleet's median weight; 0 if there are too few to tell."""
        count = len(self._sorted)
        return self._sorted[(count - 1) // 2][0] if count >= MIN_FOR_MEDIAN else 0.0

    def implausible(self) -> set[str]:
        """Return the servers whose listed weight can't be right."""
        typical = self.typical()
        if not typical:
            return set()
        low = bisect_left(self._sorted, (typical / IMPLAUSIBLE_WEIGHT_FACTOR, ""))
        high = bisect_right(self._sorted, (typical * IMPLAUSIBLE_WEIGHT_FACTOR, "\U0010ffff"))
        return {server for _, server in [*self._sorted[:low], *self._sorted[high:]]}
