"""Discovery: what it knows of the processes, how late, and the calls for it, handled in turn.

A change shows after the drawn time for its kind, at discovery's next round. A call costs ``call`` and ``line`` for each
line; it fails after ``patience`` of waiting, or at once while discovery is down. A watch waits for news. Where the list
is pushed, an agent on each relay's machine answers at once and at no cost with what has been sent to it; while
discovery is down nothing new is sent, and what changed meanwhile is sent when it is back.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from scaledeal.lab.kernel import Kernel, Station, Streams
from scaledeal.lab.scenario.types import Scenario


class Entry(msgspec.Struct, frozen=True):
    """One line of the list."""

    name: str
    address: str
    zone: str
    kind: str
    group: int
    status: str
    weight: float
    since_ms: float


class Answer(msgspec.Struct, frozen=True):
    """The whole list, or what changed."""

    index: int
    snapshot: bool
    entries: tuple[Entry, ...]


Tell = Callable[[Answer | None], object]  # None: the call failed


class Directory:
    """The one discovery service."""

    def __init__(self, kernel: Kernel, day: Scenario, streams: Streams) -> None:
        self.kernel, self.day = kernel, day
        self.draw = streams.of("discovery")
        self.period = int(self.draw.uniform(*day.discovery.period))
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.versions: dict[str, int] = {}
        self.calls = Station(kernel, 1, patience=day.discovery.patience)
        self.down = False
        self.behind = 0  # ns by which it is later than usual
        self.lines = self.called = 0
        self._watching: list[tuple[int, Tell]] = []
        self._changed = False
        self.pushed = day.discovery.mode == "pushed"
        self._withheld: list[Entry] = []  # where it is pushed: changes while discovery is down

    def at_start(self, entries: list[Entry]) -> None:
        """Know these from the beginning."""
        for entry in entries:
            self.entries[entry.name], self.versions[entry.name] = entry, self.index

    def learns(self, entry: Entry, kind: str) -> None:
        """Have a change happen now; it shows later."""
        low, high = getattr(self.day.discovery, kind)
        late = int(self.draw.uniform(low, high) if low < high else low) + self.behind
        moment = self.kernel.now + late
        moment = -(-moment // self.period) * self.period if self.period else moment
        self.kernel.at(moment, lambda: self._show(entry))

    def call(self, after: int | None, wait: int, tell: Tell) -> None:
        """Ask for the whole list, or for what is newer than a version, waiting so long for it."""
        self.called += 1
        if self.down and not self.pushed:
            self.kernel.after(0, lambda: tell(None))
        elif after is None or after < self.index:
            self._answer(after, tell)
        else:
            waiting = (after, tell)
            self._watching.append(waiting)
            self.kernel.after(wait, lambda: self._time_up(waiting))

    def fail(self, on: bool) -> None:
        """Go down, with every watch, or come back."""
        self.down = on
        if not on:
            withheld, self._withheld = self._withheld, []
            for entry in withheld:
                self._show(entry)
        elif not self.pushed:
            watching, self._watching = self._watching, []
            for _, tell in watching:
                tell(None)

    def _show(self, entry: Entry) -> None:
        if self.pushed and self.down:
            self._withheld.append(entry)
            return
        known = self.entries.get(entry.name)
        if known is not None and known.status == "left" and entry.since_ms <= known.since_ms:
            return  # guards against a drain that is told after the end
        self.index += 1
        self.entries[entry.name], self.versions[entry.name] = entry, self.index
        if not self._changed:  # changes of one round are told together
            self._changed = True
            self.kernel.after(0, self._wake)

    def _wake(self) -> None:
        self._changed = False
        watching, self._watching = self._watching, []
        for after, tell in watching:
            self._answer(after, tell)

    def _time_up(self, waiting: tuple[int, Tell]) -> None:
        if waiting in self._watching:
            self._watching.remove(waiting)
            self._answer(*waiting)

    def _answer(self, after: int | None, tell: Tell) -> None:
        entries = tuple(
            entry
            for name, entry in self.entries.items()
            if (after is None and entry.status != "left") or (after is not None and self.versions[name] > after)
        )
        if self.pushed:
            answer = Answer(self.index, after is None, entries)
            self.kernel.after(0, lambda: tell(answer))
            return
        work = self.day.discovery.call + len(entries) * self.day.discovery.line
        self.lines += len(entries)
        answer = Answer(self.index, after is None, entries)
        self.calls.submit(work, lambda served: tell(answer if served and not self.down else None))
