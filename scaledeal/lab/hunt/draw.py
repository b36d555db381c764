"""Draws scenarios: small fleets, every kind of trouble, timings that overlap, habits of servers and clients.

Small on purpose: what breaks a rule mostly takes few relays, few clients and two troubles at once, and a small day is
played hundreds of times while a large one is played once.
"""

from __future__ import annotations

import msgspec
import numpy as np

from scaledeal.hcl import Duration, DurationRange, NumberRange
from scaledeal.lab.runs.play import HostName
from scaledeal.lab.scenario.types import (
    Class,
    Clients,
    Discovery,
    Kind,
    Model,
    Relays,
    Scenario,
    Servers,
    Store,
    Trouble,
)

MS = 1_000_000
SECOND = 1000 * MS
KINDS: tuple[Kind, ...] = (
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
    "reload",
    "discovery_down",
)
SIZES: dict[str, tuple[float, float]] = {
    "pauses": (50, 900),
    "errors": (0.2, 1),
    "deploy": (0.1, 1),
    "shrink": (0, 0.5),
    "stale_roster": (0.5, 6),
    "slow_store": (1.5, 30),
    "crowd": (0.5, 20),
}

USUAL: dict[Kind, float] = {"deploy": 0.4, "reload": 0.3, "crowd": 0.3}  # how often a day has one besides


SPREAD = (0.75, 1.25)  # of a scenario's sizes, where its own days are hunted


class Bounds(msgspec.Struct, frozen=True):
    """How large a drawn day may be."""

    servers: int = 8
    relays: int = 3
    seconds: float = 12.0
    troubles: int = 3
    life: float = 6.0
    clients: float = 150.0  # that stand at once, on average, at most


def drawn(draw: np.random.Generator, host: HostName, bounds: Bounds = Bounds()) -> Scenario:  # noqa: B008
    """Return one scenario."""
    seconds = int(draw.uniform(4, bounds.seconds) * SECOND)
    servers = int(draw.integers(1, bounds.servers + 1))
    count = int(draw.integers(1, bounds.troubles + 1))
    per_core = float(draw.uniform(2, 12))
    standing = float(np.exp(draw.uniform(np.log(3), np.log(bounds.clients))))
    load = min(1.5, standing / (servers * 2 * per_core))
    aim = int(draw.uniform(100, 500) * MS)
    bad = 5.0 if host == "relay" and draw.random() < 0.3 else 0.0
    return Scenario(
        title="drawn",
        seconds=Duration(seconds),
        zones=("a", "b", "c")[: int(draw.integers(1, 4))],
        servers=_servers(draw, servers, per_core),
        relays=_relays(draw, bounds),
        classes=(
            Class(
                name="one",
                aim=Duration(aim),
                deadline=Duration(aim + int(draw.uniform(0, 2000) * MS)),
                message=Duration(int(draw.uniform(50, 250) * MS)),
                worth=2.0,
            ),
            Class(name="two", aim=Duration(aim), deadline=Duration(2 * aim)),
        ),
        clients=Clients(
            load=load,
            life=DurationRange((SECOND, int(bounds.life * SECOND))),
            retries=int(draw.integers(0, 4)),
            impatient=float(draw.choice([0.0, 0.2])),
            bad=bad,
        ),
        discovery=Discovery(
            notice=_times(draw, 100, 3000),
            add=_times(draw, 100, 1500),
            silent=_times(draw, 500, 4000),
            call=Duration(int(draw.choice([1, 20, 200]) * MS)),
        ),
        store=Store(headroom=float(draw.choice([1.2, 5.0, 20.0]))),
        trouble=tuple([_trouble(draw, seconds) for _ in range(count)] + _usual(draw, seconds)),
    )


def around(draw: np.random.Generator, day: Scenario) -> Scenario:
    """Return a scenario's day with other sizes: servers, relays and clients, each up to a quarter more or less."""
    servers, relays, load = (float(draw.uniform(*SPREAD)) for _ in range(3))
    replace = msgspec.structs.replace
    return replace(
        day,
        servers=replace(day.servers, count=max(1, round(servers * day.servers.count))),
        relays=replace(day.relays, count=max(1, round(relays * day.relays.count))),
        clients=replace(day.clients, load=load * day.clients.load),
    )


def _servers(draw: np.random.Generator, count: int, per_core: float) -> Servers:
    model = Model(
        name="m",
        cores=2,
        speed=NumberRange((0.8, 1.6)),
        cap=int(draw.choice([0, 3, 50])),
        cold_from=NumberRange((0.3, 0.6)),
        cold=_times(draw, 1000, 6000),
    )
    return Servers(
        count=count,
        model=(model,),
        per_core=NumberRange((per_core, per_core)),
        goaway=bool(draw.random() < 0.7),
        group_cost=float(draw.choice([0.0, 3.0])),
        group_size=5.0,
        leaves=_times(draw, 500, 4000),
    )


def _relays(draw: np.random.Generator, bounds: Bounds) -> Relays:
    return Relays(
        count=int(draw.integers(1, bounds.relays + 1)),
        notice=_times(draw, 200, 3000),
        sockets=int(draw.choice([150, 1024])),
    )


def _usual(draw: np.random.Generator, seconds: int) -> list[Trouble]:
    """Return what operators do every day and clients with them: most failures need one of these beside another."""
    return [_trouble(draw, seconds, kind) for kind, share in USUAL.items() if draw.random() < share]


def _trouble(draw: np.random.Generator, seconds: int, kind: Kind | None = None) -> Trouble:
    kind = kind or KINDS[int(draw.integers(len(KINDS)))]
    at = int(draw.uniform(0, 0.8) * seconds)
    lasts = int(draw.uniform(0.1, 0.6) * seconds)
    low, high = SIZES.get(kind, (0.0, 0.0))
    part = float(draw.uniform(0.1, 1.0))
    return Trouble(
        name=kind,
        at=DurationRange((at, at)),
        lasts=DurationRange((lasts, lasts)),
        part=NumberRange((part, part)),
        size=float(draw.uniform(low, high)) if high else 0.0,
        period=_times(draw, 200, 2500),
        one_way=bool(draw.random() < 0.3),
    )


def _times(draw: np.random.Generator, low: float, high: float) -> DurationRange:
    ends = sorted(int(draw.uniform(low, high) * MS) for _ in range(2))
    return DurationRange((ends[0], ends[1]))
