"""The token that a client carries: sealed (AES-256-GCM) under a ring of keys, and bound to its holder.

NIST SP 800-38D for the cipher; base64url of RFC 4648 section 5 without padding. A token is never logged.
"""

from __future__ import annotations

import hmac
import secrets
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from enum import Enum
from hashlib import sha256

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

LONGEST = 1024  # characters
SECRET = 32  # bytes of a holder's secret
_NONCE, _TAG = 12, 16
_PURPOSE = b"scaledeal resume 1"
_ALPHABET = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_")


class Refused(Enum):
    """Why a token is not taken; the word that its bearer is told."""

    MALFORMED = "malformed"
    KEY = "key"  # of a key that is not in force any more
    EXPIRED = "expired"
    FUTURE = "future"
    HOLDER = "holder"
    ELSEWHERE = "elsewhere"
    OTHER = "other"  # another class or tenant than the request's


class Token(msgspec.Struct, frozen=True, array_like=True):
    """What a token says; times are Unix times in ns, as relays share no other clock."""

    session: str
    epoch: int
    request_class: str
    group: str
    tenant: int
    server: str
    owner: str  # the store or ledger in which the session's register is
    applied: int
    sent: int
    issued: int
    expires: int
    commitment: bytes  # SHA-256 of the holder's secret

    def __repr__(self) -> str:
        return f"Token(session={self.session!r}, epoch={self.epoch})"


class Presented(msgspec.Struct, frozen=True):
    """What stands beside a token in the line that presents it."""

    secrets: tuple[bytes, ...]  # one, or two where the answer to a resume before was never heard
    request_class: str
    tenant: int


def commit(secret: bytes) -> bytes:
    """Return the commitment to a secret."""
    return sha256(secret).digest()


def encoded(raw: bytes) -> str:
    """Return bytes as they stand in a line."""
    return urlsafe_b64encode(raw).rstrip(b"=").decode()


def decoded(text: str) -> bytes | None:
    """Return what stands in a line; None where that is no base64url in its one form."""
    raw = text.encode("ascii", "replace")
    if not raw or not _ALPHABET.issuperset(raw):
        return None
    try:
        found = urlsafe_b64decode(raw + b"=" * (-len(raw) % 4))
    except (Base64Error, ValueError):
        return None
    # Guards against a second text for one token: its last character may hold bits that say nothing.
    return found if encoded(found) == text else None


class Sealer:
    """Seals under the active key of a ring and opens under all of them; keys of 32 bytes, by number (0 to 255)."""

    def __init__(self, keys: dict[int, bytes], active: int) -> None:
        if active not in keys or not all(len(key) == 32 and 0 <= number < 256 for number, key in keys.items()):
            raise ValueError("keys of 32 bytes, numbered 0 to 255, were expected, with the active one among them")
        self._aeads = {number: AESGCM(key) for number, key in keys.items()}
        self.active = active

    def seal(self, token: Token) -> str:
        """Return the token's text; raise ValueError where that would be too long for a line."""
        head = bytes((self.active,)) + secrets.token_bytes(_NONCE)
        body = self._aeads[self.active].encrypt(head[1:], msgspec.msgpack.encode(token), _PURPOSE + head[:1])
        text = encoded(head + body)
        if len(text) > LONGEST:
            raise ValueError(f"a token of {len(text)} characters; {LONGEST} at most")
        return text

    def open(self, text: str) -> Token | Refused:
        """Return what a token says, whoever presents it; see ``judge`` for whether it may be used."""
        raw = decoded(text) if len(text) <= LONGEST else None
        if raw is None or len(raw) < 1 + _NONCE + _TAG:
            return Refused.MALFORMED
        aead = self._aeads.get(raw[0])
        if aead is None:
            return Refused.KEY
        try:
            plain = aead.decrypt(raw[1 : 1 + _NONCE], raw[1 + _NONCE :], _PURPOSE + raw[:1])
            return msgspec.msgpack.decode(plain, type=Token)
        except (InvalidTag, msgspec.MsgspecError):
            return Refused.MALFORMED


def judge(token: Token, presented: Presented, owner: str, unix_now: int) -> Refused | None:
    """Tell why a token that opens may not be used by who presents it; None where it may.

    Whether it has been used is not the token's to say, but its register's.
    """
    # In constant time, and before all else: who does not hold it learns nothing of it.
    if not 1 <= len(presented.secrets) <= 2 or any(len(secret) != SECRET for secret in presented.secrets):
        return Refused.HOLDER
    if not any(hmac.compare_digest(commit(secret), token.commitment) for secret in presented.secrets):
        return Refused.HOLDER
    if token.expires <= unix_now:
        return Refused.EXPIRED
    if token.issued > unix_now + 5_000_000_000:  # clocks of relays differ by less
        return Refused.FUTURE
    if (presented.request_class, presented.tenant) != (token.request_class, token.tenant):
        return Refused.OTHER
    return None if token.owner == owner else Refused.ELSEWHERE
