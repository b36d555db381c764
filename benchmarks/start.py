"""How long a relay takes from its start to the first PONG, against the interpreter with Twisted's reactor alone.

Both are whole processes, and a stand-in for discovery answers at once. There are three cases: one relay alone; several
started at the same moment on one core, as in a rolling restart (timed to the last PONG, against as many interpreters);
and a successor started beside a relay that serves, timed until it takes clients. Prints the medians in seconds and
their ratios; with ``--json`` also one JSON object in the last line.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROUNDS = 9
CONCURRENT = 4  # processes that share a core
INTERPRETER_CODE = "from twisted.internet import reactor; import twisted.web.client; print('up', flush=True); input()"
SETTINGS = {"Classes": [{"Name": "c", "Aim": 300_000_000, "Deadline": 2_000_000_000}], "Discovery": "on_request"}


def start_discovery() -> str:
    """Start a thread that answers the first call of each connection with an empty list; return its address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer() -> None:
        open_connections = []  # kept, so that the watches on them wait
        while True:
            connection = listener.accept()[0]
            connection.recv(4096)
            body = b'{"index":1,"endpoints":[]}'
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            open_connections.append(connection)

    threading.Thread(target=answer, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def core_setter(core: int | None) -> Callable[[], None] | None:
    """Return a ``preexec_fn`` that pins a process to a core; None for no core."""
    return None if core is None else lambda: os.sched_setaffinity(0, {core})


def start_relay(
    folder: str, discovery: str, core: int | None = None, listen: str = "127.0.0.1:0"
) -> tuple[subprocess.Popen[str], int]:
    """Start a relay; once it listens, return its process and its port."""
    env = {
        **os.environ,
        "PROXY_CONFIG": f"{folder}/config.json",
        "PROXY_LISTEN": listen,
        "PROXY_DISCOVERY": discovery,
        "TMPDIR": folder,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "scaledeal"], env=env, stderr=subprocess.PIPE, text=True, preexec_fn=core_setter(core)
    )
    assert process.stderr is not None
    line = next(text for text in process.stderr if "listens on" in text)
    return process, int(line.partition("127.0.0.1:")[2].partition(",")[0])


def wait_for_pong(port: int) -> None:
    """Send PING as a front does until the relay answers PONG."""
    answer = b""
    while answer != b"PONG\r\n":
        with socket.create_connection(("127.0.0.1", port)) as front:
            front.sendall(b"PING\r\n")
            answer = front.recv(64)


def kill(process: subprocess.Popen[str]) -> None:
    """Kill a process and wait for its exit."""
    process.kill()
    process.communicate()


def time_relay(discovery: str, core: int | None = None) -> float:
    """Start a relay; return the seconds until its PONG."""
    with tempfile.TemporaryDirectory() as folder:
        write_config(folder)
        began = time.perf_counter()
        process, port = start_relay(folder, discovery, core)
        wait_for_pong(port)
        took = time.perf_counter() - began
        kill(process)
        return took


def time_successor(discovery: str) -> float:
    """Start a relay beside one that serves; return the seconds until it takes clients."""
    with tempfile.TemporaryDirectory() as folder:
        write_config(folder)
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        old, port = start_relay(folder, discovery, listen=listen)
        wait_for_pong(port)
        began = time.perf_counter()
        new, _ = start_relay(folder, discovery, listen=listen)
        took = time.perf_counter() - began
        kill(new)
        kill(old)
        return took


def time_interpreter(core: int | None = None) -> float:
    """Start the interpreter with Twisted's reactor alone; return the seconds until it is up."""
    began = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-c", INTERPRETER_CODE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        preexec_fn=core_setter(core),
    )
    assert process.stdout is not None
    process.stdout.readline()
    took = time.perf_counter() - began
    kill(process)
    return took


def time_concurrently(measure: Callable[[], float]) -> float:
    """Run a measurement ``CONCURRENT`` times at the same moment; return the longest, in seconds."""
    with ThreadPoolExecutor(CONCURRENT) as threads:
        return max(threads.map(lambda _: measure(), range(CONCURRENT)))


def write_config(folder: str) -> None:
    """Write a relay's configuration."""
    Path(folder, "config.json").write_text(json.dumps({"name": "n", "settings": SETTINGS}))


def main() -> None:
    """Measure each case in turn with its baseline."""
    discovery, core = start_discovery(), max(os.sched_getaffinity(0))
    time_relay(discovery), time_interpreter()  # warm up: byte code and the system's file cache
    cases: dict[str, tuple[Callable[[], float], Callable[[], float]]] = {
        "alone": (lambda: time_relay(discovery), time_interpreter),
        f"{CONCURRENT} on one core": (
            lambda: time_concurrently(lambda: time_relay(discovery, core)),
            lambda: time_concurrently(lambda: time_interpreter(core)),
        ),
        "successor": (lambda: time_successor(discovery), time_interpreter),
    }
    results: dict[str, dict[str, float]] = {}
    for case, (measure, baseline) in cases.items():
        pairs = [(measure(), baseline()) for _ in range(ROUNDS)]
        relay_s, alone_s = (statistics.median(times) for times in zip(*pairs, strict=True))
        ratio, worst = statistics.median(x / y for x, y in pairs), max(x for x, _ in pairs)
        results[case] = {"relay_s": relay_s, "worst_s": worst, "alone_s": alone_s, "ratio": ratio}
        print(
            f"{case}: relay {relay_s:.3f} s (worst {worst:.3f}), "
            f"interpreter with Twisted alone {alone_s:.3f} s, ratio {ratio:.2f}"
        )
    if "--json" in sys.argv:
        print(json.dumps(results))


if __name__ == "__main__":
    main()
