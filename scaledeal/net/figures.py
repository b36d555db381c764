"""The figures that operators read: counts of what has happened, and levels read at that moment."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec


class EndCause(Enum):
    """Why a request or a connection that stood is over."""

    REFUSED = "refused"  # answered BUSY
    FAILED = "failed"  # answered ERR
    OVERDUE = "overdue"  # answered ERR at its deadline, as the module held it
    CLIENT_LEFT = "client_left"
    SERVER_ENDED = "server_ended"
    SERVER_BROKE = "server_broke"  # its connection was reset, or returned nothing for too long
    MOVED = "moved"  # by the module
    SENT_AWAY = "sent_away"  # by a drain, or the end of this process
    HANDED_OVER = "handed_over"  # another process of this relay has it


class Counts(msgspec.Struct):
    """What has happened to the requests of one class, since this process started."""

    fulfilled: int = 0
    throttled: int = 0
    faulted: int = 0
    relayed: int = 0


class Figures:
    """One ``Counts`` for each class."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self.classes = classes
        self.counts = tuple(Counts() for _ in classes)
        self.ended: Counter[EndCause] = Counter()

    def lines(self, levels: dict[str, int]) -> list[str]:
        """Return every figure on a line of its own, the levels last."""
        told = []
        for name in Counts.__struct_fields__:
            for label, counts in zip(self.classes, self.counts, strict=True):
                told.append(f'relay_{name}_total{{priority="{_escaped(label)}"}} {getattr(counts, name)}')
        told += [f'relay_ended_total{{why="{cause.value}"}} {self.ended[cause]}' for cause in EndCause]
        return told + [f"relay_{name} {value}" for name, value in levels.items()]


def _escaped(label: str) -> str:
    """Guard against a class name that breaks the line, or the quotes, that it stands in."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
