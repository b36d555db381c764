"""A model of a connection that is carried from process to process: each line passes once, whole, in order."""

from __future__ import annotations

from typing import ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.carry import AT_ONCE, Carrier, resume
from scaledeal.net.handover import Handed

FIRST = b"OPEN 9b1f 7f3a c=browse,d=800,g=5c0f,x=1\r\n"
CHUNKS = st.sampled_from([b"M 1", b"\r\n", b"\r", b"\n", b"x" * 900, b"M 2\r\nM 3\r\nM"])


class Line:
    """The successor's end of the connection between two processes, as the carrier sees it."""

    def __init__(self) -> None:
        self.successor = self
        self.handed: list[tuple[Handed, tuple[int, int]]] = []

    def hand(self, told: Handed, descriptors: tuple[int, int]) -> None:
        self.handed.append((told, descriptors))


def stand(bench: Bench) -> tuple[Wire, Wire]:
    client = bench.client()
    client.receive(FIRST)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    server.receive(b"UP 1\r\n")
    client.flush()
    return client, server


class Carried(RuleBasedStateMachine):
    """Both sides speak in pieces; in between, a new process may take over, or die while it does."""

    times: ClassVar[int] = 0

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.client, self.server = stand(self.bench)
        self.client_said = self.server_said = b""
        self.before_client, self.before_server = b"", b""  # what earlier processes passed on
        self.over = False

    def flush(self) -> None:
        self.client.flush()
        self.server.flush()
        self.bench.reactor.advance(0)

    @rule(chunk=CHUNKS, late=st.booleans())
    def client_says(self, chunk: bytes, late: bool) -> None:
        if not self.over and not self.client.paused:
            self.client_said += chunk
            self.client.receive(chunk)
            if not late:
                self.flush()

    @rule(chunk=CHUNKS, late=st.booleans())
    def server_says(self, chunk: bytes, late: bool) -> None:
        if not self.over and not self.server.paused:
            self.server_said += chunk
            self.server.receive(chunk)
            if not late:
                self.flush()

    @rule(dies=st.booleans())
    def a_new_process_comes(self, dies: bool) -> None:
        line = Line()
        carrier = Carrier(self.bench.driver, line)  # type: ignore[arg-type]
        carrier.round()
        carrier.stop()
        busy = self.over or self.client.queued or self.server.queued
        assert len(line.handed) == (0 if busy else 1), "handed over with lines under way, or not at all"
        if busy:
            return
        assert self.client.paused and self.server.paused, "read on after it was handed over"
        # Guards against a word of the module's on a connection that is not ours any more, or not yet.
        handle = line.handed[0][0].handle
        self.bench.act(api.Move(handle), api.Fail(handle))
        self.bench.driver.check_connections()
        if dies:
            carrier.lost()
            assert not self.client.paused and not self.server.paused
            return
        new = Bench()
        new.reactor.advance(self.bench.reactor.seconds() - new.reactor.seconds())
        assert resume(new.client_context, new.driver, *line.handed[0])
        carrier.taken(handle)
        assert self.client.handle.closed and self.server.handle.closed and not self.client.fin_sent
        self.nothing_is_left_of_it(self.bench)
        told = new.module.events_of(api.OpenConnection)[0]
        assert (told.server, told.key, told.group, told.inherited) == ("a", "7f3a", "5c0f", True)
        assert new.client_context.open_ids == {"9b1f"} and new.admission.active == 1 and not new.admission.silent
        self.before_client += self.client.sent
        self.before_server += self.server.sent
        self.bench, (self.client, self.server) = new, new.reactor.adopted
        assert self.client.producer and self.server.producer, "what a slow peer leaves would pile up"
        type(self).times += 1

    def nothing_is_left_of_it(self, bench: Bench) -> None:
        assert not bench.driver.transactions and not bench.client_context.open_ids
        assert bench.admission.active == 0 == bench.pool.in_use and not bench.admission.silent
        gone, ended = bench.module.events_of(api.ClientGone), bench.module.events_of(api.Outcome)
        assert len(ended) == 1 and ended[0].last and ended[0].result is api.Result.CANCELLED
        assert [each.request for each in gone] == [ended[0].request] or self.over

    @rule(broke=st.booleans(), now=st.integers(0, 9))
    def the_client_leaves(self, broke: bool, now: int) -> None:
        if not now and not self.over:
            self.client.lose(error.ConnectionLost()) if broke else self.client.peer_ends()
            self.over = True

    @invariant()
    def each_line_passes_once(self) -> None:
        to_server = self.before_server + self.server.sent + self.server.queued
        to_client = self.before_client + self.client.sent + self.client.queued
        assert to_server.startswith(FIRST.partition(b"d=")[0])
        passed = to_server.split(b"\r\n", 1)[1] if b"\r\n" in to_server else b""
        whole, end, _ = self.client_said.rpartition(b"\r\n")
        assert passed == whole + end
        whole, end, _ = self.server_said.rpartition(b"\r\n")
        assert to_client == b"UP 1\r\n" + whole + end

    def teardown(self) -> None:
        """End it: one that was carried ends as any other."""
        if not self.client.lost:
            self.client.lose(error.ConnectionLost())
        self.bench.reactor.advance(0)
        self.server.lose(error.ConnectionLost())
        self.over = True
        self.nothing_is_left_of_it(self.bench)


def test_lines_pass_once_whatever_is_carried():
    run_state_machine_as_test(Carried, settings=settings(max_examples=120, stateful_step_count=25))
    assert Carried.times > 60, "hardly anything was carried"


def test_what_can_not_be_taken_stays_with_the_old_process():
    bench = Bench()
    client, server = stand(bench)
    line = Line()
    carrier = Carrier(bench.driver, line)  # type: ignore[arg-type]
    carrier.round()
    told, descriptors = line.handed[0]
    other = Bench()
    other.client_context.classes.clear()  # a version with other settings
    assert not resume(other.client_context, other.driver, told, descriptors)
    assert not resume(Bench().client_context, other.driver, Handed(told.handle, "a", 0.0, b"junk"), descriptors)
    assert not other.driver.transactions and not other.reactor.adopted
    carrier.lost()
    client.receive(b"M 1\r\n")
    assert server.lines()[-1] == b"M 1"


def test_what_is_half_closed_or_too_much_for_one_round_waits():
    bench = Bench()
    line = Line()
    ended, _ = stand(bench)
    ended.peer_ends()
    for number in range(AT_ONCE + 2):
        client = bench.client()
        client.receive(FIRST.replace(b"9b1f", b"%x" % number))
        bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
        server = bench.reactor.dialled[-1].up(bench.reactor)
        server.flush()
        server.receive(b"UP 1\r\n")
        client.flush()
    carrier = Carrier(bench.driver, line)  # type: ignore[arg-type]
    carrier.round()
    assert len(line.handed) == AT_ONCE
    bench.reactor.advance(0.02)
    assert len(line.handed) == AT_ONCE + 2, "one whose client has ended its sending is not handed over"
    carrier.stop()
