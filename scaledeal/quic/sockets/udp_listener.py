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

RECEIVE_BUFFER_BYTES = 4 << 20  # requested from the kernel, which may grant less (net.core.rmem_max)


class UdpListener(DatagramProtocol):
    """Owns the listening socket, which another process of this relay may share."""

    noisy = False

    def __init__(self, side: QuicSide) -> None:
        self.side = side
        self.port: Any = None

    def open(self, reactor: Reactor, address: Address, descriptor: int | None) -> None:
        """Use a duplicate of the inherited descriptor, or bind a socket; raise ConfigError if that fails.

        Nothing is read before ``set_reading(True)``.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        try:
            with (
                socket.socket(family, socket.SOCK_DGRAM)
                if descriptor is None
                else socket.socket(fileno=os.dup(descriptor)) as sock
            ):
                if descriptor is None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                    sock.bind((address.host, address.port))
                # Twisted makes only the sockets that it creates non-blocking; a blocking read would stop the reactor.
                sock.setblocking(False)
                self.port = cast(Any, udp.Port)._fromListeningDescriptor(reactor, sock.fileno(), family, self, 65_536)
        except OSError as error:
            raise ConfigError(f"quic.listen: {address.host}:{address.port}: {error.strerror}") from None
        self.port.startListening()
        self.port.stopReading()

    @property
    def bound_port(self) -> int:
        """Return the actual port, also if port 0 was configured."""
        return int(self.port.getHost().port)

    def set_reading(self, enabled: bool) -> None:
        """Start or stop reading datagrams."""
        if enabled:
            self.port.startReading()
        else:
            self.port.stopReading()

    def send(self, source: Source, datagram: bytes) -> None:
        """Send a datagram to a client; one that the kernel rejects is dropped and counted."""
        try:
            self.port.socket.sendto(datagram, source)
        except OSError:
            self.side.count_drop("not sent")

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802, D102
        self.side.from_client((addr[0], addr[1]), datagram)

    def close(self) -> None:
        """Close this process's descriptor; another process may continue to use the socket."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
