"""Encoding and decoding of QUIC integers (RFC 9000 section 16)."""

from __future__ import annotations


class MalformedError(ValueError):
    """Input that violates the wire format; the text becomes part of a drop metric's label."""


class Reader:
    """A cursor over a range of bytes; every read past its end raises MalformedError."""

    __slots__ = ("data", "end", "offset")

    def __init__(self, data: bytes, offset: int = 0, end: int | None = None) -> None:
        self.data = data
        self.offset = offset
        self.end = len(data) if end is None else end

    def remaining(self) -> int:
        """Return the number of unread bytes."""
        return self.end - self.offset

    def take(self, length: int) -> bytes:
        """Read and return `length` bytes."""
        offset = self.offset
        if length < 0 or offset + length > self.end:
            raise MalformedError("ends too soon")
        self.offset = offset + length
        return self.data[offset : self.offset]

    def uint(self, length: int) -> int:
        """Read an unsigned integer of `length` bytes in network byte order."""
        return int.from_bytes(self.take(length), "big")

    def varint(self) -> int:
        """Read a variable-length integer (RFC 9000 section 16)."""
        first = self.uint(1)
        length = 1 << (first >> 6)
        return ((first & 0x3F) << (8 * (length - 1))) | self.uint(length - 1)

    def subreader(self, length: int) -> Reader:
        """Skip `length` bytes and return a reader over them."""
        offset = self.offset
        self.take(length)
        return Reader(self.data, offset, offset + length)


def decode_varint(data: bytes, offset: int) -> tuple[int, int]:
    """Return the variable-length integer at `offset` and the offset after it; raise MalformedError if it is truncated.

    Faster than a Reader, as it is called several times for each datagram.
    """
    try:
        first = data[offset]
    except IndexError:
        raise MalformedError("ends too soon") from None
    if first < 0x40:
        return first, offset + 1
    end = offset + (1 << (first >> 6))
    if end > len(data):
        raise MalformedError("ends too soon")
    return int.from_bytes(data[offset:end], "big") & ((1 << (8 * (end - offset) - 2)) - 1), end


def encode_varint(value: int) -> bytes:
    """Return a variable-length integer in its shortest form; raise ValueError for values above 2**62 - 1."""
    for length, prefix in ((1, 0), (2, 0x40), (4, 0x80), (8, 0xC0)):
        if value < 1 << (8 * length - 2):
            return (value | prefix << (8 * (length - 1))).to_bytes(length, "big")
    raise ValueError("varint: too large")
