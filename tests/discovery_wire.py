"""A whole relay in simulated time, its HTTP client in force, and discoveries that say what the test has them say."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from netfakes import Dialled, FakeReactor, Wire
from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IReactorPluggableNameResolver
from twisted.python.failure import Failure
from zope.interface import implementer

from scaledeal.net import config
from scaledeal.net.relay import Relay
from scaledeal.net.system import System

RULES = {
    "AskWithin": 10_000_000_000,
    "DrainGrace": 1_000_000_000,
    "ColdFrom": 0.25,
    "WarmAfter": 20_000_000_000,
    "OverloadFactor": 1.5,
    "Fall": 1_000_000_000,
}
SETTINGS: dict[str, Any] = {
    "Classes": [{"Name": "browse", "Aim": 300_000_000, "Deadline": 3_000_000_000, "Semantics": "repeatable"}],
    "Caps": {"Cancelling": True, "DialTimeout": 250_000_000, "MaxAttempts": 6},
    "Rules": RULES,
    "Siblings": 3,
    "Me": 1,
}
OLD, NEW, THIRD = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


class HttpWire:
    """A connection to a discovery, whose end the test moves."""

    disconnecting = False

    def __init__(self, net: Net, at: Discovery, factory: Any) -> None:
        self.net, self.at = net, at
        self.sent, self.lost, self.aborted = b"", False, False
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        self.sent += data
        if self.sent.endswith(b"\r\n\r\n"):
            self.at.calls.append(Call(self, self.sent.split(b" ")[1].decode().partition("members")[2]))
            self.sent = b""
            self.at.asked(self.at.calls[-1])

    def writeSequence(self, parts: list[bytes]) -> None:
        self.write(b"".join(parts))

    def loseConnection(self) -> None:
        self.net.callLater(0, self.lose, error.ConnectionDone())

    def abortConnection(self) -> None:
        self.aborted = True
        self.net.callLater(0, self.lose, error.ConnectionAborted())

    def lose(self, why: Exception) -> None:
        if not self.lost:
            self.lost = True
            self.protocol.connectionLost(Failure(why))

    def receive(self, data: bytes) -> None:
        if not self.lost and not self.aborted:
            self.protocol.dataReceived(data)

    def nothing(self, *_: Any) -> None:
        """Stand in for what a transport has besides."""

    def __getattr__(self, name: str) -> Any:
        if name.endswith(("Producing", "Producer")):
            return self.nothing
        raise AttributeError(name)


class Call:
    """A call that has reached a discovery."""

    def __init__(self, wire: HttpWire, query: str) -> None:
        self.wire, self.query, self.answered = wire, query, False

    def say(self, body: bytes, step: int = 0, chunked: bool = False, header: bool = True) -> None:
        """Answer, in pieces of ``step`` bytes, all at once for 0."""
        self.answered = True
        kind = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
        if chunked:
            body = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
        data = (b"HTTP/1.1 200 OK\r\n" + kind + b"\r\n\r\n") * header + body
        for at in range(0, len(data), step or len(data)):
            self.wire.receive(data[at : at + (step or len(data))])


class Discovery:
    """One discovery, or an agent: what becomes of its callers is told by ``mode``."""

    def __init__(self, net: Net, address: str) -> None:
        self.net, self.calls, self.wires = net, list[Call](), list[HttpWire]()
        self.mode = "answers"  # or "silent", "refuses", "unreachable", "held" (calls wait for the test)
        self.index, self.states = 1, {"s0": "active", "s1": "active"}
        self.since: dict[str, float] = {}  # starts, in Unix ms
        net.discoveries[address] = self

    def listing(self, snapshot: bool = True, indent: int | None = None) -> bytes:
        entries = [
            {
                "name": name,
                "address": f"10.1.0.{name[1:]}:9",
                "zone": "a",
                "group": 0,
                "status": state,
                "weight": 1.0,
                "since_ms": self.since.get(name, 0),
            }
            for name, state in self.states.items()
        ]
        told = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        return json.dumps(told, indent=indent).encode()

    def dialled(self, made: Dialled) -> None:
        if self.mode == "refuses":
            self.net.callLater(0, made.fail)
        elif self.mode != "unreachable":
            self.net.callLater(0, self._up, made)

    def _up(self, made: Dialled) -> None:
        if not made.over:
            made.over = True
            made.due.cancel()
            self.wires.append(HttpWire(self.net, self, made.factory))

    def asked(self, call: Call) -> None:
        after, _, wait = call.query.partition("&wait_ms=")
        if self.mode == "answers":
            known = after == f"?after={self.index}"
            self.net.callLater(int(wait) / 1000 if known else 0, self._over, call, known)

    def _over(self, call: Call, known: bool) -> None:
        if self.mode == "answers" and call is self.calls[-1] and not call.answered:
            call.say(self.listing() if not known else b'{"index":%d,"snapshot":false}' % self.index)

    def now_has(self, **states: str) -> None:
        """Have news, and answer the watch that is out, where it answers at all."""
        self.index += 1
        self.states |= states
        if self.mode == "answers" and self.calls and not self.calls[-1].answered:
            self.calls[-1].say(self.listing())

    def back(self) -> None:
        """Answer from here on; what was asked before is never answered."""
        self.mode = "answers"
        for call in self.calls:
            call.answered = True

    def reset(self) -> None:
        """Reset all connections."""
        for wire in self.wires:
            wire.lose(error.ConnectionLost())


@implementer(IReactorPluggableNameResolver)
class Net(FakeReactor):
    """The reactor of one relay, with discoveries on it."""

    def __init__(self) -> None:
        super().__init__()
        self.discoveries: dict[str, Discovery] = {}
        self.nameResolver = SimpleNamespace(resolveHostName=self._resolve)

    def _resolve(self, receiver: Any, host: str, **more: Any) -> None:
        receiver.resolutionBegan(None)
        receiver.addressResolved(IPv4Address("TCP", host, more["portNumber"]))
        receiver.resolutionComplete()

    def installNameResolver(self, resolver: Any) -> None:
        """Nothing."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, *_: Any, **__: Any) -> Dialled:
        made = super().connectTCP(host, port, factory, timeout)
        made.getDestination = lambda: made.address  # type: ignore[attr-defined]
        factory.startedConnecting(made)
        if at := self.discoveries.get(made.address):
            at.dialled(made)
        return made


