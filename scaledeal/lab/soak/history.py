"""The record of a soak that the oracle reads; times are in seconds on the driver's monotonic clock.

Requests are recorded by the clients, attempts by the proxies between relays and servers, lists by discovery, and
signals by the code that sends them. Apart from the log lines, nothing in it is reported by a relay.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class ClosedBy(Enum):
    """The side that closed a client's connection."""

    CLIENT = "client"
    RELAY = "relay"


class Request(msgspec.Struct):
    """A client's connection, from its first line to its end."""

    id: str
    request_class: str
    relay: str
    incarnation: int  # of the relay when the client connected
    answer_timeout: float = msgspec.field(name="wait")  # the client's own time limit for its answer, in seconds
    sent: float | None = None  # when the last byte of the line was written
    answered: float | None = None
    answer: str = ""  # the first line that the client received
    closed: float | None = None
    closed_by: ClosedBy | None = None
    last_line: str = ""  # the last line that the client received
    asked_since: float | None = None  # when the line was sent whose echo is still awaited
    longest_wait: float = 0.0  # for an echo, in seconds, among the lines that were echoed

    @property
    def is_established(self) -> bool:
        """Whether the connection was brought up."""
        return self.answer.startswith("UP ")


class Attempt(msgspec.Struct):
    """A connection on which a relay sent a first line to a server, as seen by the proxy between them."""

    id: str
    relay: str
    incarnation: int
    server: str
    cell: int
    first_byte: float
    complete_at: float | None = msgspec.field(default=None, name="whole")  # when the first line's last byte arrived
    answered: float | None = None  # when the first line of the answer was forwarded to the relay
    answer: str = ""
    server_ended: float | None = None  # when the end of the server's side was forwarded to the relay
    relay_ended: float | None = None  # when the relay half-closed or closed its connection


class ListWritten(msgspec.Struct):
    """A list that discovery wrote to a relay."""

    relay: str
    incarnation: int
    at: float
    index: int


class StateChange(msgspec.Struct):
    """A change of a server's entry in discovery."""

    server: str
    status: str
    at: float
    index: int
    since: float = 0.0  # Unix time of the server's start in seconds; 0 if it started long ago


class Ending(msgspec.Struct):
    """The end of one relay process."""

    relay: str
    incarnation: int
    sigterm_at: float | None = msgspec.field(name="told")  # None if the process was killed without SIGTERM or crashed
    sigkill_at: float | None = msgspec.field(name="killed")  # None if the process ended by itself
    exit_code: int | None


class StalledClient(msgspec.Struct):
    """A bad client that was neither answered nor closed in time."""

    relay: str
    incarnation: int
    since: float
    seconds: float


class History(msgspec.Struct):
    """The complete record of one soak."""

    requests: list[Request] = msgspec.field(default_factory=list)
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    lists: list[ListWritten] = msgspec.field(default_factory=list)
    changes: list[StateChange] = msgspec.field(default_factory=list)
    endings: list[Ending] = msgspec.field(default_factory=list)
    stalled_clients: list[StalledClient] = msgspec.field(default_factory=list)
    slow_starts: list[tuple[str, float]] = msgspec.field(default_factory=list)  # relay, seconds until it answered
    logs: dict[str, list[str]] = msgspec.field(default_factory=dict)  # the log lines of all processes of each relay
    ended: float = 0.0
    worst_lag: float = 0.0  # largest delay of the driver itself, in seconds
