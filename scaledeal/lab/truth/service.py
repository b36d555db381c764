"""The service figure as operators compute it: worth of well-served seconds over worth of all seconds wanted.

The figure combines the whole day, the worst ten seconds, the worst class and the worst tenant with the weights of the
scenario's goal, less the prices. A client's demand counts from its first line until the time it would have finished, or
the end of the day. A tenant's demand beyond its quota has ``clients.over_worth`` times the usual worth, regardless of
which of its clients are served.
"""

from __future__ import annotations

from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from scaledeal.lab.scenario.types import Scenario

SECOND = 1_000_000_000
WORST_WINDOW_S = 10  # length of the worst interval
MAX_RECORDED_MS = 3_600_000
COUNTERS = (
    "clients",
    "standing",
    "again",
    "attempts",
    "wasted",
    "far",
    "moves",
    "probes",
    "refused",
    "failed",
    "broken",
    "sent_away",
    "gave_up",
    "no_relay",
    "lines",
)


class Service:
    """Accounts for the service of one run."""

    def __init__(self, day: Scenario) -> None:
        self.day = day
        self.seconds = int(np.ceil(day.seconds / SECOND))
        self.tenant_count = max(1, len(day.tenant))
        self.quotas: tuple[float, ...] = ()  # connections within each tenant's quota
        cells = len(day.classes) * self.tenant_count  # a cell is a class and a tenant, tenants innermost
        self.wanted = np.zeros((cells, self.seconds))
        self.served = np.zeros((cells, self.seconds))
        self.counts: dict[str, int] = dict.fromkeys(COUNTERS, 0)
        self.counts_by_second: dict[str, np.ndarray] = {}
        self.work = self.waste = 0.0
        self.set_up_ms = HdrHistogram(1, MAX_RECORDED_MS, 2)  # from a client's first line to UP
        self.first_attempt_ms = HdrHistogram(1, MAX_RECORDED_MS, 2)  # from a client's first line to the first attempt

    # Recording

    def record_wanted(self, cell: int, since: int, until: int) -> None:
        """Record that a client wants a connection from ``since`` to ``until``, in ns."""
        self._add_by_second(self.wanted[cell], since, (min(until, self.day.seconds) - since) / SECOND, 1.0)

    def record_served(self, cell: int, since: int, span: float, amount: float) -> None:
        """Record that ``amount`` connections were well served from ``since`` (ns) for ``span`` seconds."""
        self._add_by_second(self.served[cell], since, span, amount)

    def record_set_up_work(self, work: float, wasted: bool) -> None:
        """Record the work of a set-up, in seconds of a reference core, and whether it was wasted."""
        self.work += work
        self.waste += work if wasted else 0.0

    def count(self, counter: str, now: int, amount: int = 1) -> None:
        """Add to a counter, for the prices and the series by second."""
        self.counts[counter] = self.counts.get(counter, 0) + amount
        series = self.counts_by_second.setdefault(counter, np.zeros(self.seconds, dtype=np.int64))
        series[min(self.seconds - 1, now // SECOND)] += amount

    def record_duration(self, histogram: HdrHistogram, ns: int) -> None:
        """Record a duration in ns, limited to between 1 ms and MAX_RECORDED_MS."""
        histogram.record_value(max(1, min(MAX_RECORDED_MS, ns // 1_000_000)))

    # Results

    def result(self) -> dict[str, Any]:
        """Return the figures of the run as a JSON-compatible object."""
        worth, goal = self._worth(), self.day.goal
        wanted, served = self.wanted * worth, np.minimum(self.served, self.wanted * 1.0 + 1e-9) * worth
        whole = _share(served.sum(), wanted.sum())
        classes = self._shares([cls.name for cls in self.day.classes], served, wanted, 0)
        tenants = self._shares([tenant.name for tenant in self.day.tenant], served, wanted, 1)
        worst, worst_start = self._worst_window(served.sum(axis=0), wanted.sum(axis=0), whole)
        worst_class = min(classes.values(), default=whole)
        worst_tenant = min(tenants.values(), default=whole)
        prices = self.prices()
        service = (
            goal.whole * whole
            + goal.worst_window * worst
            + goal.worst_class * worst_class
            + goal.worst_tenant * worst_tenant
        )
        return {
            "G": round(service - sum(prices.values()), 4),
            "service": round(service, 4),
            "whole": round(whole, 4),
            "worst_10s": round(worst, 4),
            "worst_from_s": worst_start,
            "worst_class": round(worst_class, 4),
            "classes": {name: round(share, 4) for name, share in classes.items()},
            "tenants": {name: round(share, 4) for name, share in tenants.items()},
            "prices": {name: round(price, 4) for name, price in prices.items()},
            "counts": dict(self.counts),
            "set_up_ms": _percentiles(self.set_up_ms),
            "first_try_ms": _percentiles(self.first_attempt_ms),
        }

    def prices(self) -> dict[str, float]:
        """Return the deductions from the service figure, by cause."""
        rates, first_requests = self.day.prices, max(1, self.counts["clients"] + self.counts["standing"])
        return {
            "moves": rates.move * self.counts["moves"] / first_requests,
            "cross_zone": rates.cross_zone * self.counts["far"] / first_requests,
            "probes": rates.probe * self.counts["probes"] / first_requests,
            "waste": rates.waste * self.waste / self.work if self.work else 0.0,
            "discovery": rates.discovery * self.counts["lines"] / (100 * first_requests),
        }

    def series(self) -> dict[str, list[float]]:
        """Return the share served and the counters, by second of the day."""
        worth = self._worth()
        wanted, served = (self.wanted * worth).sum(axis=0), (self.served * worth).sum(axis=0)
        shares = np.divide(served, wanted, out=np.ones(self.seconds), where=wanted > 0)
        return {
            "share": [round(float(share), 4) for share in shares],
            **{name: [int(count) for count in row] for name, row in sorted(self.counts_by_second.items())},
        }

    def _worth(self) -> np.ndarray:
        """Return the worth of a connection-second, by cell and second of the day."""
        worth = np.repeat([cls.worth for cls in self.day.classes], self.tenant_count)[:, None]
        if not self.quotas:
            return np.asarray(worth)
        wanted = self.wanted.reshape(-1, self.tenant_count, self.seconds).sum(axis=0)
        share_within = np.minimum(1.0, np.array(self.quotas)[:, None] / np.maximum(wanted, 1e-9))
        factor = share_within + (1 - share_within) * self.day.clients.over_worth
        return np.asarray(worth * np.tile(factor, (len(self.day.classes), 1)))

    def _shares(self, names: list[str], served: np.ndarray, wanted: np.ndarray, axis: int) -> dict[str, float]:
        """Return the share served of each class (axis 0) or tenant (axis 1) that has any demand."""
        sums = [
            worth.reshape(-1, self.tenant_count, self.seconds).sum(axis=(1 - axis, 2)) for worth in (served, wanted)
        ]
        return {name: _share(s, a) for name, s, a in zip(names, *sums, strict=False) if a > 0}

    def _worst_window(self, served: np.ndarray, wanted: np.ndarray, whole: float) -> tuple[float, int]:
        if self.seconds <= WORST_WINDOW_S:
            return whole, 0
        kernel = np.ones(WORST_WINDOW_S)
        s, a = np.convolve(served, kernel, "valid"), np.convolve(wanted, kernel, "valid")
        shares = np.divide(s, a, out=np.ones(len(a)), where=a > 1e-9)
        start = int(np.argmin(shares))
        return float(shares[start]), start

    def _add_by_second(self, row: np.ndarray, since: int, span: float, amount: float) -> None:
        at, end = since / SECOND, min(since / SECOND + span, float(self.seconds))
        while at < end - 1e-12:
            second = int(at)
            until = min(end, second + 1.0)
            row[second] += (until - at) * amount
            at = until if until > at else second + 1.0


def _share(part: float, whole: float) -> float:
    return float(min(1.0, part / whole)) if whole > 0 else 1.0


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    return {f"p{share:g}": float(histogram.get_value_at_percentile(share)) for share in (50, 90, 99)}
