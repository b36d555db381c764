"""Checks of ``scaledeal check``: the operators' file, the platform's settings if given, and the key files."""

from __future__ import annotations

from pathlib import Path

import msgspec

from scaledeal.operator import Fault, FileError, read
from scaledeal.settings import Document


class _PlatformConfig(msgspec.Struct, frozen=True):
    """The part of PROXY_CONFIG that the check reads."""

    settings: Document = Document()


def find_faults(file: Path, config: Path | None) -> list[Fault]:
    """Return all faults of the operators' file or, if it has none, of its key files.

    If ``config`` is given and has a fault, return only that one: the file is checked against its settings.
    """
    document = None
    if config is not None:
        try:
            document = msgspec.json.decode(config.read_bytes(), type=_PlatformConfig).settings
            document.settings()
        except (OSError, msgspec.MsgspecError, ValueError, RecursionError) as error:
            return [Fault(0, str(config), str(error))]
        if document.relay_count() != int(document.siblings):  # a relay starts all the same, and only logs it
            return [
                Fault(0, str(config), f"settings: Siblings: {document.siblings:g} does not fit Me: {document.me:g}")
            ]
    try:
        installation = read(file, document)
    except FileError as error:
        return error.faults
    key_faults = _key_faults("quic.keys", installation.quic.keys) if installation.quic is not None else []
    return key_faults + (
        _key_faults("resume.keys", installation.resume.keys) if installation.resume is not None else []
    )


def _key_faults(place: str, path: str) -> list[Fault]:
    from scaledeal.quic.ids import key_file
    from scaledeal.quic.ids.keys import KeyRingError

    try:
        key_file.read(Path(path))
    except KeyRingError as error:
        return [Fault(0, place, str(error))]
    return []
