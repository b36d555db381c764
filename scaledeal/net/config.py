"""What the relay is told at its start: the environment and the JSON file that it names."""

from __future__ import annotations

import errno
import logging
import os
import re
from collections.abc import Mapping
from hashlib import blake2b
from pathlib import Path

import msgspec

from scaledeal import interface as api
from scaledeal.net.roster import Roster
from scaledeal.net.socket_errors import SHORTAGES
from scaledeal.settings import Document

log = logging.getLogger("scaledeal.config")

_HOST = re.compile(r"[0-9A-Za-z._:-]+|\[[0-9A-Fa-f:.]+\]")


class ConfigError(Exception):
    """The relay can't start with what it was told; the text is one plain line."""


class ShortageError(ConfigError):
    """The file could not be read now, for want of descriptors, memory or a sound disk: it may be in a moment."""


class Address(msgspec.Struct, frozen=True):
    """A host and a port."""

    host: str
    port: int


class _Limits(msgspec.Struct, frozen=True):
    sockets: int = 0


class _File(msgspec.Struct, frozen=True):
    name: str = ""
    listen: str = ""
    discovery: str = ""
    admin: str = ""
    seed: str | int = ""
    limits: _Limits = _Limits()
    known: Roster = Roster()
    settings: Document = Document()


class Config(msgspec.Struct, frozen=True):
    """The start of one relay, checked."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None  # where operators call; none where that is not stated
    trace: str  # the file that what is decided is written to, - for standard error; empty where it is not
    folder: Path | None  # the one that the processes of this relay share; none where that is not stated
    seed: int
    sockets: int  # descriptors that this process may hold; 0 where that is not stated
    known: Roster
    document: Document
    settings: api.Settings


def address(text: str, what: str) -> Address:
    """Read host:port."""
    host, colon, port = text.rpartition(":")
    if not (colon and _HOST.fullmatch(host) and port.isdecimal() and 0 <= int(port) < 65536):
        raise ConfigError(f"{what}: host:port was expected, not {text!r}")
    return Address(host.strip("[]"), int(port))


def _seed(given: str | int) -> int:
    """Return the seed as a number; any text will do."""
    if isinstance(given, int):
        return given
    return int.from_bytes(blake2b(given.encode(), digest_size=8).digest(), "big")


def _file(environment: Mapping[str, str]) -> tuple[_File, api.Settings]:
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("PROXY_CONFIG: is missing")
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=_File)
    except OSError as error:
        kind = ShortageError if error.errno in SHORTAGES or error.errno == errno.EIO else ConfigError
        raise kind(f"PROXY_CONFIG: {path}: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error}") from None
    try:
        settings = file.settings.settings()
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    if settings.siblings != int(file.settings.siblings):
        log.warning(
            "settings: Siblings is %g where Me is %d: taken as %d",
            file.settings.siblings,
            settings.me,
            settings.siblings,
        )
    return file, settings


def read(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the start; the environment's values go before the file's."""
    file, settings = _file(environment)
    admin = environment.get("PROXY_ADMIN") or file.admin
    return Config(
        name=environment.get("PROXY_NAME") or file.name or "relay",
        listen=address(environment.get("PROXY_LISTEN") or file.listen, "PROXY_LISTEN"),
        discovery=address(environment.get("PROXY_DISCOVERY") or file.discovery, "PROXY_DISCOVERY"),
        admin=address(admin, "PROXY_ADMIN") if admin else None,
        trace=environment.get("PROXY_TRACE", ""),
        folder=Path(environment["TMPDIR"]) if environment.get("TMPDIR") else None,
        seed=_seed(file.seed),
        sockets=file.limits.sockets,
        known=file.known,
        document=file.settings,
        settings=settings,
    )


def read_again(before: Config, environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file again while running: its ``discovery`` takes over, all else waits for the next start.

    Guards against a file that can't be obeyed for as long as PROXY_DISCOVERY goes before it, as it does at
    the start: the environment of a running process can't be changed, the file can.
    """
    file, _ = _file(environment)
    if not file.discovery:
        return before
    return msgspec.structs.replace(before, discovery=address(file.discovery, "discovery"))
