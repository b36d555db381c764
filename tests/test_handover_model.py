"""A model of two processes of one relay: the new one's module knows just the connections that the old one has."""

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
from scaledeal.net.handover import (
    MAX_OFFERS_TRIED,
    UPDATE_INTERVAL_S,
    Claim,
    Offer,
    OfferLocation,
    Predecessor,
    Successor,
)
from scaledeal.net.handover_messages import EstablishedConnection
from scaledeal.net.inherited import InheritedConnections
from scaledeal.net.request_ids import Authority

NO_OFFERS = OfferLocation(Path("/nowhere"), Address("127.0.0.1", 0))


class Pipe:
    """The old process's transport; it delivers what is written to the new process at once."""

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
            for protocol in (self.old, self.new):
                protocol.connectionLost(Failure(ConnectionDone()))

    def abortConnection(self) -> None:
        self.loseConnection()


class Versions(RuleBasedStateMachine):
    """Connections begin, change and end at the old process; new processes connect, and either may die.

    The machine is both relays: the ``OfferingRelay`` of the offer and the ``ClaimingRelay`` of the claims.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bench, self.new = Bench(), Bench()
        self.inherited = InheritedConnections(self.new.driver)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.connections: dict[str, EstablishedConnection] = {}
        self.free = 100
        self.successor_changes: list[tuple[bool, bool]] = []
        self.claimed: list[int | None] = []
        self.left_counts: list[int | None] = []
        self.offer = Offer(self.bench.reactor, NO_OFFERS, self)  # type: ignore[arg-type]
        self.pipe: Pipe | None = None

    # The old relay, and the new one

    def listening_descriptor(self) -> int:
        return self.sock.fileno()

    def spare_descriptors(self) -> int:
        return self.free

    def established_connections(self) -> dict[str, EstablishedConnection]:
        return dict(self.connections)

    def successor_changed(self, connected: bool, serving: bool) -> None:
        self.successor_changes.append((connected, serving))

    def claim_finished(self, descriptor: int | None) -> None:
        self.claimed.append(descriptor)
        if descriptor is not None:
            os.close(descriptor)

    def descriptors_left(self, count: int | None) -> None:
        self.left_counts.append(count)
        if count is None:
            self.inherited.remove_all()

    def authority_changed(self, authority: Authority | None) -> None:
        self.authority = authority

    def connection_reported(self, connection: EstablishedConnection) -> None:
        self.inherited.update(connection)

    def connection_ended(self, handle: str) -> None:
        self.inherited.remove(handle)

    @rule(number=st.integers(0, 30), load=st.sampled_from([0.0, 5.0, 7.5]), cls=st.sampled_from([0, 0, 0, 9]))
    def connection_begins_or_changes(self, number: int, load: float, cls: int) -> None:
        before = self.connections.get(f"t{number}")
        cls = before.request_class if before else cls
        self.connections[f"t{number}"] = EstablishedConnection(f"t{number}", cls, "a", "k", "g", 0, load)

    @rule(number=st.integers(0, 30))
    def connection_ends(self, number: int) -> None:
        self.connections.pop(f"t{number}", None)

    @rule(free=st.integers(0, 200))
    def spare_descriptors_change(self, free: int) -> None:
        self.free = free

    @rule()
    def new_version_connects(self) -> None:
        old = self.offer.buildProtocol(None)
        claim = Claim(self.new.reactor, NO_OFFERS, self)  # type: ignore[arg-type]
        new = Predecessor(claim)
        pipe = Pipe(old, new)
        old.transport = new.transport = pipe  # type: ignore[assignment]
        old.connectionMade()
        # The old process serves one successor: a second one would also accept clients from the queue.
        assert pipe.lost == (self.pipe is not None)
        if self.pipe is None:
            self.pipe = pipe
            assert claim.predecessor is new and self.claimed[-1] is not None
        else:
            assert claim.predecessor is None and self.claimed[-1] is None

    @rule()
    def new_version_serves(self) -> None:
        if self.pipe is not None:
            self.pipe.old.dataReceived(b'{"type":"serving"}\r\n')
            assert self.successor_changes[-1] == (True, True)

    @rule(junk=st.sampled_from([b"x\r\n", b"{}\r\n", b'{"serving":1}\r\n', b"x" * 20000]), old=st.booleans())
    def one_sends_junk_or_dies(self, junk: bytes, old: bool) -> None:
        if self.pipe is None:
            return
        pipe, self.pipe = self.pipe, None
        (pipe.new if old else pipe.old).dataReceived(junk)
        pipe.loseConnection()
        assert self.successor_changes[-1] == (False, False) and self.left_counts[-1] is None
        assert self.inherited.by_handle == {}, "connections of a process that is gone are still known"

    @rule()
    def time_passes(self) -> None:
        self.bench.reactor.advance(UPDATE_INTERVAL_S)

    @invariant()
    def module_knows_the_old_connections(self) -> None:
        if self.pipe is not None:
            self.bench.reactor.advance(UPDATE_INTERVAL_S)
            # A class that only the old version knows is left out, as the module would fail on each event of it.
            known = {handle: each for handle, each in self.connections.items() if each.request_class == 0}
            assert self.inherited.by_handle == known and self.left_counts[-1] == self.free
        opened = [event.request for event in self.new.module.events_of(api.OpenConnection)]
        ended = [event.request for event in self.new.module.events_of(api.Outcome)]
        assert len(opened) - len(ended) == len(self.inherited.by_handle)
        gone = [event.request for event in self.new.module.events_of(api.ClientGone)]
        assert gone == ended, "the server would count as one that sends its clients away"

    def teardown(self) -> None:
        """Check that no transaction and no timer is left."""
        if self.pipe is not None:
            self.pipe.loseConnection()
        self.sock.close()
        assert not self.new.driver.transactions and not self.bench.reactor.getDelayedCalls()[1:]


def test_the_new_process_knows_the_old_ones_connections():
    run_state_machine_as_test(Versions, settings=settings(max_examples=60, stateful_step_count=25))


def test_only_the_newest_sockets_of_the_same_user_are_tried(tmp_path):
    location = OfferLocation(tmp_path, Address("127.0.0.1", 9000))
    assert location.offers() == [] and OfferLocation(tmp_path / "none", location.listen).offers() == []
    made = []
    for number in range(MAX_OFFERS_TRIED + 2):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(str(tmp_path / f"{location.prefix}{number:016x}"))
            made.append(str(tmp_path / f"{location.prefix}{number:016x}"))
    (tmp_path / f"{location.prefix}f").write_text("")
    (tmp_path / f"{location.prefix}g").symlink_to(made[0])
    assert location.offers() == made[::-1][:MAX_OFFERS_TRIED]
    assert OfferLocation(tmp_path, Address("127.0.0.1", 9001)).offers() == []
