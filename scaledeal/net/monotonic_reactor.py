"""Twisted's epoll reactor with its timers on the monotonic clock.

Twisted's own reactors reckon ``callLater`` by ``time.time``. Where a machine's wall clock is stepped back, every
pending timer is late by the step; where it is stepped forward, every one is due at once. All spans of the relay
(deadlines, waits, windows, graces) hang on these timers, so the process has no other reactor.
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

from scaledeal.net.patient_sockets import PatientConnector
from scaledeal.net.ports import Reactor

TRIES = 64  # tries of an epoll_ctl that fails for want of memory
TRANSIENT = frozenset((errno.ENOMEM, errno.ENOSPC, errno.EINTR))


class PatientPoller:
    """An epoll object that tries again where epoll_ctl(2) fails for a moment.

    Guards against a connection that was taken and is never read, as the one call that registers it failed.
    """

    def __init__(self, size: int) -> None:
        self._epoll = select.epoll(size)
        self.poll, self.close, self.fileno = self._epoll.poll, self._epoll.close, self._epoll.fileno

    def register(self, descriptor: int, events: int) -> None:
        """Add a descriptor."""
        self._again(self._epoll.register, descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Change what is heard of a descriptor."""
        self._again(self._epoll.modify, descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Hear of a descriptor no more."""
        self._again(self._epoll.unregister, descriptor)

    def _again(self, call: Callable[..., object], *args: int) -> None:
        for _ in range(TRIES):
            try:
                call(*args)
                return
            except OSError as error:
                if error.errno not in TRANSIENT:
                    raise
        call(*args)


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose ``seconds`` never step, and that outlives a moment's want of memory."""

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        cast(Any, super()).__init__()
        # Nothing but the waker is registered yet: it is registered anew with the poller that is kept.
        twisted, self._poller = self._poller, PatientPoller(1024)
        for descriptor, _ in list(self._selectables.items()):
            self._poller.register(descriptor, select.EPOLLIN)
        twisted.close()

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Open a connection whose reads and writes outlive a moment's want of memory."""
        connector = PatientConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector


def install() -> Reactor:
    """Make it the process's reactor, once, and return it; raise RuntimeError where another one is installed."""
    installed = sys.modules.get("twisted.internet.reactor")
    if installed is None:
        installReactor(cast(Any, MonotonicReactor)())
        installed = sys.modules["twisted.internet.reactor"]
    if not isinstance(installed, MonotonicReactor):
        raise RuntimeError(f"timers would run on the wall clock: {type(installed).__name__} is installed already")
    return cast(Reactor, installed)
