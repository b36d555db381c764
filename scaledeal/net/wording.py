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
# Load reports use the simulator's field names; the settings use the names on the right.
_FIELD_BY_REPORT_NAME = {
    "eps": "fail_rate",
    "inflight": "rif",
    "util": "busy",
    "queue": "q",
    "latency_ms": "lat_ms",
    "qps": "rate",
}
MS = 1_000_000
MAX_WAIT_MS = 86_400_000  # a day
_ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.:-]{0,127}")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,2})?")
CLOSING_LINE = re.compile(rb"(?:\A|(?<=\r\n))((?:BYE|MOVE)(?: .*?)?)\r\n", re.DOTALL)  # its first group is the line
LOAD_LINE = re.compile(rb"(?:\A|(?<=\r\n))(LOAD(?: .*?)?)\r\n", re.DOTALL)
_COUNT = re.compile(r"[0-9]{1,9}")


class OpenLine(msgspec.Struct, frozen=True):
    """A client's first line: OPEN, the connection's id, its key, and the parameters as they were received.

    It holds the line alone: its parameters as objects would take many times its size, for as long as the connection is
    open.
    """

    line: bytes

    @property
    def id(self) -> str:
        """Return the id of the connection."""
        return self.line.split(b" ", 2)[1].decode()

    @property
    def key(self) -> str:
        """Return the key."""
        return self.line.split(b" ", 3)[2].decode()

    def parameters(self) -> dict[str, str]:
        """Return all parameters by name, in their order."""
        pairs = self.line.split(b" ", 3)[3].decode().split(",")
        return dict(pair.split("=", 1) for pair in pairs)

    def get(self, name: str) -> str:
        """Return a parameter, or an empty string if it is absent."""
        start, end = self._span(name)
        return self.line[start:end].decode()

    def with_wait(self, wait: int) -> bytes:
        """Return the line with ``d`` set to ``wait`` nanoseconds, at least 1 ms, and all else unchanged."""
        start, end = self._span("d")
        return b"%s%d%s" % (self.line[:start], max(1, wait // MS), self.line[end:])

    def with_parameters(self, parameters: dict[str, str]) -> OpenLine:
        """Return the line with other parameters."""
        head = self.line[: self._parameters_start()]
        return OpenLine(head + ",".join(f"{name}={value}" for name, value in parameters.items()).encode())

    def _parameters_start(self) -> int:
        return len(self.line) - len(self.line.split(b" ", 3)[3])

    def _span(self, name: str) -> tuple[int, int]:
        """Return where the value of a parameter starts and ends; the same place twice if it is absent."""
        first = self._parameters_start()
        prefix = f"{name}=".encode()
        start = first if self.line.startswith(prefix, first) else self.line.find(b"," + prefix, first) + 1
        if not start:
            return 0, 0
        start += len(prefix)
        end = self.line.find(b",", start)
        return start, end if end >= 0 else len(self.line)


class HandoverState(msgspec.Struct, frozen=True, array_like=True):
    """The state of an established connection that another process of the relay takes over."""

    line: bytes  # the client's first line
    asked_at: int  # since when a message waits for its answer, or 0; all processes read the same clock
    from_client: bytes  # the beginning of an incomplete line from the client
    from_server: bytes  # the same from the application server


def read_open(line: bytes) -> OpenLine | None:
    """Parse a client's first line; return None if it is malformed or one of its numbers is invalid.

    An application server would reject such a request. If the relay sent it on, it would try it again at other
    servers, and the errors would count against servers that are sound.
    """
    parts = line.decode("ascii", "replace").split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not line.isascii() or not all(map(str.isprintable, parts)):
        return None
    parameters: dict[str, str] = {}
    for pair in parts[3].split(","):
        name, equals, value = pair.partition("=")
        if not (name and equals) or name in parameters:
            return None
        parameters[name] = value
    numbers_valid = _NUMBER.fullmatch(parameters.get("h", "0")) and _ID.fullmatch(
        parameters.get("t", "0")
    )  # a tenant's name
    wait = parameters.get("d", "")
    if not (_ID.fullmatch(parts[1]) and parts[2] and numbers_valid and parameters.get("c") and _COUNT.fullmatch(wait)):
        return None
    return OpenLine(line) if 0 < int(wait) <= MAX_WAIT_MS else None


def may_begin_open(part: bytes) -> bool:
    """Return whether this may be the beginning of a client's first line."""
    return part[:5] == b"OPEN "[: len(part)]


def number_or_zero(text: str) -> float:
    """Parse a number; return 0 if the text is not one."""
    try:
        return float(text)
    except ValueError:
        return 0.0


def number_or_nan(text: str) -> float:
    """Parse a required number; return NaN if the text is not one."""
    try:
        return float(text)
    except ValueError:
        return math.nan


def first_word(line: bytes) -> bytes:
    """Return the first word of a line."""
    return line.split(b" ", 1)[0]


def report_reader(fields: tuple[str, ...]) -> Callable[[bytes], tuple[float, ...]]:
    """Return a function that parses the load report after a line's first word.

    That function returns the values of ``fields`` in order, or an empty tuple if one of them is missing. A value that
    is not a number, or that is given twice with different numbers, is NaN.
    """

    def read(line: bytes) -> tuple[float, ...]:
        values: dict[str, float] = {}
        for pair in line.partition(b" ")[2].decode("ascii", "replace").split(","):
            name, equals, value = pair.partition("=")
            if equals:
                field, amount = _FIELD_BY_REPORT_NAME.get(name, name), number_or_nan(value)
                values[field] = amount if values.get(field, amount) == amount else math.nan
        return tuple(values[name] for name in fields) if all(name in values for name in fields) else ()

    return read
