"""What goes wrong, and when: each kind is one function that plans its own beginning and end.

Whom a trouble befalls is drawn from a stream of its own, by its place in the file: a trouble more changes no other's.
"""

from __future__ import annotations

from collections.abc import Callable

import numpy as np

from scaledeal.lab.scenario.types import Trouble
from scaledeal.lab.world.fleet import SECOND, Fleet
from scaledeal.lab.world.server import TileServer

MS = 1_000_000
Plan = Callable[[Fleet, Trouble, np.random.Generator, int], None]


def begin(fleet: Fleet) -> None:
    """Plan all troubles of a day."""
    for number, trouble in enumerate(fleet.day.trouble):
        draw = fleet.streams.of("trouble", number)
        lasts = int(_drawn(draw, trouble.lasts))
        moment = int(_drawn(draw, trouble.at))
        fleet.kernel.at(moment, lambda t=trouble, d=draw, s=lasts: PLANS[t.name](fleet, t, d, s))  # type: ignore[misc]


def _some(fleet: Fleet, trouble: Trouble, draw: np.random.Generator) -> list[TileServer]:
    live = fleet.live()
    if trouble.zone is not None:
        live = [server for server in live if server.zone == trouble.zone]
    many = int(round(_drawn(draw, trouble.part) * len(live)))
    return [live[place] for place in sorted(draw.permutation(len(live))[:many])]


def _relays(fleet: Fleet, trouble: Trouble, draw: np.random.Generator) -> list[int]:
    count = len(fleet.doors)
    many = int(round(_drawn(draw, trouble.part) * count))
    return [int(place) for place in draw.permutation(count)[:many]]


