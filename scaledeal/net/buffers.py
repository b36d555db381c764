"""Buffers of one size, used again from a pool.

A buffer holds the beginning of a line until the rest comes. Its owner is the connection that took it,
which gives it back in one place (``LineLink``): between two lines a connection holds none.
"""

from __future__ import annotations

LINE = 4096  # bytes of the longest line, its end included


class BufferPool:
    """Hands out buffers of ``LINE`` bytes and keeps some that came back."""

    def __init__(self, kept: int = 256) -> None:
        self.kept = kept
        self.free: list[bytearray] = []
        self.out = 0

    def take(self) -> bytearray:
        """Return a buffer; what it holds is left over from its last use."""
        self.out += 1
        return self.free.pop() if self.free else bytearray(LINE)

    def give_back(self, buffer: bytearray) -> None:
        """Take a buffer back."""
        self.out -= 1
        if len(self.free) < self.kept:
            self.free.append(buffer)
