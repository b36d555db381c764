"""The invariants of requests and connections, and counters of their violations.

Before a relay sends, repeats, refuses or closes, it asks ``RequestGuard``; what the guard rejects is counted as
prevented. What has happened in spite of it is a violation: it is logged with the request's id and counted by rule.
Operators read both counters from INFO, and the last line of the log has the total.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum

log = logging.getLogger("scaledeal.invariants")

LOG_INTERVAL_NS = 5_000_000_000  # minimum time between two log lines on one rule


class Rule(Enum):
    """An invariant of requests and connections."""

    LATE_ANSWER = "late_answer"  # the final answer came after the deadline and its slack
    CLOSED_UNANSWERED = "closed_unanswered"  # the relay closed a connection with a request without an answer
    SENT_AFTER_END = "sent_after_end"  # an attempt for a request that was answered, or whose client left
    SENT_TOO_LATE = "sent_too_late"  # an attempt after the deadline
    SECOND_COPY = "second_copy"  # an attempt at the same time as another one of the same request
    UNSAFE_REPEAT = "unsafe_repeat"  # a repeat that may run a request twice
    UNSAFE_REFUSAL = "unsafe_refusal"  # a refusal as safe to repeat, of a request that may have run
    SENT_TO_DRAINING = "sent_to_draining"  # an attempt at a server that takes nothing new
    STALLED = "stalled"  # a connection that returned nothing for too long and was neither closed nor moved
    OWED_AT_EXIT = "owed_at_exit"  # a request that waited for its answer when the process ended


class Invariants:
    """Counts violations and prevented violations by rule."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.violations: Counter[Rule] = Counter()
        self.prevented: Counter[Rule] = Counter()
        self._logged_at: dict[Rule, int] = {}

    def record_violation(self, rule: Rule, request: str, detail: str) -> None:
        """Count a violation; log at most one line for each rule in ``LOG_INTERVAL_NS``."""
        self.violations[rule] += 1
        if self._should_log(rule):
            log.error(
                "invariant %s violated %d times, last by request %s: %s",
                rule.value,
                self.violations[rule],
                request or "-",
                detail,
            )

    def record_prevented(self, rule: Rule, request: str, detail: str) -> None:
        """Count an action that was not carried out, as it would have violated a rule."""
        self.prevented[rule] += 1
        if self._should_log(rule):
            log.warning(
                "invariant %s enforced %d times, last for request %s: %s",
                rule.value,
                self.prevented[rule],
                request or "-",
                detail,
            )

    def summary(self) -> str:
        """Return the violations by rule, as text for the log."""
        counts = [
            f"{count} {rule.value}" for rule, count in sorted(self.violations.items(), key=lambda kv: kv[0].value)
        ]
        return ", ".join(counts) or "none violated"

    def lines(self) -> list[str]:
        """Return the metrics lines for operators: every rule, including those with a count of 0."""
        return [
            f'relay_invariant_{name}_total{{rule="{rule.value}"}} {counts[rule]}'
            for name, counts in (("violations", self.violations), ("prevented", self.prevented))
            for rule in Rule
        ]

    def _should_log(self, rule: Rule) -> bool:
        now, last = self.now(), self._logged_at.get(rule)
        if last is not None and now - last < LOG_INTERVAL_NS:
            return False
        self._logged_at[rule] = now
        return True
