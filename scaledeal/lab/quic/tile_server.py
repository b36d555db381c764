"""A test tile server that speaks QUIC and issues routable connection ids (QUIC-LB)."""

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
from scaledeal.lab.quic.checker import TrafficRecord, server_initial
from scaledeal.lab.quic.datagrams import Source, receive_pending, udp_socket
from scaledeal.quic.ids import tokens
from scaledeal.quic.ids.keys import KeyRing
from scaledeal.quic.ids.servers import server_id

ALPN = ["tiles"]


class Behaviour(Enum):
    """How a server handles datagrams; all but HUNG affect new connections only."""

    HEALTHY = 1
    HUNG = 2  # receives datagrams and answers none, on existing connections as well
    REFUSING = 3  # closes with CONNECTION_REFUSED
    FAILING = 4  # closes with INTERNAL_ERROR
    ACK_ONLY = 5  # acknowledges the first Initial and sends nothing else


@cache
def _certificate() -> tuple[Any, Any]:
    """Return a self-signed certificate and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "tiles.example")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = x509.CertificateBuilder(
        name, name, key.public_key(), x509.random_serial_number(), now, now + datetime.timedelta(days=2)
    ).sign(key, SHA256())
    return certificate, key


class RoutedConnection(QuicConnection):
    """A server connection whose ids encode its server's id."""

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

    def _new_id(self, sequence_number: int) -> QuicConnectionId:
        cid = self.codec.new(self.sid)
        return QuicConnectionId(
            cid=cid, sequence_number=sequence_number, stateless_reset_token=tokens.reset_token(self.reset_key, cid)
        )

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            self._host_cids.append(self._new_id(self._host_cid_seq))
            self._host_cid_seq += 1

    @property
    def ids(self) -> list[bytes]:
        """Return the connection's own ids that are in use now."""
        return [host_cid.cid for host_cid in self._host_cids]


class TileServer:
    """Answers the line ``ask N`` with ``NAME N``; owns its UDP socket."""

    def __init__(self, loop: Loop, name: str, ring: KeyRing, record: TrafficRecord, port: int = 0) -> None:
        self.loop = loop
        self.name = name
        self.ring = ring
        self.record = record
        self.behaviour = Behaviour.HEALTHY
        self.sock = udp_socket(port=port)
        loop.add_reader(self.sock, self._read)
        self.connections: list[RoutedConnection] = []
        self.by_odcid: dict[tuple[Source, bytes], RoutedConnection] = {}
        self.sources: dict[RoutedConnection, list[Source]] = {}  # each connection's client addresses, in order of use
        self.lines: list[tuple[RoutedConnection, str]] = []

    @property
    def address(self) -> str:
        """Return the address it listens on, as HOST:PORT."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def rebind(self, port: int = 0) -> None:
        """Continue at another port, with all connections."""
        self.loop.remove(self.sock)
        self.sock = udp_socket(port=port)
        self.loop.add_reader(self.sock, self._read)

    def stop(self) -> None:
        """Stop listening and drop all connections without closing them."""
        self.loop.remove(self.sock)
        self.connections, self.by_odcid = [], {}

    def rotate(self) -> None:
        """Switch every connection to another id that its client issued."""
        for connection in self.connections:
            connection.change_connection_id()
            self._flush(connection)

    def _read(self) -> None:
        for datagram, source, received_at_ns in receive_pending(self.sock):
            self.record.add_server_datagram(self.name, datagram, received_at_ns)
            if self.behaviour is not Behaviour.HUNG:
                self._handle_datagram(datagram, source)

    def _handle_datagram(self, datagram: bytes, source: Source) -> None:
        length = {entry.number: entry.config().length for entry in self.ring.configs}.get(datagram[1] >> 5, 8)
        try:
            header = pull_quic_header(Buffer(data=datagram), host_cid_length=length)
        except ValueError:
            return
        connection = self._find_connection(header.destination_cid, source)
        if connection is None and header.packet_type is QuicPacketType.INITIAL and len(datagram) >= 1200:
            connection = self._accept(header, source)
        if connection is None:
            return
        sources = self.sources.setdefault(connection, [])
        if not sources or sources[-1] != source:
            sources.append(source)
        connection.receive_datagram(datagram, source, now=self.loop.now())
        self._flush(connection)

    def _find_connection(self, cid: bytes, source: Source) -> RoutedConnection | None:
        connection = next((known for known in self.connections if cid in known.ids), None)
        return connection or self.by_odcid.get((source, cid))

    def _accept(self, header: Any, source: Source) -> RoutedConnection | None:
        """Return a new connection for a client's Initial; None if the server's behaviour is not to serve it."""
        odcid, retry_scid = header.destination_cid, None
        if header.token:
            retry_token = tokens.decrypt(self.ring.secret("retry_key"), header.token)
            if retry_token is not None:
                odcid, retry_scid = retry_token.original_dcid, retry_token.retry_scid
        connection = RoutedConnection(self, odcid, retry_scid)
        if self.behaviour in (Behaviour.REFUSING, Behaviour.FAILING):
            self._send_close(header, source)
            return None
        if self.behaviour is Behaviour.ACK_ONLY:
            self._send_ack(header, source)
            return None
        self.connections.append(connection)
        self.by_odcid[source, header.destination_cid] = connection
        return connection

    def _send_close(self, header: Any, source: Source) -> None:
        code = 2 if self.behaviour is Behaviour.REFUSING else 1
        self.sock.sendto(server_initial(header, bytes((0x1C, code, 0, 0)), secrets.token_bytes(8)), source)

    def _send_ack(self, header: Any, source: Source) -> None:
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
        self._arm_timer(connection)

    def _arm_timer(self, connection: RoutedConnection) -> None:
        due = connection.get_timer()
        if due is not None and connection in self.connections:
            self.loop.call_at(due, lambda: self._on_timer(connection, due))

    def _on_timer(self, connection: RoutedConnection, due: float) -> None:
        if connection.get_timer() == due and connection in self.connections and self.behaviour is not Behaviour.HUNG:
            connection.handle_timer(now=self.loop.now())
            self._flush(connection)
