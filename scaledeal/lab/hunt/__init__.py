"""Hunts for failures: draws scenarios and seeds, finds those that break a rule, and shrinks them.

``draw`` makes scenarios within given ranges, ``workers`` plays them in parallel, ``shrink`` removes everything that
the failure does not need, ``case`` reads, writes and replays the files of cases. The package may import ``lab.runs``.
"""

from scaledeal.lab.hunt.case import Case, find_broken_rule, replay
from scaledeal.lab.hunt.draw import draw_scenario
from scaledeal.lab.hunt.shrink import shrink

__all__ = ["Case", "draw_scenario", "find_broken_rule", "replay", "shrink"]
