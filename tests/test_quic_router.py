"""Tests of the router without sockets: a state machine of random steps, and single cases with hostile datagrams."""

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

KEY_RING = new_ring()
CODEC = KEY_RING.codecs()[0]
CLIENT_HELLO = frames.parse_initial_payload(CLIENT_CRYPTO).crypto[0].data
IDLE_TIMEOUT_NS = 30 * NS_PER_SECOND
SERVER_NAMES = {"s-0", "s-1", "s-2"}


def new_router(max_flows: int = 6, max_paths: int = 8, max_paths_per_flow: int = 3, retry_above: int = 100) -> Router:
    router = Router(
        FlowTable(max_flows, max_paths, max_paths_per_flow, IDLE_TIMEOUT_NS),
        KEY_RING.codecs(),
        KEY_RING.secret("reset_key"),
        KEY_RING.secret("retry_key"),
        retry_above,
    )
    router.set_servers(SERVER_NAMES, set())
    return router


def client_initial(
    dcid: bytes,
    scid: bytes = b"client",
    number: int = 0,
    part: slice = slice(None),
    token: bytes = b"",
    size: int = 1200,
) -> bytes:
    """Return a client's Initial with a part of its ClientHello."""
    start = part.indices(len(CLIENT_HELLO))[0]
    payload = frames.encode_crypto(start, CLIENT_HELLO[part])
    unpadded = encode_initial(InitialKeys(V1, dcid).client, V1, dcid, scid, number, payload, token)
    return encode_initial(
        InitialKeys(V1, dcid).client,
        V1,
        dcid,
        scid,
        number,
        payload.ljust(len(payload) + size - len(unpadded), b"\0"),
        token,
    )


def server_initial(flow: Flow, scid: bytes, payload: bytes) -> bytes:
    return encode_initial(InitialKeys(V1, flow.dcid).server, V1, flow.scid, scid, 0, payload)


def short_header_datagram(cid: bytes, size: int = 60) -> bytes:
    return (b"\x40" + cid).ljust(size, b"\x55")


