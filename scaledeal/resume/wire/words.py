"""The extension's words in lines; the grammar is in docs/resume.md. Pure."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error

import msgspec

from scaledeal.resume.core.token import decode_base64url

KEEP = b"KEEP"
NAMES = ("rs", "op", "rc", "seen")  # of OPEN, for the relay alone
DIGEST = 32  # bytes


class Offer(msgspec.Struct, frozen=True):
    """What a client's OPEN says of resuming; ``token`` is empty where it begins a session."""

    commitment: bytes
    token: str = ""
    secrets: tuple[bytes, ...] = ()
    seen: int = 0


def offer(names: dict[str, str]) -> Offer | None:
    """Read an offer off an OPEN's named values; None where there is none. Raise ValueError where it is malformed."""
    if "rs" not in names:
        return None
    commitment = decode_base64url(names.get("rc", ""))
    if commitment is None or len(commitment) != DIGEST:
        raise ValueError("rc")
    if names["rs"] == "1":
        return Offer(commitment)
    secrets = tuple(decode_base64url(each) or b"" for each in names.get("op", "").split("."))
    seen = names.get("seen", "0")
    if not (seen.isascii() and seen.isdigit() and len(seen) <= 15):
        raise ValueError("seen")
    return Offer(commitment, names["rs"], secrets, int(seen))


def keep(line: bytes) -> bytes | None:
    """Return the state that a server's KEEP line holds; None where it holds none."""
    try:
        return urlsafe_b64decode(line[len(KEEP) + 1 :])
    except (Base64Error, ValueError):
        return None


def told_state(state: bytes) -> str:
    """Return a state as it stands in an OPEN."""
    return urlsafe_b64encode(state).rstrip(b"=").decode()
