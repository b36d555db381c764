"""Finds, reads and checks scenarios."""

from __future__ import annotations

import re
from pathlib import Path

from scaledeal.hcl import Fault, FileError, read_as, read_file
from scaledeal.lab.scenario.rules import RULES
from scaledeal.lab.scenario.types import Scenario

READY = Path(__file__).parent.parent / "scenarios"
DEEPEST = 4  # files that build on one another
_BASE = re.compile(r'^base\s*=\s*"([^"]*)"', re.MULTILINE)


def ready() -> dict[str, Path]:
    """Return the scenarios that come with the program, by name."""
    return {path.stem: path for path in sorted(READY.glob("*.hcl"))}


def load(name: str | Path) -> Scenario:
    """Read a scenario by its path, or by the name of a ready one; raise FileError with all that is wrong."""
    path = Path(name)
    if not path.is_file() and str(name) in ready():
        path = ready()[str(name)]
    return load_text(read_file(path))


def load_text(text: str, over: str = "") -> Scenario:
    """Read a scenario's text, on top of what it builds on, with further text laid over it."""
    under: list[str] = []
    at = text
    while found := _BASE.search(at):
        if found[1] not in ready():
            raise FileError(
                [
                    Fault(
                        text[: found.start()].count("\n") + 1,
                        "base",
                        f"no ready scenario {found[1]!r}; there are {', '.join(ready())}",
                    )
                ]
            )
        at = read_file(ready()[found[1]])
        under.insert(0, at)
        if len(under) > DEEPEST:
            raise FileError([Fault(0, "base", "scenarios that build on one another without end")])
    return read_as(over, Scenario, RULES, [*under, text]) if over else read_as(text, Scenario, RULES, under)


def check(path: Path) -> list[Fault]:
    """Return everything that is wrong with a file."""
    try:
        load(path)
    except FileError as error:
        return error.faults
    return []