class FlowModel(RuleBasedStateMachine):
    """Random steps of clients, strangers, servers and the decision module, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1
        self.router = new_router()
        self.open_paths: set[Path] = set()
        self.final_answers: dict[Flow, list[str]] = {}
        self.open_attempts: dict[Flow, list[str]] = {}  # servers with an attempt that has not been closed
        self.closed_flows: set[Flow] = set()
        self.server_cids: list[tuple[bytes, str]] = []
        self.flow_count = 0

    @initialize()
    def encode_server_ids(self) -> None:
        self.server_cids = [(CODEC.encode(server_id(name, 8), bytes(8)), name) for name in sorted(SERVER_NAMES)]

    def carry_out(self, verdicts: list[v.Verdict]) -> None:
        """Carry out verdicts as the sockets would, and check them against the model."""
        for verdict in verdicts:
            if isinstance(verdict, v.ToServer):
                self.record_sent(verdict)
            elif isinstance(verdict, v.ClosePath):
                self.open_paths.discard(verdict.path)
            elif isinstance(verdict, v.Established):
                self.final_answers.setdefault(verdict.flow, []).append("served")
                self.open_attempts.pop(verdict.flow, None)
            elif isinstance(verdict, v.FlowClosed):
                assert verdict.flow not in self.closed_flows
                self.closed_flows.add(verdict.flow)
                assert not [path for path in self.open_paths if path.flow is verdict.flow]

    def record_sent(self, verdict: v.ToServer) -> None:
        flow = verdict.path.flow
        assert flow.state is not FlowState.CLOSED and flow.server
        self.open_paths.add(verdict.path)
        if flow.state is FlowState.REQUESTED:
            attempted_servers = self.open_attempts.setdefault(flow, [])
            if flow.attempt_path is verdict.path and flow.server not in attempted_servers:
                attempted_servers.append(flow.server)
            is_closing = flow.attempt_path is None
            if is_closing:
                attempted_servers.remove(flow.server)
            assert len(attempted_servers) <= 1, "two attempts in progress"

    def flows(self, *states: FlowState) -> list[Flow]:
        return [flow for flow in self.router.table.flows if flow.state in states]

    def draw_flow(self, data: st.DataObject, *states: FlowState) -> Flow | None:
        candidates = self.flows(*states)
        return data.draw(st.sampled_from(candidates)) if candidates else None

    # Clients and strangers

    @rule(host=st.integers(1, 4), complete=st.booleans())
    def client_starts_a_flow(self, host: int, complete: bool) -> None:
        self.flow_count += 1
        dcid = self.flow_count.to_bytes(8, "big")
        source = (f"127.0.0.{host}", 1000 + self.flow_count % 3)
        part = slice(None) if complete else slice(100, None)
        self.carry_out(self.router.from_client(self.now, 0, source, client_initial(dcid, part=part)))

    @rule(data=st.data())
    def client_repeats_its_initial(self, data: st.DataObject) -> None:
        flow = self.draw_flow(
            data, FlowState.AWAITING_HELLO, FlowState.REQUESTED, FlowState.REJECTED, FlowState.ESTABLISHED
        )
        if flow is not None and not flow.adopted:
            repeated = client_initial(flow.dcid, number=data.draw(st.integers(0, 3)))
            self.carry_out(self.router.from_client(self.now, 0, flow.source, repeated))

    @rule(data=st.data(), host=st.integers(1, 4), port=st.integers(1000, 1003))
    def short_header_arrives(self, data: st.DataObject, host: int, port: int) -> None:
        usable_cids = list(self.router.table.by_id) + [cid for cid, _ in self.server_cids]
        cid = data.draw(st.sampled_from(usable_cids))
        source = (f"127.0.0.{host}", port)
        if (path := self.router.established_path(source, short_header_datagram(cid))) is not None:
            assert path.flow.state is FlowState.ESTABLISHED and path.source == source
            return
        self.carry_out(self.router.from_client(self.now, 0, source, short_header_datagram(cid)))

    @rule(noise=st.binary(min_size=1, max_size=80))
    def random_bytes_arrive(self, noise: bytes) -> None:
        flows_before = len(self.router.table.flows)
        self.carry_out(self.router.from_client(self.now, 0, ("127.0.0.9", 9), noise))
        assert len(self.router.table.flows) == flows_before

    # Servers

    @rule(data=st.data(), kind=st.sampled_from(["ack", "hello", "refused", "failed", "noise"]))
    def server_answers_an_attempt(self, data: st.DataObject, kind: str) -> None:
        flow = self.draw_flow(data, FlowState.REQUESTED)
        if flow is None or flow.attempt_path is None:
            return
        payload = {
            "ack": b"\2\0\0\0\0",
            "hello": frames.encode_crypto(0, b"\2\0\0\0"),
            "refused": frames.encode_connection_close(2),
            "failed": frames.encode_connection_close(1),
            "noise": b"",
        }[kind]
        scid = CODEC.new(server_id(flow.server, 8))
        answer = server_initial(flow, scid, payload) if payload else b"\xc0" * 40
        verdicts = self.router.from_server(self.now, flow.attempt_path, answer)
        self.carry_out(verdicts)
        if any(isinstance(verdict, v.ServerClosed) for verdict in verdicts):
            self.carry_out(self.router.end_attempt(flow))
        assert (flow.state is FlowState.ESTABLISHED) == (kind == "hello")

    @rule(data=st.data())
    def server_sends(self, data: st.DataObject) -> None:
        if not self.open_paths:
            return
        path = data.draw(
            st.sampled_from(
                sorted(self.open_paths, key=lambda candidate: (candidate.source, candidate.flow.state_since))
            )
        )
        sent_before = path.sent_bytes
        verdicts = self.router.from_server(self.now, path, short_header_datagram(b"any", 400))
        sent_now = sum(len(verdict.datagram) for verdict in verdicts if isinstance(verdict, v.ToClient))
        assert path.validated or sent_before + sent_now <= 3 * path.received_bytes
        assert all(verdict.source == path.source for verdict in verdicts if isinstance(verdict, v.ToClient))
        self.carry_out(verdicts)

    # The decision module

    @rule(data=st.data(), name=st.sampled_from(sorted(SERVER_NAMES)))
    def module_starts_an_attempt(self, data: st.DataObject, name: str) -> None:
        flow = self.draw_flow(data, FlowState.REQUESTED)
        if flow is not None and flow.attempt_path is None:
            has_room = self.router.table.has_room_for_path(flow)
            self.carry_out(self.router.begin_attempt(flow, name, self.now))
            assert (flow.attempt_path is not None) == has_room

    @rule(data=st.data())
    def module_ends_an_attempt(self, data: st.DataObject) -> None:
        flow = self.draw_flow(data, FlowState.REQUESTED)
        if flow is not None:
            self.carry_out(self.router.end_attempt(flow))

    @rule(data=st.data())
    def module_refuses_a_flow(self, data: st.DataObject) -> None:
        flow = self.draw_flow(data, FlowState.REQUESTED)
        if flow is not None:
            self.carry_out(self.router.end_attempt(flow))
            verdicts = self.router.reject(flow, frames.CONNECTION_REFUSED, b"busy", self.now)
            assert len(verdicts) == 1
            self.final_answers.setdefault(flow, []).append("refused")
            self.carry_out(verdicts)
            assert self.router.reject(flow, 1, b"", self.now) == []

    @rule(data=st.data(), name=st.sampled_from(sorted(SERVER_NAMES)))
    def module_moves_a_flow(self, data: st.DataObject, name: str) -> None:
        flow = self.draw_flow(data, FlowState.ESTABLISHED)
        if flow is not None:
            self.carry_out(self.router.reset_client(flow, self.now, False))

    @rule(name=st.sampled_from(sorted(SERVER_NAMES)), listed_again=st.booleans())
    def server_list_changes(self, name: str, listed_again: bool) -> None:
        self.router.set_servers(
            SERVER_NAMES if listed_again else SERVER_NAMES - {name}, set() if listed_again else {name}
        )
        self.carry_out(self.router.server_moved(name))

    @rule(
        elapsed_ns=st.sampled_from(
            [
                NS_PER_SECOND // 10,
                NS_PER_SECOND,
                CLIENT_HELLO_TIMEOUT_NS + NS_PER_SECOND,
                IDLE_TIMEOUT_NS + 2 * NS_PER_SECOND,
                10**6 * NS_PER_SECOND,
            ]
        )
    )
    def time_passes(self, elapsed_ns: int) -> None:
        self.now += elapsed_ns
        self.carry_out(self.router.tick(self.now))

    @precondition(lambda self: self.flows(FlowState.REJECTED))
    @rule()
    def rejected_flows_are_removed(self) -> None:
        self.now += REJECTED_FLOW_RETENTION_NS + 2 * NS_PER_SECOND
        self.carry_out(self.router.tick(self.now))
        assert not self.flows(FlowState.REJECTED)

    # Invariants

    @invariant()
    def at_most_one_final_answer(self) -> None:
        assert all(len(answers) == 1 for answers in self.final_answers.values())

    @invariant()
    def limits_hold(self) -> None:
        table = self.router.table
        assert len(table.flows) <= table.max_flows
        assert table.path_count == sum(len(flow.paths) for flow in table.flows) <= table.max_paths
        assert all(
            len(flow.paths) <= table.max_paths_per_flow and len(flow.ids) <= MAX_IDS_PER_FLOW for flow in table.flows
        )
        attempt_paths = [flow.attempt_path for flow in table.flows if flow.attempt_path is not None]
        assert all(path.flow.paths.get(path.source) is path for path in attempt_paths), (
            "the path of an attempt was evicted"
        )
        assert table.pending_setups == len(self.flows(FlowState.AWAITING_HELLO, FlowState.REQUESTED))
        assert len(self.router.buffered_zero_rtt) <= 32

    @invariant()
    def indexes_are_consistent(self) -> None:
        table = self.router.table
        assert all(path.flow.paths.get(path.source) is path for path in self.open_paths)
        live_flows = table.flows.keys()
        for index in (table.by_initial_dcid, table.by_id, table.by_source_and_server, table.by_source):
            assert set(index.values()) <= live_flows
        assert all(path.flow.paths.get(path.source) is path for path in table.routes.values())
        assert set(table.unvalidated) <= {path for flow in live_flows for path in flow.paths.values()}
        scheduled = {entry for bucket in table._wheel.values() for entry in bucket}
        assert {path for flow in live_flows for path in flow.paths.values()} <= scheduled


TestFlows = FlowModel.TestCase
TestFlows.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


def requested_flow(router: Router, dcid: bytes, source: tuple[str, int] = ("127.0.0.1", 1)) -> Flow:
    verdicts = router.from_client(0, 0, source, client_initial(dcid))
    assert isinstance(verdicts[0], v.RequestServer)
    return verdicts[0].flow


def established_flow(
    router: Router, dcid: bytes = b"firstone", source: tuple[str, int] = ("127.0.0.1", 1), name: str = "s-0"
) -> tuple[Flow, bytes]:
    flow = requested_flow(router, dcid, source)
    router.begin_attempt(flow, name, 0)
    assert flow.attempt_path is not None
    cid = CODEC.new(server_id(name, 8))
    router.from_server(0, flow.attempt_path, server_initial(flow, cid, frames.encode_crypto(0, b"x")))
    return flow, cid


def verdict_names(verdicts: list[Any]) -> list[str]:
    return [type(verdict).__name__ for verdict in verdicts]


def test_small_initials_and_version_probes_create_no_state() -> None:
    """Unauthenticated datagrams must create no state, which would fill memory, nor larger answers than themselves.

    Answers larger than the datagrams that cause them could be used to flood a third party.
    """
    router = new_router()
    assert verdict_names(router.from_client(0, 0, ("h", 1), client_initial(b"firstone", size=1199))) == ["Drop"]
    assert verdict_names(router.from_client(0, 0, ("h", 1), client_initial(b"short", size=1200))) == ["Drop"]
    probe = (b"\xc0\x1a\x1a\x1a\x1a\x08firstone\x04mine").ljust(1200, b"\0")
    verdicts = router.from_client(0, 0, ("h", 1), probe)
    assert isinstance(verdicts[0], v.ToClient) and len(verdicts[0].datagram) < 50
    assert verdict_names(router.from_client(0, 0, ("h", 1), probe[:1199])) == ["Drop"]
    assert verdict_names(router.from_client(0, 0, ("h", 1), verdicts[0].datagram.ljust(1200, b"\0"))) == ["Drop"]
    assert not router.table.flows


def test_retry_above_the_limit_on_pending_set_ups() -> None:
    """Above the limit a client must validate its address first; a foreign or expired token validates nothing."""
    router = new_router(retry_above=1)
    requested_flow(router, b"firstone")
    verdicts = router.from_client(0, 5, ("h", 2), client_initial(b"secondon"))
    assert isinstance(verdicts[0], v.ToClient)
    retry = packet.parse_long_packet(verdicts[0].datagram)
    assert retry.packet_type is packet.PacketType.RETRY and len(verdicts[0].datagram) < 1200
    with_token = client_initial(retry.scid, token=retry.token, number=1)
    assert verdict_names(router.from_client(0, 5, ("h", 3), with_token)) == ["ToClient"]
    assert verdict_names(router.from_client(0, 5 + 2 * tokens.RETRY_TOKEN_LIFETIME_NS, ("h", 2), with_token)) == [
        "ToClient"
    ]
    assert router.table.pending_setups == 1
    assert verdict_names(router.from_client(0, 5, ("h", 2), with_token)) == ["RequestServer"]


def test_zero_rtt_before_its_initial() -> None:
    """0-RTT data that overtakes its Initial is buffered and sent to the server after it."""
    router = new_router()
    header = b"\xd0" + V1.to_bytes(4, "big") + b"\x08firstone\x06client" + b"\x40\x40"
    early_datagram = header + bytes(64)
    assert verdict_names(router.from_client(0, 0, ("127.0.0.1", 1), early_datagram)) == ["Drop"]
    flow = requested_flow(router, b"firstone")
    sent = router.begin_attempt(flow, "s-0", 0)[-1]
    assert isinstance(sent, v.ToServer) and [datagram[0] & 0x30 for datagram in sent.datagrams].count(0x10) == 1


def test_a_malformed_buffered_datagram_does_not_stop_its_flow() -> None:
    """A malformed datagram buffered before the Initial raises an error when it is added to the flow.

    The error must not keep the router from requesting a server for the complete ClientHello.
    """
    router = new_router()
    bad = client_initial(b"firstone")
    header = b"\xd0" + V1.to_bytes(4, "big") + b"\x08firstone\x06client" + b"\x40\x20" + bytes(32)
    router.from_client(0, 0, ("127.0.0.1", 1), header + bad[:-1] + bytes((bad[-1] ^ 1,)))
    assert requested_flow(router, b"firstone").first_flight is not None


def test_no_attempt_without_room_for_a_path() -> None:
    """With only validated paths of other flows to evict, no attempt starts, so the path limit is not exceeded."""
    router = new_router(max_flows=3, max_paths=4)
    waiting = requested_flow(router, b"flow-www", ("127.0.0.7", 7))
    for number in range(2):
        flow, cid = established_flow(router, b"flow-%03d" % number, ("127.0.0.1", number))
        for port in (number, 10 + number):
            router.from_client(0, 0, ("127.0.0.1", port), short_header_datagram(cid))
            router.from_server(0, flow.paths["127.0.0.1", port], short_header_datagram(b"any", 30))
            router.from_client(0, 0, ("127.0.0.1", port), short_header_datagram(cid))
    assert router.table.path_count == 4 and not router.table.unvalidated
    assert verdict_names(router.begin_attempt(waiting, "s-0", 0)) == ["Drop"] and waiting.attempt_path is None


def test_repeated_final_answers_are_limited() -> None:
    """A lost answer is sent again when its client repeats the Initial, but not without limit for a flood of them."""
    router = new_router()
    flow = requested_flow(router, b"firstone")
    router.reject(flow, 2, b"busy", 0)
    verdicts = [
        verdict_names(router.from_client(0, 0, ("127.0.0.1", 1), client_initial(b"firstone")))
        for _ in range(MAX_REPEATED_ANSWERS + 5)
    ]
    assert verdicts.count(["ToClient"]) == MAX_REPEATED_ANSWERS


def test_a_stopped_attempt_sends_nothing_more() -> None:
    """A repeated Initial may be the first to reach the server, and would then give a draining server new work."""
    router = new_router()
    flow = requested_flow(router, b"firstone")
    router.begin_attempt(flow, "s-0", 0)
    assert verdict_names(router.from_client(0, 0, ("127.0.0.1", 1), client_initial(b"firstone"))) == ["ToServer"]
    router.stop_sending(flow)
    assert router.from_client(0, 0, ("127.0.0.1", 1), client_initial(b"firstone")) == []


def test_paths_of_copies_evict_each_other() -> None:
    """The client's own validated path is kept however many copies arrive from other addresses."""
    router = new_router(max_paths_per_flow=3)
    flow, cid = established_flow(router)
    client_source = ("127.0.0.1", 1)
    router.from_client(0, 0, client_source, short_header_datagram(cid))
    assert flow.paths[client_source].validated
    for number in range(50):
        router.from_client(number, 0, ("127.0.0.8", number + 2), short_header_datagram(cid))
        assert len(flow.paths) <= 3 and client_source in flow.paths
    assert router.established_path(client_source, short_header_datagram(cid)) is flow.paths[client_source]


