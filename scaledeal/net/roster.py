"""Discovery's list as it stands on the wire, and what the decision module is told of it."""

from __future__ import annotations

import logging
import re
from collections import defaultdict
from contextlib import suppress
from typing import Literal

import msgspec

from scaledeal import interface as api
from scaledeal.net.fault_log import FaultLog

log = logging.getLogger("scaledeal.discovery")

_STATES = {"active": api.ServerState.LIVE, "leaving": api.ServerState.DRAINING, "left": api.ServerState.GONE}
_ORDER = ("active", "leaving", "left")  # a process never goes back in this row
_ADDRESS = re.compile(r"\S+:([0-9]{1,5})")

PLAUSIBLE = 60_000.0  # ms of age that a start may have when the first list that tells of it comes on a watch
AHEAD = 1000.0  # ms by which a start may lie ahead of this machine's clock without a word
LEAST_WEIGHT, MOST_WEIGHT = 1e-6, 1e9  # past these a ranking by weight divides by nothing, or ranks nobody else
REMEMBERED = 4096  # servers whose starts are kept, listed or not

START, WEIGHT, TWICE, ADDRESS = (
    f"discovery list: {what}"
    for what in ("a start that can't be", "a weight that can't be", "a server named twice", "an address that can't be")
)


class Endpoint(msgspec.Struct, frozen=True):
    """One application server."""

    name: str
    address: str = ""
    zone: str | int = ""
    group: int = 0
    status: Literal["active", "leaving", "left"] = "active"
    weight: float = 1.0
    since_ms: float = 0.0


class Roster(msgspec.Struct, frozen=True):
    """The whole list (a snapshot), or its changed entries."""

    index: int = 0
    snapshot: bool = True
    endpoints: tuple[Endpoint, ...] = ()


class _Loose(msgspec.Struct, frozen=True):
    """A list of which not every entry may be one."""

    endpoints: tuple[msgspec.Raw, ...] = ()


def readable(body: bytes) -> Roster:
    """Return the entries that can be read of a list that is none as a whole: changes, as it may lack servers.

    Guards against one entry that can't be read and hides from this relay that other servers drain.
    """
    entries = list[Endpoint]()
    with suppress(msgspec.MsgspecError, ValueError, RecursionError):
        for each in msgspec.json.decode(body, type=_Loose).endpoints:
            with suppress(msgspec.MsgspecError):
                entries.append(msgspec.json.decode(each, type=Endpoint))
    return Roster(0, False, tuple(entries))


class Calendar:
    """Turns discovery's Unix times into the driver's clock.

    Guards against a process that seems to have started anew: the offset is that of ``UnixClock``, so an unchanged
    ``since_ms`` gives the same moment in every list, whatever befalls the wall clock.
    """

    def __init__(self, offset: int) -> None:
        """``offset`` is the ns from Unix time to the driver's clock."""
        self.offset = offset

    def moment(self, since_ms: float) -> int:
        """Return the moment on the driver's clock, 0 for long ago."""
        return max(0, int(since_ms * 1_000_000) + self.offset) if since_ms > 0 else 0


class _Taken(msgspec.Struct):
    """What was last taken of one server."""

    told: float  # its start as a list told it, in Unix ms
    started: int  # and as it was taken, on the driver's clock
    why: str = ""  # what was wrong with that start
    weight: float = 1.0


