"""File names of the Unix sockets on which one process of a relay offers its listening socket to the next.

Offers are numbered, and the newest sorts last. The number is one more than the highest in the folder rather than a
time: if the wall clock were stepped back between two starts, a time would make the newest offer sort before a dead one.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

NUMBER_DIGITS = 16  # hexadecimal
FIRST_NUMBER = 1


def next_offer_path(folder: Path, prefix: str) -> Path:
    """Return the path of the next offer in a folder.

    An unreadable folder is no error here; it shows when the offer's socket is opened.
    """
    numbers = [FIRST_NUMBER - 1]
    with contextlib.suppress(OSError):
        numbers += [number for entry in folder.iterdir() if (number := _offer_number(entry.name, prefix)) is not None]
    return folder / f"{prefix}{max(numbers) + 1:0{NUMBER_DIGITS}x}"


def _offer_number(name: str, prefix: str) -> int | None:
    """Return the number in an offer's file name, or None if the name is not that of an offer."""
    if not name.startswith(prefix) or len(name) != len(prefix) + NUMBER_DIGITS:
        return None
    try:
        return int(name.removeprefix(prefix), 16)
    except ValueError:
        return None
