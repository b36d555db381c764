"""The protocol side of the simulated tile servers, discovery and clients.

Each class holds one end of a simulated connection and translates between the platform's protocol and a model of
``lab.world``, which makes the decisions.
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
INITIAL_DEADLINE_NS = 40 * SECOND  # until a connection from before the run must be established again
STALL_POLL_INTERVAL_NS = 20 * MS  # between two checks whether a stalled server has resumed
MESSAGE_INTERVAL_NS = 2 * SECOND  # between two lines of a client
READ_BYTES = 1 << 16  # most bytes per read
_OPEN_LINE = re.compile(rb"OPEN (\S+) (\S+) (\S+)")
_DISCOVERY_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1\r\n")


class LineEnd:
    """One end of a connection that carries lines."""

    def __init__(self, end: End) -> None:
        self.end = end
        self.partial = b""
        self.has_ended = False
        end.owner = self

    # Overridden by subclasses

    def on_line(self, line: bytes) -> None:
        """Handle a received line, without its line end."""

    def on_end(self, was_broken: bool) -> None:
        """Handle the end of the connection by the other end; ``was_broken``: by a reset."""

    # Interface EndOwner

    def readable(self) -> None:
        """Read available data and handle its lines."""
        while not self.has_ended:
            try:
                data = self.end.recv(READ_BYTES)
            except ConnectionResetError:
                self._end(True)
                return
            if data is None:
                return
            if not data:
                self._end(False)
                return
            *lines, self.partial = (self.partial + data).split(b"\r\n")
            for line in lines:
                if not self.has_ended:
                    self.on_line(line)

    def writable(self) -> None:
        """Do nothing: written lines are short enough never to wait for room."""

    def was_reset(self) -> None:
        """Handle a reset by the other end."""
        self._end(True)

    def write_line(self, line: bytes) -> None:
        """Write a line, unless the connection has ended."""
        if not (self.has_ended or self.end.closed or self.end.broken):
            self.end.send(line + b"\r\n")

    def close(self) -> None:
        """Close the connection, without a call of ``on_end``."""
        self.has_ended = True
        self.end.owner = None
        self.end.close()

    def abort(self) -> None:
        """Reset the connection, without a call of ``on_end``."""
        self.has_ended = True
        self.end.owner = None
        self.end.abort()

    def _end(self, was_broken: bool) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.end.owner = None
            self.end.close()
            self.on_end(was_broken)


class TileConnection(LineEnd):
    """A connection at a tile server: a relay's probes, or a client's connection as its ``ConnectionPeer``."""

    def __init__(self, host: RelayHost, server: TileServer, end: End) -> None:
        super().__init__(end)
        self.host, self.server = host, server
        self.connection: ServerConnection | None = None
        self.relay = host.relay_at(end.remote)
        self.established = False
        self.unanswered: deque[bytes] = deque()  # lines of the client that are not yet answered
        assert end.peer is not None
        end.peer.on_closed = self._on_relay_closed

    def on_line(self, line: bytes) -> None:
        """Handle a line of the relay."""
        if self.connection is not None:
            self._on_message(line)
        elif line in (b"PING", b"STATS"):
            self._probe(line)
        elif found := _OPEN_LINE.fullmatch(line):
            self._open(found)
        else:
            self.write_line(b"SYNTAX")
            self.host.fleet.checker.line_received("wire", self.host.fleet.kernel.now, 0, False)

    def on_end(self, was_broken: bool) -> None:
        """Handle the end of the connection by the relay."""
        if self.connection is not None:
            self.server.leave(self.connection)

    # Interface ConnectionPeer

    def up(self) -> None:
        """Write that the connection is established."""
        self.established = True
        self.write_line(b"UP %s" % self.server.name.encode())

    def turned_away(self) -> None:
        """Write that there is no capacity, and close."""
        self.write_line(b"BUSY")
        self.close()

    def error(self) -> None:
        """Write that the set-up failed, and close."""
        self.write_line(b"ERR")
        self.close()

    def load(self, amount: float) -> None:
        """Write the connection's load."""
        self.write_line(b"LOAD %.1f" % amount)

    def delay(self, ms: float) -> None:
        """Write the server's response time in ms; the protocol uses the word of ``load`` for it."""
        self.write_line(b"LOAD %.1f" % ms)

    def sent_away(self) -> None:
        """Write that the client must move, because the server drains, and close."""
        if self.connection is not None:
            self.host.sent_away.add(self.connection.id)
        self.write_line(b"MOVE")
        self.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.abort()

    # Internal methods

    def _probe(self, command: bytes) -> None:
        self.host.fleet.service.count("probes", self.host.fleet.kernel.now)
        report = self.server.probe()
        if report is None:
            return
        if command == b"PING":
            self.write_line(b"PONG")
            return
        names = self.server.day.rules.report_fields
        values = ",".join(f"{name}={value:.4f}" for name, value in zip(names, report, strict=True))
        self.write_line(b"PONG " + values.encode())

    def _open(self, found: re.Match[bytes]) -> None:
        fleet = self.host.fleet
        id = found[1].decode()
        client = self.host.clients.get(id)
        if client is None:
            fleet.checker.attempt_arrived(id, self.server.name, fleet.kernel.now)
            self.write_line(b"SYNTAX")
            return
        is_initial = b"at=" in found[3]
        one_way_ns = int(
            fleet.paths.times[self.host.zone_of(self.relay)][self.server.zone] * (1 + fleet.day.network.jitter)
        )
        # An attempt counts as sent when its first byte was.
        fleet.checker.attempt_sent(id, self.server.name, self.relay, fleet.kernel.now - one_way_ns)
        self.connection = fleet.population.server_connection(client, self)
        self.connection.id = id
        fleet.checker.attempt_arrived(id, self.server.name, fleet.kernel.now)
        if not is_initial:
            fleet.service.count("attempts", fleet.kernel.now)
            if self.server.zone != self.host.zone_of(self.relay):
                fleet.service.count("far", fleet.kernel.now)
        if is_initial:
            self.up()
            self.server.add_established(self.connection)
        else:
            self.server.arrive(self.connection)

    def _on_relay_closed(self) -> None:
        """Handle that the relay closed its end.

        Under the rule of one attempt at a time, an attempt ends at that moment, not when its server sees the close.
        """
        if self.connection is not None:
            self.host.fleet.checker.attempt_closed(self.connection.id, self.server.name, self.host.fleet.kernel.now)

    def _on_message(self, line: bytes) -> None:
        self.unanswered.append(line)
        if len(self.unanswered) == 1:
            self._schedule_answer()

    def _schedule_answer(self) -> None:
        """Schedule the answer to the next line.

        A stalled server answers when it resumes; a connection that is silent is never answered.
        """
        connection = self.connection
        if connection is None or connection.silent or self.has_ended:
            return
        if self.server.is_stalled():
            self.host.fleet.kernel.after(STALL_POLL_INTERVAL_NS, self._schedule_answer)
            return
        wait = int(self.server.backlog_s * SECOND)
        self.host.fleet.kernel.after(wait, self._answer_next)

    def _answer_next(self) -> None:
        if self.unanswered and not self.has_ended:
            self.write_line(b"SAME " + self.unanswered.popleft().partition(b" ")[2])
            if self.unanswered:
                self._schedule_answer()


