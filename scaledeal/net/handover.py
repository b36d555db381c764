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
from scaledeal.net.inherited import Standing
from scaledeal.net.offers import next_offer
from scaledeal.net.ports import Port, Reactor, Timer

log = logging.getLogger("scaledeal.handover")

PATIENCE = 2.0  # seconds that the old process gets to hand its socket over
TRIES = 4  # offers that are tried, the newest first
LONGEST = 1 << 15  # bytes of the longest word between them: three lines of a client's, encoded
TELL = 0.2  # seconds between two words on the descriptors left over


class Passing(msgspec.Struct, frozen=True, tag="spare"):
    """What the old process says: how many descriptors the new one may hold."""

    spare: int


class Left(msgspec.Struct, frozen=True, tag="left"):
    """What the old process says of a connection that has ended there."""

    handle: str


class Handed(msgspec.Struct, frozen=True, tag="handed"):
    """What the old process says of a connection whose sockets it has passed just before."""

    handle: str
    server: str
    load: float
    state: bytes


class Taken(msgspec.Struct, frozen=True, tag="taken"):
    """What the new process says once it has that."""

    handle: str


class Serving(msgspec.Struct, frozen=True, tag="serving"):
    """What the new process says once it takes clients."""


_of_predecessor = msgspec.json.Decoder(Passing | Standing | Left | Handed)
_of_successor = msgspec.json.Decoder(Serving | Taken)


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

    def standing(self) -> dict[str, Standing]:
        """Return the connections that stand here."""

    def succeeded(self, there: bool, serving: bool) -> None:
        """Hear whether a successor is there, and whether it serves."""

    def taken(self, handle: str) -> None:
        """Hear that the successor has a connection that was handed over."""


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
        path = str(next_offer(self.place.folder, self.place.prefix))
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
        self.told_standing: dict[str, Standing] = {}
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
            told = _of_successor.decode(line)
        except msgspec.MsgspecError:
            cast(Any, self.transport).loseConnection()
            return
        if self.offer.successor is not self:
            return
        if isinstance(told, Taken):
            self.offer.giver.taken(told.handle)
        else:
            self.offer.giver.succeeded(True, True)

    def hand(self, told: Handed, descriptors: tuple[int, ...]) -> None:
        """Pass a connection's sockets and what there is to say of it."""
        for descriptor in descriptors:
            cast(Any, self.transport).sendFileDescriptor(descriptor)
        self._say(told)

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
            self._say(Passing(spare))
        standing, before = self.offer.giver.standing(), self.told_standing
        for handle in before.keys() - standing.keys():
            self._say(Left(handle))
        for handle, each in standing.items():
            if before.get(handle) != each:
                self._say(each)
        self.told_standing = standing
        self.timer = self.offer.reactor.callLater(TELL, self._tell)

    def _say(self, what: msgspec.Struct) -> None:
        cast(Any, self).sendLine(msgspec.json.encode(what))


class Heir(Protocol):
    """The relay that claims."""

    def come(self, descriptor: int | None) -> None:
        """Take the listening descriptor, once, and own it from then on; None where nobody hands one over."""

    def may_hold(self, count: int | None) -> None:
        """Hear how many descriptors the old process leaves; None once it is gone."""

    def inherit(self, told: Standing) -> None:
        """Hear of a connection that stands at the old process, or of its load."""

    def inherited_left(self, handle: str) -> None:
        """Hear that one of those has ended there."""

    def take(self, told: Handed, descriptors: tuple[int, int]) -> bool:
        """Go on with a connection, and tell whether that is done; the descriptors stay the caller's."""


class Claim(ClientFactory):
    """The new side: claims the socket from whoever offers it, and hears of that process until it is gone."""

    noisy = False

    def __init__(self, reactor: Reactor, place: Place, heir: Heir) -> None:
        self.reactor = reactor
        self.place = place
        self.heir = heir
        self.offers = place.offers()
        self.holder: Predecessor | None = None  # who has handed it over

    def begin(self) -> None:
        """Try the next offer; where there is none left, there is no old process."""
        if self.offers:
            self.reactor.connectUNIX(self.offers.pop(0), self, PATIENCE)
        else:
            self.heir.come(None)

    def serving(self) -> None:
        """Tell the old process that clients are taken here."""
        if self.holder is not None:
            cast(Any, self.holder).sendLine(msgspec.json.encode(Serving()))

    def buildProtocol(self, addr: IAddress | None) -> Predecessor:  # noqa: N802, D102
        return Predecessor(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802, D102
        self.begin()


@implementer(IFileDescriptorReceiver)
class Predecessor(LineOnlyReceiver):
    """The connection to the old process."""

    MAX_LENGTH = LONGEST

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.descriptors: list[int] = []  # received and not yet handed on
        self.timer = claim.reactor.callLater(PATIENCE, self._give_up)

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802, D102
        self.descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        try:
            told = _of_predecessor.decode(line)
        except msgspec.MsgspecError:
            self._give_up()
            return
        heir, first = self.claim.heir, self.claim.holder is not self
        if first and not (isinstance(told, Passing) and self._proven()):
            self._give_up()
            return
        if isinstance(told, Passing):
            heir.may_hold(told.spare)
        elif isinstance(told, Standing):
            heir.inherit(told)
        elif isinstance(told, Left):
            heir.inherited_left(told.handle)
        else:
            self._take(told)
        if first:
            self.timer.cancel()
            self.claim.holder = self
            heir.come(self.descriptors.pop(0))

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        if self.timer.active():
            self.timer.cancel()
        for descriptor in self.descriptors:
            os.close(descriptor)
        if self.claim.holder is self:
            self.claim.holder = None
            self.claim.heir.may_hold(None)
        else:
            self.claim.begin()

    def _take(self, told: Handed) -> None:
        pair, self.descriptors = self.descriptors[:2], self.descriptors[2:]
        if len(pair) == 2 and self.claim.heir.take(told, (pair[0], pair[1])):
            cast(Any, self).sendLine(msgspec.json.encode(Taken(told.handle)))
        for descriptor in pair:
            os.close(descriptor)

    def _proven(self) -> bool:
        return bool(self.descriptors) and _listens(self.descriptors[0], self.claim.place.listen)

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
