"""Bad input in the log: each kind of fault is logged once for a row of servers that show it, and with its number."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

NAMED = 3  # servers that one line names
SOUND = 8  # good values in a row that end a fault, where servers tell one after another
MOST = 4096  # servers that are remembered as faulty; the oldest is forgotten first


class FaultLog:
    """One kind of fault, the servers that show it now, and how often it came since all of them were sound."""

    def __init__(self, log: logging.Logger, what: str, sound: int = 1) -> None:
        """``sound`` tells how many good values in a row end a server's fault."""
        self.log = log
        self.what = what
        self.sound = sound
        self.count = 0
        self.shown: dict[str, int] = {}  # by server, how many good values are still to come

    def bad(self, faults: Mapping[str, str]) -> None:
        """Hear of faults, by server; one line tells those of the servers that had none, ``what`` came where."""
        fresh = {server: why for server, why in faults.items() if server not in self.shown}
        self.count += len(faults)
        self.shown.update(dict.fromkeys(faults, self.sound))
        for server in list(self.shown)[: len(self.shown) - MOST]:
            del self.shown[server]
        if fresh:
            named = ", ".join(f"{server} ({why})" for server, why in list(fresh.items())[:NAMED])
            more = f" and {len(fresh) - NAMED} more" if len(fresh) > NAMED else ""
            self.log.warning("%s, not taken: %s%s", self.what, named, more)

    def good(self, servers: Iterable[str]) -> None:
        """Hear of servers that showed no such fault this time; the last of a row is told with the number of all."""
        if not self.shown:
            return
        for server in servers:
            if left := self.shown.get(server):
                self.shown[server] = left - 1
                if left == 1:
                    del self.shown[server]
        if not self.shown:
            self.log.info("%s: no more, after %d", self.what, self.count)
            self.count = 0
