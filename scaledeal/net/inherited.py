"""Reports to the decision module the connections that the process that this one takes over from still has.

The two processes are one relay: the connections of the old one count as load and group members, which placement here
must know. Only the old process moves them; if the module acts on one of them, no transaction is found for it here.
"""

from __future__ import annotations

from scaledeal import interface as api
from scaledeal.net.driver import Driver
from scaledeal.net.handover_messages import EstablishedConnection


def established_connections(driver: Driver) -> dict[str, EstablishedConnection]:
    """Return this process's established connections, by handle, to report them to a new process."""
    loads = driver.load_lines.loads
    return {
        transaction.handle: EstablishedConnection(
            transaction.handle,
            transaction.request.request_class,
            transaction.server,
            transaction.request.key,
            transaction.request.group,
            transaction.request.tenant,
            loads.get(transaction.handle, 0.0),
        )
        for transaction in driver.established()
    }


class InheritedConnections:
    """Owns the old process's connections as the decision module knows them, until each has ended."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.by_handle: dict[str, EstablishedConnection] = {}

    def update(self, connection: EstablishedConnection) -> None:
        """Report a new connection, or the changed load of a known one, to the module."""
        if not 0 <= connection.request_class < len(self.driver.figures.counts):
            return  # the old process runs with other settings, whose classes the module does not have
        name = f"old-{connection.handle}"
        if connection.handle not in self.by_handle:
            self.driver.post(
                api.OpenConnection(
                    name,
                    connection.request_class,
                    connection.server,
                    connection.key,
                    connection.group,
                    connection.tenant,
                    inherited=True,
                )
            )
        self.by_handle[connection.handle] = connection
        if connection.load > 0:
            self.driver.post(api.Note(name, 0, connection.server, api.NoteKind.LOAD, connection.load))

    def remove(self, handle: str) -> None:
        """Report to the module that a connection has ended; an unknown handle is ignored."""
        if connection := self.by_handle.pop(handle, None):
            name = f"old-{handle}"
            # ClientGone comes first, so that the module does not count the end as the server sending its client away.
            self.driver.post(api.ClientGone(name))
            self.driver.post(api.Outcome(name, 0, connection.server, api.Result.CANCELLED, 0, True, ()))

    def remove_all(self) -> None:
        """Report to the module that all connections have ended, as the old process is gone."""
        for handle in list(self.by_handle):
            self.remove(handle)
