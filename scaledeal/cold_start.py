"""The budget of cold servers: how many set-ups all relays together may send to a server that has just started.

No clock, no I/O. A cold server is overloaded when it gets more than N + 2 root N + 2 set-ups of mean work from all
relays in any window of ``Settings.overload_window``. N is ``overload_factor`` times the number of connections that fill
the server at its current warmth, times the window over the warm-up time (the operators' standing test). Relays share no
state, so each has its own *slots* at each cold server, spread over time by the relay's number: one slot, one set-up. A
slot stays open for a while and then lapses. In any window, only slots that open in it or were open at its start can be
used, and as many of them as clients arrive for: ``TARGET_BUDGET_SHARE`` of N on average, even if ``CROWD_SHARE`` of all
connections of the fleet return within the window. ``docs/fleet.md`` weighs the alternatives.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from scaledeal.estimates import CapacityEstimate, PooledRatio
from scaledeal.interface import Field, Settings

SECOND = 1_000_000_000
TARGET_BUDGET_SHARE = 0.9  # share of the budget that is used on average while a crowd arrives
SLOT_OPEN_WINDOWS = 0.4  # how long a slot stays open, in overload windows
CROWD_SHARE = 0.5  # share of all connections that may return within one overload window
GROUP_LOAD_SHARE = 0.5  # share of a server's load that its groups cause, where groups have a cost (docs/fleet.md)
MIN_UTILISATION = 0.25  # utilisation that each server is assumed to have at least
MAX_UTILISATION = 2.0  # and at most: more than that is a backlog, not connections
LOAD_MEMORY_NS = 8 * SECOND  # how long a past fleet load counts: servers may have died while their clients have not
MIN_REPORTS = 3  # reports from which a capacity is taken: fewer do not show which of them is wrong
MIN_INFORMATIVE_UTILISATION = 0.05  # a report under this says nothing about capacity
MAX_PLAUSIBLE_UTILISATION = 100.0  # a report above this is invalid


@dataclass(slots=True)
class SlotBatch:
    """Slots that have opened between two counts, at one rate."""

    size: int
    rate: float  # slots per nanosecond
    last_end: int  # end of the last slot to open

    def discard_lapsed(self, now: int) -> None:
        """Remove the slots that have lapsed by now."""
        self.size = max(0, min(self.size, math.ceil((self.last_end - now) * self.rate)))


@dataclass(slots=True)
class Slots:
    """The slots of one relay at one cold server."""

    next_part: float = 0.0  # share of the next slot's interval that has passed, below 1
    counted_at: int = 0  # time of the last count
    open_batches: deque[SlotBatch] = field(default_factory=deque)  # the oldest first

    def use_oldest(self) -> None:
        """Use the slot that has been open longest, if one is open."""
        if self.open_batches:
            self.open_batches[0].size -= 1
            if not self.open_batches[0].size:
                self.open_batches.popleft()

    def discard_lapsed(self, now: int) -> None:
        """Remove the slots that have lapsed by now."""
        while self.open_batches:
            self.open_batches[0].discard_lapsed(now)
            if self.open_batches[0].size:
                break
            self.open_batches.popleft()


class ColdStart:
    """One relay's estimate of the cold-start budget.

    A *capacity* is a server's weight times its warmth. Times are in nanoseconds.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.window = settings.overload_window or SECOND
        self.slot_open_time = int(SLOT_OPEN_WINDOWS * self.window)
        # From the reports of warm servers: the connections that fill a server of weight 1, or 0 while unknown.
        self.connections_when_full, self.report_count = 0.0, 0
        self._reported_capacity, self._own_capacity = CapacityEstimate(), PooledRatio()
        # The fleet's load as last remembered, in capacities; and that load over the fleet's capacity.
        self.fleet_load = self.fleet_utilisation = 0.0
        self.used_share = 1.0  # share of its slots that this relay uses in a crowd; 1 until loads are known

    def warmth(self, age: int) -> float:
        """Return the share of its capacity that a server of this age has at least."""
        s, age = self.settings, max(0, age)  # a start that lies in the future counts as age 0
        return s.cold_share + (1 - s.cold_share) * age / s.warm_after if age < s.warm_after else 1.0

    def record_report(self, server: str, weight: float, connections: float, utilisation: float) -> None:
        """Update the estimate of how many connections fill a server from the report of a warm one."""
        if utilisation <= MIN_INFORMATIVE_UTILISATION or not 0 <= connections / weight / utilisation < math.inf:
            return
        self.report_count += 1
        if Field.INFLIGHT in self.settings.report_fields:
            self._reported_capacity.record(server, connections / weight / utilisation)
            capacity = self._reported_capacity.fleet
        else:
            capacity = self._own_capacity.record(connections / weight, utilisation)
        if self.report_count >= MIN_REPORTS:
            self.connections_when_full = capacity

    def update_load(self, elapsed: int, reported: Iterable[tuple[float, float]], unreported_capacity: float) -> None:
        """Update the fleet's load, ``elapsed`` after the last update.

        ``reported`` has the capacity and utilisation of each server that is known to be warm and has a report, and
        ``unreported_capacity`` is that of all others together, which are taken to be as loaded as these in the mean.
        The load decays over ``LOAD_MEMORY_NS``: a server that dies leaves the sum at once, while the crowd of its
        clients is still to return.
        """
        listed = list(reported)
        mean = sum(utilisation for _, utilisation in listed) / len(listed) if listed else 1.0
        load = sum(capacity * _plausible_utilisation(utilisation) for capacity, utilisation in listed)
        load += unreported_capacity * _plausible_utilisation(mean)
        capacity = sum(capacity for capacity, _ in listed) + unreported_capacity
        self.fleet_load = max(load, self.fleet_load * max(0.0, 1 - elapsed / LOAD_MEMORY_NS))
        self.fleet_utilisation = load / max(1e-9, capacity)
        crowd = (
            CROWD_SHARE * max(1.0, self.fleet_load * self.connections_when_full)
            if self.report_count >= MIN_REPORTS
            else math.inf
        )
        # With that many clients spread at random over the relays, this share of the relays gets at least one.
        self.used_share = 1 - math.exp(-crowd / self.settings.siblings)

    def slot_rate(self, capacity: float) -> float:
        """Return this relay's slots per nanosecond at a cold server.

        The budget is at least one set-up a window of all relays together, which any server can take.
        """
        s = self.settings
        connections_when_full = self.connections_when_full / (1 - GROUP_LOAD_SHARE * s.groups)
        budget = s.overload_factor * connections_when_full * capacity * self.window / s.warm_after
        return max(1.0, TARGET_BUDGET_SHARE * budget) / (
            s.siblings * self.used_share * (1 + SLOT_OPEN_WINDOWS) * self.window
        )

    def new_slots(self, now: int, server_digest: int) -> Slots:
        """Return the slots at a server with this 64-bit digest, offset so that the relays' slots alternate evenly."""
        return Slots((server_digest / 2**64 + self.settings.me / self.settings.siblings) % 1, now)

    def has_open_slot(self, now: int, slots: Slots, capacity: float) -> bool:
        """Bring the slots up to ``now`` and tell whether one is open; unused earlier ones have lapsed.

        The time that this takes does not depend on how many slots there are.
        """
        span, open_time, rate = now - slots.counted_at, self.slot_open_time, self.slot_rate(capacity)
        slots.counted_at = now
        slots.discard_lapsed(now)
        already_lapsed = rate * max(0, span - open_time)
        opened, slots.next_part = divmod((slots.next_part + already_lapsed) % 1 + rate * min(span, open_time), 1)
        if opened:
            last_end = now + open_time - int(slots.next_part / rate)
            slots.open_batches.append(SlotBatch(int(opened), rate, last_end))
        return bool(slots.open_batches)

    def time_to_next_slot(self, slots: Slots, capacity: float) -> int:
        """Return the nanoseconds until the next slot opens, from the time of the last count."""
        return int((1 - slots.next_part) / self.slot_rate(capacity)) + 1


def _plausible_utilisation(utilisation: float) -> float:
    return min(MAX_UTILISATION, max(MIN_UTILISATION, utilisation))
