"""One datagram in, verdicts out: where it goes, or why it goes nowhere. No I/O and no clock of its own.

Theory of operation, for a datagram of a client's; the first line that holds decides:

    source and id known                      to that path's server
    id known, source new                     a new path of that flow, to its server
    id decodes, its server gone              stateless reset
    id decodes, source has a flow there      that flow has a new id
    id decodes to a server that is listed    adopted: the flow stood before this relay knew it
    id can't be decoded, source known        to the latest flow of that source
    version not known                        Version Negotiation
    Initial of 1,200 bytes that decrypts     a flow begins; past the bound on set-ups, Retry
    anything else                            dropped, without a trace but a count
"""

from __future__ import annotations

import secrets
from collections import deque
from contextlib import suppress

from scaledeal.quic.core.opening import Opening
from scaledeal.quic.core.table import AMPLIFY, SECOND, Flow, FlowTable, Path, State
from scaledeal.quic.core.verdicts import Adopt, Ask, Drop, Over, Served, Shut, ToClient, ToServer, TurnedAway, Verdict
from scaledeal.quic.ids import tokens
from scaledeal.quic.ids.lb import Codec
from scaledeal.quic.ids.servers import ServerIds
from scaledeal.quic.ids.tokens import RetryToken, Source
from scaledeal.quic.wire import frames, packet, protection
from scaledeal.quic.wire.buffer import MalformedError
from scaledeal.quic.wire.packet import LONG_HEADER_BIT, MIN_INITIAL_DATAGRAM_BYTES, Packet, PacketType

OPENING_TIME = 5 * SECOND  # in which a ClientHello must be whole
LINGER = 3 * SECOND  # for which repeats of a flow that got its final answer get it again
MOST_REPEATS = 16  # of them
EARLY = 8  # datagrams of a server's that wait for its answer
LEAST_DCID = 8  # bytes of a client's first destination id (RFC 9000 section 7.2)
STRAYS = 32  # datagrams that came before their flow's Initial and are kept for it
LEAST_SHORT = 21  # bytes of a short-header packet: shorter ones hold no sample
KNOWN_GONE = 4096  # names of gone servers that are remembered


