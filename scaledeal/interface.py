"""The public interface of scaledeal: settings, events and actions.

All times and durations are integer nanoseconds on the caller's clock. Events are handed to
``Balancer.handle(now, event)``, which returns the actions to carry out, in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Semantics(Enum):
    """What a repeat of a request may do."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Scope(Enum):
    """The servers that drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Source(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class ServerState(Enum):
    """A server's state in the membership list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class MembershipKind(Enum):
    """How a membership event is to be read."""

    CHANGES = "changes"
    FULL = "full"
    INITIAL = "initial"
    LOST = "lost"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class NoteKind(Enum):
    """What a note on an open connection tells."""

    LOAD = "load"
    DELAY = "delay"
    SILENT = "silent"


class Field(Enum):
    """Values that a load report may hold."""

    UTILISATION = "utilisation"
    BUSY = "busy"
    INFLIGHT = "inflight"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    aim: int
    deadline: int
    worth: float = 1.0
    semantics: Semantics = Semantics.REPEATABLE
    scope: Scope = Scope.ALL
    window: int = 0
    message_aim: int = 0

    def __post_init__(self) -> None:
        _positive("aim", self.aim)
        _positive("deadline", self.deadline)
        _not_negative("worth", self.worth)
        _not_negative("window", self.window)
        _not_negative("message_aim", self.message_aim)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: its share of the fleet, over all gateways; 0 where no limit is stated."""

    set_ups_per_s: float = 0.0
    open_connections: float = 0.0

    def __post_init__(self) -> None:
        _not_negative("set_ups_per_s", self.set_ups_per_s)
        _not_negative("open_connections", self.open_connections)


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    siblings: int = 1
    me: int = 0
    zone: int = 0
    ask_discovery: bool = False
    max_attempts: int = 1
    may_probe: bool = False
    may_cancel: bool = False
    retry_after_max: int = 0
    report_fields: tuple[Field, ...] = ()
    report_source: Source = Source.NONE
    groups: bool = False
    fixed_weights: bool = False
    over_share_worth: float = 1.0
    move_price: float = 0.0
    probe_price: float = 0.0
    zone_price: float = 0.0
    cold_share: float = 1.0
    warm_after: int = 0
    overload_factor: float = 1.0
    overload_window: int = 0
    granularity: int = 1_000_000

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for name in ("siblings", "max_attempts", "overload_factor", "granularity"):
            _positive(name, getattr(self, name))
        for name in (
            "zone",
            "retry_after_max",
            "over_share_worth",
            "move_price",
            "probe_price",
            "zone_price",
            "warm_after",
            "overload_window",
        ):
            _not_negative(name, getattr(self, name))
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must lie above 0 and at most at 1")


def _positive(name: str, value: float) -> None:
    if not value > 0:
        raise ValueError(f"{name}: must be above 0")


def _not_negative(name: str, value: float) -> None:
    if not value >= 0:
        raise ValueError(f"{name}: must not be below 0")


# Events: what a balancer is told.


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the membership list."""

    server: str
    state: ServerState = ServerState.LIVE
    started: int = 0
    zone: int = 0
    weight: float = 1.0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Membership:
    """News of the list of servers."""

    kind: MembershipKind
    servers: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks for a connection; it is owed one final answer before ``deadline``.

    ``load_hint`` is its expected load in microseconds of work a second, 0 where unknown. ``returning``: its
    connection stood before and broke or was moved.
    """

    request: str
    request_class: int
    deadline: int
    key: str = ""
    group: str = ""
    tenant: int = 0
    mid_flow: bool = False
    returning: bool = False
    load_hint: float = 0.0


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """A connection that ran through this gateway already when the balancer started.

    One that is ``inherited`` stands, or stood, at the process of this gateway that this one takes over from.
    """

    request: str
    request_class: int
    server: str
    key: str = ""
    group: str = ""
    tenant: int = 0
    load_hint: float = 0.0
    inherited: bool = False


@dataclass(frozen=True, slots=True)
class Established:
    """An attempt's connection stands."""

    request: str
    attempt: int
    server: str
    elapsed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended; ``last`` tells that the request is over as well."""

    request: str
    attempt: int
    server: str
    result: Result
    elapsed: int
    last: bool
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Note:
    """News of an open connection.

    Its load (us of work a second), the time (ms) that a message takes at its server, or for how long (ms) it
    alone has returned nothing while its server answers others.
    """

    request: str
    attempt: int
    server: str
    kind: NoteKind
    amount: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A probe came back, or did not."""

    server: str
    result: Result
    elapsed: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by ``SetTimer`` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing more is owed for the request."""

    request: str


Event = Membership | Request | OpenConnection | Established | Outcome | Note | ProbeResult | Timer | ClientGone


# Actions: what a balancer wants done.


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it times out after ``timeout``, or at the client's deadline when 0."""

    request: str
    server: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, trying again does no harm; ``why`` names the rule, for a trace alone."""

    request: str
    retry_after: int = 0
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised; ``why`` names the rule, for a trace alone."""

    request: str
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End an open connection politely; its client comes again. ``why`` names the rule, for a trace alone."""

    request: str
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a sign of life and its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list of servers."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Hand in ``Timer(token)`` after ``delay``."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | Move | Probe | Watch | SetTimer | Log
