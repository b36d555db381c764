"""The real network code on simulated sockets: every relay of a fleet in one process, in simulated time.

``sockets`` is TCP as programs see it; ``reactor`` gives Twisted's interfaces on it, one core and one table of
descriptors a relay; ``peers`` are the wire side of the world's models; ``host`` starts, signals and kills relays. Only
``reactor`` and ``host`` know Twisted, only ``host`` knows the relay's program. The same seed gives the same bytes.
"""