def test_a_copy_from_another_clients_address_takes_no_entry_over() -> None:
    """A datagram of flow A, copied from client B's address, must not route B's next new id to flow A."""
    router = new_router()
    flow_a, cid_a = established_flow(router, b"flow-aaa", ("127.0.0.1", 1), "s-0")
    flow_b, cid_b = established_flow(router, b"flow-bbb", ("127.0.0.2", 2), "s-0")
    router.from_client(0, 0, ("127.0.0.2", 2), short_header_datagram(cid_a))
    router.from_client(0, 0, ("127.0.0.2", 2), short_header_datagram(CODEC.new(server_id("s-0", 8))))
    assert router.table.by_source_and_server[("127.0.0.2", 2), "s-0"] is flow_b
    assert router.table.by_source["127.0.0.2", 2] is flow_b and len(flow_b.ids) == 2 and len(flow_a.ids) == 1


def test_a_reset_only_for_a_gone_server() -> None:
    """A stateless reset for an id in use would let anyone who sends that id end another client's flow."""
    router = new_router()
    cid = CODEC.new(server_id("s-0", 8))
    unknown = CODEC.new(server_id("s-9", 8))
    assert verdict_names(router.from_client(0, 0, ("h", 1), short_header_datagram(unknown))) == ["Drop"]
    assert "ToClient" not in verdict_names(router.from_client(0, 0, ("h", 1), short_header_datagram(cid)))
    router.set_servers(SERVER_NAMES - {"s-0"}, {"s-0"})
    verdicts = router.from_client(0, 0, ("h", 2), short_header_datagram(cid))
    assert isinstance(verdicts[0], v.ToClient) and len(verdicts[0].datagram) < 60
    assert verdicts[0].datagram[-16:] == tokens.reset_token(KEY_RING.secret("reset_key"), cid)


