"""Clients that leave: nothing is sent on for them afterwards, and no id runs twice."""

from __future__ import annotations

import contextlib
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from netfakes import CLASSES, SETTINGS, Bench, Wire
from test_net_parts import OPEN
from test_relay_process import TIMEOUT_S, World, open_line
from test_upgrade_ids import assert_turned_away, take_over
from twisted.internet import error
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST

from scaledeal import interface as api
from scaledeal.net.lines import READ_BYTES
from scaledeal.net.used_ids import UsedIds


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
    assert len(bench.driver.request_ids.used) == 0, "nothing was sent: the id may come again"


# Guards against an id that runs a second time when it comes again after its client has left.
@pytest.mark.parametrize("semantics", api.Semantics)
@pytest.mark.parametrize("stage", ["unsent", "written", "turned away", "established", "refused", "failed"])
def test_an_id_that_may_have_run_is_used_up_when_its_client_leaves(stage: str, semantics: api.Semantics) -> None:
    bench = Bench()
    bench.driver.guard.settings = replace(SETTINGS, classes=(replace(CLASSES[0], semantics=semantics),))
    client = bench.client()
    client.receive(OPEN)
    name = bench.module.events_of(api.Request)[-1].request
    bench.act(api.Send(name, "a", 0))
    if stage != "unsent":
        server = bench.reactor.dialled[-1].up(bench.reactor)
        server.flush()
    if stage == "established":
        server.receive(b"UP 1\r\n")
    elif stage in ("refused", "failed"):
        bench.act(api.Refuse(name, 0, "") if stage == "refused" else api.Fail(name, ""))
    client.lose(error.ConnectionLost())
    if stage == "turned away":
        server.receive(b"BUSY\r\n")
        server.flush()
    bench.act(api.Cancel(name, 0))
    bench.reactor.advance(0)
    assert not bench.driver.request_ids.open_here()
    again = bench.client()
    again.receive(OPEN)
    # One that was served, or that was refused as its repetition does no harm, may run again if its class allows that.
    used_up = stage in ("written", "failed")
    used_up |= stage in ("established", "refused") and semantics is not api.Semantics.REPEATABLE
    assert again.lines() == ([b"ERR"] if used_up else [])
    assert bench.admission.turned_away["id used before"] == used_up


def test_used_ids_are_bounded_and_told_in_the_order_of_their_addition() -> None:
    ids, other = UsedIds(100), UsedIds()
    for number in range(1000):
        ids.add(f"n{number}")
    assert len(ids) == 100 and "n999" in ids and "n900" in ids and "n899" not in ids
    digests, number = ids.added_since(0)
    other.add_digests(digests)
    assert len(other) == 100 and "n950" in other
    ids.add("n950")
    ids.add("more")
    digests, number = ids.added_since(number)
    assert len(digests) == 2 and ids.added_since(number) == ([], number)


def leave_before_the_answer(process: World, number: int) -> None:
    client = process.client(open_line(number))
    server, _ = process.next_request()
    client.close()
    assert server.ended()


# Guards against an id that runs at the new process of an upgrade after its client has left the old one, or the reverse.
@pytest.mark.parametrize("old_ends", ["", "SIGTERM", "SIGKILL"])
def test_an_id_that_its_client_left_at_the_old_version_is_used_up_at_the_new_one(tmp_path: Path, old_ends: str) -> None:
    with contextlib.closing(World(tmp_path)) as old:
        leave_before_the_answer(old, 1)
        with contextlib.closing(take_over(old)) as new:
            leave_before_the_answer(new, 2)
            if old_ends:
                old.process.send_signal(signal.Signals[old_ends])
                old.process.wait(TIMEOUT_S)
            for number in (1, 2):
                assert_turned_away(new, number)
            if not old_ends:
                new.end()
                old.wait_for_log_line("the new version is gone")
                assert_turned_away(old, 2)
