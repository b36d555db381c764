"""A relay whose machine's wall clock is stepped: every span of its own is one of real time (incident of 2026-12-02)."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_relay_process import World, ask

from scaledeal.lab.soak.shim import FaultControl, ShimUnavailableError, build

HOUR = 3600.0
SILENT = 7.0  # seconds after which a connection that returns nothing has to be over
LATE = 0.5  # seconds after its deadline at which a request without its answer is lost


class SteppedWorld(World):
    """A relay under the fault shim."""

    def __init__(self, folder: Path, servers: int = 1) -> None:
        self.faults = FaultControl(build(folder), folder / "faults")
        super().__init__(folder, servers=servers)

    def run(self) -> None:
        self.env |= self.faults.environment()
        super().run()


@pytest.fixture()
def stepped(tmp_path: Path) -> Iterator[SteppedWorld]:
    try:
        world = SteppedWorld(tmp_path)
    except ShimUnavailableError as error:
        pytest.skip(str(error))
    yield world
    world.end()


def test_a_silent_connection_is_broken_off_in_time_after_a_step_back(stepped: SteppedWorld) -> None:
    client, server = stepped.stand()
    client.send("M 1")
    assert server.read() == "M 1"
    asked = time.monotonic()
    stepped.faults.step_wall_clock(-HOUR)
    assert client.broke() and time.monotonic() - asked < SILENT


def test_a_deadline_is_kept_after_a_step_back(stepped: SteppedWorld) -> None:
    client = stepped.client(ask(wait=1500))
    asked = time.monotonic()
    server, _ = stepped.servers[0].asked()  # hangs
    stepped.faults.step_wall_clock(-HOUR)
    assert client.read() in ("ERR", "BUSY") and time.monotonic() - asked < 1.5 + LATE
    server.close()


def test_no_attempt_ends_early_after_a_step_forward(stepped: SteppedWorld) -> None:
    client = stepped.client(ask(wait=3000))
    server, _ = stepped.servers[0].asked()
    stepped.faults.step_wall_clock(HOUR)
    assert stepped.call("PING").startswith("ok")  # the relay has turned since the step
    server.send("UP 1")
    assert client.read() == "UP 1"
