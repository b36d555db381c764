"""The blocks and values of a scenario file.

A ``NumberRange`` (numbers) or ``DurationRange`` (durations) is a range from which each run, or each member of it,
draws a value.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from scaledeal.hcl import Duration, DurationRange, NumberRange

MS = 1_000_000
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


def span(low: float, high: float | None = None) -> NumberRange:
    """Return a range of numbers; without ``high``, the single value ``low``."""
    return NumberRange((low, low if high is None else high))


def durations_ms(low: float, high: float | None = None) -> DurationRange:
    """Return a range of durations given in ms; without ``high``, the single value ``low``."""
    return DurationRange((int(low * MS), int((low if high is None else high) * MS)))


class Block(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the blocks of a scenario."""


class Model(Block, frozen=True):
    """A machine model of tile servers."""

    name: str = ""
    share: Positive = 1.0  # weight of the model in the fleet, relative to the sum over all models
    cores: PositiveCount = 3
    speed: NumberRange = span(1.0)  # of a core, relative to a reference core
    cap: Count = 0  # maximum number of connections; 0: unlimited
    cold_from: NumberRange = span(0.4)  # share of its capacity at the start of the process
    cold: DurationRange = durations_ms(6000)  # warm-up time, over which capacity grows linearly


class Servers(Block, frozen=True):
    """The tile servers."""

    count: PositiveCount = 14
    model: tuple[Model, ...] = (Model(name="plain"),)
    # Weight in the discovery list: none 1; nominal cores * speed; rough cores; live cores / (1 + connections per core).
    weights: Literal["none", "nominal", "rough", "live"] = "rough"
    per_core: NumberRange = span(15)  # connections of mean load that saturate a reference core
    setup: DurationRange = durations_ms(8)  # work of a set-up, in time of a reference core
    handshakes: NumberRange = span(1, 2)  # round trips before a new connection can carry a line
    group_cost: NonNegative = 0.0  # extra load for each group with a connection on the server, in mean connection loads
    group_size: NonNegative = 0.0  # mean number of connections of a group across the fleet; 0: no groups
    group_skew: NonNegative = 1.0  # exponent of the Zipf distribution of group sizes
    goaway: bool = True  # whether a draining server sends its clients away at once
    leaves: DurationRange = durations_ms(2500, 4000)  # time from the start of a drain until the process exits
    queue: DurationRange = durations_ms(400)  # maximum queued set-up work; new connections beyond it are refused
    buffer: DurationRange = durations_ms(1500)  # backlog of message work beyond which connections are dropped
    sheds: Literal["heaviest", "newest"] = "heaviest"  # which connection is dropped first
    probe: DurationRange = durations_ms(0.27)  # work of a probe, in time of a reference core
    report_period: DurationRange = durations_ms(540, 1400)  # refresh interval of load reports
    report_delay: DurationRange = durations_ms(100, 470)  # minimum age of the values in a refreshed report
    report_noise: NonNegative = 0.03  # relative standard deviation
    tells_load: bool = True  # whether the server reports the load of each connection
    message: Positive = 0.08  # response time of an idle server, relative to the class's ``message``

    @property
    def min_cold_share(self) -> float:
        """Return the lowest share of its capacity with which any server starts; relays get it as a setting."""
        return min(model.cold_from.low for model in self.model)

    @property
    def warm_after(self) -> int:
        """Return the ns after which every server is warm; relays get it as a setting."""
        return int(max(model.cold.high for model in self.model))


class Class(Block, frozen=True):
    """A class of connections."""

    name: str = ""
    share: Positive = 1.0  # weight among new connections, relative to the sum over all classes
    aim: Duration = Duration(300 * MS)  # target time of a set-up
    deadline: Duration = Duration(2000 * MS)  # time after which a client abandons a request
    worth: NonNegative = 1.0  # value of one second of a well-served connection
    message: Duration = Duration(150 * MS)  # target response time of a message
    load: NumberRange = span(1.0)  # load of a connection, relative to the mean
    life: NumberRange = span(1.0)  # lifetime of a connection, relative to ``clients.life``
    spread: NonNegative = 1.0  # sigma of the lognormal distribution of loads
    swing: NonNegative = 0.5  # sigma of the random changes of a connection's load
    change: DurationRange = durations_ms(6000, 18_000)  # interval between load changes of a connection


class Tenant(Block, frozen=True):
    """A tenant with a quota of the fleet's capacity."""

    name: str = ""
    share: Positive = 1.0  # weight among new connections, relative to the sum over all tenants
    quota: Positive = 1.0  # share of the fleet's capacity; demand beyond it has the worth ``clients.over_worth``


class Clients(Block, frozen=True):
    """Arrival and behaviour of clients."""

    load: Positive = 0.4  # average demand, relative to the fleet's capacity
    life: DurationRange = durations_ms(30_000)  # mean time for which a client wants a connection
    law: Literal["exponential", "lognormal", "fixed"] = "exponential"
    shape: Literal["steady", "wave", "bursty"] = "steady"
    swing: Share = 0.3  # relative amplitude of a wave or burst
    zone_skew: Share = 0.2  # relative spread of the zones' shares of clients
    standing: bool = True  # whether the day starts with the steady-state number of connections
    retries: Count = 2  # of a client that was never connected; one that was connected retries until its time is over
    backoff: DurationRange = durations_ms(60)  # before the first retry; doubles with each further one
    backoff_most: Duration = Duration(2000 * MS)  # maximum back-off
    rejoin: DurationRange = durations_ms(91, 910)  # from a move or a broken connection until the client reconnects
    honour: Share = 0.65  # share of clients that wait for the time given by BUSY
    impatient: Share = 0.0  # share of requests that clients abandon before the deadline
    over_worth: Share = 0.1  # relative worth of a tenant's demand beyond its quota
    bad: NonNegative = 0.0  # clients per second that send invalid input (host relay only)


