"""The fault soak: a fleet of real processes on loopback, overlapping faults, and an oracle over what crossed sockets.

May import the rest of the laboratory and the standard library; nothing of the relay imports it. Part of a rehearsal,
not of a relay in service.
"""
