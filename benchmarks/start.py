"""How long a relay takes from its start to the first PONG, against the interpreter with Twisted's reactor alone.

Both are whole processes; a stand-in for discovery answers at once. Three ways: alone; several started in one moment on
one core, as in a rolling restart (the last one's PONG counts, against as many interpreters); and as the successor of a
relay that serves, to the moment at which it takes clients. Prints the medians in seconds and their ratios; ``--json``
one JSON object in the last line.
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
TOGETHER = 4  # relays that share a core
ALONE = "from twisted.internet import reactor; import twisted.web.client; print('up', flush=True); input()"
SETTINGS = {"Classes": [{"Name": "c", "Aim": 300_000_000, "Deadline": 2_000_000_000}], "Discovery": "on_request"}


def discovery() -> str:
    """Answer every first call with an empty list; return where."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer() -> None:
        held = []  # watches that wait
        while True:
            caller = listener.accept()[0]
            caller.recv(4096)
            body = b'{"index":1,"endpoints":[]}'
            caller.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            held.append(caller)

    threading.Thread(target=answer, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def on_core(core: int | None) -> Callable[[], None] | None:
    """Return what keeps a process of ours on one core."""
    return None if core is None else lambda: os.sched_setaffinity(0, {core})


def start(
    folder: str, where: str, core: int | None = None, listen: str = "127.0.0.1:0"
) -> tuple[subprocess.Popen[str], int]:
    """Start a relay; return it once it listens, and its port."""
    env = {
        **os.environ,
        "PROXY_CONFIG": f"{folder}/config.json",
        "PROXY_LISTEN": listen,
        "PROXY_DISCOVERY": where,
        "TMPDIR": folder,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "scaledeal"], env=env, stderr=subprocess.PIPE, text=True, preexec_fn=on_core(core)
    )
    assert process.stderr is not None
    line = next(each for each in process.stderr if "listens on" in each)
    return process, int(line.partition("127.0.0.1:")[2].partition(",")[0])


def pong(port: int) -> None:
    """Ask until a front is told yes."""
    told = b""
    while told != b"PONG\r\n":
        with socket.create_connection(("127.0.0.1", port)) as front:
            front.sendall(b"PING\r\n")
            told = front.recv(64)


def end(process: subprocess.Popen[str]) -> None:
    """End a process of ours."""
    process.kill()
    process.communicate()


def relay(where: str, core: int | None = None) -> float:
    """Start a relay; return the seconds to its PONG."""
    with tempfile.TemporaryDirectory() as folder:
        write(folder)
        began = time.perf_counter()
        process, port = start(folder, where, core)
        pong(port)
        took = time.perf_counter() - began
        end(process)
        return took


def successor(where: str) -> float:
    """Start a relay beside one that serves; return the seconds until it takes the clients."""
    with tempfile.TemporaryDirectory() as folder:
        write(folder)
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        old, port = start(folder, where, listen=listen)
        pong(port)
        began = time.perf_counter()
        new, _ = start(folder, where, listen=listen)
        took = time.perf_counter() - began
        end(new)
        end(old)
        return took


def alone(core: int | None = None) -> float:
    """Start the interpreter with Twisted alone; return the seconds until it is up."""
    began = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-c", ALONE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        preexec_fn=on_core(core),
    )
    assert process.stdout is not None
    process.stdout.readline()
    took = time.perf_counter() - began
    end(process)
    return took


def together(one: Callable[[], float]) -> float:
    """Start several in one moment; return the seconds to the last one's."""
    with ThreadPoolExecutor(TOGETHER) as threads:
        return max(threads.map(lambda _: one(), range(TOGETHER)))


def write(folder: str) -> None:
    """Write a relay's configuration."""
    Path(folder, "config.json").write_text(json.dumps({"name": "n", "settings": SETTINGS}))


def main() -> None:
    """Measure each way in turn with its like."""
    where, core = discovery(), max(os.sched_getaffinity(0))
    relay(where), alone()  # compiled, and in the system's memory
    ways: dict[str, tuple[Callable[[], float], Callable[[], float]]] = {
        "alone": (lambda: relay(where), alone),
        f"{TOGETHER} on one core": (
            lambda: together(lambda: relay(where, core)),
            lambda: together(lambda: alone(core)),
        ),
        "successor": (lambda: successor(where), alone),
    }
    told: dict[str, dict[str, float]] = {}
    for way, (mine, base) in ways.items():
        pairs = [(mine(), base()) for _ in range(ROUNDS)]
        a, b = (statistics.median(each) for each in zip(*pairs, strict=True))
        ratio, worst = statistics.median(x / y for x, y in pairs), max(x for x, _ in pairs)
        told[way] = {"relay_s": a, "worst_s": worst, "alone_s": b, "ratio": ratio}
        print(
            f"{way}: relay {a:.3f} s (worst {worst:.3f}), interpreter with Twisted alone {b:.3f} s, ratio {ratio:.2f}"
        )
    if "--json" in sys.argv:
        print(json.dumps(told))


if __name__ == "__main__":
    main()
