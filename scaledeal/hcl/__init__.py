"""Reading of HCL files: decode blocks into msgspec types and report all faults of a file together.

The operators' file and the laboratory's scenarios are read with this package. It may import only msgspec and the HCL
grammar's library, and contains nothing specific to one kind of file.
"""

from scaledeal.hcl.reading import (
    Fault,
    FileError,
    Rule,
    RuleViolation,
    UnreadableValueError,
    check_rules,
    read_as,
    read_file,
)
from scaledeal.hcl.values import Duration, DurationRange, NumberRange

__all__ = [
    "Duration",
    "DurationRange",
    "Fault",
    "FileError",
    "NumberRange",
    "Rule",
    "RuleViolation",
    "UnreadableValueError",
    "check_rules",
    "read_as",
    "read_file",
]
