"""The simulated clock: runs scheduled calls in the order of their times.

Theory of operation: a heap of (time, tie-breaker, sequence number). The sequence number counts scheduled calls, so that
calls of the same instant run in the order in which they were scheduled, independent of hashing. With a tie generator,
the tie-breaker is random and calls of the same instant run in an order determined by the seed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

import numpy as np

MAX_CALLS_PER_INSTANT = 2_000_000  # a run with more calls at one instant does not advance any more


class RunawayError(Exception):
    """Raised when a run schedules calls at one instant without end; the message names the last call."""


class ScheduledCall:
    """A call scheduled for a time in nanoseconds."""

    __slots__ = ("at", "call")

    def __init__(self, at: int, call: Callable[[], object]) -> None:
        self.at = at
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Cancel the call; does nothing if it has already run."""
        self.call = None

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.call is not None


class Kernel:
    """Owns simulated time; all times are nanoseconds since the start of the run."""

    def __init__(self, ties: np.random.Generator | None = None) -> None:
        self.now = 0
        self.executed = 0  # calls
        self._heap: list[tuple[int, float, int, ScheduledCall]] = []
        self._sequence = 0
        self._ties = ties
        self._stopped = False

    def at(self, time: int, call: Callable[[], object]) -> ScheduledCall:
        """Schedule a call; a time in the past means now, after the calls already scheduled for now."""
        scheduled = ScheduledCall(max(self.now, time), call)
        self._sequence += 1
        tie = float(self._ties.random()) if self._ties is not None else 0.0
        heapq.heappush(self._heap, (scheduled.at, tie, self._sequence, scheduled))
        return scheduled

    def after(self, delay: int, call: Callable[[], object]) -> ScheduledCall:
        """Schedule a call after a delay in nanoseconds; a negative delay counts as 0."""
        return self.at(self.now + max(0, int(delay)), call)

    def every(self, period: int, call: Callable[[], object], first: int | None = None) -> None:
        """Repeat a call every ``period`` ns until the end of the run, first after ``first`` ns or else one period."""

        def repeat() -> None:
            call()
            self.after(period, repeat)

        self.after(period if first is None else first, repeat)

    def run(self, until: int) -> None:
        """Run all calls scheduled up to and including the time ``until``.

        Raises RunawayError when calls at one instant keep scheduling more calls at that instant.
        """
        self._stopped = False
        calls_this_instant, heap = 0, self._heap
        while heap and heap[0][0] <= until and not self._stopped:
            at, _, _, scheduled = heapq.heappop(heap)
            call, scheduled.call = scheduled.call, None
            if call is None:
                continue
            calls_this_instant = calls_this_instant + 1 if at == self.now else 0
            if calls_this_instant > MAX_CALLS_PER_INSTANT:
                raise RunawayError(
                    f"{calls_this_instant} calls at {at / 1e9:.6f} s without the clock advancing; last call: {call}"
                )
            self.now = at
            self.executed += 1
            call()
        if not self._stopped:
            self.now = max(self.now, until)

    def stop(self) -> None:
        """Make ``run`` return after the current call."""
        self._stopped = True

    def pending_count(self) -> int:
        """Return the number of pending calls."""
        return sum(scheduled.call is not None for *_, scheduled in self._heap)
