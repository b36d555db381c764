"""A single-threaded event loop that runs until a condition holds, so that tests wait for events and never sleep."""

from __future__ import annotations

import heapq
import selectors
import socket
import time
from collections.abc import Callable
from itertools import count
from typing import Any

DEFAULT_TIMEOUT_S = 10.0  # for a condition to hold


class ConditionTimeoutError(AssertionError):
    """A condition did not hold within its time-out."""


class Loop:
    """Dispatches readable sockets and due timers to their callbacks."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def add_reader(self, sock: socket.socket, callback: Callable[[], None]) -> None:
        """Call back whenever the socket is readable."""
        self.selector.register(sock, selectors.EVENT_READ, callback)

    def remove(self, sock: socket.socket) -> None:
        """Stop calling back for the socket, and close it; without effect on a closed one."""
        if sock.fileno() >= 0:
            self.selector.unregister(sock)
            sock.close()

    def call_at(self, moment: float, callback: Callable[[], None]) -> None:
        """Call back at a moment of ``now()``."""
        heapq.heappush(self._timers, (moment, next(self._order), callback))

    def run_once(self, max_wait: float = 0.05) -> None:
        """Run the callbacks that are due, after waiting at most ``max_wait`` seconds for the first of them."""
        if self._timers:
            max_wait = min(max_wait, max(0.0, self._timers[0][0] - self.now()))
        for key, _ in self.selector.select(max_wait):
            key.data()
        while self._timers and self._timers[0][0] <= self.now():
            heapq.heappop(self._timers)[2]()

    def run_until(
        self, condition: Callable[[], Any], description: str = "", timeout: float = DEFAULT_TIMEOUT_S
    ) -> None:
        """Run until the condition holds; raise ConditionTimeoutError after ``timeout`` seconds."""
        end = self.now() + timeout
        while not condition():
            if self.now() > end:
                raise ConditionTimeoutError(f"timed out waiting for {description or condition}")
            self.run_once()

    def close(self) -> None:
        """Close all registered sockets and the selector."""
        for key in list(self.selector.get_map().values()):
            self.remove(key.fileobj)  # type: ignore[arg-type]
        self.selector.close()
