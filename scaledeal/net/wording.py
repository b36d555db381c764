"""The words of the line protocol: first lines, answers and load reports."""

from __future__ import annotations

import math
import re
from collections.abc import Callable

import msgspec

PING, PONG, STATS, UP, BUSY, ERR, BYE, MOVE, LOAD = (
    b"PING",
    b"PONG",
    b"STATS",
    b"UP",
    b"BUSY",
    b"ERR",
    b"BYE",
    b"MOVE",
    b"LOAD",
)
# Load reports name their values as the simulator does; the settings use the wire's words.
_REPORTED = {"eps": "fail_rate", "inflight": "rif", "util": "busy", "queue": "q", "latency_ms": "lat_ms", "qps": "rate"}
MS = 1_000_000
LONGEST_WAIT = 86_400_000  # ms; no client waits longer than a day
_ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.:-]{0,127}")
_FIGURE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,2})?")
_COUNT = re.compile(r"[0-9]{1,9}")


class OpenLine(msgspec.Struct, frozen=True):
    """A client's first line: OPEN, its id, the flow's key and the named values as they came."""

    head: bytes
    key: str
    names: dict[str, str]

    def get(self, name: str) -> str:
        """Return a named value, or nothing."""
        return self.names.get(name, "")

    @property
    def id(self) -> str:
        """Return the id of the connection."""
        return self.head.split(b" ")[1].decode()

    def with_wait(self, wait: int) -> bytes:
        """Return the line with ``d`` at so many nanoseconds and all else unchanged."""
        told = str(max(1, wait // MS))
        values = ",".join(f"{name}={told if name == 'd' else value}" for name, value in self.names.items())
        return self.head + values.encode()


class Paused(msgspec.Struct, frozen=True, array_like=True):
    """A connection that stands, as another process of the relay goes on with it."""

    line: bytes  # the client's first
    asked_at: int  # since when a message waits for its answer, or 0; all processes read the same clock
    of_client: bytes  # what has come of a line that is not whole, from either side
    of_server: bytes


def read_open(line: bytes) -> OpenLine | None:
    """Read a client's first line; None if it is none, or if a figure in it is no such figure.

    Guards against a request that an application server can't use: one that is sent on all the same is tried
    again elsewhere, and its errors speak against servers that are sound.
    """
    parts = line.decode("ascii", "replace").split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not line.isascii() or not all(map(str.isprintable, parts)):
        return None
    names: dict[str, str] = {}
    for pair in parts[3].split(","):
        name, equals, value = pair.partition("=")
        if not (name and equals) or name in names:
            return None
        names[name] = value
    figures = _FIGURE.fullmatch(names.get("h", "0")) and _ID.fullmatch(names.get("t", "0"))  # a tenant's name
    wait = names.get("d", "")
    if not (_ID.fullmatch(parts[1]) and parts[2] and figures and names.get("c") and _COUNT.fullmatch(wait)):
        return None
    head = " ".join(parts[:3]).encode() + b" "
    return OpenLine(head, parts[2], names) if 0 < int(wait) <= LONGEST_WAIT else None


def may_be_open(part: bytes) -> bool:
    """Tell whether this may become a client's first line."""
    return part[:5] == b"OPEN "[: len(part)]


def number(text: str) -> float:
    """Read a number; 0 where there is none."""
    try:
        return float(text)
    except ValueError:
        return 0.0


def figure(text: str) -> float:
    """Read a number that is owed; NaN where there is none."""
    try:
        return float(text)
    except ValueError:
        return math.nan


def first_word(line: bytes) -> bytes:
    """Return a line's first word."""
    return line.split(b" ", 1)[0]


def report_reader(fields: tuple[str, ...]) -> Callable[[bytes], tuple[float, ...]]:
    """Return what reads the load report behind a line's first word, in the order of the settings.

    A value that is no number, or that contradicts itself, is NaN; a report that lacks one is none.
    """

    def read(line: bytes) -> tuple[float, ...]:
        told: dict[str, float] = {}
        for pair in line.partition(b" ")[2].decode("ascii", "replace").split(","):
            name, equals, value = pair.partition("=")
            if equals:
                known, amount = _REPORTED.get(name, name), figure(value)
                told[known] = amount if told.get(known, amount) == amount else math.nan
        return tuple(told[name] for name in fields) if all(name in told for name in fields) else ()

    return read
