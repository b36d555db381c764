"""A scripted QUIC client that sends line requests, changes its address and ids, and can alter its datagrams."""

from __future__ import annotations

import ssl
from collections.abc import Callable

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from scaledeal.lab.loop import Loop
from scaledeal.lab.quic.checker import TrafficRecord
from scaledeal.lab.quic.datagrams import Source, receive_pending, udp_socket
from scaledeal.lab.quic.tile_server import ALPN

# Takes the datagrams about to be sent; returns those to send instead
Mangle = Callable[[list[bytes]], list[bytes]]


class Client:
    """One connection, opened on construction; owns its UDP socket."""

    def __init__(
        self,
        loop: Loop,
        relay: Source,
        record: TrafficRecord,
        server_name: str = "maps.example",
        mangle: Mangle | None = None,
        protocols: list[str] | None = None,
        host: str = "127.0.0.1",
        idle_timeout_s: float = 8.0,
    ) -> None:
        self.loop = loop
        self.relay = relay
        self.record = record
        self.host = host
        self.mangle = mangle
        self.sock = udp_socket(host)
        loop.add_reader(self.sock, self._read)
        self.connection = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=protocols or ALPN,
                server_name=server_name,
                verify_mode=ssl.CERT_NONE,
                idle_timeout=idle_timeout_s,
            )
        )
        self.dcid = self.connection.original_destination_connection_id
        self.connected = False
        self.reset = False  # whether a stateless reset was received
        self.termination: events.ConnectionTerminated | None = None
        self.answers: list[str] = []  # lines received
        self._partial_line = ""
        self._requests = 0
        self._stream_id = -1
        self.connection.connect(relay, now=loop.now())
        self._flush()

    # Called by tests

    def send_request(self) -> int:
        """Send a request line on the only stream; return the number of requests sent so far."""
        if self._stream_id < 0:
            self._stream_id = self.connection.get_next_available_stream_id()
        self._requests += 1
        self.connection.send_stream_data(self._stream_id, f"ask {self._requests}\n".encode())
        self._flush()
        return self._requests

    def request(self) -> str:
        """Send a request, wait for its answer, and return the name of the server that gave it."""
        count = self.send_request()
        self.loop.run_until(lambda: len(self.answers) >= count or self.ended, f"answer {count} of {self.dcid.hex()}")
        assert not self.ended, f"connection ended: reset {self.reset}, {self.termination}"
        name, number = self.answers[count - 1].split()
        assert int(number) == count, f"answer {number} instead of {count}"
        return name

    def wait_connected(self) -> Client:
        """Wait for the handshake to complete; fail if the connection ends before. Return the client."""
        self.loop.run_until(lambda: self.connected or self.ended, f"{self.dcid.hex()} connected")
        assert self.connected, f"connection ended: {self.termination}"
        return self

    def wait_ended(self) -> Client:
        """Wait until the connection is refused, fails, is reset or times out. Return the client."""
        self.loop.run_until(lambda: self.ended, f"{self.dcid.hex()} ended")
        return self

    @property
    def ended(self) -> bool:
        """Return whether the connection was terminated or reset."""
        return self.termination is not None or self.reset

    def change_address(self, host: str | None = None) -> None:
        """Continue from another socket, like a device that changes networks."""
        self.loop.remove(self.sock)
        self.sock = udp_socket(host or self.host)
        self.loop.add_reader(self.sock, self._read)

    def rotate(self) -> None:
        """Switch to another connection id that the server issued."""
        previous = self.connection._peer_cid.cid
        self.connection.change_connection_id()
        assert self.connection._peer_cid.cid != previous, "the server issued no further connection id"
        self._flush()

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
        self._flush()

    def unsent_datagram(self, ping: int = 1) -> bytes:
        """Return a datagram with a PING that the connection would send now, without sending it."""
        self.connection.send_ping(ping)
        return self.connection.datagrams_to_send(now=self.loop.now())[0][0]

    # Internals

    def _read(self) -> None:
        for datagram, source, _ in receive_pending(self.sock):
            if source != self.relay:
                continue
            self.record.add_client_datagram(self.dcid, datagram)
            if self._is_reset(datagram):
                self.reset = True
                return
            self.connection.receive_datagram(datagram, self.relay, now=self.loop.now())
        self._flush()

    def _is_reset(self, datagram: bytes) -> bool:
        """Return whether a datagram is a stateless reset, which aioquic does not detect (RFC 9000 section 10.3.1)."""
        ids = [self.connection._peer_cid, *self.connection._peer_cid_available]
        reset_tokens = {cid.stateless_reset_token for cid in ids if cid.stateless_reset_token}
        return len(datagram) >= 21 and not datagram[0] & 0x80 and datagram[-16:] in reset_tokens

    def _flush(self) -> None:
        while (event := self.connection.next_event()) is not None:
            if isinstance(event, events.HandshakeCompleted):
                self.connected = True
            elif isinstance(event, events.ConnectionTerminated):
                self.termination = event
            elif isinstance(event, events.StreamDataReceived):
                *lines, self._partial_line = (self._partial_line + event.data.decode()).split("\n")
                self.answers += lines
        outgoing = [datagram for datagram, _ in self.connection.datagrams_to_send(now=self.loop.now())]
        for datagram in self.mangle(outgoing) if self.mangle is not None else outgoing:
            self.sock.sendto(datagram, self.relay)
        due = self.connection.get_timer()
        if due is not None:
            self.loop.call_at(due, lambda: self._on_timer(due))

    def _on_timer(self, due: float) -> None:
        if self.connection.get_timer() == due and not self.reset:
            self.connection.handle_timer(now=self.loop.now())
            self._flush()
