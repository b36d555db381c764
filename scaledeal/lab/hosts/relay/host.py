"""Starts the real relay many times, each on a reactor of its own, among simulated peers, and does to it what befalls.

The program is ``scaledeal.net.relay.Relay``, unchanged. Its configuration is the document that the platform would
write; SIGTERM and SIGHUP are the calls that its signal handlers make. An upgrade needs Unix sockets and descriptors
that are handed over, which are not simulated: a scenario with one is refused here.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from typing import Any, cast

from scaledeal.hcl import Fault, FileError
from scaledeal.lab.hosts.module import Factory, told_to
from scaledeal.lab.hosts.relay.peers import STOOD, BadEnd, ClientEnd, DirectoryListener, TileListener
from scaledeal.lab.hosts.relay.reactor import OWN, Process, SimReactor
from scaledeal.lab.hosts.relay.sockets import End, Machine, Net
from scaledeal.lab.world.clients import Client
from scaledeal.lab.world.fleet import EPOCH_MS, Fleet, RelayBackend
from scaledeal.lab.world.placement import place_initial_connections
from scaledeal.lab.world.server import TileServer
from scaledeal.net.config import Address, Config
from scaledeal.net.ports import Port, Reactor
from scaledeal.net.relay import Relay
from scaledeal.net.roster import Endpoint, Roster
from scaledeal.net.service import Stage
from scaledeal.net.system import System
from scaledeal.policy import Balancer

MS = 1_000_000
SECOND = 1000 * MS
DISCOVERY = ("10.2.0.1", 8500)
TERM = 3700 * MS  # from SIGTERM until SIGKILL
STOPS = 300 * MS  # after SIGTERM for which new connections still come
BAD = (
    b"",
    b"OPEN half",
    b"NONSENSE\r\n",
    b"OPEN a b c=none,d=9\r\n",
    b"OPEN a b c=x,d=-4\r\n",
    b"x" * 9000,
    b"PING\r\n" * 400,
    b"\xff\xfe\r\n",
)


class SimSystem(System):
    """The clocks and listening sockets of one simulated relay."""

    def __init__(self, fleet: Fleet, reactor: SimReactor) -> None:
        self.fleet, self.reactor = fleet, reactor

    def monotonic(self) -> int:
        """Return the run's time; a clock that starts at 0 would look like one that was never set."""
        return self.fleet.kernel.now + SECOND

    def unix(self) -> int:
        """Return the run's time as Unix time."""
        return self.fleet.kernel.now + EPOCH_MS * MS

    def port(self, clients: bool, port: int, factory: Any, backlog: int, host: str, reactor: Reactor) -> Port:
        """Return a simulated listening socket."""
        from scaledeal.lab.hosts.relay import reactor as simulated

        return cast(Port, simulated.Port(self.reactor, host, port, factory, backlog))


class Running:
    """One start of one relay."""

    def __init__(self, host: RelayHost, door: RelayBackend, start: int) -> None:
        self.host, self.door, self.start = host, door, start
        fleet = host.fleet
        self.draw = fleet.streams.of("relay", door.name, start)
        self.machine = host.machines[door.number]
        cost = int(fleet.day.relays.event * 1000 / fleet.day.relays.cores)
        self.process = Process(host.net, self.machine, cost, fleet.day.relays.sockets, self.crashed)
        self.reactor = SimReactor(host.net, self.process, host.address(door)[0])
        self.reactor.stopped = self.exits
        self.relay: Relay | None = None
        self.process.do(self._begin)

    @property
    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.process.alive

    def serves(self) -> bool:
        """Tell whether it takes clients."""
        return self.relay is not None and self.relay.service.stage is Stage.SERVING

    def crashed(self, why: BaseException) -> None:
        """Hear that the program failed."""
        fleet = self.host.fleet
        fleet.checker.relay_crashed(self.door.name, fleet.kernel.now, f"{type(why).__name__}: {why}")
        self.host.kill(self.door.number)

    def exits(self) -> None:
        """Hear that the program ended by itself."""
        if self.alive:
            self.host.exited(self)

    def ends(self) -> None:
        """End the process at once."""
        self.process.alive = False
        self.host.net.kill(self.machine)

    def _begin(self) -> None:
        system = SimSystem(self.host.fleet, self.reactor)
        self.relay = Relay(cast(Reactor, self.reactor), self.host.config(self), system)
        if self.host.factory is not Balancer:
            config = self.relay.config
            self.relay.driver.balancer = self.host.factory(config.settings, config.seed)
        self.relay.start()
        if self.relay.failure:
            raise RuntimeError(self.relay.failure)


