"""A tile server and a client that speak lines and the resume extension, and count all lines, for tests and benchmarks.

The client checks the guarantees of a session by itself: its lines are applied once and in order, the server's lines
arrive once and in order, and there is one final answer. All it knows is what it receives from its socket.
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


class Behaviour(Enum):
    """How a server treats its connections."""

    NORMAL = 1
    HUNG = 2  # reads, and sends nothing
    BUSY = 3  # refuses every new connection
    MOVES = 4  # moves each new connection as soon as it is up
    NO_RESUME = 5  # does not know the extension


class _LineConnection:
    """Lines over one socket; a subclass handles them."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop, self.sock, self.partial_line = loop, sock, b""
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    @property
    def is_open(self) -> bool:
        return self.sock.fileno() >= 0

    def send(self, *lines: bytes) -> None:
        if self.is_open:
            try:
                self.sock.sendall(b"".join(line + b"\r\n" for line in lines))
            except OSError:
                self.close()

    def close(self) -> None:
        if self.is_open:
            self.loop.remove(self.sock)
            self.connection_closed()

    def _read(self) -> None:
        try:
            data = self.sock.recv(65_536)
        except OSError:
            data = b""
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        for line in lines:
            if self.is_open:
                self.line_received(line)
        if not data:
            self.close()

    def line_received(self, line: bytes) -> None:
        raise NotImplementedError

    def connection_closed(self) -> None:
        """Handle the end of the connection, from either side."""


class ServerConnection(_LineConnection):
    """One connection at a server."""

    def __init__(self, server: LineServer, sock: socket.socket) -> None:
        super().__init__(server.loop, sock)
        self.server = server
        self.open_line = b""
        self.session = ""
        self.inbox, self.last_sent = Inbox(), 0
        self.applied_texts: list[str] = []  # the client's last lines in the order of their application

    def line_received(self, line: bytes) -> None:
        """Process a line of the relay."""
        self.server.received_lines.append(line)
        if not self.open_line:
            self._accept(line)
        elif self.server.behaviour is Behaviour.HUNG:
            return
        elif not self.session:
            self.send(b"echo " + line)
        elif (numbered := parse_line(line)) is not None and numbered.number:
            self._apply(numbered)

    def _accept(self, line: bytes) -> None:
        self.open_line = line
        behaviour = self.server.behaviour
        if behaviour is Behaviour.HUNG:
            return
        if behaviour is Behaviour.BUSY:
            self.send(b"BUSY")
            self.close()
            return
        named_values = dict(pair.split("=", 1) for pair in line.decode().split(" ")[3].split(","))
        if "rs" not in named_values or behaviour is Behaviour.NO_RESUME:
            self.send(b"UP r-1")
            return
        self.session = named_values["rs"]
        self.inbox, self.last_sent = Inbox(int(named_values["at"])), int(named_values["sent"])
        state = named_values.get("state", "")
        self.applied_texts = urlsafe_b64decode(state + "=" * (-len(state) % 4)).decode().split("|") if state else []
        self.send(b"UP r-1 rs=1")
        if behaviour is Behaviour.MOVES:
            self.send(b"MOVE")
            self.close()

    def _apply(self, numbered: NumberedLine) -> None:
        verdict = self.inbox.classify(numbered.number)
        if verdict is LineVerdict.GAP:
            self.close()
            return
        if verdict is LineVerdict.DUPLICATE:
            self.send(b"+%d" % self.inbox.last_applied)
            return
        self.inbox.mark_applied(numbered.number)
        self.applied_texts = [*self.applied_texts[-63:], numbered.text.decode()]  # a state is limited in size
        self.server.applied.append((self.session, numbered.number))
        self.last_sent += 1
        echo = format_line(NumberedLine(self.last_sent, self.inbox.last_applied, b"echo " + numbered.text))
        self.send(b"KEEP " + encode_state("|".join(self.applied_texts).encode()).encode() + self._padding(), echo)
        if numbered.text == b"done":
            self.send(b"BYE")
            self.close()

    def _padding(self) -> bytes:
        return b"=" * (-len(encode_state("|".join(self.applied_texts).encode())) % 4)

    def connection_closed(self) -> None:
        """Remove this connection from its server's."""
        self.server.connections.discard(self)


class LineServer:
    """A tile server; owns its listening socket and its connections."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name, self.behaviour = loop, name, Behaviour.NORMAL
        self.connections: set[ServerConnection] = set()
        self.received_lines: list[bytes] = []
        self.applied: list[tuple[str, int]] = []  # (session, line number) in the order of application
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        loop.add_reader(self.sock, self._accept)

    @property
    def address(self) -> str:
        """Return the address on which it listens."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def _accept(self) -> None:
        self.connections.add(ServerConnection(self, self.sock.accept()[0]))

    def drain(self) -> None:
        """Move all clients at once."""
        for connection in list(self.connections):
            connection.send(b"MOVE")
            connection.close()

    def stop(self) -> None:
        """Stop listening and close all connections, as a server that died."""
        self.loop.remove(self.sock)
        for connection in list(self.connections):
            connection.close()


