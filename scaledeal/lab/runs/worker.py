"""Plays one job in a process of its own: the job as JSON on standard input, its outcome as JSON on standard output.

A worker that dies takes its own run along and no other; whoever started it hears of that by its exit code.
"""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator

import msgspec

from scaledeal.hcl import FileError
from scaledeal.lab.runs.play import Job, Outcome, play, scenario_of

CALL = [sys.executable, "-m", "scaledeal.lab.runs.worker"]


class Work(msgspec.Struct, eq=False):
    """A job that is being played."""

    job: Job
    process: subprocess.Popen[bytes]
    began: float


def main() -> int:
    """Play the job that standard input holds."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    try:
        outcome = play(job)
    except (FileError, ValueError) as error:
        print(str(error), file=sys.stderr)
        return 2
    sys.stdout.buffer.write(msgspec.json.encode(outcome))
    return 0


def failed(job: Job, why: str) -> Outcome:
    """Return the outcome of a run that could not be played."""
    return Outcome(job.key, scenario_of(job).title, job.seed, job.host, job.variant.name, {}, {}, (), why)


def in_parallel(
    jobs: Iterable[Job], workers: int, stopped: Callable[[], bool] = lambda: False, patience: float = 3600.0
) -> Iterator[Outcome]:
    """Yield outcomes as they come, from so many workers at once; no new one is started once it is to stop."""
    waiting, running = list(jobs)[::-1], list[Work]()
    try:
        while waiting or running:
            while waiting and len(running) < workers and not stopped():
                running.append(_begin(waiting.pop()))
            if stopped():
                waiting.clear()
            for work in [each for each in running if each.process.poll() is not None]:
                running.remove(work)
                yield _outcome(work)
            for work in [each for each in running if time.monotonic() - each.began > patience]:
                work.process.kill()  # its own child, and no other
            time.sleep(0.02)
    finally:
        for work in running:
            work.process.kill()
            work.process.wait()


def _begin(job: Job) -> Work:
    process = subprocess.Popen(CALL, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert process.stdin is not None
    try:
        process.stdin.write(msgspec.json.encode(job))
        process.stdin.close()
    except BrokenPipeError:
        pass  # its exit code tells
    return Work(job, process, time.monotonic())


def _outcome(work: Work) -> Outcome:
    assert work.process.stdout is not None and work.process.stderr is not None
    told, said = work.process.stdout.read(), work.process.stderr.read().decode("utf-8", "replace")
    work.process.stdout.close()
    work.process.stderr.close()
    if work.process.returncode == 0:
        try:
            return msgspec.json.decode(told, type=Outcome)
        except msgspec.MsgspecError as error:
            return failed(work.job, f"worker's answer not understood: {error}")
    last = said.strip().splitlines()[-1:] or ["without a word"]
    return failed(work.job, f"worker ended with {work.process.returncode}: {last[0]}")


if __name__ == "__main__":
    sys.exit(main())
