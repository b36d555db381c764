"""Measures the laboratory: events a second, memory and how long its days take, and the module by the fleet's size.

    python -m benchmarks.lab [--json] [--large]

Times are of this machine; ratios are to the operators' own deployment in the same run. ``--large`` adds the full fleet
on the real network code and 2,000 tile servers; the last line of ``--json`` is one JSON object.
"""

from __future__ import annotations

import argparse
import resource
import subprocess
import sys
import time
from typing import Any

import msgspec

from scaledeal.lab.runs import Job, Variant, play
from scaledeal.lab.scenario import bundled_scenarios

SIZES = ((10, 3), (14, 3), (60, 3), (60, 40), (200, 40))
LARGE = ((80, 200), (600, 200), (2000, 200))


def text(name: str) -> str:
    """Return a ready scenario."""
    return bundled_scenarios()[name].read_text()


def measured(scenario: str, host: str, over: str = "") -> dict[str, Any]:
    """Play one run in a process of its own and return what it took."""
    call = [sys.executable, "-m", "benchmarks.lab", "--one", scenario, host, over]
    done = subprocess.run(call, capture_output=True, text=True, check=True)
    return msgspec.json.decode(done.stdout.splitlines()[-1])  # type: ignore[no-any-return]


def one(scenario: str, host: str, over: str) -> dict[str, Any]:
    """Play one run here."""
    began = time.process_time()
    outcome = play(Job(text(scenario), 1, host, Variant("it", "", over), stop_at_violation=False))  # type: ignore[arg-type]
    took = time.process_time() - began
    counts = outcome.figures["counts"]
    decisions = counts["clients"] + counts["again"] + counts["standing"]
    return {
        "cpu_s": round(took, 2),
        "events": outcome.events,
        "events_a_s": round(outcome.events / took),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        "G": outcome.figures["G"],
        "whole": outcome.figures["whole"],
        "clients": decisions,
        "cpu_us_a_client": round(took / decisions * 1e6),
        "lines": counts["lines"],
        "calls": counts["calls"],
        "broken": len(outcome.violations),
        "error": outcome.error,
    }


def sizes(pairs: tuple[tuple[int, int], ...], seconds: str) -> dict[str, Any]:
    """Play the deployment at several sizes, on the module."""
    told = {}
    for servers, relays in pairs:
        over = f'seconds = "{seconds}"\nservers {{\n  count = {servers}\n}}\nrelays {{\n  count = {relays}\n}}\n'
        told[f"{servers} servers, {relays} relays"] = measured("padova", "module", over)
    return told


def main() -> None:
    """Measure and tell."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--one", nargs=3)
    told = parser.parse_args()
    if told.one:
        print(msgspec.json.encode(one(*told.one)).decode())
        return
    rows = {
        "deployment, a minute, module": measured("padova", "module", 'seconds = "60s"\n'),
        "deployment, a minute, relay": measured("padova", "relay", 'seconds = "60s"\n'),
        **sizes(SIZES, "20s"),
    }
    if told.large:
        rows |= {"full fleet, relay": measured("calm-mass", "relay"), **sizes(LARGE, "10s")}
    base = rows["14 servers, 3 relays"]["cpu_us_a_client"]
    for name, row in rows.items():
        row["ratio_a_client"] = round(row["cpu_us_a_client"] / base, 2)
        if not told.json:
            print(f"{name:32} " + ", ".join(f"{key} {value}" for key, value in row.items()))
    if told.json:
        print(msgspec.json.encode(rows).decode())


if __name__ == "__main__":
    main()
