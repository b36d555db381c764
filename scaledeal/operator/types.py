"""Types of the operators' file, with the unit and bounds of every value. Durations are in ns."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from scaledeal.hcl import Duration

NS_PER_MS = 1_000_000
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class QuicRule(msgspec.Struct, frozen=True, kw_only=True, rename={"class_name": "class"}):
    """Settings of the flows whose ClientHello matches; the first rule whose SNI and ALPN both match applies.

    An empty list matches anything. A server name matches an equal pattern, or ``*.`` and the labels after its first.
    """

    name: str = ""
    class_name: Name
    sni: tuple[Name, ...] = ()
    alpn: tuple[Name, ...] = ()
    deadline: Duration | None = None  # None: the class's deadline
    key_from: Literal["address", "sni", "id"] = "address"
    group_from: Literal["none", "sni", "label"] = "none"  # label: first label of the server name
    tenant: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0


class Quic(msgspec.Struct, frozen=True, kw_only=True):
    """The QUIC listener, its rules and its limits."""

    listen: Name
    keys: Name  # path of the key file
    rule: tuple[QuicRule, ...]
    idle: Duration = Duration(30_000 * NS_PER_MS)  # a path without a datagram for this long is removed
    max_flows: Count = 10_000
    max_paths: Count = 11_000  # bounds file descriptors: each path uses one
    paths_a_flow: Annotated[int, msgspec.Meta(ge=2, le=16)] = 4
    retry_above: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 256  # set-ups in progress above which Retry is sent
    on_move: Literal["reset", "keep"] = "reset"


class Resume(msgspec.Struct, frozen=True, kw_only=True):
    """Resumable sessions and the ledger that owns them."""

    keys: Name  # path of the key file
    owner: Name  # name of the ledger; relays that share a ledger must use the same name
    ledger: str = ""  # path of the ledger; empty: in memory, lost at a restart
    expiry: Duration = Duration(120_000 * NS_PER_MS)  # after the last message of a session
    max_sessions: Count = 100_000


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """Format and level of the structured log, which QUIC and resumable sessions write."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Installation(msgspec.Struct, frozen=True, kw_only=True):
    """The whole operators' file."""

    log: Log = Log()
    quic: Quic | None = None
    resume: Resume | None = None
