"""A connection of the line protocol; it alone owns its socket, its buffer and its closing timers."""

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
from scaledeal.net.reading_turns import ReadingTurns

END = b"\r\n"
READ_BYTES = 2 * MAX_LINE_BYTES  # read at once; also queued for a slow peer before the other end pauses reading
CLOSE_TIMEOUT_S = 0.9  # time in which a peer can read the last lines before its connection is reset
MAX_DISCARDED_BYTES = 1 << 18  # read and dropped while closing; beyond it the peer's data is not read any more
MAX_SINGLE_LINES = 8  # more lines that are read at once are handled as one block, where their owner takes blocks
STALL_TIMEOUT_S = 10.0  # time in which a peer may read nothing while lines are queued for it


@implementer(IHalfCloseableProtocol)
class LineLink(LineOnlyReceiver):
    """One end of a TCP connection; a subclass overrides the callbacks, such as ``line_received``."""

    delimiter = END

    def __init__(self, reactor: Reactor, pool: BufferPool) -> None:
        self.reactor = reactor
        self.pool = pool
        self.wire: Transport | None = None  # None before the connection is established and after it is lost
        self.closing = False  # lines are neither received nor sent any more
        self.closed_here = False  # once the connection is over: whether this end closed it
        self.bytes_received = 0
        self._partial: bytearray | None = None
        self._partial_size = 0
        self._timer: Timer | None = None  # the close timeout while closing, the stall timeout while reading is paused
        self._sink: LineLink | None = None
        self._turns: ReadingTurns | None = None
        self._waits_for_turn = False  # reading is paused until then
        self._paused_by_sink = False
        self._peer_ended = False
        self._discarded = 0

    # Callbacks that a subclass overrides

    def line_received(self, line: bytes) -> None:
        """Handle one line, without its end."""

    def takes_blocks(self) -> bool:
        """Return whether many lines that are read at once are handed to ``block_received``."""
        return False

    def block_received(self, block: bytes) -> None:
        """Handle many lines at once, each with its end and none of them too long."""

    def partial_line_received(self, part: bytes) -> None:
        """Handle the beginning of an incomplete line: all of it that has been received so far."""

    def line_too_long(self) -> None:
        """Handle a line above ``MAX_LINE_BYTES``; no further line of the connection can be used."""
        self.reset()

    def peer_ended_sending(self) -> None:
        """Handle the end of the peer's sending."""

    def link_up(self) -> None:
        """Handle the establishment of the connection."""

    def link_lost(self, broke: bool) -> None:
        """Handle the end of the connection; ``broke`` is False if it was closed in order or by this end."""

    # Methods that other objects call

    def send(self, line: bytes) -> None:
        """Queue one line; ignored if the connection is closing or lost."""
        self.send_block(line + END)

    def send_block(self, block: bytes) -> None:
        """Queue lines with their ends; ignored if the connection is closing or lost."""
        if self.wire is not None and not self.closing:
            self.wire.write(block)

    def end(self) -> None:
        """Write the queued lines, end the sending, and close once the peer has ended its own sending.

        Closing while lines of the peer are unread would reset the connection, and the peer might never read the last
        line.
        """
        if self._begin_closing() is not None and self.wire is not None:
            if self._peer_ended:
                self.wire.loseConnection()
            else:
                self.wire.resumeProducing()
                self.wire.loseWriteConnection()

    def close(self) -> None:
        """Close once the queued lines are written, whatever the peer still sends."""
        if self._begin_closing() is not None and self.wire is not None:
            self.wire.loseConnection()

    def reset(self) -> None:
        """Reset the connection at once and drop the queued lines."""
        if self.wire is not None:
            self.closing = True
            self.wire.abortConnection()

    def flush_and_reset(self) -> None:
        """Write what the socket takes now, then reset; a reset alone drops all that the reactor has not written yet."""
        if self.wire is not None and self.wire in self.reactor.getWriters():
            self.wire.doWrite()
        self.reset()

    def end_sending(self) -> None:
        """End the sending once the queued lines are written."""
        if self.wire is not None and not self.closing:
            self.wire.loseWriteConnection()

    def set_sink(self, other: LineLink) -> None:
        """Pause this end's reading while the other end, to which its lines go, has too much queued."""
        if self.wire is not None and other.wire is not None and not (self.closing or other.closing):
            self._sink = other
            other.wire.registerProducer(self, True)

    def take_turns(self, turns: ReadingTurns) -> None:
        """Take turns with other connections from now on, whenever this one has sent much in one read."""
        self._turns = turns

    def read_on(self) -> None:
        """Read again at this connection's turn."""
        if self._waits_for_turn:
            self._waits_for_turn = False
            if self.wire is not None and not self.closing and not self._paused_by_sink:
                self.wire.resumeProducing()

    def has_partial_line(self) -> bool:
        """Return whether the beginning of an incomplete line has been received."""
        return self._partial is not None

    # Hand-over to another process

    def is_idle(self) -> bool:
        """Return whether the connection can be handed over: it is open in both directions and nothing is queued."""
        idle = self.wire is not None and not self.closing and not self._peer_ended
        return idle and self.wire not in self.reactor.getWriters()

    def pause_for_handover(self) -> tuple[int, bytes]:
        """Stop reading; return the descriptor and the beginning of an incomplete line.

        The connection must be established.
        """
        assert self.wire is not None
        self._waits_for_turn = False
        self.wire.pauseProducing()
        return self.wire.getHandle().fileno(), bytes(memoryview(self._partial or b"")[: self._partial_size])

    def resume_after_handover(self) -> None:
        """Resume reading after ``pause_for_handover``: no other process has taken the connection."""
        if self.wire is not None:
            self.wire.resumeProducing()

    def release(self) -> None:
        """Close the descriptor without ending the connection: another process has it."""
        wire, self.wire, self.closing = self.wire, None, True
        self._stop_timer()
        self._free_buffer()
        if wire is not None:
            wire.unregisterProducer()
            wire.stopReading()
            wire.stopWriting()
            # Not shut down: a shutdown would end the connection for the peer and for the other process.
            wire.getHandle().close()

    # IPushProducer: the other end's transport pauses this end

    def pauseProducing(self) -> None:  # noqa: N802, D102
        if self.wire is not None and not self.closing:
            self._paused_by_sink = True
            self.wire.pauseProducing()
            self._set_timer(STALL_TIMEOUT_S, self._stalled)

    def resumeProducing(self) -> None:  # noqa: N802, D102
        self._paused_by_sink = False
        if self.wire is not None and not self.closing:
            self._stop_timer()
            if not self._waits_for_turn:
                self.wire.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802, D102
        """Do nothing: the owners of both ends close them."""

    # Twisted's protocol callbacks

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.wire = cast(Transport, self.transport)
        self.wire.bufferSize = READ_BYTES
        self.wire.setTcpNoDelay(True)
        self.link_up()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.bytes_received += len(data)
        if len(data) >= MAX_LINE_BYTES and self._turns is not None and self.wire is not None and not self.closing:
            self._wait_for_turn(self._turns, self.wire)
        if self.closing:
            self._discard(len(data))
            return
        if self._partial is not None:
            data = bytes(memoryview(self._partial)[: self._partial_size]) + data
            self._free_buffer()
        # The work and the memory for each line would make a peer that sends very short ones hold up all others.
        block_end = data.rfind(END) + len(END)
        if self.takes_blocks() and data.count(END) > MAX_SINGLE_LINES and not has_long_line(data[:block_end]):
            block, data = data[:block_end], data[block_end:]
            self.block_received(block)
        *lines, rest = data.split(self.delimiter)
        for line in lines:
            if self.closing:
                return
            if len(line) + len(self.delimiter) > MAX_LINE_BYTES:
                self.line_too_long()
                return
            self.line_received(line)
        if not rest or self.closing:
            return
        if len(rest) >= MAX_LINE_BYTES:
            self.line_too_long()
            return
        self._partial, self._partial_size = self.pool.take(), len(rest)
        self._partial[: len(rest)] = rest
        self.partial_line_received(rest)

    def _wait_for_turn(self, turns: ReadingTurns, wire: Transport) -> None:
        if not self._waits_for_turn:
            self._waits_for_turn = True
            wire.pauseProducing()
            turns.wait(self)

    def readConnectionLost(self) -> None:  # noqa: N802, D102
        self._peer_ended = True
        if not self.closing:
            self.peer_ended_sending()
        elif self.wire is not None:
            self.wire.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802, D102
        """Do nothing: ``connectionLost`` follows at the end of the connection."""

    def connectionLost(self, reason: Failure = cast(Failure, None)) -> None:  # noqa: N802, B008, D102
        self.wire = None
        self.closing, self.closed_here = True, self.closing
        self._stop_timer()
        self._free_buffer()
        self.link_lost(reason.check(error.ConnectionDone, error.ConnectionAborted) is None)

    def _discard(self, count: int) -> None:
        # Stop reading a peer that sends on, for example 60 MB, after its last answer.
        self._discarded += count
        if self._discarded > MAX_DISCARDED_BYTES and self.wire is not None:
            self.wire.pauseProducing()

    def _begin_closing(self) -> Timer | None:
        if self.wire is None or self.closing:
            return None
        self.closing, self._waits_for_turn = True, False
        self.wire.unregisterProducer()
        return self._set_timer(CLOSE_TIMEOUT_S, self.reset)

    def _stalled(self) -> None:
        """Reset a peer that reads nothing: it would keep both connections and all queued lines for ever."""
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

    def _free_buffer(self) -> None:
        if self._partial is not None:
            self.pool.give_back(self._partial)
        self._partial = None


def has_long_line(block: bytes) -> bool:
    """Return whether a block of whole lines has one above ``MAX_LINE_BYTES``, in a time by its bytes alone."""
    start = 0
    while len(block) - start > MAX_LINE_BYTES:
        end = block.rfind(END, start, start + MAX_LINE_BYTES)
        if end < 0:
            return True
        start = end + len(END)
    return False
