"""The wire side of the world's models: tile servers, discovery and clients that speak the platform's protocol.

Each holds one end of a simulated connection and translates; what is decided stands in ``lab.world``.
"""

from __future__ import annotations

import re
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from scaledeal.lab.hosts.relay.sockets import End, Listener, Machine, Net
from scaledeal.lab.kernel import ScheduledCall
from scaledeal.lab.world.clients import Client
from scaledeal.lab.world.directory import Answer, Directory
from scaledeal.lab.world.fleet import Fleet, RelayBackend
from scaledeal.lab.world.server import ServerConnection, TileServer

if TYPE_CHECKING:
    from scaledeal.lab.hosts.relay.host import RelayHost

MS = 1_000_000
SECOND = 1000 * MS
STOOD = 40 * SECOND  # that a connection from before the run waits to be up again
LOOK = 20 * MS  # between two looks whether a server that stands still goes on
MESSAGES = 2 * SECOND  # between two lines of a client
READ = 1 << 16
_OPEN = re.compile(rb"OPEN (\S+) (\S+) (\S+)")
_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1\r\n")


class LineEnd:
    """Reads and writes lines on one end."""

    def __init__(self, end: End) -> None:
        self.end = end
        self.part = b""
        self.over = False
        end.owner = self

    # What a subclass fills in

    def line(self, line: bytes) -> None:
        """Take a line."""

    def ended(self, broke: bool) -> None:
        """Hear that the other end ended, or broke, the connection."""

    # The socket

    def readable(self) -> None:
        """Read what has come."""
        while not self.over:
            try:
                data = self.end.recv(READ)
            except ConnectionResetError:
                self._over(True)
                return
            if data is None:
                return
            if not data:
                self._over(False)
                return
            *lines, self.part = (self.part + data).split(b"\r\n")
            for line in lines:
                if not self.over:
                    self.line(line)

    def writable(self) -> None:
        """Nothing: what is written here is short."""

    def was_reset(self) -> None:
        """Hear that it broke."""
        self._over(True)

    def say(self, line: bytes) -> None:
        """Write a line."""
        if not (self.over or self.end.closed or self.end.broken):
            self.end.send(line + b"\r\n")

    def close(self) -> None:
        """Close, without hearing of it."""
        self.over = True
        self.end.owner = None
        self.end.close()

    def abort(self) -> None:
        """Reset, without hearing of it."""
        self.over = True
        self.end.owner = None
        self.end.abort()

    def _over(self, broke: bool) -> None:
        if not self.over:
            self.over = True
            self.end.owner = None
            self.end.close()
            self.ended(broke)


class TileSeat(LineEnd):
    """One connection at a tile server: probes, or a client's."""

    def __init__(self, host: RelayHost, server: TileServer, end: End) -> None:
        super().__init__(end)
        self.host, self.server = host, server
        self.held: ServerConnection | None = None
        self.relay = host.relay_at(end.remote)
        self.stands = False
        self.todo: deque[bytes] = deque()  # the client's lines that are not answered yet
        assert end.peer is not None
        end.peer.on_closed = self._given_up

    def line(self, line: bytes) -> None:
        """Take a relay's line."""
        if self.held is not None:
            self._message(line)
        elif line in (b"PING", b"STATS"):
            self._probe(line)
        elif found := _OPEN.fullmatch(line):
            self._opens(found)
        else:
            self.say(b"SYNTAX")
            self.host.fleet.checker.line_received("wire", self.host.fleet.kernel.now, 0, False)

    def ended(self, broke: bool) -> None:
        """Hear that the relay ended the connection."""
        if self.held is not None:
            self.server.leave(self.held)

    # The seat

    def up(self) -> None:
        """Say that it stands."""
        self.stands = True
        self.say(b"UP %s" % self.server.name.encode())

    def turned_away(self) -> None:
        """Say that there is no room."""
        self.say(b"BUSY")
        self.close()

    def error(self) -> None:
        """Say that it failed."""
        self.say(b"ERR")
        self.close()

    def load(self, amount: float) -> None:
        """Tell the connection's load."""
        self.say(b"LOAD %.1f" % amount)

    def delay(self, ms: float) -> None:
        """Tell how long a message takes: the protocol has one word for both."""
        self.say(b"LOAD %.1f" % ms)

    def sent_away(self) -> None:
        """Send the client away."""
        if self.held is not None:
            self.host.sent_away.add(self.held.id)
        self.say(b"MOVE")
        self.close()

    def reset(self) -> None:
        """Break the connection."""
        self.abort()

    # Inside

    def _probe(self, word: bytes) -> None:
        self.host.fleet.service.count("probes", self.host.fleet.kernel.now)
        report = self.server.probe()
        if report is None:
            return
        if word == b"PING":
            self.say(b"PONG")
            return
        names = self.server.day.rules.report_fields
        told = ",".join(f"{name}={value:.4f}" for name, value in zip(names, report, strict=True))
        self.say(b"PONG " + told.encode())

    def _opens(self, found: re.Match[bytes]) -> None:
        fleet = self.host.fleet
        id = found[1].decode()
        client = self.host.clients.get(id)
        if client is None:
            fleet.checker.attempt_arrived(id, self.server.name, fleet.kernel.now)
            self.say(b"SYNTAX")
            return
        standing = b"at=" in found[3]
        way = int(fleet.paths.times[self.host.zone_of(self.relay)][self.server.zone] * (1 + fleet.day.network.jitter))
        fleet.checker.attempt_sent(id, self.server.name, self.relay, fleet.kernel.now - way)  # at its first byte
        self.held = fleet.population.server_connection(client, self)
        self.held.id = id
        fleet.checker.attempt_arrived(id, self.server.name, fleet.kernel.now)
        if not standing:
            fleet.service.count("attempts", fleet.kernel.now)
            if self.server.zone != self.host.zone_of(self.relay):
                fleet.service.count("far", fleet.kernel.now)
        if standing:
            self.up()
            self.server.add_established(self.held)
        else:
            self.server.arrive(self.held)

    def _given_up(self) -> None:
        """See the relay close its end: for the rule of one attempt that moment counts, not when its server hears."""
        if self.held is not None:
            self.host.fleet.checker.attempt_closed(self.held.id, self.server.name, self.host.fleet.kernel.now)

    def _message(self, line: bytes) -> None:
        self.todo.append(line)
        if len(self.todo) == 1:
            self._answer_soon()

    def _answer_soon(self) -> None:
        """Answer lines in turn; one that stands still answers when it goes on, one that is silent never does."""
        held = self.held
        if held is None or held.silent or self.over:
            return
        if self.server.is_stalled():
            self.host.fleet.kernel.after(LOOK, self._answer_soon)
            return
        wait = int(self.server.backlog_s * SECOND)
        self.host.fleet.kernel.after(wait, self._answer_now)

    def _answer_now(self) -> None:
        if self.todo and not self.over:
            self.say(b"SAME " + self.todo.popleft().partition(b" ")[2])
            if self.todo:
                self._answer_soon()


