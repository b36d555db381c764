"""TCP connections that survive transient errors such as a shortage of memory, on both sides of the relay.

Twisted treats every errno except EAGAIN as the end of a connection. ``recv`` and ``send`` may fail with ENOMEM or
ENOBUFS and leave the connection intact; closing it would lose the request on it.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_LOST

from scaledeal.net.socket_errors import is_transient

MAX_OPTION_TRIES = 8  # tries to set a socket option


class _RetryingIO:
    """Reads and writes of a Twisted connection; after a transient error the reactor calls them again."""

    def doRead(self) -> Any:  # noqa: N802
        """Read the received data; do nothing on a transient error."""
        connection = cast(Any, self)
        try:
            data = connection.socket.recv(connection.bufferSize)
        except OSError as error:
            return None if is_transient(error.errno) else CONNECTION_LOST
        return connection._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802
        """Write as much as the system takes, and return how many bytes that were; 0 on a transient error."""
        connection = cast(Any, self)
        try:
            return connection.socket.send(memoryview(data)[: connection.SEND_LIMIT])
        except OSError as error:
            return 0 if is_transient(error.errno) else CONNECTION_LOST

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Send short lines at once; if the system has no memory to set the option, they may be delayed, never lost."""
        for _ in range(MAX_OPTION_TRIES):
            with suppress(OSError):
                cast(Any, self).socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)
                return


class RetryingServer(_RetryingIO, tcp.Server):
    """The transport of an accepted client connection."""


class RetryingClient(_RetryingIO, tcp.Client):
    """The transport of a connection that this relay opened."""


class RetryingConnector(tcp.Connector):
    """Opens a ``RetryingClient``."""

    def _makeTransport(self) -> RetryingClient:  # noqa: N802
        own = cast(Any, self)
        return cast(RetryingClient, cast(Any, RetryingClient)(own.host, own.port, own.bindAddress, own, own.reactor))