class TileListener:
    """A tile server's listening socket."""

    def __init__(self, host: RelayHost, server: TileServer, machine: Machine, address: tuple[str, int]) -> None:
        self.host, self.server = host, server
        self.listener: Listener = host.net.listen(machine, address, 4096, self._accept)

    def _accept(self) -> None:
        while (end := self.listener.accept()) is not None:
            TileConnection(self.host, self.server, end)
            end.notify_owner()


class DirectoryEnd:
    """A connection at discovery, which takes calls over HTTP/1.1, one after another."""

    def __init__(self, host: RelayHost, end: End) -> None:
        self.host, self.end = host, end
        self.directory: Directory = host.fleet.directory
        self.data = b""
        self.relay = host.relay_at(end.remote)
        self.open = True
        end.owner = self

    def readable(self) -> None:
        """Read available data and handle its calls."""
        while self.open:
            try:
                data = self.end.recv(READ_BYTES)
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
                self._on_call(head + b"\r\n")

    def writable(self) -> None:
        """Do nothing: an answer fits the window, or ``_write`` sends the rest later."""

    def was_reset(self) -> None:
        """Close the connection."""
        self.open = False
        self.end.owner = None
        self.end.close()

    def _on_call(self, head: bytes) -> None:
        found = _DISCOVERY_CALL.match(head)
        if found is None:
            self._send_response(b"404 Not Found", b"{}")
            return
        self.host.fleet.service.count("calls", self.host.fleet.kernel.now)
        after = int(found[1]) if found[1] else None
        self.directory.call(after, int(found[2] or 0) * MS, self._send_answer)

    def _send_answer(self, answer: Answer | None) -> None:
        if not self.open or self.end.closed or self.end.broken:
            return
        if answer is None:
            self._send_response(b"503 Service Unavailable", b"")
            return
        fleet = self.host.fleet
        now = fleet.kernel.now
        fleet.service.count("lines", now, len(answer.entries))
        endpoints = [
            {
                "name": entry.name,
                "address": entry.address,
                "zone": entry.zone,
                "type": entry.kind,
                "group": entry.group,
                "status": entry.status,
                "weight": entry.weight,
                "since_ms": entry.since_ms,
            }
            for entry in answer.entries
        ]
        self._send_response(
            b"200 OK", msgspec.json.encode({"index": answer.index, "snapshot": answer.snapshot, "endpoints": endpoints})
        )
        record_answer(fleet, self.relay, answer, now)

    def _send_response(self, status: bytes, body: bytes) -> None:
        head = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        self._write(head + body)

    def _write(self, data: bytes) -> None:
        if self.end.closed or self.end.broken:
            return
        sent = self.end.send(data)
        if sent < len(data):  # larger than the window: retry when the other end may have read
            self.host.fleet.kernel.after(MS, lambda: self._write(data[sent:]))


