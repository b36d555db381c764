"""The key file: JSON, mode 0600, replaced atomically. Its content is never logged."""

from __future__ import annotations

import contextlib
import os
import stat
import tempfile
from pathlib import Path

import msgspec

from scaledeal.quic.ids.keys import KeyRing, KeyRingError

MAX_FILE_BYTES = 1 << 16


def read(path: Path) -> KeyRing:
    """Read a key file; raise KeyRingError with a one-line text that quotes none of the file's content."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        with os.fdopen(descriptor, "rb") as file:
            # Checks and read use one descriptor, so that the file can't be replaced between them.
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                raise KeyRingError(f"{path}: not a regular file")
            if status.st_mode & 0o077:
                raise KeyRingError(
                    f"{path}: accessible to other users (mode {stat.S_IMODE(status.st_mode):04o}); 0600 is required"
                )
            if status.st_uid not in (os.geteuid(), 0):
                raise KeyRingError(f"{path}: owned by another user")
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise KeyRingError(f"{path}: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise KeyRingError(f"{path}: longer than {MAX_FILE_BYTES} bytes")
    try:
        return msgspec.json.decode(text, type=KeyRing)
    except msgspec.MsgspecError as error:
        raise KeyRingError(f"{path}: {error}") from None


def write(path: Path, ring: KeyRing) -> None:
    """Write a key file atomically; raise KeyRingError on failure.

    A concurrent reader sees either the complete old content or the complete new content.
    """
    try:
        descriptor, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")  # mode 0600
        try:
            with os.fdopen(descriptor, "wb") as file:
                file.write(msgspec.json.format(msgspec.json.encode(ring)) + b"\n")
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
        except BaseException:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise
    except OSError as error:
        raise KeyRingError(f"{path}: {error.strerror}") from None
