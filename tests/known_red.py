"""Tests of real faults that can't be mended yet: listed in KNOWN-RED.txt at the root, run, and expected to fail.

A line is ``test | cause | issue``, the test as pytest names it. Three at most; a line without one of the three, one
that names no test and one whose test passes fail the run and are told.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


def read(text: str) -> tuple[dict[str, str], list[str]]:
    """Return the tests with what is known of them, and what is wrong with the file."""
    listed: dict[str, str] = {}
    wrong: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            wrong.append(f"{FILE}:{number}: 'test | cause | issue' was expected")
        elif parts[0] in listed:
            wrong.append(f"{FILE}:{number}: {parts[0]} stands twice")
        else:
            listed[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(listed) > MOST:
        wrong.append(f"{FILE}: {len(listed)} tests, {MOST} at most are allowed")
    return listed, wrong


def _listed(config: pytest.Config) -> dict[str, str]:
    path = Path(config.rootpath, FILE)
    listed, wrong = read(path.read_text() if path.exists() else "")
    if wrong:
        raise pytest.UsageError("\n".join(wrong))
    return listed


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail, before any is chosen by name or mark."""
    listed = _listed(config)
    known = {item.nodeid: item for item in items}
    files = {name.partition("::")[0] for name in known}
    whole = config.args == config.getini("testpaths") or config.args == [str(config.rootpath)]
    missing = [name for name in listed if name not in known and (whole or name.partition("::")[0] in files)]
    if missing:
        raise pytest.UsageError("\n".join(f"{FILE}: no such test: {name}" for name in missing))
    for name, why in listed.items():
        if name in known:
            known[name].add_marker(pytest.mark.xfail(reason=why, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for name, why in _listed(terminalreporter.config).items():
        terminalreporter.write_line(f"known red: {name}: {why}")
