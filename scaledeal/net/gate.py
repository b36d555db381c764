"""The clients' door: the listening socket, and who is let in."""

from __future__ import annotations

import socket
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.interfaces import IAddress
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from scaledeal.net.admission import CLOSING
from scaledeal.net.user_agent import Reception, UserAgent

BACKLOG = 1024  # connections that wait in the queue


class Door(ServerFactory):
    """Makes a user agent's side for each new connection."""

    noisy = False

    def __init__(self, reception: Reception) -> None:
        self.reception = reception

    def buildProtocol(self, addr: IAddress | None) -> UserAgent | None:  # noqa: N802, D102
        # Without a protocol the transport closes the socket at once: nothing is cheaper.
        return UserAgent(self.reception) if self.reception.admission.room() else None


class Gate(tcp.Port):
    """The listening socket.

    Guards against a burst of connections that is taken whole before the first line of any is read, and before
    those that gave way are closed: the usual clients among them would find no descriptor.
    """

    # Guards against a queue that ends for the process it was handed to, too.
    _shouldShutdown = False  # noqa: N815
    _took = False  # whether connections were taken here up to the end

    def createInternetSocket(self) -> socket.socket:  # noqa: N802, D102
        # Guards against a new version that finds no offer in $TMPDIR and can't listen beside this process.
        made = cast(socket.socket, cast(Any, super()).createInternetSocket())
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made

    def doRead(self) -> None:  # noqa: N802, D102
        self.numberAccepts = min(self.numberAccepts, CLOSING)
        cast(Any, super()).doRead()

    def loseConnection(self, connDone: Any = Failure(CONNECTION_DONE)) -> Any:  # noqa: N802, N803, B008
        """Close it soon, with nobody left in its queue."""
        self._took = self in cast(Any, self.reactor).getReaders()  # else a new version takes them
        return cast(Any, super()).loseConnection(connDone)

    stopListening = loseConnection  # noqa: N815

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Take all who stand in the queue, then close it."""
        # Guards against requests that the system took for this process, reset unread with the queue.
        for _ in range(BACKLOG // CLOSING if self._took else 0):
            self.numberAccepts = CLOSING
            self.doRead()
            if self.numberAccepts <= CLOSING:  # Twisted asks for more the next time where so many came
                break
        cast(Any, super()).connectionLost(reason)
