"""Names of the Unix sockets over which one process of a relay offers its own listening socket to the next.

The newest offer sorts last. The number in a name is one more than any that stands there, and no time: where the wall
clock is stepped back between two starts, a time would have the newest offer sort before a dead one.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

DIGITS = 16
FIRST = 1


def next_offer(folder: Path, prefix: str) -> Path:
    """Return the path of the next offer in a folder; the folder may be unreadable, which shows when it is opened."""
    numbers = [FIRST - 1]
    with contextlib.suppress(OSError):
        numbers += [number for entry in folder.iterdir() if (number := _number(entry.name, prefix)) is not None]
    return folder / f"{prefix}{max(numbers) + 1:0{DIGITS}x}"


def _number(name: str, prefix: str) -> int | None:
    if not name.startswith(prefix) or len(name) != len(prefix) + DIGITS:
        return None
    try:
        return int(name.removeprefix(prefix), 16)
    except ValueError:
        return None
