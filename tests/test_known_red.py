"""KNOWN-RED.txt: what is listed there may fail, and nothing else."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def suite(folder: Path, listed: str | None, *args: str) -> tuple[int, str]:
    """Run a suite of one red and one green test with such a file; return its exit code and what it printed."""
    (folder / "tests").mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests" / "conftest.py").write_text(
        f"import sys\nsys.path.insert(0, {str(HERE)!r})\nfrom known_red import *\n"
    )
    (folder / "tests" / "test_it.py").write_text(TESTS)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return ran.returncode, ran.stdout + ran.stderr


RED = "tests/test_it.py::test_red | the queue is cut short | 34\n"


def test_a_listed_test_may_fail_and_is_printed(tmp_path: Path) -> None:
    code, told = suite(tmp_path, "# a comment\n\n" + RED)
    assert code == 0, told
    assert "known red: tests/test_it.py::test_red: the queue is cut short (issue 34)" in told


def test_without_the_file_nothing_changes(tmp_path: Path) -> None:
    code, told = suite(tmp_path, None)
    assert code == 1 and "1 failed, 1 passed" in told and "known red" not in told


@pytest.mark.parametrize(
    "listed,why",
    [
        (RED + "tests/test_it.py::test_green | cause | 1\n", "test_green"),
        ("tests/test_it.py::test_red | | 34\n", "KNOWN-RED.txt:1: 'test | cause | issue' was expected"),
        ("tests/test_it.py::test_red | cause\n", "KNOWN-RED.txt:1: 'test | cause | issue' was expected"),
        (RED + RED, "KNOWN-RED.txt:2: tests/test_it.py::test_red stands twice"),
        (RED + "tests/test_it.py::test_other | cause | 1\n", "no such test: tests/test_it.py::test_other"),
        (RED + "tests/test_gone.py::test_a | cause | 1\n", "no such test: tests/test_gone.py::test_a"),
        ("".join(f"tests/test_it.py::t{n} | cause | 1\n" for n in range(4)), "4 tests, 3 at most are allowed"),
    ],
)
def test_a_file_that_does_not_hold_fails_the_run_and_says_why(tmp_path: Path, listed: str, why: str) -> None:
    code, told = suite(tmp_path, listed)
    assert code not in (0, 5) and why in told, told


def test_a_run_of_one_file_heeds_only_what_is_listed_of_it(tmp_path: Path) -> None:
    code, told = suite(tmp_path, RED + "tests/test_else.py::test_a | cause | 1\n", "tests/test_it.py")
    assert code == 0, told
