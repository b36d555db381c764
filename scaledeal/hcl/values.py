"""Types of values with a notation of their own: durations, ranges of numbers and ranges of durations."""

from __future__ import annotations

import math
import re

_NS_PER_UNIT = {"us": 1000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m|h)")


class Duration(int):
    """A duration in nanoseconds, written as ``"250ms"``, ``"1.5s"``, ``"2m"`` or ``"1h"``."""

    @classmethod
    def read(cls, text: object) -> Duration:
        """Parse a duration; raise ValueError with the accepted forms."""
        match = _DURATION.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f'expected a duration such as "250ms", "1.5s", "2m" or "1h", not {text!r}')
        return cls(round(float(match[1]) * _NS_PER_UNIT[match[2]]))

    def __str__(self) -> str:
        return f"{self / 1e6:g} ms"


class NumberRange(tuple[float, float]):
    """A range of numbers, written as one number or as ``[low, high]``; each run draws a number from it."""

    @classmethod
    def read(cls, value: object) -> NumberRange:
        """Parse a range; raise ValueError with the accepted forms."""
        ends = value if isinstance(value, list) else [value, value]
        numbers = [end for end in ends if isinstance(end, (int, float)) and not isinstance(end, bool)]
        if len(numbers) != 2 or len(ends) != 2 or not all(map(math.isfinite, numbers)) or numbers[0] > numbers[1]:
            raise ValueError(f"expected a number or [low, high], not {value!r}")
        return cls((float(numbers[0]), float(numbers[1])))

    @property
    def low(self) -> float:
        """Return the lower end."""
        return self[0]

    @property
    def high(self) -> float:
        """Return the upper end."""
        return self[1]


class DurationRange(tuple[int, int]):
    """A range of durations in nanoseconds, written as ``"250ms"`` or as ``["250ms", "2s"]``."""

    @classmethod
    def read(cls, value: object) -> DurationRange:
        """Parse a range; raise ValueError with the accepted forms."""
        ends = value if isinstance(value, list) else [value, value]
        if len(ends) != 2:
            raise ValueError(f'expected a duration or a range such as ["250ms", "2s"], not {value!r}')
        low, high = Duration.read(ends[0]), Duration.read(ends[1])
        if low > high:
            raise ValueError(f"the lower end {low} is above the upper end {high}")
        return cls((low, high))

    @property
    def low(self) -> int:
        """Return the lower end."""
        return self[0]

    @property
    def high(self) -> int:
        """Return the upper end."""
        return self[1]
