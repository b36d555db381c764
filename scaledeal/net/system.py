"""The ground a relay stands on: its clocks and its listening sockets.

Everything else of the outer world comes through the reactor. The laboratory puts a ground of its own under the same
relay, so that nothing here may read a clock or open a socket past the one it was given.
"""

from __future__ import annotations

import time
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.protocol import ServerFactory

from scaledeal.net.client_listener import ClientListener
from scaledeal.net.ports import Port, Reactor


class System:
    """The system's own."""

    def monotonic(self) -> int:
        """Return the ns of a clock that never goes back."""
        return time.monotonic_ns()

    def unix(self) -> int:
        """Return the ns since 1970 on the wall clock, which may step: no span may hang on it."""
        return time.time_ns()  # noqa: TID251 - the one owner of the wall clock

    def wait(self, seconds: float) -> None:
        """Do nothing for so long: at a start, while nothing is served."""
        time.sleep(seconds)

    def port(self, clients: bool, port: int, factory: ServerFactory, backlog: int, host: str, reactor: Reactor) -> Port:
        """Return a listening socket, not opened yet: the clients' door, or another."""
        kind = cast(Any, ClientListener if clients else tcp.Port)
        return cast(Port, kind(port, factory, backlog, host, reactor))
