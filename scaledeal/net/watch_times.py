"""The timing of a discovery watch, without I/O: how long a call waits, when it times out and when it is retried.

A change is presumed known to a relay ``PRESUMED_KNOWN_S`` after discovery had it and could be reached, whatever became
of the calls in between; a change that a timed-out watch missed is presumed known at the latest
``PRESUMED_KNOWN_AFTER_WAIT_S`` after the end of its wait. From then on the rule on draining servers applies, so every
span between two calls is bounded here and only here.
"""

from __future__ import annotations

import msgspec

PRESUMED_KNOWN_S = 6.0  # a change is presumed known this long after discovery had it, while it can be reached
PRESUMED_KNOWN_AFTER_WAIT_S = 2.0  # the same for a watch that timed out, from the end of its wait
ANSWER_GRACE_S = 0.5  # a working watch has answered this long after the end of its wait; the rest is for the next call
LIST_CALL_TIMEOUT_S = PRESUMED_KNOWN_S - PRESUMED_KNOWN_AFTER_WAIT_S  # of a call that does not wait
BODY_TIMEOUT_S = 1.0  # from the start of an answer to its end; also the time allowed for one call
MIN_WAIT_S = 0.25  # a watch that did not wait at all would count as a new watch
BUSY_RETRY_S = 1.0  # a call that discovery refused because it is busy is retried within this time
TIMEOUT_SPREAD = 0.15  # share by which the time-outs of relays differ
MAX_RETRY_INTERVAL_S = 4.0  # between the starts of two calls to a discovery that can't be reached
MIN_RETRY_PAUSE_S = 0.1  # after a failed call
AGENT_WAIT_RANGE_S = 1.0, 2.0  # asked of an agent: it is on this machine and answers at no cost
AGENT_ROUND_SHARE = 0.8  # share of the drain window within which a failing or silent agent is called once more
MIN_AGENT_ROUND_S = 0.1  # where the settings leave no window
AGENT_PAUSE_SHARE = 0.25  # share of that round that passes between two calls
AGENT_SHORT_PAUSE_SHARE = 0.1  # the same after a call that was given a whole round
AGENT_LONG_CALL_EVERY = 5  # one call in so many is given the whole round: the agent may be slow rather than silent
MAX_WAIT_S = 60.0  # limit of the protocol
GOLDEN_RATIO = 0.6180339887498949  # multiples of it, modulo 1, are spread evenly however many there are


class WatchTimes(msgspec.Struct):
    """The times of one relay's calls, in seconds.

    Without an agent, discovery is one service for all relays: it takes calls in turn, and a new watch costs it as
    much as a call for the list. All watches may time out in one moment. So each relay has a phase of its own on the
    clock that all machines read, at which its waits end once per ``_wait_period``; whenever that moment comes, the
    calls that replace the lost watches are spread evenly. Continuing a watch costs nothing, however often.

    A period is short enough that one more call can fetch what a watch that timed out just then missed, within
    ``PRESUMED_KNOWN_S`` and the drain's grace. A discovery that has refused calls because it is busy can't answer a
    whole fleet so fast: the period is then the span in which the settings say that it can take a call of each relay
    (``ask_within``), less what the rules leave for a call after the end of a wait.
    """

    pushed: bool  # calls go to an agent on this relay's own machine
    ask_within: float  # span in which, by the settings, each relay calls once
    drain_grace: float  # span in which sends to a draining server have to stop
    phase: float  # 0 to 1: the position of this relay among the others
    spread_draws: int = 0  # how often this relay's spread was drawn
    failures: int = 0  # calls that failed since the last answer
    discovery_busy: bool = False  # discovery has refused calls because it is busy

    def wait_time(self, now: float) -> float:
        """Return how long the next call of a watch waits for news; ``now`` in seconds on the clock of all machines."""
        if self.pushed:
            shortest, longest = AGENT_WAIT_RANGE_S
            return shortest + (longest - shortest) * self._next_spread()
        period = self._wait_period()
        until_phase = (self.phase - now / period) % 1 * period
        return until_phase if until_phase >= MIN_WAIT_S else until_phase + period

    def timeout(self, wait: float) -> float:
        """Return how long after its start a call with this wait times out."""
        if wait:
            return wait + ANSWER_GRACE_S
        if self.pushed:
            long_call = self.failures % AGENT_LONG_CALL_EVERY == AGENT_LONG_CALL_EVERY - 1
            return self._agent_round() * (1 if long_call else 1 - AGENT_PAUSE_SHARE)
        # A fleet that started in one moment at a silent discovery would otherwise keep calling it in step.
        return LIST_CALL_TIMEOUT_S * (1 - TIMEOUT_SPREAD * self._next_spread())

    def retry_pause(self, elapsed: float, connection_failed: bool = True) -> float:
        """Return the pause between a failed call, which took ``elapsed``, and the next one; count the failure.

        The first pauses of a fleet are spread over ``MAX_RETRY_INTERVAL_S`` where the connection failed, as it may
        have failed for all relays; a bad answer concerns this relay alone. Later intervals, from start to start, are
        half to the whole of it, so that a discovery that is back is called by some relay at any moment.
        """
        self.failures += 1
        if self.pushed:
            return self._agent_pause()
        spread = self._next_spread()
        interval = (MAX_RETRY_INTERVAL_S if connection_failed or self.failures > 1 else BUSY_RETRY_S) * (1 + spread) / 2
        if connection_failed and self.failures == 1:
            interval = MAX_RETRY_INTERVAL_S * spread
        return max(MIN_RETRY_PAUSE_S, interval - min(max(0.0, elapsed), MAX_RETRY_INTERVAL_S))

    def busy_pause(self) -> float:
        """Return the pause after a call that discovery refused because it is busy; count the failure.

        Discovery counts as reached, so there is no back-off: it would make a relay that was refused several times the
        last one to learn of a change.
        """
        self.failures += 1
        if self.pushed:
            return self._agent_pause()
        self.discovery_busy = True
        return BUSY_RETRY_S * (1 + self._next_spread()) / 2

    def record_timeout(self) -> None:
        """Count a call that timed out; the next one starts at once, as this one has already taken its time."""
        self.failures += 1

    def record_answer(self) -> None:
        """Reset the count of failures after an answer."""
        self.failures = 0

    def _wait_period(self) -> float:
        period = PRESUMED_KNOWN_S + self.drain_grace - ANSWER_GRACE_S - BODY_TIMEOUT_S
        if self.discovery_busy:
            period = max(period, self.ask_within - (PRESUMED_KNOWN_AFTER_WAIT_S - ANSWER_GRACE_S))
        return min(MAX_WAIT_S, max(period, 2 * MIN_WAIT_S)) - MIN_WAIT_S

    def _agent_round(self) -> float:
        # Without the minimum, settings that state no window would have the agent called without a pause, and each
        # call time out at once.
        return max(MIN_AGENT_ROUND_S, AGENT_ROUND_SHARE * min(BODY_TIMEOUT_S, self.drain_grace))

    def _agent_pause(self) -> float:
        # The pause after a long call is shorter, so that both together fit in the window: an agent's news is presumed
        # known from the moment at which the agent is back.
        return self._agent_round() * (
            AGENT_SHORT_PAUSE_SHARE if self.failures % AGENT_LONG_CALL_EVERY == 0 else AGENT_PAUSE_SHARE
        )

    def _next_spread(self) -> float:
        self.spread_draws += 1
        return (self.phase + self.spread_draws * GOLDEN_RATIO) % 1