class Relays(Block, frozen=True):
    """The relays, and the front's view of them."""

    count: PositiveCount = 3
    notice: DurationRange = durations_ms(800, 4000)  # time until the front detects a dead relay
    start: DurationRange = durations_ms(800)  # time from a relay's start until it serves
    event: NonNegative = 60.0  # core time per event that a relay handles, in microseconds
    cores: Positive = 0.8  # available to a relay
    sockets: PositiveCount = 1024  # descriptor limit of a relay (host relay only)


class Discovery(Block, frozen=True):
    """The discovery service and its list of processes."""

    # asked: one service that handles calls in turn; pushed: an agent on each relay's machine.
    mode: Literal["asked", "pushed"] = "asked"
    notice: DurationRange = durations_ms(540, 4900)  # delay until it learns that a process drains or has exited
    silent: DurationRange = durations_ms(4000, 12_000)  # the same for a machine that vanished
    add: DurationRange = durations_ms(720, 2400)  # delay until it learns of a new process
    period: DurationRange = durations_ms(190, 1300)  # interval of its rounds: a change is published at the next round
    line: Duration = Duration(MS // 50)  # service time per list line sent
    call: Duration = Duration(MS)  # service time per call
    patience: Duration = Duration(3000 * MS)  # after which a queued call fails


class Store(Block, frozen=True):
    """The session store, called once per set-up."""

    headroom: Positive = 20.0  # call capacity, relative to the usual rate of set-ups
    time: DurationRange = durations_ms(2)  # of one call


class Network(Block, frozen=True):
    """One-way network delays, and connection time-outs."""

    same: DurationRange = durations_ms(0.2)  # within a zone
    cross: DurationRange = durations_ms(2.8, 5.2)  # between zones
    client: DurationRange = durations_ms(0.3, 1.1)  # between a client and a relay
    jitter: NonNegative = 0.2  # relative, per message
    segment: PositiveCount = 1448  # payload bytes per segment (host relay only)
    dial: Duration = Duration(250 * MS)  # time-out of connecting
    idle: Duration = Duration(5000 * MS)  # after which an unused connection is closed


class Rules(Block, frozen=True):
    """Limits that the rule checker enforces and that relays get as settings."""

    attempts: PositiveCount = 6  # maximum number of attempts of a request
    drain_grace: Duration = Duration(1000 * MS)  # after a drain notice, within which attempts may still be sent
    fall_multiple: Positive = 3.0  # limit of arrivals at a cold server, over the rate that fills it in its warm-up
    fall: Duration = Duration(1000 * MS)  # window in which arrivals at a cold server are counted
    slack: Duration = Duration(50 * MS)  # tolerance of all time limits
    line: Duration = Duration(1000 * MS)  # maximum time that a line may be held back
    retry_after: Duration = Duration(1500 * MS)  # maximum wait that BUSY may ask for
    report_fields: tuple[Literal["eps", "inflight", "queue", "x0"], ...] = ("eps", "inflight", "x0")


class Goal(Block, frozen=True):
    """Weights of the components of the service figure; they must add up to 1."""

    whole: Share = 0.5  # the whole day
    worst_window: Share = 0.2  # the worst ten seconds
    worst_class: Share = 0.3
    worst_tenant: Share = 0.0  # within its quota


class Prices(Block, frozen=True):
    """Deductions from the service figure: per first request of a client unless stated otherwise."""

    move: NonNegative = 0.03
    cross_zone: NonNegative = 0.03
    probe: NonNegative = 0.0029
    waste: NonNegative = 0.3  # per share of all set-up work that was wasted
    discovery: NonNegative = 0.02  # per hundred list lines


Kind = Literal[
    "hang",
    "pauses",
    "errors",
    "deploy",
    "shrink",
    "stale_roster",
    "silent_streams",
    "crash",
    "zone_lost",
    "zone_cut",
    "resets",
    "slow_store",
    "crowd",
    "relay_kill",
    "relay_restart",
    "upgrade",
    "reload",
    "discovery_down",
    "slow",
    "neighbour",
    "report_late",
]


class Trouble(Block, frozen=True):
    """A fault that begins at a given time and lasts for a while."""

    name: Kind
    at: DurationRange  # start, from the beginning of the day
    lasts: DurationRange = durations_ms(0)
    part: NumberRange = span(1.0)  # share of the servers, relays or connections that it affects
    size: NonNegative = 0.0  # severity, in a unit that depends on the kind: see the page on scenarios
    period: DurationRange = durations_ms(2300)  # interval of recurring events
    zone: Count | None = None  # affected zone, by index; none: drawn for zone_lost and zone_cut, else all zones
    one_way: bool = False  # zone_cut: only traffic towards the zone is lost


class Scenario(Block, frozen=True, rename={"classes": "class"}):
    """A simulated day."""

    title: Name = "unnamed"
    base: str = ""  # name of a bundled scenario whose values are the defaults
    seconds: Duration = Duration(50_000 * MS)
    zones: tuple[Name, ...] = ("a", "b", "c")
    servers: Servers = Servers()
    relays: Relays = Relays()
    classes: tuple[Class, ...] = ()
    tenant: tuple[Tenant, ...] = ()
    clients: Clients = Clients()
    discovery: Discovery = Discovery()
    store: Store = Store()
    network: Network = Network()
    rules: Rules = Rules()
    goal: Goal = Goal()
    prices: Prices = Prices()
    trouble: tuple[Trouble, ...] = ()
