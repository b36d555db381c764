"""Stand-ins that the cases 6 and up share: the platform, discovery, tile servers and clients, all on loopback.

The relay itself is started by the ``run`` command of ``deploy/balancer.toml``, as a process of its own. Everything else
runs in the script's process, in one asyncio loop: sound peers as the protocol pages describe them, and the few
disruptions that a case asks for by name. ``record.txt`` gets one line for each thing sent, answered or run.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MS = 1_000_000
LINE_INTERVAL_S = 2.0  # clients send a line every 2 s

# A small deployment, in the form of the pages' first message: four classes that may be repeated, three relays.
_CLASSES = (
    ("browse", 500, 3000, 2.0),
    ("compare", 300, 1200, 3.0),
    ("overlay", 300, 1200, 3.0),
    ("notes", 300, 1800, 1.0),
)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; ``changes`` replace whole sections, ``Caps`` is merged."""
    base: dict[str, Any] = {
        "Accounts": [],
        "Callers": {"MarksRetry": True},
        "Caps": {
            "Cancelling": True,
            "DialTimeout": 250 * MS,
            "IdleClose": 5000 * MS,
            "MaxAttempts": 6,
            "MaxRetryAfter": 1500 * MS,
            "MayDuplicate": False,
            "Probing": True,
            "RetryAfter": True,
        },
        "Classes": [
            {
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
            for name, aim, deadline, worth in _CLASSES
        ],
        "Discovery": "on_request",
        "FailureDomains": ["palazzo-nord", "sede-centro", "deposito-sud"],
        "Family": "conn",
        "Granularity": 5 * MS,
        "Kinds": ["fast", "slow"],
        "Me": 0,
        "OverShareWorth": 0.1,
        "Prices": {
            "CrossZone": 0.03,
            "Discovery": 0.02,
            "LateFail": 0.08,
            "Moves": 0.03,
            "Probe": 0.0029,
            "Waste": 0.3,
        },
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
        "Specifics": {"Groups": True, "MessageAim": [150 * MS, 250 * MS, 50 * MS, 100 * MS], "Mode": "proxy"},
        "Weights": "rough",
        "WorthBy": "request",
        "Zone": 0,
    }
    base["Caps"] |= changes.pop("Caps", {})
    return base | changes


def trouble() -> bool:
    """Return whether the case's disruption is asked for: ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be brought to the point where the rule is tested."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.start = time.monotonic()
        self.file = path.open("w", encoding="utf-8")
        self.reached: dict[str, float] = {}  # when a client's line reached its tile server, until it was returned

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start

    def write(self, who: str, what: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():9.4f} {who}: {what}\n")

    def note(self, text: str) -> None:
        """Write a line, and print it."""
        self.write("case", text)
        print(text)


class LineProtocol(asyncio.Protocol):
    """One TCP connection of lines that end in CRLF."""

    def __init__(self) -> None:
        self.rest = b""
        self.transport: Any = None
        self.ended = self.lost = False

    def connection_made(self, transport: Any) -> None:
        """Send short lines at once."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Hand on each whole line."""
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.line(line.decode("ascii", "replace"))

    def line(self, text: str) -> None:
        """Handle one line."""

    def send(self, text: str) -> None:
        """Write one line."""
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"\r\n")


class ServedConnection(LineProtocol):
    """A relay's connection to a tile server."""

    def __init__(self, server: TileServer) -> None:
        super().__init__()
        self.server = server
        self.id = ""
        self.up = False

    def connection_made(self, transport: Any) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.lost = True
        self.server.connections.discard(self)
        if self.id:
            self.server.record.write(self.server.name, f"{self.id} is over{f' ({exc})' if exc else ''}")

    def eof_received(self) -> bool:
        """Close, as the client has ended its connection."""
        return False

    def line(self, text: str) -> None:
        """Answer a probe or the first line; return every later line at once."""
        if self.up:
            self.server.record.reached[text] = self.server.record.now()
            self.send(text)
        elif text in ("PING", "STATS"):
            open_now = sum(each.up for each in self.server.connections)
            report = f" eps=0.0,inflight={open_now},x0={open_now / 200:.3f}" if text == "STATS" else ""
            self.send("PONG" + report)
        elif not self.id and text.startswith("OPEN "):
            self.id = text.split(" ")[1]
            self.server.record.write(self.server.name, f"got {text}")
            self.server.on_open(self, text)
        elif not self.id:
            self.server.record.write(self.server.name, f"SYNTAX for {text[:60]!r}")
            self.send("SYNTAX")

    def serve(self) -> None:
        """Bring the connection up."""
        if not self.lost:
            self.up = True
            self.send(f"UP {self.server.name}-{self.id}")
            self.server.record.write(self.server.name, f"{self.id} UP")


