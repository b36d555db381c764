"""Maps one datagram to verdicts: where it is forwarded, or why it is dropped. No I/O and no clock of its own.

Theory of operation, for a datagram from a client; the first row that applies decides:

    source and id known                      forwarded to that path's server
    id known, source new                     forwarded to its flow's server on a new path
    id decodes to a gone server              stateless reset
    id decodes, source has a flow there      the id is added to that flow
    id decodes to a listed server            the flow is adopted: it was established before this relay knew it
    id can't be decoded, source known        forwarded to the latest flow of that source
    version unknown                          Version Negotiation
    Initial of 1,200 bytes that decrypts     a flow is created; above the limit on set-ups, Retry
    anything else                            dropped, and counted
"""

from __future__ import annotations

import secrets
from collections import deque
from contextlib import suppress

from scaledeal.quic.core.first_flight import FirstFlight
from scaledeal.quic.core.table import AMPLIFICATION_LIMIT, NS_PER_SECOND, Flow, FlowState, FlowTable, Path
from scaledeal.quic.core.verdicts import (
    Adopt,
    ClosePath,
    Drop,
    Established,
    FlowClosed,
    RequestServer,
    ServerClosed,
    ToClient,
    ToServer,
    Verdict,
)
from scaledeal.quic.ids import tokens
from scaledeal.quic.ids.lb import Codec
from scaledeal.quic.ids.servers import ServerIds
from scaledeal.quic.ids.tokens import RetryToken, Source
from scaledeal.quic.wire import frames, packet, protection
from scaledeal.quic.wire.buffer import MalformedError
from scaledeal.quic.wire.packet import LONG_HEADER_BIT, MIN_INITIAL_DATAGRAM_BYTES, Packet, PacketType

CLIENT_HELLO_TIMEOUT_NS = 5 * NS_PER_SECOND  # for the complete ClientHello
REJECTED_FLOW_RETENTION_NS = 3 * NS_PER_SECOND  # repeated Initials of a rejected flow get its final answer until then
MAX_REPEATED_ANSWERS = 16  # per rejected flow
MAX_EARLY_SERVER_DATAGRAMS = 8  # buffered per attempt until the server's answer arrives
MIN_INITIAL_DCID_BYTES = 8  # a client's first destination id (RFC 9000 section 7.2)
MAX_BUFFERED_ZERO_RTT_DATAGRAMS = 32  # 0-RTT datagrams kept for a flow whose Initial has not arrived, over all flows
MIN_SHORT_HEADER_BYTES = 21  # a shorter packet has no header protection sample
MAX_REMEMBERED_GONE_SERVERS = 4096  # their flows are answered with a stateless reset


