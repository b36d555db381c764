"""The key file: JSON, mode 0600, replaced in one step. Its content is never logged."""

from __future__ import annotations

import contextlib
import os
import stat
import tempfile
from pathlib import Path

import msgspec

from scaledeal.quic.ids.keys import KeyRing, KeyRingError

LONGEST = 1 << 16  # bytes


def read(path: Path) -> KeyRing:
    """Read a key file; raise KeyRingError with one plain line that holds nothing of its content."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        with os.fdopen(descriptor, "rb") as file:
            # Guards against a check of one file and the reading of another: both are of this descriptor.
            about = os.fstat(file.fileno())
            if not stat.S_ISREG(about.st_mode):
                raise KeyRingError(f"{path}: is no file")
            if about.st_mode & 0o077:
                raise KeyRingError(
                    f"{path}: others may read it (mode {stat.S_IMODE(about.st_mode):04o}); 0600 is demanded"
                )
            if about.st_uid not in (os.geteuid(), 0):
                raise KeyRingError(f"{path}: belongs to another user")
            text = file.read(LONGEST + 1)
    except OSError as error:
        raise KeyRingError(f"{path}: {error.strerror}") from None
    if len(text) > LONGEST:
        raise KeyRingError(f"{path}: longer than {LONGEST} bytes")
    try:
        return msgspec.json.decode(text, type=KeyRing)
    except msgspec.MsgspecError as error:
        raise KeyRingError(f"{path}: {error}") from None


def write(path: Path, ring: KeyRing) -> None:
    """Write a key file in one step: whoever reads meanwhile finds the old one or the new one, whole."""
    try:
        descriptor, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")  # 0600
        try:
            with os.fdopen(descriptor, "wb") as file:
                file.write(msgspec.json.format(msgspec.json.encode(ring)) + b"\n")
                file.flush()
                os.fsync(file.fileno())
            os.replace(name, path)
        except BaseException:
            with contextlib.suppress(OSError):
                os.unlink(name)
            raise
    except OSError as error:
        raise KeyRingError(f"{path}: {error.strerror}") from None
