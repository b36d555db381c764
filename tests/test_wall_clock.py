"""A relay whose machine's wall clock is stepped: every span of its own is one of real time (incident of 2026-12-02)."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from shimmed import ShimmedWorld, shimmed
from test_relay_process import ask

HOUR = 3600.0
SILENT = 7.0  # seconds after which a connection that returns nothing has to be over
KILLED = 3.0 + 0.7  # seconds after SIGTERM at which SIGKILL may come
TOLD = 6.0 + 2.0  # seconds after which what a silent watch misses counts as told
LATE = 0.5  # seconds after its deadline at which a request without its answer is lost


@pytest.fixture()
def stepped(tmp_path: Path) -> Iterator[ShimmedWorld]:
    with shimmed(tmp_path) as world:
        yield world


def test_a_silent_connection_is_broken_off_in_time_after_a_step_back(stepped: ShimmedWorld) -> None:
    client, server = stepped.stand()
    client.send("M 1")
    assert server.read() == "M 1"
    asked = time.monotonic()
    stepped.faults.step_wall_clock(-HOUR)
    assert client.read() == "MOVE" and client.ended() and time.monotonic() - asked < SILENT


def test_a_deadline_is_kept_after_a_step_back(stepped: ShimmedWorld) -> None:
    client = stepped.client(ask(wait=1500))
    asked = time.monotonic()
    server, _ = stepped.servers[0].asked()  # hangs
    stepped.faults.step_wall_clock(-HOUR)
    assert client.read() in ("ERR", "BUSY") and time.monotonic() - asked < 1.5 + LATE
    server.close()


def test_no_attempt_ends_early_after_a_step_forward(stepped: ShimmedWorld) -> None:
    client = stepped.client(ask(wait=3000))
    server, _ = stepped.servers[0].asked()
    stepped.faults.step_wall_clock(HOUR)
    assert stepped.call("PING").startswith("ok")  # the relay has turned since the step
    server.send("UP 1")
    assert client.read() == "UP 1"


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_an_end_takes_its_real_time_and_no_more_after_a_step(stepped: ShimmedWorld, step: float) -> None:
    client, server = stepped.stand()
    stepped.process.send_signal(signal.SIGTERM)
    told = time.monotonic()
    stepped.log_line("told to stop")
    stepped.faults.step_wall_clock(step)
    late = stepped.client(ask(2))  # the front still sends clients, for a while
    other, _ = stepped.asked()
    other.send("UP 2")
    assert late.read() == "UP 2"
    for each in (client, late):
        assert each.read() == "MOVE" and each.ended()
    assert stepped.process.wait(10) == 0 and time.monotonic() - told < KILLED
    server.close()


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_watch_that_falls_silent_is_opened_anew_in_time_after_a_step(stepped: ShimmedWorld, step: float) -> None:
    silent, since = stepped.watch, time.monotonic()
    stepped.faults.step_wall_clock(step)
    anew, query = stepped.next_watch(stepped.discovery.accept())
    assert "wait_ms" in query and time.monotonic() - since < TOLD
    silent.close()
    anew.close()