def _hang(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    for server in _some(fleet, trouble, draw):
        server.hang(True)
        fleet.kernel.after(lasts, lambda server=server: server.hang(False))  # type: ignore[misc]


def _pauses(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    end = fleet.kernel.now + lasts

    def stand_still(server: TileServer) -> None:
        if fleet.kernel.now < end and server.alive:
            server.pause(fleet.kernel.now + int(trouble.size * MS))
            fleet.kernel.after(int(_drawn(draw, trouble.period)), lambda: stand_still(server))

    for server in _some(fleet, trouble, draw):
        fleet.kernel.after(int(draw.random() * trouble.period.low), lambda server=server: stand_still(server))  # type: ignore[misc]


def _errors(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    for server in _some(fleet, trouble, draw):
        server.error_share = trouble.size or 1.0
        fleet.kernel.after(lasts, lambda server=server: setattr(server, "error_share", 0.0))  # type: ignore[misc]


def _deploy(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    """Replace a part in steps of ``size`` of the fleet; each leaves, and a cold one of its model takes its place."""
    going = _some(fleet, trouble, draw)
    step = max(1, int(round(trouble.size * len(fleet.live()))))
    steps = [going[at : at + step] for at in range(0, len(going), step)]
    for number, servers in enumerate(steps):
        fleet.kernel.after(
            lasts * number // max(1, len(steps)),
            lambda servers=servers: _replace(fleet, servers, trouble, draw),  # type: ignore[misc]
        )


def _replace(fleet: Fleet, servers: list[TileServer], trouble: Trouble, draw: np.random.Generator) -> None:
    for server in servers:
        if not server.alive:
            continue
        fleet.drain_server(server)
        wait = int(_drawn(draw, trouble.period))  # until the successor's process runs
        fleet.kernel.after(wait, lambda s=server: fleet.start_server(s.model, s.zone))  # type: ignore[misc]


def _shrink(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    """Take away a part of the fleet, and ``size`` of the clients' rate with it."""
    fleet.population.extra_rate -= trouble.size
    going = _some(fleet, trouble, draw)
    for number, server in enumerate(going):
        fleet.kernel.after(lasts * number // max(1, len(going)), lambda s=server: fleet.drain_server(s))  # type: ignore[misc]


def _stale_roster(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    late = int((trouble.size or 5.0) * SECOND)
    fleet.directory.extra_delay += late
    fleet.kernel.after(lasts, lambda: setattr(fleet.directory, "extra_delay", fleet.directory.extra_delay - late))


def _silent_streams(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    part = _drawn(draw, trouble.part)
    for server in fleet.live():
        server.silence_some(part)


def _crash(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    for server in _some(fleet, trouble, draw):
        _lose(fleet, server, lasts, False)


def _lose(fleet: Fleet, server: TileServer, lasts: int, silently: bool) -> None:
    fleet.end_server(server, silently)
    if lasts:
        fleet.kernel.after(lasts, lambda: fleet.start_server(server.model, server.zone))


def _zone(fleet: Fleet, trouble: Trouble, draw: np.random.Generator) -> int:
    return trouble.zone if trouble.zone is not None else int(draw.integers(len(fleet.day.zones)))


def _zone_lost(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    """Lose all machines of a zone without a word; they come back cold."""
    zone = _zone(fleet, trouble, draw)
    for server in [each for each in fleet.live() if each.zone == zone]:
        _lose(fleet, server, lasts, True)


def _zone_cut(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    zone, zones = _zone(fleet, trouble, draw), len(fleet.day.zones)
    fleet.paths.set_cut(zone, zones, trouble.one_way, True)
    fleet.kernel.after(lasts, lambda: fleet.paths.set_cut(zone, zones, trouble.one_way, False))


def _resets(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    """Break a part of all connections, every period."""
    end, part = fleet.kernel.now + lasts, _drawn(draw, trouble.part)

    def again() -> None:
        for server in fleet.live():
            server.reset_some(part)
        if fleet.kernel.now < end:
            fleet.kernel.after(int(_drawn(draw, trouble.period)), again)

    again()


def _slow_store(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    fleet.store_slow *= trouble.size
    fleet.kernel.after(lasts, lambda: setattr(fleet, "store_slow", fleet.store_slow / trouble.size))


def _crowd(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    fleet.population.extra_rate += trouble.size
    fleet.kernel.after(
        lasts, lambda: setattr(fleet.population, "extra_rate", fleet.population.extra_rate - trouble.size)
    )


def _relay_kill(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    for number in _relays(fleet, trouble, draw):
        fleet.host.kill(number)


def _in_steps(fleet: Fleet, numbers: list[int], lasts: int, call: Callable[[int], None]) -> None:
    for place, number in enumerate(numbers):
        fleet.kernel.after(lasts * place // max(1, len(numbers)), lambda n=number: call(n))  # type: ignore[misc]


def _relay_restart(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    _in_steps(fleet, _relays(fleet, trouble, draw), lasts, fleet.host.restart)


def _upgrade(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    _in_steps(fleet, _relays(fleet, trouble, draw), lasts, fleet.host.upgrade)


def _reload(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    _in_steps(fleet, _relays(fleet, trouble, draw), lasts, fleet.host.reload)


def _slow(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    for server in _some(fleet, trouble, draw):
        server.scale_machine(1 / trouble.size)
        fleet.kernel.after(lasts, lambda server=server: server.scale_machine(trouble.size))  # type: ignore[misc]


def _neighbour(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    """Have another program take ``size`` of some machines, on for a period and off for the next."""
    end = fleet.kernel.now + lasts

    def turn(server: TileServer, on: bool) -> None:
        if on or fleet.kernel.now < end:
            server.scale_machine(1 / (1 - trouble.size) if on else 1 - trouble.size)
            fleet.kernel.after(int(_drawn(draw, trouble.period)), lambda: turn(server, not on))

    for server in _some(fleet, trouble, draw):
        fleet.kernel.after(int(draw.random() * trouble.period.low), lambda server=server: turn(server, False))  # type: ignore[misc]


def _report_late(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    late = int(trouble.size * SECOND)
    for server in list(fleet.servers.values()):
        server.delay_reports(late)
        fleet.kernel.after(lasts, lambda server=server: server.delay_reports(-late))  # type: ignore[misc]


def _discovery_down(fleet: Fleet, trouble: Trouble, draw: np.random.Generator, lasts: int) -> None:
    fleet.directory.set_down(True)
    fleet.kernel.after(lasts, lambda: fleet.directory.set_down(False))


def _drawn(draw: np.random.Generator, ends: tuple[float, float]) -> float:
    low, high = ends
    return float(low if low == high else draw.uniform(low, high))


PLANS: dict[str, Plan] = {
    "hang": _hang,
    "pauses": _pauses,
    "errors": _errors,
    "deploy": _deploy,
    "shrink": _shrink,
    "stale_roster": _stale_roster,
    "silent_streams": _silent_streams,
    "crash": _crash,
    "zone_lost": _zone_lost,
    "zone_cut": _zone_cut,
    "resets": _resets,
    "slow_store": _slow_store,
    "crowd": _crowd,
    "relay_kill": _relay_kill,
    "relay_restart": _relay_restart,
    "upgrade": _upgrade,
    "reload": _reload,
    "discovery_down": _discovery_down,
    "slow": _slow,
    "neighbour": _neighbour,
    "report_late": _report_late,
}
