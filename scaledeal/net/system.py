"""The system that a relay runs on: its clocks and its listening sockets.

Everything else outside the process comes through the reactor. The laboratory runs the same relay on a simulated system,
so no code here may read a clock or open a socket except through the ``System`` that it was given.
"""

from __future__ import annotations

import time
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.protocol import ServerFactory

from scaledeal.net.client_listener import ClientListener
from scaledeal.net.ports import Port, Reactor


class System:
    """The clocks and sockets of the operating system."""

    def monotonic(self) -> int:
        """Return the nanoseconds of a clock that never goes back."""
        return time.monotonic_ns()

    def unix(self) -> int:
        """Return the nanoseconds since 1970 on the wall clock, which may step: no time span may depend on it."""
        return time.time_ns()  # noqa: TID251 - the one owner of the wall clock

    def sleep(self, seconds: float) -> None:
        """Block the process; only allowed during a start, before the relay serves anything."""
        time.sleep(seconds)

    def port(
        self, for_clients: bool, port: int, factory: ServerFactory, backlog: int, host: str, reactor: Reactor
    ) -> Port:
        """Return a listening socket that is not open yet: for clients, or for other callers."""
        kind = cast(Any, ClientListener if for_clients else tcp.Port)
        return cast(Port, kind(port, factory, backlog, host, reactor))
