"""Plays one job in a separate process: it reads the job as JSON from standard input and writes the outcome as JSON.

A worker that dies loses only its own run; the process that started it detects that by the exit code.
"""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator

import msgspec

from scaledeal.hcl import FileError
from scaledeal.lab.runs.play import Job, Outcome, load_scenario, play

WORKER_COMMAND = [sys.executable, "-m", "scaledeal.lab.runs.worker"]


class RunningJob(msgspec.Struct, eq=False):
    """A job that is being played by a worker."""

    job: Job
    process: subprocess.Popen[bytes]
    started_at: float  # monotonic seconds


def main() -> int:
    """Play the job from standard input; return the exit code, 2 if the job cannot be played."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    try:
        outcome = play(job)
    except (FileError, ValueError) as error:
        print(str(error), file=sys.stderr)
        return 2
    sys.stdout.buffer.write(msgspec.json.encode(outcome))
    return 0


def failed_outcome(job: Job, reason: str) -> Outcome:
    """Return the outcome of a run that could not be played."""
    return Outcome(job.key, load_scenario(job).title, job.seed, job.host, job.variant.name, {}, {}, (), reason)


def play_in_parallel(
    jobs: Iterable[Job], workers: int, should_stop: Callable[[], bool] = lambda: False, timeout_s: float = 3600.0
) -> Iterator[Outcome]:
    """Yield outcomes as they arrive from up to ``workers`` concurrent workers.

    No further job is started once ``should_stop`` returns true. A worker that runs longer than ``timeout_s`` is killed.
    """
    waiting, running = list(jobs)[::-1], list[RunningJob]()
    try:
        while waiting or running:
            while waiting and len(running) < workers and not should_stop():
                running.append(_start_worker(waiting.pop()))
            if should_stop():
                waiting.clear()
            for running_job in [candidate for candidate in running if candidate.process.poll() is not None]:
                running.remove(running_job)
                yield _read_outcome(running_job)
            for running_job in [
                candidate for candidate in running if time.monotonic() - candidate.started_at > timeout_s
            ]:
                running_job.process.kill()  # always a child of this process
            time.sleep(0.02)
    finally:
        for running_job in running:
            running_job.process.kill()
            running_job.process.wait()


def _start_worker(job: Job) -> RunningJob:
    process = subprocess.Popen(WORKER_COMMAND, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert process.stdin is not None
    try:
        process.stdin.write(msgspec.json.encode(job))
        process.stdin.close()
    except BrokenPipeError:
        pass  # the worker has died; its exit code is read later
    return RunningJob(job, process, time.monotonic())


def _read_outcome(running_job: RunningJob) -> Outcome:
    assert running_job.process.stdout is not None and running_job.process.stderr is not None
    output, errors = running_job.process.stdout.read(), running_job.process.stderr.read().decode("utf-8", "replace")
    running_job.process.stdout.close()
    running_job.process.stderr.close()
    if running_job.process.returncode == 0:
        try:
            return msgspec.json.decode(output, type=Outcome)
        except msgspec.MsgspecError as error:
            return failed_outcome(running_job.job, f"worker's answer cannot be decoded: {error}")
    last_line = errors.strip().splitlines()[-1:] or ["no error output"]
    return failed_outcome(running_job.job, f"worker exited with code {running_job.process.returncode}: {last_line[0]}")


if __name__ == "__main__":
    sys.exit(main())
