"""Fakes of the reactor, transports and decision module: time and bytes move only when the test moves them."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from scaledeal import interface as api
from scaledeal.net import config
from scaledeal.net.admission import Admission
from scaledeal.net.app_server import _LinkFactory
from scaledeal.net.attempt import AttemptContext, LineAttempt
from scaledeal.net.buffers import BufferPool
from scaledeal.net.client_listener import ClientFactory
from scaledeal.net.driver import Driver
from scaledeal.net.figures import Figures
from scaledeal.net.health_probe import HealthProbe, HealthProbes
from scaledeal.net.lines import LineLink
from scaledeal.net.relay import Relay
from scaledeal.net.service import Service, Stage
from scaledeal.net.system import System
from scaledeal.net.user_agent import ClientContext
from scaledeal.net.wording import report_reader

MS = 1_000_000
CLASSES = (api.RequestClass(aim=300 * MS, deadline=1000 * MS, message_aim=60 * MS),)
SETTINGS = api.Settings(classes=CLASSES, may_cancel=True, max_attempts=6)
SITE = {
    "Classes": [{"Name": "browse", "Aim": 300_000_000, "Deadline": 3_000_000_000}],
    "Discovery": "on_request",
    "Caps": {"Cancelling": True, "DialTimeout": 250_000_000},
}


class FakeSocket:
    """A socket, as far as a hand-over uses it."""

    def __init__(self) -> None:
        self.closed = False
        self.sock: socket.socket | None = None

    def fileno(self) -> int:
        self.sock = self.sock or socket.socket()
        return self.sock.fileno()

    def close(self) -> None:
        self.closed = True
        if self.sock is not None:
            self.sock.close()


class Wire:
    """A fake transport; written bytes are sent only by ``flush`` or ``doWrite``."""

    def __init__(self, clock: FakeReactor, link: LineLink) -> None:
        self.clock, self.link = clock, link
        self.queued, self.sent = b"", b""
        self.unread = b""  # bytes that have arrived but are not read yet
        self.fin_sent = self.fin_due = self.closing = self.lost = self.paused = False
        self.aborted = False
        self.bufferSize = 0
        self.producer: Any = None
        self.streaming = True
        self.handle = FakeSocket()
        clock.up.append(self)
        link.makeConnection(self)

    def write(self, data: bytes) -> None:
        assert not self.lost, "written to a lost connection"
        if not self.closing and not self.fin_due:
            self.queued += data

    def flush(self, max_bytes: int = 1 << 30) -> None:
        if self.lost or self.aborted:  # a reset connection never sends its queued bytes
            return
        assert not (self.fin_sent and self.queued)
        self.sent, self.queued = self.sent + self.queued[:max_bytes], self.queued[max_bytes:]
        if self.queued:
            return
        if self.producer is not None and not self.streaming:
            self.producer.resumeProducing()
            return
        self.fin_sent = self.fin_sent or self.fin_due
        if self.closing:
            self.lose(error.ConnectionDone())

    def doWrite(self) -> None:
        self.flush()

    def loseConnection(self) -> None:
        self.closing = True

    def loseWriteConnection(self) -> None:
        self.fin_due = True

    def abortConnection(self) -> None:
        self.closing = self.aborted = True
        self.clock.callLater(0, self.lose, error.ConnectionAborted())

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        assert self.producer is None
        self.producer, self.streaming = producer, streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        assert enabled

    def getHandle(self) -> FakeSocket:
        return self.handle

    def stopReading(self) -> None:
        self.paused = True

    def stopWriting(self) -> None:
        assert not self.queued, "handed over with lines queued"

    # Actions of the peer, called by the test

    def lose(self, why: Exception) -> None:
        if not self.lost:
            self.lost = True
            self.link.connectionLost(Failure(why))

    def doRead(self) -> None:
        data, self.unread = self.unread, b""
        self.receive(data)

    def receive(self, data: bytes) -> None:
        if not self.lost and not self.closing:
            self.link.dataReceived(data)

    def peer_ends(self) -> None:
        if not self.lost and not self.closing:
            self.link.readConnectionLost()

    def lines(self) -> list[bytes]:
        *lines, rest = (self.sent + self.queued).split(b"\r\n")
        assert rest == b"", "a line was cut"
        return lines


@dataclass
class Dialled:
    """A connect to a server; the test lets it come up or fail."""

    address: str
    factory: Any
    due: Any = None
    wire: Wire | None = None
    over: bool = False

    def stopConnecting(self) -> None:
        self.fail()

    def up(self, clock: FakeReactor) -> Wire:
        self.over = True
        self.due.cancel()
        self.wire = Wire(clock, self.factory.buildProtocol(None))
        return self.wire

    def fail(self) -> None:
        if not self.over:
            self.over = True
            if self.due.active():
                self.due.cancel()
            self.factory.clientConnectionFailed(self, Failure(error.ConnectError()))


class FakeReactor(Clock):
    def __init__(self) -> None:
        super().__init__()
        self.dialled: list[Dialled] = []
        self.up: list[Wire] = []
        self.adopted: list[Wire] = []

    def getWriters(self) -> list[Wire]:
        return [wire for wire in self.up if wire.queued]

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> None:
        self.adopted.append(Wire(self, factory.buildProtocol(None)))

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Dialled:
        dialled = Dialled(f"{host}:{port}", factory)
        dialled.due = self.callLater(timeout, dialled.fail)
        self.dialled.append(dialled)
        return dialled


@dataclass
class ScriptedModule:
    """Replaces the decision module: records its events and returns the actions that the test sets."""

    seen: list[api.Event] = field(default_factory=list)
    reply: Callable[[api.Event], list[api.Action]] = lambda event: []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.seen.append(event)
        return self.reply(event)

    def rotation_counts(self) -> tuple[int, int]:
        return 2, 0

    def events_of(self, kind: type) -> list[Any]:
        return [event for event in self.seen if type(event) is kind]


class Bench:
    """A driver with its admission, probes and user agents, on the fake reactor and a scripted module."""

    def __init__(self, descriptors: int = 256) -> None:
        self.reactor = FakeReactor()
        self.reactor.advance(1000)  # times of 0 mean "never" in the code under test
        self.pool = BufferPool()
        self.driver = Driver(self.reactor, SETTINGS, 1, Figures(("browse",)), lambda: int(self.reactor.seconds() * 1e9))
        self.module = ScriptedModule()
        self.driver.balancer = self.module  # type: ignore[assignment]
        context = AttemptContext(
            self.reactor, self.pool, self.driver.now, report_reader(("fail_rate", "rif", "x0")), 250 * MS
        )
        self.admission = Admission(self.reactor, descriptors, self.driver.now)
        self.probes = HealthProbes(context, 5000 * MS, self.driver.post, self.admission.probe_allowance)
        self.admission.probe_connections, self.admission.limit_probes = (
            self.probes.connection_count,
            self.probes.close_idle,
        )
        self.driver.prober = self.probes
        self.service = Service(self.driver)
        self.client_context = ClientContext(
            context,
            {"browse": 0},
            {"acme": 0},
            self.admission,
            self.driver.begin_transaction,
            lambda: self.service.stage is not Stage.LAME_DUCK,
            request_ids=self.driver.request_ids,
        )
        self.service.start_serving()
        self.list(a="127.0.0.1:1", b="127.0.0.1:2")

    def list(self, state: api.ServerState = api.ServerState.LIVE, **addresses: str) -> None:
        entries = tuple(api.ServerEntry(name, state) for name in addresses)
        self.driver.listed(api.Membership(api.MembershipKind.CHANGES, entries), addresses)

    def client(self) -> Wire:
        """Connect as a client; fail if the connection is rejected."""
        wire = self.connect()
        assert wire is not None, "no room"
        return wire

    def connect(self) -> Wire | None:
        """Connect as a client; return None if the socket is closed at once."""
        agent = ClientFactory(self.client_context).buildProtocol(None)
        return Wire(self.reactor, agent) if agent else None

    def act(self, *actions: api.Action) -> None:
        """Have the decision module return these actions now."""
        self.module.reply = lambda event: list(actions) if isinstance(event, api.Timer) else []
        self.driver.post(api.Timer(0))
        self.module.reply = lambda event: []

    def wires(self) -> list[Wire]:
        """Return the connections to application servers that came up."""
        return [d.wire for d in self.reactor.dialled if d.wire is not None]


class FakePort:
    """The listening socket for clients; records how often it was opened, and when it was closed."""

    def __init__(self, reactor: FakeReactor) -> None:
        self.reactor = reactor
        self.opened = 0
        self.closed: list[float] = []

    def startListening(self) -> None:
        self.opened += 1

    def stopListening(self) -> None:
        self.closed.append(self.reactor.seconds())

    def startReading(self) -> None:
        """Do nothing: the test connects clients itself."""

    def getHost(self) -> Any:
        return IPv4Address("TCP", "127.0.0.1", 9)


class OneRelay:
    """A complete relay with its real decision module, on the fake reactor."""

    def __init__(self, folder: Path, servers: int = 1, settings: dict[str, Any] = SITE) -> None:
        self.reactor: Any = FakeReactor()
        self.reactor.advance(1000)
        self.stopped = False
        self.reactor.stop = self._stop
        self.port = FakePort(self.reactor)
        self.path = folder / "c.json"
        self.known = [{"name": f"s{n}", "address": f"127.0.0.1:{n + 1}"} for n in range(servers)]
        self.written = {"settings": settings, "known": {"index": 1, "endpoints": self.known}}
        self.path.write_text(json.dumps(self.written))
        read = config.read(
            {"PROXY_CONFIG": str(self.path), "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.9:9"}
        )
        system = System()
        clock = lambda: int(self.reactor.seconds() * 1e9)  # noqa: E731
        system.monotonic = system.unix = clock  # type: ignore[method-assign]
        system.port = lambda *_: self.port  # type: ignore[method-assign, assignment, return-value]
        self.relay = Relay(self.reactor, read, system)
        self.seen: list[api.Event] = []
        handle = self.relay.driver.balancer.handle

        def record_and_handle(now: int, event: api.Event) -> list[api.Action]:
            self.seen.append(event)
            return handle(now, event)

        self.relay.driver.balancer.handle = record_and_handle  # type: ignore[method-assign]
        self.relay.start()

    def _stop(self) -> None:
        self.stopped = True

    def idle_client(self) -> Wire:
        """Connect as a client that sends nothing yet."""
        return Wire(self.reactor, self.relay.client_factory.buildProtocol(None))

    def client(self, number: int, wait: int = 3000, more: bytes = b"") -> Wire:
        """Connect as a client and send a request with id ``number`` that waits ``wait`` ms."""
        wire = self.idle_client()
        wire.receive(b"OPEN %x 7f3a c=browse,d=%d,g=5c0f%s\r\n" % (number, wait, more))
        return wire

    def attempts(self) -> list[Any]:
        """Return the connects of attempts; probes and discovery connect through the same reactor."""
        return [
            dialled
            for dialled in self.reactor.dialled
            if isinstance(dialled.factory, _LinkFactory) and isinstance(dialled.factory.link.owner, LineAttempt)
        ]

    def probes(self) -> list[Any]:
        """Return the connects of health probes."""
        return [
            dialled
            for dialled in self.reactor.dialled
            if isinstance(dialled.factory, _LinkFactory) and isinstance(dialled.factory.link.owner, HealthProbe)
        ]

    def results(self) -> list[str]:
        """Return the results of attempts, as posted to the module."""
        return [event.result.value for event in self.seen if isinstance(event, api.Outcome)]

    def run(self, seconds: float) -> None:
        self.reactor.pump([0.01] * round(seconds / 0.01))
