"""A connection to an application server, and how it is opened."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet import error
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from scaledeal.net.buffers import BufferPool
from scaledeal.net.lines import END, LineLink
from scaledeal.net.ports import Connector, Reactor
from scaledeal.net.socket_errors import is_local_failure


class LinkEvents(Protocol):
    """The owner of a connection to an application server, which receives its events."""

    def link_up(self) -> None:
        """Handle the establishment of the connection."""

    def connect_failed(self, local: bool) -> None:
        """Handle a failed connect; ``local``: this machine lacked a socket, so it says nothing about the server."""

    def line_received(self, line: bytes) -> None:
        """Handle one line, without its end."""

    def link_lost(self, broke: bool) -> None:
        """Handle the end of the connection; ``broke`` is False if it was closed in order or by this end."""

    def takes_blocks(self) -> bool:
        """Return whether many lines that are read at once are handed over as one block."""

    def block_received(self, block: bytes) -> None:
        """Handle many lines, with their ends."""


class AppServerLink(LineLink):
    """A connection to an application server; every event goes to its owner."""

    def __init__(self, reactor: Reactor, pool: BufferPool, owner: LinkEvents) -> None:
        super().__init__(reactor, pool)
        self.owner = owner
        self.first_line: _FirstLineProducer | None = None  # set until the last byte of the first line is written

    def link_up(self) -> None:
        """Forward the event to the owner."""
        self.owner.link_up()

    def line_received(self, line: bytes) -> None:
        """Forward the line to the owner."""
        self.owner.line_received(line)

    def takes_blocks(self) -> bool:
        """Leave it to the owner."""
        return self.owner.takes_blocks()

    def block_received(self, block: bytes) -> None:
        """Forward the lines to the owner."""
        self.owner.block_received(block)

    def peer_ended_sending(self) -> None:
        """Treat the end of an application server's sending as the end of the connection."""
        self.close()

    def link_lost(self, broke: bool) -> None:
        """Forward the event to the owner."""
        self.owner.link_lost(broke)

    def send_first_line(self, line: bytes, on_written: Callable[[], None]) -> None:
        """Queue the first line and call ``on_written`` once its last byte is written."""
        if self.wire is not None:
            self.first_line = _FirstLineProducer(self, line + END, on_written)
            self.wire.registerProducer(self.first_line, False)

    def close(self) -> None:
        """Close once the queued lines are written; reset if the first line is not completely written yet."""
        # Were the rest of the first line still written to a server that has ended the connection, the request would be
        # reported as never sent and tried at another server, and both servers might run it.
        if self.first_line is not None:
            self.reset()
        else:
            super().close()


class _FirstLineProducer:
    """A pull producer of the first line: the transport asks it again once the line's last byte is written."""

    def __init__(self, link: AppServerLink, data: bytes, on_written: Callable[[], None]) -> None:
        self.link, self.data, self.on_written = link, data, on_written

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if self.link.wire is None:
            return
        if self.data:
            data, self.data = self.data, b""
            self.link.wire.write(data)
        else:
            self.link.wire.unregisterProducer()
            self.link.first_line = None
            self.on_written()

    def stopProducing(self) -> None:  # noqa: N802, D102
        """Do nothing: the link's owner receives ``link_lost``."""


class _LinkFactory(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, link: AppServerLink) -> None:
        self.link = link

    def buildProtocol(self, addr: IAddress | None) -> AppServerLink:  # noqa: N802, D102
        return self.link

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802, D102
        self.link.owner.connect_failed(_failed_locally(reason))


def _failed_locally(reason: Failure) -> bool:
    """Return whether a connect failed because this machine lacked a socket, a local address or memory."""
    bind_failed = reason.check(error.ConnectBindError) is not None
    return bind_failed or is_local_failure(getattr(reason.value, "osError", None))


def dial(link: AppServerLink, address: str, timeout: float) -> Connector | None:
    """Open a connection, which fails after ``timeout`` seconds; return None if it fails before it begins."""
    host, _, port = address.rpartition(":")
    try:
        return link.reactor.connectTCP(host, int(port), _LinkFactory(link), timeout)
    except (ValueError, OSError) as failure:
        # Without this event the attempt would have no end, and the decision module would wait for it for ever.
        local = isinstance(failure, OSError)
        link.reactor.callLater(0, lambda: link.owner.connect_failed(local))
        return None
