"""What ``scaledeal check`` looks at: the file, the platform's settings if they are given, and the key file."""

from __future__ import annotations

from pathlib import Path

import msgspec

from scaledeal.operator import Fault, FileError, read
from scaledeal.settings import Document


class _File(msgspec.Struct, frozen=True):
    """The part of PROXY_CONFIG that the check needs."""

    settings: Document = Document()


def faults(file: Path, config: Path | None) -> list[Fault]:
    """Return everything that is wrong."""
    document = None
    if config is not None:
        try:
            document = msgspec.json.decode(config.read_bytes(), type=_File).settings
            document.settings()
        except (OSError, msgspec.MsgspecError, ValueError, RecursionError) as error:
            return [Fault(0, str(config), str(error))]
        if document.relay_count() != int(document.siblings):  # a relay starts with it, and logs it
            return [Fault(0, str(config), f"settings: Siblings: {document.siblings:g}, where Me is {document.me:g}")]
    try:
        installation = read(file, document)
    except FileError as error:
        return error.faults
    found = _key_faults("quic.keys", installation.quic.keys) if installation.quic is not None else []
    return found + (_key_faults("resume.keys", installation.resume.keys) if installation.resume is not None else [])


def _key_faults(place: str, path: str) -> list[Fault]:
    from scaledeal.quic.ids import key_file
    from scaledeal.quic.ids.keys import KeyRingError

    try:
        key_file.read(Path(path))
    except KeyRingError as error:
        return [Fault(0, place, str(error))]
    return []
