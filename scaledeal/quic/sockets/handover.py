"""Hands the UDP socket over to a new process of this relay, through a Unix socket in the folder that both share.

The new process connects, receives the socket, and reports when it is ready to serve. The old process then stops
reading and replies with the set-ups that it still has to answer. The new process drops repeated datagrams of those, so
each flow gets one answer, from one process. Established flows need no transfer: their ids encode their servers.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

import msgspec
import structlog
from twisted.internet import unix
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress, IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from scaledeal.net.config import Address, ConfigError
from scaledeal.net.handover import OfferLocation
from scaledeal.net.offers import next_offer_path
from scaledeal.net.ports import Port
from scaledeal.quic.core.table import FlowState

if TYPE_CHECKING:
    from scaledeal.quic.sockets.side import QuicSide

log = structlog.get_logger("scaledeal.quic")

SOCKET_TIMEOUT_S = 1.0  # for the old process to pass its socket
PREDECESSOR_SETUPS_S = 5.0  # how long repeated datagrams of the old process's set-ups are left to it
MAX_LINE_BYTES = 1 << 20  # the longest line is the list of set-ups


class PredecessorSetups(msgspec.Struct, frozen=True):
    """Set-ups that the old process answers: client host, client port, first destination id."""

    set_ups: list[tuple[str, int, bytes]]


class QuicOfferLocation(OfferLocation, frozen=True):
    """Where the offers of the relay at one UDP address are found."""

    @property
    def prefix(self) -> str:
        """Return the common prefix of these offers' file names."""
        return "sq-" + super().prefix.removeprefix("sd-")


class Handover:
    """Owns the connection to an old process that offers its socket, and this process's offer to a new one."""

    def __init__(self, side: QuicSide) -> None:
        self.side = side
        self.location: QuicOfferLocation | None = None
        self.listen: Address | None = None
        self.offers: list[str] = []  # paths still to be tried
        self.predecessor: _PredecessorConnection | None = None  # the old process, once it has passed its socket
        self.offer_port: Port | None = None  # listens on the Unix socket of this process's own offer
        self.successor: _SuccessorConnection | None = None
        self.opened = self.wants_to_serve = self.serving = False

    # As the new process

    def begin(self, folder: Path | None, listen: Address) -> None:
        """Request the socket from an old process, or bind one if none offers it; raise ConfigError if binding fails."""
        self.listen = listen
        self.location = QuicOfferLocation(folder, listen) if folder is not None else None
        self.offers = self.location.offers() if self.location is not None else []
        if self.offers:
            self._try_next_offer()
        else:
            self.open_socket(None)

    def _try_next_offer(self) -> None:
        if self.offers:
            self.side.reactor.connectUNIX(self.offers.pop(0), _ClaimFactory(self), SOCKET_TIMEOUT_S)
            return
        try:
            self.open_socket(None)
        except ConfigError as error:
            self.side.relay.fail_start(error)

    def open_socket(self, descriptor: int | None) -> None:
        """Open the listener on an inherited descriptor, or bind a socket; raise ConfigError if that fails."""
        assert self.listen is not None
        self.side.listener.open(self.side.reactor, self.listen, descriptor)
        self.opened = True
        if self.wants_to_serve:
            self.serve()

    def serve(self) -> None:
        """Start serving as soon as the socket is open and the old process has stopped reading."""
        self.wants_to_serve = True
        if not self.opened or self.serving:
            return
        if self.predecessor is not None:
            cast(Any, self.predecessor).sendLine(b"serving")
        else:
            self.start_reading([])

    def start_reading(self, set_ups: list[tuple[str, int, bytes]]) -> None:
        """Start reading datagrams, except those of set-ups that the old process answers."""
        if self.serving:
            return
        self.serving = True
        self.side.router.predecessor_setups = frozenset(((host, port), dcid) for host, port, dcid in set_ups)
        if set_ups:
            self.side.reactor.callLater(PREDECESSOR_SETUPS_S, self._forget_predecessor_setups)
        self.side.listener.set_reading(True)
        log.info("quic is served", port=self.side.listener.bound_port, left_to_the_old_process=len(set_ups))
        self._offer()

    def _forget_predecessor_setups(self) -> None:
        self.side.router.predecessor_setups = frozenset()

    def predecessor_lost(self, connection: _PredecessorConnection) -> None:
        """Handle the loss of a connection to an old process.

        Without a socket yet, try the next offer; else serve without waiting for the old process any longer.
        """
        if not self.opened:
            self._try_next_offer()
        elif self.predecessor is connection:
            self.predecessor = None
            if self.wants_to_serve:
                self.start_reading([])

    # As the old process

    def _offer(self) -> None:
        if self.location is None:
            return
        # With port 0 configured, the actual port: a new process is configured with that one.
        location = self.location = QuicOfferLocation(
            self.location.folder, Address(self.location.listen.host, self.side.listener.bound_port)
        )
        path = str(next_offer_path(location.folder, location.prefix))
        try:
            offer_port = cast(Any, unix.Port)(path, _OfferFactory(self), 4, 0o600, self.side.reactor)
            offer_port.startListening()
            self.offer_port = offer_port
        except (CannotListenError, OSError) as error:
            # A folder that can't be written is no reason to stop: the relay serves, without handover to a successor.
            log.warning("can't offer the quic socket to a new version", reason=str(error))

    def hand_over(self) -> list[tuple[str, int, bytes]]:
        """Stop reading, and return the set-ups that this process still answers; incomplete ones are removed."""
        self.side.listener.set_reading(False)
        table = self.side.router.table
        answered_here = [flow for flow in table.flows if flow.state in (FlowState.REQUESTED, FlowState.REJECTED)]
        for flow in [flow for flow in table.flows if flow.state is FlowState.AWAITING_HELLO]:
            # The remaining datagrams reach the new process, which starts the set-up anew from the client's repeats.
            self.side.carry_out(self.side.router.close_flow(flow, self.side.now(), False))
        log.info(
            "a new version serves quic",
            answered_here=len(answered_here),
            standing_here=len(table.flows) - len(answered_here),
        )
        return [(*flow.source, flow.dcid) for flow in answered_here]

    def successor_lost(self) -> None:
        """Resume reading after the connection to the new process is lost."""
        self.successor = None
        if self.serving and not self.side.closed:
            log.warning("the new version is gone: this process reads quic datagrams again")
            self.side.listener.set_reading(True)

    def close(self) -> None:
        """Stop offering the socket."""
        if self.offer_port is not None:
            with contextlib.suppress(OSError):
                self.offer_port.stopListening()
            self.offer_port = None


