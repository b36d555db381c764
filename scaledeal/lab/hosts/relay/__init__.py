"""A host that runs the real network code on simulated sockets: all relays of a fleet in one process, in simulated time.

``sockets`` is TCP as programs see it; ``reactor`` implements Twisted's interfaces on it, with one core and one table of
descriptors for each relay; ``peers`` is the protocol side of the world's models; ``host`` starts, signals and kills
relays. Only ``reactor`` and ``host`` depend on Twisted, and only ``host`` on the relay's program. The same seed gives
the same bytes.
"""
