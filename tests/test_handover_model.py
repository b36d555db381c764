"""A model of two processes of one relay: what the old one holds is what the new one's module was told."""

from __future__ import annotations

import os
import socket
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from netfakes import Bench
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from scaledeal import interface as api
from scaledeal.net.config import Address
from scaledeal.net.handover import TELL, TRIES, Claim, Offer, Place, Predecessor, Successor
from scaledeal.net.inherited import Inherited, Standing

NOWHERE = Place(Path("/nowhere"), Address("127.0.0.1", 0))


class Pipe:
    """The transport of the old side: what is written comes to the other at once."""

    def __init__(self, old: Successor, new: Predecessor) -> None:
        self.old, self.new = old, new
        self.lost = self.disconnecting = False

    def sendFileDescriptor(self, descriptor: int) -> None:
        self.new.fileDescriptorReceived(os.dup(descriptor))

    def write(self, data: bytes) -> None:
        self.new.dataReceived(data)

    def writeSequence(self, parts: list[bytes]) -> None:
        self.write(b"".join(parts))

    def loseConnection(self) -> None:
        if not self.lost:
            self.lost = True
            for each in (self.old, self.new):
                each.connectionLost(Failure(ConnectionDone()))

    def abortConnection(self) -> None:
        self.loseConnection()


class Versions(RuleBasedStateMachine):
    """Connections come, change and go at the old process; new ones come, and either may die."""

    def __init__(self) -> None:
        super().__init__()
        self.bench, self.new = Bench(), Bench()
        self.inherited = Inherited(self.new.driver)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.here: dict[str, Standing] = {}
        self.free = 100
        self.successions: list[tuple[bool, bool]] = []
        self.came: list[int | None] = []
        self.may: list[int | None] = []
        self.offer = Offer(self.bench.reactor, NOWHERE, self)  # type: ignore[arg-type]
        self.pipe: Pipe | None = None

    # The old relay, and the new one

    def listening(self) -> int:
        return self.sock.fileno()

    def spare(self) -> int:
        return self.free

    def standing(self) -> dict[str, Standing]:
        return dict(self.here)

    def succeeded(self, there: bool, serving: bool) -> None:
        self.successions.append((there, serving))

    def come(self, descriptor: int | None) -> None:
        self.came.append(descriptor)
        if descriptor is not None:
            os.close(descriptor)

    def may_hold(self, count: int | None) -> None:
        self.may.append(count)
        if count is None:
            self.inherited.all_left()

    def inherit(self, told: Standing) -> None:
        self.inherited.stands(told)

    def inherited_left(self, handle: str) -> None:
        self.inherited.left(handle)

    @rule(number=st.integers(0, 30), load=st.sampled_from([0.0, 5.0, 7.5]), cls=st.sampled_from([0, 0, 0, 9]))
    def stands_or_changes(self, number: int, load: float, cls: int) -> None:
        before = self.here.get(f"t{number}")
        cls = before.request_class if before else cls
        self.here[f"t{number}"] = Standing(f"t{number}", cls, "a", "k", "g", 0, load)

    @rule(number=st.integers(0, 30))
    def goes(self, number: int) -> None:
        self.here.pop(f"t{number}", None)

    @rule(free=st.integers(0, 200))
    def descriptors_change(self, free: int) -> None:
        self.free = free

    @rule()
    def new_version_comes(self) -> None:
        old = self.offer.buildProtocol(None)
        claim = Claim(self.new.reactor, NOWHERE, self)  # type: ignore[arg-type]
        new = Predecessor(claim)
        pipe = Pipe(old, new)
        old.transport = new.transport = pipe  # type: ignore[assignment]
        old.connectionMade()
        # Guards against two successors that both think the queue is theirs.
        assert pipe.lost == (self.pipe is not None)
        if self.pipe is None:
            self.pipe = pipe
            assert claim.holder is new and self.came[-1] is not None
        else:
            assert claim.holder is None and self.came[-1] is None

    @rule()
    def new_version_serves(self) -> None:
        if self.pipe is not None:
            self.pipe.old.dataReceived(b'{"type":"serving"}\r\n')
            assert self.successions[-1] == (True, True)

    @rule(junk=st.sampled_from([b"x\r\n", b"{}\r\n", b'{"serving":1}\r\n', b"x" * 20000]), old=st.booleans())
    def one_says_junk_or_dies(self, junk: bytes, old: bool) -> None:
        if self.pipe is None:
            return
        pipe, self.pipe = self.pipe, None
        (pipe.new if old else pipe.old).dataReceived(junk)
        pipe.loseConnection()
        assert self.successions[-1] == (False, False) and self.may[-1] is None
        assert self.inherited.held == {}, "something is left of a process that is gone"

    @rule()
    def time_passes(self) -> None:
        self.bench.reactor.advance(TELL)

    @invariant()
    def the_module_knows_what_stands(self) -> None:
        if self.pipe is not None:
            self.bench.reactor.advance(TELL)
            # Guards against a class that only one version knows: each event of it would fail.
            known = {handle: each for handle, each in self.here.items() if each.request_class == 0}
            assert self.inherited.held == known and self.may[-1] == self.free
        opened = [e.request for e in self.new.module.events_of(api.OpenConnection)]
        ended = [e.request for e in self.new.module.events_of(api.Outcome)]
        assert len(opened) - len(ended) == len(self.inherited.held)
        gone = [e.request for e in self.new.module.events_of(api.ClientGone)]
        assert gone == ended, "a server would count as one that sends its clients away"

    def teardown(self) -> None:
        """No descriptor is left."""
        if self.pipe is not None:
            self.pipe.loseConnection()
        self.sock.close()
        assert not self.new.driver.transactions and not self.bench.reactor.getDelayedCalls()[1:]


def test_the_new_process_knows_what_stands_at_the_old_one():
    run_state_machine_as_test(Versions, settings=settings(max_examples=60, stateful_step_count=25))


def test_only_live_looking_offers_of_our_own_are_tried(tmp_path):
    place = Place(tmp_path, Address("127.0.0.1", 9000))
    assert place.offers() == [] and Place(tmp_path / "none", place.listen).offers() == []
    made = []
    for number in range(TRIES + 2):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(str(tmp_path / f"{place.prefix}{number:016x}"))
            made.append(str(tmp_path / f"{place.prefix}{number:016x}"))
    (tmp_path / f"{place.prefix}f").write_text("")
    (tmp_path / f"{place.prefix}g").symlink_to(made[0])
    assert place.offers() == made[::-1][:TRIES]
    assert Place(tmp_path, Address("127.0.0.1", 9001)).offers() == []
