"""Plays clients that misuse a relay against real processes, and measures what sound clients and the machine notice.

Run: python benchmarks/hostile_clients.py [NAME ...] [--json]. Each play starts a relay, tile servers and discovery of
its own on free loopback ports, and ends them. It prints, for each play: the relay's peak memory, the worst answer and
the longest time of a line there and back of sound clients, how many attempts reached a tile server over 0.1 s after
their client had left, and the most runs of one id. Times are of this machine; the last two are counts.
"""

from __future__ import annotations

import contextlib
import json
import multiprocessing
import os
import re
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from pathlib import Path
from typing import Any, BinaryIO

from scaledeal.lab.discovery import Discovery
from scaledeal.lab.loop import Loop

ROOT = Path(__file__).resolve().parent.parent
SERVERS = 4
NAMES_PER_SERVER = 250  # so that requests that are never answered do not use up the limit on set-ups
SOUND_CLIENTS = 20  # established connections that send a line every LINE_INTERVAL_S
LINE_INTERVAL_S = 0.2
REQUEST_INTERVAL_S = 0.1  # between two requests of sound clients
ANSWER_TIMEOUT_S = 20.0
LATE_AFTER_S = 0.1  # an attempt that arrives so long after its client has left is lost
CROWD = 440  # nearly as many clients as a relay with 1,024 descriptors may hold, beside the sound ones
HELD_KEY = "held"  # requests with this key are never answered by their server
SETTINGS: dict[str, Any] = {
    "Classes": [
        {"Name": "browse", "Aim": 500e6, "Deadline": 3e9, "Semantics": "repeatable", "KeyScope": "all", "Worth": 2.0},
        {"Name": "slow", "Aim": 60e9, "Deadline": 60e9, "Semantics": "repeatable", "KeyScope": "all", "Worth": 2.0},
        {"Name": "once", "Aim": 3e9, "Deadline": 3e9, "Semantics": "once", "KeyScope": "all", "Worth": 2.0},
    ],
    "Caps": {"Probing": True, "Cancelling": True, "MaxAttempts": 6, "DialTimeout": 250e6},
    "Report": {"Fields": ["fail_rate", "rif", "x0"], "Via": "probe"},
    "Discovery": "on_request",
    "FailureDomains": ["a"],
    "Siblings": 1,
    "Specifics": {"Groups": True, "MessageAim": [150e6, 150e6, 150e6]},
    "Rules": {"ColdFrom": 0.3, "WarmAfter": 1.0, "OverloadFactor": 3.0, "Fall": 1e9},
}


