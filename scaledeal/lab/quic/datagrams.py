"""UDP sockets with kernel receive timestamps, which order datagrams reliably across sockets."""

from __future__ import annotations

import socket
import struct

SO_TIMESTAMPNS = 35  # Linux: asm-generic/socket.h, socket(7)
_TIMESPEC = struct.Struct("@ll")

Source = tuple[str, int]


def udp_socket(host: str = "127.0.0.1", port: int = 0) -> socket.socket:
    """Return a bound, non-blocking UDP socket with kernel timestamps enabled."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


def receive_pending(sock: socket.socket) -> list[tuple[bytes, Source, int]]:
    """Return the pending datagrams as (data, source, Unix time in ns of their receipt by the kernel; 0 if unknown)."""
    datagrams: list[tuple[bytes, Source, int]] = []
    while True:
        try:
            data, ancillary, _, source = sock.recvmsg(65_536, 64)
        except OSError:  # no more datagrams, or an ICMP error for one sent before
            return datagrams
        seconds, nanoseconds = next(
            (
                _TIMESPEC.unpack(value[: _TIMESPEC.size])
                for _, message_type, value in ancillary
                if message_type == SO_TIMESTAMPNS
            ),
            (0, 0),
        )
        datagrams.append((data, source, seconds * 1_000_000_000 + nanoseconds))
