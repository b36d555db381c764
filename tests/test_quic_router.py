"""The router without sockets: a model of flows, paths and answers in random steps, and strangers' datagrams."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from test_quic_wire import CLIENT_CRYPTO

from scaledeal.operator import Quic, QuicRule
from scaledeal.quic.core import verdicts as v
from scaledeal.quic.core.router import CLIENT_HELLO_TIMEOUT_NS, MAX_REPEATED_ANSWERS, REJECTED_FLOW_RETENTION_NS, Router
from scaledeal.quic.core.rules import RuleMatcher, name_matches
from scaledeal.quic.core.table import MAX_IDS_PER_FLOW, NS_PER_SECOND, Flow, FlowState, FlowTable, Path
from scaledeal.quic.ids import tokens
from scaledeal.quic.ids.keys import new_ring
from scaledeal.quic.ids.servers import server_id
from scaledeal.quic.wire import frames, packet
from scaledeal.quic.wire.hello import ClientHello
from scaledeal.quic.wire.packet import V1
from scaledeal.quic.wire.protection import InitialKeys, encode_initial

RING = new_ring()
CODEC = RING.codecs()[0]
HELLO = frames.parse_initial_payload(CLIENT_CRYPTO).crypto[0].data
IDLE = 30 * NS_PER_SECOND
NAMES = {"s-0", "s-1", "s-2"}


def router(max_flows: int = 6, max_paths: int = 8, max_paths_per_flow: int = 3, retry_above: int = 100) -> Router:
    made = Router(
        FlowTable(max_flows, max_paths, max_paths_per_flow, IDLE),
        RING.codecs(),
        RING.secret("reset_key"),
        RING.secret("retry_key"),
        retry_above,
    )
    made.set_servers(NAMES, set())
    return made


def first(
    dcid: bytes,
    scid: bytes = b"client",
    number: int = 0,
    part: slice = slice(None),
    token: bytes = b"",
    size: int = 1200,
) -> bytes:
    """Return a client's Initial with a part of its ClientHello."""
    start = part.indices(len(HELLO))[0]
    payload = frames.encode_crypto(start, HELLO[part])
    short = encode_initial(InitialKeys(V1, dcid).client, V1, dcid, scid, number, payload, token)
    return encode_initial(
        InitialKeys(V1, dcid).client,
        V1,
        dcid,
        scid,
        number,
        payload.ljust(len(payload) + size - len(short), b"\0"),
        token,
    )


def from_server(flow: Flow, scid: bytes, payload: bytes) -> bytes:
    return encode_initial(InitialKeys(V1, flow.dcid).server, V1, flow.scid, scid, 0, payload)


def short(cid: bytes, size: int = 60) -> bytes:
    return (b"\x40" + cid).ljust(size, b"\x55")


