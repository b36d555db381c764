"""The ClientHello: its bytes put together from CRYPTO frames, and what placement needs of it.

RFC 9000 section 7.5 (CRYPTO buffers), RFC 8446 section 4.1.2 (ClientHello), RFC 6066 section 3 (server_name),
RFC 7301 section 3.1 (ALPN).
"""

from __future__ import annotations

import msgspec

from scaledeal.quic.wire.buffer import MalformedError, Reader
from scaledeal.quic.wire.frames import Crypto

LONGEST = 16_384  # bytes of a ClientHello that are put together; 4,096 must be (RFC 9000 section 7.5)
PIECES = 64  # gaps in it that are kept apart; more are an attack
_SERVER_NAME, _ALPN = 0, 16


class Hello(msgspec.Struct, frozen=True):
    """What a client asks for: a server name in lower case, or nothing, and protocols in its order."""

    server_name: str
    protocols: tuple[str, ...]


class CryptoStream:
    """Puts pieces together that come split, reordered, repeated or overlapping."""

    def __init__(self) -> None:
        self.pieces: list[tuple[int, bytes]] = []  # sorted, not overlapping, not touching

    def add(self, piece: Crypto) -> None:
        """Take a piece; raise MalformedError where the stream would pass its bounds."""
        start, data = piece.offset, piece.data
        if start + len(data) > LONGEST:
            raise MalformedError("the ClientHello is too long")
        if not data:
            return
        kept: list[tuple[int, bytes]] = []
        for at, held in self.pieces:
            end = at + len(held)
            if end < start or at > start + len(data):
                kept.append((at, held))
                continue
            # Touching or overlapping: what came first stands, so that a later copy can't change it.
            before = data[: max(0, at - start)]
            after = data[max(0, end - start) :]
            start, data = min(at, start), before + held + after
        if len(kept) >= PIECES:
            raise MalformedError("the ClientHello is in too many pieces")
        kept.append((start, data))
        self.pieces = sorted(kept)

    def beginning(self) -> bytes:
        """Return what has come without a gap."""
        return self.pieces[0][1] if self.pieces and self.pieces[0][0] == 0 else b""


def whole(stream: bytes) -> bytes | None:
    """Return the ClientHello's body once all of it has come; raise MalformedError where it is none."""
    if len(stream) < 4:
        return None
    if stream[0] != 1:
        raise MalformedError("no ClientHello")
    length = int.from_bytes(stream[1:4], "big")
    if length > LONGEST - 4:
        raise MalformedError("the ClientHello is too long")
    return stream[4 : 4 + length] if len(stream) >= 4 + length else None


def read(body: bytes) -> Hello:
    """Read a ClientHello's body; raise MalformedError where it is none."""
    reader = Reader(body)
    reader.take(34)  # legacy version and random
    reader.take(reader.uint(1))
    reader.take(reader.uint(2))
    reader.take(reader.uint(1))
    name, protocols = "", ()  # type: str, tuple[str, ...]
    if reader.left():
        end = reader.uint(2) + reader.at
        if end > len(body):
            raise MalformedError("ends too soon")
        at = reader.at
        # Slices, as a ClientHello has a dozen extensions and two of them matter.
        while at < end:
            kind = int.from_bytes(body[at : at + 2], "big")
            start = at + 4
            at = start + int.from_bytes(body[at + 2 : start], "big")
            if at > end or start > end:
                raise MalformedError("ends too soon")
            if kind == _SERVER_NAME:
                name = _server_name(Reader(body, start, at))
            elif kind == _ALPN:
                protocols = _protocols(Reader(body, start, at))
    return Hello(name, protocols)


def _server_name(reader: Reader) -> str:
    names = reader.inner(reader.uint(2))
    while names.left():
        kind, name = names.uint(1), names.take(names.uint(2))
        if kind == 0:
            if not name.isascii() or len(name) > 255:
                raise MalformedError("no server name")
            return name.decode().lower().rstrip(".")
    return ""


def _protocols(reader: Reader) -> tuple[str, ...]:
    names, found = reader.inner(reader.uint(2)), []
    while names.left():
        found.append(names.take(names.uint(1)).decode("ascii", "replace"))
    return tuple(found)
