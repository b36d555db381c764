"""The ids of requests that may have run and whose clients have left, so that none of them runs a second time.

An id is new for each request. The request of a client that leaves and comes again with the same id would run twice, in
this process or in the one that takes over from it. The memory is bounded: the oldest ids are forgotten first.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

MAX_USED_IDS = 8192


class UsedIds:
    """The latest ids that may have run, as digests in the order in which they were added."""

    def __init__(self, max_ids: int = MAX_USED_IDS) -> None:
        self.max_ids = max_ids
        self.on_added: Callable[[], None] = lambda: None  # called after each addition
        self._numbers: dict[int, int] = {}  # by digest, the number of its addition
        self._added = 0

    def __contains__(self, request_id: str) -> bool:
        return _digest(request_id) in self._numbers

    def __len__(self) -> int:
        return len(self._numbers)

    def add(self, request_id: str) -> None:
        """Remember an id."""
        self.add_digests([_digest(request_id)])

    def add_digests(self, digests: list[int]) -> None:
        """Remember ids by their digests, as another process told them."""
        for digest in digests:
            self._added += 1
            self._numbers.pop(digest, None)
            self._numbers[digest] = self._added
            if len(self._numbers) > self.max_ids:
                del self._numbers[next(iter(self._numbers))]
        if digests:
            self.on_added()

    def added_since(self, number: int) -> tuple[list[int], int]:
        """Return the digests added after the addition of this number, the oldest first, and the latest number."""
        digests = []
        for digest, added in reversed(self._numbers.items()):
            if added <= number:
                break
            digests.append(digest)
        return digests[::-1], self._added


def _digest(request_id: str) -> int:
    return int.from_bytes(blake2b(request_id.encode(), digest_size=8).digest(), "big")
