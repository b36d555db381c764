"""A relay process under the fault shim, as a fixture for the tests of stepped clocks and failing calls."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from test_relay_process import World

from scaledeal.lab.soak.shim import Call, FaultControl, ShimUnavailableError, build_shim


class ShimmedWorld(World):
    """A relay whose wall clock and system calls the test controls."""

    def __init__(self, folder: Path, sockets_fail: float) -> None:
        self.faults = FaultControl(build_shim(folder), folder / "faults", seed=7)
        self.faults.set_failure_share(Call.SOCKET, sockets_fail)
        super().__init__(folder)

    def run(self) -> None:
        self.env |= self.faults.environment()
        super().run()


@contextmanager
def shimmed(folder: Path, sockets_fail: float = 0.0) -> Iterator[ShimmedWorld]:
    """Start one, and end it; ``sockets_fail`` is the share of ``socket`` calls that fail from the first moment on."""
    try:
        world = ShimmedWorld(folder, sockets_fail)
    except ShimUnavailableError as error:
        pytest.skip(str(error))
    try:
        yield world
    finally:
        world.end()
