"""A soak drawn from its seed: the fleet's size, its settings, and faults that overlap; the same seed, the same plan."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Any

import msgspec

MS = 1_000_000


class Fault(Enum):
    """What can go wrong; the targets are a relay, a server, both, or all."""

    WALL_STEP = "wall_step"  # the relay's wall clock steps, several times
    TERMINATE = "terminate"  # relays are told to end one after another, killed at the page's earliest, started anew
    KILL = "kill"  # the relay is killed without a word
    PAUSE = "pause"  # the relay is held up, for 0.15 s at most
    CALLS = "calls"  # the relay's system calls fail
    RELOAD = "reload"  # a new configuration moves discovery
    HANG = "hang"  # the server stops, and goes on later
    CRASH = "crash"  # the server is killed, and returns cold
    DRAIN = "drain"  # the server drains, leaves, and is replaced by a cold one
    BAD_SERVER = "bad_server"  # the server answers badly
    CUT = "cut"  # relays and servers do not reach each other, and connections are reset at the end of that
    RESET = "reset"  # all connections to the server are reset at once
    LATE = "late"  # connections to the server come up late
    PIECES = "pieces"  # bytes to and from the server come in pieces
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"  # open watches fall silent
    DISCOVERY_SLOW = "discovery_slow"
    CROWD = "crowd"  # many clients at once


class ServerBehavior(Enum):
    """How a server answers."""

    SOUND = "sound"
    ERRORS = "errors"
    BUSY = "busy"
    SERVED = "served"  # BYE at once
    HALF = "half"  # half a line, then a reset
    ENDS = "ends"  # ends connections soon after they are up
    SLOW = "slow"  # answers after a second


class Event(msgspec.Struct, frozen=True):
    """One fault: when it begins, how long it lasts, and whom it befalls."""

    at: float  # seconds from the start of the traffic
    fault: Fault
    duration: float = msgspec.field(name="lasts")  # seconds
    relays: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    amount: float = 0.0  # a step in seconds, a share of calls, clients of a crowd
    behavior: ServerBehavior = ServerBehavior.SOUND


class Plan(msgspec.Struct, frozen=True):
    """One soak."""

    seed: int
    seconds: float  # of traffic
    relays: int
    servers: int
    rate: float  # requests a second over the whole fleet
    pushed: bool  # whether discovery is an agent that pushes
    settings: dict[str, Any]
    events: tuple[Event, ...]

    @property
    def longest_deadline(self) -> float:
        """Return the longest deadline in seconds, as SIGKILL heeds it."""
        return float(min(3.0, max(each["Deadline"] for each in self.settings["Classes"]) / 1e9))


CLASSES = (("browse", "repeatable"), ("notes", "by_key"), ("order", "once"))
DRAIN_GRACE = 1.0  # seconds
LEAST, MOST = 10, 40  # processes
HOUR = 3600.0


def draw(seed: int, seconds: float = 20.0, most: int = MOST) -> Plan:
    """Draw a soak of ``seconds`` of traffic and at most ``most`` processes from its seed."""
    random = Random(seed)
    processes = random.randint(LEAST, min(most, random.choice((16, 24, MOST))))
    relays = random.randint(3, max(3, processes // 2))
    servers = processes - relays
    pushed = random.random() < 0.3
    events = [_event(random, fault, seconds, relays, servers) for fault in _kinds(random)]
    return Plan(
        seed,
        seconds,
        relays,
        servers,
        random.uniform(15.0, 45.0),
        pushed,
        _settings(random, relays, pushed),
        tuple(sorted(events, key=lambda event: event.at)),
    )


def _kinds(random: Random) -> list[Fault]:
    """Return the faults of one soak: at least a restart and a stepped clock, and several more beside them."""
    always = [Fault.TERMINATE, Fault.WALL_STEP]
    return always + random.choices(list(Fault), k=random.randint(5, 10))


def _settings(random: Random, relays: int, pushed: bool) -> dict[str, Any]:
    deadlines = {name: random.choice((800, 1200, 1800, 3000)) for name, _ in CLASSES}
    classes = [
        {
            "Name": name,
            "Aim": deadlines[name] * MS // 3,
            "Deadline": deadlines[name] * MS,
            "Worth": 2.0,
            "Semantics": semantics,
            "KeyScope": random.choice(("cell", "all")),
            "Window": 2000 * MS,
        }
        for name, semantics in CLASSES
    ]
    return {
        "Classes": classes,
        "Caps": {
            "Probing": True,
            "Cancelling": True,
            "RetryAfter": True,
            "MaxRetryAfter": 1500 * MS,
            "MaxAttempts": 6,
            "DialTimeout": 250 * MS,
            "IdleClose": 5000 * MS,
        },
        "Report": {"Fields": ["fail_rate", "rif", "x0"], "Via": "probe"},
        "Discovery": "pushed" if pushed else "on_request",
        "FailureDomains": ["a", "b"],
        "Siblings": relays,
        "Specifics": {"Groups": True, "MessageAim": [150 * MS] * len(CLASSES)},
        "Weights": "rough",
        "Rules": {
            "AskWithin": 10_000 * MS,
            "ColdFrom": 0.3,
            "DrainGrace": DRAIN_GRACE * 1e9,
            "Fall": 1000 * MS,
            "OverloadFactor": 3.0,
            "WarmAfter": 5000 * MS,
        },
    }


def _event(random: Random, fault: Fault, seconds: float, relays: int, servers: int) -> Event:
    at = random.uniform(1.0, seconds * 0.8)
    one_relay = (random.randrange(relays),)
    few_relays = tuple(random.sample(range(relays), random.randint(1, relays)))
    few_servers = tuple(random.sample(range(servers), random.randint(1, max(1, servers // 3))))
    match fault:
        case Fault.WALL_STEP:
            step = random.choice((-1, 1)) * random.choice((0.5, 2.5, 6.0, HOUR))
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
                behavior=random.choice([each for each in ServerBehavior if each is not ServerBehavior.SOUND]),
            )
        case Fault.CUT:
            return Event(at, fault, random.uniform(2.0, 8.0), few_relays, few_servers)
        case Fault.LATE | Fault.PIECES:
            return Event(at, fault, random.uniform(1.0, 4.0), servers=few_servers)
        case Fault.CROWD:
            return Event(at, fault, 1.0, amount=random.choice((60, 120, 200)))
        case _:
            return Event(at, fault, random.uniform(1.0, 5.0))
