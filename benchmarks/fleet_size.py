"""Measures the module's time per request and per tick by the numbers of servers and relays, as ratios to the smallest.

Run: python benchmarks/fleet_size.py [--json]. Every round runs each size once; the result is
the median over the rounds.
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
SIZES = [(14, 3), (60, 3), (14, 40), (60, 40)]  # servers and relays
ROUNDS = 15
REQUESTS_PER_ROUND = 200
TICKS_PER_ROUND = 100
CONNECTIONS = 12  # up before the measurement starts


def make_settings(siblings: int) -> api.Settings:
    """Return the settings of a relay in a fleet of ``siblings`` relays."""
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


def make_relay(servers: int, siblings: int) -> tuple[Balancer, int]:
    """Return a relay with a few connections and a report of each server, and its time in ns."""
    balancer, now = Balancer(make_settings(siblings), 1), SECOND
    names = [f"10.0.0.{i}:80" for i in range(servers)]
    balancer.handle(now, api.Membership(api.MembershipKind.INITIAL, tuple(map(api.ServerEntry, names))))
    for number in range(CONNECTIONS):
        balancer.handle(now, api.OpenConnection(f"o{number}", 0, names[number % servers], group=f"g{number % 4}"))
        balancer.handle(now, api.Note(f"o{number}", 0, names[number % servers], api.NoteKind.LOAD, 1000.0))
    for name in names:
        balancer.handle(now, api.ProbeResult(name, api.Result.OK, MS, (0.4, 20.0)))
    return balancer, now


def measure(servers: int, siblings: int) -> tuple[float, float]:
    """Return the mean seconds per request and per tick."""
    balancer, now = make_relay(servers, siblings)
    began = time.perf_counter()
    for number in range(REQUESTS_PER_ROUND):
        name = f"r{number}"
        actions = balancer.handle(now, api.Request(name, 0, now + SECOND, key=name, group=f"g{number % 4}"))
        for action in actions:
            if isinstance(action, api.Send):
                balancer.handle(now, api.Established(name, 0, action.server, MS))
                balancer.handle(now, api.Outcome(name, 0, action.server, api.Result.OK, MS, True))
    request_s = (time.perf_counter() - began) / REQUESTS_PER_ROUND
    began = time.perf_counter()
    for _ in range(TICKS_PER_ROUND):
        now += 250 * MS
        balancer.handle(now, api.Timer(0))
    return request_s, (time.perf_counter() - began) / TICKS_PER_ROUND


def main() -> None:
    """Measure all sizes and print the ratios to the smallest."""
    measurements: dict[tuple[int, int], list[tuple[float, float]]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            measurements[size].append(measure(*size))
    medians = {
        size: tuple(statistics.median(column) for column in zip(*rows, strict=True))
        for size, rows in measurements.items()
    }
    smallest = medians[SIZES[0]]
    ratios_by_size = {
        f"{servers} servers, {siblings} relays": {"request": request / smallest[0], "tick": tick / smallest[1]}
        for (servers, siblings), (request, tick) in medians.items()
    }
    for name, ratios in ratios_by_size.items():
        print(f"{name:24} request {ratios['request']:5.2f}  tick {ratios['tick']:5.2f}  of the smallest")
    if "--json" in sys.argv[1:]:
        print(json.dumps({"base_us": [seconds * 1e6 for seconds in smallest], "ratios": ratios_by_size}))


if __name__ == "__main__":
    main()
