"""A whole relay with its real HTTP client in simulated time, and scripted discoveries that it calls."""

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
OLD = "10.0.0.1:1"
NEW = "10.0.0.2:1"
THIRD = "10.0.0.3:1"


class HttpConnection:
    """A connection of the relay to a discovery, whose remote end the test controls."""

    disconnecting = False

    def __init__(self, net: FakeNet, discovery: FakeDiscovery, factory: Any) -> None:
        self.net, self.discovery = net, discovery
        self.sent, self.lost, self.aborted = b"", False, False
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        self.sent += data
        if self.sent.endswith(b"\r\n\r\n"):
            self.discovery.calls.append(ReceivedCall(self, self.sent.split(b" ")[1].decode().partition("members")[2]))
            self.sent = b""
            self.discovery.handle_call(self.discovery.calls[-1])

    def writeSequence(self, parts: list[bytes]) -> None:
        self.write(b"".join(parts))

    def loseConnection(self) -> None:
        self.net.callLater(0, self.lose, error.ConnectionDone())

    def abortConnection(self) -> None:
        self.aborted = True
        self.net.callLater(0, self.lose, error.ConnectionAborted())

    def lose(self, reason: Exception) -> None:
        if not self.lost:
            self.lost = True
            self.protocol.connectionLost(Failure(reason))

    def receive(self, data: bytes) -> None:
        if not self.lost and not self.aborted:
            self.protocol.dataReceived(data)

    def ignore(self, *_: Any) -> None:
        """Stand in for the other methods of a transport."""

    def __getattr__(self, name: str) -> Any:
        if name.endswith(("Producing", "Producer")):
            return self.ignore
        raise AttributeError(name)


class ReceivedCall:
    """A call that has reached a discovery."""

    def __init__(self, connection: HttpConnection, query: str) -> None:
        self.connection, self.query, self.answered = connection, query, False

    def reply(self, body: bytes, step: int = 0, chunked: bool = False, header: bool = True) -> None:
        """Answer in pieces of ``step`` bytes, or in one piece for 0."""
        self.answered = True
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
        if chunked:
            body = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
        data = (b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n") * header + body
        for start in range(0, len(data), step or len(data)):
            self.connection.receive(data[start : start + (step or len(data))])


class FakeDiscovery:
    """One discovery, or an agent; ``mode`` decides what happens to its callers."""

    def __init__(self, net: FakeNet, address: str) -> None:
        self.net, self.calls, self.connections = net, list[ReceivedCall](), list[HttpConnection]()
        self.mode = "answers"  # or "silent", "refuses", "unreachable", "held" (calls are answered by the test)
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
        roster = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        return json.dumps(roster, indent=indent).encode()

    def handle_dial(self, dial: Dialled) -> None:
        if self.mode == "refuses":
            self.net.callLater(0, dial.fail)
        elif self.mode != "unreachable":
            self.net.callLater(0, self._connect, dial)

    def _connect(self, dial: Dialled) -> None:
        if not dial.over:
            dial.over = True
            dial.due.cancel()
            self.connections.append(HttpConnection(self.net, self, dial.factory))

    def handle_call(self, call: ReceivedCall) -> None:
        after, _, wait = call.query.partition("&wait_ms=")
        if self.mode == "answers":
            up_to_date = after == f"?after={self.index}"
            self.net.callLater(int(wait) / 1000 if up_to_date else 0, self._answer, call, up_to_date)

    def _answer(self, call: ReceivedCall, up_to_date: bool) -> None:
        if self.mode == "answers" and call is self.calls[-1] and not call.answered:
            call.reply(self.listing() if not up_to_date else b'{"index":%d,"snapshot":false}' % self.index)

    def change_servers(self, **states: str) -> None:
        """Change the states of servers, and answer the open watch if the mode is "answers"."""
        self.index += 1
        self.states |= states
        if self.mode == "answers" and self.calls and not self.calls[-1].answered:
            self.calls[-1].reply(self.listing())

    def recover(self) -> None:
        """Answer calls from now on; earlier calls are never answered."""
        self.mode = "answers"
        for call in self.calls:
            call.answered = True

    def reset(self) -> None:
        """Break all connections."""
        for connection in self.connections:
            connection.lose(error.ConnectionLost())


@implementer(IReactorPluggableNameResolver)
class FakeNet(FakeReactor):
    """The reactor of one relay, on which the discoveries can be reached."""

    def __init__(self) -> None:
        super().__init__()
        self.discoveries: dict[str, FakeDiscovery] = {}
        self.nameResolver = SimpleNamespace(resolveHostName=self._resolve)

    def _resolve(self, receiver: Any, host: str, **more: Any) -> None:
        receiver.resolutionBegan(None)
        receiver.addressResolved(IPv4Address("TCP", host, more["portNumber"]))
        receiver.resolutionComplete()

    def installNameResolver(self, resolver: Any) -> None:
        """Keep the resolver of this class."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, *_: Any, **__: Any) -> Dialled:
        dial = super().connectTCP(host, port, factory, timeout)
        dial.getDestination = lambda: dial.address  # type: ignore[attr-defined]
        factory.startedConnecting(dial)
        if discovery := self.discoveries.get(dial.address):
            discovery.handle_dial(dial)
        return dial


class RelayHarness:
    """A relay configured for one discovery, and two more discoveries that a reload may name."""

    def __init__(self, patch: pytest.MonkeyPatch, folder: Path, pushed: bool, start: bool = True) -> None:
        self.net = FakeNet()
        self.net.advance(1000)
        self.old, self.new, self.third = (FakeDiscovery(self.net, address) for address in (OLD, NEW, THIRD))
        self.path = folder / "c.json"
        self.file: dict[str, Any] = {
            "settings": {**SETTINGS, "Discovery": "pushed" if pushed else "on_request"},
            "known": json.loads(self.old.listing()),
        }
        self.path.write_text(json.dumps(self.file))
        patch.setenv("PROXY_CONFIG", str(self.path))
        configuration = config.read(
            {"PROXY_CONFIG": str(self.path), "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": OLD}
        )
        system = System()
        port = SimpleNamespace(
            startListening=lambda: None,
            stopListening=lambda: None,
            startReading=lambda: None,
            getHost=lambda: SimpleNamespace(port=9),
        )
        system.monotonic = system.unix = lambda: int(self.net.seconds() * 1e9)  # type: ignore[method-assign]
        system.port = lambda *_: port  # type: ignore[method-assign, assignment, return-value]
        self.relay = Relay(self.net, configuration, system)
        if start:
            self.relay.start()

    def run(self, seconds: float, step: float = 0.05) -> None:
        self.net.pump([step] * round(seconds / step))

    def reload(self, discovery: str = NEW, text: str = "") -> None:
        """Write a new configuration file, and have the relay read it as on SIGHUP."""
        self.path.write_text(text or json.dumps({**self.file, "discovery": discovery}))
        self.relay.reload()

    def state(self, server: str) -> str:
        """Return the state of a server in the decision module; "" if it does not know the server."""
        known = self.relay.driver.balancer.servers.get(server)
        return known.state.value if known else ""

    def attempt_address(self, number: int) -> str:
        """Send a client's request; return the address of the attempt that starts at once, "" if none does."""
        before = len(self.net.dialled)
        Wire(self.net, self.relay.client_factory.buildProtocol(None)).receive(
            b"OPEN %x %x c=browse,d=3000,g=5c0f\r\n" % (number, number)
        )
        attempts = [dial for dial in self.net.dialled[before:] if dial.address not in self.net.discoveries]
        return attempts[0].address if attempts else ""
