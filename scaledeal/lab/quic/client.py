"""A scripted QUIC client: it asks in lines, changes its address and its ids, and mangles what it sends."""

from __future__ import annotations

import ssl
from collections.abc import Callable

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from scaledeal.lab.loop import Loop
from scaledeal.lab.quic.checker import Record
from scaledeal.lab.quic.datagrams import Source, received, udp
from scaledeal.lab.quic.tile_server import ALPN

Mangle = Callable[[list[bytes]], list[bytes]]


class Client:
    """One connection, from its first Initial to its end; owns its UDP socket."""

    def __init__(
        self,
        loop: Loop,
        relay: Source,
        record: Record,
        server_name: str = "maps.example",
        mangle: Mangle | None = None,
        protocols: list[str] | None = None,
        host: str = "127.0.0.1",
        patience: float = 8.0,
    ) -> None:
        self.loop = loop
        self.relay = relay
        self.record = record
        self.host = host
        self.mangle = mangle
        self.sock = udp(host)
        loop.read(self.sock, self._read)
        self.connection = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=protocols or ALPN,
                server_name=server_name,
                verify_mode=ssl.CERT_NONE,
                idle_timeout=patience,
            )
        )
        self.dcid = self.connection.original_destination_connection_id
        self.up = False
        self.reset = False  # a stateless reset came
        self.closed: events.ConnectionTerminated | None = None
        self.answers: list[str] = []  # lines that came back
        self._text = ""
        self._asked = 0
        self._stream = -1
        self.connection.connect(relay, now=loop.now())
        self._flush()

    # What the script does

    def ask(self) -> int:
        """Ask a line on the one stream; return how many answers there will be once this one has come."""
        if self._stream < 0:
            self._stream = self.connection.get_next_available_stream_id()
        self._asked += 1
        self.connection.send_stream_data(self._stream, f"ask {self._asked}\n".encode())
        self._flush()
        return self._asked

    def asked(self) -> str:
        """Ask, wait for the answer, and return which server gave it."""
        count = self.ask()
        self.loop.until(lambda: len(self.answers) >= count or self.over, f"answer {count} of {self.dcid.hex()}")
        assert not self.over, f"over: reset {self.reset}, {self.closed}"
        name, number = self.answers[count - 1].split()
        assert int(number) == count, f"answer {number} in place of {count}"
        return name

    def until_up(self) -> Client:
        """Wait until the connection stands."""
        self.loop.until(lambda: self.up or self.over, f"{self.dcid.hex()} up")
        assert self.up, f"over: {self.closed}"
        return self

    def until_over(self) -> Client:
        """Wait until it is refused, failed, reset or has given up."""
        self.loop.until(lambda: self.over, f"{self.dcid.hex()} over")
        return self

    @property
    def over(self) -> bool:
        """Tell whether nothing more will come."""
        return self.closed is not None or self.reset

    def change_address(self, host: str | None = None) -> None:
        """Go on from another socket, as after leaving the building's network."""
        self.loop.forget(self.sock)
        self.sock = udp(host or self.host)
        self.loop.read(self.sock, self._read)

    def rotate(self) -> None:
        """Use another of the server's ids from now on."""
        before = self.connection._peer_cid.cid
        self.connection.change_connection_id()
        assert self.connection._peer_cid.cid != before, "the server gave no further id"
        self._flush()

    def leave(self) -> None:
        """Close the connection."""
        self.connection.close()
        self._flush()

    def last_datagram(self, ping: int = 1) -> bytes:
        """Return a datagram that would be sent now, without sending it."""
        self.connection.send_ping(ping)
        return self.connection.datagrams_to_send(now=self.loop.now())[0][0]

    # Inside

    def _read(self) -> None:
        for datagram, source, _ in received(self.sock):
            if source != self.relay:
                continue
            self.record.at_client(self.dcid, datagram)
            if self._is_reset(datagram):
                self.reset = True
                return
            self.connection.receive_datagram(datagram, self.relay, now=self.loop.now())
        self._flush()

    def _is_reset(self, datagram: bytes) -> bool:
        """Look for a stateless reset, which aioquic does not (RFC 9000 section 10.3.1)."""
        ids = [self.connection._peer_cid, *self.connection._peer_cid_available]
        known = {each.stateless_reset_token for each in ids if each.stateless_reset_token}
        return len(datagram) >= 21 and not datagram[0] & 0x80 and datagram[-16:] in known

    def _flush(self) -> None:
        while (event := self.connection.next_event()) is not None:
            if isinstance(event, events.HandshakeCompleted):
                self.up = True
            elif isinstance(event, events.ConnectionTerminated):
                self.closed = event
            elif isinstance(event, events.StreamDataReceived):
                *lines, self._text = (self._text + event.data.decode()).split("\n")
                self.answers += lines
        out = [datagram for datagram, _ in self.connection.datagrams_to_send(now=self.loop.now())]
        for datagram in self.mangle(out) if self.mangle is not None else out:
            self.sock.sendto(datagram, self.relay)
        due = self.connection.get_timer()
        if due is not None:
            self.loop.at(due, lambda: self._due(due))

    def _due(self, due: float) -> None:
        if self.connection.get_timer() == due and not self.reset:
            self.connection.handle_timer(now=self.loop.now())
            self._flush()
