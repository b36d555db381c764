"""Values that files write in a form of their own."""

from __future__ import annotations

import math
import re

_UNITS = {"us": 1000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m|h)")


class Duration(int):
    """A time in nanoseconds, written as ``"250ms"``, ``"1.5s"``, ``"2m"`` or ``"1h"``."""

    @classmethod
    def read(cls, text: object) -> Duration:
        """Read a duration; raise ValueError with the forms that are taken."""
        found = _DURATION.fullmatch(text) if isinstance(text, str) else None
        if found is None:
            raise ValueError(f'a duration was expected, as "250ms", "1.5s", "2m" or "1h", not {text!r}')
        return cls(round(float(found[1]) * _UNITS[found[2]]))

    def __str__(self) -> str:
        return f"{self / 1e6:g} ms"


class Span(tuple[float, float]):
    """A range of numbers, written as one number or as ``[low, high]``; a run draws one of them."""

    @classmethod
    def read(cls, value: object) -> Span:
        """Read a range; raise ValueError with the forms that are taken."""
        ends = value if isinstance(value, list) else [value, value]
        numbers = [each for each in ends if isinstance(each, (int, float)) and not isinstance(each, bool)]
        if len(numbers) != 2 or len(ends) != 2 or not all(map(math.isfinite, numbers)) or numbers[0] > numbers[1]:
            raise ValueError(f"a number or [low, high] was expected, not {value!r}")
        return cls((float(numbers[0]), float(numbers[1])))

    @property
    def low(self) -> float:
        """Return its lower end."""
        return self[0]

    @property
    def high(self) -> float:
        """Return its upper end."""
        return self[1]


class Times(tuple[int, int]):
    """A range of durations in nanoseconds, written as ``"250ms"`` or as ``["250ms", "2s"]``."""

    @classmethod
    def read(cls, value: object) -> Times:
        """Read a range; raise ValueError with the forms that are taken."""
        ends = value if isinstance(value, list) else [value, value]
        if len(ends) != 2:
            raise ValueError(f'a duration or ["250ms", "2s"] was expected, not {value!r}')
        low, high = Duration.read(ends[0]), Duration.read(ends[1])
        if low > high:
            raise ValueError(f"the lower end {low} is above the upper end {high}")
        return cls((low, high))

    @property
    def low(self) -> int:
        """Return its lower end."""
        return self[0]

    @property
    def high(self) -> int:
        """Return its upper end."""
        return self[1]
