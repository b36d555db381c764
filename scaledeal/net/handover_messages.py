"""The messages between an old process of a relay and its new version, as lines of JSON over a Unix socket.

The tags and the fields are the protocol between two builds. A build ignores fields that it does not know, but not tags:
a message with a new tag is sent only to a process that has shown that it knows it. The old process shows this by
``decides_ids``; the new one by the claims that it sends.
"""

from __future__ import annotations

import msgspec


class SpareDescriptors(msgspec.Struct, frozen=True, tag="spare"):
    """Sent by the old process: how many descriptors the new one may hold."""

    spare: int
    decides_ids: bool = False  # whether it answers claims of ids
    used_ids: list[int] = []  # digests of further ids that must not be used again


class EstablishedConnection(msgspec.Struct, frozen=True, tag="stands"):
    """Sent by the old process: a connection that is established there, or its changed load."""

    handle: str
    request_class: int
    server: str
    key: str
    group: str
    tenant: int
    load: float  # last load that its application server reported; 0 while unknown


class ConnectionEnded(msgspec.Struct, frozen=True, tag="left"):
    """Sent by the old process: a connection that it had reported is no longer established there."""

    handle: str


class HandedConnection(msgspec.Struct, frozen=True, tag="handed"):
    """Sent by the old process: a connection whose two sockets it has sent just before."""

    handle: str
    server: str
    load: float
    state: bytes


class ConnectionTaken(msgspec.Struct, frozen=True, tag="taken"):
    """Sent by the new process: it goes on with a connection that was handed over."""

    handle: str


class ClaimId(msgspec.Struct, frozen=True, tag="claim"):
    """Sent by the new process: it asks whether it may begin a request with this id."""

    number: int
    request_id: str


class ReleaseId(msgspec.Struct, frozen=True, tag="release"):
    """Sent by the new process: no request and no claim holds this id there any more."""

    request_id: str
    used: bool = False  # whether the id must not be used again


class ClaimDecided(msgspec.Struct, frozen=True, tag="decided"):
    """Sent by the old process: the answer to the claim of this number."""

    number: int
    granted: bool


class Serving(msgspec.Struct, frozen=True, tag="serving"):
    """Sent by the new process: it accepts clients."""


FromPredecessor = SpareDescriptors | EstablishedConnection | ConnectionEnded | HandedConnection | ClaimDecided
FromSuccessor = Serving | ConnectionTaken | ClaimId | ReleaseId
