"""Models of everything a relay interacts with: tile servers, discovery, the store, the network, the front and clients.

The models contain state but no wire format: nothing here depends on a line protocol, a socket or a relay's internals. A
server learns of connections and probes through calls and answers through a ``ConnectionPeer``; a client sends requests
through a ``Host`` and receives answers through calls. The same models therefore serve the decision module alone, the
real network code on simulated sockets, and real sockets. The docstring of each module states the laws of its model.
This package may import ``lab.kernel``, ``lab.scenario`` and ``lab.truth``.
"""
