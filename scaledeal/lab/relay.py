"""A relay that runs as a separate process, whose log is read as it is written."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from scaledeal.lab.loop import Loop

SETTINGS: dict[str, Any] = {
    "Classes": [
        {"Name": "browse", "Aim": 500e6, "Deadline": 3e9, "Semantics": "repeatable", "KeyScope": "all", "Worth": 2.0},
        {
            "Name": "overlay",
            "Aim": 300e6,
            "Deadline": 1.2e9,
            "Semantics": "repeatable",
            "KeyScope": "all",
            "Worth": 3.0,
        },
        {
            "Name": "compare",
            "Aim": 300e6,
            "Deadline": 1.2e9,
            "Semantics": "repeatable",
            "KeyScope": "all",
            "Worth": 3.0,
        },
    ],
    "Caps": {
        "Probing": False,
        "Cancelling": True,
        "MaxAttempts": 6,
        "DialTimeout": 250e6,
        "RetryAfter": True,
        "MaxRetryAfter": 2e9,
    },
    "Report": {"Fields": [], "Via": "none"},
    "Discovery": "on_request",
    "FailureDomains": ["a"],
    "Siblings": 1,
    "Rules": {"ColdFrom": 0.3, "WarmAfter": 1.0, "OverloadFactor": 3.0, "Fall": 1e9},
}


class RelayProcess:
    """Starts a relay, collects its log, calls it as operators do, and ends it."""

    def __init__(
        self,
        loop: Loop,
        folder: Path,
        discovery: str,
        operator_file: Path,
        name: str = "n0",
        descriptors: int = 0,
        settings: dict[str, Any] = SETTINGS,
    ) -> None:
        self.loop = loop
        config = folder / f"{name}.json"
        config.write_bytes(
            msgspec.json.encode({"name": name, "seed": "1", "settings": settings, "limits": {"sockets": descriptors}})
        )
        runtime = folder / name
        runtime.mkdir(exist_ok=True)
        env = {
            **os.environ,
            "PROXY_CONFIG": str(config),
            "PROXY_LISTEN": "127.0.0.1:0",
            "PROXY_DISCOVERY": discovery,
            "PROXY_ADMIN": "127.0.0.1:0",
            "PROXY_NAME": name,
            "TMPDIR": str(runtime),
        }
        self.log: list[str] = []
        self._partial_line = b""
        log_reader, log_writer = socket.socketpair()
        self._log_sock = log_reader
        with log_writer:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "scaledeal.cli.main", "run", "--file", str(operator_file)],
                env=env,
                stderr=log_writer.fileno(),
                stdout=log_writer.fileno(),
            )
        loop.add_reader(log_reader, self._read_log)

    def _read_log(self) -> None:
        data = self._log_sock.recv(65_536)
        if not data:
            self.loop.remove(self._log_sock)
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        self.log += [line.decode("utf-8", "replace") for line in lines]

    def log_lines(self, text: str) -> list[str]:
        """Return the log lines so far that contain the text."""
        return [line for line in self.log if text in line]

    def wait_for_log_line(self, text: str, times: int = 1) -> str:
        """Wait until ``times`` log lines contain the text, and return the one of that number.

        Raises AssertionError with the end of the log if the relay ends first or the time-out expires.
        """

        def logged() -> bool:
            if self.process.poll() is not None and not self._log_open():
                raise AssertionError("the relay ended: " + "\n".join(self.log[-20:]))
            return len(self.log_lines(text)) >= times

        self.loop.run_until(logged, f"{text!r} in the log:\n" + "\n".join(self.log[-30:]))
        return self.log_lines(text)[times - 1]

    def _log_open(self) -> bool:
        return self._log_sock.fileno() >= 0

    @property
    def quic_port(self) -> int:
        """Wait until QUIC is served, and return its UDP port."""
        return int(msgspec.json.decode(self.wait_for_log_line("quic is served"))["port"])

    def call(self, command: str) -> str:
        """Send an operators' command such as INFO, and return the answer."""
        port = int(self.wait_for_log_line("operators call").rpartition(":")[2])
        with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
            sock.sendall(command.encode() + b"\r\n")
            return b"".join(iter(lambda: sock.recv(65_536), b"")).decode()

    def metric(self, name: str) -> int:
        """Return the value of a metric of INFO, given with its labels; 0 if there is none of that name."""
        values = [line.rpartition(" ")[2] for line in self.call("INFO").splitlines() if line.startswith(name + " ")]
        return int(values[0]) if values else 0

    def reload(self) -> None:
        """Have the relay read its settings again, by SIGHUP."""
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Have the relay move its clients and exit, by SIGTERM."""
        self.process.terminate()

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait()

    def ended(self) -> bool:
        """Return whether the process has exited."""
        return self.process.poll() is not None
