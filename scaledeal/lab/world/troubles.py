"""Troubles: the faults of a scenario. Each kind is one function, called at the start, that schedules the end.

Each trouble draws the servers or relays that it affects from its own random stream, identified by its position in the
file, so that appending a trouble does not change the others.
"""

from __future__ import annotations

from collections.abc import Callable

import numpy as np

from scaledeal.lab.scenario.types import Trouble
from scaledeal.lab.world.fleet import SECOND, Fleet
from scaledeal.lab.world.server import TileServer

MS = 1_000_000
TroubleStarter = Callable[[Fleet, Trouble, np.random.Generator, int], None]


def schedule_troubles(fleet: Fleet) -> None:
    """Schedule the start of all troubles of a day."""
    for number, trouble in enumerate(fleet.day.trouble):
        rng = fleet.streams.of("trouble", number)
        duration = int(_sample(rng, trouble.lasts))
        start = int(_sample(rng, trouble.at))
        fleet.kernel.at(start, lambda t=trouble, r=rng, d=duration: TROUBLE_STARTERS[t.name](fleet, t, r, d))  # type: ignore[misc]


def _affected_servers(fleet: Fleet, trouble: Trouble, rng: np.random.Generator) -> list[TileServer]:
    live = fleet.live()
    if trouble.zone is not None:
        live = [server for server in live if server.zone == trouble.zone]
    count = int(round(_sample(rng, trouble.part) * len(live)))
    return [live[index] for index in sorted(rng.permutation(len(live))[:count])]


def _affected_relays(fleet: Fleet, trouble: Trouble, rng: np.random.Generator) -> list[int]:
    total = len(fleet.backends)
    count = int(round(_sample(rng, trouble.part) * total))
    return [int(index) for index in rng.permutation(total)[:count]]


