"""Draws scenarios: small fleets, every kind of trouble, overlapping times, and varied servers and clients.

Fleets are small since most failures need only a few relays, a few clients and two troubles at once, and a small day
can be played hundreds of times while a large one is played once.
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
TROUBLE_KINDS: tuple[Kind, ...] = (
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
# Range of ``Trouble.size`` by kind, in the unit of that kind.
TROUBLE_SIZES: dict[str, tuple[float, float]] = {
    "pauses": (50, 900),
    "errors": (0.2, 1),
    "deploy": (0.1, 1),
    "shrink": (0, 0.5),
    "stale_roster": (0.5, 6),
    "slow_store": (1.5, 30),
    "crowd": (0.5, 20),
}

# Probability that a day has one of this kind in addition to the drawn troubles.
ROUTINE_TROUBLES: dict[Kind, float] = {"deploy": 0.4, "reload": 0.3, "crowd": 0.3}
SIZE_FACTORS = (0.75, 1.25)  # range by which ``vary_sizes`` multiplies the sizes of a scenario


class Bounds(msgspec.Struct, frozen=True):
    """Upper bounds of a drawn day."""

    servers: int = 8
    relays: int = 3
    seconds: float = 12.0
    troubles: int = 3
    client_life_s: float = 6.0  # mean client lifetimes are drawn from 1 s to this
    connections: float = 150.0  # mean number at once


def draw_scenario(rng: np.random.Generator, host: HostName, bounds: Bounds = Bounds()) -> Scenario:  # noqa: B008
    """Return a random scenario within ``bounds``."""
    length = int(rng.uniform(4, bounds.seconds) * SECOND)
    server_count = int(rng.integers(1, bounds.servers + 1))
    trouble_count = int(rng.integers(1, bounds.troubles + 1))
    connections_per_core = float(rng.uniform(2, 12))
    connections = float(np.exp(rng.uniform(np.log(3), np.log(bounds.connections))))
    load = min(1.5, connections / (server_count * 2 * connections_per_core))
    aim = int(rng.uniform(100, 500) * MS)
    bad_clients_per_s = 5.0 if host == "relay" and rng.random() < 0.3 else 0.0
    return Scenario(
        title="drawn",
        seconds=Duration(length),
        zones=("a", "b", "c")[: int(rng.integers(1, 4))],
        servers=_draw_servers(rng, server_count, connections_per_core),
        relays=_draw_relays(rng, bounds),
        classes=(
            Class(
                name="one",
                aim=Duration(aim),
                deadline=Duration(aim + int(rng.uniform(0, 2000) * MS)),
                message=Duration(int(rng.uniform(50, 250) * MS)),
                worth=2.0,
            ),
            Class(name="two", aim=Duration(aim), deadline=Duration(2 * aim)),
        ),
        clients=Clients(
            load=load,
            life=DurationRange((SECOND, int(bounds.client_life_s * SECOND))),
            retries=int(rng.integers(0, 4)),
            impatient=float(rng.choice([0.0, 0.2])),
            bad=bad_clients_per_s,
        ),
        discovery=Discovery(
            notice=_draw_times(rng, 100, 3000),
            add=_draw_times(rng, 100, 1500),
            silent=_draw_times(rng, 500, 4000),
            call=Duration(int(rng.choice([1, 20, 200]) * MS)),
        ),
        store=Store(headroom=float(rng.choice([1.2, 5.0, 20.0]))),
        trouble=tuple([_draw_trouble(rng, length) for _ in range(trouble_count)] + _routine_troubles(rng, length)),
    )


def vary_sizes(rng: np.random.Generator, day: Scenario) -> Scenario:
    """Return a scenario with its numbers of servers and relays and its client load each varied by up to a quarter."""
    server_factor, relay_factor, load_factor = (float(rng.uniform(*SIZE_FACTORS)) for _ in range(3))
    replace = msgspec.structs.replace
    return replace(
        day,
        servers=replace(day.servers, count=max(1, round(server_factor * day.servers.count))),
        relays=replace(day.relays, count=max(1, round(relay_factor * day.relays.count))),
        clients=replace(day.clients, load=load_factor * day.clients.load),
    )


def _draw_servers(rng: np.random.Generator, count: int, connections_per_core: float) -> Servers:
    model = Model(
        name="m",
        cores=2,
        speed=NumberRange((0.8, 1.6)),
        cap=int(rng.choice([0, 3, 50])),
        cold_from=NumberRange((0.3, 0.6)),
        cold=_draw_times(rng, 1000, 6000),
    )
    return Servers(
        count=count,
        model=(model,),
        per_core=NumberRange((connections_per_core, connections_per_core)),
        goaway=bool(rng.random() < 0.7),
        group_cost=float(rng.choice([0.0, 3.0])),
        group_size=5.0,
        leaves=_draw_times(rng, 500, 4000),
    )


def _draw_relays(rng: np.random.Generator, bounds: Bounds) -> Relays:
    return Relays(
        count=int(rng.integers(1, bounds.relays + 1)),
        notice=_draw_times(rng, 200, 3000),
        sockets=int(rng.choice([150, 1024])),
    )


def _routine_troubles(rng: np.random.Generator, length: int) -> list[Trouble]:
    """Return routine events such as deploys: most failures need one of them together with another trouble."""
    return [
        _draw_trouble(rng, length, kind) for kind, probability in ROUTINE_TROUBLES.items() if rng.random() < probability
    ]


def _draw_trouble(rng: np.random.Generator, length: int, kind: Kind | None = None) -> Trouble:
    kind = kind or TROUBLE_KINDS[int(rng.integers(len(TROUBLE_KINDS)))]
    at = int(rng.uniform(0, 0.8) * length)
    duration = int(rng.uniform(0.1, 0.6) * length)
    low, high = TROUBLE_SIZES.get(kind, (0.0, 0.0))
    part = float(rng.uniform(0.1, 1.0))
    return Trouble(
        name=kind,
        at=DurationRange((at, at)),
        lasts=DurationRange((duration, duration)),
        part=NumberRange((part, part)),
        size=float(rng.uniform(low, high)) if high else 0.0,
        period=_draw_times(rng, 200, 2500),
        one_way=bool(rng.random() < 0.3),
    )


def _draw_times(rng: np.random.Generator, low_ms: float, high_ms: float) -> DurationRange:
    bounds = sorted(int(rng.uniform(low_ms, high_ms) * MS) for _ in range(2))
    return DurationRange((bounds[0], bounds[1]))
