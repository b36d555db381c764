"""UDP sockets that know when the kernel took each datagram, so that what came first can be told for certain."""

from __future__ import annotations

import socket
import struct

SO_TIMESTAMPNS = 35  # Linux, asm-generic/socket.h; socket(7)
_TIME = struct.Struct("@ll")

Source = tuple[str, int]


def udp(host: str = "127.0.0.1", port: int = 0) -> socket.socket:
    """Return a bound socket that does not block."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


def received(sock: socket.socket) -> list[tuple[bytes, Source, int]]:
    """Return what waits: datagram, source and the kernel's Unix time (ns) of its coming."""
    found: list[tuple[bytes, Source, int]] = []
    while True:
        try:
            data, about, _, source = sock.recvmsg(65_536, 64)
        except OSError:  # nothing more, or a refusal of something sent before
            return found
        seconds, nanoseconds = next(
            (_TIME.unpack(value[: _TIME.size]) for _, kind, value in about if kind == SO_TIMESTAMPNS), (0, 0)
        )
        found.append((data, source, seconds * 1_000_000_000 + nanoseconds))
