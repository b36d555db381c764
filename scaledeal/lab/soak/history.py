"""What crossed the sockets during a soak, as the oracle reads it; moments in seconds on the driver's monotonic clock.

Requests are seen at the clients, attempts at the proxies between relays and servers, lists at discovery, and what was
done to the processes by whoever did it. Nothing here comes from a relay's own word.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class ClosedBy(Enum):
    """Who ended a client's connection."""

    CLIENT = "client"
    RELAY = "relay"


class Request(msgspec.Struct):
    """One client's connection from its first line to its end."""

    id: str
    request_class: str
    relay: str
    incarnation: int  # of the relay, when the client connected
    wait: float  # seconds that the client waits for its answer
    sent: float | None = None  # when the last byte of the line was written
    answered: float | None = None
    answer: str = ""  # the first line that came back
    closed: float | None = None
    closed_by: ClosedBy | None = None
    last_line: str = ""  # the last line that came back
    asked_since: float | None = None  # since when a line of the client's has waited for its echo
    longest_wait: float = 0.0  # seconds that such a line has waited, of those that were answered

    @property
    def stood(self) -> bool:
        """Tell whether it was brought up."""
        return self.answer.startswith("UP ")


class Attempt(msgspec.Struct):
    """One connection on which a relay sent a first line, as the proxy before the server saw it."""

    id: str
    relay: str
    incarnation: int
    server: str
    cell: int
    first_byte: float
    whole: float | None = None  # when the line's last byte came
    answered: float | None = None  # when the first answer was passed on to the relay
    answer: str = ""
    server_ended: float | None = None  # when the relay was shown that the server's side is over
    relay_ended: float | None = None  # when the relay ended its sending or its connection


class ListWritten(msgspec.Struct):
    """Discovery wrote a list to a relay."""

    relay: str
    incarnation: int
    at: float
    index: int


class StateChange(msgspec.Struct):
    """Discovery changed what it lists of a server."""

    server: str
    status: str
    at: float
    index: int
    since: float = 0.0  # when the server started; 0 for long ago


class Ending(msgspec.Struct):
    """The end of one process of a relay."""

    relay: str
    incarnation: int
    told: float | None  # when SIGTERM was sent; none where it was killed at once
    killed: float | None  # when SIGKILL was sent; none where it ended in time
    exit_code: int | None


class StalledClient(msgspec.Struct):
    """A client that was owed an end and got none in time."""

    relay: str
    incarnation: int
    since: float
    seconds: float


class History(msgspec.Struct):
    """All that the oracle reads."""

    requests: list[Request] = msgspec.field(default_factory=list)
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    lists: list[ListWritten] = msgspec.field(default_factory=list)
    changes: list[StateChange] = msgspec.field(default_factory=list)
    endings: list[Ending] = msgspec.field(default_factory=list)
    stalled_clients: list[StalledClient] = msgspec.field(default_factory=list)
    slow_starts: list[tuple[str, float]] = msgspec.field(default_factory=list)  # relays that took so many seconds
    logs: dict[str, list[str]] = msgspec.field(default_factory=dict)  # by relay, the lines of all its processes
    ended: float = 0.0
    worst_lag: float = 0.0  # seconds by which the driver itself was late
