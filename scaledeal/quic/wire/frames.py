"""The frames that Initial packets may hold (RFC 9000 sections 12.4 and 19)."""

from __future__ import annotations

import msgspec

from scaledeal.quic.wire.buffer import MalformedError, varint, varint_at

PADDING, PING, ACK, ACK_ECN, CRYPTO, CLOSE = 0x00, 0x01, 0x02, 0x03, 0x06, 0x1C
NO_ERROR, INTERNAL_ERROR, CONNECTION_REFUSED = 0x00, 0x01, 0x02  # RFC 9000 section 20.1
CRYPTO_ERROR = 0x0100


class Crypto(msgspec.Struct, frozen=True):
    """A piece of the handshake."""

    offset: int
    data: bytes


class Close(msgspec.Struct, frozen=True):
    """CONNECTION_CLOSE of the transport: a code and words."""

    code: int
    reason: bytes


class Heard(msgspec.Struct):
    """What an Initial's frames say, as far as it matters here."""

    crypto: list[Crypto]
    close: Close | None = None
    largest_acked: int = -1


def read(payload: bytes) -> Heard:
    """Read an Initial's payload; raise MalformedError at a frame that has no place there."""
    at, end, heard = 0, len(payload), Heard([])
    while at < end:
        kind = payload[at]  # all that may stand here have one byte (RFC 9000 section 12.4, table 3)
        if kind == PADDING:
            at = end - len(payload[at:].lstrip(b"\0"))
        elif kind == CRYPTO:
            offset, at = varint_at(payload, at + 1)
            data, at = _run(payload, at)
            heard.crypto.append(Crypto(offset, data))
        elif kind in (ACK, ACK_ECN):
            largest, at = _ack(payload, at + 1, kind)
            heard.largest_acked = max(heard.largest_acked, largest)
        elif kind == CLOSE:
            code, at = varint_at(payload, at + 1)
            _, at = varint_at(payload, at)
            reason, at = _run(payload, at)
            heard.close = Close(code, reason)
        elif kind == PING:
            at += 1
        else:
            raise MalformedError(f"frame {kind:#x} has no place in an Initial")
    return heard


def _run(payload: bytes, at: int) -> tuple[bytes, int]:
    """Return the bytes behind their length, and where they end."""
    length, at = varint_at(payload, at)
    if at + length > len(payload):
        raise MalformedError("ends too soon")
    return payload[at : at + length], at + length


def _ack(payload: bytes, at: int, kind: int) -> tuple[int, int]:
    largest, at = varint_at(payload, at)
    _, at = varint_at(payload, at)
    ranges, at = varint_at(payload, at)
    _, at = varint_at(payload, at)
    for _ in range(2 * ranges + (3 if kind == ACK_ECN else 0)):
        _, at = varint_at(payload, at)
    return largest, at


def close(code: int, reason: bytes = b"") -> bytes:
    """Return a CONNECTION_CLOSE of the transport, of no frame in particular."""
    return varint(CLOSE) + varint(code) + varint(0) + varint(len(reason)) + reason


def crypto(offset: int, data: bytes) -> bytes:
    """Return a CRYPTO frame."""
    return varint(CRYPTO) + varint(offset) + varint(len(data)) + data
