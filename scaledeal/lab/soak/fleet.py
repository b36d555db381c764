"""The processes of a soak and what befalls them: relays under the shim, tile servers, and the links between them."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec

from scaledeal.lab.soak.client import Target
from scaledeal.lab.soak.discovery import Catalog, DiscoveryEndpoint
from scaledeal.lab.soak.history import Ending, History
from scaledeal.lab.soak.plan import Plan, ServerBehavior
from scaledeal.lab.soak.proxy import Link
from scaledeal.lab.soak.shim import FaultControl

PROGRAM = (sys.executable, "-m", "scaledeal")
DESCRIPTORS = 1024
FRONT_STOPS = 0.2, 0.4  # seconds after SIGTERM for which the front still sends clients
SERIES = 0.5  # share of ends in which more signals follow the first
FRONT_NOTICES = 1.5  # seconds after a crash in which the front notices
AFTER_DEADLINE = 0.7  # seconds from the longest deadline after SIGTERM to SIGKILL
STARTS_ANEW = 0.3  # seconds from the end of a process to the start of the next
PROBE = 0.1  # seconds between two tries of the front at a relay that starts


class Server:
    """One tile server's process."""

    def __init__(self, name: str, zone: str, cell: int) -> None:
        self.name, self.zone, self.cell = name, zone, cell
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it, and wait for its port."""
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "scaledeal.lab.soak.tile_server", self.name, stdin=pipe, stdout=pipe
        )
        assert self.process.stdout is not None
        self.port = int(await self.process.stdout.readline())

    def behave(self, behavior: ServerBehavior) -> None:
        """Have it answer otherwise from now on."""
        if self.process is not None and self.process.stdin is not None and self.process.returncode is None:
            with suppress(OSError):
                self.process.stdin.write(behavior.value.encode() + b"\n")

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Relay:
    """One relay: its address, the process that runs now, and its faults."""

    def __init__(
        self,
        name: str,
        folder: Path,
        faults: FaultControl,
        discovery: DiscoveryEndpoint,
        plan: Plan,
        number: int,
        program: tuple[str, ...],
    ) -> None:
        self.name, self.folder, self.faults, self.discovery = name, folder, faults, discovery
        self.plan, self.number, self.program = plan, number, program
        self.links: dict[str, Link] = {}
        self.incarnation = 0
        self.in_service = False
        self.log: list[str] = []
        self.told: float | None = None
        self.killed: float | None = None
        self.process: asyncio.subprocess.Process | None = None
        # Bound and never listening: nobody else gets the port while the relay is away.
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.reserved.bind(("127.0.0.1", 0))
        self.port = int(self.reserved.getsockname()[1])
        self.config = folder / f"{name}.json"

    async def start(self) -> None:
        """Start a new process, which knows nothing of the one before."""
        self.incarnation += 1
        self.told = self.killed = None
        self.discovery.incarnation = self.incarnation
        for link in self.links.values():
            link.incarnation = self.incarnation
        self.write_config()
        runtime = self.folder / f"{self.name}-{self.incarnation}"
        runtime.mkdir()
        environment = {
            **os.environ,
            **self.faults.environment(),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"127.0.0.1:{self.port}",
            "PROXY_DISCOVERY": self.discovery.address,
            "PROXY_CONFIG": str(self.config),
            "PROXY_ADMIN": "127.0.0.1:0",
            "TMPDIR": str(runtime),
            "SCALEDEAL_DIES_WITH_PARENT": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            *self.program, env=environment, stderr=asyncio.subprocess.PIPE
        )

    def write_config(self) -> None:
        """Write the configuration as it is to be read now."""
        settings = {**self.plan.settings, "Me": self.number, "Zone": self.number % 2}
        self.config.write_bytes(
            msgspec.json.encode(
                {
                    "name": self.name,
                    "seed": f"{self.plan.seed}-{self.number}-{self.incarnation}",
                    "settings": settings,
                    "discovery": self.discovery.address,
                    "limits": {"sockets": DESCRIPTORS},
                    "known": self.discovery.whole_list(),
                }
            )
        )

    async def read_log(self) -> None:
        """Keep what the process logs, until it ends."""
        assert self.process is not None and self.process.stderr is not None
        incarnation = self.incarnation
        with (self.folder / f"{self.name}.log").open("ab") as file:
            async for line in self.process.stderr:
                file.write(b"%.3f %d " % (time.monotonic(), incarnation) + line)
                self.log.append(line.decode("utf-8", "replace").rstrip())

    def send(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        if self.process is not None:
            self.send_to(self.process, number)

    def send_to(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Send one of its processes a signal, if that still runs."""
        if process.returncode is None:
            process.send_signal(number)


