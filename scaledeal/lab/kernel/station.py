"""A queueing station: models the session store, discovery, or the set-up workers of a server.

Its waiting times are known from queueing theory, so the tests of the kernel compare this class with theory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from scaledeal.lab.kernel.clock import Kernel, ScheduledCall

OnDone = Callable[[bool], object]  # called with True when the job was served, False when refused or timed out


class Job(msgspec.Struct, eq=False):
    """A job that waits in the queue or is being served."""

    work: int  # ns of one worker at speed 1
    on_done: OnDone
    arrived_at: int
    started_at: int = -1  # -1: still waiting
    timer: ScheduledCall | None = None


class Station:
    """A fixed number of workers that serve one queue in order of arrival."""

    def __init__(self, kernel: Kernel, workers: int = 1, queue: int | None = None, patience: int | None = None) -> None:
        """``queue`` limits the number of waiting jobs; a job still waiting after ``patience`` ns leaves the queue."""
        self.kernel = kernel
        self.workers = workers
        self.queue = queue
        self.patience = patience
        self.speed = 1.0  # multiple of the normal speed; 0: no new job is started
        self.waiting: deque[Job] = deque()
        self.serving: dict[int, Job] = {}
        self._started_count = 0
        self.served = self.refused = 0
        self.total_wait_ns = 0  # of all jobs that were started
        self.integrated_until = 0  # ns; the end of the time covered by ``jobs_integral_s``
        self.jobs_integral_s = 0.0  # integral over time of the number of jobs waiting or served

    def submit(self, work: int, on_done: OnDone) -> Job:
        """Submit a job of ``work`` ns; ``on_done`` is called exactly once, never before this call returns."""
        self._integrate_jobs()
        job = Job(work, on_done, self.kernel.now)
        if self.queue is not None and len(self.waiting) >= self.queue and not self._has_free_worker():
            self.refused += 1
            self.kernel.after(0, lambda: on_done(False))
            return job
        self.waiting.append(job)
        if self.patience is not None:
            job.timer = self.kernel.after(self.patience, lambda: self.abandon(job))
        self._start_waiting()
        return job

    def abandon(self, job: Job) -> None:
        """Remove a waiting job from the queue; a job that has been started runs to its end."""
        if job.started_at < 0 and job in self.waiting:
            self._integrate_jobs()
            self.waiting.remove(job)
            self.refused += 1
            job.on_done(False)

    def set_speed(self, speed: float) -> None:
        """Set the speed for jobs started from now on, as a multiple of normal; at 0 no new job is started."""
        self.speed = speed
        self._start_waiting()

    def _has_free_worker(self) -> bool:
        return len(self.serving) < self.workers and self.speed > 0

    def _start_waiting(self) -> None:
        while self.waiting and self._has_free_worker():
            job = self.waiting.popleft()
            if job.timer is not None:
                job.timer.cancel()
            job.started_at = self.kernel.now
            self.total_wait_ns += job.started_at - job.arrived_at
            self._started_count += 1
            number = self._started_count
            self.serving[number] = job
            self.kernel.after(int(job.work / self.speed), lambda number=number: self._finish(number))  # type: ignore[misc]

    def _finish(self, number: int) -> None:
        self._integrate_jobs()
        job = self.serving.pop(number)
        self.served += 1
        self._start_waiting()
        job.on_done(True)

    def _integrate_jobs(self) -> None:
        self.jobs_integral_s += (
            (len(self.waiting) + len(self.serving)) * (self.kernel.now - self.integrated_until) / 1e9
        )
        self.integrated_until = self.kernel.now
