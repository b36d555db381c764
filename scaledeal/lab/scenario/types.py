"""What a scenario may say.

A ``NumberRange`` or ``DurationRange`` is a range of which each run, or each member, draws its own.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from scaledeal.hcl import Duration, DurationRange, NumberRange

MS = 1_000_000
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Some = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


def span(low: float, high: float | None = None) -> NumberRange:
    """Return a range of numbers."""
    return NumberRange((low, low if high is None else high))


def times(low: float, high: float | None = None) -> DurationRange:
    """Return a range of durations, told in ms."""
    return DurationRange((int(low * MS), int((low if high is None else high) * MS)))


class Block(msgspec.Struct, frozen=True, kw_only=True):
    """One block of a scenario."""


class Model(Block, frozen=True):
    """A kind of machine."""

    name: str = ""
    share: Positive = 1.0  # of the fleet, over the sum of all models' shares
    cores: Some = 3
    speed: NumberRange = span(1.0)  # of a core; one that does the work stated for a reference core is 1
    cap: Count = 0  # connections that it can hold; 0: any number
    cold_from: NumberRange = span(0.4)  # share of its capacity with which it starts
    cold: DurationRange = times(6000)  # time until it is warm, growing evenly


class Servers(Block, frozen=True):
    """The tile servers."""

    count: Some = 14
    model: tuple[Model, ...] = (Model(name="plain"),)
    # What the list tells: cores times speed; cores; or cores over 1 and the connections held for each of them.
    weights: Literal["none", "nominal", "rough", "live"] = "rough"
    per_core: NumberRange = span(15)  # connections of mean load that fill a reference core
    setup: DurationRange = times(8)  # work of a reference core for a set-up
    handshakes: NumberRange = span(1, 2)  # round trips before a new connection can carry a line
    group_cost: Amount = 0.0  # mean connection loads that a server pays for each group it holds any of
    group_size: Amount = 0.0  # mean connections of a group over the fleet; 0: there are no groups
    group_skew: Amount = 1.0  # of the groups' sizes: the exponent of a Zipf law
    goaway: bool = True  # whether one that drains sends its clients away at once
    leaves: DurationRange = times(2500, 4000)  # time from the beginning of a drain until the process is gone
    queue: DurationRange = times(400)  # set-up work that may wait; a new connection beyond it is turned away
    buffer: DurationRange = times(1500)  # piled up work of messages past which connections are dropped
    sheds: Literal["heaviest", "newest"] = "heaviest"  # which of them
    probe: DurationRange = times(0.27)  # work of a reference core for a probe
    report_period: DurationRange = times(540, 1400)  # how often reports are refreshed
    report_delay: DurationRange = times(100, 470)  # and how old they are then at least
    report_noise: Amount = 0.03  # relative deviation
    tells_load: bool = True
    message: Positive = 0.08  # a message's time at an idle server, over the class's message aim

    @property
    def coldest(self) -> float:
        """Return the share of its capacity that any server has at the least when it starts, as relays are told."""
        return min(model.cold_from.low for model in self.model)

    @property
    def warm_after(self) -> int:
        """Return the ns after which any server is warm, as relays are told."""
        return int(max(model.cold.high for model in self.model))


class Class(Block, frozen=True):
    """A class of connections."""

    name: str = ""
    share: Positive = 1.0  # of new connections, over the sum of all shares
    aim: Duration = Duration(300 * MS)  # wanted time of a set-up
    deadline: Duration = Duration(2000 * MS)  # time after which a client gives up a try
    worth: Amount = 1.0  # of a second in which a connection is well served
    message: Duration = Duration(150 * MS)  # wanted time of a message
    load: NumberRange = span(1.0)  # of a connection, over the mean
    life: NumberRange = span(1.0)  # over the clients' life
    spread: Amount = 1.0  # sigma of the loads' lognormal law
    swing: Amount = 0.5  # sigma of a connection's load over time
    change: DurationRange = times(6000, 18_000)  # how often it changes


class Tenant(Block, frozen=True):
    """A customer with a share of the service."""

    name: str = ""
    share: Positive = 1.0  # of new connections, over the sum of all tenants' shares
    quota: Positive = 1.0  # of what the fleet can do: what it asks beyond that is worth less


class Clients(Block, frozen=True):
    """Who comes, how often and with what habits."""

    load: Positive = 0.4  # of what the fleet can do, on average
    life: DurationRange = times(30_000)  # mean time for which a client wants its connection
    law: Literal["exponential", "lognormal", "fixed"] = "exponential"
    shape: Literal["steady", "wave", "bursty"] = "steady"
    swing: Share = 0.3  # how far a wave, or a burst, leaves the mean
    zone_skew: Share = 0.2  # how far the zones' shares lie from one another
    standing: bool = True  # whether the day begins with as many connections as it would have by then
    retries: Count = 2  # of a client whose first tries were refused or failed; one that stood comes until it is done
    backoff: DurationRange = times(60)  # before a retry; doubles
    backoff_most: Duration = Duration(2000 * MS)
    rejoin: DurationRange = times(91, 910)  # from a move or a break until the client comes again
    honour: Share = 0.65  # of clients that wait as long as BUSY asks
    impatient: Share = 0.0  # of clients that leave before their time
    over_worth: Share = 0.1  # worth of what a tenant asks beyond its quota, over the usual
    bad: Amount = 0.0  # clients a second that send what is no request (host relay)


class Relays(Block, frozen=True):
    """The relays and the front."""

    count: Some = 3
    notice: DurationRange = times(800, 4000)  # until the front sees that one is dead
    start: DurationRange = times(800)  # from its start until a relay serves
    event: Amount = 60.0  # microseconds of a core for each thing that a relay handles
    cores: Positive = 0.8
    sockets: Some = 1024


class Discovery(Block, frozen=True):
    """The list."""

    mode: Literal["asked", "pushed"] = "asked"  # one service that handles calls in turn, or an agent at each relay
    notice: DurationRange = times(540, 4900)  # until it knows that a process drains or has ended
    silent: DurationRange = times(4000, 12_000)  # the same of a machine that vanished
    add: DurationRange = times(720, 2400)  # until it knows of a new one
    period: DurationRange = times(190, 1300)  # its own rounds: changes show at the next
    line: Duration = Duration(MS // 50)  # time that it takes for each line it sends
    call: Duration = Duration(MS)  # and for each call
    patience: Duration = Duration(3000 * MS)  # after which a call that waits fails


class Store(Block, frozen=True):
    """The session store that every set-up calls."""

    headroom: Positive = 20.0  # calls that it can take, over the usual rate of set-ups
    time: DurationRange = times(2)  # of a call


class Network(Block, frozen=True):
    """One way times."""

    same: DurationRange = times(0.2)
    cross: DurationRange = times(2.8, 5.2)
    client: DurationRange = times(0.3, 1.1)
    jitter: Amount = 0.2  # relative, of each message
    segment: Some = 1448  # bytes that one segment carries (host relay)
    dial: Duration = Duration(250 * MS)  # after which a connection that does not come up counts as failed
    idle: Duration = Duration(5000 * MS)  # after which one without use is closed


class Rules(Block, frozen=True):
    """The figures of the rules that are checked, and that the relays are told."""

    attempts: Some = 6
    drain_grace: Duration = Duration(1000 * MS)
    fall_multiple: Positive = 3.0
    fall: Duration = Duration(1000 * MS)
    slack: Duration = Duration(50 * MS)  # by which all of it may be late
    line: Duration = Duration(1000 * MS)  # that a line may be held back
    retry_after: Duration = Duration(1500 * MS)
    report_fields: tuple[Literal["eps", "inflight", "queue", "x0"], ...] = ("eps", "inflight", "x0")


class Goal(Block, frozen=True):
    """What service is made of: shares of the figure."""

    whole: Share = 0.5
    worst_window: Share = 0.2  # the worst ten seconds
    worst_class: Share = 0.3
    worst_tenant: Share = 0.0  # within its quota


class Prices(Block, frozen=True):
    """What costs service: per first visit of a client unless stated otherwise."""

    move: Amount = 0.03
    cross_zone: Amount = 0.03
    probe: Amount = 0.0029
    waste: Amount = 0.3  # set-up work that came to nothing, over all work
    discovery: Amount = 0.02  # for a hundred list lines


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
    """Something that goes wrong from a moment on, for a while."""

    name: Kind
    at: DurationRange
    lasts: DurationRange = times(0)
    part: NumberRange = span(1.0)  # of those it can befall: servers, relays, or calls
    size: Amount = 0.0  # how bad: see the page of scenarios
    period: DurationRange = times(2300)  # of what comes again and again
    zone: Count | None = None  # which; none: one is drawn
    one_way: bool = False  # zone_cut: only towards the zone


class Scenario(Block, frozen=True, rename={"classes": "class"}):
    """A whole day."""

    title: Name = "unnamed"
    base: str = ""  # a ready scenario that this one builds on
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
