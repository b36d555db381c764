"""The decision module alone, one instance a relay, in simulated time.

What stands between the module and the world is as thin as it can be: a request's table, the one attempt that is out,
times on the wire, and a core that handles one thing after another. There are no lines and no sockets; where those
matter, the host *relay* plays the network code itself. Large size is the point here.
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
PROBE = 500 * MS  # that a probe may take
WATCH = 10 * SECOND  # that a watch may wait
STOP = 1600 * MS  # between a planned end's beginning and its moves
PACE = 1400 * MS  # over which it moves its clients
_STATES = {"active": api.ServerState.LIVE, "leaving": api.ServerState.DRAINING, "left": api.ServerState.GONE}

Factory = Callable[[api.Settings, int], Any]  # makes a balancer: the module, an older one, or one broken on purpose


class Flight(msgspec.Struct, eq=False):
    """A request at a relay, until nothing of it is left."""

    name: str
    client: Client
    id: str
    deadline: int
    answered: bool = False  # a final answer was given, or the client left
    stands: bool = False
    number: int = -1  # of the attempt that is out, or was
    attempt: Attempt | None = None


class Attempt:
    """One attempt: the seat that a server tells, and its timer."""

    def __init__(self, relay: ModuleRelay, flight: Flight, server: TileServer, number: int) -> None:
        self.host, self.flight, self.server, self.number = relay, flight, server, number
        self.relay = relay.door.name
        self.began = relay.fleet.kernel.now
        self.held: ServerConnection | None = None
        self.over = False
        self.timer: ScheduledCall | None = None

    # The seat

    def up(self) -> None:
        """Hear that it stands."""
        self._later(self._up)

    def turned_away(self) -> None:
        """Hear that the server has no room."""
        self._later(lambda: self.ends(api.Result.FULL))

    def error(self) -> None:
        """Hear that it failed."""
        self._later(lambda: self.ends(api.Result.ERROR))

    def sent_away(self) -> None:
        """Hear that the server sends its client away."""
        self._later(lambda: self.ends(api.Result.CANCELLED))

    def reset(self) -> None:
        """Hear that the connection broke."""
        self._later(lambda: self.ends(api.Result.RESET))

    def load(self, amount: float) -> None:
        """Hear the connection's load."""
        self._later(lambda: self._note(api.NoteKind.LOAD, amount))

    def delay(self, ms: float) -> None:
        """Hear how long a message takes."""
        self._later(lambda: self._note(api.NoteKind.DELAY, ms))

    # The relay's side

    def begin(self, timeout: int) -> None:
        """Open the connection and send the line."""
        relay, kernel = self.host, self.host.fleet.kernel
        self.timer = kernel.after(timeout, self._timed_out)
        if not relay.reaches(self.server):
            self._silent_dial()
            return
        one_way = relay.way(self.server)
        if not self.server.alive:
            if self.server.reachable:
                kernel.after(2 * one_way, lambda: self.ends(api.Result.CONNECT_FAILED))
            else:
                self._silent_dial()
            return
        low, high = relay.fleet.day.servers.handshakes
        trips = low if low == high else float(relay.draw.uniform(low, high))
        kernel.after(int(one_way * (2 * trips + 1)), self._arrives)

    def ends(self, result: api.Result) -> None:
        """End it, once, and tell the module."""
        if self.over:
            return
        self.give_up()
        self.host.attempt_over(self, result)

    def give_up(self) -> None:
        """Be done with it here; its server hears of that later."""
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        if (held := self.held) is not None:
            # For the rule of one attempt it is over when the relay has closed it: the server's hearing lags.
            self.host.fleet.checker.attempt_closed(held.id, self.server.name, self.host.fleet.kernel.now)
            self.host.fleet.kernel.after(self.host.way(self.server), lambda: self.server.leave(held))

    def _arrives(self) -> None:
        if self.over:
            return
        fleet = self.host.fleet
        if not self.server.alive:
            self._later(lambda: self.ends(api.Result.CONNECT_FAILED))
            return
        self.held = fleet.population.server_connection(self.flight.client, self)
        self.held.id = self.flight.id
        fleet.checker.attempt_arrived(self.flight.id, self.server.name, fleet.kernel.now)
        self.server.arrive(self.held)

    def _up(self) -> None:
        if not self.over:
            if self.timer is not None:
                self.timer.cancel()
            self.host.is_up(self)

    def _note(self, kind: api.NoteKind, amount: float) -> None:
        if not self.over and self.flight.stands:
            self.host.post(api.Note(self.flight.name, self.number, self.server.name, kind, amount))

    def _later(self, call: Callable[[], object]) -> None:
        """Have something come over the network."""
        relay = self.host
        if relay.fleet.paths.reaches(self.server.zone, relay.door.zone):
            relay.fleet.kernel.after(relay.way(self.server), lambda: None if self.over else call())

    def _silent_dial(self) -> None:
        fleet = self.host.fleet
        fleet.kernel.after(int(fleet.day.network.dial), lambda: self.ends(api.Result.CONNECT_FAILED))

    def _timed_out(self) -> None:
        early = self.held is None
        self.ends(api.Result.CONNECT_FAILED if early else api.Result.TIMEOUT)


