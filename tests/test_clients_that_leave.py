"""Clients that leave: nothing is sent on for them afterwards, and no id runs twice."""

from __future__ import annotations

from typing import Any

import pytest
from netfakes import Bench, Wire
from test_net_parts import OPEN
from test_relay_process import World, open_line, world  # noqa: F401  (a fixture)
from twisted.internet import error
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST

from scaledeal import interface as api
from scaledeal.net.lines import READ_BYTES


def leave_behind_unread_bytes(client: Wire, unread: bytes, why: Exception) -> None:
    """Have bytes and then the client's end wait in the socket: each call reads as much as a relay reads at once."""
    client.unread = unread

    def read() -> Any:
        data, client.unread = client.unread[:READ_BYTES], client.unread[READ_BYTES:]
        if data:
            client.receive(data)
            return None
        return why

    client.doRead = read  # type: ignore[method-assign]


# Guards against a request that is sent on although its client has left, as its end stands behind bytes not read yet.
@pytest.mark.parametrize("why", [CONNECTION_DONE, CONNECTION_LOST])
@pytest.mark.parametrize("size", [0, 1, 5_000, 16_000, 60_000, 1_000_000])
@pytest.mark.parametrize("line", [b"M\r\n", b"M" * 4000 + b"\r\n", b"M" * 5000])
def test_no_request_is_sent_on_for_a_client_that_left_behind_unread_bytes(
    why: Exception, size: int, line: bytes
) -> None:
    bench = Bench()
    client = bench.client()
    client.receive(OPEN)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    leave_behind_unread_bytes(client, (line * (size // len(line) + 1))[:size], why)
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    assert not server.sent and server.aborted
    bench.reactor.advance(0)
    client.peer_ends() if why is CONNECTION_DONE else client.lose(error.ConnectionLost())
    assert not bench.driver.transactions and not bench.driver.request_ids.open_here()
    assert client.closing or client.lost or client.fin_due, "the connection stays open"
