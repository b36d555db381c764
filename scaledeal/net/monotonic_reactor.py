"""Twisted's epoll reactor with its timers on the monotonic clock.

Twisted's own reactors measure ``callLater`` by ``time.time``. When a machine's wall clock is stepped back, every
pending timer is late by the step; when it is stepped forward, every one fires at once. All time spans of the relay
(deadlines, waits, windows, graces) depend on these timers, so the process uses no other reactor.
"""

from __future__ import annotations

import errno
import select
import sys
import time
from collections.abc import Callable
from typing import Any, cast

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from scaledeal.net.ports import Reactor
from scaledeal.net.retrying_sockets import RetryingConnector

MAX_EPOLL_CTL_RETRIES = 64  # tries of an epoll_ctl that fails with a transient error, before a last one
TRANSIENT_ERRNOS = frozenset((errno.ENOMEM, errno.ENOSPC, errno.EINTR))


class RetryingPoller:
    """An epoll object that retries epoll_ctl(2) after transient errors.

    An accepted connection is registered by a single call: if it fails, the connection is never read.
    """

    def __init__(self, size: int) -> None:
        self._epoll = select.epoll(size)
        self.poll, self.close, self.fileno = self._epoll.poll, self._epoll.close, self._epoll.fileno

    def register(self, descriptor: int, events: int) -> None:
        """Add a descriptor."""
        self._retry(self._epoll.register, descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Change the events that are polled for a descriptor."""
        self._retry(self._epoll.modify, descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Remove a descriptor."""
        self._retry(self._epoll.unregister, descriptor)

    def _retry(self, call: Callable[..., object], *args: int) -> None:
        for _ in range(MAX_EPOLL_CTL_RETRIES):
            try:
                call(*args)
                return
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS:
                    raise
        call(*args)


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose ``seconds`` never steps, and which survives a transient shortage of memory."""

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        cast(Any, super()).__init__()
        # Only the waker is registered so far; it is registered again with the poller that replaces Twisted's.
        twisted_poller, self._poller = self._poller, RetryingPoller(1024)
        for descriptor, _ in list(self._selectables.items()):
            self._poller.register(descriptor, select.EPOLLIN)
        twisted_poller.close()

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Open a connection whose reads and writes survive transient errors."""
        connector = RetryingConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector


def install() -> Reactor:
    """Install the process's reactor once and return it; raise RuntimeError if another one is installed."""
    installed = sys.modules.get("twisted.internet.reactor")
    if installed is None:
        installReactor(cast(Any, MonotonicReactor)())
        installed = sys.modules["twisted.internet.reactor"]
    if not isinstance(installed, MonotonicReactor):
        raise RuntimeError(
            f"{type(installed).__name__} is installed already: its timers would depend on the wall clock"
        )
    return cast(Reactor, installed)
