"""What the cases share: a small deployment on loopback addresses, its platform, and a record of what was seen.

Relays are started with the ``run`` command of the deploy file. Discovery and the clients live in the process of the
case, tile servers in processes of their own. All times are those of the monotonic clock, from the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
MESSAGE_INTERVAL_S = 2.0  # clients send a line every 2 s (protocol, 'Figures')
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


def _class(name: str, aim: int, deadline: int, worth: float) -> dict[str, Any]:
    return {
        "Name": name,
        "Aim": aim * MS,
        "Deadline": deadline * MS,
        "KeyScope": "all",
        "LateShare": 0.0,
        "Semantics": "repeatable",
        "Stream": True,
        "Window": 5000 * MS,
        "Worth": worth,
    }


# Those of archivio-padova, from the example on the wire page, as nested JSON
PADOVA: dict[str, Any] = {
    "Callers": {"MarksRetry": True},
    "Caps": {
        "Cancelling": True,
        "CpuUsPerS": 800_000,
        "DialTimeout": 250 * MS,
        "IdleClose": 5000 * MS,
        "MaxAttempts": 6,
        "MaxRetryAfter": 1500 * MS,
        "MaxStreams": 1_048_576,
        "MayDuplicate": False,
        "MostHeld": 1_000_000,
        "Peers": False,
        "Probing": True,
        "RetryAfter": True,
    },
    "Classes": [
        _class("browse", 500, 3000, 2.0),
        _class("compare", 300, 1200, 3.0),
        _class("overlay", 300, 1200, 3.0),
        _class("notes", 300, 1800, 1.0),
    ],
    "Discovery": "on_request",
    "FailureDomains": ["palazzo-nord", "sede-centro", "deposito-sud"],
    "Family": "conn",
    "Granularity": 5 * MS,
    "Kinds": ["fast", "slow"],
    "Layer": 0,
    "Me": 0,
    "OverShareWorth": 0.1,
    "Prices": {"CrossZone": 0.03, "Discovery": 0.02, "LateFail": 0.08, "Moves": 0.03, "Probe": 0.0029, "Waste": 0.3},
    "Report": {"Fields": ["fail_rate", "rif", "x0"], "Via": "probe"},
    "Rules": {
        "AnswerSlack": 20 * MS,
        "AskWithin": 10_000 * MS,
        "ColdFrom": 0.3,
        "DrainGrace": 1000 * MS,
        "Fall": 1000 * MS,
        "OverloadFactor": 3.0,
        "WarmAfter": 8900 * MS,
    },
    "Siblings": 3,
    "Specifics": {
        "Groups": True,
        "MessageAim": [150 * MS, 250 * MS, 50 * MS, 100 * MS],
        "Mode": "proxy",
        "Park": 0,
        "TellsDelay": True,
        "TellsLoad": True,
    },
    "Tiers": ["tile-servers"],
    "Weights": "rough",
    "WorthBy": "request",
    "Zone": 0,
}


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def __call__(self, text: str, at: float | None = None) -> None:
        """Write one line, with its time."""
        self.file.write(f"{self.now() if at is None else at - self.started:9.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a loopback port that is free now, below those that the system hands out by itself."""
    for port in random.sample(range(15_000, 32_000), 200):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise CouldNotRunError("no free port")


