"""The hunt: draws scenarios and seeds, keeps what breaks a rule or loses most, and shrinks it to what it takes.

``draw`` makes scenarios within stated ranges, ``shrink`` takes away all that is not needed, ``corpus`` keeps cases as
files that replay. It may import ``lab.runs``.
"""

from scaledeal.lab.hunt.case import Case, failure_of, replay
from scaledeal.lab.hunt.draw import drawn
from scaledeal.lab.hunt.shrink import shrink

__all__ = ["Case", "drawn", "failure_of", "replay", "shrink"]
