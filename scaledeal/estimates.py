"""Estimates from values that other processes report: capacities of servers and loads of connections.

No clock, no I/O. Any single report may be wrong by any factor, and one server may report wrongly all the time. So each
estimate is a median, or a mean without the extreme values, over the recent reports: a wrong one has no weight in it,
and leaves no trace once it is out of the window. Limits on the values alone would let a wrong one count for ever.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Collection

MIN_FOR_MEDIAN = 3  # fewer values do not show which of them is wrong
REPORTS_PER_SERVER = 10  # latest reports of a server that count
MAX_SERVERS = 40  # latest servers to report that count for the fleet
POOLED_REPORTS = 64  # latest reports of all servers, where they count no connections


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