class TileServer:
    """A tile server's process, as the platform and discovery see it."""

    def __init__(self, name: str, zone: str, group: int, record: Record) -> None:
        self.name, self.zone, self.group, self.record = name, zone, group, record
        self.address = ""
        self.status = "active"
        self.runs: list[tuple[str, float, float]] = []  # ids that were brought up, from when until when (0: still)
        self.died_at = 0.0
        self.spoilt_answers: list[str] = []
        self.since_ms = 0  # the Unix time of its start; 0 for long ago
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process and wait for its port."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review/tile_server.py"),
            self.name,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.address = f"127.0.0.1:{json.loads(await self.process.stdout.readline())['port']}"
        self.task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while text := await self.process.stdout.readline():
            event = json.loads(text)
            if event["event"] == "up":
                self.runs.append((event["id"], event["at"], 0.0))
            elif event["event"] == "spoilt":
                self.spoilt_answers.append(event["answer"])
            elif event["event"] == "over":
                self.runs = [
                    (identity, begun, event["at"] if identity == event["id"] and not ended else ended)
                    for identity, begun, ended in self.runs
                ]
            self.record(f"{self.name}: {text.decode().strip()}", event["at"])

    def say(self, word: str) -> None:
        """Tell the process what to do."""
        assert self.process.stdin is not None
        self.process.stdin.write(word.encode() + b"\n")

    def kill(self) -> None:
        """Kill the process; its connections are reset."""
        self.died_at = time.monotonic()
        self.process.kill()
        self.record(f"{self.name}: killed")

    def entry(self) -> dict[str, Any]:
        """Return the entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "fast",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Discovery:
    """Discovery over HTTP/1.1, with watches."""

    def __init__(self, servers: list[TileServer], record: Record) -> None:
        self.servers, self.record = servers, record
        self.index = 41
        self.changed = {server.name: 41 for server in servers}
        self.news = asyncio.Event()
        self.connections: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.record("discovery: up")

    def change(self, server: TileServer, status: str) -> None:
        """Change a server's status, or list a new one."""
        if server not in self.servers:
            self.servers.append(server)
        self.index += 1
        server.status, self.changed[server.name] = status, self.index
        self.record(f"discovery: has {server.name} {status}, version {self.index}")
        self.news.set()
        self.news = asyncio.Event()

    def document(self, after: int | None = None) -> dict[str, Any]:
        """Return the whole list, or what changed after a version."""
        listed = [s for s in self.servers if (self.changed[s.name] > after if after else s.status != "left")]
        return {"index": self.index, "snapshot": not after, "endpoints": [s.entry() for s in listed]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while call := re.match(
                rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? ", await reader.readuntil(b"\r\n\r\n")
            ):
                after = int(call[1]) if call[1] else None
                if after is not None and after >= self.index:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), int(call[2]) / 1000)
                document = self.document(after)
                body = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                told = {entry["name"]: entry["status"] for entry in document["endpoints"]}
                self.record(f"discovery: answers {call[0].decode().strip()} with {document['index']}, {told}")
        self.connections.discard(writer)
        writer.close()


class Relay:
    """One process of a relay, started as the platform does."""

    def __init__(self, name: str, listen: str, discovery: str, folder: Path, config: dict[str, Any], record: Record):
        self.name, self.folder, self.record = name, folder, record
        self.admin_port = free_port()
        path = folder / "config.json"
        if not path.exists():
            path.write_text(json.dumps({"name": name, "listen": listen, "discovery": discovery, **config}))
        self.listen = listen
        self.environment = {
            **os.environ,
            "PROXY_NAME": name,
            "PROXY_LISTEN": listen,
            "PROXY_DISCOVERY": discovery,
            "PROXY_ADMIN": f"127.0.0.1:{self.admin_port}",
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(folder),
        }
        self.ended_at = 0.0
        self.process: asyncio.subprocess.Process

    async def start(self, label: str = "") -> None:
        """Start the ``run`` command of the deploy file."""
        self.label = label or self.name
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=self.environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.record(f"{self.label}: started")
        self.task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while text := await self.process.stdout.readline():
            self.record(f"{self.label} log: {text.decode().rstrip().replace(str(ROOT), '.')}")
        self.ended_at = time.monotonic()
        self.record(f"{self.label}: ended with {await self.process.wait()}")

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.record(f"{self.label}: {number.name}")
        self.process.send_signal(number)

    async def call(self, word: str) -> str:
        """Make an operators' call; return its answer, or an empty text if there is none."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
                writer.write(word.encode() + b"\n")
                answer = (await reader.read()).decode().strip()
                writer.close()
                return answer
        return ""

    async def wait_ready(self, limit: float) -> None:
        """Wait until the operators' PING is answered with yes."""
        end = time.monotonic() + limit
        while not (await self.call("PING")).startswith("ok"):
            if time.monotonic() > end:
                raise CouldNotRunError(f"{self.label} was not ready within {limit} s")
            await asyncio.sleep(0.05)
        self.record(f"{self.label}: says yes to PING")


