"""The QUIC traffic checker reports each kind of violation; a checker that misses one makes the flow tests void."""

from __future__ import annotations

from test_quic_router import CLIENT_HELLO as CLIENT_HELLO_MESSAGE

from scaledeal.lab.quic.checker import TrafficRecord
from scaledeal.quic.wire import frames
from scaledeal.quic.wire.packet import V1
from scaledeal.quic.wire.protection import InitialKeys, encode_initial

DCID = b"firstone"


def from_client(payload: bytes) -> bytes:
    return encode_initial(InitialKeys(V1, DCID).client, V1, DCID, b"client", 0, payload)


def from_server(payload: bytes, scid: bytes) -> bytes:
    return encode_initial(InitialKeys(V1, DCID).server, V1, b"client", scid, 0, payload)


CLIENT_HELLO, CLIENT_CLOSE = (
    from_client(frames.encode_crypto(0, CLIENT_HELLO_MESSAGE)),
    from_client(frames.encode_connection_close(0)),
)


def test_attempt_violations() -> None:
    """Two open attempts, seven attempts, and a close after the next attempt's start are violations."""
    valid, overlapping, late_close, too_many = TrafficRecord(), TrafficRecord(), TrafficRecord(), TrafficRecord()
    for record, events in (
        (valid, (("a", CLIENT_HELLO, 1), ("a", CLIENT_CLOSE, 2), ("b", CLIENT_HELLO, 3), ("b", CLIENT_HELLO, 4))),
        (overlapping, (("a", CLIENT_HELLO, 1), ("b", CLIENT_HELLO, 3))),
        (late_close, (("a", CLIENT_HELLO, 1), ("b", CLIENT_HELLO, 3), ("a", CLIENT_CLOSE, 4))),
    ):
        for server, datagram, received_at_ns in events:
            record.add_server_datagram(server, datagram, received_at_ns)
    for number in range(7):
        too_many.add_server_datagram(str(number), CLIENT_HELLO, 2 * number + 1)
        too_many.add_server_datagram(str(number), CLIENT_CLOSE, 2 * number + 2)
    assert valid.violations() == []
    assert [record.violations()[0].split(": ")[1] for record in (overlapping, late_close, too_many)] == [
        "attempts open at a and b at once",
        "attempts open at a and b at once",
        "7 attempts",
    ]


def test_answer_violations() -> None:
    """Answers of two servers, or a close after an answer, are violations, repeats are not; a missing answer shows."""
    crypto = frames.encode_crypto(0, b"\2")
    served, other = from_server(crypto, b"server-a"), from_server(crypto, b"server-b")
    closed = from_server(frames.encode_connection_close(2), b"server-a")
    for datagrams, violations in (
        ((served, served), 0),
        ((closed, closed), 0),
        ((served, other), 1),
        ((served, closed), 1),
    ):
        record = TrafficRecord()
        assert record.unanswered([DCID])
        for datagram in datagrams:
            record.add_client_datagram(DCID, datagram)
        assert len(record.violations()) == violations and not record.unanswered([DCID])
