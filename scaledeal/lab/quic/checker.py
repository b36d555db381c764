"""Checks answers and attempts in the datagrams that peers received, parsed with aioquic.

Uses nothing of the relay, neither its log, its metrics nor its packet code, so that a fault there can't hide itself.
"""

from __future__ import annotations

from typing import Any

from aioquic._buffer import Buffer
from aioquic._crypto import CryptoError
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import QuicPacketType, pull_quic_header

# Frame types (RFC 9000 section 19)
_CONNECTION_CLOSE = 0x1C
_CRYPTO = 0x06


class Attempt:
    """One flow's attempt at one server; times are the Unix times of receipt by the kernel."""

    def __init__(self, server: str, started_at_ns: int) -> None:
        self.server = server
        self.started_at_ns = started_at_ns
        self.closed_at_ns = 0  # when the relay closed it; 0 while it is open


class TrafficRecord:
    """The attempts and answers of a test run, as received by servers and clients."""

    def __init__(self) -> None:
        self.attempts: dict[bytes, list[Attempt]] = {}
        self.answers: dict[bytes, set[str]] = {}
        self.last_attempt_at_ns: dict[str, int] = {}  # by server; Unix time
        self._retry_scids: dict[bytes, bytes] = {}  # after a Retry, a flow's Initial keys derive from its source id

    # Called by the peers

    def add_server_datagram(self, server: str, datagram: bytes, received_at_ns: int) -> None:
        """Record a datagram that `server` received at kernel time `received_at_ns` (Unix time)."""
        for header, payload in _decrypted_initials(datagram, False):
            attempts = self.attempts.setdefault(header.destination_cid, [])
            attempt = next((known for known in attempts if known.server == server), None)
            if _first_frame_type(payload) == _CONNECTION_CLOSE:
                if attempt is not None and not attempt.closed_at_ns:
                    attempt.closed_at_ns = received_at_ns
            elif attempt is None:
                attempts.append(Attempt(server, received_at_ns))
                self.last_attempt_at_ns[server] = received_at_ns

    def add_client_datagram(self, dcid: bytes, datagram: bytes) -> None:
        """Record the answer in a datagram that a client received, if it holds one; `dcid` is the flow's first id."""
        if not datagram or not datagram[0] & 0x80:
            return
        try:
            header = pull_quic_header(Buffer(data=datagram))
        except ValueError:
            return
        if header.packet_type is QuicPacketType.RETRY:
            self._retry_scids.setdefault(dcid, header.source_cid)  # not an answer: the client starts again with a token
            return
        for packet_header, payload in _decrypted_initials(datagram, True, self._retry_scids.get(dcid, dcid)):
            frame_type = _first_frame_type(payload)
            if frame_type == _CONNECTION_CLOSE:
                self.answers.setdefault(dcid, set()).add("closed")
            elif frame_type == _CRYPTO:
                self.answers.setdefault(dcid, set()).add(f"served by {packet_header.source_cid.hex()}")

    # Results

    def violations(self) -> list[str]:
        """Return a text for each violation: two final answers, over 6 attempts, or two attempts open at once."""
        violations = [f"{dcid.hex()}: two final answers" for dcid, answers in self.answers.items() if len(answers) > 1]
        for dcid, attempts in self.attempts.items():
            in_order = sorted(attempts, key=lambda attempt: attempt.started_at_ns)
            if len(in_order) > 6:
                violations.append(f"{dcid.hex()}: {len(in_order)} attempts")
            for earlier, later in zip(in_order, in_order[1:], strict=False):
                if not earlier.closed_at_ns or earlier.closed_at_ns > later.started_at_ns:
                    violations.append(f"{dcid.hex()}: attempts open at {earlier.server} and {later.server} at once")
        return violations

    def unanswered(self, dcids: list[bytes]) -> list[str]:
        """Return the ids (hexadecimal) of those flows in `dcids` that got no final answer."""
        return [dcid.hex() for dcid in dcids if dcid not in self.answers]


def server_initial(header: Any, frames: bytes, scid: bytes) -> bytes:
    """Return a protected server Initial with `frames` that answers the client Initial with `header`."""
    pair = CryptoPair()
    pair.setup_initial(header.destination_cid, is_client=False, version=header.version)
    payload = frames.ljust(24, b"\0")
    length = 4 + len(payload) + 16
    plain_header = (
        bytes((0xC3,))
        + header.version.to_bytes(4, "big")
        + bytes((len(header.source_cid),))
        + header.source_cid
        + bytes((len(scid),))
        + scid
        + b"\0"
        + (length | 0x4000).to_bytes(2, "big")
        + bytes(4)
    )
    return pair.encrypt_packet(plain_header, payload, 0)


def _decrypted_initials(datagram: bytes, from_server: bool, dcid: bytes | None = None) -> list[tuple[Any, bytes]]:
    """Return header and payload of each Initial packet in a datagram that can be decrypted.

    `dcid` is the id that the keys derive from, by default the packet's destination id.
    """
    found: list[tuple[Any, bytes]] = []
    buffer = Buffer(data=datagram)
    while not buffer.eof():
        start = buffer.tell()
        try:
            header = pull_quic_header(buffer, host_cid_length=8)
        except ValueError:
            break
        end = start + header.packet_length
        if header.packet_type is QuicPacketType.INITIAL and header.version is not None:
            pair = CryptoPair()
            pair.setup_initial(dcid or header.destination_cid, is_client=from_server, version=header.version)
            try:
                _, payload, _ = pair.decrypt_packet(datagram[start:end], buffer.tell() - start, 0)
                found.append((header, payload))
            except CryptoError:
                pass
        buffer.seek(end)
    return found


def _first_frame_type(payload: bytes) -> int:
    """Return the type of the first frame other than PADDING, PING and ACK; -1 if there is none."""
    buffer = Buffer(data=payload)
    while not buffer.eof():
        frame_type = buffer.pull_uint_var()
        if frame_type in (0x02, 0x03):
            _, _, ranges, _ = (buffer.pull_uint_var() for _ in range(4))
            for _ in range(2 * ranges + (3 if frame_type == 3 else 0)):
                buffer.pull_uint_var()
        elif frame_type not in (0x00, 0x01):
            return frame_type
    return -1
