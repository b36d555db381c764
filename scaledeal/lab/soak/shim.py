"""Fault injection below a process's C library: builds the shim, and controls it while the process runs.

The shim (``faultshim.c``) is loaded with LD_PRELOAD into one process of the project's own. It shares one page with the
controller: the step of the wall clock, and for each system call how many in a million fail. Needs a C compiler.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("faultshim.c")
COMPILERS = ("cc", "gcc", "clang")
SECOND = 1_000_000_000
_PAGE = 4096
_STEP, _SEED = struct.Struct("=q"), struct.Struct("=Q")
_RATE, _FAILED = struct.Struct("=I"), struct.Struct("=Q")
_SEED_AT, _RATES_AT = 8, 16


class Call(IntEnum):
    """A system call that can be made to fail; in the order of ``enum call`` in the source."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECV = 3
    SEND = 4
    WAIT = 5
    SHORT_RECV = 6
    SHORT_SEND = 7
    WRITE = 8
    SYNC = 9
    POLL_CHANGE = 10
    OPTION = 11


_FAILED_AT = _RATES_AT + _RATE.size * len(Call)


class ShimUnavailableError(RuntimeError):
    """The shim can't be built on this machine."""


def build(folder: Path) -> Path:
    """Compile the shim into a folder and return the library's path; raise ShimUnavailableError where that fails."""
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise ShimUnavailableError(f"no C compiler ({', '.join(COMPILERS)}) for {SOURCE.name}")
    library = folder / "faultshim.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-o", str(library), str(SOURCE), "-ldl"]
    ran = subprocess.run(command, capture_output=True, text=True, check=False)
    if ran.returncode != 0:
        raise ShimUnavailableError(f"{SOURCE.name} does not compile: {ran.stderr.strip()}")
    return library


class FaultControl:
    """Controls the faults of one process through the page that it shares with the shim."""

    def __init__(self, library: Path, page: Path, seed: int = 1) -> None:
        """``page`` is the file to share, made anew; ``seed`` begins the shim's random numbers."""
        self.library = library
        self.page = page
        page.write_bytes(bytes(_PAGE))
        with page.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), _PAGE)
        _SEED.pack_into(self._map, _SEED_AT, seed or 1)

    def environment(self) -> dict[str, str]:
        """Return the variables with which a process is started under these faults."""
        return {"LD_PRELOAD": str(self.library), "SCALEDEAL_FAULTS": str(self.page)}

    def step_wall_clock(self, seconds: float) -> None:
        """Step the process's wall clock by so many seconds, forward or back."""
        _STEP.pack_into(self._map, 0, self.wall_step_ns() + int(seconds * SECOND))

    def wall_step_ns(self) -> int:
        """Return by how many ns the process's wall clock differs from the machine's."""
        return int(_STEP.unpack_from(self._map, 0)[0])

    def fail(self, call: Call, share: float) -> None:
        """Have this share (0 to 1) of such calls fail from now on."""
        _RATE.pack_into(self._map, _RATES_AT + _RATE.size * call, round(share * 1_000_000))

    def sound(self) -> None:
        """Have no call fail any more; the wall clock stays where it is."""
        for call in Call:
            self.fail(call, 0.0)

    def failed(self, call: Call) -> int:
        """Return how many such calls have been made to fail."""
        return int(_FAILED.unpack_from(self._map, _failed_at(call))[0])

    def close(self) -> None:
        """Let the page go; the process keeps its own mapping."""
        self._map.close()


def _failed_at(call: Call) -> int:
    aligned = -(-_FAILED_AT // _FAILED.size) * _FAILED.size  # as the C compiler aligns the counters
    return aligned + _FAILED.size * call
