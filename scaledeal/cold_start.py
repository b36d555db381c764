"""The budget of cold servers: what all gateways together send one that has lately started. No clock, no I/O.

A cold server falls when it gets more than N + 2 root N + 2 set-ups of mean work from all gateways in any window of
``Settings.overload_window``, N being ``overload_factor`` times what fills it, warm as it is, over its warm-up (the
operators' standing test). Gateways share nothing, so each has *slots* of its own at each cold server, spread over time
by its number: one slot, one set-up. A slot stays open for a while and then lapses. In any window there can be used
those that open in it or stood open at its start, and of them as many as clients come for: PRUDENCE of N in the mean,
even if a CROWD of all that stands in the fleet comes again within it. ``docs/fleet.md`` weighs the alternatives.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from scaledeal.interface import Settings

SECOND = 1_000_000_000
PRUDENCE = 0.9  # part of the budget that is used in the mean where a crowd comes
OPEN = 0.4  # windows that a slot stays open
CROWD = 0.5  # part of all connections that may come again within one window
GROUPS_PART = 0.5  # part of a server's load that its groups cost, where they have a cost (docs/fleet.md)
LEAST_LOAD = 0.25  # part of its capacity that each server is taken to hold at the least
MOST_LOAD = 2.0  # and at the most: what is piled up beyond it is no connections
KEPT = 8 * SECOND  # how long a fleet's higher load is remembered: its servers may have died, its clients not
REPORTS = 20  # how many reports the mean capacity is taken over
TELLING = 0.05  # utilisation under which a report tells nothing of a capacity
MOST_TOLD = 100.0  # utilisation past which a report is absurd


@dataclass(slots=True)
class Slots:
    """One gateway's slots at one cold server: those so far, when that was counted, and until when each is open."""

    count: float = 0.0
    counted_at: int = 0
    open: list[int] = field(default_factory=list)


class ColdStart:
    """What one gateway knows of the budget; a *capacity* is a server's weight times its warmth, time is in ns."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.window = settings.overload_window or SECOND
        self.reports, self.held, self.asked = 0, 0.0, 0.0  # mean connections and utilisation that reports told
        self.load = self.mean = 0.0  # of the fleet, in capacities, as last remembered; over its capacity
        self.used = 1.0  # part of its slots that a crowd uses: nothing is known yet

    def warmth(self, age: int) -> float:
        """Return the part of its capacity that a server of this age has at the least."""
        s, age = self.settings, max(0, age)  # a start that is still to come is no less than cold
        return s.cold_share + (1 - s.cold_share) * age / s.warm_after if age < s.warm_after else 1.0

    def report(self, weight: float, connections: float, utilisation: float) -> None:
        """Learn from a warm server's report how many connections fill one."""
        if utilisation > TELLING and 0 <= connections < math.inf:
            self.reports = min(self.reports + 1, REPORTS)
            self.held += (connections / weight - self.held) / self.reports
            self.asked += (utilisation - self.asked) / self.reports

    def learn(self, passed: int, servers: Iterable[tuple[float, float | None]]) -> None:
        """Learn the fleet's load from each server's capacity and utilisation, some ns after the last time.

        Guards against a crowd that servers leave behind as they die: their load goes from the sum at once.
        """
        listed = list(servers)
        told = [asked for _, asked in listed if asked is not None]
        mean = sum(told) / len(told) if told else 1.0
        load = sum(c * min(MOST_LOAD, max(LEAST_LOAD, mean if u is None else u)) for c, u in listed)
        self.load = max(load, self.load * max(0.0, 1 - passed / KEPT))
        self.mean = load / max(1e-9, sum(c for c, _ in listed))
        crowd = CROWD * max(1.0, self.load * self.held / self.asked) if self.asked else math.inf
        # Of so many clients, spread by chance over the gateways, this part of the gateways sees one or more.
        self.used = 1 - math.exp(-crowd / self.settings.siblings)

    def rate(self, capacity: float) -> float:
        """Return the slots a ns that this gateway has at a cold server; one a window of all is always borne."""
        s = self.settings
        fills = self.held / self.asked / (1 - GROUPS_PART * s.groups) if self.asked else 0.0
        budget = s.overload_factor * fills * capacity * self.window / s.warm_after
        return max(1.0, PRUDENCE * budget) / (s.siblings * self.used * (1 + OPEN) * self.window)

    def begin(self, now: int, number: int) -> Slots:
        """Return the slots at a server with this 64-bit digest: gateways' slots alternate evenly."""
        return Slots((number / 2**64 + self.settings.me / self.settings.siblings) % 1, now)

    def open(self, now: int, slots: Slots, capacity: float) -> bool:
        """Tell whether a slot is open now; those of before that nobody came for have lapsed."""
        span, lasts, rate = now - slots.counted_at, int(OPEN * self.window), self.rate(capacity)
        before = slots.count + rate * max(0, span - lasts)
        slots.count, slots.counted_at = before + rate * min(span, lasts), now
        opened = range(math.floor(before) + 1, math.floor(slots.count) + 1)
        slots.open = [until for until in slots.open if until > now]
        slots.open += [now + lasts - int((slots.count - number) / rate) for number in opened]
        return bool(slots.open)

    def wait(self, slots: Slots, capacity: float) -> int:
        """Return the ns until the next slot opens, counted from when they were last counted."""
        return int((math.floor(slots.count) + 1 - slots.count) / self.rate(capacity)) + 1
