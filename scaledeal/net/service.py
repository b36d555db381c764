"""Whether this relay starts, serves, drains or ends, and the moves that a drain or the end asks for."""

from __future__ import annotations

from enum import Enum

from scaledeal.net.driver import Driver
from scaledeal.net.ports import Timer

SECOND = 1_000_000_000
STEP = 50_000_000  # ns between two rounds of moves
NOTICED = 0.5  # seconds after the call by which the front sends no new connections here
DRAINED = 3.4  # seconds after the call by which all are moved; 4 s are allowed


class Stage(Enum):
    """What this relay is doing."""

    STARTING = 1
    SERVING = 2
    LAME_DUCK = 3  # drains: it says no, serves who still comes, and moves everybody
    ENDING = 4  # the process is to go


class Service:
    """The one owner of the stage and of the timer of the moves.

    Who is moved is no decision: it is everybody. Only the pace is set here, so that they do not come to the
    other relays in one moment.
    """

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.stage = Stage.STARTING
        self._begin = self._until = 0  # when the moves begin, and when the last of them is due
        self._due = 0.0  # moves that are due by now, but for the part of one
        self._timer: Timer | None = None

    def started(self) -> None:
        """Take up the service."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.SERVING

    def lame_duck(self) -> bool:
        """Drain, and tell whether it does; a second call changes nothing."""
        if self.stage is Stage.SERVING:
            self.stage = Stage.LAME_DUCK
            self._plan(self.driver.now() + int(NOTICED * SECOND), self.driver.now() + int(DRAINED * SECOND))
        return self.stage is Stage.LAME_DUCK

    def rejoin(self) -> bool:
        """End the drain, and tell whether this relay serves; moves still to come are cancelled."""
        if self.stage is Stage.LAME_DUCK:
            self.stage = Stage.SERVING
            self._stop()
            self.driver.draining = False
        return self.stage is Stage.SERVING

    def end(self, kept: float, until: float) -> bool:
        """Begin the end: move everybody between so many seconds from now; False if it had begun."""
        if self.stage is Stage.ENDING:
            return False
        now = self.driver.now()
        begin, last = now + int(kept * SECOND), now + int(until * SECOND)
        if self.stage is Stage.LAME_DUCK:
            # Guards against an end that gives clients longer than the drain that had begun would have.
            begin, last = min(begin, self._begin), min(last, self._until)
        self.stage = Stage.ENDING
        self._plan(begin, last)
        return True

    # The moves

    def _plan(self, begin: int, until: int) -> None:
        self._stop()
        self._begin, self._until = begin, until
        self._timer = self.driver.later(max(0, begin - self.driver.now()), self._round)

    def _round(self) -> None:
        """Move as many as are due: those who stand, spread over the time that is left."""
        self._timer = None
        left = self._until - self.driver.now()
        if left <= 0:
            self.driver.draining = True  # from here on whatever comes up is moved at once
        else:
            self._timer = self.driver.later(min(STEP, left), self._round)
        standing = self.driver.established()
        # Guards against a herd: all of them coming to the other relays in one moment.
        self._due += len(standing) * min(1.0, STEP / left) if left > 0 else len(standing)
        for transaction in standing[: int(self._due)]:
            transaction.move_unrequested()
        self._due -= int(self._due)

    def _stop(self) -> None:
        self._due = 0.0
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
