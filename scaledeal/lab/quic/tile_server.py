"""A stand-in tile server that speaks QUIC and gives its connections ids that route (QUIC-LB)."""

from __future__ import annotations

import datetime
import secrets
from enum import Enum
from functools import cache
from typing import Any

from aioquic._buffer import Buffer
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicPacketType, pull_quic_header
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256

from scaledeal.lab.loop import Loop
from scaledeal.lab.quic.checker import Record, server_initial
from scaledeal.lab.quic.datagrams import Source, received, udp
from scaledeal.quic.ids import tokens
from scaledeal.quic.ids.keys import KeyRing
from scaledeal.quic.ids.servers import server_id

ALPN = ["tiles"]


class Habit(Enum):
    """How a server behaves towards what is new."""

    SOUND = 1
    HUNG = 2  # takes datagrams and answers none, old or new
    REFUSING = 3  # closes with CONNECTION_REFUSED
    FAILING = 4  # closes with INTERNAL_ERROR
    ACKING = 5  # acknowledges the first Initial and says nothing else


@cache
def _certificate() -> tuple[Any, Any]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "tiles.example")])
    now = datetime.datetime.now(datetime.UTC)
    made = x509.CertificateBuilder(
        name, name, key.public_key(), x509.random_serial_number(), now, now + datetime.timedelta(days=2)
    ).sign(key, SHA256())
    return made, key


class RoutedConnection(QuicConnection):
    """A connection whose ids say which server it is at."""

    def __init__(self, server: TileServer, odcid: bytes, retry_scid: bytes | None) -> None:
        ring = server.ring
        self.codec = ring.codecs()[ring.active.number]
        self.sid = server_id(server.name, self.codec.config.server_id_length)
        self.reset_key = ring.secret("reset_key")
        certificate, key = _certificate()
        super().__init__(
            configuration=QuicConfiguration(
                is_client=False,
                alpn_protocols=ALPN,
                certificate=certificate,
                private_key=key,
                connection_id_length=self.codec.config.length,
                idle_timeout=60.0,
            ),
            original_destination_connection_id=odcid,
            retry_source_connection_id=retry_scid,
        )
        first = self._new_id(0)
        first.was_sent = True
        self._host_cids = [first]
        self.host_cid = self._local_initial_source_connection_id = first.cid

    def _new_id(self, number: int) -> QuicConnectionId:
        cid = self.codec.new(self.sid)
        return QuicConnectionId(
            cid=cid, sequence_number=number, stateless_reset_token=tokens.reset_token(self.reset_key, cid)
        )

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            self._host_cids.append(self._new_id(self._host_cid_seq))
            self._host_cid_seq += 1

    @property
    def ids(self) -> list[bytes]:
        """Return the ids that are its own now."""
        return [each.cid for each in self._host_cids]


class TileServer:
    """Echoes lines: ``ask N`` comes back as ``NAME N``; owns its UDP socket."""

    def __init__(self, loop: Loop, name: str, ring: KeyRing, record: Record, port: int = 0) -> None:
        self.loop = loop
        self.name = name
        self.ring = ring
        self.record = record
        self.habit = Habit.SOUND
        self.sock = udp(port=port)
        loop.read(self.sock, self._read)
        self.connections: list[RoutedConnection] = []
        self.by_odcid: dict[tuple[Source, bytes], RoutedConnection] = {}
        self.sources: dict[RoutedConnection, list[Source]] = {}  # where each was heard from, in order
        self.lines: list[tuple[RoutedConnection, str]] = []

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def move_to(self, port: int = 0) -> None:
        """Go on at another address, with all connections."""
        self.loop.forget(self.sock)
        self.sock = udp(port=port)
        self.loop.read(self.sock, self._read)

    def stop(self) -> None:
        """Be gone, with everything."""
        self.loop.forget(self.sock)
        self.connections, self.by_odcid = [], {}

    def rotate(self) -> None:
        """Use another of each client's ids from now on."""
        for connection in self.connections:
            connection.change_connection_id()
            self._flush(connection)

    def _read(self) -> None:
        for datagram, source, at in received(self.sock):
            self.record.at_server(self.name, datagram, at)
            if self.habit is not Habit.HUNG:
                self._take(datagram, source)

    def _take(self, datagram: bytes, source: Source) -> None:
        length = {each.number: each.config().length for each in self.ring.configs}.get(datagram[1] >> 5, 8)
        try:
            header = pull_quic_header(Buffer(data=datagram), host_cid_length=length)
        except ValueError:
            return
        connection = self._find(header.destination_cid, source)
        if connection is None and header.packet_type is QuicPacketType.INITIAL and len(datagram) >= 1200:
            connection = self._new(header, source)
        if connection is None:
            return
        heard = self.sources.setdefault(connection, [])
        if not heard or heard[-1] != source:
            heard.append(source)
        connection.receive_datagram(datagram, source, now=self.loop.now())
        self._flush(connection)

    def _find(self, cid: bytes, source: Source) -> RoutedConnection | None:
        found = next((each for each in self.connections if cid in each.ids), None)
        return found or self.by_odcid.get((source, cid))

    def _new(self, header: Any, source: Source) -> RoutedConnection | None:
        odcid, retry_scid = header.destination_cid, None
        if header.token:
            told = tokens.decrypt(self.ring.secret("retry_key"), header.token)
            if told is not None:
                odcid, retry_scid = told.original_dcid, told.retry_scid
        connection = RoutedConnection(self, odcid, retry_scid)
        if self.habit in (Habit.REFUSING, Habit.FAILING):
            self._turn_away(header, source)
            return None
        if self.habit is Habit.ACKING:
            self._acknowledge(header, source)
            return None
        self.connections.append(connection)
        self.by_odcid[source, header.destination_cid] = connection
        return connection

    def _turn_away(self, header: Any, source: Source) -> None:
        code = 2 if self.habit is Habit.REFUSING else 1
        self.sock.sendto(server_initial(header, bytes((0x1C, code, 0, 0)), secrets.token_bytes(8)), source)

    def _acknowledge(self, header: Any, source: Source) -> None:
        self.sock.sendto(server_initial(header, bytes((2, 0, 0, 0, 0)), secrets.token_bytes(8)), source)

    def _flush(self, connection: RoutedConnection) -> None:
        while (event := connection.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived):
                for line in event.data.decode().splitlines():
                    self.lines.append((connection, line))
                    answer = f"{self.name} {line.removeprefix('ask ')}\n"
                    connection.send_stream_data(event.stream_id, answer.encode())
            elif isinstance(event, events.ConnectionTerminated) and connection in self.connections:
                self.connections.remove(connection)
        for datagram, source in connection.datagrams_to_send(now=self.loop.now()):
            if self.sock.fileno() >= 0:
                self.sock.sendto(datagram, source)
        self._arm(connection)

    def _arm(self, connection: RoutedConnection) -> None:
        due = connection.get_timer()
        if due is not None and connection in self.connections:
            self.loop.at(due, lambda: self._due(connection, due))

    def _due(self, connection: RoutedConnection, due: float) -> None:
        if connection.get_timer() == due and connection in self.connections and self.habit is not Habit.HUNG:
            connection.handle_timer(now=self.loop.now())
            self._flush(connection)
