"""The metrics that operators read: counters of events, and gauges read at the time of the call."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec


class EndCause(Enum):
    """Why a request or an established connection is over."""

    REFUSED = "refused"  # answered BUSY
    FAILED = "failed"  # answered ERR
    OVERDUE = "overdue"  # answered ERR at its deadline, as the decision module left it unanswered
    CLIENT_LEFT = "client_left"
    SERVER_ENDED = "server_ended"
    SERVER_BROKE = "server_broke"  # the server's connection was reset, or returned nothing for too long
    MOVED = "moved"  # by the decision module
    SENT_AWAY = "sent_away"  # moved by a drain, or by the end of this process
    HANDED_OVER = "handed_over"  # another process of this relay has it


class Counts(msgspec.Struct):
    """Counters of the requests of one class, since this process started."""

    fulfilled: int = 0
    throttled: int = 0
    faulted: int = 0
    relayed: int = 0


class Figures:
    """One ``Counts`` for each class, and the causes of all ends."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self.classes = classes
        self.counts = tuple(Counts() for _ in classes)
        self.ended: Counter[EndCause] = Counter()

    def lines(self, gauges: dict[str, int]) -> list[str]:
        """Return one line for each metric, the gauges last."""
        lines = []
        for name in Counts.__struct_fields__:
            for label, counts in zip(self.classes, self.counts, strict=True):
                lines.append(f'relay_{name}_total{{priority="{_escaped(label)}"}} {getattr(counts, name)}')
        lines += [f'relay_ended_total{{why="{cause.value}"}} {self.ended[cause]}' for cause in EndCause]
        return lines + [f"relay_{name} {value}" for name, value in gauges.items()]


def _escaped(label: str) -> str:
    """Escape backslashes, quotes and line feeds, which would end the label's value or its line."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
