"""Service as operators count it: the worth of well served seconds over the worth of all seconds asked for.

The figure is made of the whole day, the worst ten seconds, the worst class and the worst tenant, in the shares that
the scenario's goal gives; prices come off. What is asked for by a client counts from its first line until it would
have been done, or the day ends. What a tenant asks beyond its quota is worth ``clients.over_worth`` of the usual,
whoever of its clients is served.
"""

from __future__ import annotations

from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from scaledeal.lab.scenario.types import Scenario

SECOND = 1_000_000_000
WINDOW = 10  # seconds of the worst stretch
LONGEST_MS = 3_600_000
COUNTED = (
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
    """The books of one run."""

    def __init__(self, day: Scenario) -> None:
        self.day = day
        self.seconds = int(np.ceil(day.seconds / SECOND))
        self.tenants = max(1, len(day.tenant))
        self.quotas: tuple[float, ...] = ()  # connections within each tenant's share
        cells = len(day.classes) * self.tenants  # by class, and by tenant within it
        self.asked_for = np.zeros((cells, self.seconds))
        self.served = np.zeros((cells, self.seconds))
        self.counts: dict[str, int] = dict.fromkeys(COUNTED, 0)
        self.by_second: dict[str, np.ndarray] = {}
        self.work = self.waste = 0.0
        self.set_up = HdrHistogram(1, LONGEST_MS, 2)  # ms from a first line to UP
        self.first_try = HdrHistogram(1, LONGEST_MS, 2)  # ms from a line to its first attempt

    # What is booked

    def wants(self, cell: int, since: int, until: int) -> None:
        """Book that a client wants its connection between two moments."""
        self._spread(self.asked_for[cell], since, (min(until, self.day.seconds) - since) / SECOND, 1.0)

    def earned(self, cell: int, since: int, span: float, amount: float) -> None:
        """Book connections well served: so many for a span of seconds."""
        self._spread(self.served[cell], since, span, amount)

    def worked(self, work: float, wasted: bool) -> None:
        """Book the work of a set-up, in seconds of a reference core, and whether it came to nothing."""
        self.work += work
        self.waste += work if wasted else 0.0

    def count(self, what: str, now: int, many: int = 1) -> None:
        """Count something, for the prices and for the series."""
        self.counts[what] = self.counts.get(what, 0) + many
        series = self.by_second.setdefault(what, np.zeros(self.seconds, dtype=np.int64))
        series[min(self.seconds - 1, now // SECOND)] += many

    def took(self, what: HdrHistogram, ns: int) -> None:
        """Book a time."""
        what.record_value(max(1, min(LONGEST_MS, ns // 1_000_000)))

    # What it comes to

    def result(self) -> dict[str, Any]:
        """Return the figures of the run as one object."""
        worth, goal = self._worth(), self.day.goal
        asked, served = self.asked_for * worth, np.minimum(self.served, self.asked_for * 1.0 + 1e-9) * worth
        whole = _share(served.sum(), asked.sum())
        classes = self._parts([each.name for each in self.day.classes], served, asked, 0)
        tenants = self._parts([each.name for each in self.day.tenant], served, asked, 1)
        worst, where = self._worst(served.sum(axis=0), asked.sum(axis=0), whole)
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
            "worst_from_s": where,
            "worst_class": round(worst_class, 4),
            "classes": {name: round(share, 4) for name, share in classes.items()},
            "tenants": {name: round(share, 4) for name, share in tenants.items()},
            "prices": {name: round(price, 4) for name, price in prices.items()},
            "counts": dict(self.counts),
            "set_up_ms": _percentiles(self.set_up),
            "first_try_ms": _percentiles(self.first_try),
        }

    def prices(self) -> dict[str, float]:
        """Return what comes off, by cause."""
        told, firsts = self.day.prices, max(1, self.counts["clients"] + self.counts["standing"])
        return {
            "moves": told.move * self.counts["moves"] / firsts,
            "cross_zone": told.cross_zone * self.counts["far"] / firsts,
            "probes": told.probe * self.counts["probes"] / firsts,
            "waste": told.waste * self.waste / self.work if self.work else 0.0,
            "discovery": told.discovery * self.counts["lines"] / (100 * firsts),
        }

    def series(self) -> dict[str, list[float]]:
        """Return what happened by second."""
        worth = self._worth()
        asked, served = (self.asked_for * worth).sum(axis=0), (self.served * worth).sum(axis=0)
        shares = np.divide(served, asked, out=np.ones(self.seconds), where=asked > 0)
        return {
            "share": [round(float(each), 4) for each in shares],
            **{name: [int(each) for each in row] for name, row in sorted(self.by_second.items())},
        }

    def _worth(self) -> np.ndarray:
        """Return the worth of a second by cell and second of the day."""
        worth = np.repeat([each.worth for each in self.day.classes], self.tenants)[:, None]
        if not self.quotas:
            return np.asarray(worth)
        asked = self.asked_for.reshape(-1, self.tenants, self.seconds).sum(axis=0)
        within = np.minimum(1.0, np.array(self.quotas)[:, None] / np.maximum(asked, 1e-9))
        part = within + (1 - within) * self.day.clients.over_worth
        return np.asarray(worth * np.tile(part, (len(self.day.classes), 1)))

    def _parts(self, names: list[str], served: np.ndarray, asked: np.ndarray, axis: int) -> dict[str, float]:
        """Return the share served of each class (axis 0) or tenant (axis 1) that asked for anything."""
        told = [each.reshape(-1, self.tenants, self.seconds).sum(axis=(1 - axis, 2)) for each in (served, asked)]
        return {name: _share(s, a) for name, s, a in zip(names, *told, strict=False) if a > 0}

    def _worst(self, served: np.ndarray, asked: np.ndarray, whole: float) -> tuple[float, int]:
        if self.seconds <= WINDOW:
            return whole, 0
        kernel = np.ones(WINDOW)
        s, a = np.convolve(served, kernel, "valid"), np.convolve(asked, kernel, "valid")
        shares = np.divide(s, a, out=np.ones(len(a)), where=a > 1e-9)
        where = int(np.argmin(shares))
        return float(shares[where]), where

    def _spread(self, row: np.ndarray, since: int, span: float, amount: float) -> None:
        at, end = since / SECOND, min(since / SECOND + span, float(self.seconds))
        while at < end - 1e-12:
            second = int(at)
            until = min(end, second + 1.0)
            row[second] += (until - at) * amount
            at = until if until > at else second + 1.0


def _share(part: float, whole: float) -> float:
    return float(min(1.0, part / whole)) if whole > 0 else 1.0


def _percentiles(told: HdrHistogram) -> dict[str, float]:
    return {f"p{share:g}": float(told.get_value_at_percentile(share)) for share in (50, 90, 99)}
