"""Limits on the size of an HTTP answer: of its header, and of its body while that is read."""

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


class BodyTooLongError(Exception):
    """A body that is longer than its limit."""


class _BodyReader(Protocol):
    def __init__(self, max_bytes: int) -> None:
        self.remaining = max_bytes
        self.parts: list[bytes] = []
        self.finished: Deferred[bytes] = Deferred(lambda _: self._close())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.remaining -= len(data)
        if self.remaining >= 0:
            self.parts.append(data)
            return
        self.parts.clear()  # otherwise an answer could fill the memory while its connection still closes
        if not self.finished.called:
            self.finished.errback(BodyTooLongError("the answer's body exceeds the size limit of a list"))
            self._close()

    def connectionLost(self, reason: Failure = Failure(ResponseDone())) -> None:  # noqa: N802, B008, D102
        if self.finished.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.finished.callback(b"".join(self.parts))
        else:
            self.finished.errback(reason)

    def _close(self) -> None:
        # A body's transport has no abortConnection(); without this an endless answer would keep its connection.
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def read_body(response: Any, max_bytes: int) -> Deferred[bytes]:
    """Return the body of the response; one longer than ``max_bytes`` fails with ``BodyTooLongError``.

    Cancelling the Deferred closes the connection, and so does a body that is too long.
    """
    reader = _BodyReader(max_bytes)
    response.deliverBody(reader)
    return reader.finished


@implementer(IAgentEndpointFactory)
class HeaderLimit:
    """Opens the connections of an HTTP client that has one call at a time, and resets one whose header is too long.

    The client itself limits the length of a header line but not their number, so that an endless header could fill
    the memory until the call times out.
    """

    def __init__(self, reactor: Any, connect_timeout: float, max_bytes: int) -> None:
        """Allow a connection ``connect_timeout`` seconds to open, and a header ``max_bytes``."""
        self.reactor = reactor
        self.connect_timeout = connect_timeout
        self.max_bytes = max_bytes
        self.remaining = max_bytes
        self.reading = False  # a call is out whose header has not begun or is not complete
        self.too_long = False

    def call_started(self) -> None:
        """Start to count the header of a new call's answer."""
        self.remaining, self.reading, self.too_long = self.max_bytes, True, False

    def header_complete(self) -> None:
        """Stop counting: the header of the answer is complete."""
        self.reading = False

    def endpointForURI(self, uri: URI) -> _CountingEndpoint:  # noqa: N802, D102
        return _CountingEndpoint(
            self, HostnameEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.connect_timeout)
        )

    def bytes_received(self, size: int, transport: Any) -> None:
        """Count bytes read from a connection, and reset it where the header exceeds the limit."""
        if self.reading:
            self.remaining -= size
            if self.remaining < 0:
                self.too_long, self.reading = True, False
                transport.abortConnection()


class _CountingEndpoint:
    """An endpoint whose connections report how many bytes they have read."""

    def __init__(self, limit: HeaderLimit, inner: HostnameEndpoint) -> None:
        self.limit, self.inner = limit, inner

    def connect(self, factory: Any) -> Deferred[Any]:
        connected: Deferred[Any] = self.inner.connect(factory)
        return connected.addCallback(self._count_bytes)

    def _count_bytes(self, client: Any) -> Any:
        data_received = client.dataReceived

        def counted(data: bytes) -> None:
            data_received(data)
            self.limit.bytes_received(len(data), client.transport)

        client.dataReceived = counted
        return client
