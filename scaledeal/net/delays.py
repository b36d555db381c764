"""Message delays at each application server, reported to the decision module in the same form as by the simulator.

No line of the protocol carries a delay: it is measured as the time between a client's line and the next line back.
While the delay at a server exceeds a third of the shortest aim, the module hears of it at most once a second; once it
is back under that threshold, the module hears of it one more time.
"""

from __future__ import annotations

from collections.abc import Callable

MS = 1_000_000
REPORT_INTERVAL_NS = 1000 * MS
AIM_DIVISOR = 3  # delays over 1/3 of the shortest aim are reported


class Delays:
    """Decides which measured delays are reported."""

    def __init__(self, aims: tuple[float, ...], now: Callable[[], int]) -> None:
        self.aims = aims  # target latency of a message in ns, by class; 0 where none is configured
        self.threshold = min((aim for aim in aims if aim > 0), default=0.0) / AIM_DIVISOR  # ns
        self.now = now
        self.slow: dict[str, int] = {}  # servers last reported as slow, and when
        self.answered: dict[str, int] = {}  # by server, when the latest message that it has answered was passed on

    def record_answer(self, server: str, duration: int) -> None:
        """Record that a server has answered a message after ``duration`` nanoseconds."""
        self.answered[server] = max(self.answered.get(server, 0), self.now() - duration)

    def answered_since(self, server: str, moment: int) -> bool:
        """Return whether a server has answered a message that was passed on after this moment."""
        return self.answered.get(server, 0) > moment

    def forget(self, server: str) -> None:
        """Forget a server that has left the list."""
        self.answered.pop(server, None)
        self.slow.pop(server, None)

    def should_report(self, server: str, duration: int) -> bool:
        """Return whether a message delay of ``duration`` nanoseconds is to be reported; if so, record the report."""
        reported_at = self.slow.get(server)
        if duration > self.threshold > 0:
            # At most one report a second: the module would act on a report for every message.
            if reported_at is not None and self.now() - reported_at < REPORT_INTERVAL_NS:
                return False
            self.slow[server] = self.now()
            return True
        if reported_at is None:
            return False
        del self.slow[server]
        return True
