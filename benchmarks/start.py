"""How long a relay takes from its start to the first PONG, against the interpreter with Twisted's reactor alone.

Both are whole processes, started in turn; a stand-in for discovery answers at once. Prints the medians in seconds and
their ratio; ``--json`` one JSON object in the last line.
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
from pathlib import Path

ROUNDS = 9
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


def relay(folder: str, where: str) -> float:
    """Start a relay; return the seconds to its PONG."""
    began = time.perf_counter()
    env = {**os.environ, "PROXY_CONFIG": f"{folder}/config.json", "PROXY_LISTEN": "127.0.0.1:0",
           "PROXY_DISCOVERY": where}
    process = subprocess.Popen([sys.executable, "-m", "scaledeal"], env=env, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    line = next(each for each in process.stderr if "listens on" in each)
    port = int(line.partition("127.0.0.1:")[2].partition(",")[0])
    told = b""
    while told != b"PONG\r\n":
        with socket.create_connection(("127.0.0.1", port)) as front:
            front.sendall(b"PING\r\n")
            told = front.recv(64)
    took = time.perf_counter() - began
    process.kill()
    process.communicate()
    return took


def alone() -> float:
    """Start the interpreter with Twisted alone; return the seconds until it is up."""
    began = time.perf_counter()
    process = subprocess.Popen([sys.executable, "-c", ALONE], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert process.stdout is not None
    process.stdout.readline()
    took = time.perf_counter() - began
    process.kill()
    process.communicate()
    return took


def main() -> None:
    """Measure both in turn."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "config.json").write_text(json.dumps({"name": "n", "settings": SETTINGS}))
        where = discovery()
        relay(folder, where), alone()  # compiled, and in the system's memory
        pairs = [(relay(folder, where), alone()) for _ in range(ROUNDS)]
    mine, base = (statistics.median(each) for each in zip(*pairs, strict=True))
    ratio = statistics.median(a / b for a, b in pairs)
    print(f"relay to its first PONG {mine:.3f} s, interpreter with Twisted alone {base:.3f} s, ratio {ratio:.2f}")
    if "--json" in sys.argv:
        print(json.dumps({"relay_s": mine, "alone_s": base, "ratio": ratio}))


if __name__ == "__main__":
    main()
