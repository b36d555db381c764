"""A model of a connection that is handed from process to process: each line is passed on once, whole, in order."""

from __future__ import annotations

from typing import ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.buffers import MAX_LINE_BYTES
from scaledeal.net.carry import CONNECTIONS_PER_ROUND, Carrier, resume
from scaledeal.net.handover_messages import HandedConnection

OPEN_LINE = b"OPEN 9b1f 7f3a c=browse,d=800,g=5c0f,x=1\r\n"
CHUNKS = st.sampled_from([b"M 1", b"\r\n", b"\r", b"\n", b"x" * 900, b"M 2\r\nM 3\r\nM"])


class FakeSuccessor:
    """Collects what the carrier sends to the successor; it is its own offer."""

    def __init__(self) -> None:
        self.successor = self
        self.handed: list[tuple[HandedConnection, tuple[int, int]]] = []

    def hand_over(self, connection: HandedConnection, descriptors: tuple[int, int]) -> None:
        self.handed.append((connection, descriptors))


def establish(bench: Bench) -> tuple[Wire, Wire]:
    """Establish a connection, and return its client's and its application server's wire."""
    client = bench.client()
    client.receive(OPEN_LINE)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    server.receive(b"UP 1\r\n")
    client.flush()
    return client, server


def is_within_limit(sent: bytes) -> bool:
    """Return whether the line that ``sent`` ends in may go on; a relay closes a connection with a longer one."""
    return len(sent.rpartition(b"\r\n")[2]) < MAX_LINE_BYTES


class HandedOver(RuleBasedStateMachine):
    """Both sides send lines in pieces; at any time a new process may take over, or die while it does."""

    handovers: ClassVar[int] = 0  # over all examples

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.client, self.server = establish(self.bench)
        self.client_sent = self.server_sent = b""
        self.passed_to_client, self.passed_to_server = b"", b""  # by earlier processes
        self.over = False

    def flush(self) -> None:
        self.client.flush()
        self.server.flush()
        self.bench.reactor.advance(0)

    @rule(chunk=CHUNKS, late=st.booleans())
    def client_sends(self, chunk: bytes, late: bool) -> None:
        if not self.over and not self.client.paused and is_within_limit(self.client_sent + chunk):
            self.client_sent += chunk
            self.client.receive(chunk)
            if not late:
                self.flush()

    @rule(chunk=CHUNKS, late=st.booleans())
    def server_sends(self, chunk: bytes, late: bool) -> None:
        if not self.over and not self.server.paused and is_within_limit(self.server_sent + chunk):
            self.server_sent += chunk
            self.server.receive(chunk)
            if not late:
                self.flush()

    @rule(dies=st.booleans())
    def new_process_takes_over(self, dies: bool) -> None:
        successor = FakeSuccessor()
        carrier = Carrier(self.bench.driver, successor)  # type: ignore[arg-type]
        carrier.run_round()
        carrier.stop()
        busy = self.over or self.client.queued or self.server.queued
        assert len(successor.handed) == (0 if busy else 1), (
            "handed over with lines under way, or not handed over without"
        )
        if busy:
            return
        assert self.client.paused and self.server.paused, "still read after it was handed over"
        # Until the new process has confirmed it, the module may still act on the connection, without effect.
        handle = successor.handed[0][0].handle
        self.bench.act(api.Move(handle), api.Fail(handle))
        self.bench.driver.check_connections()
        if dies:
            carrier.successor_lost()
            assert not self.client.paused and not self.server.paused
            return
        new = Bench()
        new.reactor.advance(self.bench.reactor.seconds() - new.reactor.seconds())
        assert resume(new.client_context, new.driver, *successor.handed[0])
        carrier.connection_taken(handle)
        assert self.client.handle.closed and self.server.handle.closed and not self.client.fin_sent
        self.assert_nothing_is_left(self.bench)
        opened = new.module.events_of(api.OpenConnection)[0]
        assert (opened.server, opened.key, opened.group, opened.inherited) == ("a", "7f3a", "5c0f", True)
        assert (
            new.client_context.request_ids.open_here() == {"9b1f"}
            and new.admission.active == 1
            and not new.admission.silent
        )
        self.passed_to_client += self.client.sent
        self.passed_to_server += self.server.sent
        self.bench, (self.client, self.server) = new, new.reactor.adopted
        assert self.client.producer and self.server.producer, "lines for a slow peer would be buffered without bound"
        type(self).handovers += 1

    def assert_nothing_is_left(self, bench: Bench) -> None:
        assert not bench.driver.transactions and not bench.client_context.request_ids.open_here()
        assert bench.admission.active == 0 == bench.pool.in_use and not bench.admission.silent
        gone, ended = bench.module.events_of(api.ClientGone), bench.module.events_of(api.Outcome)
        assert len(ended) == 1 and ended[0].last and ended[0].result is api.Result.CANCELLED
        assert [event.request for event in gone] == [ended[0].request] or self.over

    @rule(broke=st.booleans(), draw=st.integers(0, 9))  # leaves in one of ten draws
    def client_leaves(self, broke: bool, draw: int) -> None:
        if not draw and not self.over:
            self.client.lose(error.ConnectionLost()) if broke else self.client.peer_ends()
            self.over = True

    @invariant()
    def each_line_is_passed_once(self) -> None:
        to_server = self.passed_to_server + self.server.sent + self.server.queued
        to_client = self.passed_to_client + self.client.sent + self.client.queued
        assert to_server.startswith(OPEN_LINE.partition(b"d=")[0])
        passed = to_server.split(b"\r\n", 1)[1] if b"\r\n" in to_server else b""
        whole, end, _ = self.client_sent.rpartition(b"\r\n")
        assert passed == whole + end
        whole, end, _ = self.server_sent.rpartition(b"\r\n")
        assert to_client == b"UP 1\r\n" + whole + end

    def teardown(self) -> None:
        """End the connection: one that was handed over ends as any other."""
        if not self.client.lost:
            self.client.lose(error.ConnectionLost())
        self.bench.reactor.advance(0)
        self.server.lose(error.ConnectionLost())
        self.over = True
        self.assert_nothing_is_left(self.bench)


