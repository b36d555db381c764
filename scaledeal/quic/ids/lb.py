"""Routable connection ids: QUIC-LB, draft-ietf-quic-load-balancers.

An id's first byte holds the config rotation bits (section 3.1) and, if the config demands it, the id's length minus
one (section 3.3). The server id and a nonce follow: in the clear (section 5.2), encrypted in a single pass if they
fill an AES block (section 5.4.1), or else in four passes (section 5.4.2).
"""

from __future__ import annotations

import secrets

import msgspec
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

MAX_ID_BYTES = 20
MAX_CONFIGS = 7  # rotation bits 0 to 6; 7 marks an id that can't be routed (section 3.1)
UNROUTABLE_ROTATION_BITS = 7
AES_BLOCK_BYTES = 16


class ConfigError(ValueError):
    """A config value outside the draft's bounds; the text names it."""


class Config(msgspec.Struct, frozen=True):
    """A config; lengths are in bytes, and the key has 16 bytes or, for the plaintext form, none."""

    number: int
    server_id_length: int
    nonce_length: int
    key: bytes = b""
    self_encoded: bool = True

    def __post_init__(self) -> None:
        if not 0 <= self.number < MAX_CONFIGS:
            raise ConfigError(f"config id {self.number}: must lie between 0 and {MAX_CONFIGS - 1}")
        if not 1 <= self.server_id_length <= 15:
            raise ConfigError(f"server id of {self.server_id_length} bytes: must have 1 to 15")
        if not 4 <= self.nonce_length <= 18:
            raise ConfigError(f"nonce of {self.nonce_length} bytes: must have 4 to 18")
        if self.server_id_length + self.nonce_length > MAX_ID_BYTES - 1:
            raise ConfigError(
                f"server id and nonce of {self.server_id_length + self.nonce_length} bytes: "
                f"must have at most {MAX_ID_BYTES - 1} together"
            )
        if len(self.key) not in (0, AES_BLOCK_BYTES):
            raise ConfigError(f"key of {len(self.key)} bytes: must have {AES_BLOCK_BYTES}, or none")

    @property
    def length(self) -> int:
        """Return the length of an id, in bytes."""
        return 1 + self.server_id_length + self.nonce_length

    @property
    def form(self) -> str:
        """Return the name of the encoding: "plaintext", "single-pass" or "four-pass"."""
        if not self.key:
            return "plaintext"
        return "single-pass" if self.server_id_length + self.nonce_length == AES_BLOCK_BYTES else "four-pass"


class Codec:
    """Encodes and decodes connection ids under one config."""

    def __init__(self, config: Config) -> None:
        self.config = config
        # The draft encrypts single blocks (section 5.4), which is what ECB mode does.
        self._cipher = Cipher(algorithms.AES(config.key), modes.ECB()) if config.key else None  # noqa: S305
        self._encrypt = self._cipher.encryptor().update if self._cipher else None
        self._decrypt = self._cipher.decryptor().update if self._cipher else None

    def encode(self, server_id: bytes, nonce: bytes) -> bytes:
        """Return an id; raise ValueError if the server id or nonce does not have the config's length."""
        config = self.config
        if len(server_id) != config.server_id_length or len(nonce) != config.nonce_length:
            raise ValueError("server id or nonce does not have the config's length")
        low_bits = config.length - 1 if config.self_encoded else secrets.randbits(5)
        return bytes((config.number << 5 | low_bits,)) + self._encode_body(server_id + nonce)

    def new(self, server_id: bytes) -> bytes:
        """Return an id with a random nonce."""
        return self.encode(server_id, secrets.token_bytes(self.config.nonce_length))

    def decode(self, cid: bytes) -> tuple[bytes, bytes] | None:
        """Return an id's server id and nonce; None if the id does not belong to this config.

        With a wrong key any id decodes to some server id: the caller must check that such a server exists.
        """
        config = self.config
        if len(cid) != config.length or cid[0] >> 5 != config.number:
            return None
        if config.self_encoded and cid[0] & 0x1F != config.length - 1:
            return None
        plain = self._decode_body(cid[1:])
        return plain[: config.server_id_length], plain[config.server_id_length :]

    def _encode_body(self, plain: bytes) -> bytes:
        if self._encrypt is None:
            return plain
        if len(plain) == AES_BLOCK_BYTES:
            return self._encrypt(plain)
        left, right, odd = _split(plain)
        for pass_number in (1, 2, 3, 4):
            if pass_number % 2:
                right = self._feistel_pass(pass_number, left, right, len(plain), odd, False)
            else:
                left = self._feistel_pass(pass_number, right, left, len(plain), odd, True)
        return _joined(left, right, odd)

    def _decode_body(self, encoded: bytes) -> bytes:
        if self._decrypt is None:
            return encoded
        if len(encoded) == AES_BLOCK_BYTES:
            return self._decrypt(encoded)
        left, right, odd = _split(encoded)
        for pass_number in (4, 3, 2, 1):
            if pass_number % 2:
                right = self._feistel_pass(pass_number, left, right, len(encoded), odd, False)
            else:
                left = self._feistel_pass(pass_number, right, left, len(encoded), odd, True)
        return _joined(left, right, odd)

    def _feistel_pass(
        self, pass_number: int, source: bytes, target: bytes, length: int, odd: bool, is_left: bool
    ) -> bytes:
        """Return `target` XORed with the encryption of `source` (section 5.4.2); a pass is its own inverse."""
        assert self._encrypt is not None
        # expand(length, pass, input): the half, zeros up to 14 bytes, the length of both halves, the pass number.
        block = self._encrypt(source.ljust(14, b"\0") + bytes((length, pass_number)))
        mixed = bytes(a ^ b for a, b in zip(target, block, strict=False))
        if not odd:
            return mixed
        return mixed[:-1] + bytes((mixed[-1] & 0xF0,)) if is_left else bytes((mixed[0] & 0x0F,)) + mixed[1:]


def _split(body: bytes) -> tuple[bytes, bytes, bool]:
    """Return both halves and whether the length is odd; each half then holds four bits of the middle byte."""
    half, odd = (len(body) + 1) // 2, len(body) % 2 == 1
    left, right = body[:half], body[len(body) - half :]
    if odd:
        left, right = left[:-1] + bytes((left[-1] & 0xF0,)), bytes((right[0] & 0x0F,)) + right[1:]
    return left, right, odd


def _joined(left: bytes, right: bytes, odd: bool) -> bytes:
    return left[:-1] + bytes((left[-1] | right[0],)) + right[1:] if odd else left + right
