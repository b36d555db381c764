"""The user agent's side: a client's connection from its first line to its end."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from scaledeal.net import wording
from scaledeal.net.lines import LineLink
from scaledeal.net.proxy_pass import ProxyPass, Trade
from scaledeal.net.sides import Agent, Ask, PassEvents
from scaledeal.net.transaction import Transaction

LONGEST_WAIT = 10**9  # ms; guards against a wait that no timer can hold
FIRST_LINE = 10.0  # seconds that a new connection may stay without a whole first line
CHECKED = 60.0  # seconds that one may stay open between two PINGs


class Stage(Enum):
    """How far a client's connection has come."""

    FIRST = 1
    ASKED = 2
    STANDING = 3
    OVER = 4


class Reception(msgspec.Struct, frozen=True):
    """What all user agents of this relay share."""

    trade: Trade
    classes: dict[str, int]
    take: Callable[[Ask, Agent], Transaction]


class UserAgent(LineLink):
    """A client's connection."""

    def __init__(self, reception: Reception) -> None:
        trade = reception.trade
        super().__init__(trade.reactor, trade.pool)
        self.reception = reception
        self.stage = Stage.FIRST
        self.open_line: wording.OpenLine | None = None
        self.transaction: Transaction | None = None
        self.current: ProxyPass | None = None
        self.early: list[bytes] = []  # lines that came before the answer

    # The client's lines

    def link_up(self) -> None:
        """Guard against a client that never says anything."""
        self._set_timer(FIRST_LINE, self.reset)

    def line_came(self, line: bytes) -> None:
        """Take a line of the client's."""
        if self.stage is Stage.STANDING and self.current is not None:
            self.current.message(line)
        elif self.stage is Stage.FIRST:
            self._first(line)
        elif self.stage is Stage.ASKED:
            self.early.append(line)
            if self.wire is not None:
                self.wire.pauseProducing()

    def bad_line(self) -> None:
        """Answer a line that is too long."""
        if self.stage is Stage.FIRST:
            self._reject()
        else:
            self.reset()

    def sending_ended(self) -> None:
        """Hear that the client ended its sending: as with an attempt, it gives up what it asked for."""
        if self.stage is Stage.FIRST:
            self._reject()
        elif self.stage is Stage.ASKED:
            self._leave(False)
            self.send(wording.ERR)
            self.end()
        elif self.stage is Stage.STANDING and self.transaction is not None:
            # What the application server still has to say passes until it ends its own sending.
            self.transaction.sending_ended()

    def link_lost(self, broke: bool) -> None:
        """Hear that the connection is over."""
        self._leave(broke)

    def _first(self, line: bytes) -> None:
        if line == wording.PING:
            self.send(wording.PONG)
            self._set_timer(CHECKED, self.end)
            return
        read = wording.read_open(line)
        number = self.reception.classes.get(read.get("c")) if read else None
        if read is None or number is None:
            self._reject()
            return
        self._stop_timer()
        self.stage, self.open_line = Stage.ASKED, read
        now = self.reception.trade.now()
        self.transaction = self.reception.take(Ask(
            request_class=number,
            deadline=now + min(int(read.get("d")), LONGEST_WAIT) * wording.MS,
            key=read.key,
            group=read.get("g"),
            tenant=int(wording.number(read.get("t"))),
            returning=read.get("again") == "1",
            load_hint=wording.number(read.get("h")) / 1000,  # nanoseconds a second, as in the simulator
            standing_at=read.get("at"),
        ), self)

    def _reject(self) -> None:
        """Answer what is no request."""
        self.stage = Stage.OVER
        self.send(wording.ERR)
        self.end()

    def _leave(self, broke: bool) -> None:
        self.stage = Stage.OVER
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.gone(broke)

    # What the transaction calls

    def begin_pass(self, address: str, wait: int, events: PassEvents) -> ProxyPass:
        """Start one attempt."""
        assert self.open_line is not None
        line = self.open_line.with_wait(wait)
        self.current = ProxyPass(self.reception.trade, line, self, events)
        return self.current.begin(address, wait)

    def refuse(self, retry_after: int) -> None:
        """Answer that trying again is harmless."""
        wait = -(-retry_after // wording.MS)
        self._answer(b"%s %d" % (wording.BUSY, wait) if wait > 0 else wording.BUSY)

    def fail(self) -> None:
        """Answer that it failed."""
        self._answer(wording.ERR)

    def move(self) -> None:
        """Tell the client to come again; lines are whole here, so this stands between two of them."""
        self._answer(wording.MOVE)

    def ended(self, broke: bool) -> None:
        """Close as the application server's side did."""
        self.stage, self.transaction = Stage.OVER, None
        if broke:
            self.reset()
        else:
            self.end()

    def _answer(self, line: bytes) -> None:
        self.stage, self.transaction = Stage.OVER, None
        self.send(line)
        self.end()

    # What the proxy pass calls

    def stands(self, link: LineLink, line: bytes) -> bool:
        """Pass on the answer; from here on lines go both ways. Tell whether the client is still there."""
        if self.stage is not Stage.ASKED:
            return False
        self.stage = Stage.STANDING
        self.send(line)
        self.paired_with(link)
        link.paired_with(self)
        early, self.early = self.early, []
        for each in early:
            self.line_came(each)
        if early and self.wire is not None and not self.closing:
            self.wire.resumeProducing()
        return True

    def pass_on(self, line: bytes) -> None:
        """Pass a line on to the client."""
        self.send(line)
