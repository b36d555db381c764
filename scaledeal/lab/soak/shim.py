"""Fault injection at a process's C library calls: builds the shim, and controls it while the process runs.

The shim (``faultshim.c``) is loaded with LD_PRELOAD into one of the project's own processes. It shares one page with
the controller, which holds the step of the wall clock and, for each system call, how many in a million fail. Building
it needs a C compiler.
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("faultshim.c")
COMPILERS = ("cc", "gcc", "clang")
NS_PER_S = 1_000_000_000
_PAGE_BYTES = 4096
# The fields of ``struct control`` in the source and their offsets; the wall clock's step is at offset 0.
_WALL_STEP_NS = struct.Struct("=q")
_SEED = struct.Struct("=Q")
_PER_MILLION = struct.Struct("=I")
_FAILED_COUNT = struct.Struct("=Q")
_SEED_OFFSET = 8
_PER_MILLION_OFFSET = 16


class Call(IntEnum):
    """A system call that can be made to fail; the values are those of ``enum call`` in the source."""

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


_FAILED_COUNT_OFFSET = _PER_MILLION_OFFSET + _PER_MILLION.size * len(Call)  # before alignment


class ShimUnavailableError(RuntimeError):
    """The shim cannot be built on this machine."""


def build_shim(folder: Path) -> Path:
    """Compile the shim into a folder and return the library's path.

    Raise ShimUnavailableError if there is no compiler or the compilation fails.
    """
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise ShimUnavailableError(f"no C compiler ({', '.join(COMPILERS)}) for {SHIM_SOURCE.name}")
    library = folder / "faultshim.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-o", str(library), str(SHIM_SOURCE), "-ldl"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode != 0:
        raise ShimUnavailableError(f"{SHIM_SOURCE.name} does not compile: {completed.stderr.strip()}")
    return library


class FaultControl:
    """Controls the faults of one process through the page shared with its shim."""

    def __init__(self, library: Path, page: Path, seed: int = 1) -> None:
        """``page`` is the path of the shared file, which is overwritten; ``seed`` seeds the shim's random numbers."""
        self.library = library
        self.page = page
        page.write_bytes(bytes(_PAGE_BYTES))
        with page.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), _PAGE_BYTES)
        _SEED.pack_into(self._map, _SEED_OFFSET, seed or 1)

    def environment(self) -> dict[str, str]:
        """Return the environment variables that load the shim into a process and attach it to the page."""
        return {"LD_PRELOAD": str(self.library), "SCALEDEAL_FAULTS": str(self.page)}

    def step_wall_clock(self, seconds: float) -> None:
        """Step the process's wall clock by ``seconds``, backward if negative; steps add up."""
        _WALL_STEP_NS.pack_into(self._map, 0, self.wall_step_ns() + int(seconds * NS_PER_S))

    def wall_step_ns(self) -> int:
        """Return the offset of the process's wall clock from the machine's, in ns."""
        return int(_WALL_STEP_NS.unpack_from(self._map, 0)[0])

    def set_failure_share(self, call: Call, share: float) -> None:
        """Make a share (0 to 1) of these calls fail from now on."""
        _PER_MILLION.pack_into(self._map, _PER_MILLION_OFFSET + _PER_MILLION.size * call, round(share * 1_000_000))

    def clear_failures(self) -> None:
        """Let all calls succeed again; the offset of the wall clock stays."""
        for call in Call:
            self.set_failure_share(call, 0.0)

    def failure_count(self, call: Call) -> int:
        """Return how many of these calls have been made to fail so far."""
        return int(_FAILED_COUNT.unpack_from(self._map, _failed_count_offset(call))[0])

    def close(self) -> None:
        """Unmap the page; the process keeps its own mapping."""
        self._map.close()


def _failed_count_offset(call: Call) -> int:
    # The C compiler aligns the counters to their size.
    offset = -(-_FAILED_COUNT_OFFSET // _FAILED_COUNT.size) * _FAILED_COUNT.size
    return offset + _FAILED_COUNT.size * call