class TileServer:
    """A tile server: answers first lines after a moment, and returns each line at once."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.connections: set[ServedConnection] = set()
        self.on_open: Callable[[ServedConnection, str], None] = self.sound_open
        self.address = ""
        self.server: Any = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> TileServer:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ServedConnection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def sound_open(self, connection: ServedConnection, text: str) -> None:
        """Serve a request after 5 ms."""
        asyncio.get_running_loop().call_later(0.005, connection.serve)


class LateTileServer(TileServer):
    """A tile server to which connections can be made to come up late.

    Its queue of connections is filled by connections of its own, which say nothing. The system then drops a further
    connection's first packet, and the caller's system sends that again a second later; by then the queue is empty.
    """

    async def start(self) -> TileServer:
        """Listen on a free port, with the shortest queue."""
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.fillers: list[socket.socket] = []
        asyncio.get_running_loop().add_reader(self.sock, self._accept)
        return self

    def _accept(self) -> None:
        with suppress(BlockingIOError):
            accepted, _ = self.sock.accept()
            accepted.setblocking(False)
            loop = asyncio.get_running_loop()
            task = loop.create_task(loop.connect_accepted_socket(lambda: ServedConnection(self), accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def become_late(self) -> None:
        """Have new connections come up late from now on."""
        asyncio.get_running_loop().remove_reader(self.sock)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)
        self.record.write(self.name, "new connections come up late")

    def become_punctual(self) -> None:
        """Have new connections come up at once again; what was late comes up now, or at its system's next try."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        asyncio.get_running_loop().add_reader(self.sock, self._accept)
        self.record.write(self.name, "new connections come up at once")