def test_undecodable_ids_are_routed_by_address() -> None:
    """Flows of a server whose ids do not encode its server id are routed until their client's address changes."""
    router = new_router()
    flow = requested_flow(router, b"firstone")
    router.begin_attempt(flow, "s-0", 0)
    assert flow.attempt_path is not None
    router.from_server(0, flow.attempt_path, server_initial(flow, b"\xffstrange", frames.encode_crypto(0, b"x")))
    assert router.foreign_ids == 1
    assert verdict_names(router.from_client(0, 0, ("127.0.0.1", 1), short_header_datagram(b"\xffstrange"))) == [
        "ToServer"
    ]
    assert verdict_names(router.from_client(0, 0, ("127.0.0.5", 1), short_header_datagram(b"\xffstrange"))) == ["Drop"]


def test_two_relays_do_not_answer_each_other() -> None:
    """If relays answered each other's answers, one spoofed datagram would start an endless loop."""
    first_router, second_router = new_router(retry_above=0), new_router()
    probe = (b"\xc0\x1a\x1a\x1a\x1a\x08firstone\x04mine").ljust(1200, b"\0")
    verdicts = [
        *first_router.from_client(0, 0, ("h", 1), probe),
        *first_router.from_client(0, 0, ("h", 1), client_initial(b"secondon")),
    ]
    flow = requested_flow(second_router, b"thirdone")
    verdicts += second_router.reject(flow, 2, b"busy", 0)
    reset_flow, _ = established_flow(second_router, b"fourthon")
    verdicts += second_router.reset_client(reset_flow, 0, False)
    datagrams = [verdict.datagram for verdict in verdicts if isinstance(verdict, v.ToClient)]
    assert len(datagrams) == 4
    for datagram in datagrams:
        for answering in (first_router, second_router):
            assert "ToClient" not in verdict_names(answering.from_client(0, 0, ("relay", 1), datagram))


