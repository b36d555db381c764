"""Stand-ins that speak lines and the extension of resumable sessions: a tile server and a client that count all lines.

The client checks for itself what it is owed: its lines applied once and in order, the server's lines once and in order,
one final answer. It knows nothing of the relay but what comes over its socket.
"""

from __future__ import annotations

import secrets
import socket
from base64 import urlsafe_b64decode
from enum import Enum

from scaledeal.lab.loop import Loop
from scaledeal.resume.core.lines import Inbox, LineVerdict, NumberedLine, Outbox, format_line, parse_line
from scaledeal.resume.core.token import commitment_to, encode_base64url
from scaledeal.resume.wire.words import encode_state


class Habit(Enum):
    """How a server behaves."""

    SOUND = 1
    HUNG = 2  # reads, and says nothing
    BUSY = 3  # turns everybody away
    MOVES = 4  # sends each new connection away as soon as it is up
    PLAIN = 5  # knows nothing of the extension


class _Link:
    """Lines on one socket."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop, self.sock, self.part = loop, sock, b""
        sock.setblocking(False)
        loop.read(sock, self._read)

    @property
    def open(self) -> bool:
        return self.sock.fileno() >= 0

    def send(self, *lines: bytes) -> None:
        if self.open:
            try:
                self.sock.sendall(b"".join(line + b"\r\n" for line in lines))
            except OSError:
                self.close()

    def close(self) -> None:
        if self.open:
            self.loop.forget(self.sock)
            self.ended()

    def _read(self) -> None:
        try:
            data = self.sock.recv(65_536)
        except OSError:
            data = b""
        *lines, self.part = (self.part + data).split(b"\r\n")
        for line in lines:
            if self.open:
                self.came(line)
        if not data:
            self.close()

    def came(self, line: bytes) -> None:
        raise NotImplementedError

    def ended(self) -> None:
        """Hear that it is closed."""


class Seat(_Link):
    """One connection at a server."""

    def __init__(self, server: LineServer, sock: socket.socket) -> None:
        super().__init__(server.loop, sock)
        self.server = server
        self.first = b""
        self.session = ""
        self.inbox, self.sent = Inbox(), 0
        self.state: list[str] = []  # the client's lines, in the order of their being applied

    def came(self, line: bytes) -> None:
        """Take a line of the relay's."""
        self.server.got.append(line)
        if not self.first:
            self._open(line)
        elif self.server.habit is Habit.HUNG:
            return
        elif not self.session:
            self.send(b"echo " + line)
        elif (read := parse_line(line)) is not None and read.number:
            self._line(read)

    def _open(self, line: bytes) -> None:
        self.first = line
        habit = self.server.habit
        if habit is Habit.HUNG:
            return
        if habit is Habit.BUSY:
            self.send(b"BUSY")
            self.close()
            return
        names = dict(pair.split("=", 1) for pair in line.decode().split(" ")[3].split(","))
        if "rs" not in names or habit is Habit.PLAIN:
            self.send(b"UP r-1")
            return
        self.session = names["rs"]
        self.inbox, self.sent = Inbox(int(names["at"])), int(names["sent"])
        raw = names.get("state", "")
        self.state = urlsafe_b64decode(raw + "=" * (-len(raw) % 4)).decode().split("|") if raw else []
        self.send(b"UP r-1 rs=1")
        if habit is Habit.MOVES:
            self.send(b"MOVE")
            self.close()

    def _line(self, read: NumberedLine) -> None:
        take = self.inbox.classify(read.number)
        if take is LineVerdict.GAP:
            self.close()
            return
        if take is LineVerdict.DUPLICATE:
            self.send(b"+%d" % self.inbox.last_applied)
            return
        self.inbox.mark_applied(read.number)
        self.state = [*self.state[-63:], read.text.decode()]  # bounded, as a state must be
        self.server.applied.append((self.session, read.number))
        self.sent += 1
        echo = format_line(NumberedLine(self.sent, self.inbox.last_applied, b"echo " + read.text))
        self.send(b"KEEP " + encode_state("|".join(self.state).encode()).encode() + self._padding(), echo)
        if read.text == b"done":
            self.send(b"BYE")
            self.close()

    def _padding(self) -> bytes:
        return b"=" * (-len(encode_state("|".join(self.state).encode())) % 4)

    def ended(self) -> None:
        """Give the seat up."""
        self.server.seats.discard(self)


