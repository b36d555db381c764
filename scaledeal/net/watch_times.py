"""When a call of discovery waits, is missed, and is made again: the times of a discovery watch, and no I/O.

A change counts as told ``SILENT_TOLD`` after discovery had it and could be reached, whatever became of the calls in
between; what a silent watch misses counts as told no later than ``WAIT_TOLD`` after the end of its wait. From then on
the rule of draining servers runs. So every span between two calls is bounded here, and nowhere else.
"""

from __future__ import annotations

import msgspec

SILENT_TOLD = 6.0  # seconds after which what a relay has not heard counts as told, while discovery can be reached
WAIT_TOLD = 2.0  # seconds after the end of its wait by which that is so for a watch that fell silent
LATE = 0.5  # seconds after the end of its wait by which a sound watch has answered; the rest is for the next call
UNANSWERED = SILENT_TOLD - WAIT_TOLD  # seconds after which a call that doesn't wait counts as silent
BODY = 1.0  # seconds that an answer which has begun may take to its end, and that one call is reckoned at
LEAST = 0.25  # seconds that a watch waits at least: one that did not wait at all would be a new watch
BUSY = 1.0  # seconds within which a call that discovery had no time for is made again
APART = 0.15  # share by which the time-outs of relays differ
PAUSE = 4.0  # seconds at most between the starts of two calls of a discovery that can't be reached
SOONEST = 0.1  # seconds that pass at least after a failed call
AGENT_WAITS = 1.0, 2.0  # seconds that an agent on this machine is asked to wait: it answers at no cost
AGENT_ROUND = 0.8  # share of the drain window in which an agent that fails or is silent is asked once more
AGENT_LEAST = 0.1  # seconds of such a round at least, where the settings leave no window
AGENT_PAUSE = 0.25  # share of that round that passes between two calls
AGENT_SHORT = 0.1  # the same after a call that was given a whole round
AGENT_SLOW = 5  # every so many such calls, one is given the whole round: the agent may be slow, not silent
LONGEST = 60.0  # seconds that a call may wait at most, by the protocol
GOLDEN = 0.6180339887498949  # turns by so much fall evenly, however many there are


class WatchTimes(msgspec.Struct):
    """The times of one relay's calls, in seconds.

    Where discovery is asked it is one service for all relays, which takes calls in turn, and a new watch costs it
    as a call for the list does. All watches may fall silent in one moment, so each relay has a place of its own
    on the clock that all machines read, at which its waits end, once a ``_round``: whenever that moment comes, the
    calls that make good for it are spread evenly. To go on with a watch costs nothing, however often.

    A round is as long as leaves time to hear, in one call more, of what a watch that fell silent just then missed,
    within ``SILENT_TOLD`` and the drain's grace. A discovery that has refused calls for want of time can't hear a
    whole fleet so fast: there a round is as long as the settings have it bear a call of each relay (``ask_within``),
    less what the rules leave for a call after the end of a wait.
    """

    pushed: bool  # an agent on this relay's own machine is asked
    ask_within: float  # span in which the settings have each relay ask once
    grace: float  # span in which sends to a draining server have to stop
    place: float  # 0 to 1: this relay's place among the others
    turns: int = 0  # how often this relay's spread was drawn
    missed: int = 0  # calls that failed since the last answer
    crowded: bool = False  # discovery has refused calls for want of time

    def wait(self, now: float) -> float:
        """Return how long the next call of a watch waits for news; ``now`` in seconds on the clock of all machines."""
        if self.pushed:
            least, most = AGENT_WAITS
            return least + (most - least) * self._spread()
        period = self._round()
        ahead = (self.place - now / period) % 1 * period
        return ahead if ahead >= LEAST else ahead + period

    def patience(self, wait: float) -> float:
        """Return how long after its start a call that waits so long is taken for silent."""
        if wait:
            return wait + LATE
        if self.pushed:
            slow = self.missed % AGENT_SLOW == AGENT_SLOW - 1
            return self._agent_round() * (1 if slow else 1 - AGENT_PAUSE)
        # Guards against a fleet that started in one moment at a silent discovery, and asks it in step ever after.
        return UNANSWERED * (1 - APART * self._spread())

    def pause(self, took: float, broke: bool = True) -> float:
        """Return how long after a failed call, which took so long, the next one begins, and count the failure.

        The first pauses of a fleet are spread over ``PAUSE``: what ``broke`` may have broken for all; a bad answer is
        this relay's alone. Later ones are half to the whole of it from start to start, so a discovery that is back
        is asked by some relay in every moment.
        """
        self.missed += 1
        if self.pushed:
            return self._agent_pause()
        share = self._spread()
        wanted = (PAUSE if broke or self.missed > 1 else BUSY) * (1 + share) / 2
        if broke and self.missed == 1:
            wanted = PAUSE * share
        return max(SOONEST, wanted - min(max(0.0, took), PAUSE))

    def refused(self) -> float:
        """Return how long after discovery said it has no time it is asked again, and count the failure.

        It is there and counts as reached: no back-off, or a relay that was refused some times hears last of all.
        """
        self.missed += 1
        if self.pushed:
            return self._agent_pause()
        self.crowded = True
        return BUSY * (1 + self._spread()) / 2

    def silent(self) -> None:
        """Hear that a call fell silent: the next one is made at once, as this one took its time."""
        self.missed += 1

    def answered(self) -> None:
        """Hear that a call was answered."""
        self.missed = 0

    def _round(self) -> float:
        period = SILENT_TOLD + self.grace - LATE - BODY
        if self.crowded:
            period = max(period, self.ask_within - (WAIT_TOLD - LATE))
        return min(LONGEST, max(period, 2 * LEAST)) - LEAST

    def _agent_round(self) -> float:
        # Guards against an agent asked without a pause, and given up at once, where no window is stated.
        return max(AGENT_LEAST, AGENT_ROUND * min(BODY, self.grace))

    def _agent_pause(self) -> float:
        # Guards against a slow call and its pause that outlast the window: an agent that is back counts from then.
        return self._agent_round() * (AGENT_SHORT if self.missed % AGENT_SLOW == 0 else AGENT_PAUSE)

    def _spread(self) -> float:
        self.turns += 1
        return (self.place + self.turns * GOLDEN) % 1
