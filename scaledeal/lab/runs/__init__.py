"""Runs: a scenario, a seed, a host and a decision module are played to the end and give one outcome.

``play`` plays a run in this process, ``worker`` in a separate one, and ``store`` keeps outcomes. This package may
import the hosts.
"""

from scaledeal.lab.runs.play import Job, Outcome, Variant, play

__all__ = ["Job", "Outcome", "Variant", "play"]