class Router:
    """Routes datagrams by the flow table and the server ids in connection ids."""

    def __init__(
        self, table: FlowTable, codecs: dict[int, Codec], reset_key: bytes, retry_key: bytes, retry_above: int
    ) -> None:
        self.table = table
        self.server_ids = ServerIds(codecs)
        self.reset_key, self.retry_key = reset_key, retry_key
        self.retry_above = retry_above
        self.id_lengths = self._id_lengths()
        self.gone_servers: dict[str, None] = {}
        self.buffered_zero_rtt: deque[tuple[Source, bytes, bytes]] = deque(maxlen=MAX_BUFFERED_ZERO_RTT_DATAGRAMS)
        self.foreign_ids = 0  # ids seen from servers that decode to another server, or to none
        self.predecessor_setups: frozenset[tuple[Source, bytes]] = frozenset()  # answered by the predecessor process

    def set_keys(self, codecs: dict[int, Codec], reset_key: bytes, retry_key: bytes) -> frozenset[tuple[str, str]]:
        """Replace the keys; return the pairs of servers whose ids now collide. Established flows are kept."""
        self.reset_key, self.retry_key = reset_key, retry_key
        collisions = self.server_ids.set_codecs(codecs)
        self.id_lengths = self._id_lengths()
        return collisions

    def _id_lengths(self) -> tuple[int, ...]:
        return tuple(self.server_ids.id_length(bits << 5) for bits in range(8))

    def set_servers(self, names: set[str], gone: set[str]) -> frozenset[tuple[str, str]]:
        """Set the listed servers and add gone ones; return the pairs of servers whose ids now collide."""
        for name in gone:
            self.gone_servers[name] = None
        for name in names:
            self.gone_servers.pop(name, None)
        while len(self.gone_servers) > MAX_REMEMBERED_GONE_SERVERS:
            del self.gone_servers[next(iter(self.gone_servers))]
        return self.server_ids.set_names(names | self.gone_servers.keys())

    # From clients

    def established_path(self, source: Source, datagram: bytes) -> Path | None:
        """Return the validated path of a short-header datagram, the common case; None if ``from_client`` must decide.

        The datagram must not be empty.
        """
        first_byte = datagram[0]
        if first_byte & LONG_HEADER_BIT or len(datagram) < MIN_SHORT_HEADER_BYTES:
            return None
        path = self.table.routes.get((source, datagram[1 : 1 + self.id_lengths[datagram[1] >> 5]]))
        return path if path is not None and path.validated else None

    def from_client(self, now: int, unix_now: int, source: Source, datagram: bytes) -> list[Verdict]:
        """Return the verdicts on a datagram from a client."""
        if len(datagram) < MIN_SHORT_HEADER_BYTES:
            return [Drop("too short")]
        try:
            if datagram[0] & LONG_HEADER_BIT:
                return self._handle_long_header(now, unix_now, source, datagram)
            return self._handle_short_header(now, source, datagram)
        except MalformedError as error:
            return [Drop(f"malformed: {error}")]

    def _handle_short_header(self, now: int, source: Source, datagram: bytes) -> list[Verdict]:
        length = self.id_lengths[datagram[1] >> 5]
        cid = datagram[1 : 1 + length] if length else b""
        return self._route_by_id(now, source, cid, datagram) or [Drop("id of no flow")]

    def _route_by_id(self, now: int, source: Source, cid: bytes, datagram: bytes) -> list[Verdict]:
        """Route a datagram by its connection id; return an empty list if no flow is found and none can be adopted."""
        flow = self.table.by_id.get(cid) if cid else None
        if flow is None and cid and (server := self.server_ids.server_name(cid)):
            if server in self.gone_servers:
                return self._stateless_reset(source, cid, datagram)
            flow = self.table.by_source_and_server.get((source, server))
            if flow is None:
                return self._adopt(now, source, server, cid, datagram)
            self.table.add_id(flow, cid)
        elif flow is None:
            # An id that can't be decoded is routed by the client's address, as documented, until that changes.
            flow = self.table.by_source.get(source)
        if flow is None or flow.state is not FlowState.ESTABLISHED:
            return []
        if flow.server in self.gone_servers:
            return self._stateless_reset(source, cid, datagram) + self.close_flow(flow, now, True)
        return self._forward_to_server(now, flow, source, cid, datagram)

    def _stateless_reset(self, source: Source, cid: bytes, datagram: bytes) -> list[Verdict]:
        reset = tokens.stateless_reset(self.reset_key, cid, len(datagram)) if cid else b""
        return [ToClient(source, reset)] if reset else [Drop("server gone")]

    def _forward_to_server(self, now: int, flow: Flow, source: Source, cid: bytes, datagram: bytes) -> list[Verdict]:
        """Forward a datagram on the flow's path from this source, creating the path if needed."""
        if source not in flow.paths and not self.table.has_room_for_path(flow):
            return [Drop("no path left")]
        path, evicted = self.table.get_or_create_path(flow, source, now)
        if cid and path.cid != cid:
            self.table.add_route(path, cid)
        path.last_seen = now
        if not path.validated:
            path.received_bytes += len(datagram)
            # Only an id that the server issued, used after the server has responded, validates a path; the first id
            # is the client's own choice and proves nothing.
            if path.server_responded and cid:
                self.table.mark_validated(path)
        return [*self._close_paths(evicted, now), ToServer(path, (datagram,))]

    def _close_paths(self, paths: list[Path], now: int) -> list[Verdict]:
        """Close evicted paths, and adopted flows that are left without any path."""
        verdicts: list[Verdict] = [ClosePath(path) for path in paths]
        for path in paths:
            if not path.flow.paths and path.flow.adopted:
                verdicts += self.close_flow(path.flow, now, False)
        return verdicts

    def _adopt(self, now: int, source: Source, server: str, cid: bytes, datagram: bytes) -> list[Verdict]:
        evicted: list[Verdict] = []
        if self.table.is_full() or self.table.path_count >= self.table.max_paths:
            oldest = next((path for path in self.table.unvalidated if path.flow.adopted), None)
            if oldest is None:
                return [Drop("table full")]
            evicted = self.close_flow(oldest.flow, now, False)
        flow = self.table.adopt_flow(source, server, now)
        self.table.add_id(flow, cid)
        return [*evicted, Adopt(flow), *self._forward_to_server(now, flow, source, cid, datagram)]

    # Long headers

    def _handle_long_header(self, now: int, unix_now: int, source: Source, datagram: bytes) -> list[Verdict]:
        version, dcid, scid, _ = packet.parse_invariants(datagram)
        if version not in packet.VERSIONS:
            if version == 0 or len(datagram) < MIN_INITIAL_DATAGRAM_BYTES:
                return [Drop("version not known")]
            return [ToClient(source, packet.encode_version_negotiation(dcid, scid))]
        flow = self.table.by_initial_dcid.get((source, dcid))
        if flow is not None:
            return self._handle_initial_dcid(now, flow, source, datagram)
        first_packet = packet.parse_long_packet(datagram)
        if (source, dcid) in self.predecessor_setups:
            return [Drop("another process answers")]
        known_flow = self.table.by_id.get(dcid)
        if known_flow is not None and known_flow.state is FlowState.ESTABLISHED:
            return self._forward_handshake(now, known_flow, source, dcid, datagram)
        if first_packet.packet_type is PacketType.ZERO_RTT:
            self.buffered_zero_rtt.append((source, dcid, datagram))
            return [Drop("before its Initial")]
        if first_packet.packet_type is PacketType.INITIAL:
            verdicts = self._begin_flow(now, unix_now, source, first_packet, datagram)
            if verdicts is not None:
                return verdicts
        return self._route_by_id(now, source, dcid, datagram) or [Drop("id of no flow")]

    def _forward_handshake(self, now: int, flow: Flow, source: Source, dcid: bytes, datagram: bytes) -> list[Verdict]:
        """Forward a handshake datagram; whoever uses the server's id has received it (RFC 9000 section 8.1)."""
        path = flow.paths.get(source)
        if path is not None and path.server_responded and not path.validated:
            self.table.mark_validated(path)
        return self._forward_to_server(now, flow, source, dcid, datagram)

    def _begin_flow(
        self, now: int, unix_now: int, source: Source, first_packet: Packet, datagram: bytes
    ) -> list[Verdict] | None:
        """Create a flow from an Initial; return None if it can't be decrypted or parsed as a client's first one."""
        if len(datagram) < MIN_INITIAL_DATAGRAM_BYTES:
            return [Drop("Initial too small")]
        if len(first_packet.dcid) < MIN_INITIAL_DCID_BYTES:
            return [Drop("Initial with a short id")]
        first_flight = FirstFlight(first_packet.version, first_packet.dcid)
        try:
            complete = first_flight.add(datagram, first_packet)
        except MalformedError:
            return None
        token = tokens.unseal(self.retry_key, first_packet.token, source, unix_now) if first_packet.token else None
        address_validated = token is not None and token.retry_scid == first_packet.dcid
        if not address_validated and self.table.pending_setups >= self.retry_above:
            return [ToClient(source, self._build_retry(unix_now, source, first_packet))]
        # Each pending set-up will need a path.
        if self.table.is_full() or self.table.path_count + self.table.pending_setups >= self.table.max_paths:
            return [ToClient(source, _encode_close(first_flight, frames.CONNECTION_REFUSED, b"full"))]
        flow = self.table.create_flow(source, first_packet.dcid, now)
        flow.first_flight, flow.version, flow.scid, flow.address_validated = (
            first_flight,
            first_packet.version,
            first_packet.scid,
            address_validated,
        )
        self.table.schedule(flow, now + CLIENT_HELLO_TIMEOUT_NS)
        self._add_buffered_zero_rtt(flow)
        if complete or first_flight.hello is not None:
            self.table.set_state(flow, FlowState.REQUESTED, now)
            return [RequestServer(flow)]
        return []

    def _build_retry(self, unix_now: int, source: Source, first_packet: Packet) -> bytes:
        """Return a Retry packet, so that no state is kept before the client has proven its address."""
        scid = secrets.token_bytes(MIN_INITIAL_DCID_BYTES)
        token = RetryToken(unix_now + tokens.RETRY_TOKEN_LIFETIME_NS, first_packet.dcid, scid, source)
        body = packet.encode_untagged_retry(
            first_packet.version, first_packet.scid, scid, tokens.seal(self.retry_key, token)
        )
        return body + protection.retry_integrity_tag(first_packet.version, first_packet.dcid, body)

    def _add_buffered_zero_rtt(self, flow: Flow) -> None:
        """Add the 0-RTT datagrams that arrived before the flow's Initial."""
        matching = [entry for entry in self.buffered_zero_rtt if entry[:2] == (flow.source, flow.dcid)]
        for entry in matching:
            self.buffered_zero_rtt.remove(entry)
            if flow.first_flight is not None:
                # A malformed datagram that was buffered must not stop the flow, whose own Initial is sound.
                with suppress(MalformedError):
                    flow.first_flight.add(entry[2])

    def _handle_initial_dcid(self, now: int, flow: Flow, source: Source, datagram: bytes) -> list[Verdict]:
        """Handle another datagram that uses the client's first destination id."""
        if flow.state is FlowState.REJECTED:
            flow.repeat_count += 1
            may_repeat = len(datagram) >= MIN_INITIAL_DATAGRAM_BYTES and flow.repeat_count <= MAX_REPEATED_ANSWERS
            return [ToClient(source, flow.final_answer)] if may_repeat else [Drop("answered")]
        if flow.state is FlowState.ESTABLISHED:
            return self._forward_to_server(now, flow, source, b"", datagram)
        assert flow.first_flight is not None
        complete = flow.first_flight.add(datagram)
        if flow.state is FlowState.AWAITING_HELLO and complete:
            self.table.set_state(flow, FlowState.REQUESTED, now)
            return [RequestServer(flow)]
        path = flow.attempt_path
        if path is None or flow.sending_stopped:
            return []
        path.received_bytes += len(datagram)
        return [ToServer(path, (datagram,))]

    # The agent's side

    def begin_attempt(self, flow: Flow, server: str, now: int) -> list[Verdict]:
        """Start an attempt at a server by sending it the client's first flight.

        Without room for another path no attempt is started, and ``flow.attempt_path`` stays None.
        """
        assert flow.first_flight is not None and flow.state is FlowState.REQUESTED and flow.attempt_path is None
        if not self.table.has_room_for_path(flow):
            return [Drop("no path left")]
        self.table.set_server(flow, server)
        path, evicted = self.table.get_or_create_path(flow, flow.source, now)
        self.table.pin_path(path)
        flow.attempt_path, flow.sending_stopped, flow.early_server_datagrams = path, False, []
        path.received_bytes = sum(map(len, flow.first_flight.datagrams))
        if flow.address_validated:
            self.table.mark_validated(path)
        return [*self._close_paths(evicted, now), ToServer(path, tuple(flow.first_flight.datagrams))]

    def end_attempt(self, flow: Flow, code: int = frames.NO_ERROR) -> list[Verdict]:
        """End the attempt in progress: send its server a CONNECTION_CLOSE and remove its path."""
        path, first_flight = flow.attempt_path, flow.first_flight
        if path is None or first_flight is None:
            return []
        flow.attempt_path, flow.early_server_datagrams = None, []
        self.table.remove_path(path)
        first_flight.largest_packet_number += 1
        close_datagram = protection.encode_initial(
            first_flight.keys.client,
            first_flight.version,
            first_flight.dcid,
            first_flight.scid,
            first_flight.largest_packet_number,
            frames.encode_connection_close(code).ljust(MIN_INITIAL_DATAGRAM_BYTES, b"\0"),
        )
        return [ToServer(path, (close_datagram,)), ClosePath(path)]

    def reject(self, flow: Flow, code: int, reason: bytes, now: int) -> list[Verdict]:
        """Reject a flow with a CONNECTION_CLOSE as its final answer, and keep the answer for repeated Initials.

        Does nothing once the flow has its final answer.
        """
        if flow.first_flight is None or flow.state not in (FlowState.AWAITING_HELLO, FlowState.REQUESTED):
            return []
        flow.final_answer = _encode_close(flow.first_flight, code, reason)
        flow.first_flight = None
        self.table.set_state(flow, FlowState.REJECTED, now)
        self.table.schedule(flow, now + REJECTED_FLOW_RETENTION_NS)
        return [ToClient(flow.source, flow.final_answer)]

    def reset_client(self, flow: Flow, now: int, lost: bool) -> list[Verdict]:
        """End an established flow with a stateless reset, so that its client reconnects at once."""
        paths = [path for path in flow.paths.values() if path.cid]
        if not paths:
            return self.close_flow(flow, now, lost)
        path = max(paths, key=lambda candidate: (candidate.validated, candidate.last_seen))
        reset = tokens.stateless_reset(self.reset_key, path.cid, tokens.MAX_RESET_BYTES + 1)
        return [ToClient(path.source, reset), *self.close_flow(flow, now, lost)]

    def close_flow(self, flow: Flow, now: int, lost: bool) -> list[Verdict]:
        """Remove a flow; ``lost`` says that its server is gone, not its client."""
        if flow.state is FlowState.CLOSED:
            return []
        return [*(ClosePath(path) for path in self.table.remove_flow(flow, now)), FlowClosed(flow, lost)]

    # From servers

    def from_server(self, now: int, path: Path, datagram: bytes) -> list[Verdict]:
        """Return the verdicts on a datagram from a path's server."""
        flow = path.flow
        if not datagram or flow.paths.get(path.source) is not path:
            return [Drop("late")]
        try:
            if flow.state is FlowState.REQUESTED and flow.attempt_path is path:
                return self._handle_attempt_datagram(now, flow, path, datagram)
            if flow.state is not FlowState.ESTABLISHED:
                return [Drop("late")]
            return self._forward_to_client(path, datagram)
        except MalformedError as error:
            return [Drop(f"server malformed: {error}")]

    def _forward_to_client(self, path: Path, datagram: bytes) -> list[Verdict]:
        if datagram[0] & LONG_HEADER_BIT:
            self._learn_server_id(path, datagram)
        path.server_responded = True
        if not path.validated:
            # The client's address is not validated yet: without this limit, datagrams with a spoofed source address
            # would make the server flood a third party.
            if path.sent_bytes + len(datagram) > AMPLIFICATION_LIMIT * path.received_bytes:
                return [Drop("amplification")]
            path.sent_bytes += len(datagram)
        return [ToClient(path.source, datagram)]

    def _learn_server_id(self, path: Path, datagram: bytes) -> None:
        """Record the source id that a server uses, and route it to this path."""
        _, _, scid, _ = packet.parse_invariants(datagram)
        flow = path.flow
        if scid and self.table.by_id.get(scid) is not flow:
            self.foreign_ids += self.server_ids.server_name(scid) != flow.server
            self.table.add_id(flow, scid)
            self.table.add_route(path, scid)

    def _handle_attempt_datagram(self, now: int, flow: Flow, path: Path, datagram: bytes) -> list[Verdict]:
        """Handle a datagram from the server of the attempt in progress, before its answer has been forwarded."""
        assert flow.first_flight is not None
        is_answer = False
        for server_packet in packet.parse_coalesced(datagram):
            if server_packet.packet_type in (PacketType.RETRY, PacketType.VERSION_NEGOTIATION):
                is_answer = True
            elif server_packet.packet_type is PacketType.INITIAL:
                parsed = frames.parse_initial_payload(flow.first_flight.keys.server.open(datagram, server_packet)[1])
                if parsed.close is not None:
                    return [ServerClosed(flow, parsed.close.code == frames.CONNECTION_REFUSED)]
                is_answer |= bool(parsed.crypto)
        if is_answer:
            return self._establish(now, flow, path, datagram)
        # An acknowledgement alone is no answer: forwarding it would bind the client to this server's ids while
        # another server may still be tried.
        if len(flow.early_server_datagrams) < MAX_EARLY_SERVER_DATAGRAMS:
            flow.early_server_datagrams.append(datagram)
        return []

    def _establish(self, now: int, flow: Flow, path: Path, datagram: bytes) -> list[Verdict]:
        flow.early_server_datagrams, early = [], flow.early_server_datagrams
        flow.first_flight, flow.attempt_path = None, None
        self.table.unpin_path(path)
        self.table.set_state(flow, FlowState.ESTABLISHED, now)
        self.table.set_primary_at_source(flow)
        self.table.unschedule(flow)
        verdicts = [verdict for received in (datagram, *early) for verdict in self._forward_to_client(path, received)]
        return [*verdicts, Established(flow)]

    # Timers and server changes

    def tick(self, now: int) -> list[Verdict]:
        """Close the paths and flows whose timeouts have passed."""
        verdicts: list[Verdict] = []
        for entry in self.table.pop_due(now):
            verdicts += self._check_path(entry, now) if isinstance(entry, Path) else self._check_flow(entry, now)
        return verdicts

    def _check_path(self, path: Path, now: int) -> list[Verdict]:
        flow = path.flow
        if flow.paths.get(path.source) is not path:
            return []
        if flow.state is FlowState.REQUESTED or path.last_seen + self.table.idle_timeout_ns > now:
            self.table.schedule(path, max(path.last_seen + self.table.idle_timeout_ns, now + NS_PER_SECOND))
            return []
        self.table.remove_path(path)
        return [ClosePath(path), *(self.close_flow(flow, now, False) if not flow.paths else [])]

    def _check_flow(self, flow: Flow, now: int) -> list[Verdict]:
        if flow.state is FlowState.AWAITING_HELLO or flow.state is FlowState.REJECTED:
            return self.close_flow(flow, now, False)
        return []

    def server_moved(self, server: str) -> list[Verdict]:
        """Close the sockets of a server's paths after its address changed; the next datagram opens them anew."""
        flows = self.table.by_server.get(server, {})
        return [
            ClosePath(path) for flow in flows for path in flow.paths.values() if flow.state is FlowState.ESTABLISHED
        ]

    def stop_sending(self, flow: Flow) -> None:
        """Send nothing more in the attempt in progress: its server accepts no new work."""
        flow.sending_stopped = True


def _encode_close(first_flight: FirstFlight, code: int, reason: bytes) -> bytes:
    """Return a CONNECTION_CLOSE in an Initial that the client accepts as its server's."""
    scid = secrets.token_bytes(MIN_INITIAL_DCID_BYTES)
    return protection.encode_initial(
        first_flight.keys.server,
        first_flight.version,
        first_flight.scid,
        scid,
        0,
        frames.encode_connection_close(code, reason),
    )
