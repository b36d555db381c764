"""Routable ids, keys and tokens: the draft's test vectors, round trips of every form, and rejected input."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scaledeal.quic.ids import key_file, tokens
from scaledeal.quic.ids.keys import ConfigState, KeyRing, KeyRingError, new_entry, new_ring
from scaledeal.quic.ids.lb import Codec, Config, ConfigError
from scaledeal.quic.ids.servers import ServerIds, server_id

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

# draft-ietf-quic-load-balancers, appendix B.2: server id, nonce, id
KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")
VECTORS = [
    (0, "ed793a", "ee080dbf", "0720b1d07b359d3c"),
    (1, "ed793a51d49b8f5fab65", "ee080dbf48", "2fcc381bc74cb4fbad2823a3d1f8fed2"),
    (2, "ed793a51d49b8f5f", "ee080dbf48c0d1e5", "504dd2d05a7b0de9b2b9907afb5ecf8cc3"),
    (0, "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d", "125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"),
]


@pytest.mark.parametrize(("number", "sid", "nonce", "cid"), VECTORS)
def test_ids_match_draft_vectors(number: int, sid: str, nonce: str, cid: str) -> None:
    """A wrong order of passes or halves, or other padding, gives ids that other implementations can't decode."""
    codec = Codec(Config(number, len(sid) // 2, len(nonce) // 2, KEY))
    assert codec.encode(bytes.fromhex(sid), bytes.fromhex(nonce)).hex() == cid
    assert codec.decode(bytes.fromhex(cid)) == (bytes.fromhex(sid), bytes.fromhex(nonce))


@st.composite
def configs(draw: st.DrawFn) -> Config:
    sid = draw(st.integers(1, 15))
    nonce = draw(st.integers(4, min(18, 19 - sid)))
    key = draw(st.one_of(st.just(b""), st.binary(min_size=16, max_size=16)))
    return Config(draw(st.integers(0, 6)), sid, nonce, key, draw(st.booleans()))


@given(configs(), st.data())
def test_id_round_trip_for_every_config(config: Config, data: st.DataObject) -> None:
    """Decoding reverses encoding; an id under a wrong key or a truncated id never raises."""
    sid = data.draw(st.binary(min_size=config.server_id_length, max_size=config.server_id_length))
    nonce = data.draw(st.binary(min_size=config.nonce_length, max_size=config.nonce_length))
    cid = Codec(config).encode(sid, nonce)
    assert len(cid) == config.length <= 20 and cid[0] >> 5 == config.number
    assert Codec(config).decode(cid) == (sid, nonce)
    other_config = msgspec.structs.replace(config, key=data.draw(st.binary(min_size=16, max_size=16)))
    decoded = Codec(other_config).decode(cid)
    assert decoded is not None and len(decoded[0]) == config.server_id_length
    for length in range(len(cid)):
        assert Codec(config).decode(cid[:length]) is None


@pytest.mark.parametrize("bad", [(7, 8, 8), (-1, 8, 8), (0, 0, 8), (0, 16, 4), (0, 8, 3), (0, 1, 19), (0, 10, 10)])
def test_configs_out_of_bounds_are_rejected(bad: tuple[int, int, int]) -> None:
    """A config outside the draft's bounds fails on construction, not on its first id."""
    with pytest.raises(ConfigError):
        Config(*bad)
    with pytest.raises(ConfigError):
        Config(0, 8, 8, b"short")


def test_server_id_collision_is_not_routed() -> None:
    """An id that two servers share routes to neither, and the collision is reported once."""
    codecs = {0: Codec(Config(0, 1, 8))}
    ids = ServerIds(codecs)
    names = [f"s-{number}" for number in range(40)]
    pairs = ids.set_names(names)
    assert pairs and ids.set_names(names) == frozenset()
    shared = {name for pair in pairs for name in pair}
    for name in names:
        assert ids.server_name(codecs[0].new(server_id(name, 1))) == ("" if name in shared else name)
    assert ids.set_names([name for name in names if name not in shared]) == frozenset()


def test_old_config_ids_route_until_retired() -> None:
    """After a key rotation both configs route, and new ids use the active one."""
    ring = new_ring()
    old = ring.codecs()[0].new(server_id("s", 8))
    ring = ring.rotated(6, 7)
    ids = ServerIds(ring.codecs())
    ids.set_names(["s"])
    new = ring.codecs()[ring.active.number].new(server_id("s", 6))
    assert (ids.server_name(old), ids.server_name(new)) == ("s", "s")
    assert ids.id_length(old[0]) == 17 and ids.id_length(new[0]) == 14
    ids.set_codecs(ring.retired(0).codecs())
    assert (ids.server_name(old), ids.server_name(new), ids.id_length(old[0])) == ("", "s", 0)


def test_key_ring_invariants() -> None:
    """A ring has exactly one active config, which can't be retired, and at most seven configs with distinct numbers."""
    ring = new_ring()
    with pytest.raises(KeyRingError, match="active"):
        ring.retired(0)
    with pytest.raises(KeyRingError, match="no config"):
        ring.retired(3)
    for _ in range(6):
        ring = ring.rotated(8, 8)
    assert [entry.state for entry in ring.configs].count(ConfigState.ACTIVE) == 1
    with pytest.raises(KeyRingError, match="retire one"):
        ring.rotated(8, 8)
    with pytest.raises(KeyRingError, match="same id"):
        KeyRing((new_entry(0, 8, 8), new_entry(0, 8, 8)), "00" * 32, "00" * 32)
    with pytest.raises(KeyRingError, match="retry_key"):
        KeyRing((new_entry(0, 8, 8),), "00" * 32, "zz")


def test_key_file_permissions_and_secrecy(tmp_path: Path) -> None:
    """A key file open to others or malformed is refused with a one-line text, and no repr shows a key."""
    path = tmp_path / "keys"
    ring = new_ring()
    key_file.write(path, ring)
    assert path.stat().st_mode & 0o777 == 0o600 and key_file.read(path) == ring
    for secret in (ring.reset_key, ring.retry_key, ring.active.key):
        assert secret not in repr(ring)
    path.chmod(0o640)
    with pytest.raises(KeyRingError, match="0600"):
        key_file.read(path)
    path.chmod(0o600)
    for text in ("", "{", '{"configs":[],"reset_key":"","retry_key":""}', "x" * (key_file.MAX_FILE_BYTES + 1)):
        path.write_text(text)
        with pytest.raises(KeyRingError) as error:
            key_file.read(path)
        assert "\n" not in str(error.value)
    with pytest.raises(KeyRingError):
        key_file.read(tmp_path)
    with pytest.raises(KeyRingError):
        key_file.read(tmp_path / "none")
    assert [file.name for file in tmp_path.iterdir()] == ["keys"]


def test_resets_are_shorter_than_the_datagrams_they_answer() -> None:
    """Resets of equal size let two endpoints reset each other endlessly (RFC 9000 section 10.3.3)."""
    key = bytes(32)
    size = 1200
    while size:
        answer = tokens.stateless_reset(key, b"id", size)
        assert len(answer) < size
        assert not answer or (answer[0] & 0xC0 == 0x40 and answer[-16:] == tokens.reset_token(key, b"id"))
        size = len(answer)


@given(st.integers(0, 300), st.integers(1, 255))
def test_retry_token_is_bound_to_source_and_time(position: int, change: int) -> None:
    """A token that is altered, truncated, expired, too far in the future or another client's is rejected."""
    key, source = bytes(range(32)), ("127.0.0.1", 40000)
    sealed = tokens.seal(key, tokens.RetryToken(1000 + tokens.RETRY_TOKEN_LIFETIME_NS, b"first", b"second", source))
    token = tokens.unseal(key, sealed, source, 1000)
    assert token is not None and (token.original_dcid, token.retry_scid) == (b"first", b"second")
    assert tokens.unseal(key, sealed, ("127.0.0.1", 40001), 1000) is None
    assert tokens.unseal(key, sealed, source, 1001 + tokens.RETRY_TOKEN_LIFETIME_NS) is None
    assert tokens.unseal(key, sealed, source, -1000 - 2 * tokens.RETRY_TOKEN_LIFETIME_NS) is None
    assert tokens.unseal(bytes(32), sealed, source, 1000) is None
    position %= len(sealed)
    altered = sealed[:position] + bytes((sealed[position] ^ change,)) + sealed[position + 1 :]
    assert tokens.unseal(key, altered, source, 1000) is None
    assert tokens.unseal(key, sealed[:position], source, 1000) is None
