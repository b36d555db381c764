"""What the operators' file may say, as types; every figure's unit and bounds stand here."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from scaledeal.hcl import Duration

MS = 1_000_000
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class QuicRule(msgspec.Struct, frozen=True, kw_only=True, rename={"class_name": "class"}):
    """What a ClientHello asks for: the first rule whose server name and protocol both match.

    Empty lists match anything. A server name is matched whole, or by ``*.`` and what follows the first label.
    """

    name: str = ""
    class_name: Name
    sni: tuple[Name, ...] = ()
    alpn: tuple[Name, ...] = ()
    deadline: Duration | None = None  # none: the class's own
    key_from: Literal["address", "sni", "id"] = "address"
    group_from: Literal["none", "sni", "label"] = "none"  # label: the server name's first
    tenant: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0


class Quic(msgspec.Struct, frozen=True, kw_only=True):
    """Where QUIC flows come in, and their bounds."""

    listen: Name
    keys: Name  # path of the key file
    rule: tuple[QuicRule, ...]
    idle: Duration = Duration(30_000 * MS)  # a path without a datagram for so long is forgotten
    max_flows: Count = 10_000
    max_paths: Count = 11_000  # descriptors: one for each path
    paths_a_flow: Annotated[int, msgspec.Meta(ge=2, le=16)] = 4
    retry_above: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 256  # set-ups under way past which Retry is sent
    on_move: Literal["reset", "keep"] = "reset"


class Resume(msgspec.Struct, frozen=True, kw_only=True):
    """Resumable sessions, and who owns them."""

    keys: Name  # path of the key file
    owner: Name  # the name of the ledger: relays that share it give it the same one
    ledger: str = ""  # its path; none: memory, which a restart forgets
    expiry: Duration = Duration(120_000 * MS)  # after the last word of a session
    max_sessions: Count = 100_000


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """How the new parts write their log."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Installation(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file."""

    log: Log = Log()
    quic: Quic | None = None
    resume: Resume | None = None
