"""The address that only operators call: one line, one answer, close."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scaledeal.net.buffers import BufferPool
from scaledeal.net.lines import LineLink
from scaledeal.net.ports import Reactor

CALLERS = 8  # callers at once; their descriptors are set aside by the admission
CALL_TIME = 2.0  # seconds that a caller gets for its line

Call = Callable[[], str]  # what a call does: returns its answer, whose first line starts with ok or fail


class Caller(LineLink):
    """An operator's connection."""

    delimiter = b"\n"  # with or without a CR before it: staff call by hand

    def __init__(self, operators: Operators) -> None:
        super().__init__(operators.reactor, operators.pool)
        self.operators = operators

    def link_up(self) -> None:
        """Guard against a caller that never says anything, or only half a call."""
        self.operators.come(self)
        self._set_timer(CALL_TIME, lambda: self._answer(f"fail no call came within {CALL_TIME:.0f} s"))

    def line_received(self, line: bytes) -> None:
        """Take the call."""
        self._answer(self.operators.answer(line))

    def line_too_long(self) -> None:
        """Answer a line that is too long."""
        self._answer("fail line too long")

    def peer_ended_sending(self) -> None:
        """Answer a caller that ended its sending before its line did."""
        self._answer("fail half a call")

    def link_lost(self, broke: bool) -> None:
        """Be gone."""
        self.operators.gone(self)

    def _answer(self, text: str) -> None:
        self._stop_timer()
        for line in text.split("\n"):
            self.send(line.encode())
        self.end()


class Operators(ServerFactory):
    """Knows the calls, and who is calling."""

    noisy = False

    def __init__(self, reactor: Reactor, pool: BufferPool, calls: Mapping[bytes, Call]) -> None:
        self.reactor = reactor
        self.pool = pool
        self.calls = calls
        self.callers: dict[Caller, None] = {}  # the oldest first

    def buildProtocol(self, addr: IAddress | None) -> Caller:  # noqa: N802, D102
        return Caller(self)

    def come(self, caller: Caller) -> None:
        """Take a caller; where there are too many, the oldest gives way."""
        # Guards against callers that stall or come in crowds: neither a call nor a client waits for them.
        self.callers[caller] = None
        if len(self.callers) > CALLERS:
            oldest = next(iter(self.callers))
            self.gone(oldest)
            oldest.reset()

    def gone(self, caller: Caller) -> None:
        """Hear that a caller's connection is over."""
        self.callers.pop(caller, None)

    def answer(self, line: bytes) -> str:
        """Carry out a call."""
        call = self.calls.get(line.strip())
        if call is None:
            return f"fail unknown call; calls are {', '.join(name.decode() for name in self.calls)}"
        return call()
