"""Only the tests listed in KNOWN-RED.txt may fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run_suite(folder: Path, listed: str | None, *args: str) -> tuple[int, str]:
    """Run a failing and a passing test with this KNOWN-RED.txt; return the exit code and the output."""
    (folder / "tests").mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests" / "conftest.py").write_text(
        f"import sys\nsys.path.insert(0, {str(HERE)!r})\nfrom known_red import *\n"
    )
    (folder / "tests" / "test_it.py").write_text(TESTS)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return completed.returncode, completed.stdout + completed.stderr


RED = "tests/test_it.py::test_red | the queue is cut short | 34\n"


def test_a_listed_test_may_fail_and_is_printed(tmp_path: Path) -> None:
    code, output = run_suite(tmp_path, "# a comment\n\n" + RED)
    assert code == 0, output
    assert "known red: tests/test_it.py::test_red: the queue is cut short (issue 34)" in output


def test_without_the_file_a_failing_test_fails_the_run(tmp_path: Path) -> None:
    code, output = run_suite(tmp_path, None)
    assert code == 1 and "1 failed, 1 passed" in output and "known red" not in output


@pytest.mark.parametrize(
    "listed,message",
    [
        (RED + "tests/test_it.py::test_green | cause | 1\n", "test_green"),
        ("tests/test_it.py::test_red | | 34\n", "KNOWN-RED.txt:1: 'test | cause | issue' was expected"),
        ("tests/test_it.py::test_red | cause\n", "KNOWN-RED.txt:1: 'test | cause | issue' was expected"),
        (RED + RED, "KNOWN-RED.txt:2: tests/test_it.py::test_red is listed twice"),
        (RED + "tests/test_it.py::test_other | cause | 1\n", "no such test: tests/test_it.py::test_other"),
        (RED + "tests/test_gone.py::test_a | cause | 1\n", "no such test: tests/test_gone.py::test_a"),
        ("".join(f"tests/test_it.py::t{n} | cause | 1\n" for n in range(4)), "4 tests, 3 at most are allowed"),
    ],
)
def test_an_invalid_file_fails_the_run_with_a_message(tmp_path: Path, listed: str, message: str) -> None:
    code, output = run_suite(tmp_path, listed)
    assert code not in (0, 5) and message in output, output


def test_a_run_of_one_file_checks_only_the_listed_tests_of_that_file(tmp_path: Path) -> None:
    code, output = run_suite(tmp_path, RED + "tests/test_else.py::test_a | cause | 1\n", "tests/test_it.py")
    assert code == 0, output