class TileListener:
    """A tile server's listening socket."""

    def __init__(self, host: RelayHost, server: TileServer, machine: Machine, address: tuple[str, int]) -> None:
        self.host, self.server = host, server
        self.listener: Listener = host.net.listen(machine, address, 4096, self._ready)

    def _ready(self) -> None:
        while (end := self.listener.accept()) is not None:
            TileSeat(self.host, self.server, end)
            end.notify_owner()


class DirectoryEnd:
    """One connection at discovery: calls over HTTP/1.1, one after another."""

    def __init__(self, host: RelayHost, end: End) -> None:
        self.host, self.end = host, end
        self.directory: Directory = host.fleet.directory
        self.data = b""
        self.relay = host.relay_at(end.remote)
        self.open = True
        end.owner = self

    def readable(self) -> None:
        """Read calls."""
        while self.open:
            try:
                data = self.end.recv(READ)
            except ConnectionResetError:
                self.was_reset()
                return
            if data is None:
                return
            if not data:
                self.was_reset()
                return
            self.data += data
            while b"\r\n\r\n" in self.data:
                head, _, self.data = self.data.partition(b"\r\n\r\n")
                self._call(head + b"\r\n")

    def writable(self) -> None:
        """Nothing: the list fits the window, or is cut into two writes."""

    def was_reset(self) -> None:
        """Be done."""
        self.open = False
        self.end.owner = None
        self.end.close()

    def _call(self, head: bytes) -> None:
        found = _CALL.match(head)
        if found is None:
            self._say(b"404 Not Found", b"{}")
            return
        self.host.fleet.service.count("calls", self.host.fleet.kernel.now)
        after = int(found[1]) if found[1] else None
        self.directory.call(after, int(found[2] or 0) * MS, self._answer)

    def _answer(self, answer: Answer | None) -> None:
        if not self.open or self.end.closed or self.end.broken:
            return
        if answer is None:
            self._say(b"503 Service Unavailable", b"")
            return
        fleet = self.host.fleet
        now = fleet.kernel.now
        fleet.service.count("lines", now, len(answer.entries))
        listed = [
            {
                "name": each.name,
                "address": each.address,
                "zone": each.zone,
                "type": each.kind,
                "group": each.group,
                "status": each.status,
                "weight": each.weight,
                "since_ms": each.since_ms,
            }
            for each in answer.entries
        ]
        self._say(
            b"200 OK", msgspec.json.encode({"index": answer.index, "snapshot": answer.snapshot, "endpoints": listed})
        )
        told(fleet, self.relay, answer, now)

    def _say(self, status: bytes, body: bytes) -> None:
        head = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        self._write(head + body)

    def _write(self, data: bytes) -> None:
        if self.end.closed or self.end.broken:
            return
        sent = self.end.send(data)
        if sent < len(data):  # more than the window: on when the other end has read
            self.host.fleet.kernel.after(MS, lambda: self._write(data[sent:]))


