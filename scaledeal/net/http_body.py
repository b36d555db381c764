"""Bounds an answer over HTTP in bytes: its header, and its body as that is read."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import URI, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


class TooLongError(Exception):
    """A body that goes on past its bound."""


class _Body(Protocol):
    def __init__(self, most: int) -> None:
        self.left = most
        self.parts: list[bytes] = []
        self.whole: Deferred[bytes] = Deferred(lambda _: self._end())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.left -= len(data)
        if self.left >= 0:
            self.parts.append(data)
            return
        self.parts.clear()  # guards against an answer that fills the memory while its connection still closes
        if not self.whole.called:
            self.whole.errback(TooLongError("the answer is longer than any list"))
            self._end()

    def connectionLost(self, reason: Failure = Failure(ResponseDone())) -> None:  # noqa: N802, B008, D102
        if self.whole.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.whole.callback(b"".join(self.parts))
        else:
            self.whole.errback(reason)

    def _end(self) -> None:
        # Guards against an answer without an end that keeps its connection: a body's transport can't be aborted.
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def read_body(response: Any, most: int) -> Deferred[bytes]:
    """Return what the response holds, ``most`` bytes at most: one that is longer fails with ``TooLongError``.

    Cancelled, it ends the connection; so does a body that is too long.
    """
    body = _Body(most)
    response.deliverBody(body)
    return body.whole


@implementer(IAgentEndpointFactory)
class HeaderBound:
    """Opens the connections of an HTTP client that has one call out, and resets one whose header has no end.

    Guards against a header that fills the memory up to the end of a wait: the client itself bounds a line of it, and
    not their number.
    """

    def __init__(self, reactor: Any, connect: float, most: int) -> None:
        """``connect`` is how many seconds a connection may take, ``most`` the bytes of a header."""
        self.reactor = reactor
        self.connect_time = connect
        self.most = most
        self.left = most
        self.reading = False  # a call is out whose answer has not begun, or whose header goes on
        self.too_long = False

    def begins(self) -> None:
        """Hear that a call goes out."""
        self.left, self.reading, self.too_long = self.most, True, False

    def ended(self) -> None:
        """Hear that its answer's header is whole."""
        self.reading = False

    def endpointForURI(self, uri: URI) -> _Bounded:  # noqa: N802, D102
        return _Bounded(self, HostnameEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.connect_time))

    def came(self, size: int, transport: Any) -> None:
        """Hear that so many bytes have been read."""
        if self.reading:
            self.left -= size
            if self.left < 0:
                self.too_long, self.reading = True, False
                transport.abortConnection()


class _Bounded:
    """An endpoint whose connections tell how many bytes they have read."""

    def __init__(self, bound: HeaderBound, inner: HostnameEndpoint) -> None:
        self.bound, self.inner = bound, inner

    def connect(self, factory: Any) -> Deferred[Any]:
        connected: Deferred[Any] = self.inner.connect(factory)
        return connected.addCallback(self._counted)

    def _counted(self, client: Any) -> Any:
        read = client.dataReceived

        def counted(data: bytes) -> None:
            read(data)
            self.bound.came(len(data), client.transport)

        client.dataReceived = counted
        return client
