"""Read the operators' file."""

from __future__ import annotations

from pathlib import Path

from scaledeal.hcl import read_as, read_file
from scaledeal.operator.rules import rules
from scaledeal.operator.types import Installation
from scaledeal.settings import Document


def read(path: Path, document: Document | None = None) -> Installation:
    """Read a file and check it against the rules; raise FileError with all its faults.

    ``document`` holds the platform's settings; without it, rules that depend on them are skipped.
    """
    return read_text(read_file(path), document)


def read_text(text: str, document: Document | None = None) -> Installation:
    """Do as ``read`` for the text of a file."""
    return read_as(text, Installation, rules(document))
