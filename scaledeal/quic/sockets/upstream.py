"""The upstream socket of one path, connected to its tile server; the server sees each path as a separate peer."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from scaledeal.net.config import parse_address
from scaledeal.net.ports import Reactor
from scaledeal.quic.core.table import Path

REFUSALS_BEFORE_GONE = 2  # in a row on a path of an established flow; a single one may come from a server's restart
MAX_DATAGRAMS_PER_READ = 32  # read from one socket before the reactor serves the others
MAX_DATAGRAM_BYTES = 65_536


class UpstreamEvents(Protocol):
    """Receiver of the events of upstream sockets."""

    def from_server(self, path: Path, datagram: bytes) -> None:
        """Handle a datagram from a path's server."""

    def port_unreachable(self, path: Path) -> None:
        """Handle an ICMP port-unreachable error: nothing listens at the server's address."""


class Upstream:
    """Owns one connected UDP socket until ``close``; it is an IReadDescriptor of the reactor."""

    def __init__(self, path: Path, events: UpstreamEvents, reactor: Reactor) -> None:
        self.path = path
        self.events = events
        self.reactor: Any = reactor
        self.refusals = 0
        self.sock: socket.socket | None = None
        self.write: Callable[[bytes], object] = _discard

    def open(self, server_address: str) -> None:
        """Open and connect the socket; raise OSError if that fails, ConfigError for an invalid address."""
        parsed = parse_address(server_address, "address")
        sock = socket.socket(socket.AF_INET6 if ":" in parsed.host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.connect((parsed.host, parsed.port))
        except OSError:
            sock.close()
            raise
        self.sock, self.write = sock, self._write
        self.reactor.addReader(self)

    def close(self) -> None:
        """Close the socket; datagrams that arrive later are lost."""
        sock, self.sock, self.write = self.sock, None, _discard
        if sock is not None:
            self.reactor.removeReader(self)
            sock.close()

    def _write(self, datagram: bytes) -> None:
        assert self.sock is not None
        try:
            self.sock.send(datagram)
        except ConnectionRefusedError:
            self._handle_refusal()
        except OSError:
            # A full buffer or an interface that is down drops the datagram, as the network may.
            return

    def _handle_refusal(self) -> None:
        self.refusals += 1
        self.events.port_unreachable(self.path)

    # Called by the reactor

    def fileno(self) -> int:
        """Return the socket's descriptor; -1 once it is closed."""
        return self.sock.fileno() if self.sock is not None else -1

    def logPrefix(self) -> str:  # noqa: N802
        """Return the prefix that the reactor uses in its log."""
        return "upstream"

    def doRead(self) -> None:  # noqa: N802
        """Read the datagrams that have arrived, up to ``MAX_DATAGRAMS_PER_READ``."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self.sock is None:  # closed while the previous datagram was handled
                return
            try:
                datagram = self.sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                self._handle_refusal()
                return
            except OSError:
                return
            self.refusals = 0
            self.events.from_server(self.path, datagram)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Clear a socket error and resume reading: the reactor stops reading a socket when it reports an error."""
        # Without this a path would receive nothing more after its server's first refusal.
        if self.sock is not None:
            self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.reactor.addReader(self)
            self._handle_refusal()


def _discard(datagram: bytes) -> None:
    """Drop a datagram that is written to a closed socket."""
