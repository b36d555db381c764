"""The decisions of the QUIC side: no I/O, and no clock but the ``now`` that callers pass in (ns).

``rules`` turns a ClientHello into a request, ``table`` stores and bounds the known flows, paths and ids, ``router``
turns one datagram into verdicts that the sockets carry out. The server of a flow is chosen in ``policy.py``, not here.
"""
