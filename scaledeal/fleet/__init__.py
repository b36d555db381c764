"""How many relays behave together when parts of them fail: duties that one relay alone may hold, and who is alive.

In the order of reading: ``core`` (tables and machines without I/O or clocks, which the model checker and the laboratory
walk). What ties them to processes is to come: see docs/leases.md. It may import msgspec alone.

Promised: no two relays believe at one moment that they hold a duty, as long as clocks run within the drift that the
settings state; and whoever acts late is refused by its token.
"""
