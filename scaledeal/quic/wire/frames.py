"""The frames that Initial packets may hold (RFC 9000 sections 12.4 and 19)."""

from __future__ import annotations

import msgspec

from scaledeal.quic.wire.buffer import MalformedError, decode_varint, encode_varint

# Frame types (RFC 9000 section 19)
PADDING = 0x00
PING = 0x01
ACK = 0x02
ACK_ECN = 0x03
CRYPTO = 0x06
CONNECTION_CLOSE = 0x1C

# Transport error codes (RFC 9000 section 20.1)
NO_ERROR = 0x00
INTERNAL_ERROR = 0x01
CONNECTION_REFUSED = 0x02
CRYPTO_ERROR = 0x0100


class CryptoFrame(msgspec.Struct, frozen=True):
    """A CRYPTO frame: handshake bytes and their offset in the handshake stream."""

    offset: int
    data: bytes


class ConnectionCloseFrame(msgspec.Struct, frozen=True):
    """A CONNECTION_CLOSE frame of the transport: error code and reason phrase."""

    code: int
    reason: bytes


class InitialFrames(msgspec.Struct):
    """The frames of an Initial packet that the relay uses; `largest_acked` is -1 without an ACK."""

    crypto: list[CryptoFrame]
    close: ConnectionCloseFrame | None = None
    largest_acked: int = -1


def parse_initial_payload(payload: bytes) -> InitialFrames:
    """Parse an Initial packet's plain payload; raise MalformedError for a frame that an Initial must not hold."""
    offset, end, frames = 0, len(payload), InitialFrames([])
    while offset < end:
        frame_type = payload[offset]  # every type allowed in an Initial takes one byte (RFC 9000 section 12.4, table 3)
        if frame_type == PADDING:
            offset = end - len(payload[offset:].lstrip(b"\0"))
        elif frame_type == CRYPTO:
            data_offset, offset = decode_varint(payload, offset + 1)
            data, offset = _decode_prefixed_bytes(payload, offset)
            frames.crypto.append(CryptoFrame(data_offset, data))
        elif frame_type in (ACK, ACK_ECN):
            largest, offset = _decode_ack(payload, offset + 1, frame_type)
            frames.largest_acked = max(frames.largest_acked, largest)
        elif frame_type == CONNECTION_CLOSE:
            code, offset = decode_varint(payload, offset + 1)
            _, offset = decode_varint(payload, offset)
            reason, offset = _decode_prefixed_bytes(payload, offset)
            frames.close = ConnectionCloseFrame(code, reason)
        elif frame_type == PING:
            offset += 1
        else:
            raise MalformedError(f"frame {frame_type:#x} has no place in an Initial")
    return frames


def _decode_prefixed_bytes(payload: bytes, offset: int) -> tuple[bytes, int]:
    """Return the bytes that follow their length at `offset`, and the offset after them."""
    length, offset = decode_varint(payload, offset)
    if offset + length > len(payload):
        raise MalformedError("ends too soon")
    return payload[offset : offset + length], offset + length


def _decode_ack(payload: bytes, offset: int, frame_type: int) -> tuple[int, int]:
    """Return the largest acknowledged packet number and the offset after the ACK frame."""
    largest, offset = decode_varint(payload, offset)
    _, offset = decode_varint(payload, offset)
    ranges, offset = decode_varint(payload, offset)
    _, offset = decode_varint(payload, offset)
    for _ in range(2 * ranges + (3 if frame_type == ACK_ECN else 0)):
        _, offset = decode_varint(payload, offset)
    return largest, offset


def encode_connection_close(code: int, reason: bytes = b"") -> bytes:
    """Return a transport CONNECTION_CLOSE frame that names no frame type as its cause."""
    return (
        encode_varint(CONNECTION_CLOSE) + encode_varint(code) + encode_varint(0) + encode_varint(len(reason)) + reason
    )


def encode_crypto(offset: int, data: bytes) -> bytes:
    """Return a CRYPTO frame."""
    return encode_varint(CRYPTO) + encode_varint(offset) + encode_varint(len(data)) + data
