"""Runs many instances of the real relay among simulated peers, and starts, signals and kills them.

The program is ``scaledeal.net.relay.Relay``, unchanged, each instance on a reactor of its own. Its configuration is the
document that the platform would write; SIGTERM and SIGHUP are the calls that its signal handlers make. An upgrade needs
Unix sockets and the handover of descriptors, which are not simulated: a scenario with one is refused here.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from typing import Any, cast

from scaledeal.hcl import Fault, FileError
from scaledeal.lab.hosts.module import BalancerFactory, document_for
from scaledeal.lab.hosts.relay.peers import (
    INITIAL_DEADLINE_NS,
    ClientEnd,
    DirectoryListener,
    InvalidClientEnd,
    TileListener,
)
from scaledeal.lab.hosts.relay.reactor import INITIAL_DESCRIPTORS, Process, SimReactor
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
DISCOVERY_ADDRESS = ("10.2.0.1", 8500)
STOP_TIMEOUT_NS = 3700 * MS  # from SIGTERM to SIGKILL; more than the longest deadline of padova, 3 s
FRONT_NOTICE_NS = 300 * MS  # from SIGTERM until the front stops sending new connections
INVALID_REQUESTS = (
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
        """Return the simulated time, offset by a second: a clock that starts at 0 would look as if it was never set."""
        return self.fleet.kernel.now + SECOND

    def unix(self) -> int:
        """Return the simulated time as Unix time, in ns."""
        return self.fleet.kernel.now + EPOCH_MS * MS

    def port(self, for_clients: bool, port: int, factory: Any, backlog: int, host: str, reactor: Reactor) -> Port:
        """Return a simulated listening socket."""
        from scaledeal.lab.hosts.relay import reactor as simulated

        return cast(Port, simulated.Port(self.reactor, host, port, factory, backlog))


class RelayProcess:
    """One process of a relay, from one start to its end."""

    def __init__(self, host: RelayHost, backend: RelayBackend, start_number: int) -> None:
        self.host, self.backend, self.start_number = host, backend, start_number
        fleet = host.fleet
        self.rng = fleet.streams.of("relay", backend.name, start_number)
        self.machine = host.machines[backend.number]
        cost = int(fleet.day.relays.event * 1000 / fleet.day.relays.cores)
        self.process = Process(host.net, self.machine, cost, fleet.day.relays.sockets, self.crashed)
        self.reactor = SimReactor(host.net, self.process, host.address(backend)[0])
        self.reactor.stopped = self.on_exit
        self.relay: Relay | None = None
        self.process.call_soon(self._start_program)

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.process.alive

    def is_serving(self) -> bool:
        """Return whether the relay accepts clients."""
        return self.relay is not None and self.relay.service.stage is Stage.SERVING

    def crashed(self, error: BaseException) -> None:
        """Handle an exception that reached the loop: report a crash and kill the process."""
        fleet = self.host.fleet
        fleet.checker.relay_crashed(self.backend.name, fleet.kernel.now, f"{type(error).__name__}: {error}")
        self.host.kill(self.backend.number)

    def on_exit(self) -> None:
        """Handle the exit of the program."""
        if self.alive:
            self.host.on_relay_exit(self)

    def end(self) -> None:
        """End the process at once, and with it all its sockets."""
        self.process.alive = False
        self.host.net.kill(self.machine)

    def _start_program(self) -> None:
        system = SimSystem(self.host.fleet, self.reactor)
        self.relay = Relay(cast(Reactor, self.reactor), self.host.config(self), system)
        if self.host.factory is not Balancer:
            config = self.relay.config
            self.relay.driver.balancer = self.host.factory(config.settings, config.seed)
        self.relay.start()
        if self.relay.failure:
            raise RuntimeError(self.relay.failure)


class RelayHost:
    """All relays of a run, and the peers that they talk to."""

    def __init__(self, fleet: Fleet, factory: BalancerFactory = Balancer) -> None:
        self.factory = factory
        if any(trouble.name == "upgrade" for trouble in fleet.day.trouble):
            raise FileError([Fault(0, 'trouble["upgrade"]', "needs handover of sockets: run it on the host module")])
        self.fleet = fleet
        self.net = Net(fleet.kernel, fleet.paths, fleet.day.network.segment)
        self.clients: dict[str, Client] = {}  # by the id of their current connection
        self.client_ends: dict[str, ClientEnd] = {}
        self.machines = [
            self._add_machine(self.address(backend)[0], backend.name, backend.zone) for backend in fleet.backends
        ]
        self.client_machine = self._add_machine("10.9.0.1", "clients", 0, True)
        self.servers: dict[str, Machine] = {}
        self.sent_away: set[str] = set()  # ids of connections that a draining server ended with a move
        self.start_count = 0
        self.relay_processes: list[RelayProcess] = []
        DirectoryListener(self, self.net, self._add_machine(DISCOVERY_ADDRESS[0], "discovery", 0), DISCOVERY_ADDRESS)
        for server in fleet.servers.values():
            self._start_listener(server)
        fleet.on_server_start = self._start_listener
        self.relay_processes = [self._start_relay(backend) for backend in fleet.backends]
        fleet.attach(self)
        self._connect_initial_clients()
        if fleet.day.clients.bad:
            self._invalid_rng = fleet.streams.of("bad clients")
            self._send_invalid_request()

    def run(self) -> None:
        """Run the day, then on until every pending request is answered; then check for leaked resources."""
        fleet = self.fleet
        fleet.kernel.run(fleet.day.seconds)
        for server in fleet.servers.values():
            server.update()
        for client in list(fleet.population.clients.values()):
            client.done_at = min(client.done_at, fleet.kernel.now)
        longest_deadline = max(cls.deadline for cls in fleet.day.classes)
        fleet.kernel.run(fleet.day.seconds + longest_deadline + fleet.day.rules.slack + SECOND)
        for client in list(fleet.population.clients.values()):
            client._finish()
        # Relays close idle probe connections only after the idle time of the settings.
        fleet.kernel.run(fleet.kernel.now + int(fleet.day.network.idle) + 7 * SECOND)
        for relay_process in self.relay_processes:
            self._check_leaks(relay_process)

    # Clients

    def ask(self, client: Client) -> bool:
        """Send a client's first line to a relay; return False if the front has no relay for it."""
        backend = self.fleet.front.pick(client.zone)
        if backend is None:
            return False
        self._connect(client, backend, "")
        return True

    def leave(self, client: Client) -> None:
        """End a client's request or connection."""
        self.clients.pop(client.id, None)
        if (end := self.client_ends.get(client.id)) is not None:
            end.leave()

    def _connect(self, client: Client, backend: RelayBackend, initial_server: str) -> None:
        id = client.id
        self.clients[id] = client

        def on_connected(end: End) -> None:
            if client.id != id or client.finished or not (client.pending or initial_server):
                end.abort()
                return
            fleet = self.fleet
            now = fleet.kernel.now
            fleet.checker.request_written(
                id, backend.name, now, now + (INITIAL_DEADLINE_NS if initial_server else client.class_settings.deadline)
            )
            self.client_ends[id] = ClientEnd(self, client, backend, end, initial_server)

        def on_refused() -> None:
            if client.id == id and not client.finished:
                client.on_connect_failed()

        self.net.dial(self.client_machine, "10.9.0.1", self.address(backend), on_connected, on_refused)

    def _connect_initial_clients(self) -> None:
        """Connect the clients of before the run; each names its server, as the platform does."""
        rng = self.fleet.streams.of("standing")
        clients = self.fleet.population.start()
        server_by_client = place_initial_connections(
            clients, self.fleet.live(), self.fleet.day.servers.group_cost * self.fleet.population.mean_load
        )
        for client in clients:
            backend = self.fleet.front.pick(client.zone)
            if backend is None or client.number not in server_by_client:
                continue
            client.id, client.pending = f"c{client.number}.0", True
            self.fleet.kernel.after(
                int(rng.random() * 100 * MS) + 20 * MS,
                lambda c=client, b=backend, s=server_by_client[client.number].name: self._connect(c, b, s),  # type: ignore[misc]
            )

    def _send_invalid_request(self) -> None:
        if self.fleet.kernel.now >= self.fleet.day.seconds:
            return  # a later one could still be open at the check for leaked resources
        rng = self._invalid_rng
        backend = self.fleet.front.pick(0)
        data = INVALID_REQUESTS[int(rng.integers(len(INVALID_REQUESTS)))]
        if backend is not None:
            self.net.dial(
                self.client_machine,
                "10.9.0.1",
                self.address(backend),
                lambda end: self._connect_invalid_client(end, data),
                lambda: None,
            )
        self.fleet.kernel.after(
            int(float(rng.exponential(1 / self.fleet.day.clients.bad)) * SECOND), self._send_invalid_request
        )

    def _connect_invalid_client(self, end: End, data: bytes) -> None:
        invalid_client = InvalidClientEnd(end, data)
        self.fleet.kernel.after(8 * SECOND, lambda: None if invalid_client.has_ended else invalid_client.abort())

    # Called by peers

    def relay_at(self, address: tuple[str, int]) -> str:
        """Return the name of the relay that has an address; an empty string if none has it."""
        machine = self.net.machine_at(address)
        return machine.name if machine is not None else ""

    def zone_of(self, relay: str) -> int:
        """Return a relay's zone, or -1 for an unknown relay."""
        return next((backend.zone for backend in self.fleet.backends if backend.name == relay), -1)

    def is_held(self, id: str) -> bool:
        """Return whether a connection is held by a server that is not stalled."""
        request = self.fleet.checker.requests.get(id)
        server = self.fleet.servers.get(request.open_at) if request is not None else None
        return server is not None and id in server.connections and not server.is_stalled()

    def alive(self, backend: RelayBackend) -> bool:
        """Return whether a relay's process is running."""
        return self.relay_processes[backend.number].alive

    def has_started(self, backend: RelayBackend) -> bool:
        """Return whether a relay's program has started, and so could accept requests."""
        return self.relay_processes[backend.number].relay is not None

    def address(self, backend: RelayBackend) -> tuple[str, int]:
        """Return the address that a relay listens on."""
        return f"10.3.{backend.number // 200}.{backend.number % 200 + 1}", 9000

    # Relays

    def kill(self, number: int) -> None:
        """Kill a relay at once; it starts again later, and the front notices its end and its start with a delay."""
        relay_process = self.relay_processes[number]
        if not relay_process.alive:
            return
        self.fleet.checker.relay_died(relay_process.backend.name, self.fleet.kernel.now)
        relay_process.end()
        low, high = self.fleet.day.relays.notice
        self.fleet.kernel.after(
            int(relay_process.rng.uniform(low, high) if low < high else low),
            lambda: self._remove_from_rotation(relay_process),
        )
        self._schedule_start(relay_process)

    def restart(self, number: int) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after ``STOP_TIMEOUT_NS``; then start it again."""
        relay_process = self.relay_processes[number]
        if not relay_process.alive or relay_process.relay is None:
            return
        relay = relay_process.relay
        relay_process.process.call_soon(relay.drain)
        self.fleet.kernel.after(FRONT_NOTICE_NS, lambda: setattr(relay_process.backend, "in_rotation", False))
        self.fleet.kernel.after(STOP_TIMEOUT_NS, lambda: self.kill(number) if relay_process.alive else None)

    def upgrade(self, number: int) -> None:
        """Do nothing: a scenario with an upgrade is refused."""

    def reload(self, number: int) -> None:
        """Send SIGHUP: the relay reads its configuration again."""
        relay_process = self.relay_processes[number]
        if relay_process.alive and relay_process.relay is not None:
            relay_process.process.call_soon(relay_process.relay.reload)

    def on_relay_exit(self, relay_process: RelayProcess) -> None:
        """Handle the exit of a relay's program, and start it again later."""
        relay_process.end()
        self.fleet.checker.relay_died(relay_process.backend.name, self.fleet.kernel.now)
        self._schedule_start(relay_process)

    def config(self, relay_process: RelayProcess) -> Config:
        """Return the configuration that the platform would give to a relay at its start."""
        fleet, backend = self.fleet, relay_process.backend
        document = document_for(fleet, backend)
        listed = [entry for entry in fleet.directory.entries.values() if entry.status != "left"]
        endpoints = tuple(
            Endpoint(
                entry.name,
                entry.address,
                entry.zone,
                entry.group,
                cast(Any, entry.status),
                entry.weight,
                entry.since_ms,
            )
            for entry in listed
        )
        for entry in listed:
            fleet.checker.discovery_entry_received(
                backend.name, entry.name, entry.status, entry.since_ms > 0, fleet.kernel.now
            )
        host, port = self.address(backend)
        return Config(
            backend.name,
            Address(host, port),
            Address(*DISCOVERY_ADDRESS),
            None,
            "",
            None,
            int(relay_process.rng.integers(1 << 62)),
            fleet.day.relays.sockets,
            Roster(fleet.directory.index, True, endpoints),
            document,
            document.settings(),
        )

    def _remove_from_rotation(self, relay_process: RelayProcess) -> None:
        if self.relay_processes[relay_process.backend.number] is relay_process:
            relay_process.backend.in_rotation = False

    def _schedule_start(self, relay_process: RelayProcess) -> None:
        low, high = self.fleet.day.relays.start
        wait = int(relay_process.rng.uniform(low, high) if low < high else low)
        self.fleet.kernel.after(wait, lambda: self._start_again(relay_process.backend))

    def _start_again(self, backend: RelayBackend) -> None:
        self.relay_processes[backend.number] = self._start_relay(backend)
        self._add_to_rotation_when_serving(backend)

    def _add_to_rotation_when_serving(self, backend: RelayBackend) -> None:
        """Put a relay in rotation once it accepts clients."""
        relay_process = self.relay_processes[backend.number]
        if relay_process.is_serving():
            backend.in_rotation = True
        elif relay_process.alive:
            self.fleet.kernel.after(100 * MS, lambda: self._add_to_rotation_when_serving(backend))

    def _start_relay(self, backend: RelayBackend) -> RelayProcess:
        self.start_count += 1
        return RelayProcess(self, backend, self.start_count)

    # Servers

    def _start_listener(self, server: TileServer) -> None:
        host, _, port = self.fleet.address(server.name).rpartition(":")
        machine = self.servers[server.name] = self._add_machine(host, server.name, server.zone)
        TileListener(self, server, machine, (host, int(port)))

        def died(silently: bool) -> None:
            machine.silent = silently
            if not silently:
                self.net.kill(machine)

        server.on_death = died

    def _add_machine(self, host: str, name: str, zone: int, is_client: bool = False) -> Machine:
        machine = Machine(name, zone, self.fleet.streams.of("machine", name), is_client)
        self.net.add_machine(host, machine)
        return machine

    def _check_leaks(self, relay_process: RelayProcess) -> None:
        """Report descriptors, transactions, requests and buffers that a relay has not released."""
        if not relay_process.alive or relay_process.relay is None:
            return
        fleet, relay, name = self.fleet, relay_process.relay, relay_process.backend.name
        listeners = sum(listener.machine is relay_process.machine for listener in self.net.listeners.values())
        watches = 1  # the connection of the discovery watch
        leaked = relay_process.process.open_descriptors - INITIAL_DESCRIPTORS - listeners - watches
        fleet.checker.resources_left(name, "descriptors", max(0, leaked), fleet.kernel.now)
        fleet.checker.resources_left(name, "transactions", len(relay.driver.transactions), fleet.kernel.now)
        fleet.checker.resources_left(name, "flights", len(relay.driver.balancer.requests), fleet.kernel.now)
        fleet.checker.resources_left(
            name, "buffers", relay.client_factory.client_context.attempt_context.pool.in_use, fleet.kernel.now
        )


@contextlib.contextmanager
def relay_logs_silenced() -> Iterator[None]:
    """Silence the log of the relays, which run in this process by the hundred, for the duration of a run."""
    log = logging.getLogger("scaledeal")
    level = log.level
    log.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        log.setLevel(level)
