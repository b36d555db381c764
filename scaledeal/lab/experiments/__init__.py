"""Experiments: scenarios times seeds times variants, played in parallel, kept, and compared pair by pair.

``statistics`` is pure and says better, worse or can't tell; ``sweep`` plays what is missing. May import ``lab.runs``.
"""
