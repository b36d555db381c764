"""The checker of QUIC rehearsals has to speak where a rule is broken: else its silence says nothing."""

from __future__ import annotations

from test_quic_router import HELLO

from scaledeal.lab.quic.checker import TrafficRecord
from scaledeal.quic.wire import frames
from scaledeal.quic.wire.packet import V1
from scaledeal.quic.wire.protection import InitialKeys, encode_initial

DCID = b"firstone"


def from_client(payload: bytes) -> bytes:
    return encode_initial(InitialKeys(V1, DCID).client, V1, DCID, b"client", 0, payload)


def from_server(payload: bytes, scid: bytes) -> bytes:
    return encode_initial(InitialKeys(V1, DCID).server, V1, b"client", scid, 0, payload)


ASKS, CLOSES = from_client(frames.encode_crypto(0, HELLO)), from_client(frames.encode_connection_close(0))


def test_attempts() -> None:
    """Two at once, seven in all, and a close that comes after the next has begun."""
    sound, at_once, late, many = TrafficRecord(), TrafficRecord(), TrafficRecord(), TrafficRecord()
    for record, events in (
        (sound, (("a", ASKS, 1), ("a", CLOSES, 2), ("b", ASKS, 3), ("b", ASKS, 4))),
        (at_once, (("a", ASKS, 1), ("b", ASKS, 3))),
        (late, (("a", ASKS, 1), ("b", ASKS, 3), ("a", CLOSES, 4))),
    ):
        for server, datagram, at in events:
            record.add_server_datagram(server, datagram, at)
    for number in range(7):
        many.add_server_datagram(str(number), ASKS, 2 * number + 1)
        many.add_server_datagram(str(number), CLOSES, 2 * number + 2)
    assert sound.violations() == []
    assert [record.violations()[0].split(": ")[1] for record in (at_once, late, many)] == [
        "attempts open at a and b at once",
        "attempts open at a and b at once",
        "7 attempts",
    ]


def test_answers() -> None:
    """None, one that is repeated, one of two servers, and a refusal behind a service."""
    hello = frames.encode_crypto(0, b"\2")
    served, other = from_server(hello, b"server-a"), from_server(hello, b"server-b")
    closed = from_server(frames.encode_connection_close(2), b"server-a")
    for said, broken in (((served, served), 0), ((closed, closed), 0), ((served, other), 1), ((served, closed), 1)):
        record = TrafficRecord()
        assert record.unanswered([DCID])
        for datagram in said:
            record.add_client_datagram(DCID, datagram)
        assert len(record.violations()) == broken and not record.unanswered([DCID])
