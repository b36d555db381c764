"""The kernel against theory: what queueing theory answers, it must answer too, and a broken one must not."""

from __future__ import annotations

import math
import subprocess
import sys

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scaledeal.lab.kernel import Kernel, RunawayError, Station, Streams

SECOND = 1_000_000_000
DRAWN = 20_000


def queue(
    workers: int, rate: float, work: float, seed: int, law: str = "exponential", kind: type[Station] = Station
) -> Station:
    """Play a queue with Poisson arrivals until so many were served; work and rate are in seconds."""
    kernel = Kernel()
    station = kind(kernel, workers)
    coming, working = Streams(seed).of("arrivals"), Streams(seed).of("work")
    left = [DRAWN]

    def arrive() -> None:
        took = work if law == "fixed" else float(working.exponential(work))
        station.put(int(took * SECOND), lambda served: None)
        left[0] -= 1
        if left[0]:
            kernel.after(int(float(coming.exponential(1 / rate)) * SECOND), arrive)

    kernel.after(0, arrive)
    kernel.run(1 << 62)
    return station


def mean_wait(station: Station) -> float:
    return station.waited / station.served / SECOND


def erlang_c(workers: int, load: float) -> float:
    terms = [load**n / math.factorial(n) for n in range(workers)]
    last = load**workers / math.factorial(workers) * workers / (workers - load)
    return last / (sum(terms) + last)


def interval(values: list[float]) -> tuple[float, float]:
    """Return the 99.9 % interval of a mean, from runs of different seeds."""
    mean, spread = float(np.mean(values)), float(np.std(values, ddof=1)) / math.sqrt(len(values))
    return mean - 6 * spread, mean + 6 * spread


@pytest.mark.parametrize(("workers", "load"), [(1, 0.5), (3, 2.1), (8, 6.4)])
def test_waiting_with_many_workers_is_as_erlang_tells(workers: int, load: float):
    expected = erlang_c(workers, load) / (workers - load)  # in units of the mean work
    low, high = interval([mean_wait(queue(workers, load, 1.0, seed)) for seed in range(5)])
    assert low <= expected <= high, f"{low:.4f} to {high:.4f}, theory {expected:.4f}"


def test_waiting_at_fixed_work_is_as_pollaczek_and_khinchine_tell():
    load = 0.7
    expected = load / (2 * (1 - load))
    low, high = interval([mean_wait(queue(1, load, 1.0, seed, "fixed")) for seed in range(5)])
    assert low <= expected <= high, f"{low:.4f} to {high:.4f}, theory {expected:.4f}"


def test_what_is_in_the_station_is_rate_times_time_as_little_tells():
    station = queue(2, 1.4, 1.0, 7)
    spent = (station.waited / SECOND + DRAWN * 1.0) / DRAWN  # the mean of the drawn work is within a percent of 1
    count = station.area / (station.seen / SECOND)
    assert count == pytest.approx(DRAWN / (station.seen / SECOND) * spent, rel=0.03)


def test_so_many_are_there_where_nobody_waits():
    # M/G/infinity: the count is Poisson with the mean rate times life, whatever the law of the lives.
    counts = []
    for seed in range(12):
        station = queue(10_000, 50.0, 0.8, seed, "fixed")
        counts.append(station.area / (station.seen / SECOND))
    low, high = interval(counts)
    assert low <= 40.0 <= high, f"{low:.2f} to {high:.2f}"


class LastFirst(Station):
    """Serves whoever came last, and forgets that work takes as long as it does."""

    def put(self, work, done):  # type: ignore[no-untyped-def]
        return super().put(int(work * 0.9), done)


def test_a_broken_station_fails_the_theory():
    expected = erlang_c(1, 0.5) / 0.5
    low, high = interval([mean_wait(queue(1, 0.5, 1.0, seed, kind=LastFirst)) for seed in range(5)])
    assert not low <= expected <= high, "a station that works a tenth too fast was not seen"


@given(st.lists(st.integers(0, 50), max_size=60))
def test_calls_come_in_the_order_of_their_moments_then_of_planning(moments: list[int]):
    kernel, seen = Kernel(), []
    for number, moment in enumerate(moments):
        kernel.at(moment, lambda n=number, m=moment: seen.append((m, n)))
    kernel.run(100)
    assert seen == sorted(seen) and len(seen) == len(moments)


@settings(max_examples=30)
@given(st.integers(0, 1000))
def test_drawn_ties_keep_moments_in_order_and_lose_nothing(seed: int):
    kernel, seen = Kernel(Streams(seed).of("ties")), []
    for number in range(40):
        kernel.at(number // 10, lambda n=number: seen.append(n))
    kernel.run(100)
    assert sorted(seen) == list(range(40))
    assert [n // 10 for n in seen] == sorted(n // 10 for n in seen)


def test_a_cancelled_call_never_comes_and_a_late_one_comes_now():
    kernel, seen = Kernel(), []
    planned = kernel.at(5, lambda: seen.append("no"))
    kernel.at(3, planned.cancel)
    kernel.at(6, lambda: kernel.at(1, lambda: seen.append(kernel.now)))
    kernel.run(10)
    assert seen == [6] and kernel.now == 10 and not planned.active()


def test_planning_without_end_in_one_instant_is_told(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr("scaledeal.lab.kernel.clock.MOST_AT_ONCE", 1000)
    kernel = Kernel()

    def again() -> None:
        kernel.after(0, again)

    again()
    with pytest.raises(RunawayError, match="again"):
        kernel.run(10)


def test_one_name_more_changes_no_others_draws():
    alone = Streams(5).of("client", 7).random(3)
    streams = Streams(5)
    streams.of("client", 8).random(100)
    assert (streams.of("client", 7).random(3) == alone).all()
    assert (Streams(6).of("client", 7).random(3) != alone).all()
    assert (streams.of("client7").random(3) != alone).all(), "names are told apart by their parts"


def test_draws_do_not_hang_on_the_hash_seed():
    code = "from scaledeal.lab.kernel import Streams; print(Streams(3).of('a', 1).integers(1 << 60))"
    told = {
        subprocess.run(
            [sys.executable, "-c", code], env={"PYTHONHASHSEED": seed}, capture_output=True, text=True, check=True
        ).stdout
        for seed in ("0", "1")
    }
    assert len(told) == 1


def test_a_station_turns_away_past_its_queue_and_after_patience():
    kernel, heard = Kernel(), []
    station = Station(kernel, 1, queue=1, patience=15)
    for _ in range(3):
        station.put(20, heard.append)
    kernel.run(100)
    assert sorted(heard) == [False, False, True] and station.refused == 2
