"""Steps of the wall clock must not change any time span of a relay (incident of 2026-12-02)."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from shimmed_relay import ShimmedRelay, shimmed_relay
from test_relay_process import open_line

HOUR_S = 3600.0
SILENCE_LIMIT_S = 7.0  # time after which a connection that returns nothing must be over
KILL_DELAY_S = 3.0 + 0.7  # time from SIGTERM to the earliest SIGKILL
WATCH_LIMIT_S = 6.0 + 2.0  # time after which a relay counts as informed of what a silent watch misses
LATE_ANSWER_S = 0.5  # time after its deadline at which an unanswered request counts as lost


@pytest.fixture()
def stepped(tmp_path: Path) -> Iterator[ShimmedRelay]:
    with shimmed_relay(tmp_path) as world:
        yield world


def test_a_silent_connection_is_closed_in_time_after_a_step_back(stepped: ShimmedRelay) -> None:
    client, server = stepped.establish()
    client.send("M 1")
    assert server.read() == "M 1"
    asked = time.monotonic()
    stepped.faults.step_wall_clock(-HOUR_S)
    assert client.read() == "MOVE" and client.ended() and time.monotonic() - asked < SILENCE_LIMIT_S


def test_a_deadline_is_kept_after_a_step_back(stepped: ShimmedRelay) -> None:
    client = stepped.client(open_line(wait=1500))
    asked = time.monotonic()
    server, _ = stepped.servers[0].next_request()  # it never answers
    stepped.faults.step_wall_clock(-HOUR_S)
    assert client.read() in ("ERR", "BUSY") and time.monotonic() - asked < 1.5 + LATE_ANSWER_S
    server.close()


def test_no_attempt_ends_early_after_a_step_forward(stepped: ShimmedRelay) -> None:
    client = stepped.client(open_line(wait=3000))
    server, _ = stepped.servers[0].next_request()
    stepped.faults.step_wall_clock(HOUR_S)
    assert stepped.call("PING").startswith("ok")  # the relay has run its event loop since the step
    server.send("UP 1")
    assert client.read() == "UP 1"


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_shutdown_takes_its_usual_time_after_a_step(stepped: ShimmedRelay, step: float) -> None:
    client, server = stepped.establish()
    stepped.process.send_signal(signal.SIGTERM)
    signalled = time.monotonic()
    stepped.wait_for_log_line("told to stop")
    stepped.faults.step_wall_clock(step)
    late = stepped.client(open_line(2))  # the front still sends clients for a while
    other, _ = stepped.next_request()
    other.send("UP 2")
    assert late.read() == "UP 2"
    for each in (client, late):
        assert each.read() == "MOVE" and each.ended()
    assert stepped.process.wait(10) == 0 and time.monotonic() - signalled < KILL_DELAY_S
    server.close()


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_silent_watch_is_reopened_in_time_after_a_step(stepped: ShimmedRelay, step: float) -> None:
    silent, since = stepped.watch, time.monotonic()
    stepped.faults.step_wall_clock(step)
    reopened, query = stepped.read_call(stepped.discovery.accept())
    assert "wait_ms" in query and time.monotonic() - since < WATCH_LIMIT_S
    silent.close()
    reopened.close()