def test_an_id_of_an_earlier_connection_before_the_initial() -> None:
    """A client that still uses an id of an earlier connection must be able to begin a new flow."""
    router = new_router()
    earlier_id = CODEC.new(server_id("s-1", 8))
    assert verdict_names(router.from_client(0, 0, ("127.0.0.1", 1), short_header_datagram(earlier_id))) == [
        "Adopt",
        "ToServer",
    ]
    flow, cid = established_flow(router, b"firstone", ("127.0.0.1", 1), "s-0")
    for used_id, server in ((earlier_id, "s-1"), (cid, "s-0"), (earlier_id, "s-1")):
        verdicts = router.from_client(0, 0, ("127.0.0.1", 1), short_header_datagram(used_id))
        assert isinstance(verdicts[-1], v.ToServer) and verdicts[-1].path.flow.server == server


@given(st.integers(0, 1199), st.integers(1, 255), st.integers(21, 1200))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_altered_and_truncated_datagrams(offset: int, change: int, length: int) -> None:
    """Altered, truncated or prefixed datagrams raise nothing, and at most one flow begins with them."""
    router = new_router()
    valid = client_initial(b"firstone")
    for data in (
        valid[:offset] + bytes((valid[offset] ^ change,)) + valid[offset + 1 :],
        valid[:length],
        valid[length:] + valid,
    ):
        router.from_client(0, 0, ("h", 1), data)
    flow, cid = established_flow(router, b"otherone")
    path = flow.paths["127.0.0.1", 1]
    for data in (valid[offset:], valid[:length], short_header_datagram(cid)[:length]):
        router.from_server(0, path, data)
        router.from_client(0, 0, ("h", 2), data)
    assert len(router.table.flows) <= 3


