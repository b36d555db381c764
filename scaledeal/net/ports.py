"""What the relay uses of Twisted, as plain types: the reactor, its timers and transports."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Take the call back."""

    def active(self) -> bool:
        """Tell whether it is still to come."""


class Port(Protocol):
    """A listening socket."""

    def startListening(self) -> None:  # noqa: N802
        """Open it."""

    def getHost(self) -> Any:  # noqa: N802
        """Return the address, with the port in fact taken."""

    def stopListening(self) -> object:  # noqa: N802
        """Close it."""

    def fileno(self) -> int:
        """Return its descriptor."""

    def stopReading(self) -> None:  # noqa: N802
        """Take no connections."""

    def startReading(self) -> None:  # noqa: N802
        """Take connections again."""


class Connector(Protocol):
    """A connection that is being opened."""

    def stopConnecting(self) -> None:  # noqa: N802
        """Give it up; the factory hears of it as of a failure."""


class Transport(Protocol):
    """One end of a TCP connection."""

    bufferSize: int  # noqa: N815

    def doRead(self) -> object:  # noqa: N802
        """Read what has come, and hand it on."""

    def doWrite(self) -> object:  # noqa: N802
        """Write of what is queued as much as the peer takes now."""

    def write(self, data: bytes) -> None:
        """Queue bytes."""

    def loseConnection(self) -> None:  # noqa: N802
        """Write what is queued, then close."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Write what is queued, then end the sending."""

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Name who is to pause while too much is queued."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget that."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return the socket."""

    def stopReading(self) -> None:  # noqa: N802
        """Have the reactor read it no more."""

    def stopWriting(self) -> None:  # noqa: N802
        """Have the reactor write it no more."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Send short lines at once."""


class Reactor(Protocol):
    """The part of Twisted's reactor that is used here."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:  # noqa: N802
        """Call after so many seconds."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Connector:  # noqa: N802
        """Open a connection."""

    def connectUNIX(self, address: str, factory: Any, timeout: float) -> Connector:  # noqa: N802
        """Open a connection to a Unix socket."""

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> object:  # noqa: N802
        """Go on with a connection that stands."""

    def getWriters(self) -> list[Any]:  # noqa: N802
        """Return the transports that have something to write."""

    def callWhenRunning(self, call: Callable[..., object], *args: Any) -> object:  # noqa: N802
        """Call once the reactor runs."""

    def callFromThread(self, call: Callable[..., object]) -> object:  # noqa: N802
        """Call from the reactor's loop; a signal handler may ask for it."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803
        """Run until stopped."""

    def stop(self) -> None:
        """End the program."""
