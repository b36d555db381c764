"""The network between zones: one-way delays, and cuts between zones.

A message takes the delay drawn for its pair of zones, plus or minus up to ``jitter`` of it. A message sent into a cut
is lost without notice to its sender or receiver.
"""

from __future__ import annotations

import numpy as np

from scaledeal.lab.kernel import Streams
from scaledeal.lab.scenario.types import Network, Scenario


class Paths:
    """The delays and cuts between all pairs of zones."""

    def __init__(self, day: Scenario, streams: Streams) -> None:
        self.settings: Network = day.network
        rng = streams.of("network")
        count = len(day.zones)
        self.times = [[0] * count for _ in range(count)]
        for source in range(count):
            for target in range(source, count):
                low, high = self.settings.same if source == target else self.settings.cross
                self.times[source][target] = self.times[target][source] = int(
                    rng.uniform(low, high) if low < high else low
                )
        self.cut: set[tuple[int, int]] = set()  # from zone, to zone

    def time(self, source: int, target: int, rng: np.random.Generator) -> int:
        """Draw the ns that a message takes from one zone to another."""
        deviation = self.settings.jitter * (2 * rng.random() - 1) if self.settings.jitter else 0.0
        return max(0, int(self.times[source][target] * (1 + deviation)))

    def client_time(self, rng: np.random.Generator) -> int:
        """Draw the ns that a message takes between a client and a relay."""
        low, high = self.settings.client
        return int(rng.uniform(low, high) if low < high else low)

    def reaches(self, source: int, target: int) -> bool:
        """Return whether messages from one zone arrive in another."""
        return (source, target) not in self.cut

    def set_cut(self, zone: int, zone_count: int, one_way: bool, cut: bool) -> None:
        """Cut a zone off from all others, or reconnect it; ``one_way``: only messages to the zone are lost."""
        others = [other for other in range(zone_count) if other != zone]
        pairs = {(other, zone) for other in others}
        if not one_way:
            pairs |= {(zone, other) for other in others}
        self.cut = self.cut | pairs if cut else self.cut - pairs
