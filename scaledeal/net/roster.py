"""Discovery's list as it is sent on the wire, and its translation for the decision module."""

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
_STATUS_ORDER = ("active", "leaving", "left")  # the status of a process never goes back in this order
_ADDRESS = re.compile(r"\S+:([0-9]{1,5})")

MAX_NEW_START_AGE_MS = 60_000.0  # age that a start may have when a list on a watch first reports it
MAX_CLOCK_LEAD_MS = 1000.0  # a start may be this far ahead of this machine's clock without a log line
MIN_WEIGHT = 1e-6  # below it, a ranking by weight may divide by zero
MAX_WEIGHT = 1e9  # above it, a ranking by weight would rank no other server
MAX_SERVER_RECORDS = 4096  # servers whose starts are kept, whether they are listed or not

INVALID_START = "discovery list: an invalid start"
INVALID_WEIGHT = "discovery list: an invalid weight"
DUPLICATE_SERVER = "discovery list: a server named twice"
INVALID_ADDRESS = "discovery list: an invalid address"


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


class _UndecodedRoster(msgspec.Struct, frozen=True):
    """A list whose entries are not decoded yet, as some of them may be malformed."""

    endpoints: tuple[msgspec.Raw, ...] = ()


def decode_readable_entries(body: bytes) -> Roster:
    """Return the readable entries of a list that can't be decoded as a whole, as changes: it may lack servers.

    Otherwise one malformed entry would keep this relay from learning that other servers drain.
    """
    endpoints = list[Endpoint]()
    with suppress(msgspec.MsgspecError, ValueError, RecursionError):
        for entry in msgspec.json.decode(body, type=_UndecodedRoster).endpoints:
            with suppress(msgspec.MsgspecError):
                endpoints.append(msgspec.json.decode(entry, type=Endpoint))
    return Roster(0, False, tuple(endpoints))


class UnixTimeConverter:
    """Converts discovery's Unix times to the driver's clock.

    The offset is that of ``UnixClock``, so an unchanged ``since_ms`` gives the same moment in every list, even when
    the wall clock steps. With a varying offset a process would seem to have restarted.
    """

    def __init__(self, offset: int) -> None:
        """``offset`` is the ns from Unix time to the driver's clock."""
        self.offset = offset

    def to_driver_time(self, since_ms: float) -> int:
        """Return the moment in ns on the driver's clock; 0 stands for long ago."""
        return max(0, int(since_ms * 1_000_000) + self.offset) if since_ms > 0 else 0


class _ServerRecord(msgspec.Struct):
    """The values that were last accepted for one server."""

    listed_start_ms: float  # its start as a list gave it, in Unix ms
    started: int  # its start as accepted, on the driver's clock
    start_fault: str = ""  # what was wrong with the start as listed
    weight: float = 1.0


