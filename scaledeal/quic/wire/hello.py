"""The ClientHello: reassembly from CRYPTO frames, and the extensions that routing needs.

RFC 9000 section 7.5 (CRYPTO buffers), RFC 8446 section 4.1.2 (ClientHello), RFC 6066 section 3 (server_name),
RFC 7301 section 3.1 (ALPN).
"""

from __future__ import annotations

import msgspec

from scaledeal.quic.wire.buffer import MalformedError, Reader
from scaledeal.quic.wire.frames import CryptoFrame

MAX_CLIENT_HELLO_BYTES = 16_384  # RFC 9000 section 7.5 requires at least 4,096
MAX_SEPARATE_SEGMENTS = 64  # bounds the memory that a client can take with gaps in its stream
_SERVER_NAME_EXTENSION = 0
_ALPN_EXTENSION = 16


class ClientHello(msgspec.Struct, frozen=True):
    """A ClientHello: server name in lower case ("" if absent) and ALPN protocol names in the client's order."""

    server_name: str
    protocols: tuple[str, ...]


class CryptoStream:
    """Reassembles a handshake stream from CRYPTO frames that arrive split, reordered, repeated or overlapping."""

    def __init__(self) -> None:
        self.segments: list[tuple[int, bytes]] = []  # (offset, data), sorted, neither overlapping nor adjacent

    def add(self, frame: CryptoFrame) -> None:
        """Add a frame's data; raise MalformedError where the stream would exceed its bounds."""
        start, data = frame.offset, frame.data
        if start + len(data) > MAX_CLIENT_HELLO_BYTES:
            raise MalformedError("the ClientHello is too long")
        if not data:
            return
        kept: list[tuple[int, bytes]] = []
        for held_start, held in self.segments:
            held_end = held_start + len(held)
            if held_end < start or held_start > start + len(data):
                kept.append((held_start, held))
                continue
            # Adjacent or overlapping: data received first is kept, so that a later copy can't change it.
            before = data[: max(0, held_start - start)]
            after = data[max(0, held_end - start) :]
            start, data = min(held_start, start), before + held + after
        if len(kept) >= MAX_SEPARATE_SEGMENTS:
            raise MalformedError("the ClientHello is in too many pieces")
        kept.append((start, data))
        self.segments = sorted(kept)

    def contiguous_prefix(self) -> bytes:
        """Return the bytes received from offset 0 up to the first gap."""
        return self.segments[0][1] if self.segments and self.segments[0][0] == 0 else b""


def client_hello_body(stream: bytes) -> bytes | None:
    """Return the ClientHello's body, None while it is incomplete; raise MalformedError for any other message."""
    if len(stream) < 4:
        return None
    if stream[0] != 1:
        raise MalformedError("no ClientHello")
    length = int.from_bytes(stream[1:4], "big")
    if length > MAX_CLIENT_HELLO_BYTES - 4:
        raise MalformedError("the ClientHello is too long")
    return stream[4 : 4 + length] if len(stream) >= 4 + length else None


def parse_client_hello(body: bytes) -> ClientHello:
    """Parse a ClientHello's body; raise MalformedError where it is not one."""
    reader = Reader(body)
    reader.take(34)  # legacy version and random
    reader.take(reader.uint(1))  # legacy session id
    reader.take(reader.uint(2))  # cipher suites
    reader.take(reader.uint(1))  # legacy compression methods
    server_name, protocols = "", ()  # type: str, tuple[str, ...]
    if reader.remaining():
        end = reader.uint(2) + reader.offset
        if end > len(body):
            raise MalformedError("ends too soon")
        offset = reader.offset
        # Slices instead of a Reader for each extension: a ClientHello has a dozen and only two are used.
        while offset < end:
            extension = int.from_bytes(body[offset : offset + 2], "big")
            start = offset + 4
            offset = start + int.from_bytes(body[offset + 2 : start], "big")
            if offset > end or start > end:
                raise MalformedError("ends too soon")
            if extension == _SERVER_NAME_EXTENSION:
                server_name = _parse_server_name(Reader(body, start, offset))
            elif extension == _ALPN_EXTENSION:
                protocols = _parse_protocols(Reader(body, start, offset))
    return ClientHello(server_name, protocols)


def _parse_server_name(reader: Reader) -> str:
    names = reader.subreader(reader.uint(2))
    while names.remaining():
        name_type, name = names.uint(1), names.take(names.uint(2))
        if name_type == 0:
            if not name.isascii() or len(name) > 255:
                raise MalformedError("no server name")
            return name.decode().lower().rstrip(".")
    return ""


def _parse_protocols(reader: Reader) -> tuple[str, ...]:
    names, protocols = reader.subreader(reader.uint(2)), []
    while names.remaining():
        protocols.append(names.take(names.uint(1)).decode("ascii", "replace"))
    return tuple(protocols)
