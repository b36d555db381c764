"""A station that serves one after another: the store, discovery, a line of tills.

Published queueing theory tells its waiting times, so the tests of the kernel are tests of this class.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from scaledeal.lab.kernel.clock import Kernel, Moment

Done = Callable[[bool], object]  # hears whether it was served, or turned away or given up


class Job(msgspec.Struct, eq=False):
    """One who waits or is served."""

    work: int  # ns of one worker
    done: Done
    came: int
    began: int = -1
    timer: Moment | None = None


class Station:
    """So many workers, one queue, first come first served."""

    def __init__(self, kernel: Kernel, workers: int = 1, queue: int | None = None, patience: int | None = None) -> None:
        """``queue`` bounds how many wait; ``patience`` is the ns after which one that still waits gives up."""
        self.kernel = kernel
        self.workers = workers
        self.queue = queue
        self.patience = patience
        self.pace = 1.0  # how fast it works; 0 stands still
        self.waiting: deque[Job] = deque()
        self.serving: dict[int, Job] = {}
        self._numbered = 0
        self.served = self.refused = 0
        self.waited = 0  # ns, of all that began
        self.seen = 0  # until when ``area`` is counted
        self.area = 0.0  # integral of those in the station, in s

    def put(self, work: int, done: Done) -> Job:
        """Come for so many nanoseconds of work; ``done`` is called once."""
        self._count()
        job = Job(work, done, self.kernel.now)
        if self.queue is not None and len(self.waiting) >= self.queue and not self._free():
            self.refused += 1
            self.kernel.after(0, lambda: done(False))
            return job
        self.waiting.append(job)
        if self.patience is not None:
            job.timer = self.kernel.after(self.patience, lambda: self.give_up(job))
        self._serve()
        return job

    def give_up(self, job: Job) -> None:
        """Leave the queue; one that is served already is served to its end."""
        if job.began < 0 and job in self.waiting:
            self._count()
            self.waiting.remove(job)
            self.refused += 1
            job.done(False)

    def set_pace(self, pace: float) -> None:
        """Work so many times as fast from the next job on; at 0 nobody new is served."""
        self.pace = pace
        self._serve()

    def _free(self) -> bool:
        return len(self.serving) < self.workers and self.pace > 0

    def _serve(self) -> None:
        while self.waiting and self._free():
            job = self.waiting.popleft()
            if job.timer is not None:
                job.timer.cancel()
            job.began = self.kernel.now
            self.waited += job.began - job.came
            self._numbered += 1
            number = self._numbered
            self.serving[number] = job
            self.kernel.after(int(job.work / self.pace), lambda number=number: self._over(number))  # type: ignore[misc]

    def _over(self, number: int) -> None:
        self._count()
        job = self.serving.pop(number)
        self.served += 1
        self._serve()
        job.done(True)

    def _count(self) -> None:
        self.area += (len(self.waiting) + len(self.serving)) * (self.kernel.now - self.seen) / 1e9
        self.seen = self.kernel.now