class Catalog:
    """The servers as this relay has accepted them from all lists, and the faults of those lists.

    Where a list contradicts itself or what is known, the value wins that sends a server less: the last valid weight,
    the later start (a server that started later is colder), the status that is further on the way out. The catalog is
    kept when another discovery takes over.
    """

    def __init__(self, zones: tuple[str, ...], converter: UnixTimeConverter) -> None:
        self.zone_numbers = {name: number for number, name in enumerate(zones)}
        self.converter = converter
        self.records: dict[str, _ServerRecord] = {}  # ordered by the last list that named them, the latest last
        self.last_read_ms: float | None = None  # when the last list was read, in Unix ms; None before the first
        self.faults = {
            description: FaultLog(log, description)
            for description in (INVALID_START, INVALID_WEIGHT, DUPLICATE_SERVER, INVALID_ADDRESS)
        }

    def read(self, roster: Roster, unix_time: float) -> tuple[tuple[api.ServerEntry, ...], dict[str, str]]:
        """Translate a list for the decision module, each server once; ``unix_time`` is in seconds since 1970.

        Returns the entries, and the addresses of those that have a valid one.
        """
        details: dict[str, dict[str, str]] = {description: {} for description in self.faults}
        by_name = self._deduplicate(roster, details[DUPLICATE_SERVER])
        entries = tuple(self._translate(endpoint, unix_time * 1000, details) for endpoint in by_name.values())
        self.last_read_ms = unix_time * 1000
        for server in list(self.records)[: len(self.records) - max(MAX_SERVER_RECORDS, len(by_name))]:
            del self.records[server]
        for description, fault_log in self.faults.items():
            fault_log.record_faults(details[description])
            fault_log.record_good(by_name.keys() - details[description].keys())
        dialable = (
            endpoint
            for endpoint in by_name.values()
            if endpoint.address and endpoint.name not in details[INVALID_ADDRESS]
        )
        return entries, {endpoint.name: endpoint.address for endpoint in dialable}

    def _deduplicate(self, roster: Roster, faults: dict[str, str]) -> dict[str, Endpoint]:
        # A list may say of one server both that it drains and that it doesn't; without the merge the last entry would
        # win.
        by_name = {endpoint.name: endpoint for endpoint in roster.endpoints}
        if len(by_name) < len(roster.endpoints):
            grouped: dict[str, list[Endpoint]] = defaultdict(list)
            for endpoint in roster.endpoints:
                grouped[endpoint.name].append(endpoint)
            for name, duplicates in grouped.items():
                if len(duplicates) > 1:
                    by_name[name] = _merge(duplicates)
                    faults[name] = ", ".join(dict.fromkeys(endpoint.status for endpoint in duplicates))
        return by_name

    def _translate(self, endpoint: Endpoint, now_ms: float, details: dict[str, dict[str, str]]) -> api.ServerEntry:
        previous = self.records.pop(endpoint.name, None)
        record = self.records[endpoint.name] = self._accept_start(endpoint, previous, now_ms)
        if record.start_fault:
            details[INVALID_START][endpoint.name] = record.start_fault
        if MIN_WEIGHT <= endpoint.weight <= MAX_WEIGHT:
            record.weight = endpoint.weight
        else:
            record.weight = previous.weight if previous else 1.0
            details[INVALID_WEIGHT][endpoint.name] = f"{endpoint.weight:g}"
        if endpoint.address and not _is_dialable(endpoint.address):
            details[INVALID_ADDRESS][endpoint.name] = repr(endpoint.address)
        return api.ServerEntry(
            server=endpoint.name,
            state=_STATES[endpoint.status],
            started=record.started,
            zone=endpoint.zone
            if isinstance(endpoint.zone, int)
            else self.zone_numbers.get(endpoint.zone, len(self.zone_numbers)),
            weight=record.weight,
            cell=endpoint.group,
        )

    def _accept_start(self, endpoint: Endpoint, previous: _ServerRecord | None, now_ms: float) -> _ServerRecord:
        listed_ms = endpoint.since_ms
        if previous is not None and listed_ms == previous.listed_start_ms:
            return _ServerRecord(listed_ms, previous.started, previous.start_fault)
        if listed_ms < 0:
            # A negative start says nothing, so the previous one is kept: a cold server must not be taken for warm.
            started = previous.started if previous else self.converter.to_driver_time(now_ms)
            return _ServerRecord(listed_ms, started, f"since_ms {listed_ms:.0f}")
        moment = self.converter.to_driver_time(min(listed_ms, now_ms))
        if previous is not None and moment < previous.started:
            # A start that goes back would turn a cold server warm. 0 is no fault: a list gives it for a start that is
            # long ago by now.
            return _ServerRecord(
                listed_ms,
                previous.started,
                f"since_ms back from {previous.listed_start_ms:.0f} to {listed_ms:.0f}" if listed_ms else "",
            )
        if self.last_read_ms is not None and 0 < listed_ms < self.last_read_ms - MAX_NEW_START_AGE_MS:
            # The previous list did not have this start, so it came after that list, and this machine's clock must be
            # ahead. Taken as it is, it would make a cold server count as warm and get too much.
            fault = f"{(now_ms - listed_ms) / 1000:.1f} s old, and not listed before"
            return _ServerRecord(listed_ms, self.converter.to_driver_time(self.last_read_ms), fault)
        return _ServerRecord(
            listed_ms,
            moment,
            f"{(listed_ms - now_ms) / 1000:.1f} s ahead" if listed_ms > now_ms + MAX_CLOCK_LEAD_MS else "",
        )


def _is_dialable(address: str) -> bool:
    match = _ADDRESS.fullmatch(address)
    return match is not None and int(match[1]) < 65536


def _merge(duplicates: list[Endpoint]) -> Endpoint:
    """Return a server's last entry with the latest start, and the furthest status of the process that it names.

    Statuses of entries with an earlier start than the last entry's belong to an earlier process and do not count.
    """
    last = duplicates[-1]
    statuses = [endpoint.status for endpoint in duplicates if endpoint.since_ms >= last.since_ms]
    return msgspec.structs.replace(
        last,
        status=max(statuses, key=_STATUS_ORDER.index),
        since_ms=max(endpoint.since_ms for endpoint in duplicates),
    )
