"""One attempt at an application server: connect, send, wait, relay, close.

An attempt owns its connection and its timeout. The end of an attempt that is not established yet is reported only once
its socket is closed, so that no second attempt of the request can run at the same time.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from scaledeal import interface as api
from scaledeal.net import wording
from scaledeal.net.app_server import AppServerLink, dial
from scaledeal.net.buffers import BufferPool
from scaledeal.net.lines import END, LineLink
from scaledeal.net.ports import Connector, Reactor, Timer
from scaledeal.net.sides import AttemptEvents

NS_PER_S = 1e9
MAX_LOADS_IN_BLOCK = 4  # LOAD lines that are read of many lines that came at once: a load and a delay, and some more
HALF_CLOSE_TIMEOUT_S = 0.9  # time in which an application server can close a connection whose client has ended sending


class Stage(Enum):
    """The state of an attempt."""

    CONNECTING = 1
    SENDING = 2  # the last byte of the first line is not written yet, so the request can't have run
    WAITING = 3
    ESTABLISHED = 4
    ENDING = 5


class AttemptContext(msgspec.Struct, frozen=True):
    """What all attempts of this relay share."""

    reactor: Reactor
    pool: BufferPool
    now: Callable[[], int]
    read_report: Callable[[bytes], tuple[float, ...]]
    dial_timeout: int  # ns


class Peer(Protocol):
    """The user agent's connection."""

    def established(self, link: LineLink, line: bytes) -> bool:
        """Send the answer to the client and relay lines from now on; return False if the client has left."""

    def pass_on(self, line: bytes) -> None:
        """Send a line to the client."""

    def read_ahead(self) -> None:
        """Read what the client has sent, so that its end is known before its request is sent on."""

    def takes_blocks(self) -> bool:
        """Return whether lines may be passed on as one block, unchanged."""

    def pass_block(self, block: bytes) -> None:
        """Send many lines to the client, with their ends."""


_CLOSING_RESULTS = {wording.BYE: api.Result.OK, wording.MOVE: api.Result.CANCELLED, wording.ERR: api.Result.ERROR}
_ANSWER_RESULTS = {**_CLOSING_RESULTS, wording.BUSY: api.Result.FULL}


