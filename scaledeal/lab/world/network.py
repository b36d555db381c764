"""The network between zones: one way times, and who can't reach whom.

A message takes the drawn time of its pair of zones, and ``jitter`` of that more or less. What is sent into a cut is
lost: whoever waits for it waits.
"""

from __future__ import annotations

import numpy as np

from scaledeal.lab.kernel import Streams
from scaledeal.lab.scenario.types import Network, Scenario


class Paths:
    """All pairs of zones."""

    def __init__(self, day: Scenario, streams: Streams) -> None:
        self.told: Network = day.network
        draw = streams.of("network")
        count = len(day.zones)
        self.times = [[0] * count for _ in range(count)]
        for one in range(count):
            for other in range(one, count):
                low, high = self.told.same if one == other else self.told.cross
                self.times[one][other] = self.times[other][one] = int(draw.uniform(low, high) if low < high else low)
        self.cut: set[tuple[int, int]] = set()  # from zone, to zone

    def time(self, one: int, other: int, draw: np.random.Generator) -> int:
        """Return the ns that a message takes from one zone to another."""
        spread = self.told.jitter * (2 * draw.random() - 1) if self.told.jitter else 0.0
        return max(0, int(self.times[one][other] * (1 + spread)))

    def client_time(self, draw: np.random.Generator) -> int:
        """Return the ns between a client and a relay."""
        low, high = self.told.client
        return int(draw.uniform(low, high) if low < high else low)

    def reaches(self, one: int, other: int) -> bool:
        """Tell whether a message gets there."""
        return (one, other) not in self.cut

    def sever(self, zone: int, zones: int, one_way: bool, on: bool) -> None:
        """Cut a zone off from the others, or join it again."""
        others = [other for other in range(zones) if other != zone]
        pairs = {(other, zone) for other in others}
        if not one_way:
            pairs |= {(zone, other) for other in others}
        self.cut = self.cut | pairs if on else self.cut - pairs
