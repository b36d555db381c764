"""Hands the UDP socket to a new version of this relay, over a Unix socket in the folder that both share.

The new process connects and is passed the socket; it says when it serves. The old one then reads no more, and
answers with the set-ups that it still owes an answer: the new one drops repeats of those, so each flow gets one
answer, from one process. What stands needs no words: ids say where it belongs.
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
from scaledeal.net.handover import Place
from scaledeal.net.offers import next_offer
from scaledeal.net.ports import Port
from scaledeal.quic.core.table import FlowState

if TYPE_CHECKING:
    from scaledeal.quic.sockets.side import QuicSide

log = structlog.get_logger("scaledeal.quic")

PATIENCE = 1.0  # seconds that the old process gets to hand its socket over
SPARED = 5.0  # seconds for which repeats of the old process's set-ups are left to it
LONGEST = 1 << 20  # bytes of the list of set-ups


class Spared(msgspec.Struct, frozen=True):
    """Set-ups that the old process answers: clients' addresses and first ids."""

    set_ups: list[tuple[str, int, bytes]]


class QuicPlace(Place, frozen=True):
    """Where the offers of one UDP address lie."""

    @property
    def prefix(self) -> str:
        """Return how the names of these offers begin."""
        return "sq-" + super().prefix.removeprefix("sd-")


class Handover:
    """Owns the claim on an old process's socket, and the offer to a new one."""

    def __init__(self, side: QuicSide) -> None:
        self.side = side
        self.place: QuicPlace | None = None
        self.listen: Address | None = None
        self.offers: list[str] = []
        self.heir: _Heir | None = None  # the connection to the old process
        self.port: Port | None = None  # the Unix socket of our own offer
        self.successor: _Giver | None = None
        self.opened = self.wants_to_serve = self.serving = False

    # As the new process

    def begin(self, folder: Path | None, listen: Address) -> None:
        """Ask whoever offers a socket, or bind one; raise ConfigError where there is none to be had."""
        self.listen = listen
        self.place = QuicPlace(folder, listen) if folder is not None else None
        self.offers = self.place.offers() if self.place is not None else []
        if self.offers:
            self._next()
        else:
            self.come(None)

    def _next(self) -> None:
        if self.offers:
            self.side.reactor.connectUNIX(self.offers.pop(0), _Claim(self), PATIENCE)
            return
        try:
            self.come(None)
        except ConfigError as error:
            self.side.relay._give_up(error)

    def come(self, descriptor: int | None) -> None:
        """Take the socket that was handed over, or bind one."""
        assert self.listen is not None
        self.side.front.open(self.side.reactor, self.listen, descriptor)
        self.opened = True
        if self.wants_to_serve:
            self.serve()

    def serve(self) -> None:
        """Read datagrams, once the socket is there and the old process reads no more."""
        self.wants_to_serve = True
        if not self.opened or self.serving:
            return
        if self.heir is not None:
            cast(Any, self.heir).sendLine(b"serving")
        else:
            self.read_on([])

    def read_on(self, spared: list[tuple[str, int, bytes]]) -> None:
        """Begin to read; the old process answers these set-ups."""
        if self.serving:
            return
        self.serving = True
        self.side.router.predecessor_setups = frozenset(((host, port), dcid) for host, port, dcid in spared)
        if spared:
            self.side.reactor.callLater(SPARED, self._spare_none)
        self.side.front.serve(True)
        log.info("quic is served", port=self.side.front.number, left_to_the_old_process=len(spared))
        self._offer()

    def _spare_none(self) -> None:
        self.side.router.predecessor_setups = frozenset()

    def heir_lost(self, heir: _Heir) -> None:
        """Hear that the old process is gone."""
        if not self.opened:
            self._next()
        elif self.heir is heir:
            self.heir = None
            if self.wants_to_serve:
                self.read_on([])

    # As the old process

    def _offer(self) -> None:
        if self.place is None:
            return
        # The port that is in fact taken: a new version is told that one.
        place = self.place = QuicPlace(self.place.folder, Address(self.place.listen.host, self.side.front.number))
        path = str(next_offer(place.folder, place.prefix))
        try:
            port = cast(Any, unix.Port)(path, _Offer(self), 4, 0o600, self.side.reactor)
            port.startListening()
            self.port = port
        except (CannotListenError, OSError) as error:
            # Guards against a folder that can't be written: the relay serves without a successor.
            log.warning("no offer to a new version", reason=str(error))

    def succeeded(self) -> list[tuple[str, int, bytes]]:
        """Read no more, and return the set-ups that are answered here."""
        self.side.front.serve(False)
        table = self.side.router.table
        asked = [flow for flow in table.flows if flow.state in (FlowState.REQUESTED, FlowState.REJECTED)]
        for flow in [flow for flow in table.flows if flow.state is FlowState.AWAITING_HELLO]:
            # The rest of it comes to the new process, which begins it anew from the client's repeats.
            self.side.carry_out(self.side.router.close_flow(flow, self.side.now(), False))
        log.info("a new version serves quic", answered_here=len(asked), standing_here=len(table.flows) - len(asked))
        return [(*flow.source, flow.dcid) for flow in asked]

    def successor_lost(self) -> None:
        """Hear that the new version is gone: read again."""
        self.successor = None
        if self.serving and not self.side.closed:
            log.warning("the new version is gone: quic is read here again")
            self.side.front.serve(True)

    def close(self) -> None:
        """Withdraw the offer."""
        if self.port is not None:
            with contextlib.suppress(OSError):
                self.port.stopListening()
            self.port = None


