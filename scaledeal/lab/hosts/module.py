"""A host that runs only the decision module, with one instance for each relay, in simulated time.

The layer between the module and the simulated world is minimal: a table of requests, the one attempt of each that is
under way, network delays, and a core that handles one event after another. It has no protocol lines and no sockets;
where those matter, the host *relay* runs the network code itself. This host is meant for large fleets.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from scaledeal import interface as api
from scaledeal.lab.kernel import ScheduledCall
from scaledeal.lab.truth import BrokenRuleError
from scaledeal.lab.world.clients import Client
from scaledeal.lab.world.directory import Answer
from scaledeal.lab.world.fleet import EPOCH_MS, Fleet, RelayBackend
from scaledeal.lab.world.placement import place_initial_connections
from scaledeal.lab.world.relay_settings import settings_document
from scaledeal.lab.world.server import ServerConnection, TileServer
from scaledeal.policy import Balancer
from scaledeal.settings import Document

MS = 1_000_000
SECOND = 1000 * MS
PROBE_TIMEOUT_NS = 500 * MS
WATCH_WAIT_NS = 10 * SECOND  # longest wait of a discovery call for changes
DRAIN_DELAY_NS = 1600 * MS  # from the start of a planned stop to the first move of a client
DRAIN_SPREAD_NS = 1400 * MS  # time over which a planned stop moves its clients
_SERVER_STATES = {"active": api.ServerState.LIVE, "leaving": api.ServerState.DRAINING, "left": api.ServerState.GONE}

# Creates a balancer: the current module, an older version, or one that is broken on purpose.
BalancerFactory = Callable[[api.Settings, int], Any]


class ClientRequest(msgspec.Struct, eq=False):
    """A client's request at a relay, or the connection that came of it, until the relay has no more use for it."""

    name: str
    client: Client
    id: str
    deadline: int
    answered: bool = False  # the final answer was sent, or the client left
    established: bool = False
    attempt_number: int = -1  # of the current or last attempt; -1 before the first
    attempt: Attempt | None = None