class Catalog:
    """The servers as this relay has taken them from any list, and what of a list can't be.

    Where a list contradicts itself or what is known, the value stands that sends a server less: the last good
    weight, the later start (a server that started later is colder), the state further on its way out. It outlives
    a discovery that another takes over from.
    """

    def __init__(self, zones: tuple[str, ...], calendar: Calendar) -> None:
        self.numbers = {name: number for number, name in enumerate(zones)}
        self.calendar = calendar
        self.taken: dict[str, _Taken] = {}  # the one heard of last stands last
        self.read_ms: float | None = None  # when the last list was read, in Unix ms; none before the first
        self.faults = {what: FaultLog(log, what) for what in (START, WEIGHT, TWICE, ADDRESS)}

    def read(self, roster: Roster, unix: float) -> tuple[tuple[api.ServerEntry, ...], dict[str, str]]:
        """Translate a list for the decision module, each server once; ``unix`` is the time in seconds since 1970.

        Returns the entries, and the addresses of those that have one.
        """
        wrong: dict[str, dict[str, str]] = {what: {} for what in self.faults}
        named = self._once_each(roster, wrong[TWICE])
        entries = tuple(self._entry(each, unix * 1000, wrong) for each in named.values())
        self.read_ms = unix * 1000
        for server in list(self.taken)[: len(self.taken) - max(REMEMBERED, len(named))]:
            del self.taken[server]
        for what, faults in self.faults.items():
            faults.record_faults(wrong[what])
            faults.record_good(named.keys() - wrong[what].keys())
        dialled = (each for each in named.values() if each.address and each.name not in wrong[ADDRESS])
        return entries, {each.name: each.address for each in dialled}

    def _once_each(self, roster: Roster, wrong: dict[str, str]) -> dict[str, Endpoint]:
        # Guards against a server that is told to drain, and in the same list not to: the last word held.
        named = {each.name: each for each in roster.endpoints}
        if len(named) < len(roster.endpoints):
            several: dict[str, list[Endpoint]] = defaultdict(list)
            for each in roster.endpoints:
                several[each.name].append(each)
            for name, entries in several.items():
                if len(entries) > 1:
                    named[name] = _one_of(entries)
                    wrong[name] = ", ".join(dict.fromkeys(each.status for each in entries))
        return named

    def _entry(self, each: Endpoint, now_ms: float, wrong: dict[str, dict[str, str]]) -> api.ServerEntry:
        before = self.taken.pop(each.name, None)
        taken = self.taken[each.name] = self._started(each, before, now_ms)
        if taken.why:
            wrong[START][each.name] = taken.why
        if LEAST_WEIGHT <= each.weight <= MOST_WEIGHT:
            taken.weight = each.weight
        else:
            taken.weight = before.weight if before else 1.0
            wrong[WEIGHT][each.name] = f"{each.weight:g}"
        if each.address and not _dialled(each.address):
            wrong[ADDRESS][each.name] = repr(each.address)
        return api.ServerEntry(
            server=each.name,
            state=_STATES[each.status],
            started=taken.started,
            zone=each.zone if isinstance(each.zone, int) else self.numbers.get(each.zone, len(self.numbers)),
            weight=taken.weight,
            cell=each.group,
        )

    def _started(self, each: Endpoint, before: _Taken | None, now_ms: float) -> _Taken:
        told = each.since_ms
        if before is not None and told == before.told:
            return _Taken(told, before.started, before.why)
        if told < 0:
            # Guards against a cold server taken for a warm one: of a start that tells nothing, the last one stays.
            started = before.started if before else self.calendar.moment(now_ms)
            return _Taken(told, started, f"since_ms {told:.0f}")
        moment = self.calendar.moment(min(told, now_ms))
        if before is not None and moment < before.started:
            # Guards against a start that goes back and makes a cold server warm. 0 is how a list tells a start that is
            # long ago by now.
            return _Taken(told, before.started, f"since_ms back from {before.told:.0f} to {told:.0f}" if told else "")
        if self.read_ms is not None and 0 < told < self.read_ms - PLAUSIBLE:
            # Guards against a clock of this machine that is ahead: the list before did not tell of this start, so it
            # came later, and a cold server taken for a warm one would get too much.
            why = f"{(now_ms - told) / 1000:.1f} s old, and not told before"
            return _Taken(told, self.calendar.moment(self.read_ms), why)
        return _Taken(told, moment, f"{(told - now_ms) / 1000:.1f} s ahead" if told > now_ms + AHEAD else "")


def _dialled(address: str) -> bool:
    found = _ADDRESS.fullmatch(address)
    return found is not None and int(found[1]) < 65536


def _one_of(entries: list[Endpoint]) -> Endpoint:
    """Return one server's last entry, with the latest start, and no less on its way out than that process is."""
    last = entries[-1]
    same = [each.status for each in entries if each.since_ms >= last.since_ms]
    return msgspec.structs.replace(
        last, status=max(same, key=_ORDER.index), since_ms=max(each.since_ms for each in entries)
    )
