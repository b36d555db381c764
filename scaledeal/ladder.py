"""The admission filters of a relay: rungs that refuse more and more new connections as the load index rises.

The filters of one rung share what they admit over classes by their worth, with token buckets. The mechanism is that of
adaptive packet filters for servers under overload: an index that is sampled, one rung a base interval, up or down.
No clock, no I/O.
"""

from __future__ import annotations

import math

SECOND = 1_000_000_000  # ns

LADDER_INTERVAL_NS = SECOND  # base interval of the load index; also the delay between moves, as the paper advises
OVERLOAD_INDEX = 80  # index above which the ladder steps up
UNDERLOAD_INDEX = 72  # index under which the ladder steps down
RUNGS = 11  # rung 0 admits all, the last refuses all
WORTH_RATIO = 3  # factor between the admitted shares of two neighbouring worth levels
MIN_RATE_PER_S = 1e-6  # rate that is assumed where no set-ups were seen
ESTIMATE_WINDOW_NS = 20 * SECOND  # window of the admission estimate that rungs are fractions of


class Ladder:
    """The admission filters of this relay: the rung in force, its token buckets, and the load index that moves it.

    A *bucket* is a class and whether the tenant is over its share; ``worths`` has each bucket's worth.
    """

    def __init__(self, worths: dict[tuple[int, bool], float], index_from_reports: bool = False) -> None:
        self.worths = worths
        self.index_from_reports = index_from_reports  # whether the index is a reported level, not a few notes
        self.worth_levels = sorted(set(worths.values()))
        self.rung = 0
        self.index_sum, self.index_count, self.last_index = 0.0, 0, 0.0
        self.estimate = dict.fromkeys(worths, 0.0)  # accepted set-ups a second, by bucket
        self.accepted = dict.fromkeys(worths, 0)
        self.estimated_at = self.started = self.refilled_at = 0
        # The rate of a bucket is a share of its estimate; the bucket fills with tokens at that rate.
        self.shares, self.rates, self.tokens = (dict.fromkeys(worths, initial) for initial in (1.0, 0.0, 0.0))

    def sample(self, index: float) -> None:
        """Add one reading of the load index, between 0 and 100."""
        self.index_sum += min(100.0, max(0.0, index))
        self.index_count += 1

    def step(self, now: int, class_loads: list[float]) -> int:
        """End a base interval and move by at most one rung; return the move.

        ``class_loads`` has the mean load of a connection of each class.
        """
        index = self.index_sum / self.index_count if self.index_count else 0.0
        # The effect of a rung shows late where connections live long, so the ladder overshoots if it keeps stepping
        # up while the index falls.
        up = index > OVERLOAD_INDEX and not (self.index_from_reports and index < self.last_index)
        self.index_sum, self.index_count, self.last_index = 0.0, 0, index
        self._update_estimate(now)
        move = max(0, min(RUNGS - 1, self.rung + int(up) - int(index < UNDERLOAD_INDEX))) - self.rung
        if move:
            self.rung += move
            self._set_rates(now, class_loads)
        return move

    def _update_estimate(self, now: int) -> None:
        span = now - self.estimated_at
        if self.rung == 0 and span > 0:
            # A moving average that starts from zero is far too low at first: until the window has passed, take the
            # plain mean.
            keep = min(math.exp(-span / ESTIMATE_WINDOW_NS), 1 - span / (now - self.started))
            for bucket, count in self.accepted.items():
                self.estimate[bucket] = self.estimate[bucket] * keep + (1 - keep) * count * SECOND / span
        self.accepted = dict.fromkeys(self.worths, 0)
        self.estimated_at = now

    def _set_rates(self, now: int, class_loads: list[float]) -> None:
        # Each class gets at least the mean rate of the buckets: one of which no request had come when the ladder first
        # moved would otherwise be shut out.
        mean = sum(self.estimate.values()) / len(self.worths) or MIN_RATE_PER_S
        rates = {b: max(rate, MIN_RATE_PER_S if b[1] else mean) for b, rate in self.estimate.items()}
        wanted = {b: rate * class_loads[b[0]] for b, rate in rates.items()}
        budget = (1 - self.rung / (RUNGS - 1)) * sum(wanted.values())
        low, high = 0.0, 1.0
        for _ in range(20):  # bisect the share of the lowest worth level with which the rung's budget is met
            mid = (low + high) / 2
            used = sum(load * self._share(bucket, mid) for bucket, load in wanted.items())
            low, high = (mid, high) if used <= budget else (low, mid)
        for bucket, rate in rates.items():
            self.shares[bucket] = self._share(bucket, low)
            self.rates[bucket] = rate * self.shares[bucket]
            depth = max(1.0, self.rates[bucket])
            self.tokens[bucket] = min(depth, self.tokens[bucket]) if self.rung > 1 else depth
        self.refilled_at = now

    def _share(self, bucket: tuple[int, bool], lowest: float) -> float:
        return min(1.0, lowest * float(WORTH_RATIO) ** self.worth_levels.index(self.worths[bucket]))

    def admit(self, now: int, bucket: tuple[int, bool]) -> bool:
        """Tell whether the rung in force admits this set-up, and take a token for it."""
        if self.rung in (0, RUNGS - 1):
            return self.rung == 0
        span = (now - self.refilled_at) / SECOND
        self.refilled_at = now
        for refilled, rate in self.rates.items():  # a bucket holds one second of its rate
            self.tokens[refilled] = min(max(1.0, rate), self.tokens[refilled] + rate * span)
        if self.tokens[bucket] < 1:
            return False
        self.tokens[bucket] -= 1
        return True
