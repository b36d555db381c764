"""The configuration of a relay: environment variables, and the JSON file that PROXY_CONFIG names."""

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
    """The configuration is invalid or can't be read; the text is one plain line with the setting and the reason."""


class ShortageError(ConfigError):
    """The file can't be read now, for a shortage of descriptors or memory or a disk error; a retry may succeed."""


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
    """The checked configuration of one relay."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None  # where operators call; None if not configured
    trace: str  # file for the trace of decisions, - for standard error; empty for no trace
    folder: Path | None  # shared by the processes of this relay, for handover sockets; None if not configured
    seed: int
    sockets: int  # descriptors that this process may hold; 0 if not configured
    known: Roster
    document: Document
    settings: api.Settings


def parse_address(text: str, setting: str) -> Address:
    """Parse host:port; raise ConfigError with the name of the ``setting`` if the text is not of that form."""
    host, colon, port = text.rpartition(":")
    if not (colon and _HOST.fullmatch(host) and port.isdecimal() and 0 <= int(port) < 65536):
        raise ConfigError(f"{setting}: host:port was expected, not {text!r}")
    return Address(host.strip("[]"), int(port))


def _seed_number(seed: str | int) -> int:
    """Return the seed as a number; a text is hashed."""
    if isinstance(seed, int):
        return seed
    return int.from_bytes(blake2b(seed.encode(), digest_size=8).digest(), "big")


def _read_file(environment: Mapping[str, str]) -> tuple[_File, api.Settings]:
    """Read and check the file that PROXY_CONFIG names; raise ConfigError if it is unreadable or invalid."""
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("PROXY_CONFIG: is missing")
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=_File)
    except OSError as error:
        error_type = ShortageError if error.errno in SHORTAGES or error.errno == errno.EIO else ConfigError
        raise error_type(f"PROXY_CONFIG: {path}: {error.strerror}") from None
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
    """Read the configuration; values of the environment override those of the file."""
    file, settings = _read_file(environment)
    admin = environment.get("PROXY_ADMIN") or file.admin
    return Config(
        name=environment.get("PROXY_NAME") or file.name or "relay",
        listen=parse_address(environment.get("PROXY_LISTEN") or file.listen, "PROXY_LISTEN"),
        discovery=parse_address(environment.get("PROXY_DISCOVERY") or file.discovery, "PROXY_DISCOVERY"),
        admin=parse_address(admin, "PROXY_ADMIN") if admin else None,
        trace=environment.get("PROXY_TRACE", ""),
        folder=Path(environment["TMPDIR"]) if environment.get("TMPDIR") else None,
        seed=_seed_number(file.seed),
        sockets=file.limits.sockets,
        known=file.known,
        document=file.settings,
        settings=settings,
    )


def read_again(current: Config, environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file again while the relay runs; only its ``discovery`` takes effect, all else waits for a restart.

    PROXY_DISCOVERY overrides the file only at the start: as the environment of a running process can't be changed,
    it would otherwise keep the file's new address from ever taking effect. Errors are raised as by ``read``.
    """
    file, _ = _read_file(environment)
    if not file.discovery:
        return current
    return msgspec.structs.replace(current, discovery=parse_address(file.discovery, "discovery"))