class LineAttempt:
    """One attempt over the line protocol."""

    def __init__(self, context: AttemptContext, line: bytes, peer: Peer, events: AttemptEvents) -> None:
        self.context = context
        self.line = line
        self.peer = peer
        self.events = events
        self.stage = Stage.CONNECTING
        self.link = AppServerLink(context.reactor, context.pool, self)
        self.result: api.Result | None = None
        self.report: tuple[float, ...] = ()
        self.result_if_lost = api.Result.RESET  # the result if an established connection ended now
        self.oldest_unanswered_at = 0  # when the oldest message without an answer was sent, in ns; 0 if there is none
        self.client_ended = False  # the client has ended its sending
        self.write_by = 0  # when the first line has to be written at the latest, in ns; 0 without such a limit
        self.connector: Connector | None = None
        self.timer: Timer | None = None

    def begin(self, address: str, wait: int) -> LineAttempt:
        """Connect; the whole attempt may wait ``wait`` nanoseconds for its answer."""
        self.timer = self.context.reactor.callLater(wait / NS_PER_S, self._timed_out)
        connect_timeout = min(wait, self.context.dial_timeout)
        time_to_write = self.events.time_to_write()
        if time_to_write is not None and time_to_write < connect_timeout:
            connect_timeout = time_to_write
            self.write_by = self.context.now() + time_to_write
        self.connector = dial(self.link, address, connect_timeout / NS_PER_S)
        return self

    # Called by the transaction

    def cancel(self) -> None:
        """Cancel the attempt."""
        self._stop(api.Result.CANCELLED)

    def withdraw(self, result: api.Result = api.Result.CONNECT_FAILED) -> None:
        """Cancel the attempt if the last byte of its first line is not written: such a request can't run."""
        if self.stage in (Stage.CONNECTING, Stage.SENDING):
            self._stop(result)

    def client_left(self, broke: bool) -> None:
        """Close an established connection after the client's has ended: in order, or with a reset if ``broke``."""
        if self.stage is not Stage.ESTABLISHED:
            return
        self.stage, self.result = Stage.ENDING, api.Result.CANCELLED
        if broke:
            self.link.reset()
        else:
            self.link.end()

    def client_ended_sending(self) -> None:
        """End the sending as the client did; relay the server's lines for up to ``HALF_CLOSE_TIMEOUT_S``."""
        if self.stage is Stage.ESTABLISHED:
            self.result_if_lost = api.Result.CANCELLED
            self.client_ended = True
            self.link.end_sending()
            self._stop_timer()
            self.timer = self.context.reactor.callLater(HALF_CLOSE_TIMEOUT_S, self._stop, api.Result.CANCELLED)

    def is_out(self) -> bool:
        """Return whether the attempt goes on: it has neither ended nor been given up."""
        return self.stage is not Stage.ENDING

    def unanswered_since(self) -> int:
        """Return since when a message has waited for its answer, in ns on the driver's clock; 0 if none waits."""
        return self.oldest_unanswered_at if self.stage is Stage.ESTABLISHED else 0

    def close_as_broken(self) -> None:
        """Close a connection that returns nothing, and treat it as broken."""
        if self.stage is Stage.ESTABLISHED:
            self._stop(api.Result.RESET)

    def resumed(self, oldest_unanswered_at: int) -> None:
        """Start as established: another process has set up the connection."""
        self.stage, self.oldest_unanswered_at = Stage.ESTABLISHED, oldest_unanswered_at

    def release(self) -> None:
        """Close this process's descriptor of a connection that another process has taken, without ending it."""
        self.stage = Stage.ENDING
        self.link.release()

    # Called by the user agent's side

    def send_message(self, line: bytes) -> None:
        """Send a client's line to the application server."""
        if self.stage is Stage.ESTABLISHED and not self.client_ended:
            self.oldest_unanswered_at = self.oldest_unanswered_at or self.context.now()
            self.link.send(line)

    def send_block(self, block: bytes) -> None:
        """Send many lines of a client to the application server, with their ends."""
        if self.stage is Stage.ESTABLISHED and not self.client_ended:
            self.oldest_unanswered_at = self.oldest_unanswered_at or self.context.now()
            self.link.send_block(block)

    # Events of the connection

    def takes_blocks(self) -> bool:
        """Return whether lines pass unchanged now, so that many of them may be handed over as one block."""
        return self.stage is Stage.ESTABLISHED and self.peer.takes_blocks()

    def link_up(self) -> None:
        """Send the first line, unless the guard forbids it."""
        if self.stage is Stage.CONNECTING:
            self.connector = None
            self.peer.read_ahead()
            if self.stage is not Stage.CONNECTING:
                return  # the client has left, and the attempt with it
            forbidden = self.events.check_write()
            if forbidden is not None:
                self._stop(forbidden)
                return
            self.stage = Stage.SENDING
            self.link.send_first_line(self.line, self._first_line_written)
        elif self.stage is not Stage.ESTABLISHED:
            self.link.reset()

    def connect_failed(self, local: bool) -> None:
        """Report that the connection was not established."""
        self.connector = None
        # What is not the server's fault has a result of its own: a process without free descriptors, or a repeat whose
        # time is short, would otherwise have one server after another suspected.
        not_sent = local or 0 < self.write_by <= self.context.now()
        self._report_end(self.result or (api.Result.NOT_SENT if not_sent else api.Result.CONNECT_FAILED), False)

    def line_received(self, line: bytes) -> None:
        """Handle a line of the application server."""
        if self.stage is Stage.ESTABLISHED:
            self._relay_line(line)
        elif self.stage is not Stage.ENDING:
            self._handle_answer(line)

    def block_received(self, block: bytes) -> None:
        """Pass many lines on; look at those that say something to the relay, of LOAD lines at the last ones."""
        closing = wording.CLOSING_LINE.search(block)
        if closing is not None:
            # The last line is handled like a single one: it ends the connection.
            block, last = block[: closing.start(1)], closing[1]
        loads = wording.LOAD_LINE.findall(block)
        self.peer.pass_block(block)
        for line in loads[-MAX_LOADS_IN_BLOCK:]:
            self._report_load(line)
        if len(loads) < block.count(END):
            self._note_answer(wording.first_word(block[block.rfind(END, 0, -len(END)) + len(END) :].rstrip(END)))
        if closing is not None:
            self._relay_line(last)

    def link_lost(self, broke: bool) -> None:
        """Report the end of the connection."""
        if self.stage is Stage.CONNECTING or self.stage is Stage.SENDING:
            self._report_end(api.Result.CONNECT_FAILED, broke)
        elif self.stage is Stage.ENDING:
            # A reset after BYE, MOVE or a refusal is not passed on: it could destroy the last line before the client
            # has read it.
            self._report_end(self.result or api.Result.RESET, False)
        else:
            self._report_end(self.result_if_lost, broke)

    # Internal methods

    def _first_line_written(self) -> None:
        if self.stage is Stage.SENDING:
            self.stage = Stage.WAITING
            self.line = b""  # not needed any more, for as long as the connection is open
            self.events.request_written()

    def _handle_answer(self, line: bytes) -> None:
        """Handle a line received before the connection is established."""
        word = wording.first_word(line)
        if word == wording.UP:
            self._stop_timer()
            self.stage = Stage.ESTABLISHED
            if self.peer.established(self.link, line):
                self.events.established()
            else:
                # The client has left. A module that may not cancel would leave the connection open without a client.
                self._stop(api.Result.CANCELLED)
        elif word == wording.LOAD:
            self._report_load(line)
        else:
            self.report = self.context.read_report(line)
            self.stage, self.result = Stage.ENDING, _ANSWER_RESULTS.get(word, api.Result.ERROR)
            if word == wording.BYE:
                self.peer.pass_on(line)
            self.link.close()

    def _relay_line(self, line: bytes) -> None:
        """Handle a line of an established connection."""
        word = wording.first_word(line)
        self.peer.pass_on(line)
        if word == wording.LOAD:
            self._report_load(line)
            return
        self._note_answer(word)
        if word in (wording.BYE, wording.MOVE):
            self.report = self.context.read_report(line)
            self.stage, self.result = Stage.ENDING, self.result_if_lost
            self.link.close()

    def _note_answer(self, word: bytes) -> None:
        """Note that the application server has returned a line, the last of which starts with ``word``."""
        if self.oldest_unanswered_at:
            duration = self.context.now() - self.oldest_unanswered_at
            self.oldest_unanswered_at = 0
            self.events.message_answered(duration)
        self.result_if_lost = _CLOSING_RESULTS.get(
            word, api.Result.CANCELLED if self.client_ended else api.Result.RESET
        )

    def _report_load(self, line: bytes) -> None:
        amount = wording.number_or_nan(line.partition(b" ")[2].decode("ascii", "replace"))
        self.events.load_received(amount)

    def _timed_out(self) -> None:
        self.timer = None
        self._stop(api.Result.TIMEOUT)

    def _stop(self, result: api.Result) -> None:
        """Close at once; the end is reported when the socket is closed."""
        if self.stage is Stage.ENDING:
            return
        # A timeout before the first line is written counts as a failed connect, since the request can't have run.
        not_sent = self.stage in (Stage.CONNECTING, Stage.SENDING) and result is api.Result.TIMEOUT
        self.stage, self.result = Stage.ENDING, api.Result.CONNECT_FAILED if not_sent else result
        if self.connector is not None:
            self.connector.stopConnecting()
        else:
            self.link.reset()

    def _report_end(self, result: api.Result, broke: bool) -> None:
        self.stage, self.result = Stage.ENDING, result
        self._stop_timer()
        self.events.attempt_ended(result, self.report, broke)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
