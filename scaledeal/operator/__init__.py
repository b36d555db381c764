"""The operators' own file: HCL under ``deploy/``, read, checked and told as msgspec types.

Everything that is wrong with a file is told at once, each with its place and reason; a file is taken whole or
not at all. This package may import ``scaledeal.hcl``, ``scaledeal.settings`` and ``scaledeal.interface``, and nothing
that opens a socket. The platform's ``python -m scaledeal`` does not import it.
"""

from scaledeal.hcl import Duration, Fault, FileError
from scaledeal.operator.reading import read, read_text
from scaledeal.operator.types import Installation, Log, Quic, QuicRule, Resume

__all__ = ["Duration", "Fault", "FileError", "Installation", "Log", "Quic", "QuicRule", "Resume", "read", "read_text"]