class LineServer:
    """A tile server; owns its listening socket and its connections."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name, self.habit = loop, name, Habit.SOUND
        self.seats: set[Seat] = set()
        self.got: list[bytes] = []
        self.applied: list[tuple[str, int]] = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        loop.read(self.sock, self._accept)

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def _accept(self) -> None:
        self.seats.add(Seat(self, self.sock.accept()[0]))

    def drain(self) -> None:
        """Send all clients away at once."""
        for seat in list(self.seats):
            seat.send(b"MOVE")
            seat.close()

    def stop(self) -> None:
        """Be dead, with all connections."""
        self.loop.forget(self.sock)
        for seat in list(self.seats):
            seat.close()


class LineClient:
    """A client with a resumable session; ``link`` is its present connection."""

    def __init__(self, loop: Loop, port: int, offers: bool = True, request_class: str = "overlay") -> None:
        self.loop, self.port, self.offers, self.request_class = loop, port, offers, request_class
        self.token = ""
        self.secret = b""  # opens the token
        self.last = b""  # the last one committed to; it opens what a resume that was never answered has been granted
        self.outbox, self.inbox = Outbox(), Inbox()
        self.lines: list[bytes] = []  # the server's, as their text
        self.byes = 0
        self.ups = 0
        self.words: list[bytes] = []  # every answer that is no numbered line
        self.link: _ClientLink | None = None
        self.come()

    def come(self, token: str = "", port: int = 0) -> _ClientLink:
        """Open a connection: a new session, or a resume with the token."""
        self.port = port or self.port
        fresh, before = secrets.token_bytes(32), self.last
        names = f"c={self.request_class},d=1200,g=sheet"
        if self.offers and not token:
            names += f",rs=1,rc={encode_base64url(commitment_to(fresh))}"
            self.secret = fresh
        elif token:
            opened = encode_base64url(self.secret) + (
                f".{encode_base64url(before)}" if before not in (b"", self.secret) else ""
            )
            names += (
                f",again=1,rs={token},op={opened},rc={encode_base64url(commitment_to(fresh))}"
                f",seen={self.inbox.last_applied}"
            )
        self.last = fresh
        self.link = _ClientLink(self, f"OPEN {secrets.token_hex(8)} key {names}".encode())
        return self.link

    def resume(self, port: int = 0) -> _ClientLink:
        """Come again with the token."""
        assert self.token, "nothing to resume with"
        return self.come(self.token, port)

    def say(self, text: str) -> None:
        """Say a line, once the connection is up, and keep it until it is acknowledged."""
        number = self.outbox.append(text.encode())
        if self.link is not None and self.link.up:
            self.link.send(format_line(NumberedLine(number, self.inbox.last_applied, text.encode())))

    def took(self, line: bytes) -> None:
        """Take a numbered line of the server's."""
        read = parse_line(line)
        assert read is not None and self.outbox.acknowledge(read.acknowledged), line
        if read.number and self.inbox.classify(read.number) is LineVerdict.APPLY:
            self.inbox.mark_applied(read.number)
            self.lines.append(read.text)
        elif read.number:
            assert self.inbox.classify(read.number) is not LineVerdict.GAP, f"a line is missing before {line!r}"

    def heard_up(self, link: _ClientLink, line: bytes) -> None:
        """Take an UP, and say again what is not applied yet."""
        names = dict(word.split("=", 1) for word in line.decode().split(" ")[2:])
        link.up = True
        self.ups += 1
        if "rs" in names:
            self.renew(names["rs"])
            applied = int(names["at"])
            assert self.outbox.acknowledge(applied)
            again = self.outbox.lines_after(applied)
            assert again is not None, "lines that are neither applied nor kept"
            link.send(*(format_line(NumberedLine(number, self.inbox.last_applied, text)) for number, text in again))

    def renew(self, token: str) -> None:
        """Take a new token: what was last committed to opens it."""
        self.token, self.secret = token, self.last


class _ClientLink(_Link):
    """One connection of a client's."""

    def __init__(self, client: LineClient, first: bytes) -> None:
        super().__init__(client.loop, socket.create_connection(("127.0.0.1", client.port)))
        self.client, self.up, self.over, self.words = client, False, False, list[bytes]()
        self.send(first)

    def came(self, line: bytes) -> None:
        word = line.partition(b" ")[0]
        if line[:1] in (b"#", b"+"):
            self.client.took(line)
            return
        self.words.append(line)
        self.client.words.append(line)
        if word == b"UP":
            self.client.heard_up(self, line)
        elif word == b"BYE":
            self.client.byes += 1
        elif b" rs=" in line:
            self.client.renew(line.partition(b" rs=")[2].decode())

    def ended(self) -> None:
        self.over = True
