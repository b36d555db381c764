"""Scenarios: HCL files that describe a simulated day.

``types`` defines the blocks and values of a file, with units; ``rules`` defines constraints between values;
``reading`` decodes and checks files, and finds the bundled ones in ``scaledeal/lab/scenarios``. This package may import
``scaledeal.hcl``.
"""

from scaledeal.lab.scenario.reading import bundled_scenarios, check, load
from scaledeal.lab.scenario.types import Scenario

__all__ = ["Scenario", "bundled_scenarios", "check", "load"]
