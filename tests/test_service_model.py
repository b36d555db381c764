"""A model of serving, draining and ending in every order, and the operators' side of it."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.lines import CLOSE_TIMEOUT_S
from scaledeal.net.operators import CALL_TIME, CALLERS, Operators
from scaledeal.net.service import DRAINED, NOTICED, Stage

ENDED = 3.1  # seconds that the end gives in this model


def up(bench: Bench, number: int) -> Wire:
    """Have a client ask and stand."""
    client = bench.client()
    client.receive(b"OPEN a%d 7f3a c=browse,d=800\r\n" % number)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    server.receive(b"UP 1\r\n")
    return client


class Orders(RuleBasedStateMachine):
    """Whatever operators and the platform call, in whatever order, clients are moved when they should be."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.service = self.bench.service
        self.stage, self.since, self.by = Stage.SERVING, 0.0, 0.0
        self.clients: list[Wire] = []
        self.moved = 0

    def told_to_move(self) -> int:
        return sum(b"MOVE" in each.lines() for each in self.clients)

    @rule(count=st.integers(1, 12))
    def clients_come(self, count: int) -> None:
        for _ in range(count):
            self.clients.append(up(self.bench, len(self.clients)))
        if self.stage is Stage.SERVING:
            assert b"MOVE" not in self.clients[-1].lines()

    @rule()
    def lame_duck(self) -> None:
        assert self.service.lame_duck() == (self.stage is not Stage.ENDING)
        if self.stage is Stage.SERVING:
            self.stage, self.since = Stage.LAME_DUCK, self.bench.reactor.seconds()
            self.by = self.since + DRAINED

    @rule()
    def rejoin(self) -> None:
        assert self.service.rejoin() == (self.stage is not Stage.ENDING)
        if self.stage is Stage.LAME_DUCK:
            self.stage = Stage.SERVING

    @rule(kept=st.sampled_from([0.0, 1.5]))
    def end(self, kept: float) -> None:
        assert self.service.end(kept, ENDED) == (self.stage is not Stage.ENDING)
        now = self.bench.reactor.seconds()
        if self.stage is not Stage.ENDING:
            lame = self.stage is Stage.LAME_DUCK
            self.by = min(self.by, now + ENDED) if lame else now + ENDED
            self.since = min(self.since + NOTICED, now + kept) - NOTICED if lame else now + kept - NOTICED
            self.stage = Stage.ENDING

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def time_passes(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            standing = len(self.bench.driver.established())
            left = self.by - self.bench.reactor.seconds()
            self.bench.reactor.advance(0.05)
            went = standing - len(self.bench.driver.established())
            if self.stage is not Stage.SERVING and left > 0.1:
                assert went <= 2 + standing * 0.05 / (left - 0.05), "a herd"
            self.all_as_it_should_be()

    @invariant()
    def all_as_it_should_be(self) -> None:
        now, moved = self.bench.reactor.seconds(), self.told_to_move()
        assert self.service.stage is self.stage
        if self.stage is Stage.SERVING or now < self.since + NOTICED - 0.01:
            assert moved == self.moved, "moved though nobody drains"
        elif now > self.by + 0.06:
            assert moved == len(self.clients) and not self.bench.driver.established(), "not moved in time"
        self.moved = moved
        # Guards against servers taken for draining because this relay moved its clients.
        assert len(self.bench.module.events_of(api.ClientGone)) == moved

    def teardown(self) -> None:
        """Nothing is left of a drain that was ended."""
        for each in self.clients:
            each.lose(error.ConnectionLost())


def test_every_order_of_draining_rejoining_and_ending():
    run_state_machine_as_test(Orders, settings=settings(max_examples=60, stateful_step_count=20))


def test_moves_are_spread_over_the_drain_and_rejoin_cancels_what_is_left():
    bench = Bench()
    clients = [up(bench, number) for number in range(40)]
    bench.service.lame_duck()
    for _ in range(39):
        bench.reactor.advance(0.05)
    assert 15 <= len(bench.driver.established()) <= 25, "half the time, about half of them"
    bench.service.rejoin()
    left = len(bench.driver.established())
    for _ in range(100):
        bench.reactor.advance(0.05)
    assert len(bench.driver.established()) == left
    late = up(bench, 99)
    assert b"MOVE" not in late.lines() and sum(b"MOVE" in c.lines() for c in clients) == 40 - left


class Calls:
    """Operators who call, on fakes."""

    def __init__(self) -> None:
        self.bench = Bench()
        self.operators = Operators(
            self.bench.reactor, self.bench.pool, {b"PING": lambda: "ok serving", b"INFO": lambda: "ok\na 1\neof"}
        )

    def caller(self, sends: bytes = b"") -> Wire:
        made = Wire(self.bench.reactor, self.operators.buildProtocol(None))
        made.receive(sends)
        return made


@pytest.mark.parametrize(
    ("sent", "told"),
    [
        (b"PING\r\n", b"ok serving"),
        (b"PING\n", b"ok serving"),
        (b"PING\nINFO\n", b"ok serving"),
        (b"INFO\n", b"ok"),
        (b"ping\n", b"fail"),
        (b"\n", b"fail"),
        (b"GET / HTTP/1.1\r\n\r\n", b"fail"),
        (b"\xff\x00\n", b"fail"),
        (b"x" * 5000, b"fail"),
        (b"x" * 5000 + b"\n", b"fail"),
    ],
)
def test_a_call_gets_one_answer_and_the_end(sent, told):
    calls = Calls()
    caller = calls.caller(sent)
    first = caller.lines()[0]
    assert first.split(b" ")[0] == told.split(b" ")[0] and caller.fin_due
    assert len(caller.lines()) == (3 if sent == b"INFO\n" else 1)
    calls.bench.reactor.advance(CLOSE_TIMEOUT_S + 0.1)
    calls.bench.reactor.advance(0)
    assert caller.lost and not calls.operators.callers and calls.bench.pool.in_use == 0


def test_callers_that_stall_are_bounded_in_time_and_number_and_hold_nobody_up():
    calls = Calls()
    half = calls.caller(b"PIN")
    ended = calls.caller(b"PIN")
    ended.peer_ends()
    assert ended.lines()[0].startswith(b"fail")
    calls.bench.reactor.advance(CALL_TIME)
    assert half.lines()[0].startswith(b"fail") and half.fin_due
    stalling = [calls.caller(b"" if number % 2 else b"INF") for number in range(4 * CALLERS)]
    assert calls.caller(b"PING\n").lines() == [b"ok serving"]
    calls.bench.reactor.advance(0)
    assert sum(not each.lost for each in stalling) < CALLERS == len(calls.operators.callers)
    assert calls.bench.pool.in_use <= CALLERS