class _Offer(ServerFactory):
    noisy = False

    def __init__(self, handover: Handover) -> None:
        self.handover = handover

    def buildProtocol(self, addr: IAddress | None) -> _Giver:  # noqa: N802
        return _Giver(self.handover)


class _Giver(LineOnlyReceiver):
    """The old process's end."""

    def __init__(self, handover: Handover) -> None:
        self.handover = handover

    def connectionMade(self) -> None:  # noqa: N802
        if self.handover.successor is not None:
            cast(Any, self.transport).loseConnection()
            return
        self.handover.successor = self
        cast(Any, self.transport).sendFileDescriptor(self.handover.side.front.port.fileno())
        cast(Any, self).sendLine(b"socket")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if line == b"serving" and self.handover.successor is self:
            set_ups = self.handover.succeeded()
            cast(Any, self).sendLine(msgspec.json.encode(Spared(set_ups)))

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008
        if self.handover.successor is self:
            self.handover.successor_lost()


class _Claim(ClientFactory):
    noisy = False

    def __init__(self, handover: Handover) -> None:
        self.handover = handover

    def buildProtocol(self, addr: IAddress | None) -> _Heir:  # noqa: N802
        return _Heir(self.handover)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self.handover._next()


@implementer(IFileDescriptorReceiver)
class _Heir(LineOnlyReceiver):
    """The new process's end; it owns a descriptor until the front has a duplicate."""

    MAX_LENGTH = LONGEST

    def __init__(self, handover: Handover) -> None:
        self.handover = handover
        self.descriptors: list[int] = []
        self.timer = handover.side.reactor.callLater(PATIENCE, self._give_up)

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802
        self.descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            if line == b"socket" and self.descriptors and not self.handover.opened:
                self.timer.cancel()
                self.handover.heir = self
                self.handover.come(self.descriptors[0])
            else:
                self.handover.read_on(msgspec.json.decode(line, type=Spared).set_ups)
        except (msgspec.MsgspecError, ConfigError):
            self._give_up()

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008
        if self.timer.active():
            self.timer.cancel()
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.handover.heir_lost(self)

    def _give_up(self) -> None:
        cast(Any, self.transport).abortConnection()
