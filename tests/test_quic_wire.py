"""QUIC codecs against the RFCs' test vectors and against arbitrary input."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scaledeal.quic.wire import frames, hello, packet
from scaledeal.quic.wire.buffer import MalformedError, Reader, encode_varint
from scaledeal.quic.wire.packet import V1, V2, PacketType
from scaledeal.quic.wire.protection import DirectionKeys, InitialKeys, Suite, encode_initial, retry_integrity_tag

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

# RFC 9001 appendix A
DCID = bytes.fromhex("8394c8f03e515708")
CLIENT_CRYPTO = bytes.fromhex(
    "060040f1010000ed0303ebf8fa56f12939b9584a3896472ec40bb863cfd3e86804fe3a47f06a2b69484c000004130113"
    "02010000c000000010000e00000b6578616d706c652e636f6dff01000100000a00080006001d00170018001000070005"
    "04616c706e000500050100000000003300260024001d00209370b2c9caa47fbabaf4559fedba753de171fa71f50f1ce1"
    "5d43e994ec74d748002b0003020304000d0010000e0403050306030203080408050806002d00020101001c0002400100"
    "3900320408ffffffffffffffff05048000ffff07048000ffff0801100104800075300901100f088394c8f03e51570806"
    "048000ffff"
)
SERVER_PACKET = bytes.fromhex(
    "cf000000010008f067a5502a4262b5004075c0d95a482cd0991cd25b0aac406a5816b6394100f37a1c69797554780bb3"
    "8cc5a99f5ede4cf73c3ec2493a1839b3dbcba3f6ea46c5b7684df3548e7ddeb9c3bf9c73cc3f3bded74b562bfb19fb84"
    "022f8ef4cdd93795d77d06edbb7aaf2f58891850abbdca3d20398c276456cbc42158407dd074ee"
)
RETRY = bytes.fromhex("ff000000010008f067a5502a4262b5746f6b656e04a265ba2eff4d829058fb3f0f2496ba")


def test_client_initial_matches_rfc_vector() -> None:
    """A wrong label, nonce or mask changes these bytes (RFC 9001 appendix A.2)."""
    sealed = encode_initial(InitialKeys(V1, DCID).client, V1, DCID, b"", 2, CLIENT_CRYPTO.ljust(1162, b"\0"))
    assert sealed[:22].hex() == "c000000001088394c8f03e5157080000449e7b9aec34"
    assert sealed[22:38].hex() == "d1b1c98dd7689fb8ec11d242b123dc9b"
    assert len(sealed) == 1200


def test_client_initial_is_decrypted_and_parsed() -> None:
    """Server name and ALPN protocol are parsed from the RFC's encrypted Initial."""
    keys = InitialKeys(V1, DCID)
    sealed = encode_initial(keys.client, V1, DCID, b"", 2, CLIENT_CRYPTO.ljust(1162, b"\0"))
    number, payload = keys.client.open(sealed, packet.parse_long_packet(sealed))
    parsed = frames.parse_initial_payload(payload)
    body = hello.client_hello_body(parsed.crypto[0].data)
    assert number == 2 and body is not None
    assert hello.parse_client_hello(body) == hello.ClientHello("example.com", ("alpn",))


def test_server_initial_opens_with_server_keys_only() -> None:
    """The server's Initial opens with the server's keys and not with the client's (RFC 9001 appendix A.3)."""
    number, payload = InitialKeys(V1, DCID).server.open(SERVER_PACKET, packet.parse_long_packet(SERVER_PACKET))
    parsed = frames.parse_initial_payload(payload)
    assert number == 1 and parsed.largest_acked == 0 and len(parsed.crypto[0].data) == 0x5A
    with pytest.raises(MalformedError):
        InitialKeys(V1, DCID).client.open(SERVER_PACKET, packet.parse_long_packet(SERVER_PACKET))


def test_retry_tag_matches_rfc_vector() -> None:
    """A client drops a Retry whose integrity tag is wrong (RFC 9001 appendix A.4)."""
    assert retry_integrity_tag(V1, DCID, RETRY[:-16]) == RETRY[-16:]


