"""Ids over several processes of one relay: each is open once, whatever is under way between the processes."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test
from netfakes import Bench, FakeReactor
from test_net_parts import OPEN, establish, written_attempt
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.handover_messages import ClaimDecided, ClaimId, ReleaseId
from scaledeal.net.request_ids import (
    CLAIM_TIMEOUT_S,
    MAX_LATE_CLAIMS,
    ClaimResult,
    Decide,
    RemoteAuthority,
    RequestIds,
)

IDS = st.sampled_from(["a", "b", "c"])


class TestProcess:
    """One process: the ids that it knows, its clients by id, and the channels to its neighbours."""

    __test__ = False

    def __init__(self, reactor: FakeReactor, older: TestProcess | None, ids: type[RequestIds] = RequestIds) -> None:
        self.ids = ids()
        self.older = older
        self.clients: list[str] = []  # ids of its open requests
        self.waiting: list[str] = []  # ids of requests that wait for an answer to their claim
        self.to_older: deque[ClaimId | ReleaseId | str] = deque()  # a text is a connection that was taken
        self.to_newer: deque[ClaimDecided | str] = deque()  # a text is a connection that is handed over
        self.offered: list[str] = []  # ids of connections that the next process has not confirmed yet
        self.remote = RemoteAuthority(reactor, self.to_older.append)
        if older is not None:
            self.ids.authority = self.remote

    def open(self, request_id: str) -> None:
        def decide(result: ClaimResult) -> None:
            self.waiting.remove(request_id)
            if result is ClaimResult.GRANTED:
                self.clients.append(request_id)

        self.waiting.append(request_id)
        self.ids.claim(request_id, decide)

    def close(self, request_id: str) -> None:
        self.clients.remove(request_id)
        self.ids.release(request_id)

    def hand_over(self, request_id: str) -> None:
        self.clients.remove(request_id)
        self.offered.append(request_id)
        self.to_newer.append(request_id)

    def deliver_to_older(self) -> None:
        message, older = self.to_older.popleft(), self.older
        assert older is not None
        if isinstance(message, ClaimId):
            number = message.number
            older.ids.claim_for_successor(
                message.request_id,
                lambda result: older.to_newer.append(ClaimDecided(number, result is ClaimResult.GRANTED)),
            )
        elif isinstance(message, ReleaseId):
            older.ids.release_for_successor(message.request_id)
        else:
            older.offered.remove(message)
            older.ids.hand_over(message)
            older.ids.release(message)

    def take_from_older(self) -> None:
        assert self.older is not None
        message = self.older.to_newer.popleft()
        if isinstance(message, ClaimDecided):
            self.remote.answered(message)
        else:
            self.ids.adopt(message)
            self.clients.append(message)
            self.to_older.append(message)

    def older_ended(self) -> None:
        """Handle the orderly end of the older process: it has no clients, and all that it sent has arrived."""
        self.older = None
        self.ids.authority = None
        self.to_older.clear()
        self.remote.lost()


class Chain(RuleBasedStateMachine):
    """Three processes of one relay; messages between them are delivered in any interleaving, in order on a channel."""

    ids: type[RequestIds] = RequestIds
    authority: type[RemoteAuthority] = RemoteAuthority

    @initialize()
    def start(self) -> None:
        self.reactor = FakeReactor()
        self.processes: list[TestProcess] = []
        for _ in range(3):
            older = self.processes[-1] if self.processes else None
            self.processes.append(TestProcess(self.reactor, older, self.ids))

    @rule(number=st.integers(0, 2), request_id=IDS)
    def client_opens(self, number: int, request_id: str) -> None:
        process = self.processes[min(number, len(self.processes) - 1)]
        if process.waiting.count(request_id) < 2:
            process.open(request_id)

    @rule(number=st.integers(0, 2), which=st.integers(0, 9))
    def request_ends(self, number: int, which: int) -> None:
        process = self.processes[min(number, len(self.processes) - 1)]
        if process.clients:
            process.close(process.clients[which % len(process.clients)])

    @rule(number=st.integers(0, 1), which=st.integers(0, 9))
    def connection_is_handed_over(self, number: int, which: int) -> None:
        process = self.processes[number] if number + 1 < len(self.processes) else None
        if process is not None and process.clients:
            process.hand_over(process.clients[which % len(process.clients)])

    @rule(number=st.integers(1, 2), count=st.integers(1, 3), upwards=st.booleans())
    def messages_arrive(self, number: int, count: int, upwards: bool) -> None:
        if number >= len(self.processes):
            return
        process = self.processes[number]
        for _ in range(count):
            if upwards and process.to_older:
                process.deliver_to_older()
            elif not upwards and process.older is not None and process.older.to_newer:
                process.take_from_older()

    @rule()
    def all_messages_arrive(self) -> None:
        for _ in range(3):
            for process in self.processes[1:]:
                while process.to_older:
                    process.deliver_to_older()
                while process.older is not None and process.older.to_newer:
                    process.take_from_older()

    @rule()
    def claims_time_out(self) -> None:
        self.reactor.advance(CLAIM_TIMEOUT_S)

    @rule()
    def oldest_process_ends(self) -> None:
        oldest = self.processes[0]
        busy = oldest.clients or oldest.offered or oldest.to_newer or oldest.waiting
        if len(self.processes) > 1 and not busy:
            newer = self.processes[1]
            if any(isinstance(message, str) for message in newer.to_older):
                return  # it waits for the confirmation
            newer.older_ended()
            del self.processes[0]

    @rule()
    def newest_process_dies(self) -> None:
        if len(self.processes) > 1 and not self.processes[-2].offered:
            del self.processes[-1]
            self.processes[-1].to_newer.clear()
            self.processes[-1].ids.successor_lost()

    @invariant()
    def each_id_is_open_once(self) -> None:
        processes = getattr(self, "processes", [])
        open_ids = [each for process in processes for each in process.clients + process.offered]
        # A connection that was taken and is not confirmed counts at both ends of its channel.
        confirming = [message for process in processes for message in process.to_older if isinstance(message, str)]
        for each in confirming:
            open_ids.remove(each)
        assert len(set(open_ids)) == len(open_ids), f"open at two processes: {open_ids}"

    def teardown(self) -> None:
        """Deliver all messages and end all requests: no id may stay taken."""
        for _ in range(20):
            self.all_messages_arrive()
            for process in self.processes:
                for request_id in list(process.clients):
                    process.close(request_id)
        for process in self.processes:
            assert not process.waiting and not process.ids.undecided
            assert not any(process.ids.is_open(each) for each in "abc"), "an id stays taken"


def test_an_id_is_open_at_one_process_at_a_time_and_free_afterwards():
    run_state_machine_as_test(Chain, settings=settings(max_examples=300, stateful_step_count=40, deadline=None))


class NoAuthority(RequestIds):
    """Each process knows its own ids alone."""

    def claim(self, request_id: str, decide: Decide) -> None:
        self.authority = None
        super().claim(request_id, decide)


class FreedByTheFirstEnd(RequestIds):
    """An id is free as soon as its connection is handed over."""

    def hand_over(self, request_id: str) -> None:
        """Forget the id."""


class NeverGivenBack(RequestIds):
    """An id that the old process granted stays taken there."""

    def release_for_successor(self, request_id: str) -> None:
        """Keep the id."""


class RefusalReadAsGrant(RequestIds):
    """Whatever the old process answers, the request begins."""

    def _decided(self, request_id: str, result: ClaimResult, decide: Decide) -> None:
        super()._decided(request_id, ClaimResult.GRANTED, decide)


@pytest.mark.parametrize("mutant", [NoAuthority, FreedByTheFirstEnd, NeverGivenBack, RefusalReadAsGrant])
def test_a_mutant_of_the_ids_is_detected(mutant):
    machine = type("MutantChain", (Chain,), {"ids": mutant})
    with pytest.raises((AssertionError, ValueError)):
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=300, stateful_step_count=40, deadline=None, database=None, report_multiple_bugs=False
            ),
        )


class ScriptedAuthority:
    """The old process, which decides when the test says so."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, Decide]] = []
        self.released: list[str] = []

    def ask(self, request_id: str, decide: Decide, settle: Callable[[], None]) -> None:
        self.asked.append((request_id, decide))

    def release(self, request_id: str) -> None:
        self.released.append(request_id)