class Fleet:
    """All processes, the front before them, and the record of their ends."""

    def __init__(self, plan: Plan, folder: Path, library: Path, program: tuple[str, ...]) -> None:
        """``library`` is the shim, ``program`` the command that starts a relay."""
        self.plan, self.folder, self.history, self.program = plan, folder, History(), program
        self.random = Random(f"front {plan.seed}")
        self.catalog = Catalog(time.monotonic, self.history.changes.append)
        self.servers: dict[str, Server] = {}
        self.relays: list[Relay] = []
        self.library = library
        self.ending = False  # nothing is started any more
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything, and wait until every relay is in service."""
        for number in range(self.plan.servers):
            await self.add_server(number)
        for number in range(self.plan.relays):
            await self._add_relay(number)
        await asyncio.gather(*(self.start_relay(relay) for relay in self.relays))

    async def add_server(self, number: int, fresh: bool = False) -> Server:
        """Start a server and list it; ``fresh`` where it has just started, and is cold."""
        server = Server(f"s{number}", "ab"[number % 2], number // 2)
        await server.start()
        self.servers[server.name] = server
        for relay in self.relays:
            self._link(relay, server)
        self.list_server(server, "active", fresh)
        return server

    def list_server(self, server: Server, status: str, fresh: bool = False) -> None:
        """Change what discovery tells of a server."""
        since = time.time() if fresh else 0.0  # noqa: TID251 - as discovery tells starts
        self.catalog.change(server.name, server.zone, server.cell, status, since)

    async def _add_relay(self, number: int) -> None:
        name = f"n{number}"
        faults = FaultControl(self.library, self.folder / f"{name}.faults", self.plan.seed * 1000 + number + 1)
        discovery = DiscoveryEndpoint(name, self.catalog, self._address, self.history.lists.append)
        await discovery.open()
        relay = Relay(name, self.folder, faults, discovery, self.plan, number, self.program)
        self.relays.append(relay)
        for server in self.servers.values():
            self._link(relay, server)

    def _link(self, relay: Relay, server: Server) -> None:
        link = relay.links.get(server.name)
        if link is None:
            link = Link(relay.name, server.name, server.cell, time.monotonic, self.history.attempts.append)
            link.incarnation = relay.incarnation
            relay.links[server.name] = link
            link.open()
        link.upstream = server.port

    def _address(self, relay: str, server: str) -> str:
        return self.relays[int(relay[1:])].links[server].address

    def links(self, relays: tuple[int, ...] = (), servers: tuple[int, ...] = ()) -> list[Link]:
        """Return the links between these; none named means all."""
        chosen = [self.relays[number] for number in relays] or self.relays
        names = {f"s{number}" for number in servers} or self.servers.keys()
        return [link for relay in chosen for name, link in relay.links.items() if name in names]

    # Relays

    async def start_relay(self, relay: Relay) -> None:
        """Start a relay, and take it into service once it answers the front."""
        await relay.start()
        self._keep(relay.read_log())
        self._keep(self._watch(relay, relay.incarnation))
        began = time.monotonic()
        while not await self._ready(relay):
            if relay.process is None or relay.process.returncode is not None:
                return
            await asyncio.sleep(PROBE)
        self.history.slow_starts.append((relay.name, time.monotonic() - began))
        relay.in_service = relay.told is None

    async def _ready(self, relay: Relay) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        except OSError:
            return False
        try:
            writer.write(b"PING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def _watch(self, relay: Relay, incarnation: int) -> None:
        """Record the end of one process."""
        assert relay.process is not None
        code = await relay.process.wait()
        relay.in_service = relay.in_service and relay.killed is not None  # the front notices a crash later
        self.history.endings.append(Ending(relay.name, incarnation, relay.told, relay.killed, code))

    async def terminate(self, relay: Relay, anew: bool = True) -> None:
        """Tell a relay to end, kill it at the page's earliest, and start it anew."""
        process = relay.process
        if process is None or process.returncode is not None or relay.told is not None:
            return
        relay.told = time.monotonic()
        relay.send(signal.SIGTERM)
        if self.random.random() < SERIES:
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                asyncio.get_running_loop().call_later(self.random.uniform(0.0, 1.5), relay.send_to, process, number)
        asyncio.get_running_loop().call_later(self.random.uniform(*FRONT_STOPS), self._out_of_service, relay)
        try:
            await asyncio.wait_for(process.wait(), self.plan.longest_deadline + AFTER_DEADLINE)
        except TimeoutError:
            relay.killed = time.monotonic()
            relay.send(signal.SIGKILL)
            await process.wait()
        if anew and not self.ending:
            await asyncio.sleep(STARTS_ANEW)
            await self.start_relay(relay)

    def _out_of_service(self, relay: Relay) -> None:
        relay.in_service = False

    async def crash(self, relay: Relay) -> None:
        """Kill a relay without a word, and start it anew."""
        process = relay.process
        if process is None or process.returncode is not None or relay.told is not None:
            return
        relay.killed = time.monotonic()
        relay.send(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(FRONT_NOTICES)
        relay.in_service = False
        if not self.ending:
            await self.start_relay(relay)

    # The front

    def target(self) -> Target | None:
        """Return where the next client goes."""
        chosen = [relay for relay in self.relays if relay.in_service]
        if not chosen:
            return None
        relay = self.random.choice(chosen)
        return Target(relay.name, relay.incarnation, relay.port)

    # The end

    async def close(self) -> None:
        """End every process and close every socket, whatever has happened."""
        self.ending = True
        for relay in self.relays:
            relay.send(signal.SIGCONT)
            relay.send(signal.SIGKILL)
            await relay.discovery.close()
            for link in relay.links.values():
                link.close()
            relay.reserved.close()
        for server in self.servers.values():
            server.send(signal.SIGCONT)
            await server.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.relays:
            self.history.logs[relay.name] = relay.log
            relay.faults.close()

    def _keep(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