def test_chacha20_packet_matches_rfc_vector() -> None:
    """The mask or nonce of the AES suite gives other bytes (RFC 9001 appendix A.5)."""
    secret = bytes.fromhex("9ac312a7f877468ebe69422748ad00a15443f18203a07d6060f688f30f21632b")
    keys = DirectionKeys(secret, V1, Suite.CHACHA20)
    assert keys.key.hex() == "c6d98ff3441c3fe1b2182094f69caa2ed4b716b65488960a7a984979fb23e1c8"
    assert keys.header_key.hex() == "25a282b9e82f06f21f488917a4fc8f1b73573685608597d0efcb076b0ab7a7a4"
    sealed = keys.protect(bytes.fromhex("4200bff4"), 654_360_564, b"\1")
    assert sealed.hex() == "4cfe4189655e5cd55c41f69080575d7999c25a5bfb"


def test_version_2_keys_and_type_bits() -> None:
    """Version 2 has another salt, other labels and other packet type bits (RFC 9369 sections 3.2, 3.3 and A.1)."""
    assert InitialKeys(V2, DCID).client.key.hex() == "8b1a0bc121284290a29e0971b5cd045d"
    bits = {
        packet_type: packet.type_bits(packet_type, V2)
        for packet_type in (PacketType.INITIAL, PacketType.ZERO_RTT, PacketType.HANDSHAKE, PacketType.RETRY)
    }
    assert bits == {PacketType.INITIAL: 1, PacketType.ZERO_RTT: 2, PacketType.HANDSHAKE: 3, PacketType.RETRY: 0}


def test_version_negotiation_swaps_ids() -> None:
    """A client accepts it only with its own ids, and only if its version is not listed (RFC 9000 section 6.2)."""
    answer = packet.encode_version_negotiation(b"theirs12", b"mine")
    version, dcid, scid, end = packet.parse_invariants(answer)
    assert (version, dcid, scid) == (0, b"mine", b"theirs12")
    assert answer[end:] == V1.to_bytes(4, "big") + V2.to_bytes(4, "big")


def test_coalescing_stops_at_another_connection_id() -> None:
    """Coalesced packets must have the same destination id (RFC 9000 section 12.2)."""
    keys = InitialKeys(V1, DCID)
    own = encode_initial(keys.client, V1, DCID, b"a", 0, b"\1")
    other = encode_initial(keys.client, V1, b"otherone", b"a", 0, b"\1")
    assert [parsed.dcid for parsed in packet.parse_coalesced(own + own + other)] == [DCID, DCID]


@given(st.integers(0, 2**62 - 1))
def test_varint_round_trip(value: int) -> None:
    """Every value up to 2**62 - 1 survives encoding and decoding; larger ones are rejected."""
    assert Reader(encode_varint(value)).varint() == value
    with pytest.raises(ValueError):
        encode_varint(2**62 + value)


@given(st.binary(max_size=3000), st.randoms(use_true_random=False))
def test_stream_reassembly(stream: bytes, rng: random.Random) -> None:
    """Frames that are split, reordered, repeated and overlapping give the original stream."""
    reassembly = hello.CryptoStream()
    cuts = sorted({0, len(stream), *(rng.randint(0, len(stream)) for _ in range(12))})
    pieces = [(a, min(len(stream), b + rng.randint(0, 40))) for a, b in zip(cuts, cuts[1:], strict=False)]
    pieces += rng.sample(pieces, min(3, len(pieces)))
    rng.shuffle(pieces)
    for start, end in pieces:
        reassembly.add(frames.CryptoFrame(start, stream[start:end]))
    assert reassembly.contiguous_prefix() == stream
    assert len(reassembly.segments) <= 1


def test_stream_size_and_segments_are_bounded() -> None:
    """Unbounded offsets or gaps let a client exhaust the relay's memory."""
    reassembly = hello.CryptoStream()
    with pytest.raises(MalformedError):
        reassembly.add(frames.CryptoFrame(hello.MAX_CLIENT_HELLO_BYTES, b"x"))
    with pytest.raises(MalformedError):
        for number in range(hello.MAX_SEPARATE_SEGMENTS + 1):
            reassembly.add(frames.CryptoFrame(2 * number, b"x"))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_malformed_error(data: bytes) -> None:
    """Parsers of received bytes either succeed or raise MalformedError."""
    for parse in (
        packet.parse_invariants,
        packet.parse_long_packet,
        frames.parse_initial_payload,
        hello.parse_client_hello,
        hello.client_hello_body,
    ):
        try:
            parse(data)
        except MalformedError:
            continue
    packet.parse_coalesced(data)
