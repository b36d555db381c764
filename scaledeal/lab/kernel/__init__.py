"""Simulated time: a clock, a station that serves in turn, and random numbers by name.

Small on purpose: what a server, a client or a network is stands in ``scaledeal.lab.world``. It may import numpy and
the standard library. The same seed and the same calls give the same run, whatever the hash seed; a run may also order
what falls on one instant at random, by its seed, to find what hangs on that order.
"""

from scaledeal.lab.kernel.clock import Kernel, Moment, RunawayError
from scaledeal.lab.kernel.station import Station
from scaledeal.lab.kernel.streams import Streams

__all__ = ["Kernel", "Moment", "RunawayError", "Station", "Streams"]
