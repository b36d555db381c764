"""Compare resuming a session with reconnecting without one, through one relay; and measure the ledger and tokens.

    python benchmarks/resume.py [--json] [--count N] [--sessions N]

CPU time is the relay process's, which is pinned to one core. Other times are wall times of this process: they include
the simulated servers and clients, whose cost is the same in both cases.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from scaledeal.lab.discovery import Discovery
from scaledeal.lab.line_peers import LineClient, LineServer
from scaledeal.lab.loop import Loop
from scaledeal.lab.relay import RelayProcess
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import new_ring
from scaledeal.resume.core import register as reg
from scaledeal.resume.core.register import Progress
from scaledeal.resume.core.token import Sealer, Token, commitment_to
from scaledeal.resume.stores.ledger import Ledger

LATER_NS = 10**19 // 2  # an expiry that no run reaches


class RelayBenchmark:
    """A relay with a ledger or with the memory store, two servers and clients."""

    def __init__(self, folder: Path, ledger: bool) -> None:
        self.loop = Loop()
        self.folder = folder
        key_file.write(folder / "keys", new_ring())
        path = f'  ledger = "{folder / "ledger"}"\n' if ledger else ""
        (folder / "file.hcl").write_text(f'resume {{\n  keys = "{folder / "keys"}"\n  owner = "b"\n{path}}}\n')
        discovery = Discovery(self.loop)
        self.servers = [LineServer(self.loop, f"s-{number}") for number in range(2)]
        for server in self.servers:
            discovery.put(server.name, server.address)
        self.relay = RelayProcess(self.loop, folder, discovery.address, folder / "file.hcl", descriptors=4000)
        os.sched_setaffinity(self.relay.process.pid, {sorted(os.sched_getaffinity(0))[-1]})
        self.port = int(self.relay.wait_for_log_line("listens on").partition("127.0.0.1:")[2].partition(",")[0])
        self.loop.run_until(lambda: self.relay.metric("relay_registry_entries") == 2)

    def cpu_us(self) -> float:
        """Return the relay's CPU time in microseconds."""
        return int(Path(f"/proc/{self.relay.process.pid}/schedstat").read_text().split()[0]) / 1000

    def resident_bytes(self) -> int:
        """Return the relay's resident bytes."""
        return int(Path(f"/proc/{self.relay.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def client(self, offers_resume: bool) -> LineClient:
        """Connect a client and wait until it is up; with ``offers_resume`` its session is resumable."""
        client = LineClient(self.loop, self.port, offers_resume=offers_resume)
        self.loop.run_until(lambda: client.up_count == 1, f"up, not {client.unnumbered_lines}")
        return client

    def measure_reconnects(self, count: int) -> dict[str, dict[str, float]]:
        """Move clients ``count`` times each, with and without a resume in turns; return CPU and time until up again."""
        figures: dict[str, dict[str, float]] = {}
        clients = {"resume": self.client(True), "anew": self.client(False)}
        times = {name: HdrHistogram(1, 10**8, 3) for name in clients}
        cpus: dict[str, list[float]] = {name: [] for name in clients}
        for name, client in [pair for _ in range(count) for pair in clients.items()]:
            up_count, cpu_before = client.up_count, self.cpu_us()
            for server in self.servers:
                for connection in list(server.connections):
                    if bool(connection.session) == (name == "resume"):
                        connection.send(b"MOVE")
                        connection.close()
            self.loop.run_until(lambda client=client: client.connection is None or client.connection.closed)
            started = time.perf_counter_ns()
            if name == "resume":
                client.resume()
            else:
                client.connect()
            self.loop.run_until(
                lambda client=client, up_count=up_count: client.up_count > up_count or client.connection.closed  # type: ignore[union-attr]
            )
            if client.up_count == up_count:
                continue  # refused: after two drains within a second the relay delays further attempts
            times[name].record_value((time.perf_counter_ns() - started) // 1000)
            cpus[name].append(self.cpu_us() - cpu_before)
        for name, histogram in times.items():
            cpu = statistics.median(cpus[name])
            figures[name] = {
                "cpu_us": cpu,
                "a_second_on_one_core": 1e6 / cpu,
                "p50_us": histogram.get_value_at_percentile(50),
                "p99_us": histogram.get_value_at_percentile(99),
                "count": len(cpus[name]),
            }
        return figures

    def measure_lines(self, count: int) -> dict[str, float]:
        """Return the CPU time in us per line and its echo: numbered and recorded lines, and plain ones, in turns."""
        numbered, plain = self.client(True), self.client(False)
        cost: dict[str, list[float]] = {"numbered": [], "plain": []}
        for _ in range(10):
            cpu_before, received = self.cpu_us(), len(numbered.server_lines)
            for each in range(count // 10):
                numbered.send_line("pan")
                self.loop.run_until(lambda wanted=received + each + 1: len(numbered.server_lines) >= wanted)
            cost["numbered"].append((self.cpu_us() - cpu_before) / (count // 10))
            cpu_before, echoed = self.cpu_us(), len(plain.unnumbered_lines)
            for each in range(count // 10):
                assert plain.connection is not None
                plain.connection.send(b"pan")
                self.loop.run_until(lambda wanted=echoed + each + 1: len(plain.unnumbered_lines) >= wanted)
            cost["plain"].append((self.cpu_us() - cpu_before) / (count // 10))
        numbered_us, plain_us = statistics.median(cost["numbered"]), statistics.median(cost["plain"])
        return {"numbered_cpu_us": numbered_us, "plain_cpu_us": plain_us, "ratio": numbered_us / plain_us}

    def measure_memory(self, count: int) -> dict[str, float]:
        """Return the relay's memory per connection, for plain and for resumable ones."""
        start = self.resident_bytes()
        clients = [self.client(False) for _ in range(count)]
        middle = self.resident_bytes()
        clients += [self.client(True) for _ in range(count)]
        return {"plain_bytes": (middle - start) / count, "resumable_bytes": (self.resident_bytes() - middle) / count}

    def close(self) -> None:
        """Kill the relay and close the loop."""
        self.relay.kill()
        self.loop.close()


def measure_ledger(folder: Path, sessions: int) -> dict[str, float]:
    """Return the ledger's recovery time and size with many sessions, and records per second, alone and in batches."""
    path = folder / "many"
    ledger = Ledger(path, "b", sessions + 10)
    started = time.perf_counter()
    progress = Progress(5, 5, b"x" * 200)
    for start in range(0, sessions, 1000):
        ledger.apply_batch(
            [
                step
                for number in range(start, min(sessions, start + 1000))
                for step in (
                    (
                        f"s{number:07}",
                        lambda register, name=f"s{number:07}": reg.begin(register, name, "h", LATER_NS),
                        True,
                    ),
                    (f"s{number:07}", lambda register: reg.record(register, 1, progress, LATER_NS), False),
                )
            ]
        )
    filling_s = time.perf_counter() - started
    started = time.perf_counter()
    for _ in range(300):
        ledger.record("s0000001", 1, progress, LATER_NS)
    records_per_s_alone = 300 / (time.perf_counter() - started)
    started = time.perf_counter()
    ledger.apply_batch([("s0000001", lambda register: reg.record(register, 1, progress, LATER_NS), False)] * 3000)
    records_per_s_batched = 3000 / (time.perf_counter() - started)
    ledger.compact()
    ledger.close()
    started = time.perf_counter()
    Ledger(path, "b", sessions + 10).close()
    return {
        "sessions": sessions,
        "recovery_s": time.perf_counter() - started,
        "bytes_a_session": path.stat().st_size / sessions,
        "records_a_second_alone": records_per_s_alone,
        "records_a_second_batched": records_per_s_batched,
        "filling_s": filling_s,
    }


def measure_tokens() -> dict[str, float]:
    """Return the CPU time in us to seal and to open a token, and its length."""
    sealer = Sealer({0: bytes(32)}, 0)
    token = Token("s" * 16, 3, "overlay", "sheet", 0, "t", "b", 5, 6, 0, LATER_NS, commitment_to(bytes(32)))
    started = time.process_time()
    for _ in range(5000):
        text = sealer.seal(token)
    seal_us = (time.process_time() - started) / 5000 * 1e6
    started = time.process_time()
    for _ in range(5000):
        sealer.open(text)
    return {"seal_us": seal_us, "open_us": (time.process_time() - started) / 5000 * 1e6, "characters": len(text)}


def main() -> None:
    """Run all measurements and print their figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--sessions", type=int, default=1_000_000)
    options = parser.parse_args()
    figures: dict[str, Any] = {}
    for name, on_disk in (("on_ledger", True), ("in_memory", False)):
        with tempfile.TemporaryDirectory() as folder:
            benchmark = RelayBenchmark(Path(folder), on_disk)
            try:
                figures[name] = {
                    "lines": benchmark.measure_lines(2000),
                    "memory": benchmark.measure_memory(100),
                    "coming_again": benchmark.measure_reconnects(options.count),
                }
            finally:
                benchmark.close()
    with tempfile.TemporaryDirectory() as folder:
        figures["ledger"] = measure_ledger(Path(folder), options.sessions)
    figures["tokens"] = measure_tokens()
    if not options.json:
        for name, each in figures.items():
            for key, value in each.items():
                print(f"{name:10} {key:26} {value}")
    print(json.dumps(figures, sort_keys=True))


if __name__ == "__main__":
    main()