def test_each_line_is_passed_once_over_any_handovers():
    run_state_machine_as_test(HandedOver, settings=settings(max_examples=120, stateful_step_count=25))
    assert HandedOver.handovers > 60, "hardly any connection was handed over"


def test_a_connection_that_can_not_be_taken_stays_with_the_old_process():
    bench = Bench()
    client, server = establish(bench)
    successor = FakeSuccessor()
    carrier = Carrier(bench.driver, successor)  # type: ignore[arg-type]
    carrier.run_round()
    connection, descriptors = successor.handed[0]
    other = Bench()
    other.client_context.classes.clear()  # a version with other settings
    assert not resume(other.client_context, other.driver, connection, descriptors)
    assert not resume(
        Bench().client_context, other.driver, HandedConnection(connection.handle, "a", 0.0, b"junk"), descriptors
    )
    assert not other.driver.transactions and not other.reactor.adopted
    carrier.successor_lost()
    client.receive(b"M 1\r\n")
    assert server.lines()[-1] == b"M 1"


def test_half_closed_connections_and_those_beyond_one_round_wait():
    bench = Bench()
    successor = FakeSuccessor()
    ended, _ = establish(bench)
    ended.peer_ends()
    for number in range(CONNECTIONS_PER_ROUND + 2):
        client = bench.client()
        client.receive(OPEN_LINE.replace(b"9b1f", b"%x" % number))
        bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
        server = bench.reactor.dialled[-1].up(bench.reactor)
        server.flush()
        server.receive(b"UP 1\r\n")
        client.flush()
    carrier = Carrier(bench.driver, successor)  # type: ignore[arg-type]
    carrier.run_round()
    assert len(successor.handed) == CONNECTIONS_PER_ROUND
    bench.reactor.advance(0.02)
    assert len(successor.handed) == CONNECTIONS_PER_ROUND + 2, (
        "one whose client has ended its sending is not handed over"
    )
    carrier.stop()
