"""Discovery's list as it stands on the wire, and what the decision module is told of it."""

from __future__ import annotations

from typing import Literal

import msgspec

from scaledeal import interface as api

_STATES = {"active": api.ServerState.LIVE, "leaving": api.ServerState.DRAINING, "left": api.ServerState.GONE}


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


class Calendar:
    """Turns discovery's Unix times into the driver's clock.

    Guards against a process that seems to have started anew: both clocks are read once, so an unchanged
    ``since_ms`` gives the same moment in every list.
    """

    def __init__(self, monotonic_ns: int, unix_ns: int) -> None:
        self.offset = monotonic_ns - unix_ns

    def moment(self, since_ms: float) -> int:
        """Return the moment on the driver's clock, 0 for long ago."""
        return max(0, int(since_ms * 1_000_000) + self.offset) if since_ms > 0 else 0


def entries(roster: Roster, zones: tuple[str, ...], calendar: Calendar) -> tuple[api.ServerEntry, ...]:
    """Translate a list for the decision module."""
    numbers = {name: number for number, name in enumerate(zones)}
    return tuple(
        api.ServerEntry(
            server=each.name,
            state=_STATES[each.status],
            started=calendar.moment(each.since_ms),
            zone=each.zone if isinstance(each.zone, int) else numbers.get(each.zone, len(zones)),
            weight=each.weight,
            cell=each.group,
        )
        for each in roster.endpoints
    )
