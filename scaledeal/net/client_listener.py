"""The listening socket for clients, which admits or rejects each new connection."""

from __future__ import annotations

import logging
import socket
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.interfaces import IAddress
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from scaledeal.net.admission import RESERVED_FOR_CLOSING
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.retrying_sockets import RetryingServer
from scaledeal.net.socket_errors import AcceptAction, AcceptErrors
from scaledeal.net.user_agent import ClientContext, UserAgent

log = logging.getLogger("scaledeal.client_listener")

BACKLOG = 1024  # connections that wait in the listen queue
MAX_ACCEPT_ERRORS = 8  # failing calls of accept in one round
MAX_ACCEPT_ERRORS_AT_CLOSE = 64  # failing calls of accept while the queue is emptied before closing
PAUSES_PER_EVICTION = 10  # consecutive pauses after which an idle client is evicted
ACCEPT_PAUSE_S = 0.01  # time that connections wait in the queue while the process is short of descriptors or memory


class ClientFactory(ServerFactory):
    """Makes the user agent's side of each new connection."""

    noisy = False

    def __init__(self, client_context: ClientContext) -> None:
        self.client_context = client_context

    def buildProtocol(self, addr: IAddress | None) -> UserAgent | None:  # noqa: N802, D102
        # Without a protocol the transport closes the socket at once, which is the cheapest rejection.
        return UserAgent(self.client_context) if self.client_context.admission.admit_client() else None


class ClientListener(tcp.Port):
    """The listening socket.

    It accepts a limited number of connections in each round of the reactor. If a burst were accepted whole, before
    the first line of any connection is read and before evicted connections are closed, ordinary clients in the
    burst would find no descriptor.
    """

    # Without a shutdown: a shutdown would also end the queue for the process that the socket was handed over to.
    _shouldShutdown = False  # noqa: N815
    transport = RetryingServer
    _was_accepting = False  # whether this process still accepted connections when the socket was told to close

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        cast(Any, super()).__init__(*args, **kwargs)
        self._errors = AcceptErrors()
        self._pauses = 0  # consecutive
        self._pause: Timer | None = None  # runs while the process is short of what a connection needs

    def createInternetSocket(self) -> socket.socket:  # noqa: N802, D102
        # A new version that finds no hand-over socket in $TMPDIR must be able to listen beside this process.
        created = cast(socket.socket, cast(Any, super()).createInternetSocket())
        created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return created

    def doRead(self) -> None:  # noqa: N802
        """Accept some of the waiting connections, in place of Twisted's own loop.

        When descriptors are short for a single call, Twisted's loop accepts connections with a reserved descriptor and
        closes them unread; it also logs tracebacks for errors that accept(2) documents.
        """
        if self._accept(RESERVED_FOR_CLOSING, MAX_ACCEPT_ERRORS) is AcceptAction.RETRY_LATER:
            self._pause_reading()

    def loseConnection(self, connDone: Any = Failure(CONNECTION_DONE)) -> Any:  # noqa: N802, N803, B008
        """Close the socket in the reactor's next round, after its queue is emptied."""
        # If this process does not accept any more, a new version of it accepts from the same queue.
        self._was_accepting = self._pause is not None or self in cast(Any, self.reactor).getReaders()
        self._end_pause()
        return cast(Any, super()).loseConnection(connDone)

    stopListening = loseConnection  # noqa: N815

    def stopReading(self) -> None:  # noqa: N802
        """Accept no more connections; also cancel a running pause, which would resume accepting at its end."""
        self._end_pause()
        cast(Any, super()).stopReading()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Accept all connections that wait in the queue, then close it."""
        # The system has accepted these connections for this process; closing the queue would reset them unread.
        self._end_pause()
        if self._was_accepting:
            self._accept(BACKLOG, MAX_ACCEPT_ERRORS_AT_CLOSE)
        cast(Any, super()).connectionLost(reason)

    def _accept(self, max_clients: int, max_errors: int) -> AcceptAction:
        """Accept up to ``max_clients`` connections.

        Return ``NOTHING_THERE`` if the queue is empty, ``SOON`` if a shortage lasted for ``max_errors`` failing calls,
        else ``AT_ONCE``.
        """
        accepted = 0
        while accepted < max_clients and max_errors > 0:
            try:
                sock, address = self.socket.accept()
            except OSError as error:
                action = self._errors.action(error.errno or 0)
                if action is AcceptAction.NO_CONNECTION:
                    return action
                max_errors -= 1
                if action is AcceptAction.RETRY_LATER and max_errors <= 0:
                    return action
                continue
            self._errors.succeeded()
            self._pauses = 0
            accepted += 1
            self._open_connection(sock, address)
        return AcceptAction.RETRY_NOW

    def _open_connection(self, sock: socket.socket, address: Any) -> None:
        try:
            protocol = cast(ClientFactory, self.factory).buildProtocol(cast(Any, self)._buildAddr(address))
            if protocol is None:
                sock.close()
                return
            number, self.sessionno = self.sessionno, self.sessionno + 1
            transport = cast(Any, self).transport(sock, protocol, address, self, number, self.reactor)
            cast(Any, protocol).makeConnection(transport)
        except Exception:  # an error of one connection must not stop the listener
            log.exception("could not set up a new client connection")

    def _pause_reading(self) -> None:
        cast(Any, super()).stopReading()
        self._pauses += 1
        if self._pauses % PAUSES_PER_EVICTION == 0:
            # In a lasting shortage idle clients hold the descriptors that connections in the queue need.
            cast(ClientFactory, self.factory).client_context.admission.evict_oldest()
        if self._pause is None:
            self._pause = cast(Reactor, self.reactor).callLater(ACCEPT_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        self._pause = None
        cast(Any, self).startReading()

    def _end_pause(self) -> None:
        if self._pause is not None and self._pause.active():
            self._pause.cancel()
        self._pause = None
