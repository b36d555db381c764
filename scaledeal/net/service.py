"""Whether this relay starts, serves, drains or ends, and the moves of clients that a drain or the end needs."""

from __future__ import annotations

from enum import Enum

from scaledeal.net.driver import Driver
from scaledeal.net.ports import Timer

NS_PER_S = 1_000_000_000
MOVE_INTERVAL_NS = 50_000_000  # between two rounds of moves
LAME_DUCK_MOVES_BEGIN_S = 0.5  # after the call; by then the front sends no new connections here
LAME_DUCK_MOVES_END_S = 3.4  # after the call; 4 s are allowed


class Stage(Enum):
    """The stages of a relay's service."""

    STARTING = 1
    SERVING = 2
    LAME_DUCK = 3  # drains: answers fronts that it is not available, serves clients that still come, and moves all
    ENDING = 4  # the process is to exit


class Service:
    """The one owner of the stage and of the timer of the moves.

    All clients are moved, so this makes no decision about them. It only sets the pace, so that they do not reach the
    other relays all at once.
    """

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.stage = Stage.STARTING
        self._moves_begin = self._moves_end = 0  # on the driver's clock
        self._moves_due = 0.0  # moves that are due and not made yet; the fraction is carried to the next round
        self._timer: Timer | None = None

    def start_serving(self) -> None:
        """End the start; in any other stage this does nothing."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.SERVING

    def lame_duck(self) -> bool:
        """Start to drain, and return whether this relay drains; a second call changes nothing."""
        if self.stage is Stage.SERVING:
            self.stage = Stage.LAME_DUCK
            self._schedule_moves(
                self.driver.now() + int(LAME_DUCK_MOVES_BEGIN_S * NS_PER_S),
                self.driver.now() + int(LAME_DUCK_MOVES_END_S * NS_PER_S),
            )
        return self.stage is Stage.LAME_DUCK

    def rejoin(self) -> bool:
        """End the drain, cancel the moves still to come, and return whether this relay serves."""
        if self.stage is Stage.LAME_DUCK:
            self.stage = Stage.SERVING
            self._cancel_moves()
            self.driver.draining = False
        return self.stage is Stage.SERVING

    def end(self, moves_begin_s: float, moves_end_s: float) -> bool:
        """Begin the end: move all clients between these times from now; return False if it had begun before."""
        if self.stage is Stage.ENDING:
            return False
        now = self.driver.now()
        begin, end = now + int(moves_begin_s * NS_PER_S), now + int(moves_end_s * NS_PER_S)
        if self.stage is Stage.LAME_DUCK:
            # The end must not give clients longer than the drain that has begun already.
            begin, end = min(begin, self._moves_begin), min(end, self._moves_end)
        self.stage = Stage.ENDING
        self._schedule_moves(begin, end)
        return True

    # The moves

    def _schedule_moves(self, begin: int, end: int) -> None:
        self._cancel_moves()
        self._moves_begin, self._moves_end = begin, end
        self._timer = self.driver.later(max(0, begin - self.driver.now()), self._run_round)

    def _run_round(self) -> None:
        """Move as many clients as are due, with those that remain spread evenly over the time that is left."""
        self._timer = None
        time_left = self._moves_end - self.driver.now()
        if time_left <= 0:
            self.driver.draining = True  # from here on each connection is moved as soon as it is established
        else:
            self._timer = self.driver.later(min(MOVE_INTERVAL_NS, time_left), self._run_round)
        standing = self.driver.established()
        # Moved at once, all clients would reach the other relays at the same moment and overload them.
        self._moves_due += len(standing) * min(1.0, MOVE_INTERVAL_NS / time_left) if time_left > 0 else len(standing)
        for transaction in standing[: int(self._moves_due)]:
            transaction.move_unrequested()
        self._moves_due -= int(self._moves_due)

    def _cancel_moves(self) -> None:
        self._moves_due = 0.0
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
