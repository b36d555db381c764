"""The relay's clocks: which one a span may hang on, and a monitor of what befalls them.

Spans (deadlines, waits, windows, graces) are reckoned on the monotonic clock alone. Moments that machines share (Unix
times in lists and tokens) come from ``UnixClock``, which reads the wall clock once. Nothing else here may read it: ruff
refuses ``time.time`` outside ``system.py`` (TID251).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from scaledeal.net.ports import Reactor, Timer

log = logging.getLogger("scaledeal.clocks")

SECOND = 1_000_000_000
PERIOD = 1.0  # seconds between two looks at the clocks
STEP = 0.1  # seconds by which the clocks have to part in one period to count as a step
DELAY = 0.15  # seconds by which a look may be late before it counts: so long a relay may be held up


class UnixClock:
    """Unix time that never steps: the wall clock is read once, and from then on the monotonic clock counts."""

    def __init__(self, monotonic: Callable[[], int], unix_ns: int) -> None:
        self.monotonic = monotonic
        self.offset = monotonic() - unix_ns  # ns from Unix time to monotonic time

    def now(self) -> int:
        """Return the ns since 1970."""
        return self.monotonic() - self.offset

    def seconds(self) -> float:
        """Return the seconds since 1970."""
        return self.now() / SECOND


class ClockMonitor:
    """Counts and logs steps of the wall clock, and delays of the event loop; it changes nothing."""

    def __init__(self, reactor: Reactor, monotonic: Callable[[], int], unix: Callable[[], int]) -> None:
        self.reactor = reactor
        self.monotonic = monotonic
        self.unix = unix
        self.steps = 0  # of the wall clock
        self.delays = 0  # looks that came late
        self.longest_delay = 0.0  # seconds
        self._apart = 0  # ns between the two clocks at the last look
        self._due = 0  # ns, on the monotonic clock
        self._timer: Timer | None = None

    def start(self) -> None:
        """Look from now on, until stopped."""
        self._apart = self.unix() - self.monotonic()
        self._look_again()

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def lines(self) -> list[str]:
        """Return the figures as operators read them."""
        return [
            f"relay_wall_clock_steps_total {self.steps}",
            f"relay_loop_delays_total {self.delays}",
            f"relay_loop_delay_max_ms {self.longest_delay * 1000:.0f}",
        ]

    def _look_again(self) -> None:
        self._due = self.monotonic() + int(PERIOD * SECOND)
        self._timer = self.reactor.callLater(PERIOD, self._look)

    def _look(self) -> None:
        now = self.monotonic()
        apart, before = self.unix() - now, self._apart
        self._apart = apart
        if abs(apart - before) >= STEP * SECOND:
            self.steps += 1
            log.warning("wall clock stepped by %+.3f s: no span of this relay hangs on it", (apart - before) / SECOND)
        late = (now - self._due) / SECOND
        self.longest_delay = max(self.longest_delay, late)
        if late >= DELAY:
            self.delays += 1
            log.warning("event loop held up: a timer came %.3f s late", late)
        self._look_again()
