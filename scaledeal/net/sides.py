"""Interfaces between the driver and the two sides of a transaction, independent of their protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from scaledeal import interface as api


class ClientRequest(msgspec.Struct, frozen=True):
    """A request of a user agent; ``deadline`` is a time in ns on the driver's clock."""

    request_class: int
    deadline: int
    key: str = ""
    group: str = ""
    tenant: int = 0
    returning: bool = False
    load_hint: float = 0.0  # microseconds of work a second
    previous_server: str = ""  # the application server of a connection that was established before the start
    request_id: str = ""  # the id that the client gave it, for traces and invariant reports


class PausedConnection(msgspec.Struct, frozen=True):
    """An established connection that another process can take over."""

    descriptors: tuple[int, ...]
    state: bytes  # further data that the connection's protocol needs, in its own encoding


class AttemptEvents(Protocol):
    """The owner of an attempt, which receives its events."""

    server: str  # the name of the application server that is attempted

    def time_to_write(self) -> int | None:
        """Return the ns within which the first line has to be written; None if only the attempt's wait limits it."""

    def check_write(self) -> api.Result | None:
        """Return None if the first line may be written now, else the result with which the attempt has to end."""

    def request_written(self) -> None:
        """Record that the last byte of the first line is written: from here on the request may have run."""

    def established(self) -> None:
        """Record that the connection is established."""

    def load_received(self, amount: float) -> None:
        """Handle the value of a LOAD line: the connection's load or its server's message delay."""

    def message_answered(self, duration: int) -> None:
        """Record how many nanoseconds passed between a message and its answer."""

    def attempt_ended(self, result: api.Result, report: tuple[float, ...], broke: bool) -> None:
        """Handle the end of the attempt; called once, after its connection is closed unless that was established."""


class Attempt(Protocol):
    """One attempt at an application server."""

    def cancel(self) -> None:
        """Cancel the attempt, if its connection is not established yet."""

    def withdraw(self, result: api.Result = api.Result.CONNECT_FAILED) -> None:
        """Cancel what is not sent yet: the application server takes nothing new, or the client has left."""

    def client_left(self, broke: bool) -> None:
        """Close an established connection: the user agent's side has ended, in order unless ``broke``."""

    def client_ended_sending(self) -> None:
        """End the sending on an established connection, as the client did."""

    def is_out(self) -> bool:
        """Return whether the application server may still get or serve the request: nobody has given it up."""

    def unanswered_since(self) -> int:
        """Return since when a message has waited for its answer, in ns on the driver's clock; 0 if none waits."""

    def close_as_broken(self) -> None:
        """Close a connection that returns nothing, and treat it as broken."""


class Agent(Protocol):
    """A user agent that has sent a request."""

    def begin_attempt(self, address: str, wait: int, events: AttemptEvents) -> Attempt:
        """Start one attempt that may wait ``wait`` nanoseconds for its answer."""

    def refuse(self, retry_after: int) -> None:
        """Refuse the request as safe to repeat, after ``retry_after`` nanoseconds if above 0, and close."""

    def fail(self) -> None:
        """Answer that the request failed, and close."""

    def move(self) -> None:
        """Tell the client to reconnect, and close."""

    def ended(self, broke: bool) -> None:
        """Close as the application server's side did: in order unless ``broke``."""

    def hand_over(self) -> PausedConnection | None:
        """Pause an established connection and return it; return None while it has data in transit."""

    def release(self) -> None:
        """Close this process's descriptors of the handed-over connection, without ending it."""

    def cancel_handover(self) -> None:
        """Resume the connection: no other process has taken it."""


class Prober(Protocol):
    """Sends health probes to application servers."""

    def probe(self, server: str, address: str) -> None:
        """Send one probe; exactly one result is reported."""


class ResumableSession(Protocol):
    """Translates a connection's lines for a resumable session; there is none unless resumption is configured."""

    cut: Callable[[], None]  # breaks the connection; set by the client's side

    def asked(self) -> dict[str, str]:
        """Return the OPEN parameters that the application server gets in place of the client's."""

    def up(self, line: bytes) -> list[bytes]:
        """Handle the application server's UP; return the lines that the client gets."""

    def refusal(self, line: bytes) -> bytes:
        """Return the form of a refusal or failure that the client gets."""

    def from_client(self, line: bytes) -> bool:
        """Check a client's line before it is passed on; return False if the connection must be broken."""

    def to_client(self, line: bytes) -> list[bytes] | None:
        """Return the lines that the client gets for an application server's line; None to break the connection."""

    def move(self) -> bytes:
        """Return the MOVE line that the client gets."""

    def leave(self) -> None:
        """Detach the session from this connection, which is over."""


# Takes the parameters of an OPEN; returns its session, the line that refuses it, or None without a session.
SessionOpener = Callable[[dict[str, str]], "ResumableSession | bytes | None"]


class Side(Protocol):
    """A further protocol for clients beside the line protocol; the relay calls its methods in this order."""

    def start(self) -> None:
        """Open the sockets; raise ConfigError if that is impossible."""

    def listed(self, event: api.Membership) -> None:
        """Handle a change of the server list, after the driver has."""

    def serve(self) -> None:
        """Start to accept user agents."""

    def reload(self) -> None:
        """Read the settings again; invalid settings change nothing."""

    def lines(self) -> list[str]:
        """Return the metrics lines for operators."""

    def close(self) -> None:
        """Release all resources, before the process exits."""
