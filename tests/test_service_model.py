"""A model of serving, draining and ending in any order, and tests of the operators' bench."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.lines import CLOSE_TIMEOUT_S
from scaledeal.net.operators import CALL_TIMEOUT_S, MAX_CALLERS, Operators
from scaledeal.net.service import LAME_DUCK_MOVES_BEGIN_S, LAME_DUCK_MOVES_END_S, Stage

END_MOVES_END_S = 3.1  # after the call of ``end`` in this model

STEPS = 20
MAX_CLIENTS_PER_STEP = 12
DESCRIPTORS = 2 * STEPS * MAX_CLIENTS_PER_STEP + 100  # two for each client, and what the relay reserves


def establish(bench: Bench, number: int) -> Wire:
    """Establish the connection of a new client, and return the client's wire."""
    client = bench.client()
    client.receive(b"OPEN a%d 7f3a c=browse,d=800\r\n" % number)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    server.receive(b"UP 1\r\n")
    return client


class ServiceModel(RuleBasedStateMachine):
    """Operators and the platform call in any order; clients are moved just within the times that the calls give."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench(DESCRIPTORS)
        self.service = self.bench.service
        self.stage, self.called_at, self.moves_end = Stage.SERVING, 0.0, 0.0
        self.clients: list[Wire] = []
        self.moved = 0

    def moved_clients(self) -> int:
        return sum(b"MOVE" in client.lines() for client in self.clients)

    @rule(count=st.integers(1, MAX_CLIENTS_PER_STEP))
    def clients_come(self, count: int) -> None:
        for _ in range(count):
            self.clients.append(establish(self.bench, len(self.clients)))
        if self.stage is Stage.SERVING:
            assert b"MOVE" not in self.clients[-1].lines()

    @rule()
    def lame_duck(self) -> None:
        assert self.service.lame_duck() == (self.stage is not Stage.ENDING)
        if self.stage is Stage.SERVING:
            self.stage, self.called_at = Stage.LAME_DUCK, self.bench.reactor.seconds()
            self.moves_end = self.called_at + LAME_DUCK_MOVES_END_S

    @rule()
    def rejoin(self) -> None:
        assert self.service.rejoin() == (self.stage is not Stage.ENDING)
        if self.stage is Stage.LAME_DUCK:
            self.stage = Stage.SERVING

    @rule(moves_begin=st.sampled_from([0.0, 1.5]))
    def end(self, moves_begin: float) -> None:
        assert self.service.end(moves_begin, END_MOVES_END_S) == (self.stage is not Stage.ENDING)
        now = self.bench.reactor.seconds()
        if self.stage is not Stage.ENDING:
            lame_duck = self.stage is Stage.LAME_DUCK
            self.moves_end = min(self.moves_end, now + END_MOVES_END_S) if lame_duck else now + END_MOVES_END_S
            self.called_at = (
                min(self.called_at + LAME_DUCK_MOVES_BEGIN_S, now + moves_begin) - LAME_DUCK_MOVES_BEGIN_S
                if lame_duck
                else now + moves_begin - LAME_DUCK_MOVES_BEGIN_S
            )
            self.stage = Stage.ENDING

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def time_passes(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            standing = len(self.bench.driver.established())
            left = self.moves_end - self.bench.reactor.seconds()
            self.bench.reactor.advance(0.05)
            moved = standing - len(self.bench.driver.established())
            if self.stage is not Stage.SERVING and left > 0.1:
                assert moved <= 2 + standing * 0.05 / (left - 0.05), "too many moved in one round"
            self.clients_are_moved_in_time()

    @invariant()
    def clients_are_moved_in_time(self) -> None:
        now, moved = self.bench.reactor.seconds(), self.moved_clients()
        assert self.service.stage is self.stage
        if self.stage is Stage.SERVING or now < self.called_at + LAME_DUCK_MOVES_BEGIN_S - 0.01:
            assert moved == self.moved, "moved outside a drain"
        elif now > self.moves_end + 0.06:
            assert moved == len(self.clients) and not self.bench.driver.established(), "not moved in time"
        self.moved = moved
        # Each is ClientGone to the module, which would otherwise take servers for draining as their clients are moved.
        assert len(self.bench.module.events_of(api.ClientGone)) == moved

    def teardown(self) -> None:
        """End all clients."""
        for client in self.clients:
            client.lose(error.ConnectionLost())


def test_draining_rejoining_and_ending_in_any_order():
    run_state_machine_as_test(ServiceModel, settings=settings(max_examples=60, stateful_step_count=STEPS))


def test_moves_are_spread_over_the_drain_and_rejoin_cancels_the_rest():
    bench = Bench()
    clients = [establish(bench, number) for number in range(40)]
    bench.service.lame_duck()
    for _ in range(39):
        bench.reactor.advance(0.05)
    assert 15 <= len(bench.driver.established()) <= 25, "about half of the clients are moved in half of the time"
    bench.service.rejoin()
    left = len(bench.driver.established())
    for _ in range(100):
        bench.reactor.advance(0.05)
    assert len(bench.driver.established()) == left
    late = establish(bench, 99)
    assert b"MOVE" not in late.lines() and sum(b"MOVE" in c.lines() for c in clients) == 40 - left


class OperatorsBench:
    """The operators' server, and callers on fake connections."""

    def __init__(self) -> None:
        self.net = Bench()
        self.operators = Operators(
            self.net.reactor, self.net.pool, {b"PING": lambda: "ok serving", b"INFO": lambda: "ok\na 1\neof"}
        )

    def caller(self, sends: bytes = b"") -> Wire:
        caller = Wire(self.net.reactor, self.operators.buildProtocol(None))
        caller.receive(sends)
        return caller


@pytest.mark.parametrize(
    ("sent", "answer"),
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
def test_a_call_gets_one_answer_and_its_connection_is_closed(sent, answer):
    bench = OperatorsBench()
    caller = bench.caller(sent)
    first = caller.lines()[0]
    assert first.split(b" ")[0] == answer.split(b" ")[0] and caller.fin_due
    assert len(caller.lines()) == (3 if sent == b"INFO\n" else 1)
    bench.net.reactor.advance(CLOSE_TIMEOUT_S + 0.1)
    bench.net.reactor.advance(0)
    assert caller.lost and not bench.operators.callers and bench.net.pool.in_use == 0


def test_callers_that_stall_are_bounded_in_time_and_number_and_do_not_delay_others():
    bench = OperatorsBench()
    incomplete = bench.caller(b"PIN")
    ended = bench.caller(b"PIN")
    ended.peer_ends()
    assert ended.lines()[0].startswith(b"fail")
    bench.net.reactor.advance(CALL_TIMEOUT_S)
    assert incomplete.lines()[0].startswith(b"fail") and incomplete.fin_due
    stalling = [bench.caller(b"" if number % 2 else b"INF") for number in range(4 * MAX_CALLERS)]
    assert bench.caller(b"PING\n").lines() == [b"ok serving"]
    bench.net.reactor.advance(0)
    assert sum(not caller.lost for caller in stalling) < MAX_CALLERS == len(bench.operators.callers)
    assert bench.net.pool.in_use <= MAX_CALLERS
