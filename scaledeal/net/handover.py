"""Hands the listening socket from a serving relay process to its new version, over a Unix socket in $TMPDIR.

Both processes use the same listening socket, so clients in its queue are never refused. The old process offers the
socket and the new one claims it; from then on the old process reports how many descriptors it leaves to the new one,
and its established connections, and may hand those over too.

The two exchange file descriptors and the messages of ``scaledeal.net.handover_messages``. While both serve, the new
process asks the old one for the id of each request.
"""

from __future__ import annotations

import contextlib
import logging
import os
import socket
import stat
from functools import partial
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
from scaledeal.net.handover_messages import (
    ClaimDecided,
    ClaimId,
    ConnectionEnded,
    ConnectionTaken,
    EstablishedConnection,
    FromPredecessor,
    FromSuccessor,
    HandedConnection,
    ReleaseId,
    Serving,
    SpareDescriptors,
)
from scaledeal.net.offers import next_offer_path
from scaledeal.net.ports import Port, Reactor, Timer
from scaledeal.net.request_ids import Authority, ClaimResult, Decide, RemoteAuthority
from scaledeal.net.used_ids import UsedIds

log = logging.getLogger("scaledeal.handover")

SOCKET_TIMEOUT_S = 2.0  # for the old process to accept the claim, and then to hand its socket over
MAX_OFFERS_TRIED = 4  # the newest first
USED_IDS_PER_MESSAGE = 1000  # 20 digits each
MAX_MESSAGE_BYTES = 1 << 15  # the longest message holds three lines of a client, encoded
UPDATE_INTERVAL_S = 0.2  # between two reports of spare descriptors and established connections

_predecessor_decoder: msgspec.json.Decoder[FromPredecessor] = msgspec.json.Decoder(FromPredecessor)
_successor_decoder: msgspec.json.Decoder[FromSuccessor] = msgspec.json.Decoder(FromSuccessor)


class OfferLocation(msgspec.Struct, frozen=True):
    """Where the offers of the relay at one address are found."""

    folder: Path
    listen: Address

    @property
    def prefix(self) -> str:
        """Return the common prefix of these offers' file names."""
        address = f"{self.listen.host}:{self.listen.port}".encode()
        return f"sd-{blake2b(address, digest_size=4).hexdigest()}-"

    def offers(self) -> list[str]:
        """Return the paths of the offers that may be alive, the newest first."""
        found = []
        with contextlib.suppress(OSError):
            for entry in self.folder.iterdir():
                # Others may have left files under such a name, so only sockets that this user owns are tried.
                with contextlib.suppress(OSError):
                    status = entry.lstat()
                    own_socket = stat.S_ISSOCK(status.st_mode) and status.st_uid == os.geteuid()
                    if own_socket and entry.name.startswith(self.prefix):
                        found.append(str(entry))
        return sorted(found, reverse=True)[:MAX_OFFERS_TRIED]


class OfferingRelay(Protocol):
    """The old process's relay, as its offer sees it."""

    def listening_descriptor(self) -> int:
        """Return the descriptor of the listening socket."""

    def spare_descriptors(self) -> int:
        """Return how many descriptors a successor may hold."""

    def established_connections(self) -> dict[str, EstablishedConnection]:
        """Return this process's established connections, by handle."""

    def successor_changed(self, connected: bool, serving: bool) -> None:
        """Handle a change of whether a successor is connected, and whether it accepts clients."""

    def connection_taken(self, handle: str) -> None:
        """Handle the successor's confirmation that it has a connection that was handed over."""

    def id_claimed(self, request_id: str, decide: Decide) -> None:
        """Decide whether the successor may begin a request with this id; ``decide`` is called once."""

    def id_released(self, request_id: str) -> None:
        """Take back an id that the successor was granted, or that came with a connection."""


