"""The fault soak: runs a fleet of real processes on loopback under overlapping faults and checks their socket traffic.

May import the rest of the laboratory and the standard library; no module of the relay imports it. It is used in tests
only and is not part of a relay in service.
"""