def asking_bench() -> tuple[Bench, ScriptedAuthority]:
    bench, authority = Bench(), ScriptedAuthority()
    bench.driver.request_ids.authority = authority
    return bench, authority


@pytest.mark.parametrize(
    ("result", "answer"),
    [(ClaimResult.GRANTED, []), (ClaimResult.IN_USE, [b"ERR"]), (ClaimResult.UNDECIDED, [b"BUSY"])],
)
def test_a_request_waits_for_the_old_process_and_is_answered_whatever_that_says(result, answer):
    # Between the yes of a new version and SIGTERM, a request with an id that is open at the old process was served.
    bench, authority = asking_bench()
    client = bench.client()
    client.receive(OPEN + b"M 1\r\n")
    assert client.lines() == [] and not bench.module.events_of(api.Request) and bench.admission.active == 1
    authority.asked[0][1](result)
    assert client.lines() == answer
    assert len(bench.module.events_of(api.Request)) == (result is ClaimResult.GRANTED)
    assert bool(bench.driver.request_ids.open_here()) == (result is ClaimResult.GRANTED)


def test_a_client_that_leaves_while_its_id_is_undecided_gets_nothing_started():
    for leave in ("in order", "reset", "flood"):
        bench, authority = asking_bench()
        client = bench.client()
        client.receive(OPEN)
        if leave == "flood":
            client.receive(b"M\r\n" * 40)
        else:
            client.peer_ends() if leave == "in order" else client.lose(error.ConnectionLost())
        authority.asked[0][1](ClaimResult.GRANTED)
        assert not bench.module.events_of(api.Request) and authority.released == [authority.asked[0][0]]
        assert not bench.driver.request_ids.open_here()


