"""Connections whose reads and writes outlive a moment's want of memory, on both sides of the relay.

Twisted takes every errno but EAGAIN for the end of a connection. ``recv`` and ``send`` may fail with ENOMEM or ENOBUFS
and leave the connection whole: a request on it would be lost.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_LOST

from scaledeal.net.socket_errors import is_transient

TRIES = 8  # tries of a socket option


class _PatientIO:
    """Reads and writes of a Twisted connection; the reactor calls again while there is something to do."""

    def doRead(self) -> Any:  # noqa: N802
        """Read what has come."""
        mine = cast(Any, self)
        try:
            data = mine.socket.recv(mine.bufferSize)
        except OSError as error:
            return None if is_transient(error.errno) else CONNECTION_LOST
        return mine._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802
        """Write what the system takes; return how much that was."""
        mine = cast(Any, self)
        try:
            return mine.socket.send(memoryview(data)[: mine.SEND_LIMIT])
        except OSError as error:
            return 0 if is_transient(error.errno) else CONNECTION_LOST

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Send short lines at once; where the system has no memory for that now, they may wait, and are not lost."""
        for _ in range(TRIES):
            with suppress(OSError):
                cast(Any, self).socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)
                return


class PatientServer(_PatientIO, tcp.Server):
    """The socket of a client that came here."""


class PatientClient(_PatientIO, tcp.Client):
    """The socket of a connection that was dialled from here."""


class PatientConnector(tcp.Connector):
    """Dials a ``PatientClient``."""

    def _makeTransport(self) -> PatientClient:  # noqa: N802
        mine = cast(Any, self)
        return cast(PatientClient, cast(Any, PatientClient)(mine.host, mine.port, mine.bindAddress, mine, mine.reactor))
