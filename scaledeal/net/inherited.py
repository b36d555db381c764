"""What stands at the process that this one takes over from, as the decision module hears of it.

Two processes of one relay are one relay: what stands at the old one is load and groups that placement here
must know. The old process alone moves them; an action of the module on one of them finds no transaction.
"""

from __future__ import annotations

import msgspec

from scaledeal import interface as api
from scaledeal.net.driver import Driver


class Standing(msgspec.Struct, frozen=True, tag="stands"):
    """A connection that stands at the old process."""

    handle: str
    request_class: int
    server: str
    key: str
    group: str
    tenant: int
    load: float  # as its server last told it; 0 while unknown


def standing(driver: Driver) -> dict[str, Standing]:
    """Return what stands here, for a new process."""
    loads = driver.load_lines.loads
    return {
        each.handle: Standing(
            each.handle,
            each.request.request_class,
            each.server,
            each.request.key,
            each.request.group,
            each.request.tenant,
            loads.get(each.handle, 0.0),
        )
        for each in driver.established()
    }


class Inherited:
    """Owns what the module was told of them, until each has ended."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.held: dict[str, Standing] = {}

    def stands(self, told: Standing) -> None:
        """Hear of a connection, or of its load."""
        if not 0 <= told.request_class < len(self.driver.figures.counts):
            return  # guards against a version with other settings
        name = f"old-{told.handle}"
        if told.handle not in self.held:
            self.driver.post(
                api.OpenConnection(
                    name, told.request_class, told.server, told.key, told.group, told.tenant, inherited=True
                )
            )
        self.held[told.handle] = told
        if told.load > 0:
            self.driver.post(api.Note(name, 0, told.server, api.NoteKind.LOAD, told.load))

    def left(self, handle: str) -> None:
        """Hear that a connection has ended there."""
        if told := self.held.pop(handle, None):
            name = f"old-{handle}"
            # Gone first: its server did not send it away.
            self.driver.post(api.ClientGone(name))
            self.driver.post(api.Outcome(name, 0, told.server, api.Result.CANCELLED, 0, True, ()))

    def all_left(self) -> None:
        """Hear that the old process is gone."""
        for handle in list(self.held):
            self.left(handle)
