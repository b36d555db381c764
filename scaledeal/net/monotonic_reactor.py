"""Twisted's epoll reactor with its timers on the monotonic clock.

Twisted's own reactors reckon ``callLater`` by ``time.time``. Where a machine's wall clock is stepped back, every
pending timer is late by the step; where it is stepped forward, every one is due at once. All spans of the relay
(deadlines, waits, windows, graces) hang on these timers, so the process has no other reactor.
"""

from __future__ import annotations

import sys
import time
from typing import Any, cast

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from scaledeal.net.ports import Reactor


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose ``seconds`` never step."""

    seconds = staticmethod(time.monotonic)


def install() -> Reactor:
    """Make it the process's reactor, once, and return it; raise RuntimeError where another one is installed."""
    installed = sys.modules.get("twisted.internet.reactor")
    if installed is None:
        installReactor(cast(Any, MonotonicReactor)())
        installed = sys.modules["twisted.internet.reactor"]
    if not isinstance(installed, MonotonicReactor):
        raise RuntimeError(f"timers would run on the wall clock: {type(installed).__name__} is installed already")
    return cast(Reactor, installed)