def record_answer(fleet: Fleet, relay: str, answer: Answer, now: int) -> None:
    """Report to the checker the entries that a relay receives; a server missing in a snapshot counts as left."""
    for entry in answer.entries:
        fleet.checker.discovery_entry_received(relay, entry.name, entry.status, entry.since_ms > 0, now)
    if answer.snapshot:
        listed = {entry.name for entry in answer.entries}
        for name in fleet.servers:
            if name not in listed:
                fleet.checker.discovery_entry_received(relay, name, "left", False, now)


class DirectoryListener:
    """Discovery's listening socket."""

    def __init__(self, host: RelayHost, net: Net, machine: Machine, address: tuple[str, int]) -> None:
        self.host = host
        self.listener = net.listen(machine, address, 4096, self._accept)

    def _accept(self) -> None:
        while (end := self.listener.accept()) is not None:
            DirectoryEnd(self.host, end)
            end.notify_owner()


class ClientEnd(LineEnd):
    """A client's connection to a relay."""

    def __init__(self, host: RelayHost, client: Client, backend: RelayBackend, end: End, initial_server: str) -> None:
        super().__init__(end)
        self.host, self.client, self.backend = host, client, backend
        self.id = client.id
        self.answered = self.established = self.moved = False
        self.last_sent = self.last_received = 0
        self.timer: ScheduledCall | None = None
        cls = client.class_settings
        deadline_ns = INITIAL_DEADLINE_NS if initial_server else cls.deadline
        fields = f"c={cls.name},d={int(deadline_ns // MS)}" + (f",g={client.group}" if client.group else "")
        fields += f",t={client.population.day.tenant[client.tenant].name}" if client.population.day.tenant else ""
        fields += (",again=1" if client.was_connected else "") + (f",at={initial_server}" if initial_server else "")
        self.is_initial = bool(initial_server)
        self.write_line(f"OPEN {self.id} {client.key} {fields}".encode())

    def on_line(self, line: bytes) -> None:
        """Handle a line of the relay."""
        word, _, rest = line.partition(b" ")
        if self.established:
            self._on_server_line(word, rest)
        elif word == b"UP":
            self._on_up()
        else:
            self._on_answer(word, rest)

    def on_end(self, was_broken: bool) -> None:
        """Handle the end of the connection by the relay."""
        self._stop_messages()
        self.host.client_ends.pop(self.id, None)
        client = self.client
        if client.id != self.id or client.finished or self.moved:
            return
        if self.answered and not self.established:
            return
        if self.established:
            is_held = self.host.is_held(self.id)
            if not self.host.alive(self.backend):
                client.on_broken(True)
            else:
                self.host.fleet.checker.connection_cut(self.id, is_held, self.host.fleet.kernel.now)
                client.on_broken()
        elif self.host.alive(self.backend) and self.host.has_started(self.backend):
            client.on_failed()  # closed without an answer
        else:
            client.on_broken(True)

    def leave(self) -> None:
        """Close the connection because the client leaves."""
        self._stop_messages()
        self.host.client_ends.pop(self.id, None)
        self.close()

    def _on_up(self) -> None:
        self.answered = self.established = True
        client = self.client
        if client.id != self.id:
            return
        if self.is_initial:
            self.host.fleet.checker.answer_received(self.id, self.host.fleet.kernel.now, "UP")
            client.pending, client.connected, client.was_connected = False, True, True
            client.schedule_finish()
        else:
            client.on_connected()
        self._send_message()

    def _on_answer(self, word: bytes, rest: bytes) -> None:
        if self.client.id != self.id:
            return
        if self.answered:
            self.host.fleet.checker.answer_received(self.id, self.host.fleet.kernel.now, word.decode())
            return
        self.answered = True
        if word == b"BUSY":
            self.client.on_refused(int(rest or 0) * MS)
        elif self.is_initial:
            self.client.on_broken(True)
        else:
            self.client.on_failed()

    def _on_server_line(self, word: bytes, rest: bytes) -> None:
        if word == b"MOVE":
            self.moved = True
            self._stop_messages()
            by_server = self.id in self.host.sent_away
            self.host.sent_away.discard(self.id)
            self.host.fleet.service.count("sent_away" if by_server else "moves", self.host.fleet.kernel.now)
            self.client.on_moved()
        elif word == b"SAME":
            number = int(rest)
            self.host.fleet.checker.line_received(
                self.id, self.host.fleet.kernel.now, 0, number == self.last_received + 1
            )
            self.last_received = number

    def _send_message(self) -> None:
        """Send a line, and schedule the next."""
        if self.has_ended or not self.established:
            return
        self.last_sent += 1
        self.write_line(b"LINE %d" % self.last_sent)
        self.timer = self.host.fleet.kernel.after(MESSAGE_INTERVAL_NS, self._send_message)

    def _stop_messages(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class InvalidClientEnd(LineEnd):
    """A client that sends an invalid request; the relay has to answer or close it within its time."""

    def __init__(self, end: End, data: bytes) -> None:
        super().__init__(end)
        if data:
            end.send(data)

    def on_line(self, line: bytes) -> None:
        """Handle the relay's answer: close the connection."""
        self.close()
