"""A pool of reusable buffers of one size.

A buffer holds the beginning of a line until the rest arrives. It belongs to the connection that took it, which
gives it back in one place (``LineLink``). A connection with no incomplete line holds no buffer.
"""

from __future__ import annotations

MAX_LINE_BYTES = 4096  # longest line, its end included


class BufferPool:
    """Hands out buffers of ``MAX_LINE_BYTES`` bytes, and keeps up to ``max_free`` returned ones for reuse."""

    def __init__(self, max_free: int = 256) -> None:
        self.max_free = max_free
        self.free: list[bytearray] = []
        self.in_use = 0

    def take(self) -> bytearray:
        """Return a buffer; its content is left over from its last use."""
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(MAX_LINE_BYTES)

    def give_back(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self.in_use -= 1
        if len(self.free) < self.max_free:
            self.free.append(buffer)
