"""One attempt at an application server: connect, send, wait, relay, close.

It owns its connection and the timer of its wait. Before the connection stands, its end is told only once the
socket is closed, so that no second attempt can be out beside it.
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
from scaledeal.net.lines import LineLink
from scaledeal.net.ports import Connector, Reactor, Timer
from scaledeal.net.sides import AttemptEvents

SECOND = 1e9
HALF_CLOSED = 0.9  # seconds that an application server gets to end what its client has ended


class Stage(Enum):
    """How far an attempt has come."""

    CONNECTING = 1
    SENDING = 2  # the first line's last byte is not written yet: it can't have run
    WAITING = 3
    STANDING = 4
    ENDING = 5


class AttemptContext(msgspec.Struct, frozen=True):
    """What all attempts of this relay share."""

    reactor: Reactor
    pool: BufferPool
    now: Callable[[], int]
    read_report: Callable[[bytes], tuple[float, ...]]
    dial_timeout: int


class Peer(Protocol):
    """The user agent's connection."""

    def stands(self, link: LineLink, line: bytes) -> bool:
        """Pass on the answer; from here on lines go both ways. Tell whether the client is still there."""

    def pass_on(self, line: bytes) -> None:
        """Pass a line on to the client."""


_ENDINGS = {wording.BYE: api.Result.OK, wording.MOVE: api.Result.CANCELLED, wording.ERR: api.Result.ERROR}
_ANSWERS = {**_ENDINGS, wording.BUSY: api.Result.FULL}


