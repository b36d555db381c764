"""A stateful model of one request, checked against random steps of both sides and the decision module."""

from __future__ import annotations

from collections import Counter
from typing import ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.transaction import DEADLINE_SLACK_NS
from scaledeal.net.user_agent import MAX_EARLY_LINES

WAIT_MS = 3000
OPEN = b"OPEN 9b1f 7f3a c=browse,d=%d,g=5c0f,x=1" % WAIT_MS
FINAL = (b"UP", b"BUSY", b"ERR", b"BYE")
BEFORE_UP = {
    b"BYE": api.Result.OK,
    b"MOVE": api.Result.CANCELLED,
    b"ERR": api.Result.ERROR,
    b"BUSY": api.Result.FULL,
    b"SYNTAX": api.Result.ERROR,
}


class OneRequest(RuleBasedStateMachine):
    """The client, the module and the server of one request; each may take any step at any time."""

    reached: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.client: Wire | None = None
        self.client_left = False
        self.asked_at = 0
        self.sends = 0
        self.expected: dict[int, api.Result] = {}  # by attempt number, the expected result
        self.established = False
        self.over = False  # no further answer may be given
        self.moved = False
        self.early: list[bytes] = []
        self.to_server: list[bytes] = []
        self.to_client: list[bytes] = []

    def now(self) -> int:
        return self.bench.driver.now()

    def events(self, kind: type) -> list:
        return self.bench.module.events_of(kind)

    def handle(self) -> str:
        return self.events(api.Request)[0].request

    def current(self) -> Wire | None:
        """Return the server's connection of the current attempt, if it is up."""
        wires = [w for w in self.bench.wires() if not w.lost and not w.closing]
        return wires[0] if wires else None

    def connecting(self) -> bool:
        return any(not d.over for d in self.bench.reactor.dialled)

    def attempt_open(self) -> bool:
        return self.sends > len(self.events(api.Outcome))

    def settle(self) -> None:
        for wire in [*self.bench.wires(), *([self.client] if self.client else [])]:
            wire.flush()
        self.bench.reactor.advance(0)

    # The client

    @initialize(cut=st.integers(0, len(OPEN)), far=st.integers(0, 6))
    def begin(self, cut: int, far: int) -> None:
        """Start at any stage; random steps alone rarely reach the later ones."""
        self.client_asks(cut)
        if far > 0:
            self.module_sends(0, "a")
        if far > 1:
            self.server_takes_the_connection(1, far > 2)
        if far > 3:
            self.server_answers(b"UP")

    def client_asks(self, cut: int) -> None:
        self.client = self.bench.client()
        self.client.receive(OPEN[:cut])
        assert not self.events(api.Request)
        self.client.receive(OPEN[cut:] + b"\r\n")
        self.asked_at = self.now()
        asked = self.events(api.Request)[0]
        assert (asked.key, asked.group, asked.request_class) == ("7f3a", "5c0f", 0)
        assert asked.deadline == self.now() + WAIT_MS * 1_000_000

    @precondition(lambda self: self.client is not None and not self.client_left and not self.over)
    @rule(text=st.sampled_from([b"M 1", b"MOVE", b""]), split=st.booleans())
    def client_sends_line(self, text: bytes, split: bool) -> None:
        if self.client.paused or not self.established and len(self.early) == MAX_EARLY_LINES:
            return  # one more would be a flood: test_net_parts.py
        self.client.receive(text[:1] if split else b"")
        self.client.receive((text[1:] if split else text) + b"\r\n")
        (self.to_server if self.established else self.early).append(text)

    @precondition(lambda self: self.client is not None and not self.client_left)
    @rule(broke=st.booleans(), now=st.integers(0, 7), part=st.booleans())
    def client_leaves(self, broke: bool, now: int = 0, part: bool = False) -> None:
        if now:
            return  # leave only in one of eight cases, so that most runs go on
        if part and not self.client.paused:
            self.client.receive(b"half a li")
        if self.client.lost or self.client.closing or self.client.fin_due:
            return
        self.client_left = True
        if broke:
            self.client.lose(error.ConnectionLost())
        else:
            self.client.peer_ends()
        if not self.over:
            if self.established:
                self.expected[self.sends - 1] = api.Result.CANCELLED
                if not broke:
                    return  # lines of the server still pass
            else:
                assert [e.request for e in self.events(api.ClientGone)] == [self.handle()]
        self.over = True

    # The module

    @precondition(lambda self: self.client is not None and not self.over and not self.attempt_open())
    @rule(timeout=st.sampled_from([0, 0, 90, 5000]), server=st.sampled_from(["a", "a", "b", "unknown"]))
    def module_sends(self, timeout: int, server: str) -> None:
        assert self.current() is None and not self.connecting(), "a second attempt beside the first"
        self.bench.act(api.Send(self.handle(), server, timeout * 1_000_000))
        if server == "unknown" or self.now() >= self.asked_at + WAIT_MS * 1_000_000:
            late = self.now() >= self.asked_at + WAIT_MS * 1_000_000
            self.expected[self.sends] = api.Result.NOT_SENT if late else api.Result.CONNECT_FAILED
        self.sends += 1

    @precondition(lambda self: self.client is not None and not self.attempt_open())
    @rule(wait=st.sampled_from([0, 1, 1_500_000]), fail=st.booleans(), now=st.integers(0, 7))
    def module_answers(self, wait: int, fail: bool, now: int) -> None:
        if now and not self.over:
            return
        before = len(self.client.lines())
        self.bench.act(api.Fail(self.handle()) if fail else api.Refuse(self.handle(), wait))
        if not self.over:
            expected_answer = b"ERR" if fail else {0: b"BUSY", 1: b"BUSY 1", 1_500_000: b"BUSY 2"}[wait]
            assert self.client.lines()[before:] == [expected_answer]
        else:
            assert len(self.client.lines()) == before
        self.over = True

    @precondition(lambda self: self.attempt_open())
    @rule(off=st.integers(0, 3))
    def module_cancels(self, off: int) -> None:
        waits = self.attempt_open() and not self.established
        self.bench.act(api.Cancel(self.handle(), self.sends - 1 - off))
        if waits and not off:
            self.expected.setdefault(self.sends - 1, api.Result.CANCELLED)
        self.settle()

    @precondition(lambda self: self.established or self.over)
    @rule(now=st.integers(0, 3))
    def module_moves(self, now: int) -> None:
        if now:
            return
        may = self.established and not self.over
        self.bench.act(api.Move(self.handle()))
        if may:
            self.expected[self.sends - 1] = api.Result.CANCELLED
            self.over = self.moved = True
            self.to_client.append(b"MOVE")

    @precondition(lambda self: self.connecting())
    @rule(now=st.integers(0, 3))
    def discovery_drains_the_server(self, now: int) -> None:
        if now:
            return
        self.bench.list(api.ServerState.DRAINING, a="127.0.0.1:1", b="127.0.0.1:2")
        assert not self.connecting(), "a connect goes on to a server that drains"
        self.expected[self.sends - 1] = api.Result.CONNECT_FAILED

    # The application server

    @precondition(lambda self: self.connecting())
    @rule(up=st.integers(0, 4), write=st.booleans())
    def server_takes_the_connection(self, up: int, write: bool) -> None:
        dialled = next(d for d in self.bench.reactor.dialled if not d.over)
        if not up:
            dialled.fail()
            self.expected.setdefault(self.sends - 1, api.Result.CONNECT_FAILED)
            return
        wire = dialled.up(self.bench.reactor)
        if write:
            wire.flush()
            left = (self.asked_at + WAIT_MS * 1_000_000 - self.now()) // 1_000_000
            head, _, tail = wire.lines()[0].partition(b"d=")
            assert head == b"OPEN 9b1f 7f3a c=browse,"
            waits, _, rest = tail.partition(b",")
            assert rest == b"g=5c0f,x=1" and 1 <= int(waits) <= max(1, left + 250)

    @precondition(lambda self: self.current() is not None)
    @rule(word=st.sampled_from([b"UP"] * 5 + [b"BYE", b"MOVE", b"ERR", b"BUSY", b"SYNTAX", b"LOAD"]))
    def server_answers(self, word: bytes) -> None:
        wire = self.current()
        if not wire.sent:
            wire.flush()
        if self.established:
            return
        line = {b"UP": b"UP 77aa", b"LOAD": b"LOAD 12.5"}.get(word, word)
        notes, before = len(self.events(api.Note)), self.client.lines()
        wire.receive(line + b"\r\n")
        if word == b"LOAD":
            assert self.events(api.Note)[notes:][0].amount == 12.5
        elif word == b"UP" and self.over:
            # No connection may be established for a client that has left.
            assert self.client.lines() == before
            self.expected.setdefault(self.sends - 1, api.Result.CANCELLED)
        elif word == b"UP":
            self.established = True
            self.reached["established"] += 1
            self.to_client.append(line)
            self.to_server += self.early
        else:
            self.expected.setdefault(self.sends - 1, BEFORE_UP[word])
            if word == b"BYE":
                assert self.client.lines() == before + ([] if self.over else [line])
                self.over = True
        self.settle()

    @precondition(lambda self: self.established and not self.over and self.current() is not None)
    @rule(line=st.sampled_from([b"M 1", b"LOAD 3", b"BYE", b"MOVE", b"x"]), split=st.booleans())
    def server_sends_line(self, line: bytes, split: bool) -> None:
        wire = self.current()
        wire.receive(line[:1] if split else b"")
        wire.receive((line[1:] if split else line) + b"\r\n")
        self.to_client.append(line)
        if line in (b"BYE", b"MOVE"):
            self.over = True
            self.expected[self.sends - 1] = BEFORE_UP[line]
            self.settle()
            assert self.client.fin_sent and not self.client.lost or self.client.lost

    @precondition(lambda self: self.current() is not None)
    @rule(broke=st.booleans(), part=st.booleans(), now=st.integers(0, 2))
    def server_ends(self, broke: bool, part: bool, now: int) -> None:
        wire = self.current()
        if now:
            return
        if part and wire.sent:
            wire.receive(b"half a li")
        ran = bool(wire.sent)
        # A line that is unsent when its server ends is never sent: an attempt reported as not sent must not arrive.
        if broke:
            wire.lose(error.ConnectionLost())
        else:
            wire.peer_ends()
            wire.flush()
            wire.flush()
        if not self.expected.get(self.sends - 1):
            self.expected[self.sends - 1] = api.Result.RESET if ran else api.Result.CONNECT_FAILED
        self.settle()
        if self.established and not self.over:
            assert self.client.lost or not broke and self.client.fin_sent, "the two sides ended in different ways"
            self.over = True

    # Time

    @rule(ms=st.sampled_from([1, 1, 1, 60, 60, 249, 300, 3000]))
    def time_passes(self, ms: int) -> None:
        self.bench.reactor.advance(ms / 1000)
        self.settle()
        for number in range(self.sends):
            for outcome in self.events(api.Outcome):
                if outcome.attempt == number and number not in self.expected:
                    assert outcome.result in (api.Result.TIMEOUT, api.Result.CONNECT_FAILED, api.Result.CANCELLED)
                    self.expected[number] = outcome.result
        self.over = self.over or any(outcome.last for outcome in self.events(api.Outcome))
        due = self.asked_at + WAIT_MS * 1_000_000 + DEADLINE_SLACK_NS
        if self.client is not None and not self.established and self.now() >= due:
            if not self.over:
                assert self.client.lines()[-1] == b"ERR", "no answer at the deadline"
            self.over = True

    @rule()
    def everything_is_written(self) -> None:
        self.settle()

    # Invariants

    @invariant()
    def at_most_one_answer_and_one_attempt(self) -> None:
        if self.client is None:
            return
        lines = self.client.lines()
        answers = [line for line in lines if line.split(b" ")[0] in FINAL]
        if not self.established:
            assert len(answers) <= 1, "two final answers"
        else:
            expected = self.to_client
            assert lines == expected[: len(lines)], (lines, expected)
        open_now = [w for w in self.bench.wires() if not w.lost and not w.closing]
        assert len(open_now) + sum(not d.over for d in self.bench.reactor.dialled) <= 1, "two attempts out"

    @invariant()
    def each_answer_and_each_line_written_whole_is_counted_once(self) -> None:
        counts, lines = self.bench.driver.figures.counts[0], self.client.lines() if self.client else []
        words = [line.split(b" ")[0] for line in lines[:1]]
        answered = counts.fulfilled + counts.throttled + counts.faulted
        assert answered <= 1 and counts.fulfilled == int(self.established or words == [b"BYE"])
        if not self.client_left:
            assert (counts.throttled, counts.faulted) == (words == [b"BUSY"], words == [b"ERR"])
        written = sum(b"\r\n" in wire.sent for wire in self.bench.wires())
        assert counts.relayed == written
        assert self.bench.driver.gauges()["open_requests"] == int(self.client is not None and not self.over)

    @invariant()
    def every_send_has_one_outcome(self) -> None:
        outcomes = self.events(api.Outcome)
        assert [o.attempt for o in outcomes] == list(range(len(outcomes)))
        for outcome in outcomes:
            if outcome.attempt in self.expected:
                assert outcome.result is self.expected[outcome.attempt], (outcome, self.expected)
        assert len(self.events(api.Established)) == int(self.established)

    @invariant()
    def lines_pass_unchanged(self) -> None:
        if self.established:
            sent = self.bench.wires()[-1].lines()[1:]
            assert sent == self.to_server[: len(sent)]

    def teardown(self) -> None:
        """Check that nothing is left of the finished request: no socket, buffer, timer or entry."""
        if self.client is not None:
            if not self.client_left:
                self.client_leaves(True)
            self.client.lose(error.ConnectionLost())
            self.bench.act(api.Cancel(self.handle(), self.sends - 1))
        for dialled in self.bench.reactor.dialled:
            dialled.fail()
        for _ in range(10):  # long enough for the close timeout; shorter than a forgotten timer of an attempt
            self.settle()
            self.bench.reactor.advance(0.1)
        for outcome in self.events(api.Outcome):
            self.reached[outcome.result.value] += 1
        assert not self.bench.driver.transactions
        assert self.bench.pool.in_use == 0
        assert all(w.lost for w in self.bench.wires())
        assert len(self.events(api.Outcome)) == self.sends
        assert self.bench.reactor.getDelayedCalls() == []


def test_the_random_steps_reach_every_state():
    # The model would prove nothing if its runs ended before a connection is established.
    run_state_machine_as_test(OneRequest, settings=settings(max_examples=300, stateful_step_count=30))
    assert OneRequest.reached["established"] >= 50
    assert len(OneRequest.reached) >= 6, OneRequest.reached
