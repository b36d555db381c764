"""When a call of discovery waits, and when its answer is missed: the times of a discovery watch, and no I/O.

What discovery has to tell counts as told ``SILENT_TOLD`` after a call fell silent, or ``WAIT_TOLD`` after the end of
its wait where that is later, whether it arrived or not. From then on the rule of draining servers runs, so a silent
call has to be given up, made anew and answered by then.
"""

from __future__ import annotations

import msgspec

SILENT_TOLD = 6.0  # seconds after which what a silent call misses counts as told
WAIT_TOLD = 2.0  # seconds after the end of its wait by which that is so where it waits longer
LATE = 0.5  # seconds after the end of its wait by which a sound watch has answered; the rest is for the next call
UNANSWERED = SILENT_TOLD - WAIT_TOLD  # seconds after which a call that doesn't wait counts as silent
BODY = 1.0  # seconds that an answer which has begun may take to its end
AGENT_WAITS = 1.0, 2.0  # seconds that an agent on this machine is asked to wait: it answers at no cost
AGENT_ROUND = 0.8  # share of the drain window in which an agent that fails or is silent is asked once more
AGENT_LEAST = 0.1  # seconds of such a round at least, where the settings leave no window
AGENT_PAUSE = 0.25  # share of that round that passes between two calls
AGENT_SLOW = 5  # every so many such calls, one is given longer: the agent may be slow, not silent
LONGEST = 60.0  # seconds that a call may wait at most, by the protocol
GOLDEN = 0.6180339887498949  # turns by so much fall evenly, however many there are


class WatchTimes(msgspec.Struct):
    """The times of one relay's calls, in seconds.

    Where discovery is asked it is one service for all relays, which takes calls in turn, and a new watch costs it
    as a call for the list does. All watches may fall silent in one moment after all began in one, so waits differ
    by relay and by call, evenly over the span in which the settings have each relay ask once (``ask_within``): a
    discovery that bears that bears the calls of a whole fleet whose watches fell silent. None is shorter than
    ``SILENT_TOLD - WAIT_TOLD``: shorter ones would all have to be made good by one moment. To go on with a watch
    costs nothing, however often.
    """

    pushed: bool  # an agent on this relay's own machine is asked
    ask_within: float  # span in which the settings have each relay ask once
    grace: float  # span in which sends to a draining server have to stop
    turn: float  # 0 to 1: this relay's place among the others, moved on with each wait
    missed: int = 0  # calls of the agent that failed since its last answer

    def wait(self) -> float:
        """Return how long the next call of a watch waits for news."""
        self.turn = (self.turn + GOLDEN) % 1
        if self.pushed:
            least, most = AGENT_WAITS
            return least + (most - least) * self.turn
        return min(LONGEST, SILENT_TOLD - WAIT_TOLD + self.ask_within * self.turn)

    def patience(self, wait: float) -> float:
        """Return how long after its start a call that waits so long is taken for silent."""
        if wait:
            return wait + LATE
        if not self.pushed:
            return UNANSWERED
        slow = self.missed % AGENT_SLOW == AGENT_SLOW - 1
        return BODY if slow else self._round() * (1 - AGENT_PAUSE)

    def pause(self) -> float:
        """Return how long after a failed call an agent on this machine is asked again, and count the failure."""
        self.missed += 1
        return self._round() * AGENT_PAUSE

    def answered(self) -> None:
        """Hear that a call was answered."""
        self.missed = 0

    def _round(self) -> float:
        # Guards against an agent asked without a pause, and given up at once, where no window is stated.
        return max(AGENT_LEAST, AGENT_ROUND * min(BODY, self.grace))
