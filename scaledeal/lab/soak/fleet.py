"""The processes of a soak: relays under the shim, tile servers, the links between them, and the front."""

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

RELAY_COMMAND = (sys.executable, "-m", "scaledeal")
DESCRIPTOR_LIMIT = 1024
FRONT_STOP_DELAY_RANGE_S = 0.2, 0.4  # after SIGTERM the front still sends clients for so long
EXTRA_SIGNALS_SHARE = 0.5  # share of terminations in which further signals follow SIGTERM
CRASH_DETECTION_DELAY_S = 1.5  # after a crash the front still sends clients for so long
SIGKILL_MARGIN_S = 0.7  # SIGKILL follows SIGTERM by the longest deadline and this margin
RESTART_DELAY_S = 0.3  # from the end of a process to the start of the next
READY_PROBE_INTERVAL_S = 0.1  # between two probes of the front at a starting relay


class Server:
    """The process of one tile server."""

    def __init__(self, name: str, zone: str, cell: int) -> None:
        self.name, self.zone, self.cell = name, zone, cell
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until it reports its port."""
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "scaledeal.lab.soak.tile_server", self.name, stdin=pipe, stdout=pipe
        )
        assert self.process.stdout is not None
        self.port = int(await self.process.stdout.readline())

    def set_behavior(self, behavior: ServerBehavior) -> None:
        """Change how the server answers from now on; do nothing if it does not run."""
        if self.process is not None and self.process.stdin is not None and self.process.returncode is None:
            with suppress(OSError):
                self.process.stdin.write(behavior.value.encode() + b"\n")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send the process a signal if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Relay:
    """One relay: its address, its current process, and its faults."""

    def __init__(
        self,
        name: str,
        folder: Path,
        faults: FaultControl,
        discovery: DiscoveryEndpoint,
        plan: Plan,
        number: int,
        command: tuple[str, ...],
    ) -> None:
        """``command`` starts a relay process."""
        self.name, self.folder, self.faults, self.discovery = name, folder, faults, discovery
        self.plan, self.number, self.command = plan, number, command
        self.links: dict[str, Link] = {}
        self.incarnation = 0
        self.in_service = False
        self.log: list[str] = []
        self.sigterm_at: float | None = None  # monotonic seconds; None until the current process is sent SIGTERM
        self.sigkill_at: float | None = None
        self.process: asyncio.subprocess.Process | None = None
        # Bound but never listening: no other process can take the port while the relay does not run.
        self.port_reservation = socket.socket()
        self.port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.port_reservation.bind(("127.0.0.1", 0))
        self.port = int(self.port_reservation.getsockname()[1])
        self.config = folder / f"{name}.json"

    async def start(self) -> None:
        """Start a new process in a runtime folder of its own, so that it finds nothing of the previous one."""
        self.incarnation += 1
        self.sigterm_at = self.sigkill_at = None
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
            *self.command, env=environment, stderr=asyncio.subprocess.PIPE
        )

    def write_config(self) -> None:
        """Write the configuration file with the current discovery address and list."""
        settings = {**self.plan.settings, "Me": self.number, "Zone": self.number % 2}
        self.config.write_bytes(
            msgspec.json.encode(
                {
                    "name": self.name,
                    "seed": f"{self.plan.seed}-{self.number}-{self.incarnation}",
                    "settings": settings,
                    "discovery": self.discovery.address,
                    "limits": {"sockets": DESCRIPTOR_LIMIT},
                    "known": self.discovery.full_list(),
                }
            )
        )

    async def read_log(self) -> None:
        """Record the lines that the process logs, until it ends."""
        assert self.process is not None and self.process.stderr is not None
        incarnation = self.incarnation
        with (self.folder / f"{self.name}.log").open("ab") as file:
            async for line in self.process.stderr:
                file.write(b"%.3f %d " % (time.monotonic(), incarnation) + line)
                self.log.append(line.decode("utf-8", "replace").rstrip())

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send the current process a signal if it still runs."""
        if self.process is not None:
            self.send_signal_to(self.process, signal_number)

    def send_signal_to(self, process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
        """Send one of the relay's processes a signal if it still runs."""
        if process.returncode is None:
            process.send_signal(signal_number)


class Fleet:
    """All processes, the front that distributes clients, and the history."""

    def __init__(self, plan: Plan, folder: Path, shim_library: Path, command: tuple[str, ...]) -> None:
        """``command`` starts a relay process."""
        self.plan, self.folder, self.history, self.command = plan, folder, History(), command
        self.random = Random(f"front {plan.seed}")
        self.catalog = Catalog(time.monotonic, self.history.changes.append)
        self.servers: dict[str, Server] = {}
        self.relays: list[Relay] = []
        self.shim_library = shim_library
        self.stopping = False  # if set, no process is restarted
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all processes, and wait until every relay is in service."""
        for number in range(self.plan.servers):
            await self.add_server(number)
        for number in range(self.plan.relays):
            await self._add_relay(number)
        await asyncio.gather(*(self.start_relay(relay) for relay in self.relays))

    async def add_server(self, number: int, fresh: bool = False) -> Server:
        """Start a server and list it; ``fresh`` lists the current time as its start, so that it counts as cold."""
        server = Server(f"s{number}", "ab"[number % 2], number // 2)
        await server.start()
        self.servers[server.name] = server
        for relay in self.relays:
            self._link(relay, server)
        self.list_server(server, "active", fresh)
        return server

    def list_server(self, server: Server, status: str, fresh: bool = False) -> None:
        """Change a server's entry in discovery; ``fresh`` lists the current time as its start."""
        since = time.time() if fresh else 0.0  # noqa: TID251 - discovery lists starts in Unix time
        self.catalog.change(server.name, server.zone, server.cell, status, since)

    async def _add_relay(self, number: int) -> None:
        name = f"n{number}"
        faults = FaultControl(self.shim_library, self.folder / f"{name}.faults", self.plan.seed * 1000 + number + 1)
        discovery = DiscoveryEndpoint(name, self.catalog, self._address, self.history.lists.append)
        await discovery.open()
        relay = Relay(name, self.folder, faults, discovery, self.plan, number, self.command)
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
        """Return the links between these relays and servers; an empty tuple means all of them."""
        chosen = [self.relays[number] for number in relays] or self.relays
        names = {f"s{number}" for number in servers} or self.servers.keys()
        return [link for relay in chosen for name, link in relay.links.items() if name in names]

    # Relays

    async def start_relay(self, relay: Relay) -> None:
        """Start a relay, and put it into service once it answers the front's PING."""
        await relay.start()
        self._start_task(relay.read_log())
        self._start_task(self._record_ending(relay, relay.incarnation))
        started_at = time.monotonic()
        while not await self._answers_ping(relay):
            if relay.process is None or relay.process.returncode is not None:
                return
            await asyncio.sleep(READY_PROBE_INTERVAL_S)
        self.history.slow_starts.append((relay.name, time.monotonic() - started_at))
        relay.in_service = relay.sigterm_at is None

    async def _answers_ping(self, relay: Relay) -> bool:
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

    async def _record_ending(self, relay: Relay, incarnation: int) -> None:
        """Wait for the end of one process and record it."""
        assert relay.process is not None
        code = await relay.process.wait()
        # A relay that was killed stays in service until the front notices.
        relay.in_service = relay.in_service and relay.sigkill_at is not None
        self.history.endings.append(Ending(relay.name, incarnation, relay.sigterm_at, relay.sigkill_at, code))

    async def terminate(self, relay: Relay, restart: bool = True) -> None:
        """Send a relay SIGTERM, and SIGKILL as early as the protocol allows; then restart it.

        Do nothing if the relay does not run or has already been sent SIGTERM.
        """
        process = relay.process
        if process is None or process.returncode is not None or relay.sigterm_at is not None:
            return
        relay.sigterm_at = time.monotonic()
        relay.send_signal(signal.SIGTERM)
        if self.random.random() < EXTRA_SIGNALS_SHARE:
            for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                asyncio.get_running_loop().call_later(
                    self.random.uniform(0.0, 1.5), relay.send_signal_to, process, signal_number
                )
        asyncio.get_running_loop().call_later(
            self.random.uniform(*FRONT_STOP_DELAY_RANGE_S), self._take_out_of_service, relay
        )
        try:
            await asyncio.wait_for(process.wait(), self.plan.longest_deadline + SIGKILL_MARGIN_S)
        except TimeoutError:
            relay.sigkill_at = time.monotonic()
            relay.send_signal(signal.SIGKILL)
            await process.wait()
        if restart and not self.stopping:
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_relay(relay)

    def _take_out_of_service(self, relay: Relay) -> None:
        relay.in_service = False

    async def crash(self, relay: Relay) -> None:
        """Send a relay SIGKILL without SIGTERM, and restart it once the front has noticed.

        Do nothing if the relay does not run or has already been sent SIGTERM.
        """
        process = relay.process
        if process is None or process.returncode is not None or relay.sigterm_at is not None:
            return
        relay.sigkill_at = time.monotonic()
        relay.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(CRASH_DETECTION_DELAY_S)
        relay.in_service = False
        if not self.stopping:
            await self.start_relay(relay)

    # The front

    def target(self) -> Target | None:
        """Return the target of the next client: a random relay in service, or None."""
        in_service = [relay for relay in self.relays if relay.in_service]
        if not in_service:
            return None
        relay = self.random.choice(in_service)
        return Target(relay.name, relay.incarnation, relay.port)

    # Shutdown

    async def close(self) -> None:
        """Kill every process and close every socket, in whatever state they are."""
        self.stopping = True
        for relay in self.relays:
            relay.send_signal(signal.SIGCONT)
            relay.send_signal(signal.SIGKILL)
            await relay.discovery.close()
            for link in relay.links.values():
                link.close()
            relay.port_reservation.close()
        for server in self.servers.values():
            server.send_signal(signal.SIGCONT)
            await server.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.relays:
            self.history.logs[relay.name] = relay.log
            relay.faults.close()

    def _start_task(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
