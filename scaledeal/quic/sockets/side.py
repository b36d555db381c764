"""Ties the QUIC side together: datagrams to the router, its verdicts to sockets and to the driver."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path as FilePath
from typing import Any

import msgspec
import structlog

from scaledeal import interface as api
from scaledeal.net import config as told
from scaledeal.net.admission import RESERVED_DESCRIPTORS
from scaledeal.net.driver import Driver
from scaledeal.net.ports import Reactor
from scaledeal.net.relay import Relay
from scaledeal.net.service import Stage
from scaledeal.net.sides import ClientRequest
from scaledeal.operator import FileError, Quic
from scaledeal.quic.core import verdicts as v
from scaledeal.quic.core.router import Router
from scaledeal.quic.core.rules import Placing
from scaledeal.quic.core.table import Flow, FlowTable, Path, State
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import KeyRing, KeyRingError
from scaledeal.quic.ids.tokens import Source
from scaledeal.quic.sockets.agent import QuicAgent
from scaledeal.quic.sockets.front import Front
from scaledeal.quic.sockets.handover import Handover
from scaledeal.quic.sockets.upstream import REFUSALS, Upstream
from scaledeal.quic.wire import frames

log = structlog.get_logger("scaledeal.quic")

TICK = 1.0  # seconds between two looks at what is due
SUMMARY = 10  # ticks between two log lines on what was dropped
LEAST_IDLE = 64  # descriptors that lines must keep


class QuicSide:
    """The QUIC side of one relay, from its start to its end."""

    def __init__(self, relay: Relay, quic: Quic, read_file: Callable[[], Quic | None]) -> None:
        self.relay = relay
        self.reactor: Reactor = relay.reactor
        self.driver: Driver = relay.driver
        self.quic = quic
        self.read_file = read_file
        ring = self._keys(quic)
        table = FlowTable(quic.max_flows, quic.max_paths, quic.paths_a_flow, int(quic.idle))
        self.router = Router(table, ring.codecs(), ring.secret("reset_key"), ring.secret("retry_key"), quic.retry_above)
        self.placing = self._placing(quic)
        self.front = Front(self)
        self.handover = Handover(self)
        self.drops: Counter[str] = Counter()
        self.told_drops: Counter[str] = Counter()
        self.kept: list[Flow] = []  # flows that a drain of this relay took off the module's books
        self.servers: dict[str, api.ServerState] = {}
        self.addresses: dict[str, str] = {}
        self.ticks = 0
        self.closed = False
        self._told_foreign = False
        self._reserve()
        self._carry: dict[type, Callable[[Any], bool]] = {
            v.ToServer: self._to_server,
            v.ToClient: self._to_client,
            v.Ask: self._ask,
            v.Adopt: self._adopt,
            v.Served: self._served,
            v.TurnedAway: self._turned_away,
            v.Shut: self._shut,
            v.Over: self._over,
            v.Drop: lambda drop: self.count(drop.why),
        }

    # The start and the settings

    @staticmethod
    def _keys(quic: Quic) -> KeyRing:
        try:
            return key_file.read(FilePath(quic.keys))
        except KeyRingError as error:
            raise told.ConfigError(f"quic.keys: {error}") from None

    def _placing(self, quic: Quic) -> Placing:
        entries = enumerate(self.relay.config.document.classes)
        return Placing(quic, {each.name: (number, int(each.deadline)) for number, each in entries})

    def _reserve(self) -> None:
        """Take the paths' descriptors out of what lines may use."""
        admission = self.relay.door.client_context.admission
        wanted = self.quic.max_paths + 4  # the front, the handover, and its two ends
        if admission.limit - wanted < RESERVED_DESCRIPTORS + LEAST_IDLE:
            raise told.ConfigError(
                f"quic.max_paths: {wanted} descriptors of {admission.limit} leave lines too few; "
                f"{max(0, admission.limit - RESERVED_DESCRIPTORS - LEAST_IDLE - 4)} paths fit"
            )
        admission.limit -= wanted

    def start(self) -> None:
        """Look for an old process, or bind the socket."""
        self.handover.begin(self.relay.config.folder, told.address(self.quic.listen, "quic.listen"))

    def serve(self) -> None:
        """Take datagrams from now on."""
        self.handover.serve()
        self.reactor.callLater(TICK, self._tick)

    def reload(self) -> None:
        """Read the operators' file and the keys again; whatever is wrong leaves everything as it is."""
        try:
            quic = self.read_file()
            if quic is None:
                raise told.ConfigError("the quic block is gone: that wants a restart")
            ring = self._keys(quic)
        except (FileError, told.ConfigError) as error:
            log.warning("settings not taken, the old ones stay in force", reason=str(error))
            return
        table = self.router.table
        in_force = {name: getattr(self.quic, name) for name in ("listen", "max_flows", "max_paths")}
        if changed := [name for name, value in in_force.items() if getattr(quic, name) != value]:
            log.warning("these wait for a restart", settings=changed)
        # Guards against a warning that is given once, and then no more: what is in force stays on record.
        self.quic = msgspec.structs.replace(quic, **in_force)
        self.placing = self._placing(self.quic)
        table.idle, table.paths_a_flow = int(quic.idle), quic.paths_a_flow
        self.router.retry_above = quic.retry_above
        self._collide(self.router.rekey(ring.codecs(), ring.secret("reset_key"), ring.secret("retry_key")))
        log.info("settings taken", configs=[each.number for each in ring.configs], active=ring.active.number)

    def lines(self) -> list[str]:
        """Return the figures as operators read them."""
        table = self.router.table
        levels = {
            "flows": len(table.flows),
            "paths": table.paths,
            "under_way": table.under_way,
            "foreign_ids": self.router.foreign,
        }
        dropped = [f'relay_quic_dropped_total{{why="{why}"}} {count}' for why, count in sorted(self.drops.items())]
        return [f"relay_quic_{name} {value}" for name, value in levels.items()] + dropped

    def close(self) -> None:
        """Give everything back."""
        self.closed = True
        self.handover.close()
        for flow in list(self.router.table.flows):
            for path in flow.paths.values():
                self._shut(v.Shut(path))
        self.front.close()

    # Datagrams

    def now(self) -> int:
        """Return the time in ns."""
        return self.driver.now()

    def from_client(self, source: Source, datagram: bytes) -> None:
        """Take a client's datagram."""
        path = self.router.known(source, datagram) if datagram else None
        if path is not None and path.upstream is not None:
            path.seen = self.driver.clock()
            path.upstream.write(datagram)
            return
        try:
            self.carry_out(self.router.from_client(self.now(), self.relay.unix_clock.now(), source, datagram))
        except Exception:  # one stranger's datagram must not end the others' service
            self.count("defect")
            log.exception("a client's datagram could not be taken")

    def from_server(self, path: Path, datagram: bytes) -> None:
        """Take a server's datagram."""
        if path.proven and path.flow.state is State.STANDING and datagram and not datagram[0] & 0x80:
            path.answered = True
            self.front.send(path.source, datagram)
            return
        try:
            self.carry_out(self.router.from_server(self.now(), path, datagram))
        except Exception:
            self.count("defect")
            log.exception("a server's datagram could not be taken")

    def refused(self, path: Path) -> None:
        """Hear that nobody listens at a path's server."""
        flow = path.flow
        if flow.attempt is path and flow.agent is not None:
            self.reactor.callLater(0, self._refused, flow, flow.agent.current)
        elif flow.state is State.STANDING and path.upstream is not None and path.upstream.refusals >= REFUSALS:
            self.carry_out(self.router.reset_client(flow, self.now(), True))

    def _refused(self, flow: Flow, current: Any) -> None:
        if flow.agent is not None and flow.agent.current is current and not self.closed:
            current.failed(api.Result.CONNECT_FAILED)

    def count(self, why: str) -> bool:
        """Count a datagram that goes nowhere; a line for each would be a second flood."""
        self.drops[why] += 1
        return True

    # Verdicts

    def carry_out(self, verdicts: list[v.Verdict]) -> bool:
        """Do what the router wants; False where a socket was not to be had."""
        done = True
        for verdict in verdicts:
            done = self._carry[type(verdict)](verdict) and done
        return done

    def _to_server(self, verdict: v.ToServer) -> bool:
        path = verdict.path
        if path.upstream is None and not self._open(path):
            return False
        for datagram in verdict.datagrams:
            path.upstream.write(datagram)
        return True

    def _open(self, path: Path) -> bool:
        address = self.driver.addresses.get(path.flow.server, "")
        upstream = Upstream(path, self, self.reactor)
        try:
            if not address:
                return False
            upstream.open(address)
        except (OSError, told.ConfigError) as error:
            self.count("no upstream socket")
            log.warning("no upstream socket", server=path.flow.server, reason=str(error))
            return False
        path.upstream = upstream
        return True

    def _to_client(self, verdict: v.ToClient) -> bool:
        self.front.send(verdict.source, verdict.datagram)
        return True

    def _shut(self, verdict: v.Shut) -> bool:
        upstream, verdict.path.upstream = verdict.path.upstream, None
        if upstream is not None:
            upstream.shut()
        return True

    def _ask(self, verdict: v.Ask) -> bool:
        flow = verdict.flow
        assert flow.opening is not None and flow.opening.hello is not None
        wish = self.placing.wish(flow.opening.hello, flow.source, flow.dcid)
        if wish is None:
            self.count("no rule")
            self.carry_out(self.router.answer(flow, frames.CONNECTION_REFUSED, b"no rule", self.now()))
            return True
        flow.agent = agent = QuicAgent(self, flow)
        ask = ClientRequest(wish.request_class, self.now() + wish.deadline, wish.key, wish.group, wish.tenant)
        agent.transaction = self.driver.take(ask, agent)
        return True

    def _adopt(self, verdict: v.Adopt) -> bool:
        """Tell the module of a connection that stands; its class is the last rule's, as no ClientHello says it."""
        flow = verdict.flow
        rule = self.quic.rule[-1]
        number, deadline = self.placing.classes.get(rule.class_name, (0, 1))
        flow.agent = agent = QuicAgent(self, flow)
        ask = ClientRequest(number, self.now() + deadline, flow.source[0], "", rule.tenant)
        agent.stands(self.driver.resume(ask, agent, flow.server, 0.0))
        return True

    def _served(self, verdict: v.Served) -> bool:
        verdict.flow.agent.current.served()
        if self.router.foreign and not self._told_foreign:
            self._told_foreign = True
            log.warning(
                "a server makes ids that do not say where they belong: they last as long as the table",
                server=verdict.flow.server,
            )
        return True

    def _turned_away(self, verdict: v.TurnedAway) -> bool:
        verdict.flow.agent.current.failed(api.Result.FULL if verdict.refused else api.Result.ERROR)
        return True

    def _over(self, verdict: v.Over) -> bool:
        agent, verdict.flow.agent = verdict.flow.agent, None
        if agent is not None:
            agent.gone(verdict.lost)
        return True

    # Moves

    def move(self, flow: Flow) -> None:
        """Carry out a move: a reset, but where the flow is better left alone."""
        agent, flow.agent = flow.agent, None
        if agent is not None:
            agent.transaction = None
        draining = self.servers.get(flow.server) is not api.ServerState.LIVE
        if self.relay.service.stage is not Stage.SERVING or self.driver.draining:
            # This relay drains: whoever comes after it finds the flow by its ids.
            self.kept.append(flow)
        elif not draining and self.quic.on_move == "reset":
            self.carry_out(self.router.reset_client(flow, self.now(), False))

    # News and time

    def listed(self, event: api.Membership) -> None:
        """Hear news of the list."""
        if event.kind is api.MembershipKind.LOST:
            return
        states = {each.server: each.state for each in event.servers}
        if event.kind is api.MembershipKind.FULL:
            states |= dict.fromkeys(self.servers.keys() - states.keys(), api.ServerState.GONE)
        self.servers.update(states)
        gone = {name for name, state in self.servers.items() if state is api.ServerState.GONE}
        for name in gone:
            del self.servers[name]
        self._collide(self.router.listed(set(self.servers), gone))
        for name in self.servers:
            before, now = self.addresses.get(name), self.driver.addresses.get(name, "")
            self.addresses[name] = now
            if before is not None and before != now:
                log.info("server moved", server=name, address=now)
                self.carry_out(self.router.moved(name))
        for name in gone:
            self.addresses.pop(name, None)

    def _collide(self, pairs: frozenset[tuple[str, str]]) -> None:
        for one, other in sorted(pairs):
            log.error(
                "two servers have the same server id: neither is routed by it; use longer server ids",
                servers=[one, other],
            )

    def _tick(self) -> None:
        if self.closed:
            return
        self.reactor.callLater(TICK, self._tick)
        self.carry_out(self.router.tick(self.now()))
        if self.kept and self.relay.service.stage is Stage.SERVING:
            kept, self.kept = self.kept, []
            for flow in kept:
                if flow.state is State.STANDING and flow.agent is None:
                    self._adopt(v.Adopt(flow))
        self.ticks += 1
        if self.ticks % SUMMARY == 0 and self.drops != self.told_drops:
            log.info("datagrams that went nowhere", **{"since_start": dict(self.drops - self.told_drops)})
            self.told_drops = self.drops.copy()