class Offer(ServerFactory):
    """The old process's side: owns the Unix socket, and accepts one successor at a time."""

    noisy = False

    def __init__(
        self, reactor: Reactor, location: OfferLocation, relay: OfferingRelay, used_ids: UsedIds | None = None
    ) -> None:
        """``used_ids`` are told to a successor, and those of its own are added."""
        self.reactor = reactor
        self.location = location
        self.relay = relay
        self.used_ids = UsedIds() if used_ids is None else used_ids
        self.used_ids.on_added = self._tell_used_ids
        self.successor: Successor | None = None
        self.port: Port | None = None

    def open(self) -> None:
        """Start to offer the socket; if that fails, log it."""
        path = str(next_offer_path(self.location.folder, self.location.prefix))
        try:
            port = cast(Port, cast(Any, _OfferPort)(path, self, 4, 0o600, self.reactor))
            port.startListening()
            self.port = port
        except (CannotListenError, OSError) as error:
            # With a folder that can't be written the relay still serves, but no new version can take over from it.
            log.warning("listening socket not offered to a new version: %s", error)

    def stopListening(self) -> None:  # noqa: N802
        """Withdraw the offer and remove its file."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None

    def _tell_used_ids(self) -> None:
        """Tell the successor at once: this process may be killed before the next update."""
        if self.successor is not None:
            self.successor.send_relay_state()

    def buildProtocol(self, addr: IAddress | None) -> Successor:  # noqa: N802, D102
        return Successor(self)


class _OfferPort(unix.Port):
    """The Unix socket of an offer."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802, D102
        try:
            cast(Any, super()).connectionLost(reason)
        except FileNotFoundError:  # the file was removed from outside
            cast(Any, tcp.Port).connectionLost(self, reason)


class Successor(LineOnlyReceiver):
    """The old process's end of the connection to a new one."""

    def __init__(self, offer: Offer) -> None:
        self.offer = offer
        self.sent_spare = -1
        self.sent_used_ids = 0  # the number of the latest one that was sent
        self.sent_connections: dict[str, EstablishedConnection] = {}
        self.timer: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        if self.offer.successor is not None:
            cast(Any, self.transport).loseConnection()
            return
        self.offer.successor = self
        self.offer.relay.successor_changed(True, False)
        cast(Any, self.transport).sendFileDescriptor(self.offer.relay.listening_descriptor())
        self._send_updates()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        try:
            message = _successor_decoder.decode(line)
        except msgspec.MsgspecError:
            cast(Any, self.transport).loseConnection()
            return
        if self.offer.successor is not self:
            return
        relay = self.offer.relay
        if isinstance(message, ClaimId):
            relay.id_claimed(message.request_id, partial(self._decided, message.number))
        elif isinstance(message, ReleaseId):
            if message.used:
                self.offer.used_ids.add(message.request_id)
            relay.id_released(message.request_id)
        elif isinstance(message, ConnectionTaken):
            relay.connection_taken(message.handle)
        else:
            relay.successor_changed(True, True)

    def hand_over(self, connection: HandedConnection, descriptors: tuple[int, ...]) -> None:
        """Send a connection's sockets, and then its state."""
        for descriptor in descriptors:
            cast(Any, self.transport).sendFileDescriptor(descriptor)
        self._send(connection)

    def _decided(self, number: int, result: ClaimResult) -> None:
        if self.offer.successor is self:
            self._send(ClaimDecided(number, result is ClaimResult.GRANTED))

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.offer.successor is self:
            self.offer.successor = None
            self.offer.relay.successor_changed(False, False)

    def _send_updates(self) -> None:
        """Send what has changed since the last update, and schedule the next."""
        self.send_relay_state()
        connections, sent = self.offer.relay.established_connections(), self.sent_connections
        for handle in sent.keys() - connections.keys():
            self._send(ConnectionEnded(handle))
        for handle, connection in connections.items():
            if sent.get(handle) != connection:
                self._send(connection)
        self.sent_connections = connections
        self.timer = self.offer.reactor.callLater(UPDATE_INTERVAL_S, self._send_updates)

    def send_relay_state(self) -> None:
        """Send how many descriptors the successor may hold, and which ids must not be used again, if that is news."""
        spare = self.offer.relay.spare_descriptors()
        used, self.sent_used_ids = self.offer.used_ids.added_since(self.sent_used_ids)
        if spare == self.sent_spare and not used:
            return
        self.sent_spare = spare
        for first in range(0, max(1, len(used)), USED_IDS_PER_MESSAGE):
            digests = used[first : first + USED_IDS_PER_MESSAGE]
            self._send(SpareDescriptors(spare, decides_ids=True, used_ids=digests))

    def _send(self, message: msgspec.Struct) -> None:
        cast(Any, self).sendLine(msgspec.json.encode(message))


class ClaimingRelay(Protocol):
    """The new process's relay, as its claim sees it."""

    def claim_finished(self, descriptor: int | None) -> None:
        """Take over the listening descriptor, which the callee owns from then on; None if no process offers one.

        Called once.
        """

    def descriptors_left(self, count: int | None) -> None:
        """Take how many descriptors the old process leaves to this one; None once it is gone."""

    def authority_changed(self, authority: Authority | None) -> None:
        """Ask the old process for each id from now on; None once it is gone."""

    def connection_reported(self, connection: EstablishedConnection) -> None:
        """Handle a connection that is established at the old process, or a change of its load."""

    def connection_ended(self, handle: str) -> None:
        """Handle the end of a connection that the old process had reported."""

    def take_connection(self, connection: HandedConnection, descriptors: tuple[int, int]) -> bool:
        """Go on with a connection, and return whether that succeeded; the descriptors remain the caller's."""


