"""The module's work per request and per tick, by how many servers and gateways there are, as ratios in one run.

Run: python benchmarks/fleet_size.py [--json]. Each size runs in turn in every round; the median of each is taken.
"""

from __future__ import annotations

import json
import statistics
import sys
import time

from scaledeal import interface as api
from scaledeal.policy import Balancer

MS = 1_000_000
SECOND = 1000 * MS
SIZES = [(14, 3), (60, 3), (14, 40), (60, 40)]
ROUNDS, REQUESTS, TICKS, STANDING = 15, 200, 100, 12


def settings(siblings: int) -> api.Settings:
    """Return the settings of one of so many gateways."""
    return api.Settings(
        classes=(api.RequestClass(aim=300 * MS, deadline=1200 * MS, worth=3.0, message_aim=50 * MS),),
        siblings=siblings,
        max_attempts=6,
        may_probe=True,
        groups=True,
        probe_price=0.0029,
        report_source=api.Source.PROBES,
        report_fields=(api.Field.UTILISATION, api.Field.INFLIGHT),
        cold_share=0.3,
        warm_after=9 * SECOND,
        overload_factor=3.0,
        overload_window=SECOND,
    )


def gateway(servers: int, siblings: int) -> tuple[Balancer, int]:
    """Return a gateway some seconds after its start, with a few connections and a report of each server."""
    balancer, now = Balancer(settings(siblings), 1), SECOND
    names = [f"10.0.0.{i}:80" for i in range(servers)]
    balancer.handle(now, api.Membership(api.MembershipKind.INITIAL, tuple(map(api.ServerEntry, names))))
    for number in range(STANDING):
        balancer.handle(now, api.OpenConnection(f"o{number}", 0, names[number % servers], group=f"g{number % 4}"))
        balancer.handle(now, api.Note(f"o{number}", 0, names[number % servers], api.NoteKind.LOAD, 1000.0))
    for name in names:
        balancer.handle(now, api.ProbeResult(name, api.Result.OK, MS, (0.4, 20.0)))
    return balancer, now


def measure(servers: int, siblings: int) -> tuple[float, float]:
    """Return the seconds of one request, and of one tick."""
    balancer, now = gateway(servers, siblings)
    began = time.perf_counter()
    for number in range(REQUESTS):
        name = f"r{number}"
        out = balancer.handle(now, api.Request(name, 0, now + SECOND, key=name, group=f"g{number % 4}"))
        for action in out:
            if isinstance(action, api.Send):
                balancer.handle(now, api.Established(name, 0, action.server, MS))
                balancer.handle(now, api.Outcome(name, 0, action.server, api.Result.OK, MS, True))
    request = (time.perf_counter() - began) / REQUESTS
    began = time.perf_counter()
    for _ in range(TICKS):
        now += 250 * MS
        balancer.handle(now, api.Timer(0))
    return request, (time.perf_counter() - began) / TICKS


def main() -> None:
    """Measure all sizes and print them against the smallest."""
    seen: dict[tuple[int, int], list[tuple[float, float]]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            seen[size].append(measure(*size))
    middle = {
        size: tuple(statistics.median(column) for column in zip(*rows, strict=True)) for size, rows in seen.items()
    }
    base = middle[SIZES[0]]
    told = {
        f"{servers} servers, {siblings} relays": {"request": request / base[0], "tick": tick / base[1]}
        for (servers, siblings), (request, tick) in middle.items()
    }
    for name, ratios in told.items():
        print(f"{name:24} request {ratios['request']:5.2f}  tick {ratios['tick']:5.2f}  of the smallest")
    if "--json" in sys.argv[1:]:
        print(json.dumps({"base_us": [each * 1e6 for each in base], "ratios": told}))


if __name__ == "__main__":
    main()