class Flows(RuleBasedStateMachine):
    """Clients, strangers, servers and the module, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1
        self.router = router()
        self.open: set[Path] = set()
        self.answers: dict[Flow, list[str]] = {}
        self.out: dict[Flow, list[str]] = {}  # servers that hold an attempt which nobody has closed
        self.over: set[Flow] = set()
        self.ids: list[tuple[bytes, str]] = []
        self.count = 0

    @initialize()
    def begin(self) -> None:
        self.ids = [(CODEC.encode(server_id(name, 8), bytes(8)), name) for name in sorted(NAMES)]

    def done(self, verdicts: list[v.Verdict]) -> None:
        """Carry out what the router wants, as the sockets would, and hold it against the rules."""
        for each in verdicts:
            if isinstance(each, v.ToServer):
                self.to_server(each)
            elif isinstance(each, v.ClosePath):
                self.open.discard(each.path)
            elif isinstance(each, v.Established):
                self.answers.setdefault(each.flow, []).append("served")
                self.out.pop(each.flow, None)
            elif isinstance(each, v.FlowClosed):
                assert each.flow not in self.over
                self.over.add(each.flow)
                assert not [path for path in self.open if path.flow is each.flow]

    def to_server(self, each: v.ToServer) -> None:
        flow = each.path.flow
        assert flow.state is not FlowState.CLOSED and flow.server
        self.open.add(each.path)
        if flow.state is FlowState.REQUESTED:
            holders = self.out.setdefault(flow, [])
            if flow.attempt_path is each.path and flow.server not in holders:
                holders.append(flow.server)
            closing = flow.attempt_path is None
            if closing:
                holders.remove(flow.server)
            assert len(holders) <= 1, "two attempts out"

    def flows(self, *states: FlowState) -> list[Flow]:
        return [flow for flow in self.router.table.flows if flow.state in states]

    def pick(self, data: st.DataObject, *states: FlowState) -> Flow | None:
        found = self.flows(*states)
        return data.draw(st.sampled_from(found)) if found else None

    # Clients and strangers

    @rule(host=st.integers(1, 4), whole=st.booleans())
    def client_comes(self, host: int, whole: bool) -> None:
        self.count += 1
        dcid = self.count.to_bytes(8, "big")
        source = (f"127.0.0.{host}", 1000 + self.count % 3)
        part = slice(None) if whole else slice(100, None)
        self.done(self.router.from_client(self.now, 0, source, first(dcid, part=part)))

    @rule(data=st.data())
    def client_goes_on(self, data: st.DataObject) -> None:
        flow = self.pick(data, FlowState.AWAITING_HELLO, FlowState.REQUESTED, FlowState.REJECTED, FlowState.ESTABLISHED)
        if flow is not None and not flow.adopted:
            again = first(flow.dcid, number=data.draw(st.integers(0, 3)))
            self.done(self.router.from_client(self.now, 0, flow.source, again))

    @rule(data=st.data(), host=st.integers(1, 4), port=st.integers(1000, 1003))
    def datagram_with_an_id(self, data: st.DataObject, host: int, port: int) -> None:
        known = list(self.router.table.by_id) + [cid for cid, _ in self.ids]
        cid = data.draw(st.sampled_from(known))
        source = (f"127.0.0.{host}", port)
        if (path := self.router.established_path(source, short(cid))) is not None:
            assert path.flow.state is FlowState.ESTABLISHED and path.source == source
            return
        self.done(self.router.from_client(self.now, 0, source, short(cid)))

    @rule(noise=st.binary(min_size=1, max_size=80))
    def noise(self, noise: bytes) -> None:
        before = len(self.router.table.flows)
        self.done(self.router.from_client(self.now, 0, ("127.0.0.9", 9), noise))
        assert len(self.router.table.flows) == before

    # Servers

    @rule(data=st.data(), word=st.sampled_from(["ack", "hello", "refused", "failed", "noise"]))
    def server_answers(self, data: st.DataObject, word: str) -> None:
        flow = self.pick(data, FlowState.REQUESTED)
        if flow is None or flow.attempt_path is None:
            return
        payload = {
            "ack": b"\2\0\0\0\0",
            "hello": frames.encode_crypto(0, b"\2\0\0\0"),
            "refused": frames.encode_connection_close(2),
            "failed": frames.encode_connection_close(1),
            "noise": b"",
        }[word]
        scid = CODEC.new(server_id(flow.server, 8))
        answer = from_server(flow, scid, payload) if payload else b"\xc0" * 40
        verdicts = self.router.from_server(self.now, flow.attempt_path, answer)
        self.done(verdicts)
        if any(isinstance(each, v.ServerClosed) for each in verdicts):
            self.done(self.router.end_attempt(flow))
        assert (flow.state is FlowState.ESTABLISHED) == (word == "hello")

    @rule(data=st.data())
    def server_speaks(self, data: st.DataObject) -> None:
        if not self.open:
            return
        path = data.draw(st.sampled_from(sorted(self.open, key=lambda each: (each.source, each.flow.state_since))))
        before = path.sent_bytes
        verdicts = self.router.from_server(self.now, path, short(b"any", 400))
        sent = sum(len(each.datagram) for each in verdicts if isinstance(each, v.ToClient))
        assert path.validated or before + sent <= 3 * path.received_bytes
        assert all(each.source == path.source for each in verdicts if isinstance(each, v.ToClient))
        self.done(verdicts)

    # The module

    @rule(data=st.data(), name=st.sampled_from(sorted(NAMES)))
    def module_sends(self, data: st.DataObject, name: str) -> None:
        flow = self.pick(data, FlowState.REQUESTED)
        if flow is not None and flow.attempt_path is None:
            room = self.router.table.has_room_for_path(flow)
            self.done(self.router.begin_attempt(flow, name, self.now))
            assert (flow.attempt_path is not None) == room

    @rule(data=st.data())
    def attempt_ends(self, data: st.DataObject) -> None:
        flow = self.pick(data, FlowState.REQUESTED)
        if flow is not None:
            self.done(self.router.end_attempt(flow))

    @rule(data=st.data())
    def module_answers(self, data: st.DataObject) -> None:
        flow = self.pick(data, FlowState.REQUESTED)
        if flow is not None:
            self.done(self.router.end_attempt(flow))
            told = self.router.reject(flow, frames.CONNECTION_REFUSED, b"busy", self.now)
            assert len(told) == 1
            self.answers.setdefault(flow, []).append("refused")
            self.done(told)
            assert self.router.reject(flow, 1, b"", self.now) == []

    @rule(data=st.data(), name=st.sampled_from(sorted(NAMES)))
    def module_moves(self, data: st.DataObject, name: str) -> None:
        flow = self.pick(data, FlowState.ESTABLISHED)
        if flow is not None:
            self.done(self.router.reset_client(flow, self.now, False))

    @rule(name=st.sampled_from(sorted(NAMES)), back=st.booleans())
    def list_changes(self, name: str, back: bool) -> None:
        self.router.set_servers(NAMES if back else NAMES - {name}, set() if back else {name})
        self.done(self.router.server_moved(name))

    @rule(
        span=st.sampled_from(
            [
                NS_PER_SECOND // 10,
                NS_PER_SECOND,
                CLIENT_HELLO_TIMEOUT_NS + NS_PER_SECOND,
                IDLE + 2 * NS_PER_SECOND,
                10**6 * NS_PER_SECOND,
            ]
        )
    )
    def time_passes(self, span: int) -> None:
        self.now += span
        self.done(self.router.tick(self.now))

    @precondition(lambda self: self.flows(FlowState.REJECTED))
    @rule()
    def answered_flows_are_forgotten(self) -> None:
        self.now += REJECTED_FLOW_RETENTION_NS + 2 * NS_PER_SECOND
        self.done(self.router.tick(self.now))
        assert not self.flows(FlowState.REJECTED)

    # What always holds

    @invariant()
    def one_answer(self) -> None:
        assert all(len(given_) == 1 for given_ in self.answers.values())

    @invariant()
    def bounds(self) -> None:
        table = self.router.table
        assert len(table.flows) <= table.max_flows
        assert table.path_count == sum(len(flow.paths) for flow in table.flows) <= table.max_paths
        assert all(
            len(flow.paths) <= table.max_paths_per_flow and len(flow.ids) <= MAX_IDS_PER_FLOW for flow in table.flows
        )
        out = [flow.attempt_path for flow in table.flows if flow.attempt_path is not None]
        assert all(path.flow.paths.get(path.source) is path for path in out), "an attempt's path gave way"
        assert table.pending_setups == len(self.flows(FlowState.AWAITING_HELLO, FlowState.REQUESTED))
        assert len(self.router.buffered_zero_rtt) <= 32

    @invariant()
    def nothing_leaks(self) -> None:
        table = self.router.table
        assert all(path.flow.paths.get(path.source) is path for path in self.open)
        live = table.flows.keys()
        for index in (table.by_initial_dcid, table.by_id, table.by_source_and_server, table.by_source):
            assert set(index.values()) <= live
        assert all(path.flow.paths.get(path.source) is path for path in table.routes.values())
        assert set(table.unvalidated) <= {path for flow in live for path in flow.paths.values()}
        watched = {what for bucket in table._wheel.values() for what in bucket}
        assert {path for flow in live for path in flow.paths.values()} <= watched


TestFlows = Flows.TestCase
TestFlows.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


def asked(made: Router, dcid: bytes, source: tuple[str, int] = ("127.0.0.1", 1)) -> Flow:
    verdicts = made.from_client(0, 0, source, first(dcid))
    assert isinstance(verdicts[0], v.RequestServer)
    return verdicts[0].flow


def standing(
    made: Router, dcid: bytes = b"firstone", source: tuple[str, int] = ("127.0.0.1", 1), name: str = "s-0"
) -> tuple[Flow, bytes]:
    flow = asked(made, dcid, source)
    made.begin_attempt(flow, name, 0)
    assert flow.attempt_path is not None
    cid = CODEC.new(server_id(name, 8))
    made.from_server(0, flow.attempt_path, from_server(flow, cid, frames.encode_crypto(0, b"x")))
    return flow, cid


def kinds(verdicts: list[Any]) -> list[str]:
    return [type(each).__name__ for each in verdicts]


def test_small_initials_and_probes_cost_nothing() -> None:
    """FlowState for each datagram of a stranger fills the memory; answers larger than questions serve as a weapon."""
    made = router()
    assert kinds(made.from_client(0, 0, ("h", 1), first(b"firstone", size=1199))) == ["Drop"]
    assert kinds(made.from_client(0, 0, ("h", 1), first(b"short", size=1200))) == ["Drop"]
    probe = (b"\xc0\x1a\x1a\x1a\x1a\x08firstone\x04mine").ljust(1200, b"\0")
    told = made.from_client(0, 0, ("h", 1), probe)
    assert isinstance(told[0], v.ToClient) and len(told[0].datagram) < 50
    assert kinds(made.from_client(0, 0, ("h", 1), probe[:1199])) == ["Drop"]
    assert kinds(made.from_client(0, 0, ("h", 1), told[0].datagram.ljust(1200, b"\0"))) == ["Drop"]
    assert not made.table.flows


def test_retry_past_the_bound() -> None:
    """Past the bound a client proves its address first; another's token, or a late one, proves nothing."""
    made = router(retry_above=1)
    asked(made, b"firstone")
    told = made.from_client(0, 5, ("h", 2), first(b"secondon"))
    assert isinstance(told[0], v.ToClient)
    retry = packet.parse_long_packet(told[0].datagram)
    assert retry.packet_type is packet.PacketType.RETRY and len(told[0].datagram) < 1200
    with_token = first(retry.scid, token=retry.token, number=1)
    assert kinds(made.from_client(0, 5, ("h", 3), with_token)) == ["ToClient"]
    assert kinds(made.from_client(0, 5 + 2 * tokens.RETRY_TOKEN_LIFETIME_NS, ("h", 2), with_token)) == ["ToClient"]
    assert made.table.pending_setups == 1
    assert kinds(made.from_client(0, 5, ("h", 2), with_token)) == ["RequestServer"]


