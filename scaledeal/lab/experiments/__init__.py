"""Experiments: all combinations of scenarios, seeds and variants are played in parallel, stored, and compared in pairs.

``statistics`` is pure and gives the verdict better, worse or can't tell; ``sweep`` plays the runs that are missing in
the store. This package may import ``lab.runs``.
"""