class Attempt:
    """One attempt to set up a connection at a server, and then that connection, as its server's ``ConnectionPeer``."""

    def __init__(self, relay: ModuleRelay, request: ClientRequest, server: TileServer, number: int) -> None:
        self.module_relay, self.request, self.server, self.number = relay, request, server, number
        self.relay = relay.backend.name
        self.started_at = relay.fleet.kernel.now
        self.connection: ServerConnection | None = None
        self.ended = False
        self.timer: ScheduledCall | None = None

    # Interface ConnectionPeer

    def up(self) -> None:
        """Handle the end of the set-up, after the network delay: the connection is established."""
        self._deliver(self._on_up)

    def turned_away(self) -> None:
        """Handle a refusal for lack of capacity, after the network delay."""
        self._deliver(lambda: self.end(api.Result.FULL))

    def error(self) -> None:
        """Handle a failed set-up, after the network delay."""
        self._deliver(lambda: self.end(api.Result.ERROR))

    def sent_away(self) -> None:
        """Handle the end of the connection because the server drains, after the network delay."""
        self._deliver(lambda: self.end(api.Result.CANCELLED))

    def reset(self) -> None:
        """Handle a reset of the connection, after the network delay."""
        self._deliver(lambda: self.end(api.Result.RESET))

    def load(self, amount: float) -> None:
        """Handle a report of the connection's load, after the network delay."""
        self._deliver(lambda: self._post_note(api.NoteKind.LOAD, amount))

    def delay(self, ms: float) -> None:
        """Handle a note of the server's response time in ms, after the network delay."""
        self._deliver(lambda: self._post_note(api.NoteKind.DELAY, ms))

    # Called by the relay

    def begin(self, timeout: int) -> None:
        """Start the connection's set-up; ``timeout`` is in ns."""
        relay, kernel = self.module_relay, self.module_relay.fleet.kernel
        self.timer = kernel.after(timeout, self._on_timeout)
        if not relay.reaches(self.server):
            self._fail_after_dial_timeout()
            return
        one_way = relay.delay_to(self.server)
        if not self.server.alive:
            if self.server.reachable:
                kernel.after(2 * one_way, lambda: self.end(api.Result.CONNECT_FAILED))
            else:
                self._fail_after_dial_timeout()
            return
        low, high = relay.fleet.day.servers.handshakes
        round_trips = low if low == high else float(relay.rng.uniform(low, high))
        kernel.after(int(one_way * (2 * round_trips + 1)), self._on_arrival)

    def end(self, result: api.Result) -> None:
        """End the attempt and report the result to the relay; a second call does nothing."""
        if self.ended:
            return
        self.abandon()
        self.module_relay.on_attempt_ended(self, result)

    def abandon(self) -> None:
        """End the attempt without a result; its server sees the end after the network delay."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if (connection := self.connection) is not None:
            # Under the rule of one attempt at a time, an attempt ends when the relay closes it, not when its server
            # sees the close, which is one network delay later.
            self.module_relay.fleet.checker.attempt_closed(
                connection.id, self.server.name, self.module_relay.fleet.kernel.now
            )
            self.module_relay.fleet.kernel.after(
                self.module_relay.delay_to(self.server), lambda: self.server.leave(connection)
            )

    def _on_arrival(self) -> None:
        if self.ended:
            return
        fleet = self.module_relay.fleet
        if not self.server.alive:
            self._deliver(lambda: self.end(api.Result.CONNECT_FAILED))
            return
        self.connection = fleet.population.server_connection(self.request.client, self)
        self.connection.id = self.request.id
        fleet.checker.attempt_arrived(self.request.id, self.server.name, fleet.kernel.now)
        self.server.arrive(self.connection)

    def _on_up(self) -> None:
        if not self.ended:
            if self.timer is not None:
                self.timer.cancel()
            self.module_relay.on_established(self)

    def _post_note(self, kind: api.NoteKind, amount: float) -> None:
        if not self.ended and self.request.established:
            self.module_relay.post(api.Note(self.request.name, self.number, self.server.name, kind, amount))

    def _deliver(self, call: Callable[[], object]) -> None:
        """Make a call after the network delay, unless the path is cut or the attempt has ended by then."""
        relay = self.module_relay
        if relay.fleet.paths.reaches(self.server.zone, relay.backend.zone):
            relay.fleet.kernel.after(relay.delay_to(self.server), lambda: None if self.ended else call())

    def _fail_after_dial_timeout(self) -> None:
        fleet = self.module_relay.fleet
        fleet.kernel.after(int(fleet.day.network.dial), lambda: self.end(api.Result.CONNECT_FAILED))

    def _on_timeout(self) -> None:
        unreached = self.connection is None
        self.end(api.Result.CONNECT_FAILED if unreached else api.Result.TIMEOUT)


class ModuleRelay:
    """One relay: a balancer, its requests, its discovery index, and its core."""

    def __init__(self, host: ModuleHost, backend: RelayBackend, start_number: int) -> None:
        self.host, self.fleet, self.backend = host, host.fleet, backend
        day = self.fleet.day
        self.rng = self.fleet.streams.of("relay", backend.name, start_number)
        settings = document_for(self.fleet, backend).settings()
        self.balancer = host.factory(settings, int(self.rng.integers(1 << 62)))
        self.requests: dict[str, ClientRequest] = {}
        self.alive, self.serving = True, True
        self.index: int | None = None
        self.watching = False
        self._events: deque[api.Event] = deque()
        self._busy_until = 0
        self._work_scheduled = False
        self._request_count = 0
        self._cost_ns = int(day.relays.event * 1000 / day.relays.cores)
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Move: self._move,
            api.Probe: self._probe,
            api.Watch: lambda _: self._watch(),
            api.SetTimer: self._set_timer,
            api.Log: lambda _: None,
        }

    # Events

    def post(self, event: api.Event) -> None:
        """Queue an event for the module; it is handled when the relay's core is free."""
        self._events.append(event)
        if not self._work_scheduled:
            self._work_scheduled = True
            self.fleet.kernel.at(self._busy_until, self._handle_next_event)

    def _handle_next_event(self) -> None:
        if not self.alive or not self._events:
            self._work_scheduled = False
            return
        now = self.fleet.kernel.now
        event = self._events.popleft()
        try:
            actions = self.balancer.handle(now, event)
            for action in actions:
                self._handlers[type(action)](action)
        except BrokenRuleError:
            raise
        except Exception as error:  # a failure of the module crashes its relay only; the run continues
            self.fleet.checker.relay_crashed(self.backend.name, now, f"{type(error).__name__}: {error}")
            self.host.kill(self.backend.number)
            return
        self._busy_until = now + self._cost_ns * (1 + len(actions))
        self.fleet.kernel.at(self._busy_until, self._handle_next_event)

    # Clients

    def accept_request(self, client: Client) -> None:
        """Accept a client's request."""
        fleet, now = self.fleet, self.fleet.kernel.now
        self._request_count += 1
        request = ClientRequest(
            f"r{self._request_count}", client, client.id, client.requested_at + client.class_settings.deadline
        )
        self.requests[request.name] = request
        self.host.requests_by_client[client.number] = (self, request)
        fleet.checker.request_written(client.id, self.backend.name, now, request.deadline)
        self.post(
            api.Request(
                request.name,
                client.cls,
                request.deadline,
                client.key,
                client.group,
                client.tenant,
                returning=client.was_connected,
            )
        )

    def add_initial_connection(self, client: Client, server: TileServer) -> None:
        """Add a connection of a client that was established before the run."""
        self._request_count += 1
        client.id, client.visit = f"c{client.number}.0", 0
        request = ClientRequest(f"r{self._request_count}", client, client.id, 0, established=True, attempt_number=0)
        request.attempt = Attempt(self, request, server, 0)
        self.requests[request.name] = request
        self.host.requests_by_client[client.number] = (self, request)
        self.fleet.checker.initial_connection(client.id, self.backend.name, server.name, self.fleet.kernel.now)
        connection = request.attempt.connection = self.fleet.population.server_connection(client, request.attempt)
        self.post(api.OpenConnection(request.name, client.cls, server.name, client.key, client.group, client.tenant))
        server.add_established(connection)
        client.connected = client.was_connected = True
        client.schedule_finish()

    def client_left(self, request: ClientRequest) -> None:
        """Handle the end of a request or connection by its client."""
        if request.answered:
            return
        request.answered = True
        self.post(api.ClientGone(request.name))
        if request.established and request.attempt is not None:
            request.attempt.end(api.Result.OK)
        elif request.attempt is None or request.attempt.ended:
            self._forget(request)

    def on_established(self, attempt: Attempt) -> None:
        """Handle the end of a set-up: the attempt's connection is established."""
        request, now = attempt.request, self.fleet.kernel.now
        if request.answered:
            attempt.end(api.Result.CANCELLED)
            return
        request.established = True
        self.post(api.Established(request.name, attempt.number, attempt.server.name, now - attempt.started_at))
        self._send_to_client(request, lambda client: client.on_connected())

    def on_attempt_ended(self, attempt: Attempt, result: api.Result) -> None:
        """Handle the end of an attempt or of an established connection."""
        request = attempt.request
        was_established, request.established = request.established, False
        is_last = request.answered or was_established
        if was_established and not request.answered:
            request.answered = True
            reactions: dict[api.Result, Callable[[Client], None]] = {
                api.Result.CANCELLED: lambda client: self._count_move(client, "sent_away"),
                api.Result.OK: lambda _: None,
            }
            self._send_to_client(request, reactions.get(result, lambda client: client.on_broken()))
        if not was_established and result is not api.Result.OK:
            self.fleet.service.count("wasted", self.fleet.kernel.now)
        took = self.fleet.kernel.now - attempt.started_at
        self.post(api.Outcome(request.name, attempt.number, attempt.server.name, result, took, is_last))
        if is_last:
            self._forget(request)

    def _count_move(self, client: Client, counter: str) -> None:
        self.fleet.service.count(counter, self.fleet.kernel.now)
        client.on_moved()

    # Actions

    def _send(self, action: api.Send) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return
        now = self.fleet.kernel.now
        request.attempt_number += 1
        time_left = request.deadline - now
        if request.answered or time_left <= 0:
            self.post(
                api.Outcome(
                    request.name, request.attempt_number, action.server, api.Result.NOT_SENT, 0, request.answered
                )
            )
            return
        if request.attempt is not None and not request.attempt.ended:
            self.fleet.checker.attempt_arrived(request.id, action.server, now)  # reports two attempts at once
        server = self.fleet.servers[action.server]
        if request.attempt_number == 0:
            self.fleet.service.record_duration(self.fleet.service.first_attempt_ms, now - request.client.requested_at)
        self.fleet.service.count("attempts", now)
        if server.zone != self.backend.zone:
            self.fleet.service.count("far", now)
        self.fleet.checker.attempt_sent(request.id, server.name, self.backend.name, now)
        request.attempt = Attempt(self, request, server, request.attempt_number)
        request.attempt.begin(min(action.timeout or time_left, time_left))

    def _refuse(self, action: api.Refuse) -> None:
        self._answer_request(action.request, lambda client: client.on_refused(action.retry_after))

    def _fail(self, action: api.Fail) -> None:
        self._answer_request(action.request, lambda client: client.on_failed())

    def _answer_request(self, name: str, notify: Callable[[Client], None]) -> None:
        request = self.requests.get(name)
        if request is None or request.established:
            return
        if request.answered:
            self._send_to_client(request, notify)  # a second answer, which the checker must see
            return
        request.answered = True
        self._send_to_client(request, notify)
        if request.attempt is None or request.attempt.ended:
            # Deferred, so that a second final answer from the same event still finds the request, and the checker
            # sees it.
            self.fleet.kernel.after(0, lambda: self._forget(request))

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and request.attempt is not None and request.attempt.number == action.attempt:
            request.attempt.end(api.Result.CANCELLED)

    def _move(self, action: api.Move) -> None:
        request = self.requests.get(action.request)
        if request is None or not request.established or request.answered or request.attempt is None:
            return
        request.answered = True
        self.fleet.service.count("moves", self.fleet.kernel.now)
        self._send_to_client(request, lambda client: client.on_moved())
        request.attempt.end(api.Result.CANCELLED)

    def _probe(self, action: api.Probe) -> None:
        fleet, server = self.fleet, self.fleet.servers[action.server]
        fleet.service.count("probes", fleet.kernel.now)
        started_at = fleet.kernel.now
        pending = [True]

        def report_result(result: api.Result, report: tuple[float, ...] = ()) -> None:
            if pending and self.alive:
                pending.clear()
                self.post(api.ProbeResult(server.name, result, fleet.kernel.now - started_at, report))

        def on_arrival() -> None:
            report = server.probe() if server.alive else None
            if report is not None and fleet.paths.reaches(server.zone, self.backend.zone):
                fleet.kernel.after(self.delay_to(server), lambda: report_result(api.Result.OK, report))

        fleet.kernel.after(PROBE_TIMEOUT_NS, lambda: report_result(api.Result.TIMEOUT))
        if self.reaches(server) and (server.alive or server.reachable):
            if not server.alive:
                fleet.kernel.after(2 * self.delay_to(server), lambda: report_result(api.Result.CONNECT_FAILED))
            else:
                fleet.kernel.after(3 * self.delay_to(server), on_arrival)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.fleet.kernel.after(action.delay, lambda: self.post(api.Timer(action.token)) if self.alive else None)

    # Discovery

    def _watch(self) -> None:
        if not self.watching:
            self.watching = True
            self._call_discovery()

    def _call_discovery(self) -> None:
        self.fleet.service.count("calls", self.fleet.kernel.now)
        self.fleet.kernel.after(
            self.fleet.paths.times[self.backend.zone][0],
            lambda: self.fleet.directory.call(self.index, WATCH_WAIT_NS, self._on_discovery_answer),
        )

    def _on_discovery_answer(self, answer: Answer | None) -> None:
        if not self.alive:
            return
        if answer is None:
            self.watching = False
            self.post(api.Membership(api.MembershipKind.LOST))
            return
        now, checker = self.fleet.kernel.now, self.fleet.checker
        self.fleet.service.count("lines", now, len(answer.entries))
        for entry in answer.entries:
            checker.discovery_entry_received(self.backend.name, entry.name, entry.status, entry.since_ms > 0, now)
        if answer.snapshot:
            named = {entry.name for entry in answer.entries}
            for name in self.fleet.servers:
                if name not in named:
                    checker.discovery_entry_received(self.backend.name, name, "left", False, now)
        self.index = answer.index
        self._call_discovery()
        self.post(membership(self.fleet, answer))

    # Stops

    def kill(self) -> None:
        """Kill the relay at once: every connection breaks."""
        self.alive = False
        for request in list(self.requests.values()):
            if request.attempt is not None and not request.attempt.ended:
                request.attempt.abandon()
            if not request.answered:
                request.answered = True
                self._send_to_client(request, lambda client: client.on_broken(True))
        self.requests.clear()

    def drain(self) -> None:
        """Move all clients, spread over ``DRAIN_SPREAD_NS``; the caller ends the relay afterwards."""
        established = [request for request in self.requests.values() if request.established]
        for position, request in enumerate(established):
            self.fleet.kernel.after(
                DRAIN_DELAY_NS + DRAIN_SPREAD_NS * position // max(1, len(established)),
                lambda r=request: self._move_client(r),  # type: ignore[misc]
            )

    def _move_client(self, request: ClientRequest) -> None:
        if self.alive and request.established and not request.answered:
            self.post(api.ClientGone(request.name))
            self._move(api.Move(request.name))

    # Internal methods

    def delay_to(self, server: TileServer) -> int:
        """Draw the network delay of a message between this relay and a server, in ns."""
        return self.fleet.paths.time(self.backend.zone, server.zone, self.rng)

    def reaches(self, server: TileServer) -> bool:
        """Return whether the paths to a server and back both work."""
        paths = self.fleet.paths
        return paths.reaches(self.backend.zone, server.zone) and paths.reaches(server.zone, self.backend.zone)

    def _send_to_client(self, request: ClientRequest, notify: Callable[[Client], None]) -> None:
        client = request.client
        self.host.requests_by_client.pop(client.number, None) if request.answered else None
        self.fleet.kernel.after(
            self.fleet.paths.client_time(self.rng),
            lambda: notify(client) if client.id == request.id and not client.finished else None,
        )

    def _forget(self, request: ClientRequest) -> None:
        self.requests.pop(request.name, None)


