"""Accounts for what a fleet lost and why, from the trace lines that each relay wrote of its own decisions.

``reading`` decodes the files, ``client_histories`` joins the requests of one client across all relays, ``ledger``
attributes the seconds that a client went without service to causes, ``tables`` and ``plot`` present the result.
The package knows nothing of the host or scenario that produced the traces: it reads only what ``PROXY_TRACE`` writes.
Of the relay it imports only ``scaledeal.net.trace``, for the format of the lines.
"""