def test_a_late_answer_of_the_old_process_leaves_no_id_taken():
    reactor, sent, results = FakeReactor(), [], []
    ids = RequestIds()
    ids.authority = remote = RemoteAuthority(reactor, sent.append)
    ids.claim("a", results.append)
    reactor.advance(CLAIM_TIMEOUT_S)
    assert results == [ClaimResult.UNDECIDED] and not ids.is_open("a")
    remote.answered(ClaimDecided(1, True))
    assert sent == [ClaimId(1, "a"), ReleaseId("a")]
    ids.claim("b", results.append)
    remote.answered(ClaimDecided(1, True))
    remote.lost()
    assert results == [ClaimResult.UNDECIDED, ClaimResult.GRANTED] and not reactor.getDelayedCalls()


def test_an_id_that_is_refused_while_its_connection_is_handed_over_is_free_at_the_end():
    # The model found it: the old process kept the id, as the new one held it twice when the connection ended.
    reactor = FakeReactor()
    old = TestProcess(reactor, None)
    new = TestProcess(reactor, old)
    old.open("a")
    new.open("a")
    old.hand_over("a")
    new.take_from_older()
    new.close("a")
    for _ in range(4):
        while new.to_older:
            new.deliver_to_older()
        while old.to_newer:
            new.take_from_older()
    assert not old.ids.is_open("a") and not new.ids.is_open("a") and not new.clients


def test_an_id_stays_taken_while_an_attempt_of_a_client_that_left_is_out():
    # Where attempts may not be cancelled, one that is written goes on; the same id beside it is a second copy.
    bench = Bench()
    client, server = written_attempt(bench)
    client.peer_ends()
    copy = bench.client()
    copy.receive(OPEN)
    assert copy.lines() == [b"ERR"] and len(bench.module.events_of(api.Request)) == 1
    server.receive(b"UP 1\r\n")
    bench.reactor.advance(0)
    assert server.lost and not bench.driver.request_ids.open_here()
    # It may have run, so that it would run a second time; the client of a sound deployment takes a new id.
    again = bench.client()
    again.receive(OPEN)
    assert again.lines() == [b"ERR"] and len(bench.module.events_of(api.Request)) == 1
    assert not bench.driver.request_ids.open_here()


def test_ids_are_free_after_any_random_sequence_of_claims_without_an_old_process():
    ids, rng, held = RequestIds(), random.Random(54), set()
    for _ in range(2000):
        name = rng.choice("abcdef")
        if name in held:
            ids.release(name)
            held.discard(name)
        else:
            ids.claim(name, lambda result, name=name: held.add(name) if result is ClaimResult.GRANTED else None)
        assert ids.open_here() == held


def test_a_connection_that_is_up_keeps_its_id_until_it_ends():
    bench = Bench()
    client, server, _ = establish(bench)
    assert len(bench.driver.request_ids.open_here()) == 1
    client.lose(error.ConnectionLost())
    bench.reactor.advance(0)
    assert not bench.driver.request_ids.open_here() and server.lost


# Guards against memory that grows with the requests at a new version while the old process is stopped.
def test_an_old_process_that_does_not_answer_is_asked_a_bounded_number_of_times():
    reactor, sent, results = FakeReactor(), [], []
    ids = RequestIds()
    ids.authority = remote = RemoteAuthority(reactor, sent.append)
    for number in range(2000):
        ids.claim(f"n{number}", results.append)
        reactor.advance(CLAIM_TIMEOUT_S)
    assert results == [ClaimResult.UNDECIDED] * 2000 and len(sent) == MAX_LATE_CLAIMS
    remote.answered(ClaimDecided(1, False))
    ids.claim("a", results.append)
    assert sent[-1] == ClaimId(MAX_LATE_CLAIMS + 1, "a")