class _Call(LineProtocol):
    """A connection to discovery."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery
        self.after: int | None = None  # the version that an open watch waits beyond
        self.timer: Any = None

    def connection_made(self, transport: Any) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.discovery.calls.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.discovery.calls.discard(self)
        if self.timer:
            self.timer.cancel()

    def line(self, text: str) -> None:
        """Answer a call, or let a watch wait."""
        match = re.match(r"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? ", text)
        if match is None:
            return
        self.discovery.record.write("discovery", f"asked {text.split(' ')[1]}")
        if match[1] is None:
            self.answer(None)
        elif int(match[1]) < self.discovery.index or int(match[2]) == 0:
            self.answer(int(match[1]))
        else:
            self.after = int(match[1])
            self.timer = asyncio.get_running_loop().call_later(int(match[2]) / 1000, self.answer, self.after)

    def answer(self, after: int | None) -> None:
        """Write the whole list, or what changed after a version."""
        self.after = None
        if self.timer:
            self.timer.cancel()
        entries = [
            entry
            for changed, entry in self.discovery.entries.values()
            if (changed > after if after is not None else entry["status"] != "left")
        ]
        body = json.dumps({"index": self.discovery.index, "snapshot": after is None, "endpoints": entries})
        header = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write((header + body).encode())


class Discovery:
    """Discovery: the whole list, or a watch on changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 40
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.calls: set[_Call] = set()
        self.address = ""

    async def start(self) -> Discovery:
        """Listen on a free port."""
        server = await asyncio.get_running_loop().create_server(lambda: _Call(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    def put(self, server: TileServer) -> None:
        """Enter a tile server, and tell all open watches."""
        self.index += 1
        entry = {
            "name": server.name,
            "address": server.address,
            "zone": "palazzo-nord",
            "type": "fast",
            "group": 0,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }
        self.entries[server.name] = (self.index, entry)
        self.record.write("discovery", f"{server.name} is active")
        for call in list(self.calls):
            if call.after is not None:
                call.answer(call.after)

    def known(self) -> dict[str, Any]:
        """Return the present list, as a relay last held it."""
        return {"index": self.index, "snapshot": True, "endpoints": [entry for _, entry in self.entries.values()]}


class Client(LineProtocol):
    """A client: one request, then a line every 2 s, each of which a sound connection returns at once."""

    def __init__(self, record: Record, number: int, first_line: str) -> None:
        super().__init__()
        self.record, self.number, self.first_line = record, number, first_line
        self.id = first_line.split(" ")[1]
        self.asked_at = self.answered_at = self.ended_at = 0.0
        self.answers: list[str] = []
        self.moved = False
        self.sent_lines = 0
        self.under_way: dict[str, float] = {}  # lines that were not returned yet, and when they were sent
        self.longest_hold = 0.0  # of a line one way, to the tile server or back
        self.timer: Any = None

    @property
    def up(self) -> bool:
        """Return whether the connection was brought up."""
        return bool(self.answers) and self.answers[0].startswith("UP ")

    @property
    def receipt(self) -> str:
        """Return the name of the tile server that serves this client."""
        return self.answers[0].split(" ")[1].split("-")[0] if self.up else ""

    @property
    def open(self) -> bool:
        """Return whether the connection stands and was not moved."""
        return self.up and not self.moved and not self.ended_at

    @property
    def cut(self) -> bool:
        """Return whether the connection was brought up, and ended by the relay without MOVE."""
        return self.up and bool(self.ended_at) and not self.moved

    def connection_made(self, transport: Any) -> None:
        """Send the first line."""
        super().connection_made(transport)
        self.ask()

    def ask(self) -> None:
        """Send the first line."""
        self.asked_at = self.record.now()
        self.record.write(f"client {self.number}", f"sent {self.first_line}")
        self.send(self.first_line)

    def line(self, text: str) -> None:
        """Take an answer, or a line that was returned."""
        if not self.up or text == "MOVE" or text.startswith("BYE"):
            self.record.write(f"client {self.number}", f"got {text}")
        if not self.answered_at:
            self.answered_at = self.record.now()
            self.answers.append(text)
            if self.up:
                delay = LINE_INTERVAL_S * (self.number % 20 + 1) / 20
                self.timer = asyncio.get_running_loop().call_later(delay, self._send_line)
        elif text == "MOVE":
            self.moved = True
            self.transport.close()
        elif text.startswith("M "):
            now = self.record.now()
            sent = self.under_way.pop(text, now)
            reached = self.record.reached.pop(text, now)
            self.longest_hold = max(self.longest_hold, reached - sent, now - reached)

    def held_back(self) -> float:
        """Return for how long the relay held a line back one way, or does: a tile server returns each at once."""
        now = self.record.now()
        holds = (
            [now - self.record.reached.get(text, sent) for text, sent in self.under_way.items()] if self.open else []
        )
        return max([self.longest_hold, *holds])

    def _send_line(self) -> None:
        if self.open and not self.transport.is_closing():
            self.sent_lines += 1
            text = f"M {self.id} {self.sent_lines}"
            self.under_way[text] = self.record.now()
            self.send(text)
            self.timer = asyncio.get_running_loop().call_later(LINE_INTERVAL_S, self._send_line)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        if not self.ended_at:
            self.ended_at = self.record.now()
            self.record.write(f"client {self.number}", f"ended{f' ({exc})' if exc else ''}")
        if self.timer:
            self.timer.cancel()


class _ProxyEnd(asyncio.Protocol):
    """One end of a proxied connection; what comes is written to the other end some time later."""

    def __init__(self, proxy: DelayProxy, other: _ProxyEnd | None = None) -> None:
        self.proxy, self.other = proxy, other
        self.transport: Any = None
        self.early: list[Callable[[], None]] = []  # what came before the other end was up

    def connection_made(self, transport: Any) -> None:
        """Connect the other end too, if this is the caller's."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.other is None:
            self.other = _ProxyEnd(self.proxy, self)
            loop = asyncio.get_running_loop()
            task = loop.create_task(loop.create_connection(lambda: self.other, "127.0.0.1", self.proxy.target))
            self.proxy.tasks.add(task)
            task.add_done_callback(self.proxy.tasks.discard)
        else:
            for act in self.other.early:
                act()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self._later(lambda other: other.transport.write(data))

    def eof_received(self) -> bool:
        """Pass the end of the sending on, and keep the other direction."""
        self._later(lambda other: other.transport.write_eof())
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other end the same way."""
        self._later(lambda other: other.transport.abort() if exc else other.transport.close())

    def _later(self, act: Callable[[_ProxyEnd], None]) -> None:
        other = self.other
        assert other is not None

        def do() -> None:
            if other.transport is None:
                self.early.append(do)
            elif not other.transport.is_closing():
                with suppress(OSError):  # it has broken meanwhile
                    act(other)

        asyncio.get_running_loop().call_later(self.proxy.one_way, do)


class DelayProxy:
    """A proxy that holds back all bytes and ends by the time that they take from one building to another."""

    def __init__(self, target: int, one_way: float) -> None:
        self.target, self.one_way = target, one_way
        self.port = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> DelayProxy:
        """Listen on a free port."""
        server = await asyncio.get_running_loop().create_server(lambda: _ProxyEnd(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self


class Relay:
    """One process of the relay, started by the deploy file's command."""

    def __init__(self, platform: Platform, name: str, port: int, config: Path, folder: Path) -> None:
        self.platform, self.name, self.port, self.config, self.folder = platform, name, port, config, folder
        self.admin = free_port()
        self.process: Any = None
        self.log: list[str] = []

    async def start(self) -> Relay:
        """Start the process, and wait until its operators' address says yes."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "PROXY_NAME": self.config.stem,
            "PROXY_LISTEN": f"127.0.0.1:{self.port}",
            "PROXY_DISCOVERY": self.platform.discovery.address,
            "PROXY_ADMIN": f"127.0.0.1:{self.admin}",
            "PROXY_CONFIG": str(self.config),
            "TMPDIR": str(self.folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.platform.relays.append(self)
        self.platform.tasks.append(asyncio.create_task(self._read_log()))
        for _ in range(100):
            if (await self.call("PING")).startswith("ok"):
                return self
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not say yes within 10 s: {self.log[-5:]}")

    async def _read_log(self) -> None:
        while line := await self.process.stdout.readline():
            text = line.decode("utf-8", "replace").rstrip()
            self.log.append(text)
            self.platform.record.write(self.name, f"log: {text}")

    async def call(self, command: str) -> str:
        """Send an operators' call, and return the answer; empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
            writer.write(command.encode() + b"\r\n")
            answer = await asyncio.wait_for(reader.read(), 3)
            writer.close()
        except (OSError, TimeoutError):
            return ""
        return answer.decode("utf-8", "replace")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process.returncode is None:
            self.platform.record.write(self.name, f"gets {number.name}")
            self.process.send_signal(number)


class Platform:
    """Everything that a case starts, and its end."""

    def __init__(self, record: Record, folder: Path, relay_settings: dict[str, Any]) -> None:
        self.record, self.folder, self.settings = record, folder, relay_settings
        self.discovery = Discovery(record)
        self.servers: list[TileServer] = []
        self.relays: list[Relay] = []
        self.clients: list[Client] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.ports: dict[int, int] = {}  # where clients come, by the relay's number

    async def start_servers(self, count: int, kind: type[TileServer] = TileServer) -> None:
        """Start discovery and tile servers, and list them."""
        await self.discovery.start()
        for number in range(count):
            server = await kind(self.record, f"s{number}").start()
            self.servers.append(server)
            self.discovery.put(server)

    async def start_relay(self, name: str, number: int = 0) -> Relay:
        """Start a process of a relay, and wait until it serves.

        Processes of one relay have its number, and with it the clients' address and a folder in common.
        """
        port = self.ports.setdefault(number, free_port())
        folder = self.folder / f"run-{number}"
        folder.mkdir(exist_ok=True)
        config = self.folder / f"n{number}.json"
        content = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery.address,
            "seed": f"8c1f30d27a5be96{4 + number}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.known(),
            "settings": self.settings | {"Me": number},
        }
        config.write_text(json.dumps(content))
        return await Relay(self, name, port, config, folder).start()

    def first_line(self, wait_ms: int = 3000, request_class: str = "browse", more: str = "") -> str:
        """Return the first line of the next client: its id, key and group are its own."""
        number = len(self.clients) + 1
        return (
            f"OPEN {number:016x} {number * 2654435761 % 2**64:016x} c={request_class},d={wait_ms},g={number:08x}{more}"
        )

    async def client(self, first_line: str, port: int = 0) -> Client:
        """Connect a client to the relay, and have it send its first line."""
        client = Client(self.record, len(self.clients) + 1, first_line)
        self.clients.append(client)
        await asyncio.get_running_loop().create_connection(lambda: client, "127.0.0.1", port or self.ports[0])
        return client

    async def stop(self) -> None:
        """End all processes that were started here."""
        for relay in self.relays:
            if relay.process.returncode is None:
                relay.process.kill()
                await relay.process.wait()
        for task in self.tasks:
            task.cancel()


def free_port() -> int:
    """Return a free loopback port."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


async def until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition holds; raise CannotRunError after ``seconds``."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.005)


def run_case(folder: Path, relay_settings: dict[str, Any], play: Callable[[Platform], Awaitable[int]]) -> int:
    """Play a case, end what it started, and return its exit code."""
    record = Record(folder / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="case-") as temporary:
            platform = Platform(record, Path(temporary), relay_settings)
            try:
                return await asyncio.wait_for(play(platform), 110)
            except (CannotRunError, TimeoutError, OSError) as error:
                record.note(f"could not run: {error!r}")
                return NOT_RUN
            finally:
                await platform.stop()

    try:
        code = asyncio.run(main())
        record.note({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run"))
        return code
    finally:
        record.file.close()


if __name__ == "__main__":
    sys.exit("this file holds the stand-ins of the cases; run review/N/run.sh")
