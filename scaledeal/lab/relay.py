"""A relay as a process of its own, with its log read as it comes."""

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
    """Owns the process, its log and its end."""

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
        self._part = b""
        mine, theirs = socket.socketpair()
        self._sock = mine
        with theirs:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "scaledeal.cli.main", "run", "--file", str(operator_file)],
                env=env,
                stderr=theirs.fileno(),
                stdout=theirs.fileno(),
            )
        loop.read(mine, self._read)

    def _read(self) -> None:
        data = self._sock.recv(65_536)
        if not data:
            self.loop.forget(self._sock)
            return
        *lines, self._part = (self._part + data).split(b"\n")
        self.log += [line.decode("utf-8", "replace") for line in lines]

    def told(self, words: str) -> list[str]:
        """Return the log's lines that hold these words."""
        return [line for line in self.log if words in line]

    def until_told(self, words: str, times: int = 1) -> str:
        """Wait for a line of the log, and return it."""

        def there() -> bool:
            if self.process.poll() is not None and not self._sock_open():
                raise AssertionError("the relay ended: " + "\n".join(self.log[-20:]))
            return len(self.told(words)) >= times

        self.loop.until(there, f"{words!r} in the log:\n" + "\n".join(self.log[-30:]))
        return self.told(words)[times - 1]

    def _sock_open(self) -> bool:
        return self._sock.fileno() >= 0

    @property
    def quic_port(self) -> int:
        """Return the UDP port, once it is served."""
        return int(msgspec.json.decode(self.until_told("quic is served"))["port"])

    def call(self, word: str) -> str:
        """Call as operators do, and return the answer."""
        port = int(self.until_told("operators call").rpartition(":")[2])
        with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
            sock.sendall(word.encode() + b"\r\n")
            return b"".join(iter(lambda: sock.recv(65_536), b"")).decode()

    def figure(self, name: str) -> int:
        """Return one figure of INFO; 0 where there is none of that name."""
        found = [line.rpartition(" ")[2] for line in self.call("INFO").splitlines() if line.startswith(name + " ")]
        return int(found[0]) if found else 0

    def hang_up(self) -> None:
        """Have it read its settings again."""
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Have it move its clients and end."""
        self.process.terminate()

    def kill(self) -> None:
        """End it at once, and wait until it is gone."""
        self.process.kill()
        self.process.wait()

    def ended(self) -> bool:
        """Tell whether it has ended."""
        return self.process.poll() is not None
