"""Resuming beside coming again without it, in one run through one relay; the ledger's own costs beside them.

    python benchmarks/resume.py [--json] [--count N] [--sessions N]

CPU is the relay process's (pinned to one core); times are wall times here, stand-ins included, which both ways share.
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

LATER = 10**19 // 2


class Bench:
    """A relay with a ledger or with memory, two servers and clients."""

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
        self.port = int(self.relay.until_told("listens on").partition("127.0.0.1:")[2].partition(",")[0])
        self.loop.until(lambda: self.relay.figure("relay_registry_entries") == 2)

    def cpu(self) -> float:
        """Return the relay's CPU time in microseconds."""
        return int(Path(f"/proc/{self.relay.process.pid}/schedstat").read_text().split()[0]) / 1000

    def memory(self) -> int:
        """Return the relay's resident bytes."""
        return int(Path(f"/proc/{self.relay.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def client(self, offers_resume: bool) -> LineClient:
        """Bring a client up."""
        made = LineClient(self.loop, self.port, offers_resume=offers_resume)
        self.loop.until(lambda: made.up_count == 1, f"up, not {made.unnumbered_lines}")
        return made

    def coming_again(self, count: int) -> dict[str, dict[str, float]]:
        """Move a client so many times, with a resume and without one, in turns; CPU and time from MOVE to going on."""
        out: dict[str, dict[str, float]] = {}
        clients = {"resume": self.client(True), "anew": self.client(False)}
        times = {name: HdrHistogram(1, 10**8, 3) for name in clients}
        cpus: dict[str, list[float]] = {name: [] for name in clients}
        for name, client in [pair for _ in range(count) for pair in clients.items()]:
            ups, before = client.up_count, self.cpu()
            for server in self.servers:
                for connection in list(server.connections):
                    if bool(connection.session) == (name == "resume"):
                        connection.send(b"MOVE")
                        connection.close()
            self.loop.until(lambda client=client: client.connection is None or client.connection.closed)
            began = time.perf_counter_ns()
            if name == "resume":
                client.resume()
            else:
                client.connect()
            self.loop.until(lambda client=client, ups=ups: client.up_count > ups or client.connection.closed)  # type: ignore[union-attr]
            if client.up_count == ups:
                continue  # refused: a relay that has seen two drains a second waits with the next
            times[name].record_value((time.perf_counter_ns() - began) // 1000)
            cpus[name].append(self.cpu() - before)
        for name, each in times.items():
            cpu = statistics.median(cpus[name])
            out[name] = {
                "cpu_us": cpu,
                "a_second_on_one_core": 1e6 / cpu,
                "p50_us": each.get_value_at_percentile(50),
                "p99_us": each.get_value_at_percentile(99),
                "count": len(cpus[name]),
            }
        return out

    def lines(self, count: int) -> dict[str, float]:
        """Return CPU (us) a line and its echo, numbered and recorded, and plain, in turns."""
        numbered, plain = self.client(True), self.client(False)
        cost: dict[str, list[float]] = {"numbered": [], "plain": []}
        for _ in range(10):
            before, have = self.cpu(), len(numbered.server_lines)
            for each in range(count // 10):
                numbered.send_line("pan")
                self.loop.until(lambda want=have + each + 1: len(numbered.server_lines) >= want)
            cost["numbered"].append((self.cpu() - before) / (count // 10))
            before, words = self.cpu(), len(plain.unnumbered_lines)
            for each in range(count // 10):
                assert plain.connection is not None
                plain.connection.send(b"pan")
                self.loop.until(lambda want=words + each + 1: len(plain.unnumbered_lines) >= want)
            cost["plain"].append((self.cpu() - before) / (count // 10))
        one, other = statistics.median(cost["numbered"]), statistics.median(cost["plain"])
        return {"numbered_cpu_us": one, "plain_cpu_us": other, "ratio": one / other}

    def held(self, count: int) -> dict[str, float]:
        """Return the relay's memory a connection, resumable and plain."""
        start = self.memory()
        keep = [self.client(False) for _ in range(count)]
        middle = self.memory()
        keep += [self.client(True) for _ in range(count)]
        return {"plain_bytes": (middle - start) / count, "resumable_bytes": (self.memory() - middle) / count}

    def close(self) -> None:
        """End it."""
        self.relay.kill()
        self.loop.close()


def ledger(folder: Path, sessions: int) -> dict[str, float]:
    """Return the ledger's own figures: fenced claims a second, alone and in batches; recovery of many sessions."""
    path = folder / "many"
    made = Ledger(path, "b", sessions + 10)
    began = time.perf_counter()
    progress = Progress(5, 5, b"x" * 200)
    for start in range(0, sessions, 1000):
        made.apply_batch(
            [
                step
                for number in range(start, min(sessions, start + 1000))
                for step in (
                    (f"s{number:07}", lambda old, name=f"s{number:07}": reg.begin(old, name, "h", LATER), True),
                    (f"s{number:07}", lambda old: reg.record(old, 1, progress, LATER), False),
                )
            ]
        )
    filled = time.perf_counter() - began
    began = time.perf_counter()
    for _ in range(300):
        made.record("s0000001", 1, progress, LATER)
    alone = 300 / (time.perf_counter() - began)
    began = time.perf_counter()
    made.apply_batch([("s0000001", lambda old: reg.record(old, 1, progress, LATER), False)] * 3000)
    batched = 3000 / (time.perf_counter() - began)
    made.compact()
    made.close()
    began = time.perf_counter()
    Ledger(path, "b", sessions + 10).close()
    return {
        "sessions": sessions,
        "recovery_s": time.perf_counter() - began,
        "bytes_a_session": path.stat().st_size / sessions,
        "records_a_second_alone": alone,
        "records_a_second_batched": batched,
        "filling_s": filled,
    }


def tokens() -> dict[str, float]:
    """Return CPU (us) to seal and to open a token."""
    sealer = Sealer({0: bytes(32)}, 0)
    token = Token("s" * 16, 3, "overlay", "sheet", 0, "t", "b", 5, 6, 0, LATER, commitment_to(bytes(32)))
    began = time.process_time()
    for _ in range(5000):
        text = sealer.seal(token)
    sealed = (time.process_time() - began) / 5000 * 1e6
    began = time.process_time()
    for _ in range(5000):
        sealer.open(text)
    return {"seal_us": sealed, "open_us": (time.process_time() - began) / 5000 * 1e6, "characters": len(text)}


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--sessions", type=int, default=1_000_000)
    told = parser.parse_args()
    figures: dict[str, Any] = {}
    for name, on_disk in (("on_ledger", True), ("in_memory", False)):
        with tempfile.TemporaryDirectory() as folder:
            bench = Bench(Path(folder), on_disk)
            try:
                figures[name] = {
                    "lines": bench.lines(2000),
                    "memory": bench.held(100),
                    "coming_again": bench.coming_again(told.count),
                }
            finally:
                bench.close()
    with tempfile.TemporaryDirectory() as folder:
        figures["ledger"] = ledger(Path(folder), told.sessions)
    figures["tokens"] = tokens()
    if not told.json:
        for name, each in figures.items():
            for key, value in each.items():
                print(f"{name:10} {key:26} {value}")
    print(json.dumps(figures, sort_keys=True))


if __name__ == "__main__":
    main()
