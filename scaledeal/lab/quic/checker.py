"""Counts answers and attempts from what crossed the sockets, with aioquic's own reading of the packets.

It knows nothing of the relay: not its log, not its figures, none of its packet code.
"""

from __future__ import annotations

from typing import Any

from aioquic._buffer import Buffer
from aioquic._crypto import CryptoError
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import QuicPacketType, pull_quic_header

_CLOSE, _CRYPTO = 0x1C, 0x06


class Attempt:
    """One flow at one server: when its first and last words came (kernel's Unix time, ns)."""

    def __init__(self, server: str, first: int) -> None:
        self.server = server
        self.first = first
        self.closed = 0  # when the relay closed it; 0 where it did not


class Record:
    """What crossed the sockets of one rehearsal."""

    def __init__(self) -> None:
        self.attempts: dict[bytes, list[Attempt]] = {}
        self.answers: dict[bytes, set[str]] = {}
        self.last_at: dict[str, int] = {}  # when each server last got something new
        self._keyed: dict[bytes, bytes] = {}  # the id that a flow's keys follow from, once it was sent a Retry

    # What the stand-ins tell

    def at_server(self, server: str, datagram: bytes, at: int) -> None:
        """Note a datagram that reached a server."""
        for header, payload in _initials(datagram, False):
            attempts = self.attempts.setdefault(header.destination_cid, [])
            mine = next((each for each in attempts if each.server == server), None)
            if _frame_at(payload) == _CLOSE:
                if mine is not None and not mine.closed:
                    mine.closed = at
            elif mine is None:
                attempts.append(Attempt(server, at))
                self.last_at[server] = at

    def at_client(self, dcid: bytes, datagram: bytes) -> None:
        """Note a datagram that reached a client: an answer, if it holds one."""
        if not datagram or not datagram[0] & 0x80:
            return
        try:
            header = pull_quic_header(Buffer(data=datagram))
        except ValueError:
            return
        if header.packet_type is QuicPacketType.RETRY:
            self._keyed.setdefault(dcid, header.source_cid)  # no answer: the client begins anew with a token
            return
        for each, payload in _initials(datagram, True, self._keyed.get(dcid, dcid)):
            kind = _frame_at(payload)
            if kind == _CLOSE:
                self.answers.setdefault(dcid, set()).add("closed")
            elif kind == _CRYPTO:
                self.answers.setdefault(dcid, set()).add(f"served by {each.source_cid.hex()}")

    # What is asked of it

    def violations(self) -> list[str]:
        """Return every rule that was broken."""
        broken = [f"{dcid.hex()}: two final answers" for dcid, kinds in self.answers.items() if len(kinds) > 1]
        for dcid, attempts in self.attempts.items():
            in_order = sorted(attempts, key=lambda each: each.first)
            if len(in_order) > 6:
                broken.append(f"{dcid.hex()}: {len(in_order)} attempts")
            for one, next_one in zip(in_order, in_order[1:], strict=False):
                if not one.closed or one.closed > next_one.first:
                    broken.append(f"{dcid.hex()}: out at {one.server} and {next_one.server} at once")
        return broken

    def unanswered(self, dcids: list[bytes]) -> list[str]:
        """Return those of these flows that got no final answer."""
        return [dcid.hex() for dcid in dcids if dcid not in self.answers]


def server_initial(header: Any, frames: bytes, scid: bytes) -> bytes:
    """Return a server's Initial that answers a client's and holds these frames."""
    pair = CryptoPair()
    pair.setup_initial(header.destination_cid, is_client=False, version=header.version)
    payload = frames.ljust(24, b"\0")
    length = 4 + len(payload) + 16
    plain = (
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
    return pair.encrypt_packet(plain, payload, 0)


def _initials(datagram: bytes, from_server: bool, dcid: bytes | None = None) -> list[tuple[Any, bytes]]:
    """Return the Initial packets of a datagram that open, with their payloads."""
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


def _frame_at(payload: bytes) -> int:
    """Return the type of the first frame that is no padding, PING or ACK."""
    buffer = Buffer(data=payload)
    while not buffer.eof():
        kind = buffer.pull_uint_var()
        if kind in (0x02, 0x03):
            _, _, ranges, _ = (buffer.pull_uint_var() for _ in range(4))
            for _ in range(2 * ranges + (3 if kind == 3 else 0)):
                buffer.pull_uint_var()
        elif kind not in (0x00, 0x01):
            return kind
    return -1
