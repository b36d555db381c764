"""The clients' door: the listening socket, and who is let in."""

from __future__ import annotations

import logging
import socket
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.interfaces import IAddress
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from scaledeal.net.admission import CLOSING
from scaledeal.net.patient_sockets import PatientServer
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.socket_errors import AcceptErrors, Remedy
from scaledeal.net.user_agent import Reception, UserAgent

log = logging.getLogger("scaledeal.client_listener")

BACKLOG = 1024  # connections that wait in the queue
AT_ONCE = 8  # calls of accept that may fail in one round
LAST_TRIES = 64  # and as the queue closes
PATIENT = 10  # such waits in a row after which an idle client has to go
SHORT = 0.01  # seconds that connections wait in the queue while the process is short of what they need


class ClientFactory(ServerFactory):
    """Makes a user agent's side for each new connection."""

    noisy = False

    def __init__(self, reception: Reception) -> None:
        self.reception = reception

    def buildProtocol(self, addr: IAddress | None) -> UserAgent | None:  # noqa: N802, D102
        # Without a protocol the transport closes the socket at once: nothing is cheaper.
        return UserAgent(self.reception) if self.reception.admission.room() else None


class ClientListener(tcp.Port):
    """The listening socket.

    Guards against a burst of connections that is taken whole before the first line of any is read, and before
    those that gave way are closed: the usual clients among them would find no descriptor.
    """

    # Guards against a queue that ends for the process it was handed to, too.
    _shouldShutdown = False  # noqa: N815
    transport = PatientServer
    _took = False  # whether connections were taken here up to the end

    def __init__(self, *args: Any, **more: Any) -> None:
        cast(Any, super()).__init__(*args, **more)
        self._errors = AcceptErrors()
        self._pauses = 0  # in a row
        self._pause: Timer | None = None  # runs while the process is short of what a connection needs

    def createInternetSocket(self) -> socket.socket:  # noqa: N802, D102
        # Guards against a new version that finds no offer in $TMPDIR and can't listen beside this process.
        made = cast(socket.socket, cast(Any, super()).createInternetSocket())
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made

    def doRead(self) -> None:  # noqa: N802
        """Take some of the connections that wait, in place of Twisted's own loop.

        Guards against connections that Twisted accepts with a reserved descriptor and closes unread where descriptors
        are short for one call, and against tracebacks of errors that accept(2) documents.
        """
        if self._accept(CLOSING, AT_ONCE) is Remedy.SOON:
            self._pause_reading()

    def loseConnection(self, connDone: Any = Failure(CONNECTION_DONE)) -> Any:  # noqa: N802, N803, B008
        """Close it soon, with nobody left in its queue."""
        self._took = self._pause is not None or self in cast(Any, self.reactor).getReaders()  # else a new version does
        self._end_pause()
        return cast(Any, super()).loseConnection(connDone)

    stopListening = loseConnection  # noqa: N815

    def stopReading(self) -> None:  # noqa: N802
        """Take no more; a pause that runs does not begin to again."""
        self._end_pause()
        cast(Any, super()).stopReading()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Take all who stand in the queue, then close it."""
        # Guards against requests that the system took for this process, reset unread with the queue.
        self._end_pause()
        if self._took:
            self._accept(BACKLOG, LAST_TRIES)
        cast(Any, super()).connectionLost(reason)

    def _accept(self, most: int, failures: int) -> Remedy:
        """Take so many connections at most; return what ended that: nobody waits, or a shortage that lasts."""
        taken = 0
        while taken < most and failures > 0:
            try:
                sock, address = self.socket.accept()
            except OSError as error:
                remedy = self._errors.remedy(error.errno or 0)
                if remedy is Remedy.NOTHING_THERE:
                    return remedy
                failures -= 1
                if remedy is Remedy.SOON and failures <= 0:
                    return remedy
                continue
            self._errors.succeeded()
            self._pauses = 0
            taken += 1
            self._welcome(sock, address)
        return Remedy.AT_ONCE

    def _welcome(self, sock: socket.socket, address: Any) -> None:
        try:
            protocol = cast(ClientFactory, self.factory).buildProtocol(cast(Any, self)._buildAddr(address))
            if protocol is None:
                sock.close()
                return
            number, self.sessionno = self.sessionno, self.sessionno + 1
            transport = cast(Any, self).transport(sock, protocol, address, self, number, self.reactor)
            cast(Any, protocol).makeConnection(transport)
        except Exception:  # one connection's fault must not close the door to all others
            log.exception("a new connection could not be taken")

    def _pause_reading(self) -> None:
        cast(Any, super()).stopReading()
        self._pauses += 1
        if self._pauses % PATIENT == 0:
            # Guards against a shortage that lasts: idle clients hold what those in the queue need.
            cast(ClientFactory, self.factory).reception.admission.shed()
        if self._pause is None:
            self._pause = cast(Reactor, self.reactor).callLater(SHORT, self._read_again)

    def _read_again(self) -> None:
        self._pause = None
        cast(Any, self).startReading()

    def _end_pause(self) -> None:
        if self._pause is not None and self._pause.active():
            self._pause.cancel()
        self._pause = None