class LineAttempt:
    """One attempt."""

    def __init__(self, context: AttemptContext, line: bytes, peer: Peer, events: AttemptEvents) -> None:
        self.context = context
        self.line = line
        self.peer = peer
        self.events = events
        self.stage = Stage.CONNECTING
        self.link = AppServerLink(context.reactor, context.pool, self)
        self.result: api.Result | None = None
        self.report: tuple[float, ...] = ()
        self.last_word = api.Result.RESET  # how the connection ended, if it ended now
        self.asked_at = 0  # when the oldest line without an answer was passed on
        self.parting = False  # the client has ended its sending
        self.connector: Connector | None = None
        self.timer: Timer | None = None

    def begin(self, address: str, wait: int) -> LineAttempt:
        """Connect; the whole attempt may wait so many nanoseconds for its answer."""
        self.timer = self.context.reactor.callLater(wait / SECOND, self._timed_out)
        self.connector = dial(self.link, address, min(wait, self.context.dial_timeout) / SECOND)
        return self

    # What the transaction calls

    def give_up(self) -> None:
        """Stop waiting."""
        self._stop(api.Result.CANCELLED)

    def withdraw(self, result: api.Result = api.Result.CONNECT_FAILED) -> None:
        """Give up what has not been sent yet: a first line of which the last byte is not written can't run."""
        if self.stage in (Stage.CONNECTING, Stage.SENDING):
            self._stop(result)

    def leave(self, broke: bool) -> None:
        """End a connection that stands: the user agent's side is over."""
        if self.stage is not Stage.STANDING:
            return
        self.stage, self.result = Stage.ENDING, api.Result.CANCELLED
        if broke:
            self.link.reset()
        else:
            self.link.end()

    def client_ended_sending(self) -> None:
        """End the sending as the client did; what the application server still says passes for a while."""
        if self.stage is Stage.STANDING:
            self.last_word = api.Result.CANCELLED
            self.parting = True
            self.link.end_sending()
            self._stop_timer()
            self.timer = self.context.reactor.callLater(HALF_CLOSED, self._stop, api.Result.CANCELLED)

    def silent_since(self) -> int:
        """Return since when a message has waited for its answer, or 0."""
        return self.asked_at if self.stage is Stage.STANDING else 0

    def break_off(self) -> None:
        """Take a connection that returns nothing as broken."""
        if self.stage is Stage.STANDING:
            self._stop(api.Result.RESET)

    def resumed(self, asked_at: int) -> None:
        """Stand from the beginning: another process has brought it up."""
        self.stage, self.asked_at = Stage.STANDING, asked_at

    def let_go(self) -> None:
        """Give up a connection that another process has."""
        self.stage = Stage.ENDING
        self.link.release()

    # What the user agent's side calls

    def message(self, line: bytes) -> None:
        """Pass a client's line on."""
        if self.stage is Stage.STANDING and not self.parting:
            self.asked_at = self.asked_at or self.context.now()
            self.link.send(line)

    # News of the connection

    def link_up(self) -> None:
        """Send the first line."""
        if self.stage is Stage.CONNECTING:
            self.connector = None
            if not self.events.may_write():
                self._stop(api.Result.CONNECT_FAILED)
                return
            self.stage = Stage.SENDING
            self.link.send_first(self.line, self._written)
        elif self.stage is not Stage.STANDING:
            self.link.reset()

    def connect_failed(self, ours: bool) -> None:
        """Hear that the connection never came up."""
        self.connector = None
        # Guards against servers suspected one by one because this process has no descriptor left.
        self._over(self.result or (api.Result.NOT_SENT if ours else api.Result.CONNECT_FAILED), False)

    def line_came(self, line: bytes) -> None:
        """Take a line of the application server's."""
        if self.stage is Stage.STANDING:
            self._pass_on(line)
        elif self.stage is not Stage.ENDING:
            self._answer(line)

    def link_lost(self, broke: bool) -> None:
        """Hear that the connection is over."""
        if self.stage is Stage.CONNECTING or self.stage is Stage.SENDING:
            self._over(api.Result.CONNECT_FAILED, broke)
        elif self.stage is Stage.ENDING:
            # Guards against a last word that the client never reads: resets are passed on, partings are not.
            self._over(self.result or api.Result.RESET, False)
        else:
            self._over(self.last_word, broke)

    # Inside

    def _written(self) -> None:
        if self.stage is Stage.SENDING:
            self.stage = Stage.WAITING
            self.events.request_written()

    def _answer(self, line: bytes) -> None:
        """Take a line that comes before the connection stands."""
        word = wording.first_word(line)
        if word == wording.UP:
            self._stop_timer()
            self.stage = Stage.STANDING
            if self.peer.stands(self.link, line):
                self.events.established()
            else:
                # Guards against a connection that stands for nobody, where the module may not cancel.
                self._stop(api.Result.CANCELLED)
        elif word == wording.LOAD:
            self._load(line)
        else:
            self.report = self.context.read_report(line)
            self.stage, self.result = Stage.ENDING, _ANSWERS.get(word, api.Result.ERROR)
            if word == wording.BYE:
                self.peer.pass_on(line)
            self.link.close()

    def _pass_on(self, line: bytes) -> None:
        """Take a line of a connection that stands."""
        word = wording.first_word(line)
        self.peer.pass_on(line)
        if word == wording.LOAD:
            self._load(line)
            return
        if self.asked_at:
            took = self.context.now() - self.asked_at
            self.asked_at = 0
            self.events.message_answered(took)
        self.last_word = _ENDINGS.get(word, api.Result.CANCELLED if self.parting else api.Result.RESET)
        if word in (wording.BYE, wording.MOVE):
            self.report = self.context.read_report(line)
            self.stage, self.result = Stage.ENDING, self.last_word
            self.link.close()

    def _load(self, line: bytes) -> None:
        amount = wording.number_or_nan(line.partition(b" ")[2].decode("ascii", "replace"))
        self.events.load_received(amount)

    def _timed_out(self) -> None:
        self.timer = None
        self._stop(api.Result.TIMEOUT)

    def _stop(self, result: api.Result) -> None:
        """Close at once; the end is told when the socket is closed."""
        if self.stage is Stage.ENDING:
            return
        # Guards against a connection that never came up counting as one that may have run.
        early = self.stage in (Stage.CONNECTING, Stage.SENDING) and result is api.Result.TIMEOUT
        self.stage, self.result = Stage.ENDING, api.Result.CONNECT_FAILED if early else result
        if self.connector is not None:
            self.connector.stopConnecting()
        else:
            self.link.reset()

    def _over(self, result: api.Result, broke: bool) -> None:
        self.stage, self.result = Stage.ENDING, result
        self._stop_timer()
        self.events.attempt_ended(result, self.report, broke)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