class ModuleHost:
    """All relays of a run."""

    def __init__(self, fleet: Fleet, factory: BalancerFactory = Balancer) -> None:
        self.fleet, self.factory = fleet, factory
        # Each client's relay and request, by the client's number.
        self.requests_by_client: dict[int, tuple[ModuleRelay, ClientRequest]] = {}
        self.start_count = 0
        self.relays = [self._start(backend) for backend in fleet.backends]
        fleet.attach(self)
        self._add_initial_connections()

    def run(self) -> None:
        """Run the day, then on until every pending request is answered; report the requests that are not."""
        fleet = self.fleet
        longest_deadline = max(cls.deadline for cls in fleet.day.classes)
        fleet.kernel.run(fleet.day.seconds)
        for server in fleet.servers.values():
            server.update()
        for client in list(fleet.population.clients.values()):
            client.done_at = min(client.done_at, fleet.kernel.now)
        fleet.kernel.run(fleet.day.seconds + longest_deadline + fleet.day.rules.slack + SECOND)
        for relay in self.relays:
            if relay.alive:
                waiting = sum(not request.established and not request.answered for request in relay.requests.values())
                fleet.checker.resources_left(relay.backend.name, "requests", waiting, fleet.kernel.now)

    # Clients

    def ask(self, client: Client) -> bool:
        """Send a client's request to a relay; return False if the front has no relay for it."""
        backend = self.fleet.front.pick(client.zone)
        if backend is None:
            return False
        relay = self.relays[backend.number]
        network_delay = self.fleet.paths.client_time(client.rng)
        id = client.id

        def arrive() -> None:
            if client.id == id and client.pending:
                if relay.alive and relay.serving and self.relays[backend.number] is relay:
                    relay.accept_request(client)
                else:
                    client.on_connect_failed()

        self.fleet.kernel.after(network_delay, arrive)
        return True

    def leave(self, client: Client) -> None:
        """End a client's request or connection; its relay sees that after the network delay."""
        if (entry := self.requests_by_client.pop(client.number, None)) is not None:
            relay, request = entry
            if request.id == client.id and relay.alive:
                self.fleet.kernel.after(self.fleet.paths.client_time(client.rng), lambda: relay.client_left(request))

    # Relays

    def kill(self, number: int) -> None:
        """Kill a relay at once; it starts again later, and the front notices its end and its start with a delay."""
        relay = self.relays[number]
        if not relay.alive:
            return
        self.fleet.checker.relay_died(relay.backend.name, self.fleet.kernel.now)
        relay.kill()
        low, high = self.fleet.day.relays.notice
        self.fleet.kernel.after(
            int(relay.rng.uniform(low, high) if low < high else low), lambda: self._remove_from_rotation(relay)
        )
        self._schedule_start(number)

    def restart(self, number: int) -> None:
        """Drain a relay, and start it again when it has exited."""
        relay = self.relays[number]
        if not relay.alive:
            return
        relay.backend.in_rotation = False
        self.fleet.kernel.after(300 * MS, lambda: setattr(relay, "serving", False))
        relay.drain()
        self.fleet.kernel.after(
            DRAIN_DELAY_NS + DRAIN_SPREAD_NS + 700 * MS, lambda: self.kill(number) if relay.alive else None
        )

    def upgrade(self, number: int) -> None:
        """Start a new version that inherits all established connections; the old one drains."""
        old = self.relays[number]
        if not old.alive:
            return
        new = self._start(old.backend)
        self.relays[number] = new
        for request in [r for r in old.requests.values() if r.established and r.attempt is not None]:
            self._transfer(old, new, request)
        old.serving = False
        old.drain()

    def reload(self, number: int) -> None:
        """Make a relay fetch the whole discovery list again, as if from another discovery server."""
        relay = self.relays[number]
        if relay.alive:
            relay.index = None

    def _transfer(self, old: ModuleRelay, new: ModuleRelay, request: ClientRequest) -> None:
        assert request.attempt is not None
        old.requests.pop(request.name, None)
        old.post(api.ClientGone(request.name))
        old.post(
            api.Outcome(
                request.name, request.attempt_number, request.attempt.server.name, api.Result.CANCELLED, 0, True
            )
        )
        new._request_count += 1
        request.name, request.attempt_number, request.attempt.number = f"r{new._request_count}", 0, 0
        request.attempt.module_relay = new
        new.requests[request.name] = request
        self.requests_by_client[request.client.number] = (new, request)
        new.post(
            api.OpenConnection(
                request.name,
                request.client.cls,
                request.attempt.server.name,
                request.client.key,
                request.client.group,
                request.client.tenant,
                inherited=True,
            )
        )

    def _remove_from_rotation(self, relay: ModuleRelay) -> None:
        if self.relays[relay.backend.number] is relay:
            relay.backend.in_rotation = False

    def _schedule_start(self, number: int) -> None:
        low, high = self.fleet.day.relays.start
        relay = self.relays[number]
        wait = int(relay.rng.uniform(low, high) if low < high else low)

        def start() -> None:
            self.relays[number] = self._start(relay.backend)
            relay.backend.in_rotation = True

        self.fleet.kernel.after(wait, start)

    def _start(self, backend: RelayBackend) -> ModuleRelay:
        self.start_count += 1
        relay = ModuleRelay(self, backend, self.start_count)
        directory = self.fleet.directory
        listed = tuple(entry for entry in directory.entries.values() if entry.status != "left")
        relay.index = directory.index
        for entry in listed:
            self.fleet.checker.discovery_entry_received(
                backend.name, entry.name, entry.status, entry.since_ms > 0, self.fleet.kernel.now
            )
        event = membership(self.fleet, Answer(directory.index, True, listed))
        relay.post(as_initial(event))
        if directory.pushed:
            relay._watch()
        return relay

    def _add_initial_connections(self) -> None:
        """Add the connections that were established before the run."""
        clients = self.fleet.population.start()
        server_by_client = place_initial_connections(
            clients, self.fleet.live(), self.fleet.day.servers.group_cost * self.fleet.population.mean_load
        )
        for client in clients:
            backend = self.fleet.front.pick(client.zone)
            if backend is not None and client.number in server_by_client:
                self.relays[backend.number].add_initial_connection(client, server_by_client[client.number])


def document_for(fleet: Fleet, backend: RelayBackend) -> Document:
    """Return the settings document that the platform would give to a relay."""
    document = settings_document(fleet.day, backend.number, backend.zone, fleet.population.quotas)
    return msgspec.convert(document, Document, strict=False)


def as_initial(event: api.Membership) -> api.Membership:
    """Return a membership event as the initial one of a relay."""
    return api.Membership(api.MembershipKind.INITIAL, event.servers)


def membership(fleet: Fleet, answer: Answer) -> api.Membership:
    """Convert an answer of discovery to an event of the decision module."""
    zones = {name: number for number, name in enumerate(fleet.day.zones)}
    entries = tuple(
        api.ServerEntry(
            entry.name,
            _SERVER_STATES[entry.status],
            int((entry.since_ms - EPOCH_MS) * MS) if entry.since_ms else 0,
            zones[entry.zone],
            entry.weight,
            entry.group,
        )
        for entry in answer.entries
    )
    kind = api.MembershipKind.FULL if answer.snapshot else api.MembershipKind.CHANGES
    return api.Membership(kind, entries)
