"""Measures what happened in a run, independent of what any relay reports: the service delivered, and broken rules.

``service`` accounts for worth, prices and times; ``rule_checker`` checks the rules against what clients and servers
observed. Neither depends on a host or on the models of the world. This package may import numpy, hdrhistogram and the
scenario types.
"""

from scaledeal.lab.truth.rule_checker import BrokenRuleError, RuleChecker, Violation
from scaledeal.lab.truth.service import Service

__all__ = ["BrokenRuleError", "RuleChecker", "Service", "Violation"]