class RelayHost:
    """All relays of a run, and everybody who speaks with them."""

    def __init__(self, fleet: Fleet, factory: Factory = Balancer) -> None:
        self.factory = factory
        if any(trouble.name == "upgrade" for trouble in fleet.day.trouble):
            raise FileError([Fault(0, 'trouble["upgrade"]', "needs sockets handed over: play it on the host module")])
        self.fleet = fleet
        self.net = Net(fleet.kernel, fleet.paths, fleet.day.network.segment)
        self.clients: dict[str, Client] = {}  # by the id of their present connection
        self.ends: dict[str, ClientEnd] = {}
        self.machines = [self._machine(self.address(door)[0], door.name, door.zone) for door in fleet.backends]
        self._crowd = self._machine("10.9.0.1", "clients", 0, True)
        self.servers: dict[str, Machine] = {}
        self.sent_away: set[str] = set()  # ids of connections that a draining server ended politely
        self.starts = 0
        self.running: list[Running] = []
        DirectoryListener(self, self.net, self._machine(DISCOVERY[0], "discovery", 0), DISCOVERY)
        for server in fleet.servers.values():
            self._serve(server)
        fleet.on_server_start = self._serve
        self.running = [self._start(door) for door in fleet.backends]
        fleet.attach(self)
        self._stand()
        if fleet.day.clients.bad:
            self._bad_draw = fleet.streams.of("bad clients")
            self._bad_comes()

    def run(self) -> None:
        """Play the day, and what is still owed at its end; then look for what nobody owns."""
        fleet = self.fleet
        fleet.kernel.run(fleet.day.seconds)
        for server in fleet.servers.values():
            server.update()
        for client in list(fleet.population.clients.values()):
            client.done_at = min(client.done_at, fleet.kernel.now)
        longest = max(each.deadline for each in fleet.day.classes)
        fleet.kernel.run(fleet.day.seconds + longest + fleet.day.rules.slack + SECOND)
        for client in list(fleet.population.clients.values()):
            client._finish()
        # Probe connections are kept until they were idle for as long as the settings say, and closed by then.
        fleet.kernel.run(fleet.kernel.now + int(fleet.day.network.idle) + 7 * SECOND)
        for each in self.running:
            self._owners(each)

    # Clients

    def ask(self, client: Client) -> bool:
        """Bring a client's first line to a relay."""
        door = self.fleet.front.pick(client.zone)
        if door is None:
            return False
        self._come(client, door, "")
        return True

    def leave(self, client: Client) -> None:
        """Have a client end what it asked for, or its connection."""
        self.clients.pop(client.id, None)
        if (end := self.ends.get(client.id)) is not None:
            end.leaves()

    def _come(self, client: Client, door: RelayBackend, at: str) -> None:
        id = client.id
        self.clients[id] = client

        def up(end: End) -> None:
            if client.id != id or client.finished or not (client.pending or at):
                end.abort()
                return
            fleet = self.fleet
            now = fleet.kernel.now
            fleet.checker.request_written(id, door.name, now, now + (STOOD if at else client.class_settings.deadline))
            self.ends[id] = ClientEnd(self, client, door, end, at)

        def failed() -> None:
            if client.id == id and not client.finished:
                client.on_connect_failed()

        self.net.dial(self._crowd, "10.9.0.1", self.address(door), up, failed)

    def _stand(self) -> None:
        """Have the clients of before the run come with the names of their servers, as the platform does."""
        draw = self.fleet.streams.of("standing")
        clients = self.fleet.population.start()
        places = place_initial_connections(
            clients, self.fleet.live(), self.fleet.day.servers.group_cost * self.fleet.population.mean_load
        )
        for client in clients:
            door = self.fleet.front.pick(client.zone)
            if door is None or client.number not in places:
                continue
            client.id, client.pending = f"c{client.number}.0", True
            self.fleet.kernel.after(
                int(draw.random() * 100 * MS) + 20 * MS,
                lambda c=client, d=door, s=places[client.number].name: self._come(c, d, s),  # type: ignore[misc]
            )

    def _bad_comes(self) -> None:
        if self.fleet.kernel.now >= self.fleet.day.seconds:
            return  # guards against one that came just before the look at what is left
        draw = self._bad_draw
        door = self.fleet.front.pick(0)
        data = BAD[int(draw.integers(len(BAD)))]
        if door is not None:
            self.net.dial(self._crowd, "10.9.0.1", self.address(door), lambda end: self._bad(end, data), lambda: None)
        self.fleet.kernel.after(int(float(draw.exponential(1 / self.fleet.day.clients.bad)) * SECOND), self._bad_comes)

    def _bad(self, end: End, data: bytes) -> None:
        bad = BadEnd(end, data)
        self.fleet.kernel.after(8 * SECOND, lambda: None if bad.over else bad.abort())

    # What peers ask

    def relay_at(self, address: tuple[str, int]) -> str:
        """Return the name of the relay that a connection comes from."""
        machine = self.net.machine_at(address)
        return machine.name if machine is not None else ""

    def zone_of(self, relay: str) -> int:
        """Return a relay's zone."""
        return next((door.zone for door in self.fleet.backends if door.name == relay), -1)

    def held_at(self, id: str) -> bool:
        """Tell whether a server that answers holds a connection."""
        case = self.fleet.checker.requests.get(id)
        server = self.fleet.servers.get(case.open_at) if case is not None else None
        return server is not None and id in server.connections and not server.is_stalled()

    def alive(self, door: RelayBackend) -> bool:
        """Tell whether a relay's process runs."""
        return self.running[door.number].alive

    def took(self, door: RelayBackend) -> bool:
        """Tell whether a relay was there to take requests."""
        return self.running[door.number].relay is not None

    def address(self, door: RelayBackend) -> tuple[str, int]:
        """Return where a relay listens."""
        return f"10.3.{door.number // 200}.{door.number % 200 + 1}", 9000

    # Relays

    def kill(self, number: int) -> None:
        """End a relay at once; it starts again, and the front sees either only later."""
        running = self.running[number]
        if not running.alive:
            return
        self.fleet.checker.relay_died(running.door.name, self.fleet.kernel.now)
        running.ends()
        low, high = self.fleet.day.relays.notice
        self.fleet.kernel.after(
            int(running.draw.uniform(low, high) if low < high else low), lambda: self._notice(running)
        )
        self._start_later(running)

    def restart(self, number: int) -> None:
        """Send SIGTERM; SIGKILL comes after the longest deadline and more; then it starts again."""
        running = self.running[number]
        if not running.alive or running.relay is None:
            return
        relay = running.relay
        running.process.do(relay.drain)
        self.fleet.kernel.after(STOPS, lambda: setattr(running.door, "in_rotation", False))
        self.fleet.kernel.after(TERM, lambda: self.kill(number) if running.alive else None)

    def upgrade(self, number: int) -> None:
        """Never: such a scenario is refused."""

    def reload(self, number: int) -> None:
        """Send SIGHUP: the configuration is read again."""
        running = self.running[number]
        if running.alive and running.relay is not None:
            running.process.do(running.relay.reload)

    def exited(self, running: Running) -> None:
        """Hear that a relay ended by itself, as it was told."""
        running.ends()
        self.fleet.checker.relay_died(running.door.name, self.fleet.kernel.now)
        self._start_later(running)

    def config(self, running: Running) -> Config:
        """Return what a relay is told at its start, as the platform would."""
        fleet, door = self.fleet, running.door
        told = told_to(fleet, door)
        known = [entry for entry in fleet.directory.entries.values() if entry.status != "left"]
        endpoints = tuple(
            Endpoint(each.name, each.address, each.zone, each.group, cast(Any, each.status), each.weight, each.since_ms)
            for each in known
        )
        for entry in known:
            fleet.checker.discovery_entry_received(
                door.name, entry.name, entry.status, entry.since_ms > 0, fleet.kernel.now
            )
        host, port = self.address(door)
        return Config(
            door.name,
            Address(host, port),
            Address(*DISCOVERY),
            None,
            "",
            None,
            int(running.draw.integers(1 << 62)),
            fleet.day.relays.sockets,
            Roster(fleet.directory.index, True, endpoints),
            told,
            told.settings(),
        )

    def _notice(self, running: Running) -> None:
        if self.running[running.door.number] is running:
            running.door.in_rotation = False

    def _start_later(self, running: Running) -> None:
        low, high = self.fleet.day.relays.start
        wait = int(running.draw.uniform(low, high) if low < high else low)
        self.fleet.kernel.after(wait, lambda: self._again(running.door))

    def _again(self, door: RelayBackend) -> None:
        self.running[door.number] = self._start(door)
        self._admit(door)

    def _admit(self, door: RelayBackend) -> None:
        """Have the front send clients once the relay says that it serves."""
        running = self.running[door.number]
        if running.serves():
            door.in_rotation = True
        elif running.alive:
            self.fleet.kernel.after(100 * MS, lambda: self._admit(door))

    def _start(self, door: RelayBackend) -> Running:
        self.starts += 1
        return Running(self, door, self.starts)

    # Servers

    def _serve(self, server: TileServer) -> None:
        host, _, port = self.fleet.address(server.name).rpartition(":")
        machine = self.servers[server.name] = self._machine(host, server.name, server.zone)
        TileListener(self, server, machine, (host, int(port)))

        def died(silently: bool) -> None:
            machine.silent = silently
            if not silently:
                self.net.kill(machine)

        server.on_death = died

    def _machine(self, host: str, name: str, zone: int, near: bool = False) -> Machine:
        machine = Machine(name, zone, self.fleet.streams.of("machine", name), near)
        self.net.place(host, machine)
        return machine

    def _owners(self, running: Running) -> None:
        """Look for descriptors and buffers that nobody gave back."""
        if not running.alive or running.relay is None:
            return
        fleet, relay, name = self.fleet, running.relay, running.door.name
        listening = sum(each.machine is running.machine for each in self.net.listeners.values())
        watching = 1  # the watch of the list
        left = running.process.held - OWN - listening - watching
        fleet.checker.resources_left(name, "descriptors", max(0, left), fleet.kernel.now)
        fleet.checker.resources_left(name, "transactions", len(relay.driver.transactions), fleet.kernel.now)
        fleet.checker.resources_left(name, "flights", len(relay.driver.balancer.requests), fleet.kernel.now)
        fleet.checker.resources_left(name, "buffers", relay.client_factory.reception.context.pool.out, fleet.kernel.now)


@contextlib.contextmanager
def quiet() -> Iterator[None]:
    """Have two hundred relays say nothing in the log of the laboratory's own process, while a run lasts."""
    log = logging.getLogger("scaledeal")
    before = log.level
    log.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        log.setLevel(before)
