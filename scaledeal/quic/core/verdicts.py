"""The router's verdicts: what is to be done with a datagram. The sockets carry them out."""

from __future__ import annotations

import msgspec

from scaledeal.quic.core.table import Flow, Path
from scaledeal.quic.ids.tokens import Source


class ToServer(msgspec.Struct, frozen=True):
    """Send datagrams to the path's server from the path's own socket, which is opened if there is none."""

    path: Path
    datagrams: tuple[bytes, ...]


class ToClient(msgspec.Struct, frozen=True):
    """Send a datagram to a client, from the address that clients send to."""

    source: Source
    datagram: bytes


class RequestServer(msgspec.Struct, frozen=True):
    """Ask the decision module for a server: the flow's ClientHello is complete."""

    flow: Flow


class Adopt(msgspec.Struct, frozen=True):
    """Register an open connection with the decision module: a connection id gave the flow's server."""

    flow: Flow


class Established(msgspec.Struct, frozen=True):
    """Report that the server's first flight has arrived: it is the final answer, and the flow is established."""

    flow: Flow


class ServerClosed(msgspec.Struct, frozen=True):
    """Report that the server closed the connection before it answered."""

    flow: Flow
    refused: bool  # closed with CONNECTION_REFUSED: the request has not run


class ClosePath(msgspec.Struct, frozen=True):
    """Close the path's socket."""

    path: Path


class FlowClosed(msgspec.Struct, frozen=True):
    """Report that the router has removed the flow."""

    flow: Flow
    lost: bool  # the server is gone, not the client


class Drop(msgspec.Struct, frozen=True):
    """Count the datagram under ``why`` and drop it."""

    why: str


Verdict = ToServer | ToClient | RequestServer | Adopt | Established | ServerClosed | ClosePath | FlowClosed | Drop
