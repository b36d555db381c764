"""Connection ids that route: QUIC-LB, draft-ietf-quic-load-balancers.

An id's first byte holds the config rotation bits (section 3.1) and, where the config says so, the id's length less
one (section 3.3). Behind it stand the server id and a nonce, in the clear (section 5.2), encrypted in one pass
where they fill a block (section 5.4.1), or in four passes (section 5.4.2).
"""

from __future__ import annotations

import secrets

import msgspec
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

LONGEST = 20  # bytes of an id
MOST_CONFIGS = 7  # rotation bits 0 to 6; 7 says that the id can't be routed (section 3.1)
UNROUTABLE = 7
BLOCK = 16


class ConfigError(ValueError):
    """A config outside of the draft's bounds; the text says which."""


class Config(msgspec.Struct, frozen=True):
    """One config: lengths in bytes; the key has 16 bytes, or none for the plaintext form."""

    number: int
    server_id_length: int
    nonce_length: int
    key: bytes = b""
    self_encoded: bool = True

    def __post_init__(self) -> None:
        if not 0 <= self.number < MOST_CONFIGS:
            raise ConfigError(f"config id {self.number}: must lie between 0 and {MOST_CONFIGS - 1}")
        if not 1 <= self.server_id_length <= 15:
            raise ConfigError(f"server id of {self.server_id_length} bytes: must have 1 to 15")
        if not 4 <= self.nonce_length <= 18:
            raise ConfigError(f"nonce of {self.nonce_length} bytes: must have 4 to 18")
        if self.server_id_length + self.nonce_length > LONGEST - 1:
            raise ConfigError(
                f"server id and nonce of {self.server_id_length + self.nonce_length} bytes: "
                f"must have {LONGEST - 1} at most together"
            )
        if len(self.key) not in (0, BLOCK):
            raise ConfigError(f"key of {len(self.key)} bytes: must have {BLOCK}, or none")

    @property
    def length(self) -> int:
        """Return the length of an id, in bytes."""
        return 1 + self.server_id_length + self.nonce_length

    @property
    def form(self) -> str:
        """Return the form's name."""
        if not self.key:
            return "plaintext"
        return "single-pass" if self.server_id_length + self.nonce_length == BLOCK else "four-pass"


class Codec:
    """Encodes and decodes ids under one config."""

    def __init__(self, config: Config) -> None:
        self.config = config
        # Blocks on their own are what the draft encrypts: section 5.4.
        self._cipher = Cipher(algorithms.AES(config.key), modes.ECB()) if config.key else None  # noqa: S305
        self._encrypt = self._cipher.encryptor().update if self._cipher else None
        self._decrypt = self._cipher.decryptor().update if self._cipher else None

    def encode(self, server_id: bytes, nonce: bytes) -> bytes:
        """Return an id; raise ValueError where a length is not the config's."""
        config = self.config
        if len(server_id) != config.server_id_length or len(nonce) != config.nonce_length:
            raise ValueError("a server id and a nonce of the config's lengths were expected")
        low = config.length - 1 if config.self_encoded else secrets.randbits(5)
        return bytes((config.number << 5 | low,)) + self._covered(server_id + nonce)

    def new(self, server_id: bytes) -> bytes:
        """Return an id with a nonce drawn at random."""
        return self.encode(server_id, secrets.token_bytes(self.config.nonce_length))

    def decode(self, cid: bytes) -> tuple[bytes, bytes] | None:
        """Return an id's server id and nonce; None where it is not one of this config.

        Under a wrong key any id decodes to some server id: whether there is such a server is the caller's to see.
        """
        config = self.config
        if len(cid) != config.length or cid[0] >> 5 != config.number:
            return None
        if config.self_encoded and cid[0] & 0x1F != config.length - 1:
            return None
        plain = self._plain(cid[1:])
        return plain[: config.server_id_length], plain[config.server_id_length :]

    def _covered(self, plain: bytes) -> bytes:
        if self._encrypt is None:
            return plain
        if len(plain) == BLOCK:
            return self._encrypt(plain)
        left, right, odd = _split(plain)
        for turn in (1, 2, 3, 4):
            if turn % 2:
                right = self._pass(turn, left, right, len(plain), odd, False)
            else:
                left = self._pass(turn, right, left, len(plain), odd, True)
        return _joined(left, right, odd)

    def _plain(self, covered: bytes) -> bytes:
        if self._decrypt is None:
            return covered
        if len(covered) == BLOCK:
            return self._decrypt(covered)
        left, right, odd = _split(covered)
        for turn in (4, 3, 2, 1):
            if turn % 2:
                right = self._pass(turn, left, right, len(covered), odd, False)
            else:
                left = self._pass(turn, right, left, len(covered), odd, True)
        return _joined(left, right, odd)

    def _pass(self, turn: int, source: bytes, target: bytes, length: int, odd: bool, is_left: bool) -> bytes:
        """Mix one half with the encryption of the other (section 5.4.2); its own inverse."""
        assert self._encrypt is not None
        # expand(length, pass, input): the half, zeros up to 14 bytes, the length of both halves, the pass.
        block = self._encrypt(source.ljust(14, b"\0") + bytes((length, turn)))
        mixed = bytes(a ^ b for a, b in zip(target, block, strict=False))
        if not odd:
            return mixed
        return mixed[:-1] + bytes((mixed[-1] & 0xF0,)) if is_left else bytes((mixed[0] & 0x0F,)) + mixed[1:]


def _split(both: bytes) -> tuple[bytes, bytes, bool]:
    """Return the halves; of an odd length, each holds four bits of the byte in the middle."""
    half, odd = (len(both) + 1) // 2, len(both) % 2 == 1
    left, right = both[:half], both[len(both) - half :]
    if odd:
        left, right = left[:-1] + bytes((left[-1] & 0xF0,)), bytes((right[0] & 0x0F,)) + right[1:]
    return left, right, odd


def _joined(left: bytes, right: bytes, odd: bool) -> bytes:
    return left[:-1] + bytes((left[-1] | right[0],)) + right[1:] if odd else left + right
