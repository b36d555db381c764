"""The parts of Twisted that the relay uses, as protocols: the reactor, its timers and transports."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Port(Protocol):
    """A listening socket."""

    def startListening(self) -> None:  # noqa: N802
        """Open the socket."""

    def getHost(self) -> Any:  # noqa: N802
        """Return the address, with the port number that the system chose if 0 was requested."""

    def stopListening(self) -> object:  # noqa: N802
        """Close the socket."""

    def fileno(self) -> int:
        """Return the socket's descriptor."""

    def stopReading(self) -> None:  # noqa: N802
        """Stop accepting connections."""

    def startReading(self) -> None:  # noqa: N802
        """Start to accept connections again."""


class Connector(Protocol):
    """A connection that is being opened."""

    def stopConnecting(self) -> None:  # noqa: N802
        """Cancel the connect; the factory is called as for a failed one."""


class Transport(Protocol):
    """One end of a TCP connection."""

    bufferSize: int  # noqa: N815

    def doRead(self) -> object:  # noqa: N802
        """Read the received data, and deliver it to the protocol."""

    def doWrite(self) -> object:  # noqa: N802
        """Write as much of the queued data as the system takes now."""

    def write(self, data: bytes) -> None:
        """Queue data."""

    def loseConnection(self) -> None:  # noqa: N802
        """Write the queued data, then close."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Write the queued data, then end the sending."""

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Register the producer that is paused while too much data is queued."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister the producer."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return the socket."""

    def stopReading(self) -> None:  # noqa: N802
        """Stop the reactor from reading the socket."""

    def stopWriting(self) -> None:  # noqa: N802
        """Stop the reactor from writing to the socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Send short lines at once."""


class Reactor(Protocol):
    """The part of Twisted's reactor that the relay uses."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:  # noqa: N802
        """Call ``call`` after ``delay`` seconds."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Connector:  # noqa: N802
        """Open a TCP connection; ``timeout`` is in seconds."""

    def connectUNIX(self, address: str, factory: Any, timeout: float) -> Connector:  # noqa: N802
        """Open a connection to a Unix socket; ``timeout`` is in seconds."""

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> object:  # noqa: N802
        """Take over an established connection by its descriptor."""

    def getWriters(self) -> list[Any]:  # noqa: N802
        """Return the transports that have data to write."""

    def callWhenRunning(self, call: Callable[..., object], *args: Any) -> object:  # noqa: N802
        """Call ``call`` once the reactor runs."""

    def callFromThread(self, call: Callable[..., object]) -> object:  # noqa: N802
        """Call ``call`` from the reactor's loop; this may be requested by another thread or a signal handler."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803
        """Run until stopped."""

    def stop(self) -> None:
        """Stop the reactor, which ends the program."""
