"""The public interface of the decision module: settings, events and actions.

All times and durations are integer nanoseconds on the caller's clock, unless a field states another unit. The caller
passes each event to ``Balancer.handle(now, event)`` and carries out the returned actions in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Semantics(Enum):
    """What sending a request a second time may do.

    ``REPEATABLE``: no harm. ``KEYED``: the servers of the class's ``scope`` drop a repeat within its ``window``.
    ``ONCE``: a second effect, so a request that may have run is not sent again.
    """

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Scope(Enum):
    """The servers among which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Source(Enum):
    """How load reports arrive: with answers, with probe results, or not at all."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class ServerState(Enum):
    """A server's state in the membership list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class MembershipKind(Enum):
    """What a membership event holds.

    ``CHANGES``: changed entries only. ``FULL`` and ``INITIAL``: the whole list. ``LOST``: nothing, as the
    subscription to changes has ended.
    """

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
    """What a ``Note`` on an open connection reports."""

    LOAD = "load"
    DELAY = "delay"
    SILENT = "silent"


class Field(Enum):
    """The meaning of one value of a load report."""

    UTILISATION = "utilisation"
    BUSY = "busy"
    INFLIGHT = "inflight"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    ``aim`` is the target latency of a set-up, ``message_aim`` that of a message (0: none). ``deadline`` is the time
    to a request's final answer. ``window`` is how long servers recognise a repeat of a keyed request.
    """

    aim: int
    deadline: int
    worth: float = 1.0
    semantics: Semantics = Semantics.REPEATABLE
    scope: Scope = Scope.ALL
    window: int = 0
    message_aim: int = 0

    def __post_init__(self) -> None:
        _require_positive("aim", self.aim)
        _require_positive("deadline", self.deadline)
        _require_not_negative("worth", self.worth)
        _require_not_negative("window", self.window)
        _require_not_negative("message_aim", self.message_aim)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's share of the fleet, summed over all relays; 0 means no limit."""

    set_ups_per_s: float = 0.0
    open_connections: float = 0.0

    def __post_init__(self) -> None:
        _require_not_negative("set_ups_per_s", self.set_ups_per_s)
        _require_not_negative("open_connections", self.open_connections)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a balancer; a value that it can't work with raises ValueError with the field's name.

    ``siblings`` is the number of relays, this one included, and ``me`` this relay's number among them. ``move_price``,
    ``probe_price`` and ``zone_price`` are in points: the cost of a move, a probe and a connection to another zone.
    """

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
            _require_positive(name, getattr(self, name))
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
            _require_not_negative(name, getattr(self, name))
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")


def _require_positive(name: str, value: float) -> None:
    if not value > 0:
        raise ValueError(f"{name}: must be above 0")


def _require_not_negative(name: str, value: float) -> None:
    if not value >= 0:
        raise ValueError(f"{name}: must not be below 0")


# Events: the input of a balancer.


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of the membership list."""

    server: str
    state: ServerState = ServerState.LIVE
    started: int = 0
    zone: int = 0
    weight: float = 1.0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Membership:
    """A change or the whole of the list of servers."""

    kind: MembershipKind
    servers: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks for a connection; it must get exactly one final answer before ``deadline``.

    ``load_hint`` is the expected load in microseconds of work a second, 0 if unknown. ``returning``: the client had
    a connection before, which broke or was moved.
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
    """A connection that was already open through this relay when the balancer started.

    ``inherited``: it is, or was, held by the predecessor, the process of this relay that this one takes over from.
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
    """The connection of an attempt is established, ``elapsed`` after the attempt was started."""

    request: str
    attempt: int
    server: str
    elapsed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended; ``last`` means that the request has ended with it."""

    request: str
    attempt: int
    server: str
    result: Result
    elapsed: int
    last: bool
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Note:
    """An observation on an open connection.

    ``amount`` depends on ``kind``: for ``LOAD`` the connection's load in microseconds of work a second, for ``DELAY``
    the milliseconds that a message takes at its server, for ``SILENT`` the milliseconds for which this connection
    alone has returned nothing while its server answers others.
    """

    request: str
    attempt: int
    server: str
    kind: NoteKind
    amount: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A probe was answered or has failed; ``elapsed`` is the time since it was sent."""

    server: str
    result: Result
    elapsed: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by ``SetTimer`` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; its request needs no final answer any more."""

    request: str


Event = Membership | Request | OpenConnection | Established | Outcome | Note | ProbeResult | Timer | ClientGone


# Actions: the output of a balancer.


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it times out after ``timeout``, or at the client's deadline if that is 0."""

    request: str
    server: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the client may safely try again. ``why`` names the rule, for traces only."""

    request: str
    retry_after: int = 0
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have run. ``why`` names the rule, for traces only."""

    request: str
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is under way."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """Close an open connection gracefully; its client connects again. ``why`` names the rule, for traces only."""

    request: str
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server: check that it answers and fetch its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list of servers."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``Timer(token)`` after ``delay``."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | Move | Probe | Watch | SetTimer | Log