def run_tile_server(arrivals: Connection) -> None:
    """Serve as a tile server: send the port, then the time and id of each first line, until the process is ended."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    selector.register(listener, selectors.EVENT_READ)
    established: set[socket.socket] = set()
    received: dict[socket.socket, bytes] = {}
    queued: dict[socket.socket, bytes] = {}
    arrivals.send(listener.getsockname()[1])
    while True:
        for key, events in selector.select():
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            if sock is listener:
                accepted = listener.accept()[0]
                accepted.setblocking(False)
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                received[accepted] = queued[accepted] = b""
                selector.register(accepted, selectors.EVENT_READ)
                continue
            try:
                if events & selectors.EVENT_READ:
                    data = sock.recv(65_536)
                    if not data:
                        raise ConnectionError
                    queued[sock] += _answer(sock, data, established, received, arrivals)
                queued[sock] = queued[sock][sock.send(queued[sock]) :] if queued[sock] else b""
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(sock)
                sock.close()
                established.discard(sock)
                continue
            # A server that is not read does not read on either.
            selector.modify(sock, selectors.EVENT_WRITE if queued[sock] else selectors.EVENT_READ)


def _answer(
    sock: socket.socket,
    data: bytes,
    established: set[socket.socket],
    received: dict[socket.socket, bytes],
    arrivals: Connection,
) -> bytes:
    if sock in established:
        return data  # each line is returned at once
    *lines, received[sock] = (received[sock] + data).split(b"\r\n")
    answers = b""
    for line in lines:
        if line == b"STATS":
            answers += b"PONG eps=0.0,inflight=%d,x0=%.3f\r\n" % (len(established), len(established) / 2000)
        elif line.startswith(b"OPEN "):
            _, request_id, request_key, _ = line.split(b" ")
            arrivals.send((time.monotonic(), request_id.decode()))
            if request_key.decode() != HELD_KEY:
                established.add(sock)
                answers += b"UP r-1\r\n"
    return answers


class Relay:
    """A relay process, started as the deploy file does."""

    def __init__(self, folder: Path, discovery: str, descriptors: int = 1024) -> None:
        config = folder / "config.json"
        limits = {"cores": 1.0, "sockets": descriptors}
        config.write_text(json.dumps({"name": "n0", "seed": "1", "settings": SETTINGS, "limits": limits}))
        self.folder = folder
        self.env = os.environ | {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": "127.0.0.1:0",
            "PROXY_DISCOVERY": discovery,
            "PROXY_ADMIN": "127.0.0.1:0",
            "PROXY_CONFIG": str(config),
            "TMPDIR": str(folder),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "scaledeal"], cwd=ROOT, env=self.env, stderr=subprocess.PIPE, text=True
        )
        self.port = 0
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if found := re.search(r"listens on 127\.0\.0\.1:(\d+)", line):
                self.port = int(found[1])
                break
        threading.Thread(target=self.process.stderr.read, daemon=True).start()

    def peak_memory_mb(self) -> float:
        """Return the largest resident set so far, in MB; 0 if the process has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


@dataclass
class Figures:
    """What one play showed."""

    peak_memory_mb: float = 0.0
    worst_answer_s: float = 0.0
    unanswered: int = 0
    moved: int = 0  # sound connections that the relay moved, as their lines took long
    longest_echo_s: float = 0.0
    attempts_after_client_left: int = 0
    most_runs_of_an_id: int = 0

    def __str__(self) -> str:
        """Return the figures in one line."""
        return ", ".join(
            (
                f"peak {self.peak_memory_mb:.0f} MB",
                f"worst answer {self.worst_answer_s:.3f} s",
                f"{self.unanswered} unanswered",
                f"{self.moved} moved",
                f"longest echo {self.longest_echo_s:.3f} s",
                f"{self.attempts_after_client_left} attempts after their client",
                f"{self.most_runs_of_an_id} runs of an id at most",
            )
        )


