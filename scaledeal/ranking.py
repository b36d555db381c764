"""Ranks servers for a key by weighted rendezvous hashing, and finds the candidates of a key among many servers.

No clock, no I/O. All relays rank the same servers in the same way. The time to rank a whole fleet grows with it, so the
candidates of a key are the servers that follow its digest on a ring: at most ``MAX_CANDIDATES``. A fleet that is no
larger is ranked whole. A server that joins or leaves changes the candidates of the keys before it on the ring by one,
so hardly more keys move than if the whole fleet were ranked.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from typing import Generic, Protocol, TypeVar

MAX_CANDIDATES = 128
RING_SIZE = 1 << 64  # number of positions on the ring


class Ranked(Protocol):
    """A server, as far as its rank depends on it."""

    id: str
    digest: int
    weight: float
    warmth: float


RankedServer = TypeVar("RankedServer", bound=Ranked)


def digest(name: str) -> int:
    """Return 64 bits of a name's digest, the same at every relay."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def pair_hash(key: int, server: int) -> float:
    """Return a number between 0 and 1 for a pair of digests."""
    # Mixing two digests is much cheaper than a digest of each pair.
    bits = (key ^ server) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    bits = (bits ^ bits >> 32) * 0xD6E8FEB86659FD93 & 0xFFFFFFFFFFFFFFFF
    return ((bits >> 11) + 0.5) / 2**53


def rendezvous(key: str, servers: Iterable[RankedServer]) -> list[RankedServer]:
    """Rank servers for a key by weighted rendezvous hashing, best first."""
    key_digest = digest(key)
    scores = [(math.log(pair_hash(key_digest, s.digest)) / (s.weight * s.warmth), s.id, s) for s in servers]
    scores.sort(reverse=True)
    return [s for _, _, s in scores]


class ServerRing(Generic[RankedServer]):
    """Servers in the order of their digests, the last followed by the first."""

    def __init__(self) -> None:
        self._digests: list[int] = []
        self._servers: list[RankedServer] = []

    def __len__(self) -> int:
        return len(self._servers)

    def add(self, server: RankedServer) -> None:
        """Add a server that is not on the ring."""
        place = bisect_left(self._digests, server.digest)
        self._digests.insert(place, server.digest)
        self._servers.insert(place, server)

    def remove(self, server: RankedServer) -> None:
        """Remove a server; raise ValueError if it is not on the ring."""
        place = self._servers.index(server, bisect_left(self._digests, server.digest))
        del self._digests[place]
        del self._servers[place]

    def following(self, position: int, count: int) -> list[RankedServer]:
        """Return the ``count`` servers that follow a position, or all if there are no more."""
        if len(self._servers) <= count:
            return list(self._servers)
        first = bisect_left(self._digests, position % RING_SIZE)
        found = self._servers[first : first + count]
        return found + self._servers[: count - len(found)]
