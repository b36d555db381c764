"""The UDP socket that clients send to."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING, Any, cast

from twisted.internet import udp
from twisted.internet.protocol import DatagramProtocol

from scaledeal.net.config import Address, ConfigError
from scaledeal.net.ports import Reactor
from scaledeal.quic.ids.tokens import Source

if TYPE_CHECKING:
    from scaledeal.quic.sockets.side import QuicSide

BUFFER = 4 << 20  # bytes that the kernel is asked to queue; it may give less (net.core.rmem_max)


class Front(DatagramProtocol):
    """Owns the listening socket, alone or with another process of this relay."""

    noisy = False

    def __init__(self, side: QuicSide) -> None:
        self.side = side
        self.port: Any = None

    def open(self, reactor: Reactor, at: Address, descriptor: int | None) -> None:
        """Take the socket that was handed over, or bind one; raise ConfigError where that can't be done.

        Nothing is read before ``serve``.
        """
        family = socket.AF_INET6 if ":" in at.host else socket.AF_INET
        try:
            with (
                socket.socket(family, socket.SOCK_DGRAM)
                if descriptor is None
                else socket.socket(fileno=os.dup(descriptor)) as sock
            ):
                if descriptor is None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
                    sock.bind((at.host, at.port))
                # Guards against a read that waits: Twisted sets this only on sockets of its own making.
                sock.setblocking(False)
                self.port = cast(Any, udp.Port)._fromListeningDescriptor(reactor, sock.fileno(), family, self, 65_536)
        except OSError as error:
            raise ConfigError(f"quic.listen: {at.host}:{at.port}: {error.strerror}") from None
        self.port.startListening()
        self.port.stopReading()

    @property
    def number(self) -> int:
        """Return the port that is in fact listened on."""
        return int(self.port.getHost().port)

    def serve(self, yes: bool) -> None:
        """Read from now on, or read no more."""
        if yes:
            self.port.startReading()
        else:
            self.port.stopReading()

    def send(self, source: Source, datagram: bytes) -> None:
        """Send to a client; what the kernel does not take is lost, as on any network."""
        try:
            self.port.socket.sendto(datagram, source)
        except OSError:
            self.side.count("not sent")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802, D102
        self.side.from_client((addr[0], addr[1]), datagram)

    def close(self) -> None:
        """Close the socket here; another process may go on with it."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
