"""Stateless reset tokens and Retry tokens.

Stateless reset (RFC 9000 section 10.3): the token is a MAC of the id under the shared reset key, as section 10.3.2
proposes. Retry (RFC 9000 sections 8.1.2 to 8.1.4): the token is sealed with AES-GCM, bound to the client's address
and expires.
"""

from __future__ import annotations

import hmac
import secrets
from hashlib import sha256

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

RESET_TOKEN_BYTES = 16
MIN_RESET_BYTES = 21  # a shorter one does not look like a packet (RFC 9000 section 10.3)
MAX_RESET_BYTES = 42
RETRY_TOKEN_LIFETIME_NS = 10_000_000_000

Source = tuple[str, int]  # a peer's IP address and UDP port


def reset_token(key: bytes, cid: bytes) -> bytes:
    """Return the stateless reset token of a connection id."""
    return hmac.digest(key, b"scaledeal reset" + cid, sha256)[:RESET_TOKEN_BYTES]


def stateless_reset(key: bytes, cid: bytes, trigger_bytes: int) -> bytes:
    """Return a stateless reset that is shorter than the datagram of `trigger_bytes` bytes that it answers.

    Empty if that datagram is too short. The shrinking size ends a loop of two endpoints that reset each other.
    """
    length = min(trigger_bytes - 1, MAX_RESET_BYTES)
    if length < MIN_RESET_BYTES:
        return b""
    random_bytes = secrets.token_bytes(length - RESET_TOKEN_BYTES)
    return bytes((random_bytes[0] & 0x3F | 0x40,)) + random_bytes[1:] + reset_token(key, cid)


class RetryToken(msgspec.Struct, frozen=True, array_like=True):
    """The content of a Retry token, read by relays and by tile servers, which do not see the client's address."""

    expires_unix_ns: int  # Unix time, as relays share no other clock
    original_dcid: bytes
    retry_scid: bytes
    source: Source  # the client that the token was issued to


def seal(key: bytes, token: RetryToken) -> bytes:
    """Return a Retry token, sealed under the shared Retry key."""
    nonce = secrets.token_bytes(12)
    return nonce + AESGCM(key).encrypt(nonce, msgspec.msgpack.encode(token), b"scaledeal retry")


def unseal(key: bytes, sealed: bytes, source: Source, unix_now_ns: int) -> RetryToken | None:
    """Return a Retry token's content; None if it is altered, another source's, expired or valid for too long."""
    token = decrypt(key, sealed)
    is_from_source = token is not None and token.source == source
    # The upper bound rejects a token of a relay whose clock was ahead, which would stay valid for too long.
    return (
        token
        if is_from_source
        and token is not None
        and unix_now_ns <= token.expires_unix_ns <= unix_now_ns + 2 * RETRY_TOKEN_LIFETIME_NS
        else None
    )


def decrypt(key: bytes, sealed: bytes) -> RetryToken | None:
    """Return a token's content without checking its source and expiry; None if it is altered.

    For tile servers only, as their relay has made these checks before.
    """
    if not 28 <= len(sealed) <= 256:
        return None
    try:
        plain = AESGCM(key).decrypt(sealed[:12], sealed[12:], b"scaledeal retry")
        return msgspec.msgpack.decode(plain, type=RetryToken)
    except (InvalidTag, msgspec.MsgspecError):
        return None
