"""Expected failures: tests of real faults that can't be fixed yet, listed in KNOWN-RED.txt at the root, are still run.

A line is ``test | cause | issue``, with the test as pytest names it; at most three tests may be listed. A line that
lacks one of the three parts, that names no test, or whose test passes fails the run with a message.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_LISTED_TESTS = 3


def read(text: str) -> tuple[dict[str, str], list[str]]:
    """Return the listed tests with their causes and issues, and the errors in the file."""
    listed: dict[str, str] = {}
    errors: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            errors.append(f"{FILE}:{number}: 'test | cause | issue' was expected")
        elif parts[0] in listed:
            errors.append(f"{FILE}:{number}: {parts[0]} is listed twice")
        else:
            listed[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(listed) > MAX_LISTED_TESTS:
        errors.append(f"{FILE}: {len(listed)} tests, {MAX_LISTED_TESTS} at most are allowed")
    return listed, errors


def _listed(config: pytest.Config) -> dict[str, str]:
    path = Path(config.rootpath, FILE)
    listed, errors = read(path.read_text() if path.exists() else "")
    if errors:
        raise pytest.UsageError("\n".join(errors))
    return listed


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures, before tests are selected by name or mark."""
    listed = _listed(config)
    by_name = {item.nodeid: item for item in items}
    files = {name.partition("::")[0] for name in by_name}
    full_run = config.args == config.getini("testpaths") or config.args == [str(config.rootpath)]
    missing = [name for name in listed if name not in by_name and (full_run or name.partition("::")[0] in files)]
    if missing:
        raise pytest.UsageError("\n".join(f"{FILE}: no such test: {name}" for name in missing))
    for name, reason in listed.items():
        if name in by_name:
            by_name[name].add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their causes."""
    for name, reason in _listed(terminalreporter.config).items():
        terminalreporter.write_line(f"known red: {name}: {reason}")
