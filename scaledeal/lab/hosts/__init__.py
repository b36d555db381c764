"""Hosts that run the relays of a simulated fleet.

``module`` runs the decision module alone, ``relay`` the real network code on simulated sockets.
"""
