"""Discrete-event simulation: a clock, a queueing station and named random streams.

Models of servers, clients and networks belong to ``scaledeal.lab.world``. This package may import only numpy and the
standard library. The same seed and the same calls give the same run under every hash seed. Optionally, calls scheduled
for the same instant run in an order drawn from the seed, which exposes code that depends on that order.
"""

from scaledeal.lab.kernel.clock import Kernel, RunawayError, ScheduledCall
from scaledeal.lab.kernel.station import Station
from scaledeal.lab.kernel.streams import Streams

__all__ = ["Kernel", "RunawayError", "ScheduledCall", "Station", "Streams"]