class Client(asyncio.Protocol):
    """A usual client: one connection, a line every 2 s once it is up."""

    def __init__(
        self,
        number: int,
        record: Record,
        request_class: str = "browse",
        wait_ms: int = 3000,
        identity: str = "",
        open_line: str = "",
    ) -> None:
        """Make a client; a bad one is given another's ``identity`` and an ``open_line`` with it."""
        self.id, self.record, self.wait_ms = identity or f"{number:016x}", record, wait_ms
        self.open_line = open_line or (
            f"OPEN {self.id} {number * 2654435761 % 2**64:016x}"
            f" c={request_class},d={wait_ms},g={number * 40503 % 2**64:016x}"
        )
        self.partial = b""
        self.sent_at = 0.0  # when the first line was sent
        self.answer, self.answered_at = "", 0.0
        self.server = ""  # that brought it up, from the receipt
        self.moved = False
        self.unanswered: list[tuple[float, str]] = []  # lines that nothing came back for, oldest first
        self.longest_silence = 0.0  # from a line to its return
        self.over_at, self.over = 0.0, ""
        self.lines = 0
        self.piece_gap = 0.0  # seconds between the two pieces of a line; 0 for whole lines
        self.wrong: list[tuple[float, str]] = []  # lines that no tile server should have returned
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first line."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.sent_at = transport, time.monotonic()
        transport.write(self.open_line.encode() + b"\r\n")
        self.record(f"client {self.id}: {self.open_line}")

    def data_received(self, data: bytes) -> None:
        """Handle each whole line."""
        *lines, self.partial = (self.partial + data).split(b"\r\n")
        for line in lines:
            self._line(line.decode())

    def _line(self, line: str) -> None:
        if not self.answer:
            self.answer, self.answered_at = line, time.monotonic()
            self.record(f"client {self.id}: <- {line}")
            if line.startswith("UP "):
                self.server = line.split(" ")[1].rpartition("-")[0]
                self._send_later(0.5 + int(self.id, 16) % 30 / 20)
        elif line == "MOVE":
            self.moved = True
            self.record(f"client {self.id}: <- MOVE")
        elif self.unanswered and line == self.unanswered[0][1]:
            self.longest_silence = max(self.longest_silence, time.monotonic() - self.unanswered.pop(0)[0])
        else:
            self.wrong.append((time.monotonic(), line))
            self.record(f"client {self.id}: <- {line!r}, which is not the line that it waits for")

    def _send_later(self, delay: float) -> None:
        asyncio.get_running_loop().call_later(delay, self._send)

    def _send(self) -> None:
        if self.transport is not None and not self.over and not self.moved:
            self.lines += 1
            text = f"M {self.id} {self.lines}"
            self.unanswered.append((time.monotonic(), text))
            data = text.encode() + b"\r\n"
            half = len(data) // 2 if self.piece_gap else len(data)
            self.transport.write(data[:half])
            if self.piece_gap:
                asyncio.get_running_loop().call_later(self.piece_gap, self._send_rest, data[half:])
            self._send_later(MESSAGE_INTERVAL_S)

    def _send_rest(self, data: bytes) -> None:
        if self.transport is not None and not self.over:
            self.transport.write(data)

    def eof_received(self) -> bool:
        """Note the end of the connection, in order."""
        self._over("ended")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._over(f"broken ({type(exc).__name__})" if exc else "ended")
        self.transport = None

    def _over(self, how: str) -> None:
        if not self.over:
            self.over, self.over_at = how, time.monotonic()
            self.record(f"client {self.id}: connection {how}, answer {self.answer!r}, moved {self.moved}")

    @property
    def up(self) -> bool:
        """Whether it was brought up."""
        return self.answer.startswith("UP ")

    @property
    def stands(self) -> bool:
        """Whether the connection is up and not over."""
        return self.up and not self.over and not self.moved


