"""Parsing and formatting of the extension's values in lines; the grammar is in docs/resume.md. Pure."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error

import msgspec

from scaledeal.resume.core.token import decode_base64url

KEEP = b"KEEP"
RELAY_ONLY_NAMES = ("rs", "op", "rc", "seen")  # of OPEN's named values; the relay does not pass them on
COMMITMENT_BYTES = 32


class Offer(msgspec.Struct, frozen=True):
    """The resume values of a client's OPEN; ``token`` is empty if the client begins a session."""

    commitment: bytes
    token: str = ""
    secrets: tuple[bytes, ...] = ()
    seen: int = 0  # number of the last server line that the client holds


def parse_offer(named_values: dict[str, str]) -> Offer | None:
    """Parse the offer in an OPEN's named values; None if it has none. Raise ValueError if it is malformed."""
    if "rs" not in named_values:
        return None
    commitment = decode_base64url(named_values.get("rc", ""))
    if commitment is None or len(commitment) != COMMITMENT_BYTES:
        raise ValueError("rc")
    if named_values["rs"] == "1":
        return Offer(commitment)
    secrets = tuple(decode_base64url(secret) or b"" for secret in named_values.get("op", "").split("."))
    seen = named_values.get("seen", "0")
    if not (seen.isascii() and seen.isdigit() and len(seen) <= 15):
        raise ValueError("seen")
    return Offer(commitment, named_values["rs"], secrets, int(seen))


def parse_keep(line: bytes) -> bytes | None:
    """Return the state in an application server's KEEP line; None if it is not base64url."""
    try:
        return urlsafe_b64decode(line[len(KEEP) + 1 :])
    except (Base64Error, ValueError):
        return None


def encode_state(state: bytes) -> str:
    """Return a state as unpadded base64url, the form that OPEN uses."""
    return urlsafe_b64encode(state).rstrip(b"=").decode()
