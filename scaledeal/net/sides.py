"""How the driver sees the two sides of a transaction, whatever protocol they speak."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from scaledeal import interface as api


class Ask(msgspec.Struct, frozen=True):
    """What a user agent asks for; ``deadline`` is a moment on the driver's clock."""

    request_class: int
    deadline: int
    key: str = ""
    group: str = ""
    tenant: int = 0
    returning: bool = False
    load_hint: float = 0.0  # microseconds of work a second
    standing_at: str = ""  # the application server at which the connection stood before the start
    name: str = ""  # the client's id of it, for a trace alone


class Carried(msgspec.Struct, frozen=True):
    """A connection that stands, as another process goes on with it."""

    descriptors: tuple[int, ...]
    state: bytes  # what its protocol needs besides, for that protocol alone to read


class AttemptEvents(Protocol):
    """Who hears of an attempt."""

    server: str  # the name of the application server that the attempt goes to

    def may_write(self) -> bool:
        """Tell whether the first line may be written now that the connection is up."""

    def written(self) -> None:
        """Hear that the first line's last byte is written: from here on it may have run."""

    def established(self) -> None:
        """Hear that the connection stands."""

    def load_line(self, amount: float) -> None:
        """Hear of the connection's load, or of its server's messages."""

    def message_took(self, took: int) -> None:
        """Hear how many nanoseconds passed between a message and its answer."""

    def over(self, result: api.Result, report: tuple[float, ...], broke: bool) -> None:
        """Hear, once, how the attempt ended; its connection is closed by then, unless it stood."""


class Attempt(Protocol):
    """One attempt at an application server."""

    def give_up(self) -> None:
        """Stop waiting before the connection stands."""

    def withdraw(self, result: api.Result = api.Result.CONNECT_FAILED) -> None:
        """Give up what has not been sent yet: the application server wants nothing new, or nobody waits for it."""

    def leave(self, broke: bool) -> None:
        """End a connection that stands: the user agent's side is over."""

    def client_ended_sending(self) -> None:
        """End the sending of a connection that stands, as the client did."""

    def silent_since(self) -> int:
        """Return since when a message has waited for its answer, or 0."""

    def break_off(self) -> None:
        """Take a connection that returns nothing as broken."""


class Agent(Protocol):
    """A user agent that asked for something."""

    def begin_attempt(self, address: str, wait: int, events: AttemptEvents) -> Attempt:
        """Start one attempt that may wait so many nanoseconds for its answer."""

    def refuse(self, retry_after: int) -> None:
        """Answer that trying again is harmless, and close."""

    def fail(self) -> None:
        """Answer that it failed, and close."""

    def move(self) -> None:
        """Tell the client to come again, and close."""

    def ended(self, broke: bool) -> None:
        """Close as the application server's side did."""

    def hand_over(self) -> Carried | None:
        """Stop reading a connection that stands, and return it; None while anything of it is under way."""

    def release(self) -> None:
        """Give up what was handed over: another process has it."""

    def cancel_handover(self) -> None:
        """Read on: no other process has it."""


class Prober(Protocol):
    """Who probes application servers."""

    def probe(self, server: str, address: str) -> None:
        """Probe once; exactly one result is reported."""


class Resumption(Protocol):
    """What a resumable session makes of a connection's lines; none of it exists where no client may offer that."""

    cut: Callable[[], None]  # breaks the connection; the client's side sets it

    def asked(self) -> dict[str, str]:
        """Return the named values that the application server gets in place of the client's."""

    def up(self, line: bytes) -> list[bytes]:
        """Take the application server's UP; return what its client gets."""

    def refusal(self, line: bytes) -> bytes:
        """Return a refusal or failure as its client gets it."""

    def from_client(self, line: bytes) -> bool:
        """Take a line that is to be passed on; False where the connection is to be cut."""

    def to_client(self, line: bytes) -> list[bytes] | None:
        """Take an application server's line; return what its client gets, None where the connection is to be cut."""

    def move(self) -> bytes:
        """Return the MOVE that its client gets."""

    def leave(self) -> None:
        """Be done with this connection."""


Resume = Callable[[dict[str, str]], "Resumption | bytes | None"]  # of an OPEN's names; bytes are words that refuse it


class Side(Protocol):
    """Another protocol's door, beside the lines': the relay tells it what happens, in this order."""

    def start(self) -> None:
        """Take hold of its sockets; raise ConfigError where that can't be done."""

    def listed(self, event: api.Membership) -> None:
        """Hear news of the list; the driver has taken it."""

    def serve(self) -> None:
        """Take user agents from now on."""

    def reload(self) -> None:
        """Read its settings again; what can't be obeyed changes nothing."""

    def lines(self) -> list[str]:
        """Return its figures as operators read them."""

    def close(self) -> None:
        """Give everything back: the process is to go."""
