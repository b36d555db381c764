"""The clock of a run: calls at moments, carried out in order.

Theory of operation: a heap of (moment, tie, number). ``number`` counts what was planned, so that calls of one instant
are carried out in the order in which they were planned, and never by a hash. With ``ties`` the middle figure is drawn,
and calls of one instant come in an order of the seed's.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

import numpy as np

MOST_AT_ONCE = 2_000_000  # calls in one instant past which nothing more will ever come of the run


class RunawayError(Exception):
    """A run that plans without end in one instant; the text names the call."""


class Moment:
    """A call that is planned."""

    __slots__ = ("at", "call")

    def __init__(self, at: int, call: Callable[[], object]) -> None:
        self.at = at
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Take it back; once it was carried out, nothing happens."""
        self.call = None

    def active(self) -> bool:
        """Tell whether it is still to come."""
        return self.call is not None


class Kernel:
    """Owns simulated time; all times are nanoseconds since the run began."""

    def __init__(self, ties: np.random.Generator | None = None) -> None:
        self.now = 0
        self.done = 0  # calls carried out
        self._heap: list[tuple[int, float, int, Moment]] = []
        self._number = 0
        self._ties = ties
        self._stopped = False

    def at(self, moment: int, call: Callable[[], object]) -> Moment:
        """Plan a call; one in the past is carried out now, after what is planned for now already."""
        planned = Moment(max(self.now, moment), call)
        self._number += 1
        tie = float(self._ties.random()) if self._ties is not None else 0.0
        heapq.heappush(self._heap, (planned.at, tie, self._number, planned))
        return planned

    def after(self, delay: int, call: Callable[[], object]) -> Moment:
        """Plan a call so many nanoseconds from now."""
        return self.at(self.now + max(0, int(delay)), call)

    def every(self, period: int, call: Callable[[], object], first: int | None = None) -> None:
        """Call again and again, for as long as the run lasts."""

        def again() -> None:
            call()
            self.after(period, again)

        self.after(period if first is None else first, again)

    def run(self, until: int) -> None:
        """Carry out what is planned up to a moment, that moment's own calls included; raise RunawayError."""
        self._stopped = False
        at_once, heap = 0, self._heap
        while heap and heap[0][0] <= until and not self._stopped:
            at, _, _, planned = heapq.heappop(heap)
            call, planned.call = planned.call, None
            if call is None:
                continue
            at_once = at_once + 1 if at == self.now else 0
            if at_once > MOST_AT_ONCE:
                raise RunawayError(f"{at_once} calls at {at / 1e9:.6f} s and no end: {call}")
            self.now = at
            self.done += 1
            call()
        if not self._stopped:
            self.now = max(self.now, until)

    def stop(self) -> None:
        """End ``run`` after the call that is being carried out."""
        self._stopped = True

    def waiting(self) -> int:
        """Return how many calls are planned."""
        return sum(planned.call is not None for *_, planned in self._heap)
