"""What must hold for every request, and the count of where it did not.

``RequestGuard`` asks before a relay sends, repeats, refuses or closes; what it refuses is counted as prevented. What is
found to have happened all the same is a violation: logged with the request's id, and counted by rule. Operators read
both from INFO, and the last line of the log tells the sum.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum

log = logging.getLogger("scaledeal.invariants")

LOGGED_EVERY = 5_000_000_000  # ns between two log lines on one rule


class Rule(Enum):
    """An invariant of requests and connections."""

    LATE_ANSWER = "late_answer"  # the final answer came after the deadline and its slack
    CLOSED_UNANSWERED = "closed_unanswered"  # the relay closed a connection that had asked, without an answer
    SENT_AFTER_END = "sent_after_end"  # an attempt for a request that was answered, or whose client left
    SENT_TOO_LATE = "sent_too_late"  # an attempt after the deadline
    SECOND_COPY = "second_copy"  # an attempt beside another one of the same request
    UNSAFE_REPEAT = "unsafe_repeat"  # a repeat that may run a request twice
    UNSAFE_REFUSAL = "unsafe_refusal"  # "trying again is harmless" of a request that may have run
    SENT_TO_DRAINING = "sent_to_draining"  # an attempt at a server that was told to want nothing new
    STALLED = "stalled"  # a connection that returned nothing for too long and was neither ended nor moved
    OWED_AT_EXIT = "owed_at_exit"  # a request that waited for its answer when the process ended


class Invariants:
    """Counts violations and what was prevented, by rule."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.violations: Counter[Rule] = Counter()
        self.prevented: Counter[Rule] = Counter()
        self._logged_at: dict[Rule, int] = {}

    def violated(self, rule: Rule, request: str, detail: str) -> None:
        """Count a violation, and log the first of each rule in a while."""
        self.violations[rule] += 1
        if self._due(rule):
            log.error(
                "invariant %s violated %d times, last by request %s: %s",
                rule.value,
                self.violations[rule],
                request or "-",
                detail,
            )

    def prevents(self, rule: Rule, request: str, detail: str) -> None:
        """Count an action that would have violated a rule, and was not carried out."""
        self.prevented[rule] += 1
        if self._due(rule):
            log.warning(
                "invariant %s kept %d times against what was wanted, last for request %s: %s",
                rule.value,
                self.prevented[rule],
                request or "-",
                detail,
            )

    def summary(self) -> str:
        """Return the violations in words."""
        told = [f"{count} {rule.value}" for rule, count in sorted(self.violations.items(), key=lambda kv: kv[0].value)]
        return ", ".join(told) or "none violated"

    def lines(self) -> list[str]:
        """Return the figures as operators read them: every rule, also those that were never broken."""
        return [
            f'relay_invariant_{name}_total{{rule="{rule.value}"}} {counts[rule]}'
            for name, counts in (("violations", self.violations), ("prevented", self.prevented))
            for rule in Rule
        ]

    def _due(self, rule: Rule) -> bool:
        now, last = self.now(), self._logged_at.get(rule)
        if last is not None and now - last < LOGGED_EVERY:
            return False
        self._logged_at[rule] = now
        return True
