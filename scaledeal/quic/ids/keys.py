"""The key ring: several configs of ids in force at once, the reset key and the Retry key. No I/O.

Secrets never reach a ``repr`` or a log: the structs show lengths only.
"""

from __future__ import annotations

import secrets
from enum import Enum

import msgspec

from scaledeal.quic.ids.lb import BLOCK, MOST_CONFIGS, Codec, Config, ConfigError

SECRET = 32  # bytes of the reset and Retry keys


class KeyRingError(ValueError):
    """A ring that can't be used, or a step that it doesn't allow; the text is one plain line."""


class Standing(Enum):
    """Whether servers make new ids under a config."""

    ACTIVE = "active"
    OLD = "old"  # its ids still route


class KeyEntry(msgspec.Struct, frozen=True):
    """One config as the key file holds it; the key is hexadecimal, or empty for the plaintext form."""

    number: int
    server_id_length: int
    nonce_length: int
    key: str = ""
    self_encoded: bool = True
    standing: Standing = Standing.ACTIVE
    token_key: str = ""  # hexadecimal, 32 bytes: seals the tokens of resumable sessions; empty in older files

    def config(self) -> Config:
        """Return it as the codec takes it; raise KeyRingError where it is out of bounds."""
        try:
            return Config(
                self.number, self.server_id_length, self.nonce_length, bytes.fromhex(self.key), self.self_encoded
            )
        except ConfigError as error:
            raise KeyRingError(str(error)) from None
        except ValueError:
            raise KeyRingError(f"config id {self.number}: its key is not hexadecimal") from None

    def __repr__(self) -> str:
        return f"KeyEntry({self.number}, {self.config().form}, {self.standing.value})"


def _secret(text: str, name: str, may_miss: bool) -> None:
    """Raise KeyRingError where this is no key; its text is not told."""
    try:
        sound = len(bytes.fromhex(text)) == SECRET or (may_miss and not text)
    except ValueError:
        sound = False
    if not sound:
        raise KeyRingError(f"{name}: {SECRET} bytes in hexadecimal were expected")


class KeyRing(msgspec.Struct, frozen=True):
    """Everything that relays and tile servers share about ids."""

    configs: tuple[KeyEntry, ...]
    reset_key: str  # hexadecimal
    retry_key: str
    version: int = 1

    def __post_init__(self) -> None:
        if self.version != 1:
            raise KeyRingError(f"version {self.version} of the key file is not known")
        numbers = [each.number for each in self.configs]
        if len(set(numbers)) != len(numbers):
            raise KeyRingError("two configs have the same id")
        if sum(each.standing is Standing.ACTIVE for each in self.configs) != 1:
            raise KeyRingError("exactly one config must be active")
        for each in self.configs:
            each.config()
            _secret(each.token_key, f"config id {each.number}: token_key", True)
        for name in ("reset_key", "retry_key"):
            _secret(getattr(self, name), name, False)

    def __repr__(self) -> str:
        return f"KeyRing({list(self.configs)!r})"

    @property
    def active(self) -> KeyEntry:
        """Return the config under which new ids are made."""
        return next(each for each in self.configs if each.standing is Standing.ACTIVE)

    def secret(self, name: str) -> bytes:
        """Return the reset or the Retry key."""
        return bytes.fromhex(getattr(self, name))

    def token_keys(self) -> dict[int, bytes]:
        """Return the keys that seal and open tokens, by config; raise KeyRingError where the active one has none."""
        keys = {each.number: bytes.fromhex(each.token_key) for each in self.configs if each.token_key}
        if self.active.number not in keys:
            raise KeyRingError(f"config id {self.active.number} has no token key: make a new one")
        return keys

    def codecs(self) -> dict[int, Codec]:
        """Return a codec for each config, by its rotation bits."""
        return {each.number: Codec(each.config()) for each in self.configs}

    def rotated(
        self, server_id_length: int, nonce_length: int, plaintext: bool = False, self_encoded: bool = True
    ) -> KeyRing:
        """Return the ring with a new active config; the one before stays in force as an old one."""
        used = {each.number for each in self.configs}
        free = [number for number in range(MOST_CONFIGS) if number not in used]
        if not free:
            raise KeyRingError(f"all {MOST_CONFIGS} config ids are in force: retire one first")
        # Guards against an id taken under a config that has just been retired: the longest unused comes next.
        number = min(free, key=lambda each: (each - self.active.number - 1) % MOST_CONFIGS)
        entry = new_entry(number, server_id_length, nonce_length, plaintext, self_encoded)
        old = tuple(msgspec.structs.replace(each, standing=Standing.OLD) for each in self.configs)
        return msgspec.structs.replace(self, configs=(*old, entry))

    def retired(self, number: int) -> KeyRing:
        """Return the ring without a config: its ids no longer route."""
        entry = next((each for each in self.configs if each.number == number), None)
        if entry is None:
            raise KeyRingError(f"no config id {number} is in force")
        if entry.standing is Standing.ACTIVE:
            raise KeyRingError(f"config id {number} is the active one: make a new one first")
        return msgspec.structs.replace(self, configs=tuple(e for e in self.configs if e is not entry))


def new_entry(
    number: int, server_id_length: int, nonce_length: int, plaintext: bool = False, self_encoded: bool = True
) -> KeyEntry:
    """Return a config with a key drawn at random."""
    key = "" if plaintext else secrets.token_hex(BLOCK)
    entry = KeyEntry(number, server_id_length, nonce_length, key, self_encoded, token_key=secrets.token_hex(SECRET))
    entry.config()
    return entry


def new_ring(
    server_id_length: int = 8, nonce_length: int = 8, plaintext: bool = False, self_encoded: bool = True
) -> KeyRing:
    """Return a ring with one config; the lengths fill a block unless others are asked for."""
    entry = new_entry(0, server_id_length, nonce_length, plaintext, self_encoded)
    return KeyRing((entry,), secrets.token_hex(SECRET), secrets.token_hex(SECRET))
