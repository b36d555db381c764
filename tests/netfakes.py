"""A reactor whose sockets are moved by the test: no time passes and no byte moves by itself."""

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
from scaledeal.net.app_server import _Dial
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
from scaledeal.net.user_agent import Reception
from scaledeal.net.wording import report_reader

MS = 1_000_000
CLASSES = (api.RequestClass(aim=300 * MS, deadline=1000 * MS, message_aim=60 * MS),)
SETTINGS = api.Settings(classes=CLASSES, may_cancel=True, max_attempts=6)
SITE = {
    "Classes": [{"Name": "browse", "Aim": 300_000_000, "Deadline": 3_000_000_000}],
    "Discovery": "on_request",
    "Caps": {"Cancelling": True, "DialTimeout": 250_000_000},
}


class Handle:
    """A socket, as far as handing it over goes."""

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
    """A transport; what is written moves only by ``flush``."""

    def __init__(self, clock: FakeReactor, link: LineLink) -> None:
        self.clock, self.link = clock, link
        self.queued, self.sent = b"", b""
        self.unread = b""  # what has come and is not read yet
        self.fin_sent = self.fin_due = self.closing = self.lost = self.paused = False
        self.aborted = False
        self.bufferSize = 0
        self.producer: Any = None
        self.streaming = True
        self.handle = Handle()
        clock.up.append(self)
        link.makeConnection(self)

    def write(self, data: bytes) -> None:
        assert not self.lost, "written to a lost connection"
        if not self.closing and not self.fin_due:
            self.queued += data

    def flush(self, most: int = 1 << 30) -> None:
        if self.lost or self.aborted:  # what is queued when a connection is reset is never sent
            return
        assert not (self.fin_sent and self.queued)
        self.sent, self.queued = self.sent + self.queued[:most], self.queued[most:]
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

    def getHandle(self) -> Handle:
        return self.handle

    def stopReading(self) -> None:
        self.paused = True

    def stopWriting(self) -> None:
        assert not self.queued, "handed over with lines queued"

    # What the test does to the other end

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
        made = Dialled(f"{host}:{port}", factory)
        made.due = self.callLater(timeout, made.fail)
        self.dialled.append(made)
        return made


@dataclass
class Scripted:
    """Stands in for the decision module: keeps its events, does what the test says."""

    seen: list[api.Event] = field(default_factory=list)
    reply: Callable[[api.Event], list[api.Action]] = lambda event: []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.seen.append(event)
        return self.reply(event)

    def rotation_counts(self) -> tuple[int, int]:
        return 2, 0

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.seen if type(event) is kind]


class Bench:
    """A driver and its user agents on fakes."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        self.reactor.advance(1000)  # a clock at 0 means "never" here
        self.pool = BufferPool()
        self.driver = Driver(self.reactor, SETTINGS, 1, Figures(("browse",)), lambda: int(self.reactor.seconds() * 1e9))
        self.module = Scripted()
        self.driver.balancer = self.module  # type: ignore[assignment]
        context = AttemptContext(
            self.reactor, self.pool, self.driver.now, report_reader(("fail_rate", "rif", "x0")), 250 * MS
        )
        self.admission = Admission(self.reactor, 256, self.driver.now)
        self.probes = HealthProbes(context, 5000 * MS, self.driver.post, self.admission.for_probes)
        self.admission.probing, self.admission.end_probes = self.probes.held, self.probes.give_back
        self.driver.prober = self.probes
        self.service = Service(self.driver)
        self.reception = Reception(
            context,
            {"browse": 0},
            {"acme": 0},
            self.admission,
            self.driver.take,
            lambda: self.service.stage is not Stage.LAME_DUCK,
        )
        self.service.start_serving()
        self.list(a="127.0.0.1:1", b="127.0.0.1:2")

    def list(self, state: api.ServerState = api.ServerState.LIVE, **addresses: str) -> None:
        entries = tuple(api.ServerEntry(name, state) for name in addresses)
        self.driver.listed(api.Membership(api.MembershipKind.CHANGES, entries), addresses)

    def client(self) -> Wire:
        made = self.knock()
        assert made is not None, "no room"
        return made

    def knock(self) -> Wire | None:
        """Connect as a client does; nothing where the socket is closed at once."""
        agent = ClientFactory(self.reception).buildProtocol(None)
        return Wire(self.reactor, agent) if agent else None

    def act(self, *actions: api.Action) -> None:
        """Have the decision module want this now."""
        self.module.reply = lambda event: list(actions) if isinstance(event, api.Timer) else []
        self.driver.post(api.Timer(0))
        self.module.reply = lambda event: []

    def wires(self) -> list[Wire]:
        return [d.wire for d in self.reactor.dialled if d.wire is not None]


class FakePort:
    """The clients' listening socket: how often it was opened and closed, and when it was closed."""

    def __init__(self, reactor: FakeReactor) -> None:
        self.reactor = reactor
        self.opened = 0
        self.closed: list[float] = []

    def startListening(self) -> None:
        self.opened += 1

    def stopListening(self) -> None:
        self.closed.append(self.reactor.seconds())

    def startReading(self) -> None:
        """Nothing: the test hands clients over itself."""

    def getHost(self) -> Any:
        return IPv4Address("TCP", "127.0.0.1", 9)


class OneRelay:
    """A whole relay, its module included, on a reactor whose sockets the test moves."""

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

        def handled(now: int, event: api.Event) -> list[api.Action]:
            self.seen.append(event)
            return handle(now, event)

        self.relay.driver.balancer.handle = handled  # type: ignore[method-assign]
        self.relay.start()

    def _stop(self) -> None:
        self.stopped = True

    def resting(self) -> Wire:
        """Connect as a client does that says nothing yet."""
        return Wire(self.reactor, self.relay.client_factory.buildProtocol(None))

    def client(self, number: int, wait: int = 3000, more: bytes = b"") -> Wire:
        made = self.resting()
        made.receive(b"OPEN %x 7f3a c=browse,d=%d,g=5c0f%s\r\n" % (number, wait, more))
        return made

    def attempts(self) -> list[Any]:
        """Return the attempts at application servers; probes and discovery are dialled on the same reactor."""
        return [
            each
            for each in self.reactor.dialled
            if isinstance(each.factory, _Dial) and isinstance(each.factory.link.owner, LineAttempt)
        ]

    def probes(self) -> list[Any]:
        return [
            each
            for each in self.reactor.dialled
            if isinstance(each.factory, _Dial) and isinstance(each.factory.link.owner, HealthProbe)
        ]

    def results(self) -> list[str]:
        """Return how the module was told that attempts ended."""
        return [event.result.value for event in self.seen if isinstance(event, api.Outcome)]

    def run(self, seconds: float) -> None:
        self.reactor.pump([0.01] * round(seconds / 0.01))