@pytest.mark.parametrize(
    ("pattern", "name", "expected"),
    [
        ("*.example", "a.example", True),
        ("*.example", "a.b.example", False),
        ("*.example", ".example", False),
        ("*.example", "example", False),
        ("A.example", "a.example", True),
        ("a.example", "b.example", False),
    ],
)
def test_server_name_patterns(pattern: str, name: str, expected: bool) -> None:
    assert name_matches(pattern, name) is expected


def test_the_first_matching_rule_applies() -> None:
    """The first matching rule applies, up to its class's deadline, with key and group from the sources it names."""
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
    overlay_match = matcher.match(ClientHello("m1.o.example", ()), ("h", 1), b"\1\2")
    assert overlay_match is not None and (overlay_match.request_class, overlay_match.timeout_ns) == (1, NS_PER_SECOND)
    assert (overlay_match.key, overlay_match.group) == ("m1.o.example", "m1")
    alpn_match = matcher.match(ClientHello("x.example", ("z", "p")), ("h", 1), b"\1\2")
    assert alpn_match is not None and (alpn_match.rule, alpn_match.key, alpn_match.group) == ("p", "0102", "x.example")
    default_match = matcher.match(ClientHello("", ()), ("h", 1), b"\1\2")
    assert default_match is not None and (default_match.rule, default_match.key, default_match.group) == ("r", "h", "")
    assert matcher.match(ClientHello("", ("q",)), ("h", 1), b"") is None