class OneRelay:
    """A relay told of one discovery, and two more that a reload may name."""

    def __init__(self, patch: pytest.MonkeyPatch, folder: Path, pushed: bool, start: bool = True) -> None:
        self.net = Net()
        self.net.advance(1000)
        self.old, self.new, self.third = (Discovery(self.net, each) for each in (OLD, NEW, THIRD))
        self.path = folder / "c.json"
        self.file: dict[str, Any] = {
            "settings": {**SETTINGS, "Discovery": "pushed" if pushed else "on_request"},
            "known": json.loads(self.old.listing()),
        }
        self.path.write_text(json.dumps(self.file))
        patch.setenv("PROXY_CONFIG", str(self.path))
        read = config.read({"PROXY_CONFIG": str(self.path), "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": OLD})
        system = System()
        port = SimpleNamespace(
            startListening=lambda: None,
            stopListening=lambda: None,
            startReading=lambda: None,
            getHost=lambda: SimpleNamespace(port=9),
        )
        system.monotonic = system.unix = lambda: int(self.net.seconds() * 1e9)  # type: ignore[method-assign]
        system.port = lambda *_: port  # type: ignore[method-assign, assignment, return-value]
        self.relay = Relay(self.net, read, system)
        if start:
            self.relay.start()

    def run(self, seconds: float, step: float = 0.05) -> None:
        self.net.pump([step] * round(seconds / step))

    def reload(self, discovery: str = NEW, text: str = "") -> None:
        """Tell the relay of a new file, as SIGHUP does."""
        self.path.write_text(text or json.dumps({**self.file, "discovery": discovery}))
        self.relay.reload()

    def state(self, server: str) -> str:
        """Return how the decision module takes a server; nothing where it doesn't know it."""
        known = self.relay.driver.balancer.servers.get(server)
        return known.state.value if known else ""

    def sent_to(self, number: int) -> str:
        """Have a client ask, and return the address where its attempt goes, if one begins at once."""
        before = len(self.net.dialled)
        Wire(self.net, self.relay.client_factory.buildProtocol(None)).receive(
            b"OPEN %x %x c=browse,d=3000,g=5c0f\r\n" % (number, number)
        )
        attempts = [made for made in self.net.dialled[before:] if made.address not in self.net.discoveries]
        return attempts[0].address if attempts else ""