@dataclass
class Play:
    """A relay with its tile servers and discovery, and what is recorded of them."""

    folder: Path
    figures: Figures = field(default_factory=Figures)
    left_at: dict[str, float] = field(default_factory=dict)  # by id, when its client closed
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    numbers: int = 0

    def __post_init__(self) -> None:
        self.lock = threading.Lock()
        self.waiting: dict[socket.socket, float] = {}  # sound connections whose line is not returned, and since when
        self.over = threading.Event()
        self.loop = Loop()
        self.discovery = Discovery(self.loop)
        self.pipes: list[Connection] = []
        self.processes: list[Any] = []
        context = multiprocessing.get_context("fork")
        for number in range(SERVERS):
            pipe, far_end = context.Pipe()
            process = context.Process(target=run_tile_server, args=(far_end,), daemon=True)
            process.start()
            self.processes.append(process)
            self.pipes.append(pipe)
            address = f"127.0.0.1:{pipe.recv()}"
            for name in range(NAMES_PER_SERVER):
                self.discovery.put(f"s{number}-{name}", address)
        self.threads = [threading.Thread(target=self._run_discovery, daemon=True)]
        self.threads.append(threading.Thread(target=self._collect, daemon=True))
        for thread in self.threads:
            thread.start()
        self.relay = Relay(self.folder, self.discovery.address)

    def _run_discovery(self) -> None:
        while not self.over.is_set():
            self.loop.run_once()

    def _collect(self) -> None:
        while not self.over.is_set() or any(pipe.poll() for pipe in self.pipes):
            for pipe in wait(self.pipes, 0.05):
                assert isinstance(pipe, Connection)
                self.arrivals.append(pipe.recv())

    def open_line(self, key: str = "", request_class: str = "browse", request_id: str = "", more: str = "") -> bytes:
        """Return a first line, with an id of its own unless one is given."""
        with self.lock:
            self.numbers += 1
            request_id = request_id or f"{os.getpid():08x}{self.numbers:08x}"  # a flood's process counts by itself
        group = f"g{self.numbers % 50}"
        return f"OPEN {request_id} {key or 'k' + request_id} c={request_class},d=3000,g={group}{more}\r\n".encode()

    def connect(self, data: bytes = b"") -> socket.socket:
        """Connect to the relay as a client, and send some bytes."""
        sock = socket.create_connection(("127.0.0.1", self.relay.port), timeout=ANSWER_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            sock.sendall(data)
        return sock

    def leave(self, sock: socket.socket, request_id: str) -> None:
        """Close a client's connection, and record when."""
        sock.close()
        self.left_at[request_id] = time.monotonic()

    def start_sound_clients(self) -> None:
        """Have sound clients send requests and lines until the end of the play."""
        for number in range(SOUND_CLIENTS):
            self.threads.append(threading.Thread(target=self._echo, args=(number,), daemon=True))
        self.threads.append(threading.Thread(target=self._ask, daemon=True))
        for thread in self.threads[2:]:
            thread.start()
        time.sleep(1.0)

    def _echo(self, number: int) -> None:
        while not self.over.is_set():
            with contextlib.suppress(OSError), self.connect(self.open_line()) as sock, sock.makefile("rb") as reader:
                if reader.readline().startswith(b"UP"):
                    self._send_lines(sock, reader, LINE_INTERVAL_S * (0.8 + 0.02 * number))

    def _send_lines(self, sock: socket.socket, reader: BinaryIO, interval: float) -> None:
        """Send lines and measure the time of each, until the connection is moved or the play is over."""
        while not self.over.wait(interval):
            began = self.waiting[sock] = time.monotonic()
            sock.sendall(b"M 1\r\n")
            answer = reader.readline()
            del self.waiting[sock]
            if self.over.is_set():
                return
            self.figures.longest_echo_s = max(self.figures.longest_echo_s, time.monotonic() - began)
            if answer != b"M 1\r\n":
                self.figures.moved += answer == b"MOVE\r\n"
                self.figures.unanswered += answer != b"MOVE\r\n"
                return

    def _ask(self) -> None:
        while not self.over.wait(REQUEST_INTERVAL_S):
            began = time.monotonic()
            try:
                with self.connect(self.open_line()) as sock:
                    if not sock.recv(100).startswith((b"UP", b"BUSY")):
                        raise ConnectionError
            except OSError:
                self.figures.unanswered += not self.over.is_set()
            self.figures.worst_answer_s = max(self.figures.worst_answer_s, time.monotonic() - began)

    def finish(self) -> Figures:
        """End all processes, and return the figures."""
        self.over.set()
        longest_wait = max((time.monotonic() - since for since in list(self.waiting.values())), default=0.0)
        self.figures.longest_echo_s = max(self.figures.longest_echo_s, longest_wait)
        self.figures.peak_memory_mb = self.relay.peak_memory_mb()
        if self.relay.process.poll() is not None:
            self.figures.unanswered += 1
        time.sleep(0.3)
        late = [1 for at, request_id in self.arrivals if at - self.left_at.get(request_id, at) > LATE_AFTER_S]
        self.figures.attempts_after_client_left = len(late)
        self.figures.most_runs_of_an_id = max(Counter(each for _, each in self.arrivals).values(), default=0)
        self.relay.end()
        for process in self.processes:
            process.kill()
            process.join()
        for thread in self.threads:
            thread.join(0.1)
        self.loop.close()
        return self.figures


# Many clients at once


def many_fields(play: Play) -> None:
    """Hundreds of clients whose first lines have as many short fields as fit, at requests that are not answered."""
    fields = "".join(f",{a}{b}=" + "1" for a in "abcdefghijklmnopqrstuvwxyz" for b in "abcdefghijklmnopqrstuvwxyz01")
    socks = [
        play.connect(play.open_line(HELD_KEY, "slow", more=fields[:3900].rpartition(",")[0])) for _ in range(CROWD)
    ]
    time.sleep(4)
    _close(socks)


def many_fields_established(play: Play) -> None:
    """Hundreds of clients with the same first lines, on connections that are established."""
    fields = "".join(f",{a}{b}=" + "1" for a in "abcdefghijklmnopqrstuvwxyz" for b in "abcdefghijklmnopqrstuvwxyz01")
    socks = [play.connect(play.open_line(more=fields[:3900].rpartition(",")[0])) for _ in range(CROWD)]
    time.sleep(4)
    _close(socks)


def early_lines(play: Play) -> None:
    """Hundreds of clients that send as much as they may before their answer."""
    early = (b"M" * 4090 + b"\r\n") * 16
    socks = [play.connect(play.open_line(HELD_KEY, "slow") + early) for _ in range(CROWD)]
    time.sleep(4)
    _close(socks)


def slow_writers(play: Play) -> None:
    """Hundreds of clients that write a long first line a few bytes at a time."""
    socks = [play.connect(play.open_line()[:20]) for _ in range(CROWD)]
    for _ in range(60):
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.send(b"x" * 70)
        time.sleep(0.03)
    _close(socks)


def half_requests(play: Play) -> None:
    """Hundreds of clients that stop half way through a long first line, again and again."""
    for _ in range(3):
        socks = [play.connect(b"OPEN 1 k c=browse,d=3000," + b"x" * 4000) for _ in range(CROWD)]
        time.sleep(2.7)
        _close(socks)


def unread_answers(play: Play) -> None:
    """Hundreds of established clients that send lines and read nothing of what comes back."""
    socks = [play.connect(play.open_line()) for _ in range(CROWD - SOUND_CLIENTS)]
    time.sleep(1)
    for sock in socks:
        sock.setblocking(False)
    for _ in range(20):
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.send(b"x\r\n" * 20_000)
        time.sleep(0.1)
    _close(socks)


def _close(socks: list[socket.socket]) -> None:
    for sock in socks:
        sock.close()


# One client at full speed


def _flood(play: Play, sock: socket.socket, block: bytes, seconds: float, again: Callable[[], socket.socket]) -> None:
    """Send a block again and again, reading what comes back; connect again where the connection ends."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.send(block)
            with contextlib.suppress(BlockingIOError):
                if not sock.recv(1 << 18):
                    raise ConnectionError
        except OSError:
            sock.close()
            sock = again()
    sock.close()


def _in_process(flood: Callable[[], None]) -> None:
    """Flood from a process of its own, so that the sound clients are not held up by it."""
    process = multiprocessing.get_context("fork").Process(target=flood, daemon=True)
    process.start()
    process.join()


def short_lines(play: Play) -> None:
    """One established client that sends lines of one byte."""

    def flood() -> None:
        sock = play.connect(play.open_line())
        sock.recv(100)
        _flood(play, sock, b"x\r\n" * 20_000, 4.0, lambda: play.connect(play.open_line()))

    _in_process(flood)


def short_lines_from_sixty(play: Play) -> None:
    """Sixty established clients that send lines of one byte."""

    def flood() -> None:
        socks = [play.connect(play.open_line()) for _ in range(60)]
        for sock in socks:
            sock.recv(100)
        workers = [
            threading.Thread(
                target=_flood, args=(play, sock, b"x\r\n" * 20_000, 4.0, lambda: play.connect(play.open_line()))
            )
            for sock in socks
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()

    _in_process(flood)


def pings(play: Play) -> None:
    """One client that sends PINGs without waiting."""
    _in_process(lambda: _flood(play, play.connect(), b"PING\r\n" * 1000, 4.0, play.connect))


def unsound_requests(play: Play) -> None:
    """One client that sends unreadable first lines, and connects again the moment it is turned away."""
    _in_process(lambda: _flood(play, play.connect(), b"OPEN x\r\n" * 1000, 4.0, play.connect))


def new_names(play: Play) -> None:
    """One client that sends requests with ever new ids, keys, groups and classes, each on a new connection."""

    def flood() -> None:
        end, number = time.monotonic() + 6.0, 0
        while time.monotonic() < end:
            number += 1
            request_class = "browse" if number % 3 else f"c{number}"
            line = f"OPEN n{number} key{number} c={request_class},d=3000,g=group{number},q{number}=1\r\n"
            with contextlib.suppress(OSError):
                sock = play.connect(line.encode())
                sock.recv(100)
                sock.close()

    _in_process(flood)


# Clients that leave


def unread_bytes(play: Play) -> None:
    """Clients that send a request and much behind it, and close at once, while the relay is stopped for a moment."""
    for number in range(40):
        request_id = f"unread{number}"
        play.relay.process.send_signal(19)
        # As much behind the request as is accepted before its answer.
        sock = play.connect(play.open_line(request_id=request_id) + (b"M" * 4000 + b"\r\n") * 15)
        play.leave(sock, request_id)
        time.sleep(0.15)
        play.relay.process.send_signal(18)
        time.sleep(0.05)


def same_id_again(play: Play) -> None:
    """Clients that leave before the answer, or after it where a request may not be repeated, and come again."""
    for number in range(10):
        for request_class, key in (("once", HELD_KEY), ("browse", HELD_KEY), ("once", "k")):
            request_id = f"again{number}{request_class}{key}"
            for _ in range(2):
                sock = play.connect(play.open_line(key, request_class, request_id))
                time.sleep(0.1)
                sock.close()
                time.sleep(0.1)


def same_id_at_the_new_version(play: Play) -> None:
    """Clients that leave the old process of an upgrade, and come again with the same id at the new one."""
    ids = [f"upgrade{number}" for number in range(10)]

    def come() -> None:
        for number, request_id in enumerate(ids):
            sock = play.connect(play.open_line(HELD_KEY if number % 2 else "k", "once", request_id))
            time.sleep(0.05)
            sock.close()
        time.sleep(0.3)

    come()
    old = play.relay
    play.relay = Relay(play.folder, play.discovery.address)
    play.relay.port = play.relay.port or old.port
    time.sleep(1)
    come()
    old.process.terminate()
    old.process.wait()
    come()


PLAYS: dict[str, Callable[[Play], None]] = {
    each.__name__: each
    for each in (
        many_fields,
        many_fields_established,
        early_lines,
        slow_writers,
        half_requests,
        unread_answers,
        short_lines,
        short_lines_from_sixty,
        pings,
        unsound_requests,
        new_names,
        unread_bytes,
        same_id_again,
        same_id_at_the_new_version,
    )
}


def run(name: str) -> Figures:
    """Run one play, and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder))
        try:
            play.start_sound_clients()
            PLAYS[name](play)
        finally:
            figures = play.finish()
    return figures


def main() -> None:
    """Run the plays that are named, or all."""
    names = [name for name in sys.argv[1:] if not name.startswith("-")] or list(PLAYS)
    results = {}
    for name in names:
        results[name] = run(name)
        print(f"{name:28} {results[name]}", flush=True)
    if "--json" in sys.argv[1:]:
        print(json.dumps({name: vars(figures) for name, figures in results.items()}))


if __name__ == "__main__":
    main()
