"""Find, read and check scenario files."""

from __future__ import annotations

import re
from pathlib import Path

from scaledeal.hcl import Fault, FileError, read_as, read_file
from scaledeal.lab.scenario.rules import RULES
from scaledeal.lab.scenario.types import Scenario

BUNDLED_DIRECTORY = Path(__file__).parent.parent / "scenarios"
MAX_BASE_DEPTH = 4  # files in a chain of ``base`` references
_BASE = re.compile(r'^base\s*=\s*"([^"]*)"', re.MULTILINE)


def bundled_scenarios() -> dict[str, Path]:
    """Return the paths of the scenarios that come with the program, by name."""
    return {path.stem: path for path in sorted(BUNDLED_DIRECTORY.glob("*.hcl"))}


def load(name: str | Path) -> Scenario:
    """Read a scenario by path or by the name of a bundled one; raise FileError listing every fault."""
    path = Path(name)
    if not path.is_file() and str(name) in bundled_scenarios():
        path = bundled_scenarios()[str(name)]
    return load_text(read_file(path))


def load_text(text: str, overlay: str = "") -> Scenario:
    """Read a scenario from its text, layered over its base scenarios and under ``overlay``.

    Raises FileError for every fault, for an unknown base and for a chain of bases that is too long or circular.
    """
    bases: list[str] = []
    current = text
    while found := _BASE.search(current):
        if found[1] not in bundled_scenarios():
            raise FileError(
                [
                    Fault(
                        text[: found.start()].count("\n") + 1,
                        "base",
                        f"unknown base scenario {found[1]!r}; bundled scenarios: {', '.join(bundled_scenarios())}",
                    )
                ]
            )
        current = read_file(bundled_scenarios()[found[1]])
        bases.insert(0, current)
        if len(bases) > MAX_BASE_DEPTH:
            raise FileError([Fault(0, "base", "the chain of base scenarios is circular or too long")])
    return read_as(overlay, Scenario, RULES, [*bases, text]) if overlay else read_as(text, Scenario, RULES, bases)


def check(path: Path) -> list[Fault]:
    """Return every fault of a scenario file; the list is empty for a valid one."""
    try:
        load(path)
    except FileError as error:
        return error.faults
    return []
