"""What really happened in a run, apart from what any relay says: service as operators count it, and the rules.

``service`` books worth, prices and times; ``witness`` holds the rules against what clients and servers saw. Neither
knows a host or a model of the world. May import numpy and hdrhistogram, and the scenario's types.
"""

from scaledeal.lab.truth.service import Service
from scaledeal.lab.truth.witness import BrokenRuleError, Violation, Witness

__all__ = ["BrokenRuleError", "Service", "Violation", "Witness"]
