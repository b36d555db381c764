"""The relay's clocks: which one measures time spans, and a monitor that counts clock steps and event loop delays.

Time spans (deadlines, waits, windows, graces) are measured on the monotonic clock alone. Points in time that machines
share (Unix times in lists and tokens) come from ``UnixClock``, which reads the wall clock once. Nothing else here may
read the wall clock: ruff rejects ``time.time`` outside ``system.py`` (TID251).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from scaledeal.net.ports import Reactor, Timer

log = logging.getLogger("scaledeal.clocks")

NS_PER_S = 1_000_000_000
CHECK_INTERVAL_S = 1.0
MIN_STEP_S = 0.1  # change of the difference between the clocks in one interval that counts as a step
MIN_DELAY_S = 0.15  # lateness of a check that counts as a delay; shorter ones are within what a relay may be held up


class UnixClock:
    """Unix time that never steps: the wall clock is read once, and the monotonic clock advances it from then on."""

    def __init__(self, monotonic: Callable[[], int], unix_ns: int) -> None:
        self.monotonic = monotonic
        self.offset = monotonic() - unix_ns  # ns from Unix time to monotonic time

    def now(self) -> int:
        """Return the nanoseconds since 1970."""
        return self.monotonic() - self.offset

    def seconds(self) -> float:
        """Return the seconds since 1970."""
        return self.now() / NS_PER_S


class ClockMonitor:
    """Counts and logs steps of the wall clock and delays of the event loop; it corrects nothing."""

    def __init__(self, reactor: Reactor, monotonic: Callable[[], int], unix: Callable[[], int]) -> None:
        self.reactor = reactor
        self.monotonic = monotonic
        self.unix = unix
        self.steps = 0  # of the wall clock
        self.delays = 0  # checks that ran late
        self.longest_delay = 0.0  # seconds
        self._difference = 0  # ns from monotonic time to Unix time at the last check
        self._check_due = 0  # ns, on the monotonic clock
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start the regular checks."""
        self._difference = self.unix() - self.monotonic()
        self._schedule_check()

    def stop(self) -> None:
        """Stop the checks."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def lines(self) -> list[str]:
        """Return the metrics lines for operators."""
        return [
            f"relay_wall_clock_steps_total {self.steps}",
            f"relay_loop_delays_total {self.delays}",
            f"relay_loop_delay_max_ms {self.longest_delay * 1000:.0f}",
        ]

    def _schedule_check(self) -> None:
        self._check_due = self.monotonic() + int(CHECK_INTERVAL_S * NS_PER_S)
        self._timer = self.reactor.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self.monotonic()
        difference, before = self.unix() - now, self._difference
        self._difference = difference
        if abs(difference - before) >= MIN_STEP_S * NS_PER_S:
            self.steps += 1
            log.warning(
                "wall clock stepped by %+.3f s; no time span of this relay depends on it",
                (difference - before) / NS_PER_S,
            )
        delay = (now - self._check_due) / NS_PER_S
        self.longest_delay = max(self.longest_delay, delay)
        if delay >= MIN_DELAY_S:
            self.delays += 1
            log.warning("event loop delayed: a timer fired %.3f s late", delay)
        self._schedule_check()
