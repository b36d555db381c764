"""Numbered lines: retransmission until acknowledgement, and suppression of duplicates. Pure.

Each end of a session has one ``Outbox`` and one ``Inbox``. Numbers begin at 1 and have no gaps.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

import msgspec

MAX_OUTBOX_LINES = 64
MAX_OUTBOX_BYTES = 32_768


class NumberedLine(msgspec.Struct, frozen=True):
    """A line on the wire: its number (0 for a bare acknowledgement), the last number its sender holds, and the text."""

    number: int
    acknowledged: int
    text: bytes = b""


def format_line(line: NumberedLine) -> bytes:
    """Return a line as it is written on the wire, without its line ending."""
    return b"#%d +%d %s" % (line.number, line.acknowledged, line.text) if line.number else b"+%d" % line.acknowledged


def parse_line(raw: bytes) -> NumberedLine | None:
    """Parse a numbered line; return None if ``raw`` is not one."""
    if raw[:1] == b"+":
        return NumberedLine(0, int(raw[1:])) if _is_number(raw[1:]) else None
    if raw[:1] != b"#":
        return None
    number, _, rest = raw[1:].partition(b" ")
    acknowledged, _, text = rest.partition(b" ")
    if not _is_number(number) or acknowledged[:1] != b"+" or not _is_number(acknowledged[1:]) or int(number) == 0:
        return None
    return NumberedLine(int(number), int(acknowledged[1:]), text)


def _is_number(raw: bytes) -> bool:
    return 0 < len(raw) <= 15 and raw.isdigit()


class Outbox:
    """Sent lines that the other end has not acknowledged yet."""

    def __init__(self, last_sent: int = 0, lines: tuple[tuple[int, bytes], ...] = ()) -> None:
        self.last_sent = last_sent
        self.lines: deque[tuple[int, bytes]] = deque(lines)
        self.size_bytes = sum(len(text) for _, text in lines)

    def is_full(self) -> bool:
        """Return whether the other end must acknowledge lines before another may be sent."""
        return len(self.lines) >= MAX_OUTBOX_LINES or self.size_bytes >= MAX_OUTBOX_BYTES

    def append(self, text: bytes) -> int:
        """Keep a line until it is acknowledged and return its number; raise OverflowError if the outbox is full."""
        if self.is_full():
            raise OverflowError("outbox is full: the other end has not acknowledged enough lines")
        self.last_sent += 1
        self.lines.append((self.last_sent, text))
        self.size_bytes += len(text)
        return self.last_sent

    def acknowledge(self, number: int) -> bool:
        """Drop all lines up to ``number``, which the other end holds; return False if that was never sent."""
        if number > self.last_sent:
            return False
        while self.lines and self.lines[0][0] <= number:
            self.size_bytes -= len(self.lines.popleft()[1])
        return True

    def lines_after(self, number: int) -> list[tuple[int, bytes]] | None:
        """Return the lines to send again to a peer that holds all up to ``number``; None if they are no longer kept."""
        last_acknowledged = self.last_sent - len(self.lines)
        if not last_acknowledged <= number <= self.last_sent:
            return None
        return [line for line in self.lines if line[0] > number]


class LineVerdict(Enum):
    """What to do with a received line."""

    APPLY = 1
    DUPLICATE = 2  # held already: acknowledge it again
    GAP = 3  # an earlier line is missing: end the connection, and the other end sends again on the next


class Inbox:
    """Tracks which of the other end's lines have been applied."""

    def __init__(self, last_applied: int = 0) -> None:
        self.last_applied = last_applied

    def classify(self, number: int) -> LineVerdict:
        """Return what to do with a line; a line to apply counts only once ``mark_applied`` is called for it."""
        if number <= self.last_applied:
            return LineVerdict.DUPLICATE
        return LineVerdict.APPLY if number == self.last_applied + 1 else LineVerdict.GAP

    def mark_applied(self, number: int) -> None:
        """Note that a line has been applied and recorded; it must be the next one."""
        assert number == self.last_applied + 1
        self.last_applied = number
