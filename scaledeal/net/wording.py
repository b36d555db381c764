"""The words of the line protocol: first lines, answers and load reports."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

PING, PONG, STATS, UP, BUSY, ERR, BYE, MOVE, LOAD = (
    b"PING", b"PONG", b"STATS", b"UP", b"BUSY", b"ERR", b"BYE", b"MOVE", b"LOAD")
# Load reports name their values as the simulator does; the settings use the wire's words.
_REPORTED = {"eps": "fail_rate", "inflight": "rif", "util": "busy", "queue": "q", "latency_ms": "lat_ms",
             "qps": "rate"}
MS = 1_000_000


class OpenLine(msgspec.Struct, frozen=True):
    """A client's first line: OPEN, its id, the flow's key and the named values as they came."""

    head: bytes
    key: str
    names: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Return a named value, or nothing."""
        return next((value for known, value in self.names if known == name), "")

    def with_wait(self, wait: int) -> bytes:
        """Return the line with ``d`` at so many nanoseconds and all else unchanged."""
        told = str(max(1, wait // MS))
        values = ",".join(f"{name}={told if name == 'd' else value}" for name, value in self.names)
        return self.head + values.encode()


def read_open(line: bytes) -> OpenLine | None:
    """Read a client's first line; None if it is none."""
    try:
        parts = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        return None
    if len(parts) != 4 or parts[0] != "OPEN" or not all(parts) or not line.isascii():
        return None
    names = []
    for pair in parts[3].split(","):
        name, equals, value = pair.partition("=")
        if not (name and equals):
            return None
        names.append((name, value))
    head = " ".join(parts[:3]).encode() + b" "
    read = OpenLine(head, parts[2], tuple(names))
    return read if read.get("c") and read.get("d").isdecimal() else None


def number(text: str) -> float:
    """Read a number; 0 where there is none."""
    try:
        return float(text)
    except ValueError:
        return 0.0


def first_word(line: bytes) -> bytes:
    """Return a line's first word."""
    return line.split(b" ", 1)[0]


def report_reader(fields: tuple[str, ...]) -> Callable[[bytes], tuple[float, ...]]:
    """Return what reads the load report behind a line's first word, in the order of the settings."""
    def read(line: bytes) -> tuple[float, ...]:
        told: dict[str, float] = {}
        for pair in line.partition(b" ")[2].decode("ascii", "replace").split(","):
            name, equals, value = pair.partition("=")
            if equals:
                told[_REPORTED.get(name, name)] = number(value)
        return tuple(told[name] for name in fields) if all(name in told for name in fields) else ()

    return read
