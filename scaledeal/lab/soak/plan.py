"""Draws the plan of a soak from a seed: the fleet's size, its settings, and overlapping faults.

The same seed always gives the same plan.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Any

import msgspec

NS_PER_MS = 1_000_000


class Fault(Enum):
    """A kind of fault; it affects relays, servers, links between them, or the whole fleet."""

    WALL_STEP = "wall_step"  # the relay's wall clock steps, several times
    TERMINATE = "terminate"  # relays are sent SIGTERM in turn, SIGKILL as early as the protocol allows, and restarted
    KILL = "kill"  # the relay is sent SIGKILL without SIGTERM
    PAUSE = "pause"  # the relay is stopped, for 0.15 s at most
    CALLS = "calls"  # the relay's system calls fail
    RELOAD = "reload"  # a new configuration changes the address of discovery
    HANG = "hang"  # the server is stopped, and continued later
    CRASH = "crash"  # the server is killed, and restarted cold
    DRAIN = "drain"  # the server drains and leaves, and a cold one replaces it
    BAD_SERVER = "bad_server"  # the server behaves as one of ``ServerBehavior``
    CUT = "cut"  # no bytes pass between relays and servers; their connections are reset at the end
    RESET = "reset"  # all connections to the server are reset at once
    LATE = "late"  # new connections to the server are established late
    PIECES = "pieces"  # bytes to and from the server are forwarded in pieces
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"  # open watches are never answered
    DISCOVERY_SLOW = "discovery_slow"
    CROWD = "crowd"  # many clients start at once


class ServerBehavior(Enum):
    """How a server answers."""

    SOUND = "sound"
    ERRORS = "errors"
    BUSY = "busy"
    SERVED = "served"  # answers with BYE at once
    HALF = "half"  # sends half a line, then resets the connection
    ENDS = "ends"  # closes connections soon after they are established
    SLOW = "slow"  # answers after 1 s


class Event(msgspec.Struct, frozen=True):
    """One fault: its start, its duration, and the relays and servers that it affects."""

    at: float  # seconds from the start of the traffic
    fault: Fault
    duration: float = msgspec.field(name="lasts")  # seconds
    relays: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    amount: float = 0.0  # seconds of a clock step, share of failing calls, or number of clients
    behavior: ServerBehavior = ServerBehavior.SOUND


class Plan(msgspec.Struct, frozen=True):
    """The plan of one soak."""

    seed: int
    seconds: float  # duration of the traffic
    relays: int
    servers: int
    rate: float  # requests per second over the whole fleet
    pushed: bool  # whether the settings declare discovery an agent that pushes
    settings: dict[str, Any]
    events: tuple[Event, ...]

    @property
    def longest_deadline(self) -> float:
        """Return the longest deadline in seconds, at most 3 s, that the relays have before SIGKILL."""
        return float(min(3.0, max(entry["Deadline"] for entry in self.settings["Classes"]) / 1e9))


CLASSES = (("browse", "repeatable"), ("notes", "by_key"), ("order", "once"))
DRAIN_GRACE_S = 1.0
MIN_PROCESSES = 10
MAX_PROCESSES = 40
HOUR_S = 3600.0


def draw_plan(seed: int, seconds: float = 20.0, max_processes: int = MAX_PROCESSES) -> Plan:
    """Draw the plan of a soak with ``seconds`` of traffic and at most ``max_processes`` processes."""
    random = Random(seed)
    processes = random.randint(MIN_PROCESSES, min(max_processes, random.choice((16, 24, MAX_PROCESSES))))
    relays = random.randint(3, max(3, processes // 2))
    servers = processes - relays
    pushed = random.random() < 0.3
    events = [_draw_event(random, fault, seconds, relays, servers) for fault in _draw_faults(random)]
    return Plan(
        seed,
        seconds,
        relays,
        servers,
        random.uniform(15.0, 45.0),
        pushed,
        _draw_settings(random, relays, pushed),
        tuple(sorted(events, key=lambda event: event.at)),
    )


def _draw_faults(random: Random) -> list[Fault]:
    """Return the kinds of faults of one soak: a termination, a clock step, and 5 to 10 more."""
    always = [Fault.TERMINATE, Fault.WALL_STEP]
    return always + random.choices(list(Fault), k=random.randint(5, 10))


def _draw_settings(random: Random, relays: int, pushed: bool) -> dict[str, Any]:
    deadlines = {name: random.choice((800, 1200, 1800, 3000)) for name, _ in CLASSES}
    classes = [
        {
            "Name": name,
            "Aim": deadlines[name] * NS_PER_MS // 3,
            "Deadline": deadlines[name] * NS_PER_MS,
            "Worth": 2.0,
            "Semantics": semantics,
            "KeyScope": random.choice(("cell", "all")),
            "Window": 2000 * NS_PER_MS,
        }
        for name, semantics in CLASSES
    ]
    return {
        "Classes": classes,
        "Caps": {
            "Probing": True,
            "Cancelling": True,
            "RetryAfter": True,
            "MaxRetryAfter": 1500 * NS_PER_MS,
            "MaxAttempts": 6,
            "DialTimeout": 250 * NS_PER_MS,
            "IdleClose": 5000 * NS_PER_MS,
        },
        "Report": {"Fields": ["fail_rate", "rif", "x0"], "Via": "probe"},
        "Discovery": "pushed" if pushed else "on_request",
        "FailureDomains": ["a", "b"],
        "Siblings": relays,
        "Specifics": {"Groups": True, "MessageAim": [150 * NS_PER_MS] * len(CLASSES)},
        "Weights": "rough",
        "Rules": {
            "AskWithin": 10_000 * NS_PER_MS,
            "ColdFrom": 0.3,
            "DrainGrace": DRAIN_GRACE_S * 1e9,
            "Fall": 1000 * NS_PER_MS,
            "OverloadFactor": 3.0,
            "WarmAfter": 5000 * NS_PER_MS,
        },
    }


def _draw_event(random: Random, fault: Fault, seconds: float, relays: int, servers: int) -> Event:
    at = random.uniform(1.0, seconds * 0.8)
    one_relay = (random.randrange(relays),)
    few_relays = tuple(random.sample(range(relays), random.randint(1, relays)))
    few_servers = tuple(random.sample(range(servers), random.randint(1, max(1, servers // 3))))
    match fault:
        case Fault.WALL_STEP:
            step = random.choice((-1, 1)) * random.choice((0.5, 2.5, 6.0, HOUR_S))
            return Event(at, fault, random.uniform(2.0, 8.0), few_relays, amount=step)
        case Fault.TERMINATE:
            series = tuple(random.sample(range(relays), random.randint(1, max(1, relays // 2))))
            return Event(min(at, seconds * 0.6), fault, random.uniform(0.1, 0.8) * len(series), series)
        case Fault.KILL | Fault.RELOAD:
            return Event(at, fault, 0.0, one_relay)
        case Fault.PAUSE:
            return Event(at, fault, random.uniform(0.05, 0.14), one_relay)
        case Fault.CALLS:
            return Event(at, fault, random.uniform(2.0, 6.0), few_relays, amount=random.choice((0.02, 0.1, 0.25)))
        case Fault.HANG:
            return Event(at, fault, random.uniform(1.0, 8.0), servers=few_servers)
        case Fault.CRASH | Fault.DRAIN | Fault.RESET:
            return Event(at, fault, random.uniform(1.0, 3.0), servers=few_servers)
        case Fault.BAD_SERVER:
            return Event(
                at,
                fault,
                random.uniform(2.0, 6.0),
                servers=few_servers,
                behavior=random.choice(
                    [behavior for behavior in ServerBehavior if behavior is not ServerBehavior.SOUND]
                ),
            )
        case Fault.CUT:
            return Event(at, fault, random.uniform(2.0, 8.0), few_relays, few_servers)
        case Fault.LATE | Fault.PIECES:
            return Event(at, fault, random.uniform(1.0, 4.0), servers=few_servers)
        case Fault.CROWD:
            return Event(at, fault, 1.0, amount=random.choice((60, 120, 200)))
        case _:
            return Event(at, fault, random.uniform(1.0, 5.0))
