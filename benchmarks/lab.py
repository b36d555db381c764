"""Measures the laboratory: events per second, memory and run time of its days, and the module by fleet size.

    python -m benchmarks.lab [--json] [--large]

Times depend on the machine; ratios are to the operators' own deployment, measured in the same run. ``--large`` adds
the full fleet on the real network code and fleets of up to 2,000 tile servers. With ``--json``, the last line of the
output is one JSON object.
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

SIZES = ((10, 3), (14, 3), (60, 3), (60, 40), (200, 40))  # servers and relays
LARGE_SIZES = ((80, 200), (600, 200), (2000, 200))


def read_scenario(name: str) -> str:
    """Return the text of a bundled scenario."""
    return bundled_scenarios()[name].read_text()


def measure_in_subprocess(scenario: str, host: str, overrides: str = "") -> dict[str, Any]:
    """Play one run in a separate process, so that its peak memory is its own, and return the measurements."""
    command = [sys.executable, "-m", "benchmarks.lab", "--one", scenario, host, overrides]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    return msgspec.json.decode(completed.stdout.splitlines()[-1])  # type: ignore[no-any-return]


def measure(scenario: str, host: str, overrides: str) -> dict[str, Any]:
    """Play one run in this process and return the measurements."""
    started_s = time.process_time()
    outcome = play(Job(read_scenario(scenario), 1, host, Variant("it", "", overrides), stop_at_violation=False))  # type: ignore[arg-type]
    cpu_s = time.process_time() - started_s
    counts = outcome.figures["counts"]
    client_count = counts["clients"] + counts["again"] + counts["standing"]
    return {
        "cpu_s": round(cpu_s, 2),
        "events": outcome.events,
        "events_a_s": round(outcome.events / cpu_s),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        "G": outcome.figures["G"],
        "whole": outcome.figures["whole"],
        "clients": client_count,
        "cpu_us_a_client": round(cpu_s / client_count * 1e6),
        "lines": counts["lines"],
        "calls": counts["calls"],
        "broken": len(outcome.violations),
        "error": outcome.error,
    }


def measure_sizes(pairs: tuple[tuple[int, int], ...], duration: str) -> dict[str, Any]:
    """Play the deployment on the module with several numbers of servers and relays, for ``duration`` each."""
    results = {}
    for servers, relays in pairs:
        overrides = f'seconds = "{duration}"\nservers {{\n  count = {servers}\n}}\nrelays {{\n  count = {relays}\n}}\n'
        results[f"{servers} servers, {relays} relays"] = measure_in_subprocess("padova", "module", overrides)
    return results


def main() -> None:
    """Measure and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--one", nargs=3)
    arguments = parser.parse_args()
    if arguments.one:
        print(msgspec.json.encode(measure(*arguments.one)).decode())
        return
    rows = {
        "deployment, a minute, module": measure_in_subprocess("padova", "module", 'seconds = "60s"\n'),
        "deployment, a minute, relay": measure_in_subprocess("padova", "relay", 'seconds = "60s"\n'),
        **measure_sizes(SIZES, "20s"),
    }
    if arguments.large:
        rows |= {"full fleet, relay": measure_in_subprocess("calm-mass", "relay"), **measure_sizes(LARGE_SIZES, "10s")}
    base_cpu_us = rows["14 servers, 3 relays"]["cpu_us_a_client"]
    for name, row in rows.items():
        row["ratio_a_client"] = round(row["cpu_us_a_client"] / base_cpu_us, 2)
        if not arguments.json:
            print(f"{name:32} " + ", ".join(f"{key} {value}" for key, value in row.items()))
    if arguments.json:
        print(msgspec.json.encode(rows).decode())


if __name__ == "__main__":
    main()
