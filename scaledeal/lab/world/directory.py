"""The discovery service: its list of processes, the delay of changes, and a queue of calls.

A change is published at discovery's next round after a random delay that depends on its kind. A call takes ``call``
plus ``line`` for each list line; it fails when it has been queued for ``patience``, or at once while discovery is
down. A watch is a call that waits for the next change. In pushed mode an agent on each relay's machine answers at
once and at no cost with what has been pushed to it; nothing is pushed while discovery is down, and the changes of
that time are pushed when it is up again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from scaledeal.lab.kernel import Kernel, Station, Streams
from scaledeal.lab.scenario.types import Scenario


class Entry(msgspec.Struct, frozen=True):
    """One line of the list: a process and its status."""

    name: str
    address: str
    zone: str
    kind: str
    group: int
    status: str
    weight: float
    since_ms: float


class Answer(msgspec.Struct, frozen=True):
    """The complete list (``snapshot``), or the entries that changed."""

    index: int
    snapshot: bool
    entries: tuple[Entry, ...]


OnAnswer = Callable[[Answer | None], object]  # called with None when the call failed


class Directory:
    """The discovery service of a run."""

    def __init__(self, kernel: Kernel, day: Scenario, streams: Streams) -> None:
        self.kernel, self.day = kernel, day
        self.rng = streams.of("discovery")
        self.period = int(self.rng.uniform(*day.discovery.period))
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.versions: dict[str, int] = {}
        self.calls = Station(kernel, 1, patience=day.discovery.patience)
        self.down = False
        self.extra_delay = 0  # ns added to the delay of every change
        self.line_count = self.call_count = 0
        self._watches: list[tuple[int, OnAnswer]] = []  # each: the index already known, and the callback
        self._notify_scheduled = False
        self.pushed = day.discovery.mode == "pushed"
        self._unpushed: list[Entry] = []  # pushed mode: changes made while discovery is down

    def set_initial(self, entries: list[Entry]) -> None:
        """Add the entries that the list has at the start of the day."""
        for entry in entries:
            self.entries[entry.name], self.versions[entry.name] = entry, self.index

    def record_change(self, entry: Entry, delay_kind: str) -> None:
        """Record a change made now; it is published after the delay that the setting ``delay_kind`` gives."""
        low, high = getattr(self.day.discovery, delay_kind)
        delay = int(self.rng.uniform(low, high) if low < high else low) + self.extra_delay
        published_at = self.kernel.now + delay
        published_at = -(-published_at // self.period) * self.period if self.period else published_at
        self.kernel.at(published_at, lambda: self._publish(entry))

    def call(self, after: int | None, wait: int, on_answer: OnAnswer) -> None:
        """Request the complete list, or the changes after the index ``after``, waiting up to ``wait`` ns for one."""
        self.call_count += 1
        if self.down and not self.pushed:
            self.kernel.after(0, lambda: on_answer(None))
        elif after is None or after < self.index:
            self._answer(after, on_answer)
        else:
            watch = (after, on_answer)
            self._watches.append(watch)
            self.kernel.after(wait, lambda: self._watch_timed_out(watch))

    def set_down(self, down: bool) -> None:
        """Take discovery down or up again; going down fails every watch unless the list is pushed."""
        self.down = down
        if not down:
            unpushed, self._unpushed = self._unpushed, []
            for entry in unpushed:
                self._publish(entry)
        elif not self.pushed:
            watches, self._watches = self._watches, []
            for _, on_answer in watches:
                on_answer(None)

    def _publish(self, entry: Entry) -> None:
        if self.pushed and self.down:
            self._unpushed.append(entry)
            return
        known = self.entries.get(entry.name)
        if known is not None and known.status == "left" and entry.since_ms <= known.since_ms:
            return  # a drain notice delayed past the exit must not list the process again
        self.index += 1
        self.entries[entry.name], self.versions[entry.name] = entry, self.index
        if not self._notify_scheduled:  # the changes of one round are sent in one answer
            self._notify_scheduled = True
            self.kernel.after(0, self._notify_watches)

    def _notify_watches(self) -> None:
        self._notify_scheduled = False
        watches, self._watches = self._watches, []
        for after, on_answer in watches:
            self._answer(after, on_answer)

    def _watch_timed_out(self, watch: tuple[int, OnAnswer]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer(*watch)

    def _answer(self, after: int | None, on_answer: OnAnswer) -> None:
        entries = tuple(
            entry
            for name, entry in self.entries.items()
            if (after is None and entry.status != "left") or (after is not None and self.versions[name] > after)
        )
        if self.pushed:
            answer = Answer(self.index, after is None, entries)
            self.kernel.after(0, lambda: on_answer(answer))
            return
        work = self.day.discovery.call + len(entries) * self.day.discovery.line
        self.line_count += len(entries)
        answer = Answer(self.index, after is None, entries)
        self.calls.submit(work, lambda served: on_answer(answer if served and not self.down else None))
