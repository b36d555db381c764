"""A connection that speaks lines: the one owner of its socket, its buffer and its closing timers."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from twisted.internet import error
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from scaledeal.net.buffers import MAX_LINE_BYTES, BufferPool
from scaledeal.net.ports import Reactor, Timer, Transport

END = b"\r\n"
READ = 2 * MAX_LINE_BYTES  # bytes read at once, and bytes queued for a slow peer before the other side pauses
LINGER = 0.9  # seconds that a peer gets to take the last lines before its connection is reset
DISCARDED = 1 << 18  # bytes read and dropped while closing; then a peer that sends on is not read any more
STALL = 10.0  # seconds that a peer may take nothing while lines wait for it


@implementer(IHalfCloseableProtocol)
class LineLink(LineOnlyReceiver):
    """One end of a TCP connection; a subclass hears ``line_came``, ``sending_ended`` and ``link_lost``."""

    delimiter = END

    def __init__(self, reactor: Reactor, pool: BufferPool) -> None:
        self.reactor = reactor
        self.pool = pool
        self.wire: Transport | None = None  # none before the connection stands and after it is lost
        self.closing = False  # no line is taken or sent any more
        self.closed_here = False  # once it is over: whether this end closed it
        self._part: bytearray | None = None
        self._filled = 0
        self._timer: Timer | None = None  # the linger while closing, the stall while the sink takes nothing
        self._sink: LineLink | None = None
        self._peer_ended = False
        self._discarded = 0

    # What a subclass fills in

    def line_came(self, line: bytes) -> None:
        """Take one line, its end cut off."""

    def part_came(self, part: bytes) -> None:
        """Hear what has come so far of a line that is not whole."""

    def bad_line(self) -> None:
        """Hear that a line was too long; the connection is of no more use."""
        self.reset()

    def sending_ended(self) -> None:
        """Hear that the peer ended its sending."""

    def link_up(self) -> None:
        """Hear that the connection stands."""

    def link_lost(self, broke: bool) -> None:
        """Hear that the connection is over, and whether it broke."""

    # What others call

    def send(self, line: bytes) -> None:
        """Queue one line."""
        if self.wire is not None and not self.closing:
            self.wire.write(line + END)

    def end(self) -> None:
        """Write what is queued, end the sending and close once the peer has ended its own.

        Guards against a last line that the peer never reads: closing with its lines unread would reset it.
        """
        if self._begin_closing() is not None and self.wire is not None:
            if self._peer_ended:
                self.wire.loseConnection()
            else:
                self.wire.resumeProducing()
                self.wire.loseWriteConnection()

    def close(self) -> None:
        """Close once what is queued is written, whatever the peer still says."""
        if self._begin_closing() is not None and self.wire is not None:
            self.wire.loseConnection()

    def reset(self) -> None:
        """Close now, whatever is queued."""
        if self.wire is not None:
            self.closing = True
            self.wire.abortConnection()

    def break_off(self) -> None:
        """Write what the peer takes now, and close; a reset alone takes along what the loop has not written yet."""
        if self.wire is not None and self.wire in self.reactor.getWriters():
            self.wire.doWrite()
        self.reset()

    def end_sending(self) -> None:
        """End the sending once what is queued is written."""
        if self.wire is not None and not self.closing:
            self.wire.loseWriteConnection()

    def paired_with(self, other: LineLink) -> None:
        """Pause this end's reading while the other end has too much queued."""
        if self.wire is not None and other.wire is not None and not (self.closing or other.closing):
            self._sink = other
            other.wire.registerProducer(self, True)

    def partial(self) -> bool:
        """Tell whether a line has begun that is not whole."""
        return self._part is not None

    # Another process

    def quiet(self) -> bool:
        """Tell whether nothing is under way here: the connection can be handed over."""
        idle = self.wire is not None and not self.closing and not self._peer_ended
        return idle and self.wire not in self.reactor.getWriters()

    def hold(self) -> tuple[int, bytes]:
        """Stop reading; return the descriptor, and what has come of a line that is not whole."""
        assert self.wire is not None
        self.wire.pauseProducing()
        return self.wire.getHandle().fileno(), bytes(memoryview(self._part or b"")[: self._filled])

    def go_on(self) -> None:
        """Read on after ``hold``."""
        if self.wire is not None:
            self.wire.resumeProducing()

    def let_go(self) -> None:
        """Give up the socket without ending the connection: another process has it."""
        wire, self.wire, self.closing = self.wire, None, True
        self._stop_timer()
        self._give_back()
        if wire is not None:
            wire.unregisterProducer()
            wire.stopReading()
            wire.stopWriting()
            # Guards against an end that the peer would see: closed here, and not shut down.
            wire.getHandle().close()

    # The producer that the other end's transport pauses

    def pauseProducing(self) -> None:  # noqa: N802, D102
        if self.wire is not None and not self.closing:
            self.wire.pauseProducing()
            self._set_timer(STALL, self._stalled)

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if self.wire is not None and not self.closing:
            self._stop_timer()
            self.wire.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802, D102
        """Nothing: the owners of both ends close them."""

    # Twisted's side

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.wire = cast(Transport, self.transport)
        self.wire.bufferSize = READ
        self.wire.setTcpNoDelay(True)
        self.link_up()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        if self.closing:
            self._discard(len(data))
            return
        if self._part is not None:
            data = bytes(memoryview(self._part)[: self._filled]) + data
            self._give_back()
        *lines, rest = data.split(self.delimiter)
        for line in lines:
            if self.closing:
                return
            if len(line) + len(self.delimiter) > MAX_LINE_BYTES:
                self.bad_line()
                return
            self.line_came(line)
        if not rest or self.closing:
            return
        if len(rest) >= MAX_LINE_BYTES:
            self.bad_line()
            return
        self._part, self._filled = self.pool.take(), len(rest)
        self._part[: len(rest)] = rest
        self.part_came(rest)

    def readConnectionLost(self) -> None:  # noqa: N802, D102
        self._peer_ended = True
        if not self.closing:
            self.sending_ended()
        elif self.wire is not None:
            self.wire.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802, D102
        """Nothing: the end of the connection is told by ``connectionLost``."""

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        self.wire = None
        self.closing, self.closed_here = True, self.closing
        self._stop_timer()
        self._give_back()
        self.link_lost(reason.check(error.ConnectionDone, error.ConnectionAborted) is None)

    def _discard(self, count: int) -> None:
        # Guards against a peer that has 60 MB to send after its last answer: reading it is of no use.
        self._discarded += count
        if self._discarded > DISCARDED and self.wire is not None:
            self.wire.pauseProducing()

    def _begin_closing(self) -> Timer | None:
        if self.wire is None or self.closing:
            return None
        self.closing = True
        self.wire.unregisterProducer()
        return self._set_timer(LINGER, self.reset)

    def _stalled(self) -> None:
        """Guard against a silent peer that holds on to both connections and to all that is queued."""
        if self._sink is not None:
            self._sink.reset()

    def _set_timer(self, delay: float, call: Callable[[], None]) -> Timer:
        self._stop_timer()
        self._timer = self.reactor.callLater(delay, call)
        return self._timer

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _give_back(self) -> None:
        if self._part is not None:
            self.pool.give_back(self._part)
        self._part = None
