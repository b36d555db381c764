"""Routes QUIC flows by connection id, under the same promises as connections of the line protocol.

Read the packages in this order: ``wire`` (bytes), ``ids`` (the content of connection ids, and the keys), ``core``
(routing decisions: rules, table, router; no I/O, no clock of its own), ``sockets`` (Twisted, and the connection to
``scaledeal.net``). Imports go that way only: ``core`` uses ``wire`` and ``ids``; ``sockets`` uses all three and
``scaledeal.net``.

Guarantees: each flow gets exactly one final answer; a flow never has two attempts at the same time; the state that
unauthenticated senders can create is bounded in entries, bytes and descriptors. Disabled on the platform, where
nothing imports this package.
"""