def test_zero_rtt_before_its_initial() -> None:
    """Early data that overtakes its Initial reaches the server all the same, behind it."""
    made = router()
    header = b"\xd0" + V1.to_bytes(4, "big") + b"\x08firstone\x06client" + b"\x40\x40"
    early = header + bytes(64)
    assert kinds(made.from_client(0, 0, ("127.0.0.1", 1), early)) == ["Drop"]
    flow = asked(made, b"firstone")
    sent = made.begin_attempt(flow, "s-0", 0)[-1]
    assert isinstance(sent, v.ToServer) and [each[0] & 0x30 for each in sent.datagrams].count(0x10) == 1


def test_a_stray_that_is_no_good_does_not_stop_its_flow() -> None:
    """One bad datagram before the Initial kept a sound ClientHello from being asked for."""
    made = router()
    bad = first(b"firstone")
    header = b"\xd0" + V1.to_bytes(4, "big") + b"\x08firstone\x06client" + b"\x40\x20" + bytes(32)
    made.from_client(0, 0, ("127.0.0.1", 1), header + bad[:-1] + bytes((bad[-1] ^ 1,)))
    assert asked(made, b"firstone").first_flight is not None


def test_an_attempt_without_a_path_left() -> None:
    """Paths of others that stand must not push out an attempt, nor may it take one more than there are."""
    made = router(max_flows=3, max_paths=4)
    waiting = asked(made, b"flow-www", ("127.0.0.7", 7))
    for number in range(2):
        flow, cid = standing(made, b"flow-%03d" % number, ("127.0.0.1", number))
        for port in (number, 10 + number):
            made.from_client(0, 0, ("127.0.0.1", port), short(cid))
            made.from_server(0, flow.paths["127.0.0.1", port], short(b"any", 30))
            made.from_client(0, 0, ("127.0.0.1", port), short(cid))
    assert made.table.path_count == 4 and not made.table.unvalidated
    assert kinds(made.begin_attempt(waiting, "s-0", 0)) == ["Drop"] and waiting.attempt_path is None