class ModuleRelay:
    """One relay: a balancer, its requests, its view of the list, and its core."""

    def __init__(self, host: ModuleHost, door: RelayBackend, start: int) -> None:
        self.host, self.fleet, self.door = host, host.fleet, door
        day = self.fleet.day
        self.draw = self.fleet.streams.of("relay", door.name, start)
        settings = told_to(self.fleet, door).settings()
        self.balancer = host.factory(settings, int(self.draw.integers(1 << 62)))
        self.flights: dict[str, Flight] = {}
        self.alive, self.serving = True, True
        self.index: int | None = None
        self.watching = False
        self._events: deque[api.Event] = deque()
        self._busy_until = 0
        self._working = False
        self._numbered = 0
        self._cost = int(day.relays.event * 1000 / day.relays.cores)
        self._do: dict[type, Callable[[Any], None]] = {
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
        """Hand an event to the module when its core is free."""
        self._events.append(event)
        if not self._working:
            self._working = True
            self.fleet.kernel.at(self._busy_until, self._work)

    def _work(self) -> None:
        if not self.alive or not self._events:
            self._working = False
            return
        now = self.fleet.kernel.now
        event = self._events.popleft()
        try:
            actions = self.balancer.handle(now, event)
            for action in actions:
                self._do[type(action)](action)
        except BrokenRuleError:
            raise
        except Exception as error:  # the module's failure is its relay's crash: told as that, the world goes on
            self.fleet.checker.relay_crashed(self.door.name, now, f"{type(error).__name__}: {error}")
            self.host.kill(self.door.number)
            return
        self._busy_until = now + self._cost * (1 + len(actions))
        self.fleet.kernel.at(self._busy_until, self._work)

    # Clients

    def take(self, client: Client) -> None:
        """Take a client's first line."""
        fleet, now = self.fleet, self.fleet.kernel.now
        self._numbered += 1
        flight = Flight(f"r{self._numbered}", client, client.id, client.requested_at + client.class_settings.deadline)
        self.flights[flight.name] = flight
        self.host.here[client.number] = (self, flight)
        fleet.checker.request_written(client.id, self.door.name, now, flight.deadline)
        self.post(
            api.Request(
                flight.name,
                client.cls,
                flight.deadline,
                client.key,
                client.group,
                client.tenant,
                returning=client.was_connected,
            )
        )

    def stands(self, client: Client, server: TileServer) -> None:
        """Have a client's connection stand from before the run."""
        self._numbered += 1
        client.id, client.visit = f"c{client.number}.0", 0
        flight = Flight(f"r{self._numbered}", client, client.id, 0, stands=True, number=0)
        flight.attempt = Attempt(self, flight, server, 0)
        self.flights[flight.name] = flight
        self.host.here[client.number] = (self, flight)
        self.fleet.checker.initial_connection(client.id, self.door.name, server.name, self.fleet.kernel.now)
        held = flight.attempt.held = self.fleet.population.server_connection(client, flight.attempt)
        self.post(api.OpenConnection(flight.name, client.cls, server.name, client.key, client.group, client.tenant))
        server.add_established(held)
        client.connected = client.was_connected = True
        client.schedule_finish()

    def client_left(self, flight: Flight) -> None:
        """Hear that a client left."""
        if flight.answered:
            return
        flight.answered = True
        self.post(api.ClientGone(flight.name))
        if flight.stands and flight.attempt is not None:
            flight.attempt.ends(api.Result.OK)
        elif flight.attempt is None or flight.attempt.over:
            self._forget(flight)

    def is_up(self, attempt: Attempt) -> None:
        """Hear that an attempt's connection stands."""
        flight, now = attempt.flight, self.fleet.kernel.now
        if flight.answered:
            attempt.ends(api.Result.CANCELLED)
            return
        flight.stands = True
        self.post(api.Established(flight.name, attempt.number, attempt.server.name, now - attempt.began))
        self._to_client(flight, lambda client: client.on_connected())

    def attempt_over(self, attempt: Attempt, result: api.Result) -> None:
        """Hear how an attempt, or a connection that stood, ended."""
        flight = attempt.flight
        stood, flight.stands = flight.stands, False
        last = flight.answered or stood
        if stood and not flight.answered:
            flight.answered = True
            how: dict[api.Result, Callable[[Client], None]] = {
                api.Result.CANCELLED: lambda client: self._counted(client, "sent_away"),
                api.Result.OK: lambda _: None,
            }
            self._to_client(flight, how.get(result, lambda client: client.on_broken()))
        if not stood and result is not api.Result.OK:
            self.fleet.service.count("wasted", self.fleet.kernel.now)
        took = self.fleet.kernel.now - attempt.began
        self.post(api.Outcome(flight.name, attempt.number, attempt.server.name, result, took, last))
        if last:
            self._forget(flight)

    def _counted(self, client: Client, what: str) -> None:
        self.fleet.service.count(what, self.fleet.kernel.now)
        client.on_moved()

    # Actions

    def _send(self, action: api.Send) -> None:
        flight = self.flights.get(action.request)
        if flight is None:
            return
        now = self.fleet.kernel.now
        flight.number += 1
        left = flight.deadline - now
        if flight.answered or left <= 0:
            self.post(api.Outcome(flight.name, flight.number, action.server, api.Result.NOT_SENT, 0, flight.answered))
            return
        if flight.attempt is not None and not flight.attempt.over:
            self.fleet.checker.attempt_arrived(flight.id, action.server, now)  # two at once: told as what it is
        server = self.fleet.servers[action.server]
        if flight.number == 0:
            self.fleet.service.record_duration(self.fleet.service.first_attempt_ms, now - flight.client.requested_at)
        self.fleet.service.count("attempts", now)
        if server.zone != self.door.zone:
            self.fleet.service.count("far", now)
        self.fleet.checker.attempt_sent(flight.id, server.name, self.door.name, now)
        flight.attempt = Attempt(self, flight, server, flight.number)
        flight.attempt.begin(min(action.timeout or left, left))

    def _refuse(self, action: api.Refuse) -> None:
        self._answer(action.request, lambda client: client.on_refused(action.retry_after))

    def _fail(self, action: api.Fail) -> None:
        self._answer(action.request, lambda client: client.on_failed())

    def _answer(self, name: str, tell: Callable[[Client], None]) -> None:
        flight = self.flights.get(name)
        if flight is None or flight.stands:
            return
        if flight.answered:
            self._to_client(flight, tell)  # a second answer, for the witness to see
            return
        flight.answered = True
        self._to_client(flight, tell)
        if flight.attempt is None or flight.attempt.over:
            # A second answer in the same breath is to be seen as what it is.
            self.fleet.kernel.after(0, lambda: self._forget(flight))

    def _cancel(self, action: api.Cancel) -> None:
        flight = self.flights.get(action.request)
        if flight is not None and flight.attempt is not None and flight.attempt.number == action.attempt:
            flight.attempt.ends(api.Result.CANCELLED)

    def _move(self, action: api.Move) -> None:
        flight = self.flights.get(action.request)
        if flight is None or not flight.stands or flight.answered or flight.attempt is None:
            return
        flight.answered = True
        self.fleet.service.count("moves", self.fleet.kernel.now)
        self._to_client(flight, lambda client: client.on_moved())
        flight.attempt.ends(api.Result.CANCELLED)

    def _probe(self, action: api.Probe) -> None:
        fleet, server = self.fleet, self.fleet.servers[action.server]
        fleet.service.count("probes", fleet.kernel.now)
        began = fleet.kernel.now
        out = [True]

        def tell(result: api.Result, report: tuple[float, ...] = ()) -> None:
            if out and self.alive:
                out.clear()
                self.post(api.ProbeResult(server.name, result, fleet.kernel.now - began, report))

        def at_server() -> None:
            report = server.probe() if server.alive else None
            if report is not None and fleet.paths.reaches(server.zone, self.door.zone):
                fleet.kernel.after(self.way(server), lambda: tell(api.Result.OK, report))

        fleet.kernel.after(PROBE, lambda: tell(api.Result.TIMEOUT))
        if self.reaches(server) and (server.alive or server.reachable):
            if not server.alive:
                fleet.kernel.after(2 * self.way(server), lambda: tell(api.Result.CONNECT_FAILED))
            else:
                fleet.kernel.after(3 * self.way(server), at_server)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.fleet.kernel.after(action.delay, lambda: self.post(api.Timer(action.token)) if self.alive else None)

    # The list

    def _watch(self) -> None:
        if not self.watching:
            self.watching = True
            self._call()

    def _call(self) -> None:
        self.fleet.service.count("calls", self.fleet.kernel.now)
        self.fleet.kernel.after(
            self.fleet.paths.times[self.door.zone][0],
            lambda: self.fleet.directory.call(self.index, WATCH, self._listed),
        )

    def _listed(self, answer: Answer | None) -> None:
        if not self.alive:
            return
        if answer is None:
            self.watching = False
            self.post(api.Membership(api.MembershipKind.LOST))
            return
        now, witness = self.fleet.kernel.now, self.fleet.checker
        self.fleet.service.count("lines", now, len(answer.entries))
        for entry in answer.entries:
            witness.discovery_entry_received(self.door.name, entry.name, entry.status, entry.since_ms > 0, now)
        if answer.snapshot:
            named = {entry.name for entry in answer.entries}
            for name in self.fleet.servers:
                if name not in named:
                    witness.discovery_entry_received(self.door.name, name, "left", False, now)
        self.index = answer.index
        self._call()
        self.post(membership(self.fleet, answer))

    # What befalls it

    def dies(self) -> None:
        """End at once: every connection breaks."""
        self.alive = False
        for flight in list(self.flights.values()):
            if flight.attempt is not None and not flight.attempt.over:
                flight.attempt.give_up()
            if not flight.answered:
                flight.answered = True
                self._to_client(flight, lambda client: client.on_broken(True))
        self.flights.clear()

    def drains(self) -> None:
        """Move everybody, a few at a time, then be gone."""
        standing = [flight for flight in self.flights.values() if flight.stands]
        for place, flight in enumerate(standing):
            self.fleet.kernel.after(STOP + PACE * place // max(1, len(standing)), lambda f=flight: self._send_away(f))  # type: ignore[misc]

    def _send_away(self, flight: Flight) -> None:
        if self.alive and flight.stands and not flight.answered:
            self.post(api.ClientGone(flight.name))
            self._move(api.Move(flight.name))

    # Inside

    def way(self, server: TileServer) -> int:
        """Return the ns that a message takes between this relay and a server."""
        return self.fleet.paths.time(self.door.zone, server.zone, self.draw)

    def reaches(self, server: TileServer) -> bool:
        """Tell whether what is sent there arrives, and the answer too."""
        paths = self.fleet.paths
        return paths.reaches(self.door.zone, server.zone) and paths.reaches(server.zone, self.door.zone)

    def _to_client(self, flight: Flight, tell: Callable[[Client], None]) -> None:
        client = flight.client
        self.host.here.pop(client.number, None) if flight.answered else None
        self.fleet.kernel.after(
            self.fleet.paths.client_time(self.draw),
            lambda: tell(client) if client.id == flight.id and not client.finished else None,
        )

    def _forget(self, flight: Flight) -> None:
        self.flights.pop(flight.name, None)


class ModuleHost:
    """All relays of a run."""

    def __init__(self, fleet: Fleet, factory: Factory = Balancer) -> None:
        self.fleet, self.factory = fleet, factory
        self.here: dict[int, tuple[ModuleRelay, Flight]] = {}  # where each client is, by its number
        self.starts = 0
        self.relays = [self._start(door) for door in fleet.backends]
        fleet.attach(self)
        self._stand()

    def run(self) -> None:
        """Play the day, and what is still owed at its end."""
        fleet = self.fleet
        longest = max(each.deadline for each in fleet.day.classes)
        fleet.kernel.run(fleet.day.seconds)
        for server in fleet.servers.values():
            server.update()
        for client in list(fleet.population.clients.values()):
            client.done_at = min(client.done_at, fleet.kernel.now)
        fleet.kernel.run(fleet.day.seconds + longest + fleet.day.rules.slack + SECOND)
        for relay in self.relays:
            if relay.alive:
                waiting = sum(not flight.stands and not flight.answered for flight in relay.flights.values())
                fleet.checker.resources_left(relay.door.name, "requests", waiting, fleet.kernel.now)

    # Clients

    def ask(self, client: Client) -> bool:
        """Bring a client's first line to a relay."""
        door = self.fleet.front.pick(client.zone)
        if door is None:
            return False
        relay = self.relays[door.number]
        way = self.fleet.paths.client_time(client.rng)
        id = client.id

        def comes() -> None:
            if client.id == id and client.pending:
                if relay.alive and relay.serving and self.relays[door.number] is relay:
                    relay.take(client)
                else:
                    client.on_connect_failed()

        self.fleet.kernel.after(way, comes)
        return True

    def leave(self, client: Client) -> None:
        """Have a client end what it asked for, or its connection."""
        if (where := self.here.pop(client.number, None)) is not None:
            relay, flight = where
            if flight.id == client.id and relay.alive:
                self.fleet.kernel.after(self.fleet.paths.client_time(client.rng), lambda: relay.client_left(flight))

    # Relays

    def kill(self, number: int) -> None:
        """End a relay at once; it starts again, and the front sees either only later."""
        relay = self.relays[number]
        if not relay.alive:
            return
        self.fleet.checker.relay_died(relay.door.name, self.fleet.kernel.now)
        relay.dies()
        low, high = self.fleet.day.relays.notice
        self.fleet.kernel.after(int(relay.draw.uniform(low, high) if low < high else low), lambda: self._notice(relay))
        self._start_later(number)

    def restart(self, number: int) -> None:
        """Tell a relay to end, and start it again when it has."""
        relay = self.relays[number]
        if not relay.alive:
            return
        relay.door.in_rotation = False
        self.fleet.kernel.after(300 * MS, lambda: setattr(relay, "serving", False))
        relay.drains()
        self.fleet.kernel.after(STOP + PACE + 700 * MS, lambda: self.kill(number) if relay.alive else None)

    def upgrade(self, number: int) -> None:
        """Have a new version take over: it knows of all that stands, and the old one serves it to its end."""
        old = self.relays[number]
        if not old.alive:
            return
        new = self._start(old.door)
        self.relays[number] = new
        for flight in [each for each in old.flights.values() if each.stands and each.attempt is not None]:
            self._carry(old, new, flight)
        old.serving = False
        old.drains()

    def reload(self, number: int) -> None:
        """Have a relay ask for the whole list again, as from another discovery."""
        relay = self.relays[number]
        if relay.alive:
            relay.index = None

    def _carry(self, old: ModuleRelay, new: ModuleRelay, flight: Flight) -> None:
        assert flight.attempt is not None
        old.flights.pop(flight.name, None)
        old.post(api.ClientGone(flight.name))
        old.post(api.Outcome(flight.name, flight.number, flight.attempt.server.name, api.Result.CANCELLED, 0, True))
        new._numbered += 1
        flight.name, flight.number, flight.attempt.number = f"r{new._numbered}", 0, 0
        flight.attempt.host = new
        new.flights[flight.name] = flight
        self.here[flight.client.number] = (new, flight)
        new.post(
            api.OpenConnection(
                flight.name,
                flight.client.cls,
                flight.attempt.server.name,
                flight.client.key,
                flight.client.group,
                flight.client.tenant,
                inherited=True,
            )
        )

    def _notice(self, relay: ModuleRelay) -> None:
        if self.relays[relay.door.number] is relay:
            relay.door.in_rotation = False

    def _start_later(self, number: int) -> None:
        low, high = self.fleet.day.relays.start
        relay = self.relays[number]
        wait = int(relay.draw.uniform(low, high) if low < high else low)

        def start() -> None:
            self.relays[number] = self._start(relay.door)
            relay.door.in_rotation = True

        self.fleet.kernel.after(wait, start)

    def _start(self, door: RelayBackend) -> ModuleRelay:
        self.starts += 1
        relay = ModuleRelay(self, door, self.starts)
        directory = self.fleet.directory
        known = tuple(entry for entry in directory.entries.values() if entry.status != "left")
        relay.index = directory.index
        for entry in known:
            self.fleet.checker.discovery_entry_received(
                door.name, entry.name, entry.status, entry.since_ms > 0, self.fleet.kernel.now
            )
        event = membership(self.fleet, Answer(directory.index, True, known))
        relay.post(initial(event))
        if directory.pushed:
            relay._watch()
        return relay

    def _stand(self) -> None:
        """Have the clients of before the run stand."""
        clients = self.fleet.population.start()
        places = place_initial_connections(
            clients, self.fleet.live(), self.fleet.day.servers.group_cost * self.fleet.population.mean_load
        )
        for client in clients:
            door = self.fleet.front.pick(client.zone)
            if door is not None and client.number in places:
                self.relays[door.number].stands(client, places[client.number])


def told_to(fleet: Fleet, door: RelayBackend) -> Document:
    """Return the settings of one relay as the platform would tell them."""
    told = settings_document(fleet.day, door.number, door.zone, fleet.population.quotas)
    return msgspec.convert(told, Document, strict=False)


def initial(event: api.Membership) -> api.Membership:
    """Return a list as one that a relay starts with."""
    return api.Membership(api.MembershipKind.INITIAL, event.servers)


def membership(fleet: Fleet, answer: Answer) -> api.Membership:
    """Translate discovery's answer for the decision module."""
    zones = {name: number for number, name in enumerate(fleet.day.zones)}
    entries = tuple(
        api.ServerEntry(
            each.name,
            _STATES[each.status],
            int((each.since_ms - EPOCH_MS) * MS) if each.since_ms else 0,
            zones[each.zone],
            each.weight,
            each.group,
        )
        for each in answer.entries
    )
    kind = api.MembershipKind.FULL if answer.snapshot else api.MembershipKind.CHANGES
    return api.Membership(kind, entries)
