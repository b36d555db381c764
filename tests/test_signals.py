"""Signals sent in quick succession, before the reactor runs and while the process exits."""

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
from test_relay_process import ROOT, TIMEOUT_S

MAX_SIGNALS = 1000
SIGNAL_INTERVAL_S = 0.002  # without a pause between signals the process has no time left to exit


def start(folder: Path) -> subprocess.Popen[str]:
    """Start a relay whose discovery refuses connections, and return its process."""
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
    """Return the log up to the first line that contains ``word``; fail if the log ends before."""
    assert process.stderr is not None
    log = ""
    while word not in log:
        line = process.stderr.readline()
        assert line, log
        log += line
    return log


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_during_the_exit_do_not_kill_the_process(tmp_path: Path, number: signal.Signals) -> None:
    process = start(tmp_path)
    log_until(process, "listens on")
    process.send_signal(signal.SIGTERM)
    log_until(process, "stopped:")
    for _ in range(MAX_SIGNALS):
        process.send_signal(number)
        with suppress(subprocess.TimeoutExpired):
            process.wait(SIGNAL_INTERVAL_S)
            break
    assert process.wait(TIMEOUT_S) == 0


def test_a_sigterm_before_the_reactor_runs_ends_the_relay_in_order(tmp_path: Path) -> None:
    process = start(tmp_path)
    log_until(process, "operators call")  # logged before the reactor runs
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
        process.send_signal(number)
    assert "invariants: none violated" in log_until(process, "stopped:")
    assert process.wait(TIMEOUT_S) == 0
