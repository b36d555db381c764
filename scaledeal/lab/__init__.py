"""Test peers, checkers and simulated fleets that ship with the relay, written from the specifications.

The test peers run on loopback sockets in one thread: ``loop`` runs sockets and timers, ``discovery`` and ``relay`` are
what every test on loopback needs, and ``quic`` holds peers that speak QUIC (with the ``lab`` extra). A checker never
queries the relay: it reads what crossed the sockets.
"""
