"""Hands the listening socket from a relay that serves to a new version of it, over a Unix socket in $TMPDIR.

There is one queue of connections all the time, so nobody in it meets a closed door. The new process claims
the socket; the old one offers it, and tells how many descriptors it leaves to the new one.
"""

from __future__ import annotations

import contextlib
import logging
import os
import socket
import stat
import time
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any, Protocol, cast

import msgspec
from twisted.internet import tcp, unix
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress, IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from scaledeal.net.config import Address
from scaledeal.net.ports import Port, Reactor, Timer

log = logging.getLogger("scaledeal.handover")

PATIENCE = 2.0  # seconds that the old process gets to hand its socket over
TRIES = 4  # offers that are tried, the newest first
TELL = 0.2  # seconds between two words on the descriptors left over


class Passing(msgspec.Struct, frozen=True):
    """What the old process says: how many descriptors the new one may hold."""

    spare: int


class Serving(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the new process says once it takes clients."""

    serving: bool


class Place(msgspec.Struct, frozen=True):
    """Where the offers of the relay at one address lie."""

    folder: Path
    listen: Address

    @property
    def prefix(self) -> str:
        """Return how the names of these offers begin."""
        where = f"{self.listen.host}:{self.listen.port}".encode()
        return f"sd-{blake2b(where, digest_size=4).hexdigest()}-"

    def offers(self) -> list[str]:
        """Return the offers that may be alive, the newest first."""
        found = []
        with contextlib.suppress(OSError):
            for entry in self.folder.iterdir():
                # Guards against files that others left under such a name: only sockets of our own are tried.
                with contextlib.suppress(OSError):
                    about = entry.lstat()
                    mine = stat.S_ISSOCK(about.st_mode) and about.st_uid == os.geteuid()
                    if mine and entry.name.startswith(self.prefix):
                        found.append(str(entry))
        return sorted(found, reverse=True)[:TRIES]


class Giver(Protocol):
    """The relay that offers."""

    def listening(self) -> int:
        """Return the descriptor of the listening socket."""

    def spare(self) -> int:
        """Return how many descriptors a successor may hold."""

    def succeeded(self, there: bool, serving: bool) -> None:
        """Hear whether a successor is there, and whether it serves."""


class Offer(ServerFactory):
    """The old side: owns the Unix socket, and knows its one successor."""

    noisy = False

    def __init__(self, reactor: Reactor, place: Place, giver: Giver) -> None:
        self.reactor = reactor
        self.place = place
        self.giver = giver
        self.successor: Successor | None = None
        self.port: Port | None = None

    def open(self) -> None:
        """Offer the socket from now on."""
        path = str(self.place.folder / f"{self.place.prefix}{time.time_ns():016x}")
        try:
            port = cast(Port, cast(Any, _OfferPort)(path, self, 4, 0o600, self.reactor))
            port.startListening()
            self.port = port
        except (CannotListenError, OSError) as error:
            # Guards against a folder that can't be written: the relay serves without a successor.
            log.warning("no offer to a new version: %s", error)

    def stopListening(self) -> None:  # noqa: N802
        """Withdraw the offer and remove its file."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None

    def buildProtocol(self, addr: IAddress | None) -> Successor:  # noqa: N802, D102
        return Successor(self)


class _OfferPort(unix.Port):
    """The Unix socket of an offer."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802, D102
        try:
            cast(Any, super()).connectionLost(reason)
        except FileNotFoundError:  # somebody cleared the folder
            cast(Any, tcp.Port).connectionLost(self, reason)


class Successor(LineOnlyReceiver):
    """The connection of a new process."""

    def __init__(self, offer: Offer) -> None:
        self.offer = offer
        self.told = -1
        self.timer: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        if self.offer.successor is not None:
            cast(Any, self.transport).loseConnection()
            return
        self.offer.successor = self
        self.offer.giver.succeeded(True, False)
        cast(Any, self.transport).sendFileDescriptor(self.offer.giver.listening())
        self._tell()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        try:
            serving = msgspec.json.decode(line, type=Serving).serving
        except msgspec.MsgspecError:
            cast(Any, self.transport).loseConnection()
            return
        if self.offer.successor is self:
            self.offer.giver.succeeded(True, serving)

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.offer.successor is self:
            self.offer.successor = None
            self.offer.giver.succeeded(False, False)

    def _tell(self) -> None:
        spare = self.offer.giver.spare()
        if spare != self.told:
            self.told = spare
            cast(Any, self).sendLine(msgspec.json.encode(Passing(spare)))
        self.timer = self.offer.reactor.callLater(TELL, self._tell)


class Claim(ClientFactory):
    """The new side: claims the socket from whoever offers it, and hears what it may hold.

    ``come`` is called once, with the listening descriptor (which the caller owns from then on) or None;
    ``may_hold`` whenever the old process tells of its spare descriptors, and with None once it is gone.
    """

    noisy = False

    def __init__(self, reactor: Reactor, place: Place, come: Callable[[int | None], None],
                 may_hold: Callable[[int | None], None]) -> None:
        self.reactor = reactor
        self.place = place
        self.come = come
        self.may_hold = may_hold
        self.offers = place.offers()
        self.holder: Predecessor | None = None  # who has handed it over

    def begin(self) -> None:
        """Try the next offer; where there is none left, there is no old process."""
        if self.offers:
            self.reactor.connectUNIX(self.offers.pop(0), self, PATIENCE)
        else:
            self.come(None)

    def serving(self) -> None:
        """Tell the old process that clients are taken here."""
        if self.holder is not None:
            cast(Any, self.holder).sendLine(msgspec.json.encode(Serving(True)))

    def buildProtocol(self, addr: IAddress | None) -> Predecessor:  # noqa: N802, D102
        return Predecessor(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802, D102
        self.begin()


@implementer(IFileDescriptorReceiver)
class Predecessor(LineOnlyReceiver):
    """The connection to the old process."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.descriptors: list[int] = []  # received and not yet handed on
        self.timer = claim.reactor.callLater(PATIENCE, self._give_up)

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802, D102
        self.descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        try:
            spare = msgspec.json.decode(line, type=Passing).spare
        except msgspec.MsgspecError:
            self._give_up()
            return
        if self.claim.holder is self:
            self.claim.may_hold(spare)
        elif self.descriptors and _listens(self.descriptors[0], self.claim.place.listen):
            self.timer.cancel()
            self.claim.holder = self
            self.claim.may_hold(spare)
            self.claim.come(self.descriptors.pop(0))
        else:
            self._give_up()

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        if self.timer.active():
            self.timer.cancel()
        for descriptor in self.descriptors:
            os.close(descriptor)
        if self.claim.holder is self:
            self.claim.holder = None
            self.claim.may_hold(None)
        else:
            self.claim.begin()

    def _give_up(self) -> None:
        cast(Any, self.transport).abortConnection()


def _listens(descriptor: int, at: Address) -> bool:
    """Tell whether a descriptor is a socket that listens on this address."""
    # Guards against an offer that is not what it says: clients would be taken from somewhere else.
    try:
        with contextlib.closing(socket.socket(fileno=os.dup(descriptor))) as sock:
            host, port = sock.getsockname()[:2]
            named = {each[4][0] for each in socket.getaddrinfo(at.host, at.port, type=socket.SOCK_STREAM)}
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            return bool(listens) and host in named and at.port in (0, port)
    except OSError:
        return False
