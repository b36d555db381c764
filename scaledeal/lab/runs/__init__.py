"""One run: a scenario, a seed, a host and a decision module, played to its end, and what came of it.

``play`` runs it here, ``worker`` in a process of its own, ``store`` keeps results. It may import the hosts.
"""

from scaledeal.lab.runs.play import Job, Outcome, Variant, play

__all__ = ["Job", "Outcome", "Variant", "play"]