def told(fleet: Fleet, relay: str, answer: Answer, now: int) -> None:
    """Have the witness see what a relay is told."""
    for entry in answer.entries:
        fleet.checker.discovery_entry_received(relay, entry.name, entry.status, entry.since_ms > 0, now)
    if answer.snapshot:
        named = {entry.name for entry in answer.entries}
        for name in fleet.servers:
            if name not in named:
                fleet.checker.discovery_entry_received(relay, name, "left", False, now)


class DirectoryListener:
    """Discovery's listening socket."""

    def __init__(self, host: RelayHost, net: Net, machine: Machine, address: tuple[str, int]) -> None:
        self.host = host
        self.listener = net.listen(machine, address, 4096, self._ready)

    def _ready(self) -> None:
        while (end := self.listener.accept()) is not None:
            DirectoryEnd(self.host, end)
            end.notify_owner()


class ClientEnd(LineEnd):
    """A client's connection to a relay."""

    def __init__(self, host: RelayHost, client: Client, door: RelayBackend, end: End, at: str) -> None:
        super().__init__(end)
        self.host, self.client, self.door = host, client, door
        self.id = client.id
        self.answered = self.stands = self.moved = False
        self.sent = self.heard = 0
        self.timer: ScheduledCall | None = None
        kind = client.class_settings
        wait = STOOD if at else kind.deadline
        words = f"c={kind.name},d={int(wait // MS)}" + (f",g={client.group}" if client.group else "")
        words += f",t={client.population.day.tenant[client.tenant].name}" if client.population.day.tenant else ""
        words += (",again=1" if client.was_connected else "") + (f",at={at}" if at else "")
        self.standing = bool(at)
        self.say(f"OPEN {self.id} {client.key} {words}".encode())

    def line(self, line: bytes) -> None:
        """Take a relay's line."""
        word, _, rest = line.partition(b" ")
        if self.stands:
            self._passed_on(word, rest)
        elif word == b"UP":
            self._up()
        else:
            self._answer(word, rest)

    def ended(self, broke: bool) -> None:
        """Hear that the connection is over."""
        self._stop()
        self.host.ends.pop(self.id, None)
        client = self.client
        if client.id != self.id or client.finished or self.moved:
            return
        if self.answered and not self.stands:
            return
        if self.stands:
            holder = self.host.held_at(self.id)
            if not self.host.alive(self.door):
                client.on_broken(True)
            else:
                self.host.fleet.checker.connection_cut(self.id, holder, self.host.fleet.kernel.now)
                client.on_broken()
        elif self.host.alive(self.door) and self.host.took(self.door):
            client.on_failed()  # closed without a word
        else:
            client.on_broken(True)

    def leaves(self) -> None:
        """End it."""
        self._stop()
        self.host.ends.pop(self.id, None)
        self.close()

    def _up(self) -> None:
        self.answered = self.stands = True
        client = self.client
        if client.id != self.id:
            return
        if self.standing:
            self.host.fleet.checker.answer_received(self.id, self.host.fleet.kernel.now, "UP")
            client.pending, client.connected, client.was_connected = False, True, True
            client.schedule_finish()
        else:
            client.on_connected()
        self._message()

    def _answer(self, word: bytes, rest: bytes) -> None:
        if self.client.id != self.id:
            return
        if self.answered:
            self.host.fleet.checker.answer_received(self.id, self.host.fleet.kernel.now, word.decode())
            return
        self.answered = True
        if word == b"BUSY":
            self.client.on_refused(int(rest or 0) * MS)
        elif self.standing:
            self.client.on_broken(True)
        else:
            self.client.on_failed()

    def _passed_on(self, word: bytes, rest: bytes) -> None:
        if word == b"MOVE":
            self.moved = True
            self._stop()
            by_server = self.id in self.host.sent_away
            self.host.sent_away.discard(self.id)
            self.host.fleet.service.count("sent_away" if by_server else "moves", self.host.fleet.kernel.now)
            self.client.on_moved()
        elif word == b"SAME":
            number = int(rest)
            self.host.fleet.checker.line_received(self.id, self.host.fleet.kernel.now, 0, number == self.heard + 1)
            self.heard = number

    def _message(self) -> None:
        """Send a line, and another later."""
        if self.over or not self.stands:
            return
        self.sent += 1
        self.say(b"LINE %d" % self.sent)
        self.timer = self.host.fleet.kernel.after(MESSAGES, self._message)

    def _stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class BadEnd(LineEnd):
    """A client that sends what is no request; it has to be told so, or closed, within its time."""

    def __init__(self, end: End, data: bytes) -> None:
        super().__init__(end)
        if data:
            end.send(data)

    def line(self, line: bytes) -> None:
        """Take its answer."""
        self.close()
