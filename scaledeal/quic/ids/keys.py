"""The key ring: the id configs in force, the reset key and the Retry key. No I/O.

The structs' ``repr`` holds no secret, so that none can reach a log.
"""

from __future__ import annotations

import secrets
from enum import Enum

import msgspec

from scaledeal.quic.ids.lb import AES_BLOCK_BYTES, MAX_CONFIGS, Codec, Config, ConfigError

SECRET_KEY_BYTES = 32  # of the reset, Retry and token keys


class KeyRingError(ValueError):
    """An invalid key ring, or a change that it does not allow; the text is one line."""


class ConfigState(Enum):
    """Whether servers create new ids under a config."""

    ACTIVE = "active"
    OLD = "old"  # existing ids still route, no new ones are created


class KeyEntry(msgspec.Struct, frozen=True):
    """A config as stored in the key file; `key` is hexadecimal, or empty for the plaintext form."""

    number: int
    server_id_length: int
    nonce_length: int
    key: str = ""
    self_encoded: bool = True
    state: ConfigState = msgspec.field(default=ConfigState.ACTIVE, name="standing")
    token_key: str = ""  # hexadecimal, 32 bytes: seals the tokens of resumable sessions; empty in older files

    def config(self) -> Config:
        """Return the codec's config; raise KeyRingError if a value is out of bounds or the key is not hexadecimal."""
        try:
            return Config(
                self.number, self.server_id_length, self.nonce_length, bytes.fromhex(self.key), self.self_encoded
            )
        except ConfigError as error:
            raise KeyRingError(str(error)) from None
        except ValueError:
            raise KeyRingError(f"config id {self.number}: the key is not hexadecimal") from None

    def __repr__(self) -> str:
        return f"KeyEntry({self.number}, {self.config().form}, {self.state.value})"


def _check_secret(text: str, name: str, optional: bool) -> None:
    """Raise KeyRingError, without quoting `text`, unless it is a hexadecimal key of the right length."""
    try:
        valid = len(bytes.fromhex(text)) == SECRET_KEY_BYTES or (optional and not text)
    except ValueError:
        valid = False
    if not valid:
        raise KeyRingError(f"{name}: expected {SECRET_KEY_BYTES} bytes in hexadecimal")


class KeyRing(msgspec.Struct, frozen=True):
    """The id configs and keys that relays and tile servers share."""

    configs: tuple[KeyEntry, ...]
    reset_key: str  # hexadecimal
    retry_key: str
    version: int = 1

    def __post_init__(self) -> None:
        if self.version != 1:
            raise KeyRingError(f"key file version {self.version} is not supported")
        numbers = [entry.number for entry in self.configs]
        if len(set(numbers)) != len(numbers):
            raise KeyRingError("two configs have the same id")
        if sum(entry.state is ConfigState.ACTIVE for entry in self.configs) != 1:
            raise KeyRingError("exactly one config must be active")
        for entry in self.configs:
            entry.config()
            _check_secret(entry.token_key, f"config id {entry.number}: token_key", True)
        for name in ("reset_key", "retry_key"):
            _check_secret(getattr(self, name), name, False)

    def __repr__(self) -> str:
        return f"KeyRing({list(self.configs)!r})"

    @property
    def active(self) -> KeyEntry:
        """Return the config under which new ids are created."""
        return next(entry for entry in self.configs if entry.state is ConfigState.ACTIVE)

    def secret(self, name: str) -> bytes:
        """Return the key in field `name`: "reset_key" or "retry_key"."""
        return bytes.fromhex(getattr(self, name))

    def token_keys(self) -> dict[int, bytes]:
        """Return the session token keys by config number; raise KeyRingError if the active config has none."""
        keys = {entry.number: bytes.fromhex(entry.token_key) for entry in self.configs if entry.token_key}
        if self.active.number not in keys:
            raise KeyRingError(f"config id {self.active.number} has no token key: create a new config")
        return keys

    def codecs(self) -> dict[int, Codec]:
        """Return the codecs by config number, which is the value of an id's rotation bits."""
        return {entry.number: Codec(entry.config()) for entry in self.configs}

    def rotated(
        self, server_id_length: int, nonce_length: int, plaintext: bool = False, self_encoded: bool = True
    ) -> KeyRing:
        """Return the ring with a new active config; the previous one stays in force as an old one.

        Raise KeyRingError if all config numbers are in force.
        """
        used = {config.number for config in self.configs}
        free = [number for number in range(MAX_CONFIGS) if number not in used]
        if not free:
            raise KeyRingError(f"all {MAX_CONFIGS} config ids are in force: retire one first")
        # Takes the number unused for longest: an id of a config that was just retired must not match the new config.
        number = min(free, key=lambda candidate: (candidate - self.active.number - 1) % MAX_CONFIGS)
        entry = new_entry(number, server_id_length, nonce_length, plaintext, self_encoded)
        old = tuple(msgspec.structs.replace(config, state=ConfigState.OLD) for config in self.configs)
        return msgspec.structs.replace(self, configs=(*old, entry))

    def retired(self, number: int) -> KeyRing:
        """Return the ring without a config, whose ids then no longer route.

        Raise KeyRingError if the config is not in force or is the active one.
        """
        entry = next((config for config in self.configs if config.number == number), None)
        if entry is None:
            raise KeyRingError(f"no config id {number} is in force")
        if entry.state is ConfigState.ACTIVE:
            raise KeyRingError(f"config id {number} is active: create a new config first")
        return msgspec.structs.replace(self, configs=tuple(config for config in self.configs if config is not entry))


def new_entry(
    number: int, server_id_length: int, nonce_length: int, plaintext: bool = False, self_encoded: bool = True
) -> KeyEntry:
    """Return an active config with random keys; `plaintext` leaves its ids unencrypted.

    Raise KeyRingError if a value is out of bounds.
    """
    key = "" if plaintext else secrets.token_hex(AES_BLOCK_BYTES)
    entry = KeyEntry(
        number, server_id_length, nonce_length, key, self_encoded, token_key=secrets.token_hex(SECRET_KEY_BYTES)
    )
    entry.config()
    return entry


def new_ring(
    server_id_length: int = 8, nonce_length: int = 8, plaintext: bool = False, self_encoded: bool = True
) -> KeyRing:
    """Return a ring with one config; the default lengths fill an AES block, so that ids take the single-pass form."""
    entry = new_entry(0, server_id_length, nonce_length, plaintext, self_encoded)
    return KeyRing((entry,), secrets.token_hex(SECRET_KEY_BYTES), secrets.token_hex(SECRET_KEY_BYTES))