class Claim(ClientFactory):
    """The new process's side: claims the socket from a process that offers it, and follows that process to its end."""

    noisy = False

    def __init__(
        self, reactor: Reactor, location: OfferLocation, relay: ClaimingRelay, used_ids: UsedIds | None = None
    ) -> None:
        """``used_ids`` gets the ids of which the old process tells that they must not be used again."""
        self.reactor = reactor
        self.location = location
        self.relay = relay
        self.used_ids = UsedIds() if used_ids is None else used_ids
        self.offers = location.offers()
        self.predecessor: Predecessor | None = None  # the process that has handed its socket over

    def try_next_offer(self) -> None:
        """Claim the next offer; without one left, there is no old process."""
        if self.offers:
            self.reactor.connectUNIX(self.offers.pop(0), self, SOCKET_TIMEOUT_S)
        else:
            self.relay.claim_finished(None)

    def send_serving(self) -> None:
        """Tell the old process, if there is one, that this one accepts clients."""
        if self.predecessor is not None:
            self.predecessor.send_serving()

    def buildProtocol(self, addr: IAddress | None) -> Predecessor:  # noqa: N802, D102
        return Predecessor(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802, D102
        self.try_next_offer()


@implementer(IFileDescriptorReceiver)
class Predecessor(LineOnlyReceiver):
    """The new process's end of the connection to the old one."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.descriptors: list[int] = []  # received and not passed on yet
        self.ids = RemoteAuthority(claim.reactor, self._send)
        self.timer = claim.reactor.callLater(SOCKET_TIMEOUT_S, self._abort)

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802, D102
        self.descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        try:
            message = _predecessor_decoder.decode(line)
        except msgspec.MsgspecError:
            self._abort()
            return
        relay, first = self.claim.relay, self.claim.predecessor is not self
        if first and not (isinstance(message, SpareDescriptors) and self._sent_listening_socket()):
            self._abort()
            return
        if isinstance(message, SpareDescriptors):
            self.claim.used_ids.add_digests(message.used_ids)
            relay.descriptors_left(message.spare)
        elif isinstance(message, EstablishedConnection):
            relay.connection_reported(message)
        elif isinstance(message, ConnectionEnded):
            relay.connection_ended(message.handle)
        elif isinstance(message, ClaimDecided):
            self.ids.answered(message)
        else:
            self._take_connection(message)
        if first:
            self.timer.cancel()
            self.claim.predecessor = self
            if isinstance(message, SpareDescriptors) and message.decides_ids:
                relay.authority_changed(self.ids)
            relay.claim_finished(self.descriptors.pop(0))

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        if self.timer.active():
            self.timer.cancel()
        for descriptor in self.descriptors:
            os.close(descriptor)
        if self.claim.predecessor is self:
            self.claim.predecessor = None
            self.claim.relay.authority_changed(None)
            self.ids.lost()
            self.claim.relay.descriptors_left(None)
        else:
            self.claim.try_next_offer()

    def send_serving(self) -> None:
        """Tell the old process that this one accepts clients."""
        self._send(Serving())

    def _send(self, message: FromSuccessor) -> None:
        cast(Any, self).sendLine(msgspec.json.encode(message))

    def _take_connection(self, connection: HandedConnection) -> None:
        pair, self.descriptors = self.descriptors[:2], self.descriptors[2:]
        if len(pair) == 2 and self.claim.relay.take_connection(connection, (pair[0], pair[1])):
            self._send(ConnectionTaken(connection.handle))
        for descriptor in pair:
            os.close(descriptor)

    def _sent_listening_socket(self) -> bool:
        return bool(self.descriptors) and _listens_on(self.descriptors[0], self.claim.location.listen)

    def _abort(self) -> None:
        cast(Any, self.transport).abortConnection()


def _listens_on(descriptor: int, address: Address) -> bool:
    """Return whether a descriptor is a socket that listens on this address.

    An offer may hold another socket than its name says; clients would then be accepted from another address.
    """
    try:
        with contextlib.closing(socket.socket(fileno=os.dup(descriptor))) as sock:
            host, port = sock.getsockname()[:2]
            hosts = {info[4][0] for info in socket.getaddrinfo(address.host, address.port, type=socket.SOCK_STREAM)}
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            return bool(listens) and host in hosts and address.port in (0, port)
    except OSError:
        return False
