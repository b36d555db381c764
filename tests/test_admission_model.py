"""A model of the relay's descriptors: many clients, good and bad, against what each of them is owed."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench, Wire
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.admission import IDLE_GRACE_S, IDLE_SHARE_DIVISOR, RESERVED_DESCRIPTORS, RESERVED_FOR_CLOSING

MOST = 100
OWED = 3.0  # seconds from its connecting in which a bad client is answered or closed
BAD = (
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
class Bad:
    wire: Wire
    since: float

    def answered(self) -> bool:
        return self.wire.lost or self.wire.closing or b"ERR" in self.wire.lines()


class Clients(RuleBasedStateMachine):
    """Bad clients come in any number; those who ask must not feel it."""

    seen = slow = 0

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.bench.admission.limit = MOST
        self.bad: list[Bad] = []
        self.good: list[Wire] = []
        self.ids = 0

    def held(self) -> int:
        """Return the descriptors in use: a client with a request has an attempt as well."""
        wires = [w for w in [*(b.wire for b in self.bad), *self.good] if not w.lost]
        return len(wires) + sum(not w.lost for w in self.good)

    @rule(count=st.integers(1, 40), says=st.sampled_from(BAD))
    def bad_clients_come(self, count: int, says: bytes) -> None:
        for _ in range(count):
            if wire := self.bench.knock():
                self.bad.append(Bad(wire, self.bench.reactor.seconds()))
                wire.receive(says)
        type(self).seen = max(self.seen, self.held())

    @rule(which=st.integers(0, 99), byte=st.sampled_from([b"O", b"\r\n", b"PING\r\n"]))
    def one_trickles(self, which: int, byte: bytes) -> None:
        if self.bad:
            self.bad[which % len(self.bad)].wire.receive(byte)

    @rule(broke=st.booleans(), which=st.integers(0, 99))
    def one_leaves(self, broke: bool, which: int) -> None:
        if self.bad:
            wire = self.bad[which % len(self.bad)].wire
            wire.lose(error.ConnectionLost()) if broke else wire.peer_ends()

    @rule()
    def a_client_asks(self) -> None:
        self.bench.reactor.advance(IDLE_GRACE_S + 0.01)  # those who came in one burst with it may have taken all
        self.flush()
        if 2 * (len(self.good) + 1) + RESERVED_DESCRIPTORS + MOST // IDLE_SHARE_DIVISOR > MOST:
            return
        self.ids += 1
        wire = self.bench.client()
        wire.receive(b"OPEN a%d 7f3a c=browse,d=80000000\r\n" % self.ids)
        self.good.append(wire)
        assert len(self.bench.module.of(api.Request)) == self.ids, "a client that asked was turned away"

    @rule(crowd=st.integers(0, 40), says=st.sampled_from([b"", b"OPEN 1", b"PING\r\n"]))
    def a_client_asks_slowly(self, crowd: int, says: bytes) -> None:
        # Guards against one that takes 2 s to write being taken for one of those that never end their line.
        self.bench.reactor.advance(IDLE_GRACE_S + 0.01)
        self.flush()
        if 2 * (len(self.good) + 1) + RESERVED_DESCRIPTORS + MOST // IDLE_SHARE_DIVISOR > MOST:
            return
        self.ids += 1
        line = b"OPEN a%d 7f3a c=browse,d=80000000\r\n" % self.ids
        wire = self.bench.client()
        for at in range(0, len(line), 2):
            wire.receive(line[at : at + 2])
            assert not wire.closing, "a client that writes had to give way"
            self.bad_clients_come(1 + crowd // 4, says)
            self.bench.reactor.advance(0.1)
            self.flush()
        self.good.append(wire)
        assert len(self.bench.module.of(api.Request)) == self.ids
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
    def all_are_within_their_limits(self) -> None:
        assert self.held() <= MOST - RESERVED_DESCRIPTORS + RESERVED_FOR_CLOSING
        assert all(not w.lost and not w.fin_due for w in self.good)
        now = self.bench.reactor.seconds()
        for bad in self.bad:
            pinged = b"PONG" in bad.wire.lines()
            assert now - bad.since <= OWED or bad.answered() or pinged, "a bad client was left without a word"

    def teardown(self) -> None:
        """Nothing is left of those who went."""
        for _ in range(80):
            self.bench.reactor.advance(0.05)
            self.flush()
        assert all(bad.wire.lost for bad in self.bad) and not self.bench.admission.idle_count()
        assert not self.bench.admission.closing and self.bench.pool.in_use == 0
        for wire in self.good:
            wire.lose(error.ConnectionLost())
        assert self.bench.admission.active == 0 and not self.bench.client_context.open_ids


def test_bad_clients_in_any_number_starve_nobody():
    run_state_machine_as_test(Clients, settings=settings(max_examples=60, stateful_step_count=25))
    assert Clients.slow > 20
    assert Clients.seen >= (MOST - RESERVED_DESCRIPTORS) // 2, "there were never many at once"


def test_two_processes_of_one_relay_never_hold_more_than_its_descriptors():
    old, new = Bench(), Bench()
    for each in (old, new):
        each.admission.limit = 2 * MOST
    for number in range(20):
        old.client().receive(b"OPEN a%d 7f3a c=browse,d=80000000\r\n" % number)
    asking = [old.client() for _ in range(9)]
    # The old one takes nobody from here on; the new one gets what is left even if all who are there ask.
    spare = old.admission.spare()
    new.admission.lent = new.admission.limit - spare
    for number, each in enumerate(asking):
        each.receive(b"OPEN b%d 7f3a c=browse,d=80000000\r\n" % number)
    came = [wire for _ in range(3 * MOST) if (wire := new.knock())]
    new.reactor.advance(0)  # those that gave way are closed
    held = RESERVED_DESCRIPTORS + 2 * old.admission.active + RESERVED_DESCRIPTORS + sum(not wire.lost for wire in came)
    assert old.admission.active == 29 and came and held <= 2 * MOST
    assert old.admission.spare() == spare, "an idle client who asks was counted as such"
