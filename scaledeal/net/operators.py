"""Server of the operators' address: a connection takes one call on one line, gets one answer and is closed."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scaledeal.net.buffers import BufferPool
from scaledeal.net.lines import LineLink
from scaledeal.net.ports import Reactor

MAX_CALLERS = 8  # at once; admission sets their descriptors aside
CALL_TIMEOUT_S = 2.0  # for a caller to send its whole line

Call = Callable[[], str]  # carries out a call; the first line of the answer starts with ok or fail


class Caller(LineLink):
    """An operator's connection."""

    delimiter = b"\n"  # with or without a CR before it, as operators also type calls by hand

    def __init__(self, operators: Operators) -> None:
        super().__init__(operators.reactor, operators.pool)
        self.operators = operators

    def link_up(self) -> None:
        """Register the caller, and start the time-out that ends a connection on which no whole call comes."""
        self.operators.add(self)
        self._set_timer(CALL_TIMEOUT_S, lambda: self._answer(f"fail no call received within {CALL_TIMEOUT_S:.0f} s"))

    def line_received(self, line: bytes) -> None:
        """Answer the call."""
        self._answer(self.operators.answer(line))

    def line_too_long(self) -> None:
        """Refuse a line that is too long."""
        self._answer("fail line too long")

    def peer_ended_sending(self) -> None:
        """Refuse a caller that has ended its sending before the end of its line."""
        self._answer("fail sending ended before the end of the line")

    def link_lost(self, broke: bool) -> None:
        """Unregister the caller."""
        self.operators.remove(self)

    def _answer(self, text: str) -> None:
        self._stop_timer()
        for line in text.split("\n"):
            self.send(line.encode())
        self.end()


class Operators(ServerFactory):
    """Answers calls by name, and bounds the number of callers."""

    noisy = False

    def __init__(self, reactor: Reactor, pool: BufferPool, calls: Mapping[bytes, Call]) -> None:
        self.reactor = reactor
        self.pool = pool
        self.calls = calls
        self.callers: dict[Caller, None] = {}  # oldest first

    def buildProtocol(self, addr: IAddress | None) -> Caller:  # noqa: N802, D102
        return Caller(self)

    def add(self, caller: Caller) -> None:
        """Register a caller, and reset the oldest connection if there are too many."""
        # Without this bound, callers that stall or come in large numbers would hold up other calls and clients.
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            oldest = next(iter(self.callers))
            self.remove(oldest)
            oldest.reset()

    def remove(self, caller: Caller) -> None:
        """Unregister a caller."""
        self.callers.pop(caller, None)

    def answer(self, line: bytes) -> str:
        """Carry out the call on this line, and return its answer."""
        call = self.calls.get(line.strip())
        if call is None:
            return f"fail unknown call; calls are {', '.join(name.decode() for name in self.calls)}"
        return call()
