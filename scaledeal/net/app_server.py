"""The application server's side: a connection to one, and how it is opened."""

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
from scaledeal.net.socket_errors import is_own_fault


class LinkEvents(Protocol):
    """Who owns a connection to an application server and hears of it."""

    def link_up(self) -> None:
        """Hear that the connection stands."""

    def connect_failed(self, ours: bool) -> None:
        """Hear that it never came up; ``ours``: for want of a socket here, which says nothing of the server."""

    def line_came(self, line: bytes) -> None:
        """Hear a line."""

    def link_lost(self, broke: bool) -> None:
        """Hear that it is over."""


class AppServerLink(LineLink):
    """A connection to an application server; its owner hears everything."""

    def __init__(self, reactor: Reactor, pool: BufferPool, owner: LinkEvents) -> None:
        super().__init__(reactor, pool)
        self.owner = owner
        self.first: _FirstLine | None = None  # the first line, until its last byte is written

    def link_up(self) -> None:
        """Pass it on."""
        self.owner.link_up()

    def line_received(self, line: bytes) -> None:
        """Pass it on."""
        self.owner.line_came(line)

    def peer_ended_sending(self) -> None:
        """Treat the end of an application server's sending as the end of the connection."""
        self.close()

    def link_lost(self, broke: bool) -> None:
        """Pass it on."""
        self.owner.link_lost(broke)

    def send_first(self, line: bytes, written: Callable[[], None]) -> None:
        """Queue a line and call back once its last byte is written."""
        if self.wire is not None:
            self.first = _FirstLine(self, line + END, written)
            self.wire.registerProducer(self.first, False)

    def close(self) -> None:
        """Close once what is queued is written, but for a first line: one that is not out yet never is."""
        # Guards against a request that is written whole to a server which ended the connection first: told as never
        # sent it is tried again elsewhere, and both may run.
        if self.first is not None:
            self.reset()
        else:
            super().close()


class _FirstLine:
    """Asked for more by the transport once all before is written: so it knows when its line is out."""

    def __init__(self, link: AppServerLink, data: bytes, written: Callable[[], None]) -> None:
        self.link, self.data, self.written = link, data, written

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if self.link.wire is None:
            return
        if self.data:
            data, self.data = self.data, b""
            self.link.wire.write(data)
        else:
            self.link.wire.unregisterProducer()
            self.link.first = None
            self.written()

    def stopProducing(self) -> None:  # noqa: N802, D102
        """Nothing: the link's owner hears of the end."""


class _Dial(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, link: AppServerLink) -> None:
        self.link = link

    def buildProtocol(self, addr: IAddress | None) -> AppServerLink:  # noqa: N802, D102
        return self.link

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802, D102
        self.link.owner.connect_failed(_ours(reason))


def _ours(reason: Failure) -> bool:
    """Tell whether a connection did not come up for want of a socket, an address or memory here."""
    bind_failed = reason.check(error.ConnectBindError) is not None
    return bind_failed or is_own_fault(getattr(reason.value, "osError", None))


def dial(link: AppServerLink, address: str, timeout: float) -> Connector | None:
    """Open a connection; one that does not stand in time counts as failed. None where that can't even begin."""
    host, _, port = address.rpartition(":")
    try:
        return link.reactor.connectTCP(host, int(port), _Dial(link), timeout)
    except (ValueError, OSError) as failure:
        # Guards against an attempt of which no end is told: the decision module would wait for it for ever.
        ours = isinstance(failure, OSError)
        link.reactor.callLater(0, lambda: link.owner.connect_failed(ours))
        return None
