"""Requests and ends of clients that come between a relay's decision to exit and its exit."""

from __future__ import annotations

from pathlib import Path

import pytest
from netfakes import OneRelay
from twisted.internet import error

from scaledeal.net.relay import FORCED_END_MARGIN_S, LAST_MOVE_MARGIN_S, MAX_MOVES_END_S


@pytest.mark.parametrize("held", [False, True])
def test_a_request_read_after_the_decision_to_exit_is_refused_and_not_sent_on(tmp_path: Path, held: bool) -> None:
    # A request that is sent on while its relay exits before the answer comes counts as lost.
    one = OneRelay(tmp_path)
    hanging = None
    if held:  # a server that hangs keeps the relay until it ends what remains
        hanging = one.client(1, 60_000)
        one.attempts()[0].up(one.reactor).flush()
    one.relay.drain()
    while not one.relay.driver.stopping:
        one.run(0.01)
        assert one.reactor.seconds() < 1000 + MAX_MOVES_END_S + LAST_MOVE_MARGIN_S + FORCED_END_MARGIN_S + 1, (
            "it never exits"
        )
    assert hanging is None or hanging.lines() == [b"ERR"], "not answered as the relay ended what remained"
    before = len(one.attempts())
    late = one.client(2)
    one.reactor.advance(0)
    assert late.lines() == [b"BUSY"] and len(one.attempts()) == before and not one.stopped
    one.run(0.2)
    assert one.stopped and one.relay.driver.transactions == {}


def test_a_client_that_leaves_as_it_is_refused_is_no_fault(tmp_path: Path) -> None:
    one = OneRelay(tmp_path)
    one.relay.drain()
    while not one.relay.driver.stopping:
        one.run(0.01)
    late = one.client(2)
    late.lose(error.ConnectionLost())
    one.run(0.2)
    assert one.stopped and one.relay.driver.transactions == {}


@pytest.mark.parametrize("first", ["deadline", "answer"])
def test_an_answer_and_a_deadline_in_one_turn_give_one_answer(tmp_path: Path, first: str) -> None:
    one = OneRelay(tmp_path)
    client = one.client(1, 1000)
    server = one.attempts()[0].up(one.reactor)
    server.flush()
    (transaction,) = one.relay.driver.transactions.values()
    turns = [lambda: server.receive(b"UP 1\r\n"), transaction._answer_overdue]
    for turn in turns if first == "answer" else reversed(turns):
        if not server.lost and not server.closing:
            turn()
    words = [line.split(b" ")[0] for line in client.lines()]
    assert words == ([b"UP"] if first == "answer" else [b"ERR"])
