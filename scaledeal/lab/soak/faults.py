"""Carries a plan's faults out on a fleet; each begins at its time and overlaps with the others."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from scaledeal.lab.soak.fleet import Fleet, Server
from scaledeal.lab.soak.plan import Event, Fault, ServerBehavior
from scaledeal.lab.soak.shim import Call

STEPS = 3  # steps of one wall clock in a row
FAILING = (
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
DRAINS = 2.0  # seconds from a server's draining to its end


class Faults:
    """Knows how to do each fault, and undoes what does not end by itself."""

    def __init__(self, fleet: Fleet, crowd: Callable[[int], None]) -> None:
        """``crowd`` has so many clients come at once."""
        self.fleet, self.crowd = fleet, crowd
        self.replaced = 0  # servers started in place of others
        self._do: dict[Fault, Callable[[Event], Awaitable[None]]] = {
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

    async def play(self, event: Event) -> None:
        """Wait for its time, and carry it out to its end."""
        await asyncio.sleep(event.at)
        await self._do[event.fault](event)

    async def _wall_step(self, event: Event) -> None:
        for number in range(STEPS):
            for relay in event.relays:
                self.fleet.relays[relay].faults.step_wall_clock(event.amount * (-1) ** number)
            await asyncio.sleep(event.lasts / STEPS)

    async def _terminate(self, event: Event) -> None:
        apart = event.lasts / len(event.relays)
        ends = []
        for number in event.relays:
            ends.append(asyncio.create_task(self.fleet.terminate(self.fleet.relays[number])))
            await asyncio.sleep(apart)
        await asyncio.gather(*ends)

    async def _kill(self, event: Event) -> None:
        await self.fleet.crash(self.fleet.relays[event.relays[0]])

    async def _pause(self, event: Event) -> None:
        relay = self.fleet.relays[event.relays[0]]
        relay.send(signal.SIGSTOP)
        await asyncio.sleep(event.lasts)
        relay.send(signal.SIGCONT)

    async def _calls(self, event: Event) -> None:
        chosen = [self.fleet.relays[number].faults for number in event.relays]
        for faults in chosen:
            for call in FAILING:
                faults.fail(call, event.amount)
        await asyncio.sleep(event.lasts)
        for faults in chosen:
            faults.sound()

    async def _reload(self, event: Event) -> None:
        relay = self.fleet.relays[event.relays[0]]
        await relay.discovery.move()
        relay.write_config()
        relay.send(signal.SIGHUP)

    async def _hang(self, event: Event) -> None:
        for server in self._servers(event):
            server.send(signal.SIGSTOP)
        await asyncio.sleep(event.lasts)
        for server in self._servers(event):
            server.send(signal.SIGCONT)

    async def _crash(self, event: Event) -> None:
        for server in self._servers(event):
            await self._down(server)
        await asyncio.sleep(event.lasts)
        for server in self._servers(event):
            await server.start()
            self._up(server)
            if self.fleet.catalog.servers[server.name].status == "active":
                self.fleet.list_server(server, "active", fresh=True)

    async def _drain(self, event: Event) -> None:
        for server in self._servers(event):
            self.fleet.list_server(server, "leaving")
        await asyncio.sleep(DRAINS)
        for server in self._servers(event):
            await self.fleet.add_server(self.fleet.plan.servers + self.replaced, fresh=True)
            self.replaced += 1
            self.fleet.list_server(server, "left")
            await self._down(server)

    async def _bad_server(self, event: Event) -> None:
        for server in self._servers(event):
            server.behave(event.behavior)
        await asyncio.sleep(event.lasts)
        for server in self._servers(event):
            server.behave(ServerBehavior.SOUND)

    async def _cut(self, event: Event) -> None:
        links = self.fleet.links(event.relays, event.servers)
        for link in links:
            link.cut(True)
        await asyncio.sleep(event.lasts)
        for link in links:
            link.cut(False)

    async def _reset(self, event: Event) -> None:
        for link in self.fleet.links(servers=event.servers):
            link.reset()

    async def _late(self, event: Event) -> None:
        links = self.fleet.links(servers=event.servers)
        for link in links:
            link.come_up_late(True)
        await asyncio.sleep(event.lasts)
        for link in links:
            if not link.silent:
                link.come_up_late(False)

    async def _pieces(self, event: Event) -> None:
        links = self.fleet.links(servers=event.servers)
        for link in links:
            link.pieces = True
        await asyncio.sleep(event.lasts)
        for link in links:
            link.pieces = False

    async def _discovery_down(self, event: Event) -> None:
        endpoints = [relay.discovery for relay in self.fleet.relays]
        for discovery in endpoints:
            discovery.down()
        await asyncio.sleep(event.lasts)
        for discovery in endpoints:
            discovery.up()

    async def _discovery_silent(self, event: Event) -> None:
        for relay in self.fleet.relays:
            relay.discovery.fall_silent()

    async def _discovery_slow(self, event: Event) -> None:
        for relay in self.fleet.relays:
            relay.discovery.slow = True
        await asyncio.sleep(event.lasts)
        for relay in self.fleet.relays:
            relay.discovery.slow = False

    async def _crowd(self, event: Event) -> None:
        self.crowd(int(event.amount))

    def _servers(self, event: Event) -> list[Server]:
        return [self.fleet.servers[f"s{number}"] for number in event.servers]

    async def _down(self, server: Server) -> None:
        server.send(signal.SIGCONT)
        await server.kill()
        for link in self.fleet.links(servers=(int(server.name[1:]),)):
            link.upstream = None
            link.reset()

    def _up(self, server: Server) -> None:
        for link in self.fleet.links(servers=(int(server.name[1:]),)):
            link.upstream = server.port
