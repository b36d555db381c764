"""Injects the faults of a plan into a fleet; each starts at its own time, so that faults overlap."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from scaledeal.lab.soak.fleet import Fleet, Server
from scaledeal.lab.soak.plan import Event, Fault, ServerBehavior
from scaledeal.lab.soak.shim import Call

WALL_CLOCK_STEPS = 3  # for each fault, in alternating directions
FAILING_CALLS = (
    Call.ACCEPT,
    Call.SOCKET,
    Call.CONNECT,
    Call.RECV,
    Call.SEND,
    Call.WAIT,
    Call.SHORT_RECV,
    Call.SHORT_SEND,
    Call.POLL_CHANGE,
    Call.OPTION,
)
DRAIN_DURATION_S = 2.0  # from the moment that a server is listed as leaving to its end


class FaultInjector:
    """Injects each kind of fault, and reverts it at its end where it does not end by itself."""

    def __init__(self, fleet: Fleet, start_clients: Callable[[int], None]) -> None:
        """``start_clients`` starts the given number of clients at once."""
        self.fleet, self.start_clients = fleet, start_clients
        self.replacement_count = 0  # servers started in place of drained ones
        self._handlers: dict[Fault, Callable[[Event], Awaitable[None]]] = {
            Fault.WALL_STEP: self._wall_step,
            Fault.TERMINATE: self._terminate,
            Fault.KILL: self._kill,
            Fault.PAUSE: self._pause,
            Fault.CALLS: self._calls,
            Fault.RELOAD: self._reload,
            Fault.HANG: self._hang,
            Fault.CRASH: self._crash,
            Fault.DRAIN: self._drain,
            Fault.BAD_SERVER: self._bad_server,
            Fault.CUT: self._cut,
            Fault.RESET: self._reset,
            Fault.LATE: self._late,
            Fault.PIECES: self._pieces,
            Fault.DISCOVERY_DOWN: self._discovery_down,
            Fault.DISCOVERY_SILENT: self._discovery_silent,
            Fault.DISCOVERY_SLOW: self._discovery_slow,
            Fault.CROWD: self._crowd,
        }

    async def inject(self, event: Event) -> None:
        """Wait until a fault is due, inject it, and return when it has ended."""
        await asyncio.sleep(event.at)
        await self._handlers[event.fault](event)

    async def _wall_step(self, event: Event) -> None:
        for number in range(WALL_CLOCK_STEPS):
            for relay in event.relays:
                self.fleet.relays[relay].faults.step_wall_clock(event.amount * (-1) ** number)
            await asyncio.sleep(event.duration / WALL_CLOCK_STEPS)

    async def _terminate(self, event: Event) -> None:
        interval = event.duration / len(event.relays)
        terminations = []
        for number in event.relays:
            terminations.append(asyncio.create_task(self.fleet.terminate(self.fleet.relays[number])))
            await asyncio.sleep(interval)
        await asyncio.gather(*terminations)

    async def _kill(self, event: Event) -> None:
        await self.fleet.crash(self.fleet.relays[event.relays[0]])

    async def _pause(self, event: Event) -> None:
        relay = self.fleet.relays[event.relays[0]]
        relay.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.duration)
        relay.send_signal(signal.SIGCONT)

    async def _calls(self, event: Event) -> None:
        controls = [self.fleet.relays[number].faults for number in event.relays]
        for control in controls:
            for call in FAILING_CALLS:
                control.set_failure_share(call, event.amount)
        await asyncio.sleep(event.duration)
        for control in controls:
            control.clear_failures()

    async def _reload(self, event: Event) -> None:
        relay = self.fleet.relays[event.relays[0]]
        await relay.discovery.open_new_port()
        relay.write_config()
        relay.send_signal(signal.SIGHUP)

    async def _hang(self, event: Event) -> None:
        for server in self._servers(event):
            server.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.duration)
        for server in self._servers(event):
            server.send_signal(signal.SIGCONT)

    async def _crash(self, event: Event) -> None:
        for server in self._servers(event):
            await self._stop_server(server)
        await asyncio.sleep(event.duration)
        for server in self._servers(event):
            await server.start()
            self._reconnect_links(server)
            if self.fleet.catalog.servers[server.name].status == "active":
                self.fleet.list_server(server, "active", fresh=True)

    async def _drain(self, event: Event) -> None:
        for server in self._servers(event):
            self.fleet.list_server(server, "leaving")
        await asyncio.sleep(DRAIN_DURATION_S)
        for server in self._servers(event):
            await self.fleet.add_server(self.fleet.plan.servers + self.replacement_count, fresh=True)
            self.replacement_count += 1
            self.fleet.list_server(server, "left")
            await self._stop_server(server)

    async def _bad_server(self, event: Event) -> None:
        for server in self._servers(event):
            server.set_behavior(event.behavior)
        await asyncio.sleep(event.duration)
        for server in self._servers(event):
            server.set_behavior(ServerBehavior.SOUND)

    async def _cut(self, event: Event) -> None:
        links = self.fleet.links(event.relays, event.servers)
        for link in links:
            link.set_silent(True)
        await asyncio.sleep(event.duration)
        for link in links:
            link.set_silent(False)

    async def _reset(self, event: Event) -> None:
        for link in self.fleet.links(servers=event.servers):
            link.reset()

    async def _late(self, event: Event) -> None:
        links = self.fleet.links(servers=event.servers)
        for link in links:
            link.delay_connections(True)
        await asyncio.sleep(event.duration)
        for link in links:
            if not link.silent:
                link.delay_connections(False)

    async def _pieces(self, event: Event) -> None:
        links = self.fleet.links(servers=event.servers)
        for link in links:
            link.pieces = True
        await asyncio.sleep(event.duration)
        for link in links:
            link.pieces = False

    async def _discovery_down(self, event: Event) -> None:
        endpoints = [relay.discovery for relay in self.fleet.relays]
        for discovery in endpoints:
            discovery.start_outage()
        await asyncio.sleep(event.duration)
        for discovery in endpoints:
            discovery.end_outage()

    async def _discovery_silent(self, event: Event) -> None:
        for relay in self.fleet.relays:
            relay.discovery.silence_open_connections()

    async def _discovery_slow(self, event: Event) -> None:
        for relay in self.fleet.relays:
            relay.discovery.slow = True
        await asyncio.sleep(event.duration)
        for relay in self.fleet.relays:
            relay.discovery.slow = False

    async def _crowd(self, event: Event) -> None:
        self.start_clients(int(event.amount))

    def _servers(self, event: Event) -> list[Server]:
        return [self.fleet.servers[f"s{number}"] for number in event.servers]

    async def _stop_server(self, server: Server) -> None:
        server.send_signal(signal.SIGCONT)
        await server.kill()
        for link in self.fleet.links(servers=(int(server.name[1:]),)):
            link.upstream = None
            link.reset()

    def _reconnect_links(self, server: Server) -> None:
        for link in self.fleet.links(servers=(int(server.name[1:]),)):
            link.upstream = server.port