class Rig:
    """A deployment: tile servers, discovery, one relay's processes, clients."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.servers: list[TileServer] = []
        self.relays: list[Relay] = []
        self.clients: list[Client] = []
        self.listen = f"127.0.0.1:{free_port()}"

    async def start_servers(self, count: int) -> None:
        """Start tile servers in the three buildings, and discovery."""
        zones = PADOVA["FailureDomains"]
        self.servers = [TileServer(f"s{n:02d}", zones[n % 3], n % 4, self.record) for n in range(count)]
        await asyncio.gather(*(server.start() for server in self.servers))
        self.discovery = Discovery(self.servers, self.record)
        await self.discovery.open()

    def relay(self, sockets: int = 1024, settings: dict[str, Any] | None = None, **config: Any) -> Relay:
        """Make one more process of the relay; the first one writes the configuration, all use it."""
        document = {
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": self.discovery.document(),
            "settings": settings or PADOVA,
            **config,
        }
        relay = Relay("n0", self.listen, self.discovery.address, self.folder, document, self.record)
        self.relays.append(relay)
        return relay

    async def client(self, **options: Any) -> Client:
        """Connect one more client through the front."""
        client = Client(len(self.clients) + 1, self.record, **options)
        self.clients.append(client)
        host, _, port = self.listen.rpartition(":")
        try:
            await asyncio.get_running_loop().create_connection(lambda: client, host, int(port))
        except OSError as error:
            client.over, client.over_at = f"refused ({error})", time.monotonic()
            self.record(f"client {client.id}: not connected: {error}")
        return client

    async def stand(self, count: int, pause: float, retries: int = 400, piece_gap: float = 0.0) -> None:
        """Bring up clients until ``count`` stand; clients that are refused or failed come again as new ones."""
        for _ in range(retries):
            missing = count - sum(client.stands for client in self.clients)
            if missing <= 0:
                return
            (await self.client()).piece_gap = piece_gap
            await asyncio.sleep(pause)
        raise CouldNotRunError(f"{count} clients could not be brought up")

    async def close(self) -> None:
        """End all that was started."""
        for relay in self.relays:
            if hasattr(relay, "process") and relay.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    relay.process.kill()
        for server in self.servers:
            if server.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    server.process.kill()
        for client in self.clients:
            if client.transport is not None:
                client.transport.abort()
        for process in [*(r.process for r in self.relays if hasattr(r, "process")), *(s.process for s in self.servers)]:
            await process.wait()
        self.temporary.cleanup()


def main(folder: Path, play: Callable[[Rig], Any], limit: float = 110.0) -> int:
    """Play a case; ``play`` returns the breaches of the rule. Return the exit code."""
    rig: Rig | None = None

    async def run() -> list[str]:
        nonlocal rig
        rig = Rig(folder)
        try:
            async with asyncio.timeout(limit):
                return list(await play(rig))
        finally:
            await rig.close()

    try:
        breaches = asyncio.run(run())
    except Exception as error:  # a fault of the case itself shows nothing of the relay
        print(f"could not run: {error!r}")
        if rig is not None:
            rig.record(f"could not run: {error!r}")
        return NOT_RUN
    assert rig is not None
    for line in [*breaches, f"result: {'the rule was broken' if breaches else 'the rule held'}"]:
        rig.record(line)
        print(line)
    return BROKEN if breaches else HELD
