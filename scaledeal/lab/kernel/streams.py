"""Named random streams: adding a client does not change the numbers drawn for any other client.

Each name has its own generator, seeded with the run's seed and a digest of the name. How often one stream is used, and
in which order streams are created, does not affect the others (numpy's SeedSequence makes them independent).
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np


class Streams:
    """Creates the random generators of one run."""

    def __init__(self, seed: int) -> None:
        if seed < 0:
            raise ValueError("seed: must be 0 or greater")
        self.seed = seed

    def of(self, *names: object) -> np.random.Generator:
        """Return a new generator for a name, at the start of its stream."""
        words = np.frombuffer(blake2b("\x1f".join(map(str, names)).encode(), digest_size=16).digest(), np.uint32)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=tuple(map(int, words)))))
