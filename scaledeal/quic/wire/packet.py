"""Packet headers: version-independent fields (RFC 8999), and long headers of QUIC versions 1 and 2.

Versions: RFC 9000 section 17.2, and RFC 9369 section 3.2, which gives the packet types other bits.
"""

from __future__ import annotations

import secrets
from enum import Enum

import msgspec

from scaledeal.quic.wire.buffer import MalformedError, decode_varint, encode_varint

V1 = 0x00000001
V2 = 0x6B3343CF
VERSIONS = (V1, V2)
LONG_HEADER_BIT = 0x80  # RFC 8999 section 5.1
FIXED_BIT = 0x40  # RFC 9000 section 17.2
MAX_CONNECTION_ID_BYTES = 20  # in versions 1 and 2 (RFC 9000 section 17.2)
MIN_INITIAL_DATAGRAM_BYTES = 1200  # of a datagram that holds a client's Initial (RFC 9000 section 14.1)


class PacketType(Enum):
    """The types of long-header packets; the values of the first four are their type bits in version 1."""

    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3
    VERSION_NEGOTIATION = 4
    UNKNOWN_VERSION = 5


_TYPES_V1 = (PacketType.INITIAL, PacketType.ZERO_RTT, PacketType.HANDSHAKE, PacketType.RETRY)
_TYPES_V2 = {1: PacketType.INITIAL, 2: PacketType.ZERO_RTT, 3: PacketType.HANDSHAKE, 0: PacketType.RETRY}
_TYPE_BITS_V2 = {packet_type: bits for bits, packet_type in _TYPES_V2.items()}


class Packet(msgspec.Struct, frozen=True):
    """One long-header packet in a datagram; offsets count from the datagram's start."""

    packet_type: PacketType
    version: int
    dcid: bytes
    scid: bytes
    token: bytes
    start: int
    packet_number_offset: int  # of the protected packet number; in a Retry, the end of the token
    end: int


def is_long(datagram: bytes) -> bool:
    """Return whether a datagram begins with a long header."""
    return bool(datagram) and bool(datagram[0] & LONG_HEADER_BIT)


def _parse_ids(datagram: bytes, start: int) -> tuple[int, bytes, bytes, int]:
    """Return a long header's version, DCID, SCID and the offset after them.

    Uses slices instead of a Reader, as it runs for every set-up.
    """
    try:
        if not datagram[start] & LONG_HEADER_BIT:
            raise MalformedError("no long header")
        dcid_end = start + 6 + datagram[start + 5]
        end = dcid_end + 1 + datagram[dcid_end]
    except IndexError:
        raise MalformedError("ends too soon") from None
    if end > len(datagram):
        raise MalformedError("ends too soon")
    version = int.from_bytes(datagram[start + 1 : start + 5], "big")
    return version, datagram[start + 6 : dcid_end], datagram[dcid_end + 1 : end], end


def parse_invariants(datagram: bytes) -> tuple[int, bytes, bytes, int]:
    """Return a long header's version, DCID, SCID and the offset after them (RFC 8999 section 5.1).

    Raise MalformedError if the datagram does not begin with a whole long header.
    """
    return _parse_ids(datagram, 0)


def parse_long_packet(datagram: bytes, start: int = 0) -> Packet:
    """Parse the long header at `start`; raise MalformedError if there is none."""
    version, dcid, scid, offset = _parse_ids(datagram, start)
    if version not in VERSIONS:
        packet_type = PacketType.VERSION_NEGOTIATION if version == 0 else PacketType.UNKNOWN_VERSION
        return Packet(packet_type, version, dcid, scid, b"", start, offset, len(datagram))
    first = datagram[start]
    if not first & FIXED_BIT:
        raise MalformedError("the fixed bit is not set")
    if len(dcid) > MAX_CONNECTION_ID_BYTES or len(scid) > MAX_CONNECTION_ID_BYTES:
        raise MalformedError("an id is too long for its version")
    packet_type = _TYPES_V2[first >> 4 & 3] if version == V2 else _TYPES_V1[first >> 4 & 3]
    if packet_type is PacketType.RETRY:
        if len(datagram) - offset < 16:
            raise MalformedError("ends too soon")
        return Packet(packet_type, version, dcid, scid, datagram[offset:-16], start, len(datagram) - 16, len(datagram))
    token = b""
    if packet_type is PacketType.INITIAL:
        length, offset = decode_varint(datagram, offset)
        token, offset = datagram[offset : offset + length], offset + length
    length, offset = decode_varint(datagram, offset)
    if offset + length > len(datagram):
        raise MalformedError("ends too soon")
    return Packet(packet_type, version, dcid, scid, token, start, offset, offset + length)


def parse_coalesced(datagram: bytes, first: Packet | None = None) -> list[Packet]:
    """Return the long-header packets of a datagram (RFC 9000 section 12.2).

    Stops at the first that is malformed or has another destination id. Pass `first` if the first packet is already
    parsed.
    """
    found = [first] if first is not None else []
    offset = first.end if first is not None else 0
    while offset < len(datagram) and datagram[offset] & LONG_HEADER_BIT:
        try:
            packet = parse_long_packet(datagram, offset)
        except MalformedError:
            break
        # A sender may append a packet for another connection; it must not be handled as part of this one.
        if found and packet.dcid != found[0].dcid:
            break
        found.append(packet)
        offset = packet.end
    return found


def _encode_ids(dcid: bytes, scid: bytes) -> bytes:
    return bytes((len(dcid),)) + dcid + bytes((len(scid),)) + scid


def type_bits(packet_type: PacketType, version: int) -> int:
    """Return the two bits that encode a packet type in `version`."""
    return _TYPE_BITS_V2[packet_type] if version == V2 else packet_type.value


def encode_long_header(
    packet_type: PacketType, version: int, dcid: bytes, scid: bytes, token: bytes, length: int
) -> bytes:
    """Return the header of an Initial or Handshake packet up to its packet number, which must take four bytes.

    `length` counts the bytes of packet number, payload and AEAD tag.
    """
    first = LONG_HEADER_BIT | FIXED_BIT | type_bits(packet_type, version) << 4 | 3
    token_field = encode_varint(len(token)) + token if packet_type is PacketType.INITIAL else b""
    # The length field always takes two bytes, so that the header's size does not depend on the payload's.
    return (
        bytes((first,))
        + version.to_bytes(4, "big")
        + _encode_ids(dcid, scid)
        + token_field
        + (length | 0x4000).to_bytes(2, "big")
    )


def encode_version_negotiation(dcid: bytes, scid: bytes) -> bytes:
    """Return a Version Negotiation packet that answers a packet with these ids (RFC 9000 section 17.2.1)."""
    versions = b"".join(version.to_bytes(4, "big") for version in VERSIONS)
    first = bytes((LONG_HEADER_BIT | FIXED_BIT | secrets.randbits(6),))
    return first + b"\0\0\0\0" + _encode_ids(scid, dcid) + versions


def encode_untagged_retry(version: int, dcid: bytes, scid: bytes, token: bytes) -> bytes:
    """Return a Retry packet without its integrity tag (RFC 9000 section 17.2.5)."""
    first = LONG_HEADER_BIT | FIXED_BIT | type_bits(PacketType.RETRY, version) << 4 | secrets.randbits(4)
    return bytes((first,)) + version.to_bytes(4, "big") + _encode_ids(dcid, scid) + token
