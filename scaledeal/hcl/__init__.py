"""Files in HCL: their blocks read into msgspec types, and all that is wrong with them told at once.

The operators' file and the laboratory's scenarios are read by it. It may import msgspec and the grammar's library, and
knows no kind of file itself.
"""

from scaledeal.hcl.reading import Breach, Fault, FileError, Rule, UnreadError, read_as, read_file, told
from scaledeal.hcl.values import Duration, Span, Times

__all__ = [
    "Breach",
    "Duration",
    "Fault",
    "FileError",
    "Rule",
    "Span",
    "Times",
    "UnreadError",
    "read_as",
    "read_file",
    "told",
]
