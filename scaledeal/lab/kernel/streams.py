"""Random numbers by name: one client more changes no other's draws.

Each name has a generator of its own, seeded by the run's seed and a digest of the name; who draws how often, and in
which order names come, changes nothing for the others (numpy's SeedSequence keeps them independent).
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np


class Streams:
    """All generators of one run."""

    def __init__(self, seed: int) -> None:
        if seed < 0:
            raise ValueError("seed: must not be below 0")
        self.seed = seed

    def of(self, *names: object) -> np.random.Generator:
        """Return the generator of a name, from its beginning."""
        words = np.frombuffer(blake2b("\x1f".join(map(str, names)).encode(), digest_size=16).digest(), np.uint32)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=tuple(map(int, words)))))