class _OfferFactory(ServerFactory):
    noisy = False

    def __init__(self, handover: Handover) -> None:
        self.handover = handover

    def buildProtocol(self, addr: IAddress | None) -> _SuccessorConnection:  # noqa: N802
        return _SuccessorConnection(self.handover)


class _SuccessorConnection(LineOnlyReceiver):
    """The old process's end of the connection, which passes the socket."""

    def __init__(self, handover: Handover) -> None:
        self.handover = handover

    def connectionMade(self) -> None:  # noqa: N802
        if self.handover.successor is not None:
            cast(Any, self.transport).loseConnection()
            return
        self.handover.successor = self
        cast(Any, self.transport).sendFileDescriptor(self.handover.side.listener.port.fileno())
        cast(Any, self).sendLine(b"socket")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line == b"serving" and self.handover.successor is self:
            set_ups = self.handover.hand_over()
            cast(Any, self).sendLine(msgspec.json.encode(PredecessorSetups(set_ups)))

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008
        if self.handover.successor is self:
            self.handover.successor_lost()


class _ClaimFactory(ClientFactory):
    noisy = False

    def __init__(self, handover: Handover) -> None:
        self.handover = handover

    def buildProtocol(self, addr: IAddress | None) -> _PredecessorConnection:  # noqa: N802
        return _PredecessorConnection(self.handover)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self.handover._try_next_offer()


@implementer(IFileDescriptorReceiver)
class _PredecessorConnection(LineOnlyReceiver):
    """The new process's end of the connection; owns the received descriptors, as the listener duplicates them."""

    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.descriptors: list[int] = []
        self.timer = handover.side.reactor.callLater(SOCKET_TIMEOUT_S, self._give_up)

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802
        self.descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            if line == b"socket" and self.descriptors and not self.handover.opened:
                self.timer.cancel()
                self.handover.predecessor = self
                self.handover.open_socket(self.descriptors[0])
            else:
                self.handover.start_reading(msgspec.json.decode(line, type=PredecessorSetups).set_ups)
        except (msgspec.MsgspecError, ConfigError):
            self._give_up()

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008
        if self.timer.active():
            self.timer.cancel()
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.handover.predecessor_lost(self)

    def _give_up(self) -> None:
        cast(Any, self.transport).abortConnection()