class Router:
    """The table, the ids and the choices between them."""

    def __init__(
        self, table: FlowTable, codecs: dict[int, Codec], reset_key: bytes, retry_key: bytes, retry_above: int
    ) -> None:
        self.table = table
        self.ids = ServerIds(codecs)
        self.reset_key, self.retry_key = reset_key, retry_key
        self.retry_above = retry_above
        self.lengths = self._lengths()
        self.gone: dict[str, None] = {}
        self.strays: deque[tuple[Source, bytes, bytes]] = deque(maxlen=STRAYS)
        self.foreign = 0  # ids seen of servers that say another server, or nothing
        self.spared: frozenset[tuple[Source, bytes]] = frozenset()  # set-ups that another process answers

    def rekey(self, codecs: dict[int, Codec], reset_key: bytes, retry_key: bytes) -> frozenset[tuple[str, str]]:
        """Take another key ring; return server ids that now collide. What stands goes on."""
        self.reset_key, self.retry_key = reset_key, retry_key
        new = self.ids.set_codecs(codecs)
        self.lengths = self._lengths()
        return new

    def _lengths(self) -> tuple[int, ...]:
        return tuple(self.ids.id_length(bits << 5) for bits in range(8))

    def listed(self, names: set[str], gone: set[str]) -> frozenset[tuple[str, str]]:
        """Take the servers that there are, and those that are gone; return server ids that now collide."""
        for name in gone:
            self.gone[name] = None
        for name in names:
            self.gone.pop(name, None)
        while len(self.gone) > KNOWN_GONE:
            del self.gone[next(iter(self.gone))]
        return self.ids.set_names(names | self.gone.keys())

    # From clients

    def known(self, source: Source, datagram: bytes) -> Path | None:
        """Return the path of a short-header datagram that needs no further look: the ordinary way."""
        first = datagram[0]
        if first & LONG_HEADER_BIT or len(datagram) < LEAST_SHORT:
            return None
        path = self.table.routes.get((source, datagram[1 : 1 + self.lengths[datagram[1] >> 5]]))
        return path if path is not None and path.proven else None

    def from_client(self, now: int, unix_now: int, source: Source, datagram: bytes) -> list[Verdict]:
        """Take a client's datagram."""
        if len(datagram) < LEAST_SHORT:
            return [Drop("too short")]
        try:
            if datagram[0] & LONG_HEADER_BIT:
                return self._long(now, unix_now, source, datagram)
            return self._short(now, source, datagram)
        except MalformedError as error:
            return [Drop(f"malformed: {error}")]

    def _short(self, now: int, source: Source, datagram: bytes) -> list[Verdict]:
        length = self.lengths[datagram[1] >> 5]
        cid = datagram[1 : 1 + length] if length else b""
        return self._by_id(now, source, cid, datagram) or [Drop("id of no flow")]

    def _by_id(self, now: int, source: Source, cid: bytes, datagram: bytes) -> list[Verdict]:
        """Find the flow of an id; empty where there is none and none can be made up."""
        flow = self.table.by_id.get(cid) if cid else None
        if flow is None and cid and (server := self.ids.server_name(cid)):
            if server in self.gone:
                return self._reset(source, cid, datagram)
            flow = self.table.by_peer.get((source, server))
            if flow is None:
                return self._adopt(now, source, server, cid, datagram)
            self.table.learn(flow, cid)
        elif flow is None:
            # The stated way of an id that can't be routed: by the client's address, as long as that stays.
            flow = self.table.by_source.get(source)
        if flow is None or flow.state is not State.STANDING:
            return []
        if flow.server in self.gone:
            return self._reset(source, cid, datagram) + self.end(flow, now, True)
        return self._on_path(now, flow, source, cid, datagram)

    def _reset(self, source: Source, cid: bytes, datagram: bytes) -> list[Verdict]:
        reset = tokens.stateless_reset(self.reset_key, cid, len(datagram)) if cid else b""
        return [ToClient(source, reset)] if reset else [Drop("server gone")]

    def _on_path(self, now: int, flow: Flow, source: Source, cid: bytes, datagram: bytes) -> list[Verdict]:
        """Pass a datagram on from this source, on a new path where it is one."""
        if source not in flow.paths and not self.table.room_for_path(flow):
            return [Drop("no path left")]
        path, away = self.table.path(flow, source, now)
        if cid and path.cid != cid:
            self.table.route(path, cid)
        path.seen = now
        if not path.proven:
            path.received += len(datagram)
            # An id of the server's, after the server's word: a client's first id proves nothing.
            if path.answered and cid:
                self.table.prove(path)
        return [*self._shut(away, now), ToServer(path, (datagram,))]

    def _shut(self, paths: list[Path], now: int) -> list[Verdict]:
        """Close paths that gave way, and flows that were nothing but such a path."""
        verdicts: list[Verdict] = [Shut(path) for path in paths]
        for path in paths:
            if not path.flow.paths and path.flow.adopted:
                verdicts += self.end(path.flow, now, False)
        return verdicts

    def _adopt(self, now: int, source: Source, server: str, cid: bytes, datagram: bytes) -> list[Verdict]:
        away: list[Verdict] = []
        if self.table.full() or self.table.paths >= self.table.max_paths:
            oldest = next((path for path in self.table.unproven if path.flow.adopted), None)
            if oldest is None:
                return [Drop("table full")]
            away = self.end(oldest.flow, now, False)
        flow = self.table.adopt(source, server, now)
        self.table.learn(flow, cid)
        return [*away, Adopt(flow), *self._on_path(now, flow, source, cid, datagram)]

    # Long headers

    def _long(self, now: int, unix_now: int, source: Source, datagram: bytes) -> list[Verdict]:
        version, dcid, scid, _ = packet.parse_invariants(datagram)
        if version not in packet.VERSIONS:
            if version == 0 or len(datagram) < MIN_INITIAL_DATAGRAM_BYTES:
                return [Drop("version not known")]
            return [ToClient(source, packet.encode_version_negotiation(dcid, scid))]
        flow = self.table.by_opening.get((source, dcid))
        if flow is not None:
            return self._of_flow(now, flow, source, datagram)
        first = packet.parse_long_packet(datagram)
        if (source, dcid) in self.spared:
            return [Drop("another process answers")]
        known = self.table.by_id.get(dcid)
        if known is not None and known.state is State.STANDING:
            return self._handshake(now, known, source, dcid, datagram)
        if first.packet_type is PacketType.ZERO_RTT:
            self.strays.append((source, dcid, datagram))
            return [Drop("before its Initial")]
        if first.packet_type is PacketType.INITIAL:
            begun = self._begin(now, unix_now, source, first, datagram)
            if begun is not None:
                return begun
        return self._by_id(now, source, dcid, datagram) or [Drop("id of no flow")]

    def _handshake(self, now: int, flow: Flow, source: Source, dcid: bytes, datagram: bytes) -> list[Verdict]:
        """Pass on what uses a server's own id: who knows that id has heard the server (RFC 9000 section 8.1)."""
        path = flow.paths.get(source)
        if path is not None and path.answered and not path.proven:
            self.table.prove(path)
        return self._on_path(now, flow, source, dcid, datagram)

    def _begin(self, now: int, unix_now: int, source: Source, first: Packet, datagram: bytes) -> list[Verdict] | None:
        """Begin a flow; None where the datagram is no client's first."""
        if len(datagram) < MIN_INITIAL_DATAGRAM_BYTES:
            return [Drop("Initial too small")]
        if len(first.dcid) < LEAST_DCID:
            return [Drop("Initial with a short id")]
        opening = Opening(first.version, first.dcid)
        try:
            complete = opening.add(datagram, first)
        except MalformedError:
            return None
        token = tokens.unseal(self.retry_key, first.token, source, unix_now) if first.token else None
        proven = token is not None and token.retry_scid == first.dcid
        if not proven and self.table.under_way >= self.retry_above:
            return [ToClient(source, self._retry(unix_now, source, first))]
        # Those under way will want a path each.
        if self.table.full() or self.table.paths + self.table.under_way >= self.table.max_paths:
            return [ToClient(source, _closing(opening, frames.CONNECTION_REFUSED, b"full"))]
        flow = self.table.open(source, first.dcid, now)
        flow.opening, flow.version, flow.scid, flow.proven = opening, first.version, first.scid, proven
        self.table.watch(flow, now + OPENING_TIME)
        self._find_strays(flow)
        if complete or opening.hello is not None:
            self.table.turn(flow, State.ASKED, now)
            return [Ask(flow)]
        return []

    def _retry(self, unix_now: int, source: Source, first: Packet) -> bytes:
        """Return a Retry: the client proves its address, and no state is kept until it has."""
        scid = secrets.token_bytes(LEAST_DCID)
        token = RetryToken(unix_now + tokens.RETRY_TOKEN_LIFETIME_NS, first.dcid, scid, source)
        body = packet.encode_untagged_retry(first.version, first.scid, scid, tokens.seal(self.retry_key, token))
        return body + protection.retry_integrity_tag(first.version, first.dcid, body)

    def _find_strays(self, flow: Flow) -> None:
        """Take what came before the flow's Initial."""
        mine = [each for each in self.strays if each[:2] == (flow.source, flow.dcid)]
        for each in mine:
            self.strays.remove(each)
            if flow.opening is not None:
                # Guards against a stray that is no good: the flow itself has begun soundly.
                with suppress(MalformedError):
                    flow.opening.add(each[2])

    def _of_flow(self, now: int, flow: Flow, source: Source, datagram: bytes) -> list[Verdict]:
        """Take a further datagram that uses the client's first id."""
        if flow.state is State.ANSWERED:
            flow.repeats += 1
            enough = len(datagram) >= MIN_INITIAL_DATAGRAM_BYTES and flow.repeats <= MOST_REPEATS
            return [ToClient(source, flow.answer)] if enough else [Drop("answered")]
        if flow.state is State.STANDING:
            return self._on_path(now, flow, source, b"", datagram)
        assert flow.opening is not None
        complete = flow.opening.add(datagram)
        if flow.state is State.OPENING and complete:
            self.table.turn(flow, State.ASKED, now)
            return [Ask(flow)]
        path = flow.attempt
        if path is None or flow.frozen:
            return []
        path.received += len(datagram)
        return [ToServer(path, (datagram,))]

    # The agent's side

    def attempt(self, flow: Flow, server: str, now: int) -> list[Verdict]:
        """Try a server: it gets everything that the client has sent so far. No attempt is out where no path is left."""
        assert flow.opening is not None and flow.state is State.ASKED and flow.attempt is None
        if not self.table.room_for_path(flow):
            return [Drop("no path left")]
        self.table.place(flow, server)
        path, away = self.table.path(flow, flow.source, now)
        self.table.guard(path)
        flow.attempt, flow.frozen, flow.early = path, False, []
        path.received = sum(map(len, flow.opening.datagrams))
        if flow.proven:
            self.table.prove(path)
        return [*self._shut(away, now), ToServer(path, tuple(flow.opening.datagrams))]

    def end_attempt(self, flow: Flow, code: int = frames.NO_ERROR) -> list[Verdict]:
        """End the attempt that is out: close it towards its server, and hear nothing more of it."""
        path, opening = flow.attempt, flow.opening
        if path is None or opening is None:
            return []
        flow.attempt, flow.early = None, []
        self.table.drop(path)
        opening.number += 1
        last = protection.encode_initial(
            opening.keys.client,
            opening.version,
            opening.dcid,
            opening.scid,
            opening.number,
            frames.encode_connection_close(code).ljust(MIN_INITIAL_DATAGRAM_BYTES, b"\0"),
        )
        return [ToServer(path, (last,)), Shut(path)]

    def answer(self, flow: Flow, code: int, reason: bytes, now: int) -> list[Verdict]:
        """Give the final answer that is no service, and keep it for repeats."""
        if flow.opening is None or flow.state not in (State.OPENING, State.ASKED):
            return []
        flow.answer = _closing(flow.opening, code, reason)
        flow.opening = None
        self.table.turn(flow, State.ANSWERED, now)
        self.table.watch(flow, now + LINGER)
        return [ToClient(flow.source, flow.answer)]

    def reset_client(self, flow: Flow, now: int, lost: bool) -> list[Verdict]:
        """End a flow that stands so that its client comes again at once."""
        paths = [path for path in flow.paths.values() if path.cid]
        if not paths:
            return self.end(flow, now, lost)
        path = max(paths, key=lambda each: (each.proven, each.seen))
        reset = tokens.stateless_reset(self.reset_key, path.cid, tokens.MAX_RESET_BYTES + 1)
        return [ToClient(path.source, reset), *self.end(flow, now, lost)]

    def end(self, flow: Flow, now: int, lost: bool) -> list[Verdict]:
        """Forget a flow."""
        if flow.state is State.OVER:
            return []
        return [*(Shut(path) for path in self.table.forget(flow, now)), Over(flow, lost)]

    # From servers

    def from_server(self, now: int, path: Path, datagram: bytes) -> list[Verdict]:
        """Take a datagram of the server at the other end of a path."""
        flow = path.flow
        if not datagram or flow.paths.get(path.source) is not path:
            return [Drop("late")]
        try:
            if flow.state is State.ASKED and flow.attempt is path:
                return self._answer_of_server(now, flow, path, datagram)
            if flow.state is not State.STANDING:
                return [Drop("late")]
            return self._to_client(path, datagram)
        except MalformedError as error:
            return [Drop(f"server malformed: {error}")]

    def _to_client(self, path: Path, datagram: bytes) -> list[Verdict]:
        if datagram[0] & LONG_HEADER_BIT:
            self._learn(path, datagram)
        path.answered = True
        if not path.proven:
            # Guards against a stranger who has others flooded: nobody has heard this path's client answer.
            if path.sent + len(datagram) > AMPLIFY * path.received:
                return [Drop("amplification")]
            path.sent += len(datagram)
        return [ToClient(path.source, datagram)]

    def _learn(self, path: Path, datagram: bytes) -> None:
        """Note the id that a server gave itself."""
        _, _, scid, _ = packet.parse_invariants(datagram)
        flow = path.flow
        if scid and self.table.by_id.get(scid) is not flow:
            self.foreign += self.ids.server_name(scid) != flow.server
            self.table.learn(flow, scid)
            self.table.route(path, scid)

    def _answer_of_server(self, now: int, flow: Flow, path: Path, datagram: bytes) -> list[Verdict]:
        """Judge what a server says before its answer has reached the client."""
        assert flow.opening is not None
        answers = False
        for each in packet.parse_coalesced(datagram):
            if each.packet_type in (PacketType.RETRY, PacketType.VERSION_NEGOTIATION):
                answers = True
            elif each.packet_type is PacketType.INITIAL:
                heard = frames.parse_initial_payload(flow.opening.keys.server.open(datagram, each)[1])
                if heard.close is not None:
                    return [TurnedAway(flow, heard.close.code == frames.CONNECTION_REFUSED)]
                answers |= bool(heard.crypto)
        if answers:
            return self._served(now, flow, path, datagram)
        # Guards against a client that is bound to this server's ids by a mere acknowledgement.
        if len(flow.early) < EARLY:
            flow.early.append(datagram)
        return []

    def _served(self, now: int, flow: Flow, path: Path, datagram: bytes) -> list[Verdict]:
        flow.early, early = [], flow.early
        flow.opening, flow.attempt = None, None
        self.table.unguard(path)
        self.table.turn(flow, State.STANDING, now)
        self.table.vouch(flow)
        self.table.unwatch(flow)
        verdicts = [verdict for each in (datagram, *early) for verdict in self._to_client(path, each)]
        return [*verdicts, Served(flow)]

    # Time and news

    def tick(self, now: int) -> list[Verdict]:
        """Forget what has been idle or is past its time."""
        verdicts: list[Verdict] = []
        for what in self.table.due(now):
            verdicts += self._look(what, now) if isinstance(what, Path) else self._look_at_flow(what, now)
        return verdicts

    def _look(self, path: Path, now: int) -> list[Verdict]:
        flow = path.flow
        if flow.paths.get(path.source) is not path:
            return []
        if flow.state is State.ASKED or path.seen + self.table.idle > now:
            self.table.watch(path, max(path.seen + self.table.idle, now + SECOND))
            return []
        self.table.drop(path)
        return [Shut(path), *(self.end(flow, now, False) if not flow.paths else [])]

    def _look_at_flow(self, flow: Flow, now: int) -> list[Verdict]:
        if flow.state is State.OPENING or flow.state is State.ANSWERED:
            return self.end(flow, now, False)
        return []

    def moved(self, server: str) -> list[Verdict]:
        """Hear that a server is at another address: its paths begin anew there, with the next datagram."""
        flows = self.table.by_server.get(server, {})
        return [Shut(path) for flow in flows for path in flow.paths.values() if flow.state is State.STANDING]

    def freeze(self, flow: Flow) -> None:
        """Hear that the server of the attempt that is out wants nothing new."""
        flow.frozen = True


def _closing(opening: Opening, code: int, reason: bytes) -> bytes:
    """Return a server's CONNECTION_CLOSE in an Initial that the client takes."""
    own = secrets.token_bytes(LEAST_DCID)
    return protection.encode_initial(
        opening.keys.server, opening.version, opening.scid, own, 0, frames.encode_connection_close(code, reason)
    )
