"""Signals in series, and at moments when nobody expects them."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import pytest
from netfakes import SITE
from test_relay_process import PATIENCE, ROOT

SERIES = 1000  # signals at most
APART = 0.002  # seconds between two: in a row without a pause the process has no time left to end


def start(folder: Path) -> subprocess.Popen[str]:
    """Start a relay whose discovery is closed, and return it as soon as it has logged a line."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        discovery = f"127.0.0.1:{closed.getsockname()[1]}"
    path = folder / "c.json"
    path.write_text(json.dumps({"settings": SITE}))
    environment = {"PROXY_CONFIG": str(path), "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": discovery}
    environment |= {"PROXY_ADMIN": "127.0.0.1:0", "PYTHONPATH": str(ROOT)}
    return subprocess.Popen(
        [sys.executable, "-m", "scaledeal"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )


def log_until(process: subprocess.Popen[str], word: str) -> str:
    assert process.stderr is not None
    told = ""
    while word not in told:
        line = process.stderr.readline()
        assert line, told
        told += line
    return told


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_that_come_as_the_process_ends_do_not_kill_it(tmp_path: Path, number: signal.Signals) -> None:
    process = start(tmp_path)
    log_until(process, "listens on")
    process.send_signal(signal.SIGTERM)
    log_until(process, "stopped:")
    for _ in range(SERIES):
        process.send_signal(number)
        with suppress(subprocess.TimeoutExpired):
            process.wait(APART)
            break
    assert process.wait(PATIENCE) == 0


def test_a_relay_that_is_told_to_end_before_it_turns_ends_in_order(tmp_path: Path) -> None:
    process = start(tmp_path)
    log_until(process, "operators call")  # logged before the reactor runs
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
        process.send_signal(number)
    assert "invariants: none violated" in log_until(process, "stopped:")
    assert process.wait(PATIENCE) == 0
