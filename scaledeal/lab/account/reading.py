"""Finds and decodes the lines of a trace, in whatever log they stand."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from scaledeal.net.trace import Line

MARK = b"TRACE {"


class UnreadableError(Exception):
    """A folder that no account can be made of; the text says why."""


class Trace(msgspec.Struct):
    """The lines of all relays in the order of their clocks, and how many could not be read."""

    lines: list[Line]
    spoilt: int
    files: int


def lines_of(data: bytes) -> Iterator[bytes]:
    """Yield the JSON texts of one file: bare, or behind the mark in a log with whatever stands before it."""
    for line in data.splitlines():
        if line.startswith(b"{"):
            yield line
        elif (at := line.find(MARK)) >= 0:
            yield line[at + len(MARK) - 1 :]


def decode(files: Iterable[bytes]) -> Trace:
    """Decode whole files; a line cut short, as a killed relay leaves one, is counted and passed over."""
    decoder = msgspec.json.Decoder(Line)
    found: list[Line] = []
    spoilt = count = 0
    for data in files:
        count += 1
        for text in lines_of(data):
            try:
                found.append(decoder.decode(text))
            except msgspec.MsgspecError:
                spoilt += 1
    # Stable: lines of one relay at one instant stay in the order in which it wrote them.
    found.sort(key=lambda line: line.at)
    return Trace(found, spoilt, count)


def read(folder: Path) -> Trace:
    """Read every file of a folder, or one file; raise UnreadableError where there is no line of a trace."""
    if not folder.exists():
        raise UnreadableError(f"{folder}: there is no such file or folder")
    paths = sorted(p for p in folder.rglob("*") if p.is_file()) if folder.is_dir() else [folder]
    trace = decode(path.read_bytes() for path in paths)
    if not trace.lines:
        raise UnreadableError(
            f"{folder}: no line of a trace in {trace.files} files; relays write one where they are "
            "started with PROXY_TRACE=-"
        )
    return trace
