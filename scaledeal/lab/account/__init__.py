"""What a fleet lost, and why: an account over all relays from the lines that each wrote of its own decisions.

``reading`` decodes the files, ``journeys`` puts together what one client met at every relay that it came to,
``ledger`` books the seconds that it went without service to causes, ``tables`` and ``plot`` show them. Nothing here
knows who played the day: it reads what ``PROXY_TRACE`` writes and nothing else. Imports go to ``scaledeal.net.trace``,
for the form of the lines, and to nothing else of the relay.
"""
