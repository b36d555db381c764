"""Measures the module's time per event by the numbers of servers and relays, as ratios to the smallest fleet.

Run: python benchmarks/fleet_size.py [--json]. Every round runs each size once; the result is
the median over the rounds.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import replace

from scaledeal import interface as api
from scaledeal.policy import Balancer

MS = 1_000_000
SECOND = 1000 * MS
SIZES = [(14, 3), (60, 3), (60, 40), (320, 3), (1440, 3), (3200, 3), (3200, 230)]  # servers and relays
ROUNDS = 5
REQUESTS_PER_ROUND = 100
TICKS_PER_ROUND = 50
CHANGES_PER_ROUND = 20
CONNECTIONS = 12  # established before the measurement starts
REPORTING_SERVERS = 200  # servers of which a relay has a report; it hears of few, however many there are
WAITING = 17  # requests that wait for reports while a probe is answered


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
    """Return a relay with a few connections and some reports, and its time in ns."""
    balancer, now = Balancer(make_settings(siblings), 1), SECOND
    names = [f"10.0.0.{i}:80" for i in range(servers)]
    balancer.handle(now, api.Membership(api.MembershipKind.INITIAL, tuple(map(api.ServerEntry, names))))
    for number in range(CONNECTIONS):
        balancer.handle(now, api.OpenConnection(f"o{number}", 0, names[number % servers], group=f"g{number % 4}"))
        balancer.handle(now, api.Note(f"o{number}", 0, names[number % servers], api.NoteKind.LOAD, 1000.0))
    for name in names[:REPORTING_SERVERS]:
        balancer.handle(now, api.ProbeResult(name, api.Result.OK, MS, (0.4, 20.0)))
    return balancer, now


def seconds_per_call(calls: int, call: Callable[[int], object]) -> float:
    """Return the mean seconds of a call, which gets its number."""
    began = time.perf_counter()
    for number in range(calls):
        call(number)
    return (time.perf_counter() - began) / calls


def measure(servers: int, siblings: int) -> dict[str, float]:
    """Return the mean seconds of each kind of event."""
    balancer, now = make_relay(servers, siblings)

    def request(number: int) -> None:
        name = f"r{number}"
        actions = balancer.handle(now, api.Request(name, 0, now + SECOND, key=name, group=f"g{number % 4}"))
        for action in actions:
            if isinstance(action, api.Send):
                balancer.handle(now, api.Established(name, 0, action.server, MS))
                balancer.handle(now, api.Outcome(name, 0, action.server, api.Result.OK, MS, True))

    def tick(number: int) -> None:
        balancer.handle(now + (number + 1) * 250 * MS, api.Timer(0))

    def change(number: int) -> None:
        entry = api.ServerEntry(f"10.0.0.{number % servers}:80", started=now if number % 2 else 0)
        state = api.ServerState.DRAINING if number % 3 else api.ServerState.LIVE
        balancer.handle(balancer.now, api.Membership(api.MembershipKind.CHANGES, (replace(entry, state=state),)))

    def probe_answer(number: int) -> None:
        balancer.handle(balancer.now, api.ProbeResult(probed[number], api.Result.OK, MS, (0.4, 20.0)))

    seconds = {
        "request": seconds_per_call(REQUESTS_PER_ROUND, request),
        "tick": seconds_per_call(TICKS_PER_ROUND, tick),
    }
    probed: list[str] = []
    for number in range(10 * WAITING):
        if len(balancer.held) >= WAITING:
            break
        balancer.probe_tokens = 10.0
        waiting = api.Request(f"w{number}", 0, balancer.now + SECOND, key=f"w{number}", group=f"w{number}")
        actions = balancer.handle(balancer.now, waiting)
        probed += [action.server for action in actions if isinstance(action, api.Probe)]
    seconds["probe answer"] = seconds_per_call(len(probed), probe_answer)
    seconds["change"] = seconds_per_call(CHANGES_PER_ROUND, change)
    seconds["figures"] = seconds_per_call(CHANGES_PER_ROUND, lambda _: balancer.rotation_counts())
    return seconds


def main() -> None:
    """Measure all sizes and print the ratios to the smallest."""
    rounds = [{size: measure(*size) for size in SIZES} for _ in range(ROUNDS)]
    kinds = list(rounds[0][SIZES[0]])
    medians = {size: {kind: statistics.median(each[size][kind] for each in rounds) for kind in kinds} for size in SIZES}
    smallest = medians[SIZES[0]]
    ratios_by_size = {
        f"{servers} servers, {siblings} relays": {
            kind: medians[servers, siblings][kind] / smallest[kind] for kind in kinds
        }
        for servers, siblings in SIZES
    }
    for name, ratios in ratios_by_size.items():
        print(f"{name:26}" + "".join(f"  {kind} {ratio:7.2f}" for kind, ratio in ratios.items()) + "  of the smallest")
    base_us = {kind: round(seconds * 1e6, 1) for kind, seconds in smallest.items()}
    print(f"smallest, us: {base_us}")
    if "--json" in sys.argv[1:]:
        print(json.dumps({"base_us": base_us, "ratios": ratios_by_size}))


if __name__ == "__main__":
    main()
