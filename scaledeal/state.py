"""What one relay knows of each request and each server: the records that the decisions work on.

No clock, no I/O. Times are in nanoseconds on the clock of the events.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from scaledeal import interface as api
from scaledeal.cold_start import Slots

NEVER = -1_000_000_000  # a moment long before any event


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to a server."""

    server: Server
    sent_at: int
    zone: int  # of the server when the attempt was sent, as is the cell
    cell: int
    result: api.Result | None = None


@dataclass(slots=True, eq=False)
class RequestState:
    """A request from its arrival until its last outcome, its open connection included."""

    id: str
    class_index: int
    placement_key: str
    bucket: tuple[int, bool]  # of the ladder: class, and whether the tenant is over its share
    tenant: int
    deadline: int
    group: str
    attempts: list[Attempt] = field(default_factory=list)
    load: float = 0.0  # from notes or hints; 0 while unknown
    established: bool = False
    returning: bool = False
    answered: bool = False  # needs no answer any more, and no attempt is started for it
    reports_requested_at: int = 0  # when probes were first sent to place it
    has_roomy_pair: bool = False  # whether the last search for its pair found servers with room
    arrived_at: int = 0
    further_searches: int = 0  # how often none of its candidates could take it, so that others were looked at


@dataclass(slots=True, eq=False)
class Server:
    """What this relay knows of one server."""

    id: str
    unknown_loads: list[int]  # number of connections of unknown load, by class
    digest: int = 0  # of its id
    slots: Slots = field(default_factory=Slots)  # while it is cold
    state: api.ServerState = api.ServerState.GONE  # until a list names it
    started: int = 0
    zone: int = 0
    cell: int = 0
    listed_weight: float = 1.0
    weight: float = 1.0  # as listed, unless that can't be right
    warmth: float = 1.0  # share of its capacity that it has at its age, at the last update
    connections: dict[str, RequestState] = field(default_factory=dict)  # open ones and set-ups under way
    pending: int = 0  # set-ups under way
    plausible_loads: bool = True  # whether the last load that it noted could be right
    known_load: float = 0.0  # sum of the known loads of its connections
    reported_utilisation: float = -1.0  # in the last report; negative if there is none
    unconfirmed_utilisation: float = 0.0  # a sudden overload that the last report showed and none before it; else 0
    reported_at: int = 0
    load_at_report: float = 0.0  # this relay's load on it at the time that the last report describes
    past_loads: list[float] = field(default_factory=list)  # this relay's load on it at the last ticks, oldest first
    message_delay_ms: float = 0.0  # last noted; noted only while it is long
    message_delay_at: int = 0
    unit_capacity: float = 0.0  # learned capacity over its weight, in this relay's units of load; 0 while unknown
    slow_load: float = 0.0  # without reports: this relay's load when its messages last turned slow; 0 while unknown
    saturated_since: int = 0
    failures: int = 0  # in a row
    connection_broke_at: int = 0  # when an open connection last broke
    last_set_up_failed: bool = False
    sent_away_at: list[int] = field(default_factory=list)  # when it recently closed client connections gracefully
    assumed_draining_until: int = 0  # counts as draining until then although the list does not say so
    suspect_until: int = 0
    groups: dict[str, int] = field(default_factory=dict)  # number of its connections by group
    leaving_groups: frozenset[str] = frozenset()  # groups that it is to lose because it is saturated
    next_probe_at: int = 0
    probe_pending: bool = False
    probed_at: int = NEVER
