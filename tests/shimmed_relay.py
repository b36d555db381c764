"""A relay process under the fault shim, for the tests of clock steps and failing system calls."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from test_relay_process import World

from scaledeal.lab.soak.shim import Call, FaultControl, ShimUnavailableError, build_shim


class ShimmedRelay(World):
    """A relay whose wall clock and system calls the test controls."""

    def __init__(self, folder: Path, socket_failure_share: float) -> None:
        self.faults = FaultControl(build_shim(folder), folder / "faults", seed=7)
        self.faults.set_failure_share(Call.SOCKET, socket_failure_share)
        super().__init__(folder)

    def start(self) -> None:
        self.env |= self.faults.environment()
        super().start()


@contextmanager
def shimmed_relay(folder: Path, socket_failure_share: float = 0.0) -> Iterator[ShimmedRelay]:
    """Start a relay and kill it at the end; ``socket_failure_share`` of its ``socket`` calls fail from its start on."""
    try:
        world = ShimmedRelay(folder, socket_failure_share)
    except ShimUnavailableError as error:
        pytest.skip(str(error))
    try:
        yield world
    finally:
        world.end()