def test_repeats_after_the_answer_are_bounded() -> None:
    """An answer that is lost comes again; a flood of repeats does not."""
    made = router()
    flow = asked(made, b"firstone")
    made.reject(flow, 2, b"busy", 0)
    told = [
        kinds(made.from_client(0, 0, ("127.0.0.1", 1), first(b"firstone"))) for _ in range(MAX_REPEATED_ANSWERS + 5)
    ]
    assert told.count(["ToClient"]) == MAX_REPEATED_ANSWERS


def test_a_frozen_attempt_sends_nothing_new() -> None:
    """A repeat that reaches a draining server may be the first that does."""
    made = router()
    flow = asked(made, b"firstone")
    made.begin_attempt(flow, "s-0", 0)
    assert kinds(made.from_client(0, 0, ("127.0.0.1", 1), first(b"firstone"))) == ["ToServer"]
    made.stop_sending(flow)
    assert made.from_client(0, 0, ("127.0.0.1", 1), first(b"firstone")) == []


def test_copies_push_out_each_other() -> None:
    """The client's own path outlives any number of copies from elsewhere."""
    made = router(max_paths_per_flow=3)
    flow, cid = standing(made)
    own = ("127.0.0.1", 1)
    made.from_client(0, 0, own, short(cid))
    assert flow.paths[own].validated
    for number in range(50):
        made.from_client(number, 0, ("127.0.0.8", number + 2), short(cid))
        assert len(flow.paths) <= 3 and own in flow.paths
    assert made.established_path(own, short(cid)) is flow.paths[own]


