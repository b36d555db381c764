"""Connects the parts of the QUIC side: passes datagrams to the router, and verdicts to sockets and to the driver."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path as FilePath
from typing import Any

import msgspec
import structlog

from scaledeal import interface as api
from scaledeal.net import config
from scaledeal.net.admission import RESERVED_DESCRIPTORS
from scaledeal.net.driver import Driver
from scaledeal.net.ports import Reactor
from scaledeal.net.relay import Relay
from scaledeal.net.service import Stage
from scaledeal.net.sides import ClientRequest
from scaledeal.operator import FileError, Quic
from scaledeal.quic.core import verdicts as v
from scaledeal.quic.core.router import Router
from scaledeal.quic.core.rules import RuleMatcher
from scaledeal.quic.core.table import Flow, FlowState, FlowTable, Path
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import KeyRing, KeyRingError
from scaledeal.quic.ids.tokens import Source
from scaledeal.quic.sockets.agent import QuicAgent
from scaledeal.quic.sockets.handover import Handover
from scaledeal.quic.sockets.udp_listener import UdpListener
from scaledeal.quic.sockets.upstream import REFUSALS_BEFORE_GONE, Upstream
from scaledeal.quic.wire import frames

log = structlog.get_logger("scaledeal.quic")

TICK_INTERVAL_S = 1.0  # between two checks of the router's timeouts
TICKS_PER_DROP_SUMMARY = 10  # between two log lines that summarise the dropped datagrams
MIN_LINE_DESCRIPTORS = 64  # left to connections of the line protocol


class QuicSide:
    """The QUIC side of one relay; implements ``net.sides.Side``."""

    def __init__(self, relay: Relay, quic: Quic, read_file: Callable[[], Quic | None]) -> None:
        self.relay = relay
        self.reactor: Reactor = relay.reactor
        self.driver: Driver = relay.driver
        self.quic = quic
        self.read_file = read_file
        ring = self._read_keys(quic)
        table = FlowTable(quic.max_flows, quic.max_paths, quic.paths_a_flow, int(quic.idle))
        self.router = Router(table, ring.codecs(), ring.secret("reset_key"), ring.secret("retry_key"), quic.retry_above)
        self.rule_matcher = self._new_rule_matcher(quic)
        self.listener = UdpListener(self)
        self.handover = Handover(self)
        self.drops: Counter[str] = Counter()
        self.logged_drops: Counter[str] = Counter()
        self.detached_flows: list[Flow] = []  # taken off the decision module by a drain of this relay
        self.servers: dict[str, api.ServerState] = {}
        self.addresses: dict[str, str] = {}
        self.ticks = 0
        self.closed = False
        self._foreign_ids_logged = False
        self._reserve_descriptors()
        self._handlers: dict[type, Callable[[Any], bool]] = {
            v.ToServer: self._to_server,
            v.ToClient: self._to_client,
            v.RequestServer: self._request_server,
            v.Adopt: self._adopt,
            v.Established: self._established,
            v.ServerClosed: self._server_closed,
            v.ClosePath: self._close_path,
            v.FlowClosed: self._flow_closed,
            v.Drop: lambda drop: self.count_drop(drop.why),
        }

    # Start and settings

    @staticmethod
    def _read_keys(quic: Quic) -> KeyRing:
        try:
            return key_file.read(FilePath(quic.keys))
        except KeyRingError as error:
            raise config.ConfigError(f"quic.keys: {error}") from None

    def _new_rule_matcher(self, quic: Quic) -> RuleMatcher:
        entries = enumerate(self.relay.config.document.classes)
        return RuleMatcher(quic, {entry.name: (number, int(entry.deadline)) for number, entry in entries})

    def _reserve_descriptors(self) -> None:
        """Subtract the paths' descriptors from those that line-protocol connections may use."""
        admission = self.relay.client_factory.client_context.admission
        # Besides the paths: the listener, the offer's Unix socket, the connections to the old and the new process.
        needed = self.quic.max_paths + 4
        if admission.limit - needed < RESERVED_DESCRIPTORS + MIN_LINE_DESCRIPTORS:
            raise config.ConfigError(
                f"quic.max_paths: {needed} of {admission.limit} descriptors leave too few for line connections; "
                f"{max(0, admission.limit - RESERVED_DESCRIPTORS - MIN_LINE_DESCRIPTORS - 4)} paths are possible"
            )
        admission.limit -= needed

    def start(self) -> None:
        """Request the socket from an old process, or bind it; raise ConfigError if that fails."""
        self.handover.begin(self.relay.config.folder, config.parse_address(self.quic.listen, "quic.listen"))

    def serve(self) -> None:
        """Start serving datagrams, and start the periodic checks."""
        self.handover.serve()
        self.reactor.callLater(TICK_INTERVAL_S, self._tick)

    def reload(self) -> None:
        """Reload the operators' file and the keys; on any error log it and change nothing."""
        try:
            quic = self.read_file()
            if quic is None:
                raise config.ConfigError("the quic block was removed: that takes effect only after a restart")
            ring = self._read_keys(quic)
        except (FileError, config.ConfigError) as error:
            log.warning("settings not taken, the old ones stay in force", reason=str(error))
            return
        table = self.router.table
        in_force = {name: getattr(self.quic, name) for name in ("listen", "max_flows", "max_paths")}
        if pending := [name for name, value in in_force.items() if getattr(quic, name) != value]:
            log.warning("changed settings take effect only after a restart", settings=pending)
        # Keep the values in force, so that the next reload compares with them and warns again.
        self.quic = msgspec.structs.replace(quic, **in_force)
        self.rule_matcher = self._new_rule_matcher(self.quic)
        table.idle_timeout_ns, table.max_paths_per_flow = int(quic.idle), quic.paths_a_flow
        self.router.retry_above = quic.retry_above
        self._log_collisions(self.router.set_keys(ring.codecs(), ring.secret("reset_key"), ring.secret("retry_key")))
        log.info(
            "settings taken", configs=[key_config.number for key_config in ring.configs], active=ring.active.number
        )

    def lines(self) -> list[str]:
        """Return the metrics, one line each."""
        table = self.router.table
        levels = {
            "flows": len(table.flows),
            "paths": table.path_count,
            "under_way": table.pending_setups,
            "foreign_ids": self.router.foreign_ids,
        }
        dropped = [f'relay_quic_dropped_total{{why="{why}"}} {count}' for why, count in sorted(self.drops.items())]
        return [f"relay_quic_{name} {value}" for name, value in levels.items()] + dropped

    def close(self) -> None:
        """Close all sockets."""
        self.closed = True
        self.handover.close()
        for flow in list(self.router.table.flows):
            for path in flow.paths.values():
                self._close_path(v.ClosePath(path))
        self.listener.close()

    # Datagrams

    def now(self) -> int:
        """Return the driver's time in ns."""
        return self.driver.now()

    def from_client(self, source: Source, datagram: bytes) -> None:
        """Handle a datagram from a client: forward it on its path, or carry out the router's verdicts."""
        path = self.router.established_path(source, datagram) if datagram else None
        if path is not None and path.upstream is not None:
            path.last_seen = self.driver.clock()
            path.upstream.write(datagram)
            return
        try:
            self.carry_out(self.router.from_client(self.now(), self.relay.unix_clock.now(), source, datagram))
        except Exception:  # a defect in handling one datagram must not end the service for all other clients
            self.count_drop("defect")
            log.exception("a client's datagram could not be handled")

    def from_server(self, path: Path, datagram: bytes) -> None:
        """Handle a datagram from a server: forward it on its path, or carry out the router's verdicts."""
        if path.validated and path.flow.state is FlowState.ESTABLISHED and datagram and not datagram[0] & 0x80:
            path.server_responded = True
            self.listener.send(path.source, datagram)
            return
        try:
            self.carry_out(self.router.from_server(self.now(), path, datagram))
        except Exception:
            self.count_drop("defect")
            log.exception("a server's datagram could not be handled")

    def port_unreachable(self, path: Path) -> None:
        """Abort a path's attempt, or reset its flow after repeated errors: nothing listens at its server's address."""
        flow = path.flow
        if flow.attempt_path is path and flow.agent is not None:
            self.reactor.callLater(0, self._abort_refused_attempt, flow, flow.agent.current_attempt)
        elif (
            flow.state is FlowState.ESTABLISHED
            and path.upstream is not None
            and path.upstream.refusals >= REFUSALS_BEFORE_GONE
        ):
            self.carry_out(self.router.reset_client(flow, self.now(), True))

    def _abort_refused_attempt(self, flow: Flow, attempt: Any) -> None:
        if flow.agent is not None and flow.agent.current_attempt is attempt and not self.closed:
            attempt.abort(api.Result.CONNECT_FAILED)

    def count_drop(self, why: str) -> bool:
        """Count a dropped datagram; a log line for each would let a flood of datagrams flood the log."""
        self.drops[why] += 1
        return True

    # Verdicts

    def carry_out(self, verdicts: list[v.Verdict]) -> bool:
        """Carry out the router's verdicts; return False if a socket could not be opened."""
        succeeded = True
        for verdict in verdicts:
            succeeded = self._handlers[type(verdict)](verdict) and succeeded
        return succeeded

    def _to_server(self, verdict: v.ToServer) -> bool:
        path = verdict.path
        if path.upstream is None and not self._open_upstream(path):
            return False
        for datagram in verdict.datagrams:
            path.upstream.write(datagram)
        return True

    def _open_upstream(self, path: Path) -> bool:
        address = self.driver.addresses.get(path.flow.server, "")
        upstream = Upstream(path, self, self.reactor)
        try:
            if not address:
                return False
            upstream.open(address)
        except (OSError, config.ConfigError) as error:
            self.count_drop("no upstream socket")
            log.warning("can't open an upstream socket", server=path.flow.server, reason=str(error))
            return False
        path.upstream = upstream
        return True

    def _to_client(self, verdict: v.ToClient) -> bool:
        self.listener.send(verdict.source, verdict.datagram)
        return True

    def _close_path(self, verdict: v.ClosePath) -> bool:
        upstream, verdict.path.upstream = verdict.path.upstream, None
        if upstream is not None:
            upstream.close()
        return True

    def _request_server(self, verdict: v.RequestServer) -> bool:
        flow = verdict.flow
        assert flow.first_flight is not None and flow.first_flight.hello is not None
        match = self.rule_matcher.match(flow.first_flight.hello, flow.source, flow.dcid)
        if match is None:
            self.count_drop("no rule")
            self.carry_out(self.router.reject(flow, frames.CONNECTION_REFUSED, b"no rule", self.now()))
            return True
        flow.agent = agent = QuicAgent(self, flow)
        request = ClientRequest(
            match.request_class, self.now() + match.timeout_ns, match.key, match.group, match.tenant
        )
        agent.transaction = self.driver.begin_transaction(request, agent)
        return True

    def _adopt(self, verdict: v.Adopt) -> bool:
        """Register an established flow with the module, under the last rule's class as it has no ClientHello."""
        flow = verdict.flow
        rule = self.quic.rule[-1]
        number, deadline = self.rule_matcher.classes.get(rule.class_name, (0, 1))
        flow.agent = agent = QuicAgent(self, flow)
        request = ClientRequest(number, self.now() + deadline, flow.source[0], "", rule.tenant)
        agent.adopt(self.driver.resume(request, agent, flow.server, 0.0))
        return True

    def _established(self, verdict: v.Established) -> bool:
        verdict.flow.agent.current_attempt.server_answered()
        if self.router.foreign_ids and not self._foreign_ids_logged:
            self._foreign_ids_logged = True
            log.warning(
                "a server issues connection ids that do not encode its server id: only the flow table routes them",
                server=verdict.flow.server,
            )
        return True

    def _server_closed(self, verdict: v.ServerClosed) -> bool:
        verdict.flow.agent.current_attempt.abort(api.Result.FULL if verdict.refused else api.Result.ERROR)
        return True

    def _flow_closed(self, verdict: v.FlowClosed) -> bool:
        agent, verdict.flow.agent = verdict.flow.agent, None
        if agent is not None:
            agent.flow_closed(verdict.lost)
        return True

    # Moves

    def move(self, flow: Flow) -> None:
        """Carry out a move by a stateless reset, unless the flow can stay where it is."""
        agent, flow.agent = flow.agent, None
        if agent is not None:
            agent.transaction = None
        server_draining = self.servers.get(flow.server) is not api.ServerState.LIVE
        if self.relay.service.stage is not Stage.SERVING or self.driver.draining:
            # This relay drains: its successor, or another relay, finds the flow by its ids.
            self.detached_flows.append(flow)
        elif not server_draining and self.quic.on_move == "reset":
            self.carry_out(self.router.reset_client(flow, self.now(), False))

    # Server list and timers

    def listed(self, event: api.Membership) -> None:
        """Apply a change of the server list."""
        if event.kind is api.MembershipKind.LOST:
            return
        states = {entry.server: entry.state for entry in event.servers}
        if event.kind is api.MembershipKind.FULL:
            states |= dict.fromkeys(self.servers.keys() - states.keys(), api.ServerState.GONE)
        self.servers.update(states)
        gone = {name for name, state in self.servers.items() if state is api.ServerState.GONE}
        for name in gone:
            del self.servers[name]
        self._log_collisions(self.router.set_servers(set(self.servers), gone))
        for name in self.servers:
            old_address, new_address = self.addresses.get(name), self.driver.addresses.get(name, "")
            self.addresses[name] = new_address
            if old_address is not None and old_address != new_address:
                log.info("server moved", server=name, address=new_address)
                self.carry_out(self.router.server_moved(name))
        for name in gone:
            self.addresses.pop(name, None)

    def _log_collisions(self, pairs: frozenset[tuple[str, str]]) -> None:
        for first, second in sorted(pairs):
            log.error(
                "two servers have the same server id: neither is routed by it; use longer server ids",
                servers=[first, second],
            )

    def _tick(self) -> None:
        if self.closed:
            return
        self.reactor.callLater(TICK_INTERVAL_S, self._tick)
        self.carry_out(self.router.tick(self.now()))
        if self.detached_flows and self.relay.service.stage is Stage.SERVING:
            flows, self.detached_flows = self.detached_flows, []
            for flow in flows:
                if flow.state is FlowState.ESTABLISHED and flow.agent is None:
                    self._adopt(v.Adopt(flow))
        self.ticks += 1
        if self.ticks % TICKS_PER_DROP_SUMMARY == 0 and self.drops != self.logged_drops:
            log.info("dropped datagrams", **{"since_start": dict(self.drops - self.logged_drops)})
            self.logged_drops = self.drops.copy()
