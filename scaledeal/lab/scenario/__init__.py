"""Scenarios: what a simulated day is made of, written in HCL.

``types`` says what a file may hold, with units; ``rules`` what one value must keep by another; ``reading`` decodes,
checks and finds the ready ones, which lie in ``scaledeal/lab/scenarios``. It may import ``scaledeal.hcl``.
"""

from scaledeal.lab.scenario.reading import check, load, ready
from scaledeal.lab.scenario.types import Scenario

__all__ = ["Scenario", "check", "load", "ready"]
