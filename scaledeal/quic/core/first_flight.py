"""A client's first flight: the datagrams of a flow's set-up, until a server has answered."""

from __future__ import annotations

from scaledeal.quic.wire import frames, hello
from scaledeal.quic.wire.buffer import MalformedError
from scaledeal.quic.wire.packet import Packet, PacketType, parse_coalesced
from scaledeal.quic.wire.protection import InitialKeys

MAX_BUFFERED_DATAGRAMS = 12  # per flow
MAX_BUFFERED_BYTES = 24_576  # per flow


class FirstFlight:
    """The datagrams to send to a server, in order of arrival, and the ClientHello parsed from them."""

    def __init__(self, version: int, dcid: bytes) -> None:
        self.version = version
        self.dcid = dcid
        self.keys = InitialKeys(version, dcid)
        self.scid = b""
        self.crypto_stream = hello.CryptoStream()
        self.hello: hello.ClientHello | None = None
        self.datagrams: list[bytes] = []
        self.buffered_bytes = 0  # total size of ``datagrams``
        self.largest_packet_number = -1  # of the client's Initial packets; -1 before the first

    def add(self, datagram: bytes, first_packet: Packet | None = None) -> bool:
        """Add a datagram; return whether the ClientHello is complete.

        Raise MalformedError if an Initial in it can't be decrypted or has invalid content; the datagram is then not
        buffered.
        """
        packets = [
            candidate
            for candidate in parse_coalesced(datagram, first_packet)
            if candidate.version == self.version and candidate.dcid == self.dcid
        ]
        initials = [candidate for candidate in packets if candidate.packet_type is PacketType.INITIAL]
        for packet in initials:
            self._read_initial(datagram, packet)
        if initials or any(candidate.packet_type is PacketType.ZERO_RTT for candidate in packets):
            self._buffer(datagram)
        return self.hello is not None

    def _read_initial(self, datagram: bytes, packet: Packet) -> None:
        number, payload = self.keys.client.open(datagram, packet)
        parsed = frames.parse_initial_payload(payload)
        if self.scid and packet.scid != self.scid:
            raise MalformedError("another source id")
        self.largest_packet_number, self.scid = max(self.largest_packet_number, number), packet.scid
        if parsed.close is not None:
            raise MalformedError("closed by its client")
        for frame in parsed.crypto:
            self.crypto_stream.add(frame)
        if self.hello is None and (body := hello.client_hello_body(self.crypto_stream.contiguous_prefix())) is not None:
            self.hello = hello.parse_client_hello(body)

    def _buffer(self, datagram: bytes) -> None:
        # Repeated datagrams are not buffered: they would take the room of those that the server needs. The limits
        # bound what a flood with one flow's ids can fill.
        has_room = (
            len(self.datagrams) < MAX_BUFFERED_DATAGRAMS and self.buffered_bytes + len(datagram) <= MAX_BUFFERED_BYTES
        )
        if has_room and datagram not in self.datagrams:
            self.datagrams.append(datagram)
            self.buffered_bytes += len(datagram)
