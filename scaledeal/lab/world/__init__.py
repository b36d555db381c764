"""What a relay meets, as models: tile servers, the list, the store, the network, the front, clients, and troubles.

State apart from wire: nothing here knows a line, a socket or a relay's insides. A server hears of connections and
probes by calls and answers through a ``Seat``; a client asks through a ``Host`` and hears by calls. So the same models
serve the decision module alone, the real network code on simulated sockets, and real sockets. What each law is stands
in its module's docstring. Imports go to ``lab.kernel``, ``lab.scenario`` and ``lab.truth``.
"""