class LineClient:
    """A client with a resumable session; ``connection`` is the latest one, and may be closed."""

    def __init__(self, loop: Loop, port: int, offers_resume: bool = True, request_class: str = "overlay") -> None:
        self.loop, self.port, self.offers_resume, self.request_class = loop, port, offers_resume, request_class
        self.token = ""
        self.secret = b""  # opens the token
        self.last_secret = b""  # last one committed to; opens the session if a resume was granted but not answered
        self.outbox, self.inbox = Outbox(), Inbox()
        self.server_lines: list[bytes] = []  # the texts of the server's numbered lines
        self.final_answers = 0
        self.up_count = 0
        self.unnumbered_lines: list[bytes] = []  # of all connections
        self.connection: _ClientConnection | None = None
        self.connect()

    def connect(self, token: str = "", port: int = 0) -> _ClientConnection:
        """Open a connection for a new session, or for a resume if a token is given; port 0 is the port used before."""
        self.port = port or self.port
        new_secret, previous_secret = secrets.token_bytes(32), self.last_secret
        named_values = f"c={self.request_class},d=1200,g=sheet"
        if self.offers_resume and not token:
            named_values += f",rs=1,rc={encode_base64url(commitment_to(new_secret))}"
            self.secret = new_secret
        elif token:
            opened = encode_base64url(self.secret) + (
                f".{encode_base64url(previous_secret)}" if previous_secret not in (b"", self.secret) else ""
            )
            named_values += (
                f",again=1,rs={token},op={opened},rc={encode_base64url(commitment_to(new_secret))}"
                f",seen={self.inbox.last_applied}"
            )
        self.last_secret = new_secret
        self.connection = _ClientConnection(self, f"OPEN {secrets.token_hex(8)} key {named_values}".encode())
        return self.connection

    def resume(self, port: int = 0) -> _ClientConnection:
        """Open a connection that resumes the session with its token."""
        assert self.token, "no token to resume with"
        return self.connect(self.token, port)

    def send_line(self, text: str) -> None:
        """Keep a line until it is acknowledged, and send it if the connection is up."""
        number = self.outbox.append(text.encode())
        if self.connection is not None and self.connection.up:
            self.connection.send(format_line(NumberedLine(number, self.inbox.last_applied, text.encode())))

    def handle_numbered(self, line: bytes) -> None:
        """Process a numbered line of the server; fail if one before it is missing."""
        numbered = parse_line(line)
        assert numbered is not None and self.outbox.acknowledge(numbered.acknowledged), line
        if numbered.number and self.inbox.classify(numbered.number) is LineVerdict.APPLY:
            self.inbox.mark_applied(numbered.number)
            self.server_lines.append(numbered.text)
        elif numbered.number:
            assert self.inbox.classify(numbered.number) is not LineVerdict.GAP, f"a line is missing before {line!r}"

    def handle_up(self, connection: _ClientConnection, line: bytes) -> None:
        """Process an UP: store its token, and send again the lines that are not applied yet."""
        named_values = dict(word.split("=", 1) for word in line.decode().split(" ")[2:])
        connection.up = True
        self.up_count += 1
        if "rs" in named_values:
            self.store_token(named_values["rs"])
            applied = int(named_values["at"])
            assert self.outbox.acknowledge(applied)
            unapplied = self.outbox.lines_after(applied)
            assert unapplied is not None, "lines that are neither applied nor kept"
            connection.send(
                *(format_line(NumberedLine(number, self.inbox.last_applied, text)) for number, text in unapplied)
            )

    def store_token(self, token: str) -> None:
        """Store a new token, which the secret that was last committed to opens."""
        self.token, self.secret = token, self.last_secret


class _ClientConnection(_LineConnection):
    """One connection of a client."""

    def __init__(self, client: LineClient, open_line: bytes) -> None:
        super().__init__(client.loop, socket.create_connection(("127.0.0.1", client.port)))
        self.client, self.up, self.closed, self.unnumbered_lines = client, False, False, list[bytes]()
        self.send(open_line)

    def line_received(self, line: bytes) -> None:
        word = line.partition(b" ")[0]
        if line[:1] in (b"#", b"+"):
            self.client.handle_numbered(line)
            return
        self.unnumbered_lines.append(line)
        self.client.unnumbered_lines.append(line)
        if word == b"UP":
            self.client.handle_up(self, line)
        elif word == b"BYE":
            self.client.final_answers += 1
        elif b" rs=" in line:
            self.client.store_token(line.partition(b" rs=")[2].decode())

    def connection_closed(self) -> None:
        self.closed = True
