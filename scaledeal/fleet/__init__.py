"""Coordination among relays under partial failure: leases for exclusive duties, and membership.

Read ``core`` first: state machines without I/O or clocks, which the model checker and the laboratory explore. The code
that connects them to processes does not exist yet: see docs/leases.md. This package may import only msgspec.

Guarantee: no two relays believe at the same moment that they hold a duty, as long as clocks run within the drift that
the settings state; and an act that arrives late is refused by its fencing token.
"""