def test_a_copy_from_another_clients_address_takes_nothing() -> None:
    """Flow A's datagram, copied from client B's address: B's next new id must still be B's flow."""
    made = router()
    a, cid_a = standing(made, b"flow-aaa", ("127.0.0.1", 1), "s-0")
    b, cid_b = standing(made, b"flow-bbb", ("127.0.0.2", 2), "s-0")
    made.from_client(0, 0, ("127.0.0.2", 2), short(cid_a))
    made.from_client(0, 0, ("127.0.0.2", 2), short(CODEC.new(server_id("s-0", 8))))
    assert made.table.by_source_and_server[("127.0.0.2", 2), "s-0"] is b
    assert made.table.by_source["127.0.0.2", 2] is b and len(b.ids) == 2 and len(a.ids) == 1


def test_a_reset_only_where_the_server_is_gone() -> None:
    """A reset for an id that is alive would let anyone who asks end a stranger's flow."""
    made = router()
    cid = CODEC.new(server_id("s-0", 8))
    unknown = CODEC.new(server_id("s-9", 8))
    assert kinds(made.from_client(0, 0, ("h", 1), short(unknown))) == ["Drop"]
    assert "ToClient" not in kinds(made.from_client(0, 0, ("h", 1), short(cid)))
    made.set_servers(NAMES - {"s-0"}, {"s-0"})
    told = made.from_client(0, 0, ("h", 2), short(cid))
    assert isinstance(told[0], v.ToClient) and len(told[0].datagram) < 60
    assert told[0].datagram[-16:] == tokens.reset_token(RING.secret("reset_key"), cid)


def test_ids_that_do_not_route_go_by_address() -> None:
    """A server that makes ids of its own kind is served as long as its client stays where it is."""
    made = router()
    flow = asked(made, b"firstone")
    made.begin_attempt(flow, "s-0", 0)
    assert flow.attempt_path is not None
    made.from_server(0, flow.attempt_path, from_server(flow, b"\xffstrange", frames.encode_crypto(0, b"x")))
    assert made.foreign_ids == 1
    assert kinds(made.from_client(0, 0, ("127.0.0.1", 1), short(b"\xffstrange"))) == ["ToServer"]
    assert kinds(made.from_client(0, 0, ("127.0.0.5", 1), short(b"\xffstrange"))) == ["Drop"]


