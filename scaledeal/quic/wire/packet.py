"""Packet headers: the invariants of every version (RFC 8999), and the long headers of versions 1 and 2.

Versions: RFC 9000 section 17.2 and RFC 9369 section 3.2, which swaps the packet types' bits.
"""

from __future__ import annotations

import secrets
from enum import Enum

import msgspec

from scaledeal.quic.wire.buffer import MalformedError, decode_varint, encode_varint

V1 = 0x00000001
V2 = 0x6B3343CF
VERSIONS = (V1, V2)
LONG = 0x80  # header form bit (RFC 8999 section 5.1)
FIXED = 0x40  # RFC 9000 section 17.2
LONGEST_ID = 20  # bytes of a connection id in versions 1 and 2 (RFC 9000 section 17.2)
LEAST_INITIAL = 1200  # bytes of a datagram that holds a client's Initial (RFC 9000 section 14.1)


class Kind(Enum):
    """The types of long headers."""

    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3
    NEGOTIATION = 4
    OTHER = 5  # of a version that is not known here


_OF_V1 = (Kind.INITIAL, Kind.ZERO_RTT, Kind.HANDSHAKE, Kind.RETRY)
_OF_V2 = {1: Kind.INITIAL, 2: Kind.ZERO_RTT, 3: Kind.HANDSHAKE, 0: Kind.RETRY}
_BITS_OF_V2 = {kind: bits for bits, kind in _OF_V2.items()}


class Packet(msgspec.Struct, frozen=True):
    """One long-header packet inside a datagram; offsets count from the datagram's start."""

    kind: Kind
    version: int
    dcid: bytes
    scid: bytes
    token: bytes
    start: int
    number_at: int  # where the packet number stands, still protected; of a Retry: where its token ends
    end: int


def is_long(datagram: bytes) -> bool:
    """Tell whether a datagram begins with a long header."""
    return bool(datagram) and bool(datagram[0] & LONG)


def _ids_at(datagram: bytes, start: int) -> tuple[int, bytes, bytes, int]:
    """Return a long header's version, DCID, SCID and where they end; slices, as every set-up comes here."""
    try:
        if not datagram[start] & LONG:
            raise MalformedError("no long header")
        middle = start + 6 + datagram[start + 5]
        end = middle + 1 + datagram[middle]
    except IndexError:
        raise MalformedError("ends too soon") from None
    if end > len(datagram):
        raise MalformedError("ends too soon")
    version = int.from_bytes(datagram[start + 1 : start + 5], "big")
    return version, datagram[start + 6 : middle], datagram[middle + 1 : end], end


def invariants(datagram: bytes) -> tuple[int, bytes, bytes, int]:
    """Return a long header's version, DCID, SCID and where they end (RFC 8999 section 5.1)."""
    return _ids_at(datagram, 0)


def long_packet(datagram: bytes, start: int = 0) -> Packet:
    """Read the long header that stands at this place; raise MalformedError where none does."""
    version, dcid, scid, at = _ids_at(datagram, start)
    if version not in VERSIONS:
        kind = Kind.NEGOTIATION if version == 0 else Kind.OTHER
        return Packet(kind, version, dcid, scid, b"", start, at, len(datagram))
    first = datagram[start]
    if not first & FIXED:
        raise MalformedError("the fixed bit is not set")
    if len(dcid) > LONGEST_ID or len(scid) > LONGEST_ID:
        raise MalformedError("an id is too long for its version")
    kind = _OF_V2[first >> 4 & 3] if version == V2 else _OF_V1[first >> 4 & 3]
    if kind is Kind.RETRY:
        if len(datagram) - at < 16:
            raise MalformedError("ends too soon")
        return Packet(kind, version, dcid, scid, datagram[at:-16], start, len(datagram) - 16, len(datagram))
    token = b""
    if kind is Kind.INITIAL:
        length, at = decode_varint(datagram, at)
        token, at = datagram[at : at + length], at + length
    length, at = decode_varint(datagram, at)
    if at + length > len(datagram):
        raise MalformedError("ends too soon")
    return Packet(kind, version, dcid, scid, token, start, at, at + length)


def coalesced(datagram: bytes, first: Packet | None = None) -> list[Packet]:
    """Return the long-header packets of a datagram, up to the first that is none (RFC 9000 section 12.2).

    The first of them need not be read again where it is known.
    """
    found = [first] if first is not None else []
    at = first.end if first is not None else 0
    while at < len(datagram) and datagram[at] & LONG:
        try:
            packet = long_packet(datagram, at)
        except MalformedError:
            break
        # Guards against a packet for another connection put behind one of ours.
        if found and packet.dcid != found[0].dcid:
            break
        found.append(packet)
        at = packet.end
    return found


def _ids(dcid: bytes, scid: bytes) -> bytes:
    return bytes((len(dcid),)) + dcid + bytes((len(scid),)) + scid


def type_bits(kind: Kind, version: int) -> int:
    """Return a packet type's two bits in this version."""
    return _BITS_OF_V2[kind] if version == V2 else kind.value


def long_header(kind: Kind, version: int, dcid: bytes, scid: bytes, token: bytes, length: int) -> bytes:
    """Return the header of an Initial or Handshake packet with a packet number of four bytes."""
    first = LONG | FIXED | type_bits(kind, version) << 4 | 3
    told = encode_varint(len(token)) + token if kind is Kind.INITIAL else b""
    # Two bytes for the length in any case, so that the header's size does not hang on it.
    return bytes((first,)) + version.to_bytes(4, "big") + _ids(dcid, scid) + told + (length | 0x4000).to_bytes(2, "big")


def negotiation(dcid: bytes, scid: bytes) -> bytes:
    """Return a Version Negotiation packet to whoever sent these ids (RFC 9000 section 17.2.1)."""
    listed = b"".join(version.to_bytes(4, "big") for version in VERSIONS)
    first = bytes((LONG | FIXED | secrets.randbits(6),))
    return first + b"\0\0\0\0" + _ids(scid, dcid) + listed


def retry_body(version: int, dcid: bytes, scid: bytes, token: bytes) -> bytes:
    """Return a Retry packet without its integrity tag (RFC 9000 section 17.2.5)."""
    first = LONG | FIXED | type_bits(Kind.RETRY, version) << 4 | secrets.randbits(4)
    return bytes((first,)) + version.to_bytes(4, "big") + _ids(dcid, scid) + token
