"""Reading and writing QUIC's integers (RFC 9000 section 16)."""

from __future__ import annotations


class MalformedError(ValueError):
    """Bytes that are not what their place demands."""


class Reader:
    """A place in some bytes; every pull past the end raises MalformedError."""

    __slots__ = ("data", "end", "at")

    def __init__(self, data: bytes, at: int = 0, end: int | None = None) -> None:
        self.data = data
        self.at = at
        self.end = len(data) if end is None else end

    def left(self) -> int:
        """Return how many bytes are left."""
        return self.end - self.at

    def take(self, length: int) -> bytes:
        """Pull so many bytes."""
        at = self.at
        if length < 0 or at + length > self.end:
            raise MalformedError("ends too soon")
        self.at = at + length
        return self.data[at : self.at]

    def uint(self, length: int) -> int:
        """Pull an unsigned integer of so many bytes, in network order."""
        return int.from_bytes(self.take(length), "big")

    def varint(self) -> int:
        """Pull a variable-length integer (RFC 9000 section 16)."""
        first = self.uint(1)
        length = 1 << (first >> 6)
        return ((first & 0x3F) << (8 * (length - 1))) | self.uint(length - 1)

    def inner(self, length: int) -> Reader:
        """Pull so many bytes as a reader of their own."""
        at = self.at
        self.take(length)
        return Reader(self.data, at, at + length)


def varint_at(data: bytes, at: int) -> tuple[int, int]:
    """Return the variable-length integer at this place and where it ends: the ordinary path's way, without a Reader."""
    try:
        first = data[at]
    except IndexError:
        raise MalformedError("ends too soon") from None
    if first < 0x40:
        return first, at + 1
    end = at + (1 << (first >> 6))
    if end > len(data):
        raise MalformedError("ends too soon")
    return int.from_bytes(data[at:end], "big") & ((1 << (8 * (end - at) - 2)) - 1), end


def varint(value: int) -> bytes:
    """Return a variable-length integer in its shortest form; raise ValueError past 2**62 - 1."""
    for length, prefix in ((1, 0), (2, 0x40), (4, 0x80), (8, 0xC0)):
        if value < 1 << (8 * length - 2):
            return (value | prefix << (8 * (length - 1))).to_bytes(length, "big")
    raise ValueError("varint: too large")
