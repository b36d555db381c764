"""The token that a client carries: encrypted with AES-256-GCM under a key ring, and bound to its holder's secret.

The cipher is that of NIST SP 800-38D; the text is base64url (RFC 4648 section 5) without padding. Tokens are never
logged.
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

MAX_TOKEN_CHARS = 1024
SECRET_BYTES = 32
MAX_CLOCK_SKEW_NS = 5_000_000_000  # between the wall clocks of two relays
_NONCE_BYTES = 12
_TAG_BYTES = 16
_PURPOSE = b"scaledeal resume 1"  # authenticated with the key's number, so that no other ciphertext passes as a token
_BASE64URL_ALPHABET = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_")


class TokenRefusal(Enum):
    """Why a token is refused; the values are the words sent to the client."""

    MALFORMED = "malformed"
    UNKNOWN_KEY = "key"  # sealed under a key that is not in the ring, such as a retired one
    EXPIRED = "expired"
    ISSUED_IN_FUTURE = "future"  # by more than MAX_CLOCK_SKEW_NS
    WRONG_HOLDER = "holder"  # the presenter does not have the secret that the token commits to
    OTHER_OWNER = "elsewhere"  # the register is in the store of another owner
    OTHER_REQUEST = "other"  # issued for another class or tenant than the request's


class Token(msgspec.Struct, frozen=True, array_like=True):
    """The contents of a token; times are Unix times in ns, because relays share no other clock."""

    session: str
    epoch: int
    request_class: str
    group: str
    tenant: int
    server: str
    owner: str  # name of the store or ledger that keeps the session's register
    applied: int
    sent: int
    issued: int
    expires: int
    commitment: bytes  # SHA-256 of the holder's secret

    def __repr__(self) -> str:
        return f"Token(session={self.session!r}, epoch={self.epoch})"


class TokenPresentation(msgspec.Struct, frozen=True):
    """What accompanies a token in the OPEN line that presents it."""

    secrets: tuple[bytes, ...]  # one, or two if the client received no answer to an earlier resume
    request_class: str
    tenant: int


def commitment_to(secret: bytes) -> bytes:
    """Return the commitment to a secret: its SHA-256 digest."""
    return sha256(secret).digest()


def encode_base64url(raw: bytes) -> str:
    """Return bytes as unpadded base64url, the form that lines use."""
    return urlsafe_b64encode(raw).rstrip(b"=").decode()


def decode_base64url(text: str) -> bytes | None:
    """Decode unpadded base64url; return None if the text is empty, malformed or not the canonical encoding."""
    raw = text.encode("ascii", "replace")
    if not raw or not _BASE64URL_ALPHABET.issuperset(raw):
        return None
    try:
        decoded = urlsafe_b64decode(raw + b"=" * (-len(raw) % 4))
    except (Base64Error, ValueError):
        return None
    # The last character may hold unused bits, so several texts decode to the same bytes: accept only the canonical one,
    # or one token would have more than one text.
    return decoded if encode_base64url(decoded) == text else None


class Sealer:
    """Encrypts tokens with a ring's active key and decrypts with any; keys have 32 bytes and a number (0 to 255)."""

    def __init__(self, keys: dict[int, bytes], active: int) -> None:
        if active not in keys or not all(len(key) == 32 and 0 <= number < 256 for number, key in keys.items()):
            raise ValueError("expected keys of 32 bytes, numbered 0 to 255, with the active one among them")
        self._ciphers = {number: AESGCM(key) for number, key in keys.items()}
        self.active = active

    def seal(self, token: Token) -> str:
        """Return the token's text; raise ValueError if it would exceed MAX_TOKEN_CHARS, and so not fit into a line."""
        head = bytes((self.active,)) + secrets.token_bytes(_NONCE_BYTES)
        body = self._ciphers[self.active].encrypt(head[1:], msgspec.msgpack.encode(token), _PURPOSE + head[:1])
        text = encode_base64url(head + body)
        if len(text) > MAX_TOKEN_CHARS:
            raise ValueError(f"token has {len(text)} characters, at most {MAX_TOKEN_CHARS} are allowed")
        return text

    def open(self, text: str) -> Token | TokenRefusal:
        """Decrypt a token without regard to who presents it; ``check_token`` tells whether it may be used."""
        raw = decode_base64url(text) if len(text) <= MAX_TOKEN_CHARS else None
        if raw is None or len(raw) < 1 + _NONCE_BYTES + _TAG_BYTES:
            return TokenRefusal.MALFORMED
        cipher = self._ciphers.get(raw[0])
        if cipher is None:
            return TokenRefusal.UNKNOWN_KEY
        try:
            plain = cipher.decrypt(raw[1 : 1 + _NONCE_BYTES], raw[1 + _NONCE_BYTES :], _PURPOSE + raw[:1])
            return msgspec.msgpack.decode(plain, type=Token)
        except (InvalidTag, msgspec.MsgspecError):
            return TokenRefusal.MALFORMED


def check_token(token: Token, presented: TokenPresentation, owner: str, unix_now: int) -> TokenRefusal | None:
    """Return why a decrypted token may not be used by its presenter, or None if it may.

    ``unix_now`` is in ns. Whether the token has been used already is decided by the session's register, not here.
    """
    # Compare the secrets in constant time and before all other checks, so that a presenter who is not the holder learns
    # nothing about the token.
    if not 1 <= len(presented.secrets) <= 2 or any(len(secret) != SECRET_BYTES for secret in presented.secrets):
        return TokenRefusal.WRONG_HOLDER
    if not any(hmac.compare_digest(commitment_to(secret), token.commitment) for secret in presented.secrets):
        return TokenRefusal.WRONG_HOLDER
    if token.expires <= unix_now:
        return TokenRefusal.EXPIRED
    if token.issued > unix_now + MAX_CLOCK_SKEW_NS:
        return TokenRefusal.ISSUED_IN_FUTURE
    if (presented.request_class, presented.tenant) != (token.request_class, token.tenant):
        return TokenRefusal.OTHER_REQUEST
    return None if token.owner == owner else TokenRefusal.OTHER_OWNER
