"""Server ids, derived from discovery's names, so that every relay and tile server computes the same ones."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from scaledeal.quic.ids.lb import Codec

_HASH_PERSONALIZATION = b"scaledeal-qlb-id"


def server_id(name: str, length: int) -> bytes:
    """Return a server's id of `length` bytes (1 to 15)."""
    return blake2b(name.encode(), digest_size=length, person=_HASH_PERSONALIZATION).digest()


class ServerIds:
    """Maps connection ids to server names, for every server id length that the configs in force use.

    Two names with the same server id are a collision: neither is routed by that id, and both are reported, so that
    no flow reaches the wrong server. Flows known in the table are not affected.
    """

    def __init__(self, codecs: dict[int, Codec]) -> None:
        self.codecs = codecs
        self.names: set[str] = set()
        self._name_by_id: dict[bytes, str] = {}
        self.collisions: frozenset[tuple[str, str]] = frozenset()

    def set_names(self, names: Iterable[str]) -> frozenset[tuple[str, str]]:
        """Replace the server names; return the collisions that are new."""
        self.names = set(names)
        return self._index()

    def set_codecs(self, codecs: dict[int, Codec]) -> frozenset[tuple[str, str]]:
        """Replace the codecs; return the collisions that are new."""
        self.codecs = codecs
        return self._index()

    def _index(self) -> frozenset[tuple[str, str]]:
        """Rebuild the index; return the collisions that are new."""
        name_by_id: dict[bytes, str] = {}
        pairs: set[tuple[str, str]] = set()
        shared: set[bytes] = set()
        for length in {codec.config.server_id_length for codec in self.codecs.values()}:
            for name in sorted(self.names):
                sid = server_id(name, length)
                if sid in name_by_id:
                    pairs.add((name_by_id[sid], name))
                    shared.add(sid)
                name_by_id.setdefault(sid, name)
        # A shared id could route a flow to the wrong one of its servers, so it is left out.
        self._name_by_id = {sid: name for sid, name in name_by_id.items() if sid not in shared}
        new, self.collisions = frozenset(pairs) - self.collisions, frozenset(pairs)
        return new

    def id_length(self, first: int) -> int:
        """Return the length in bytes of an id with this first byte; 0 if no config in force creates such ids."""
        codec = self.codecs.get(first >> 5)
        return codec.config.length if codec is not None else 0

    def server_name(self, cid: bytes) -> str:
        """Return the name of an id's server; empty if the id names no known server."""
        codec = self.codecs.get(cid[0] >> 5) if cid else None
        decoded = codec.decode(cid) if codec is not None else None
        return self._name_by_id.get(decoded[0], "") if decoded is not None else ""
