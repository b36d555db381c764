"""Rate-limited logging of bad input: one line when servers start to show a kind of fault, one when all are sound."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

MAX_NAMED_SERVERS = 3  # in one line
GOOD_VALUES_TO_RECOVER = 8  # consecutive good values that end a fault, where servers report one after another
MAX_FAULTY_SERVERS = 4096  # servers that are remembered as faulty; the oldest is forgotten first


class FaultLog:
    """One kind of fault, the servers that show it now, and how often it occurred since all of them were sound."""

    def __init__(self, log: logging.Logger, description: str, recovery: int = 1) -> None:
        """Take the ``description`` that starts each line, and how many consecutive good values end a server's fault."""
        self.log = log
        self.description = description
        self.recovery = recovery
        self.count = 0
        self.faulty: dict[str, int] = {}  # by server, how many good values are missing until its fault ends

    def record_faults(self, faults: Mapping[str, str]) -> None:
        """Count faults, given by server with their details; log those of servers that had none before in one line."""
        fresh = {server: why for server, why in faults.items() if server not in self.faulty}
        self.count += len(faults)
        self.faulty.update(dict.fromkeys(faults, self.recovery))
        for server in list(self.faulty)[: len(self.faulty) - MAX_FAULTY_SERVERS]:
            del self.faulty[server]
        if fresh:
            named = ", ".join(f"{server} ({why})" for server, why in list(fresh.items())[:MAX_NAMED_SERVERS])
            more = f" and {len(fresh) - MAX_NAMED_SERVERS} more" if len(fresh) > MAX_NAMED_SERVERS else ""
            self.log.warning("%s, not taken: %s%s", self.description, named, more)

    def record_good(self, servers: Iterable[str]) -> None:
        """Record a good value of each server; when no server is faulty any more, log the number of all faults."""
        if not self.faulty:
            return
        for server in servers:
            if left := self.faulty.get(server):
                self.faulty[server] = left - 1
                if left == 1:
                    del self.faulty[server]
        if not self.faulty:
            self.log.info("%s: no more, after %d", self.description, self.count)
            self.count = 0
