"""The operators' settings file: HCL under ``deploy/``, decoded into msgspec types and checked.

All faults of a file are reported together, each with its place and reason; a file with a fault is rejected as a whole.
This package may import ``scaledeal.hcl``, ``scaledeal.settings`` and ``scaledeal.interface``, and nothing that opens a
socket. The platform's ``python -m scaledeal`` does not import it.
"""

from scaledeal.hcl import Duration, Fault, FileError
from scaledeal.operator.reading import read, read_text
from scaledeal.operator.types import Installation, Log, Quic, QuicRule, Resume

__all__ = ["Duration", "Fault", "FileError", "Installation", "Log", "Quic", "QuicRule", "Resume", "read", "read_text"]
