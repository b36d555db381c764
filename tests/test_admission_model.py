"""A stateful model of the descriptor limit: no number of bad clients may keep out clients with requests."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.admission import IDLE_GRACE_S, IDLE_SHARE_DIVISOR, RESERVED_DESCRIPTORS, RESERVED_FOR_CLOSING

DESCRIPTORS = 100
ANSWER_TIMEOUT_S = 3.0  # from its connecting until a bad client is answered or closed
BAD_INPUT = (
    b"frob 1\r\n",
    b"OPEN 1 2 c=none,d=5\r\n",
    b"OPEN 1 2 c=browse,d=nan\r\n",
    b"OPEN 1",
    b"\xff\x00",
    b"",
    b"x" * 5000,
    b"PING\r\n" * 99,
)


@dataclass
class BadClient:
    wire: Wire
    connected_at: float

    def answered(self) -> bool:
        return self.wire.lost or self.wire.closing or b"ERR" in self.wire.lines()


class Clients(RuleBasedStateMachine):
    """Bad clients connect in any number; no client that sends a request may be turned away for them."""

    max_held = slow = 0

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.bench.admission.limit = DESCRIPTORS
        self.bad: list[BadClient] = []
        self.good: list[Wire] = []
        self.ids = 0

    def held(self) -> int:
        """Return the descriptors in use: a client with a request has an attempt as well."""
        wires = [w for w in [*(b.wire for b in self.bad), *self.good] if not w.lost]
        return len(wires) + sum(not w.lost for w in self.good)

    @rule(count=st.integers(1, 40), sent=st.sampled_from(BAD_INPUT))
    def bad_clients_connect(self, count: int, sent: bytes) -> None:
        for _ in range(count):
            if wire := self.bench.connect():
                self.bad.append(BadClient(wire, self.bench.reactor.seconds()))
                wire.receive(sent)
        type(self).max_held = max(self.max_held, self.held())

    @rule(index=st.integers(0, 99), byte=st.sampled_from([b"O", b"\r\n", b"PING\r\n"]))
    def bad_client_trickles(self, index: int, byte: bytes) -> None:
        if self.bad:
            self.bad[index % len(self.bad)].wire.receive(byte)

    @rule(broke=st.booleans(), index=st.integers(0, 99))
    def bad_client_leaves(self, broke: bool, index: int) -> None:
        if self.bad:
            wire = self.bad[index % len(self.bad)].wire
            wire.lose(error.ConnectionLost()) if broke else wire.peer_ends()

    @rule()
    def client_sends_request(self) -> None:
        self.bench.reactor.advance(IDLE_GRACE_S + 0.01)  # clients of the same burst may have taken all descriptors
        self.flush()
        if 2 * (len(self.good) + 1) + RESERVED_DESCRIPTORS + DESCRIPTORS // IDLE_SHARE_DIVISOR > DESCRIPTORS:
            return
        self.ids += 1
        wire = self.bench.client()
        wire.receive(b"OPEN a%d 7f3a c=browse,d=80000000\r\n" % self.ids)
        self.good.append(wire)
        assert len(self.bench.module.events_of(api.Request)) == self.ids, "a client with a request was turned away"

    @rule(crowd=st.integers(0, 40), sent=st.sampled_from([b"", b"OPEN 1", b"PING\r\n"]))
    def client_sends_request_slowly(self, crowd: int, sent: bytes) -> None:
        # A client that takes 2 s to write its request must not be evicted like one that never completes its line.
        self.bench.reactor.advance(IDLE_GRACE_S + 0.01)
        self.flush()
        if 2 * (len(self.good) + 1) + RESERVED_DESCRIPTORS + DESCRIPTORS // IDLE_SHARE_DIVISOR > DESCRIPTORS:
            return
        self.ids += 1
        line = b"OPEN a%d 7f3a c=browse,d=80000000\r\n" % self.ids
        wire = self.bench.client()
        for at in range(0, len(line), 2):
            wire.receive(line[at : at + 2])
            assert not wire.closing, "a client that was writing its request was evicted"
            self.bad_clients_connect(1 + crowd // 4, sent)
            self.bench.reactor.advance(0.1)
            self.flush()
        self.good.append(wire)
        assert len(self.bench.module.events_of(api.Request)) == self.ids
        type(self).slow += 1

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def time_passes(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.bench.reactor.advance(0.05)
            self.flush()

    def flush(self) -> None:
        for bad in self.bad:
            bad.wire.flush()
        self.bench.reactor.advance(0)

    @invariant()
    def limits_hold(self) -> None:
        assert self.held() <= DESCRIPTORS - RESERVED_DESCRIPTORS + RESERVED_FOR_CLOSING
        assert all(not w.lost and not w.fin_due for w in self.good)
        now = self.bench.reactor.seconds()
        for bad in self.bad:
            pinged = b"PONG" in bad.wire.lines()
            assert now - bad.connected_at <= ANSWER_TIMEOUT_S or bad.answered() or pinged, (
                "a bad client was neither answered nor closed"
            )

    def teardown(self) -> None:
        """Check that nothing is left of closed clients."""
        for _ in range(80):
            self.bench.reactor.advance(0.05)
            self.flush()
        assert all(bad.wire.lost for bad in self.bad) and not self.bench.admission.idle_count()
        assert not self.bench.admission.closing and self.bench.pool.in_use == 0
        for wire in self.good:
            wire.lose(error.ConnectionLost())
        assert self.bench.admission.active == 0 and not self.bench.client_context.request_ids.open_here()


def test_bad_clients_never_keep_out_clients_with_requests():
    run_state_machine_as_test(Clients, settings=settings(max_examples=60, stateful_step_count=25))
    assert Clients.slow > 20
    assert Clients.max_held >= (DESCRIPTORS - RESERVED_DESCRIPTORS) // 2, "the run never held many descriptors at once"


def test_two_processes_of_one_relay_stay_within_its_descriptor_limit():
    old, new = Bench(), Bench()
    for each in (old, new):
        each.admission.limit = 2 * DESCRIPTORS
    for number in range(20):
        old.client().receive(b"OPEN a%d 7f3a c=browse,d=80000000\r\n" % number)
    idle = [old.client() for _ in range(9)]
    # The old process accepts no client from here on. The new one gets what is left if all idle clients send requests.
    spare = old.admission.spare()
    new.admission.lent = new.admission.limit - spare
    for number, each in enumerate(idle):
        each.receive(b"OPEN b%d 7f3a c=browse,d=80000000\r\n" % number)
    connected = [wire for _ in range(3 * DESCRIPTORS) if (wire := new.connect())]
    new.reactor.advance(0)  # evicted clients are closed
    held = (
        RESERVED_DESCRIPTORS
        + 2 * old.admission.active
        + RESERVED_DESCRIPTORS
        + sum(not wire.lost for wire in connected)
    )
    assert old.admission.active == 29 and connected and held <= 2 * DESCRIPTORS
    assert old.admission.spare() == spare, "idle clients were not counted as if they had requests"