def test_two_relays_do_not_answer_each_other() -> None:
    """A loop of answers between two relays would go on for ever, at the cost of one datagram."""
    one, other = router(retry_above=0), router()
    probe = (b"\xc0\x1a\x1a\x1a\x1a\x08firstone\x04mine").ljust(1200, b"\0")
    said = [*one.from_client(0, 0, ("h", 1), probe), *one.from_client(0, 0, ("h", 1), first(b"secondon"))]
    flow = asked(other, b"thirdone")
    said += other.reject(flow, 2, b"busy", 0)
    standing_flow, _ = standing(other, b"fourthon")
    said += other.reset_client(standing_flow, 0, False)
    datagrams = [each.datagram for each in said if isinstance(each, v.ToClient)]
    assert len(datagrams) == 4
    for datagram in datagrams:
        for answering in (one, other):
            assert "ToClient" not in kinds(answering.from_client(0, 0, ("relay", 1), datagram))


def test_a_short_header_before_its_initial() -> None:
    """A phone that still uses an id of a connection before must not keep its new one from beginning."""
    made = router()
    old = CODEC.new(server_id("s-1", 8))
    assert kinds(made.from_client(0, 0, ("127.0.0.1", 1), short(old))) == ["Adopt", "ToServer"]
    flow, cid = standing(made, b"firstone", ("127.0.0.1", 1), "s-0")
    for each, server in ((old, "s-1"), (cid, "s-0"), (old, "s-1")):
        told = made.from_client(0, 0, ("127.0.0.1", 1), short(each))
        assert isinstance(told[-1], v.ToServer) and told[-1].path.flow.server == server


@given(st.integers(0, 1199), st.integers(1, 255), st.integers(21, 1200))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_altered_and_cut_datagrams(at: int, change: int, length: int) -> None:
    """Whatever is done to a true datagram, nothing is raised and at most one flow begins."""
    made = router()
    true = first(b"firstone")
    for data in (true[:at] + bytes((true[at] ^ change,)) + true[at + 1 :], true[:length], true[length:] + true):
        made.from_client(0, 0, ("h", 1), data)
    flow, cid = standing(made, b"otherone")
    path = flow.paths["127.0.0.1", 1]
    for data in (true[at:], true[:length], short(cid)[:length]):
        made.from_server(0, path, data)
        made.from_client(0, 0, ("h", 2), data)
    assert len(made.table.flows) <= 3


@pytest.mark.parametrize(
    ("pattern", "name", "yes"),
    [
        ("*.example", "a.example", True),
        ("*.example", "a.b.example", False),
        ("*.example", ".example", False),
        ("*.example", "example", False),
        ("A.example", "a.example", True),
        ("a.example", "b.example", False),
    ],
)
def test_names(pattern: str, name: str, yes: bool) -> None:
    assert name_matches(pattern, name) is yes


def test_wishes() -> None:
    """The first rule that matches; no deadline past its class's; the key and the group from where they are stated."""
    rules = (
        QuicRule(
            name="o",
            class_name="overlay",
            sni=("*.o.example",),
            deadline=9 * NS_PER_SECOND,
            key_from="sni",
            group_from="label",
        ),
        QuicRule(name="p", class_name="overlay", alpn=("p",), key_from="id", group_from="sni"),
        QuicRule(name="q", class_name="none", alpn=("q",)),
        QuicRule(name="r", class_name="browse"),
    )
    matcher = RuleMatcher(
        Quic(listen="h:1", keys="k", rule=rules), {"browse": (0, 3 * NS_PER_SECOND), "overlay": (1, NS_PER_SECOND)}
    )
    one = matcher.match(ClientHello("m1.o.example", ()), ("h", 1), b"\1\2")
    assert one is not None and (one.request_class, one.timeout_ns) == (1, NS_PER_SECOND)
    assert (one.key, one.group) == ("m1.o.example", "m1")
    two = matcher.match(ClientHello("x.example", ("z", "p")), ("h", 1), b"\1\2")
    assert two is not None and (two.rule, two.key, two.group) == ("p", "0102", "x.example")
    three = matcher.match(ClientHello("", ()), ("h", 1), b"\1\2")
    assert three is not None and (three.rule, three.key, three.group) == ("r", "h", "")
    assert matcher.match(ClientHello("", ("q",)), ("h", 1), b"") is None
