"""The simulation kernel: compares waiting times with queueing theory; checks order, determinism and cancellation."""

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
JOBS = 20_000


def run_queue(
    workers: int, rate: float, work: float, seed: int, law: str = "exponential", station_type: type[Station] = Station
) -> Station:
    """Run a queue with Poisson arrivals until JOBS jobs were served; work is in seconds, rate in jobs per second."""
    kernel = Kernel()
    station = station_type(kernel, workers)
    arrivals, service_times = Streams(seed).of("arrivals"), Streams(seed).of("work")
    remaining = [JOBS]

    def arrive() -> None:
        duration = work if law == "fixed" else float(service_times.exponential(work))
        station.submit(int(duration * SECOND), lambda served: None)
        remaining[0] -= 1
        if remaining[0]:
            kernel.after(int(float(arrivals.exponential(1 / rate)) * SECOND), arrive)

    kernel.after(0, arrive)
    kernel.run(1 << 62)
    return station


def mean_wait(station: Station) -> float:
    return station.total_wait_ns / station.served / SECOND


def erlang_c(workers: int, load: float) -> float:
    terms = [load**n / math.factorial(n) for n in range(workers)]
    last_term = load**workers / math.factorial(workers) * workers / (workers - load)
    return last_term / (sum(terms) + last_term)


def interval(values: list[float]) -> tuple[float, float]:
    """Return the 99.9 % confidence interval of a mean, from runs with different seeds."""
    mean, standard_error = float(np.mean(values)), float(np.std(values, ddof=1)) / math.sqrt(len(values))
    return mean - 6 * standard_error, mean + 6 * standard_error


@pytest.mark.parametrize(("workers", "load"), [(1, 0.5), (3, 2.1), (8, 6.4)])
def test_waiting_time_with_many_workers_matches_erlang_c(workers: int, load: float):
    expected = erlang_c(workers, load) / (workers - load)  # in units of the mean work
    low, high = interval([mean_wait(run_queue(workers, load, 1.0, seed)) for seed in range(5)])
    assert low <= expected <= high, f"{low:.4f} to {high:.4f}, theory {expected:.4f}"


def test_waiting_time_with_fixed_work_matches_pollaczek_khinchine():
    load = 0.7
    expected = load / (2 * (1 - load))
    low, high = interval([mean_wait(run_queue(1, load, 1.0, seed, "fixed")) for seed in range(5)])
    assert low <= expected <= high, f"{low:.4f} to {high:.4f}, theory {expected:.4f}"


def test_mean_number_of_jobs_matches_littles_law():
    station = run_queue(2, 1.4, 1.0, 7)
    mean_stay = (
        station.total_wait_ns / SECOND + JOBS * 1.0
    ) / JOBS  # the mean of the drawn work is within a percent of 1
    count = station.jobs_integral_s / (station.integrated_until / SECOND)
    assert count == pytest.approx(JOBS / (station.integrated_until / SECOND) * mean_stay, rel=0.03)


def test_mean_number_of_jobs_without_waiting_matches_m_g_infinity():
    # M/G/infinity: the number of jobs is Poisson with mean rate * service time, for every service time distribution.
    counts = []
    for seed in range(12):
        station = run_queue(10_000, 50.0, 0.8, seed, "fixed")
        counts.append(station.jobs_integral_s / (station.integrated_until / SECOND))
    low, high = interval(counts)
    assert low <= 40.0 <= high, f"{low:.2f} to {high:.2f}"


class FastStation(Station):
    """Works a tenth too fast, so that its waiting times contradict theory."""

    def submit(self, work, on_done):  # type: ignore[no-untyped-def]
        return super().submit(int(work * 0.9), on_done)


def test_comparison_with_theory_detects_a_station_that_is_too_fast():
    expected = erlang_c(1, 0.5) / 0.5
    low, high = interval([mean_wait(run_queue(1, 0.5, 1.0, seed, station_type=FastStation)) for seed in range(5)])
    assert not low <= expected <= high, "a station that works a tenth too fast was not detected"


@given(st.lists(st.integers(0, 50), max_size=60))
def test_calls_run_by_time_then_in_scheduling_order(times: list[int]):
    kernel, seen = Kernel(), []
    for number, time in enumerate(times):
        kernel.at(time, lambda n=number, t=time: seen.append((t, n)))
    kernel.run(100)
    assert seen == sorted(seen) and len(seen) == len(times)


@settings(max_examples=30)
@given(st.integers(0, 1000))
def test_random_ties_keep_times_in_order_and_lose_no_call(seed: int):
    kernel, seen = Kernel(Streams(seed).of("ties")), []
    for number in range(40):
        kernel.at(number // 10, lambda n=number: seen.append(n))
    kernel.run(100)
    assert sorted(seen) == list(range(40))
    assert [n // 10 for n in seen] == sorted(n // 10 for n in seen)


def test_a_cancelled_call_never_runs_and_one_in_the_past_runs_now():
    kernel, seen = Kernel(), []
    scheduled = kernel.at(5, lambda: seen.append("no"))
    kernel.at(3, scheduled.cancel)
    kernel.at(6, lambda: kernel.at(1, lambda: seen.append(kernel.now)))
    kernel.run(10)
    assert seen == [6] and kernel.now == 10 and not scheduled.active()


def test_endless_calls_at_one_instant_raise_runaway_error(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr("scaledeal.lab.kernel.clock.MAX_CALLS_PER_INSTANT", 1000)
    kernel = Kernel()

    def again() -> None:
        kernel.after(0, again)

    again()
    with pytest.raises(RunawayError, match="again"):
        kernel.run(10)


def test_streams_are_independent_of_one_another():
    alone = Streams(5).of("client", 7).random(3)
    streams = Streams(5)
    streams.of("client", 8).random(100)
    assert (streams.of("client", 7).random(3) == alone).all()
    assert (Streams(6).of("client", 7).random(3) != alone).all()
    assert (streams.of("client7").random(3) != alone).all(), "the parts of a name are hashed separately"


def test_streams_do_not_depend_on_the_hash_seed():
    code = "from scaledeal.lab.kernel import Streams; print(Streams(3).of('a', 1).integers(1 << 60))"
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code], env={"PYTHONHASHSEED": seed}, capture_output=True, text=True, check=True
        ).stdout
        for seed in ("0", "1")
    }
    assert len(outputs) == 1


def test_a_station_refuses_jobs_beyond_its_queue_and_after_the_patience():
    kernel, results = Kernel(), []
    station = Station(kernel, 1, queue=1, patience=15)
    for _ in range(3):
        station.submit(20, results.append)
    kernel.run(100)
    assert sorted(results) == [False, False, True] and station.refused == 2
