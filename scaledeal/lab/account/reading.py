"""Finds and decodes trace lines, in trace files and among the lines of other logs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from scaledeal.net.trace import Line

TRACE_MARK = b"TRACE {"


class UnreadableError(Exception):
    """A folder or file that does not exist or holds no trace lines; the message says which."""


class Trace(msgspec.Struct):
    """The lines of all relays in the order of their time stamps, and the number that could not be decoded."""

    lines: list[Line]
    spoilt: int
    files: int


def find_lines(data: bytes) -> Iterator[bytes]:
    """Yield the JSON text of each trace line of a file: a whole line, or what follows ``TRACE`` in a line of a log."""
    for line in data.splitlines():
        if line.startswith(b"{"):
            yield line
        elif (at := line.find(TRACE_MARK)) >= 0:
            yield line[at + len(TRACE_MARK) - 1 :]


def decode(files: Iterable[bytes]) -> Trace:
    """Decode whole files; skip and count lines that can't be decoded, such as a truncated one of a killed relay."""
    decoder = msgspec.json.Decoder(Line)
    lines: list[Line] = []
    spoilt = file_count = 0
    for data in files:
        file_count += 1
        for text in find_lines(data):
            try:
                lines.append(decoder.decode(text))
            except msgspec.MsgspecError:
                spoilt += 1
    # The sort is stable: lines of one relay with the same time stamp keep the order in which they were written.
    lines.sort(key=lambda line: line.at)
    return Trace(lines, spoilt, file_count)


def read(folder: Path) -> Trace:
    """Read one file, or all files below a folder; raise UnreadableError if there is no trace line."""
    if not folder.exists():
        raise UnreadableError(f"{folder}: no such file or folder")
    paths = sorted(path for path in folder.rglob("*") if path.is_file()) if folder.is_dir() else [folder]
    trace = decode(path.read_bytes() for path in paths)
    if not trace.lines:
        raise UnreadableError(
            f"{folder}: no trace lines in {trace.files} files; a relay writes them if it is started with PROXY_TRACE=-"
        )
    return trace