def _hang(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    for server in _affected_servers(fleet, trouble, rng):
        server.hang(True)
        fleet.kernel.after(duration, lambda server=server: server.hang(False))  # type: ignore[misc]


def _pauses(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    end = fleet.kernel.now + duration

    def pause(server: TileServer) -> None:
        if fleet.kernel.now < end and server.alive:
            server.pause(fleet.kernel.now + int(trouble.size * MS))
            fleet.kernel.after(int(_sample(rng, trouble.period)), lambda: pause(server))

    for server in _affected_servers(fleet, trouble, rng):
        fleet.kernel.after(int(rng.random() * trouble.period.low), lambda server=server: pause(server))  # type: ignore[misc]


def _errors(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    for server in _affected_servers(fleet, trouble, rng):
        server.error_share = trouble.size or 1.0
        fleet.kernel.after(duration, lambda server=server: setattr(server, "error_share", 0.0))  # type: ignore[misc]


def _deploy(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    """Replace affected servers by cold ones of the same model, in steps of ``size`` of the fleet."""
    leaving = _affected_servers(fleet, trouble, rng)
    step = max(1, int(round(trouble.size * len(fleet.live()))))
    steps = [leaving[at : at + step] for at in range(0, len(leaving), step)]
    for number, servers in enumerate(steps):
        fleet.kernel.after(
            duration * number // max(1, len(steps)),
            lambda servers=servers: _replace(fleet, servers, trouble, rng),  # type: ignore[misc]
        )


def _replace(fleet: Fleet, servers: list[TileServer], trouble: Trouble, rng: np.random.Generator) -> None:
    for server in servers:
        if not server.alive:
            continue
        fleet.drain_server(server)
        wait = int(_sample(rng, trouble.period))  # until the process of the replacement runs
        fleet.kernel.after(wait, lambda s=server: fleet.start_server(s.model, s.zone))  # type: ignore[misc]


def _shrink(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    """Drain the affected servers one after another, and reduce the arrival rate of clients by ``size`` for good."""
    fleet.population.extra_rate -= trouble.size
    leaving = _affected_servers(fleet, trouble, rng)
    for number, server in enumerate(leaving):
        fleet.kernel.after(duration * number // max(1, len(leaving)), lambda s=server: fleet.drain_server(s))  # type: ignore[misc]


def _stale_roster(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    delay = int((trouble.size or 5.0) * SECOND)
    fleet.directory.extra_delay += delay
    fleet.kernel.after(duration, lambda: setattr(fleet.directory, "extra_delay", fleet.directory.extra_delay - delay))


def _silent_streams(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    share = _sample(rng, trouble.part)
    for server in fleet.live():
        server.silence_some(share)


def _crash(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    for server in _affected_servers(fleet, trouble, rng):
        _end_server(fleet, server, duration, False)


def _end_server(fleet: Fleet, server: TileServer, duration: int, silently: bool) -> None:
    fleet.end_server(server, silently)
    if duration:
        fleet.kernel.after(duration, lambda: fleet.start_server(server.model, server.zone))


def _affected_zone(fleet: Fleet, trouble: Trouble, rng: np.random.Generator) -> int:
    return trouble.zone if trouble.zone is not None else int(rng.integers(len(fleet.day.zones)))


def _zone_lost(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    """Make all machines of a zone vanish without notice; they are replaced by cold ones at the end."""
    zone = _affected_zone(fleet, trouble, rng)
    for server in [candidate for candidate in fleet.live() if candidate.zone == zone]:
        _end_server(fleet, server, duration, True)


def _zone_cut(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    zone, zone_count = _affected_zone(fleet, trouble, rng), len(fleet.day.zones)
    fleet.paths.set_cut(zone, zone_count, trouble.one_way, True)
    fleet.kernel.after(duration, lambda: fleet.paths.set_cut(zone, zone_count, trouble.one_way, False))


def _resets(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    """Reset a share of the connections of every server, once per period."""
    end, share = fleet.kernel.now + duration, _sample(rng, trouble.part)

    def reset_connections() -> None:
        for server in fleet.live():
            server.reset_some(share)
        if fleet.kernel.now < end:
            fleet.kernel.after(int(_sample(rng, trouble.period)), reset_connections)

    reset_connections()


def _slow_store(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    fleet.store_slowdown *= trouble.size
    fleet.kernel.after(duration, lambda: setattr(fleet, "store_slowdown", fleet.store_slowdown / trouble.size))


def _crowd(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    fleet.population.extra_rate += trouble.size
    fleet.kernel.after(
        duration, lambda: setattr(fleet.population, "extra_rate", fleet.population.extra_rate - trouble.size)
    )


def _relay_kill(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    for number in _affected_relays(fleet, trouble, rng):
        fleet.host.kill(number)


def _in_steps(fleet: Fleet, numbers: list[int], duration: int, call: Callable[[int], None]) -> None:
    for step, number in enumerate(numbers):
        fleet.kernel.after(duration * step // max(1, len(numbers)), lambda n=number: call(n))  # type: ignore[misc]


def _relay_restart(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    _in_steps(fleet, _affected_relays(fleet, trouble, rng), duration, fleet.host.restart)


def _upgrade(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    _in_steps(fleet, _affected_relays(fleet, trouble, rng), duration, fleet.host.upgrade)


def _reload(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    _in_steps(fleet, _affected_relays(fleet, trouble, rng), duration, fleet.host.reload)


def _slow(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    for server in _affected_servers(fleet, trouble, rng):
        server.scale_machine(1 / trouble.size)
        fleet.kernel.after(duration, lambda server=server: server.scale_machine(trouble.size))  # type: ignore[misc]


def _neighbour(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    """Take ``size`` of the affected machines for another program, on and off in alternating periods."""
    end = fleet.kernel.now + duration

    def switch(server: TileServer, on: bool) -> None:
        if on or fleet.kernel.now < end:
            server.scale_machine(1 / (1 - trouble.size) if on else 1 - trouble.size)
            fleet.kernel.after(int(_sample(rng, trouble.period)), lambda: switch(server, not on))

    for server in _affected_servers(fleet, trouble, rng):
        fleet.kernel.after(int(rng.random() * trouble.period.low), lambda server=server: switch(server, False))  # type: ignore[misc]


def _report_late(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    delay = int(trouble.size * SECOND)
    for server in list(fleet.servers.values()):
        server.delay_reports(delay)
        fleet.kernel.after(duration, lambda server=server: server.delay_reports(-delay))  # type: ignore[misc]


def _discovery_down(fleet: Fleet, trouble: Trouble, rng: np.random.Generator, duration: int) -> None:
    fleet.directory.set_down(True)
    fleet.kernel.after(duration, lambda: fleet.directory.set_down(False))


def _sample(rng: np.random.Generator, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return float(low if low == high else rng.uniform(low, high))


TROUBLE_STARTERS: dict[str, TroubleStarter] = {
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
