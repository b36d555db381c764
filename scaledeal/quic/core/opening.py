"""The beginning of a flow: its first datagrams, until the ClientHello in them is whole."""

from __future__ import annotations

from scaledeal.quic.wire import frames, hello
from scaledeal.quic.wire.buffer import MalformedError
from scaledeal.quic.wire.packet import Packet, PacketType, parse_coalesced
from scaledeal.quic.wire.protection import InitialKeys

MOST_DATAGRAMS = 12
MOST_BYTES = 24_576


class Opening:
    """The datagrams that a server is to get, in the order of their coming, and what they say."""

    def __init__(self, version: int, dcid: bytes) -> None:
        self.version = version
        self.dcid = dcid
        self.keys = InitialKeys(version, dcid)
        self.scid = b""
        self.stream = hello.CryptoStream()
        self.hello: hello.ClientHello | None = None
        self.datagrams: list[bytes] = []
        self.held = 0  # bytes of them
        self.number = -1  # the largest packet number that the client has used

    def add(self, datagram: bytes, first: Packet | None = None) -> bool:
        """Take a datagram; tell whether the ClientHello is whole by now.

        Raise MalformedError where nothing in it opens or its content is none; nothing of it is kept then.
        """
        packets = [p for p in parse_coalesced(datagram, first) if p.version == self.version and p.dcid == self.dcid]
        initials = [p for p in packets if p.packet_type is PacketType.INITIAL]
        for packet in initials:
            self._read(datagram, packet)
        if initials or any(p.packet_type is PacketType.ZERO_RTT for p in packets):
            self._keep(datagram)
        return self.hello is not None

    def _read(self, datagram: bytes, packet: Packet) -> None:
        number, payload = self.keys.client.open(datagram, packet)
        heard = frames.parse_initial_payload(payload)
        if self.scid and packet.scid != self.scid:
            raise MalformedError("another source id")
        self.number, self.scid = max(self.number, number), packet.scid
        if heard.close is not None:
            raise MalformedError("closed by its client")
        for piece in heard.crypto:
            self.stream.add(piece)
        if self.hello is None and (body := hello.client_hello_body(self.stream.contiguous_prefix())) is not None:
            self.hello = hello.parse_client_hello(body)

    def _keep(self, datagram: bytes) -> None:
        # Guards against repeats that push out what the server needs, and against a flood in one flow's name.
        room = len(self.datagrams) < MOST_DATAGRAMS and self.held + len(datagram) <= MOST_BYTES
        if room and datagram not in self.datagrams:
            self.datagrams.append(datagram)
            self.held += len(datagram)
