"""Twisted's interfaces on simulated sockets: one reactor for each relay's process.

A process has one core: what it hears, reads and is called for waits in one row, and each entry costs time by the stated
model. Its descriptors are counted; past the limit a connection is not accepted, as with EMFILE.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from errno import EMFILE
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import (
    IConnector,
    IDelayedCall,
    IHalfCloseableProtocol,
    IHostResolution,
    IListeningPort,
    IReactorCore,
    IReactorPluggableNameResolver,
    IReactorTCP,
    IReactorTime,
    ITCPTransport,
)
from twisted.python.failure import Failure
from zope.interface import implementer

from scaledeal.lab.hosts.relay.sockets import Dial, End, Listener, Machine, Net
from scaledeal.lab.kernel import ScheduledCall

SECOND = 1_000_000_000
READ = 1 << 16
ACCEPTS = 16  # connections taken in one go
OWN = 3  # descriptors of a process before it opens any


class Process:
    """One core that does one thing after another, and a table of descriptors."""

    def __init__(
        self, net: Net, machine: Machine, cost: int, descriptors: int, crashed: Callable[[BaseException], None]
    ) -> None:
        """``cost`` is the ns of its core for each thing that it does."""
        self.net, self.machine, self.cost, self.most = net, machine, cost, descriptors
        self.crashed = crashed
        self.alive = True
        self.held = OWN
        self.highest = OWN
        self.busy_until = 0
        self._row: deque[Callable[[], object]] = deque()
        self._working = False

    def do(self, call: Callable[[], object]) -> None:
        """Do something when what came before is done."""
        if not self.alive:
            return
        self._row.append(call)
        if not self._working:
            self._working = True
            self.net.kernel.at(self.busy_until, self._work)

    def takes(self) -> bool:
        """Take one descriptor; False where there is none left."""
        if self.held >= self.most:
            return False
        self.held += 1
        self.highest = max(self.highest, self.held)
        return True

    def gives_back(self) -> None:
        """Give one back."""
        self.held -= 1

    def _work(self) -> None:
        if not self.alive or not self._row:
            self._working = False
            return
        call = self._row.popleft()
        try:
            call()
        except Exception as failure:  # what reaches the loop ends the program: told as its crash, the world goes on
            self.crashed(failure)
        self.busy_until = self.net.kernel.now + self.cost
        self.net.kernel.at(self.busy_until, self._work)


@implementer(IDelayedCall)
class DelayedCall:
    """A call that is due later."""

    def __init__(
        self, reactor: SimReactor, at: int, call: Callable[..., object], args: tuple[Any, ...], named: dict[str, Any]
    ) -> None:
        self.reactor, self.at = reactor, at
        self.call, self.args, self.named = call, args, named
        self.called = self.cancelled = False
        self._plan()

    def cancel(self) -> None:
        """Take the call back."""
        if self.cancelled:
            raise error.AlreadyCancelled
        if self.called:
            raise error.AlreadyCalled
        self.cancelled = True
        self._moment.cancel()

    def active(self) -> bool:
        """Tell whether it is still to come."""
        return not (self.called or self.cancelled)

    def getTime(self) -> float:  # noqa: N802
        """Return its moment, in seconds."""
        return self.at / SECOND

    def reset(self, secondsFromNow: float) -> None:  # noqa: N802, N803
        """Have it come so many seconds from now."""
        self._again(self.reactor.net.kernel.now + int(secondsFromNow * SECOND))

    def delay(self, secondsLater: float) -> None:  # noqa: N802, N803
        """Have it come so many seconds later."""
        self._again(self.at + int(secondsLater * SECOND))

    def _again(self, at: int) -> None:
        if self.active():
            self._moment.cancel()
            self.at = at
            self._plan()

    def _plan(self) -> None:
        self._moment: ScheduledCall = self.reactor.net.kernel.at(self.at, lambda: self.reactor.process.do(self._due))

    def _due(self) -> None:
        if self.active():
            self.called = True
            self.call(*self.args, **self.named)


@implementer(ITCPTransport)
class Transport:
    """One end of a connection, as Twisted's protocols see it; its laws are those of twisted.internet.abstract."""

    disconnecting = False

    def __init__(self, reactor: SimReactor, end: End, protocol: Any) -> None:
        self.reactor, self.end, self.protocol = reactor, end, protocol
        self.bufferSize = READ
        self.buffer = b""
        self.producer: Any = None
        self.streaming = True
        self.paused = False  # the producer
        self.reading, self.lost = True, False
        self.ending_writes = self.writes_ended = False
        self.connector: Connector | None = None
        self._due = self._read_due = False
        end.owner = self

    # The socket

    def readable(self) -> None:
        """Hear that there is something to read."""
        if self.reading and not self.lost and not self._read_due:
            self._read_due = True
            self.reactor.process.do(self._read)

    def writable(self) -> None:
        """Hear that there is room to write."""
        self._write_soon()

    def was_reset(self) -> None:
        """Hear that the connection broke."""
        self.reactor.process.do(lambda: self._lose(error.ConnectionLost("reset")))

    def doRead(self) -> None:  # noqa: N802
        """Read what has come, and hand it on."""
        self._read()

    def doWrite(self) -> None:  # noqa: N802
        """Write of what is queued as much as the peer takes now."""
        self._write()

    def _read(self) -> None:
        self._read_due = False
        if not self.reading or self.lost:
            return
        try:
            data = self.end.recv(self.bufferSize)
        except ConnectionResetError:
            self._lose(error.ConnectionLost("reset"))
            return
        if data is None:
            return
        if data:
            self.protocol.dataReceived(data)
            if self.end.inbox or self.end.fin_came:
                self.readable()
        else:
            self._peer_ended()

    def _peer_ended(self) -> None:
        self.reading = False
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self.protocol.readConnectionLost()
            if self.writes_ended and not self.lost:
                self._lose(error.ConnectionDone())
        else:
            self._lose(error.ConnectionDone())

    def _write_soon(self) -> None:
        if not self._due and not self.lost:
            self._due = True
            self.reactor.process.do(self._write)

    def _write(self) -> None:
        self._due = False
        if self.lost:
            return
        if self.buffer:
            try:
                taken = self.end.send(self.buffer)
            except BrokenPipeError:
                self._lose(error.ConnectionLost("nobody reads"))
                return
            self.buffer = self.buffer[taken:]
            if self.buffer:
                return  # the socket tells when there is room
        if self.producer is not None and (not self.streaming or self.paused):
            self.paused = False
            self.producer.resumeProducing()
        elif self.disconnecting:
            self._lose(error.ConnectionDone())
        elif self.ending_writes and not self.writes_ended:
            self._end_writes()

    def _end_writes(self) -> None:
        self.writes_ended = True
        self.end.end_sending()
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self.protocol.writeConnectionLost()
        if self.end.fin_came and not self.end.inbox and not self.reading:
            self._lose(error.ConnectionDone())

    def _lose(self, why: Exception, abort: bool = False) -> None:
        if self.lost:
            return
        self.lost, self.reading = True, False
        self.end.owner = None
        if abort:
            self.end.abort()
        else:
            self.end.close()
        self.reactor.gone(self)
        if self.producer is not None:
            self.producer.stopProducing()
            self.producer = None
        self.protocol.connectionLost(Failure(why))
        if self.connector is not None:
            self.connector.lost(Failure(why))

    # Twisted's side

    def write(self, data: bytes) -> None:
        """Queue bytes."""
        if self.lost or self.ending_writes or not data:
            return
        self.buffer += data
        if self.producer is not None and self.streaming and len(self.buffer) > self.bufferSize and not self.paused:
            self.paused = True
            self.producer.pauseProducing()
        self._write_soon()

    def writeSequence(self, data: Sequence[bytes]) -> None:  # noqa: N802
        """Queue several pieces."""
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Write what is queued, then close."""
        if not self.lost and not self.disconnecting:
            self.disconnecting = True
            self._write_soon()

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Write what is queued, then end the sending."""
        self.ending_writes = True
        self._write_soon()

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection; its protocol hears of that in the next round."""
        if self.lost or self.disconnecting is None:
            return
        self.reading = False
        self.buffer = b""
        self.reactor.process.do(lambda: self._lose(error.ConnectionAborted(), True))

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""
        self.reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        if not self.lost and not self.disconnecting:
            self.reading = True
            if self.end.inbox or self.end.fin_came or self.end.broken:
                self.readable()

    def stopProducing(self) -> None:  # noqa: N802
        """Close."""
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Name who is to pause while too much is queued, or who is asked for more."""
        if self.producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.lost:
            producer.stopProducing()
            return
        self.producer, self.streaming, self.paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget that."""
        self.producer = None
        if not self.lost and (self.disconnecting or self.buffer or self.ending_writes):
            self._write_soon()

    def stopReading(self) -> None:  # noqa: N802
        """Stop reading."""
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        """Read on."""
        self.resumeProducing()

    def stopWriting(self) -> None:  # noqa: N802
        """Write no more."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return the socket."""
        return self.end

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return this end's address."""
        return IPv4Address("TCP", *self.end.local)

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Return the other end's address."""
        return IPv4Address("TCP", *self.end.remote)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing: lines are sent at once."""

    def getTcpNoDelay(self) -> bool:  # noqa: N802
        """Tell whether short lines are sent at once."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Nothing: it would not notice."""

    def getTcpKeepAlive(self) -> bool:  # noqa: N802
        """Tell whether keep-alive is on."""
        return False


@implementer(IConnector)
class Connector:
    """A connection that a client factory opens."""

    def __init__(self, reactor: SimReactor, host: str, port: int, factory: Any, timeout: float) -> None:
        self.reactor, self.host, self.port, self.factory = reactor, host, port, factory
        self.transport: Transport | None = None
        self.over = False
        factory.doStart()
        factory.startedConnecting(self)
        self.timer: DelayedCall | None = None
        if not reactor.process.takes():
            reactor.callLater(0, self._failed, error.ConnectBindError(EMFILE, "too many open files"), False)
            return
        self.timer = reactor.callLater(timeout, self._failed, error.TimeoutError())
        self.dial: Dial | None = reactor.net.dial(
            reactor.process.machine,
            reactor.host,
            (host, port),
            lambda end: reactor.process.do(lambda: self._up(end)),
            lambda: reactor.process.do(lambda: self._failed(error.ConnectionRefusedError())),
        )

    def stopConnecting(self) -> None:  # noqa: N802
        """Give it up."""
        self._failed(error.UserError())

    def disconnect(self) -> None:
        """Close it."""
        if self.transport is not None:
            self.transport.loseConnection()
        else:
            self.stopConnecting()

    def connect(self) -> None:
        """Nothing: a connection that failed is opened anew by whoever wants it."""

    def getDestination(self) -> IPv4Address:  # noqa: N802
        """Return where it goes."""
        return IPv4Address("TCP", self.host, self.port)

    def lost(self, why: Failure) -> None:
        """Hear that the connection is over."""
        self.factory.clientConnectionLost(self, why)
        self.factory.doStop()

    def _up(self, end: End) -> None:
        if self.over:
            end.abort()
            return
        self._settle()
        protocol = self.factory.buildProtocol(IPv4Address("TCP", self.host, self.port))
        if protocol is None:
            end.abort()
            self.reactor.process.gives_back()
            return
        self.transport = Transport(self.reactor, end, protocol)
        self.transport.connector = self
        self.reactor.come(self.transport)
        protocol.makeConnection(self.transport)

    def _failed(self, why: Exception, opened: bool = True) -> None:
        if self.over:
            return
        self._settle()
        if opened:
            self.reactor.process.gives_back()
            if self.dial is not None:
                self.dial.stop()
        self.factory.clientConnectionFailed(self, Failure(why))
        self.factory.doStop()

    def _settle(self) -> None:
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


@implementer(IListeningPort)
class Port:
    """A listening socket."""

    def __init__(self, reactor: SimReactor, host: str, port: int, factory: Any, backlog: int) -> None:
        self.reactor, self.host, self.port, self.factory, self.backlog = reactor, host, port, factory, backlog
        self.listener: Listener | None = None
        self.reading = True
        self._due = False

    def startListening(self) -> None:  # noqa: N802
        """Open it, or take connections again."""
        if self.listener is not None:
            self.startReading()
            return
        try:
            self.listener = self.reactor.net.listen(
                self.reactor.process.machine, (self.host, self.port), self.backlog, self._ready
            )
        except OSError as failure:
            raise error.CannotListenError(self.host, self.port, failure) from None
        self.reactor.process.takes()
        self.factory.doStart()

    def stopListening(self) -> None:  # noqa: N802
        """Close it."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
            self.reactor.process.gives_back()
            self.factory.doStop()

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return its address."""
        return IPv4Address("TCP", self.host, self.port)

    def fileno(self) -> int:
        """Raise: there is no descriptor that another process could take."""
        raise OSError("a simulated socket has no descriptor")

    def stopReading(self) -> None:  # noqa: N802
        """Take no connections."""
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        """Take connections again."""
        self.reading = True
        self._ready()

    def _ready(self) -> None:
        if self.reading and not self._due:
            self._due = True
            self.reactor.process.do(self._accept)

    def _accept(self) -> None:
        self._due = False
        for _ in range(ACCEPTS):
            if self.listener is None or not self.listener.queue:
                return
            if not self.reactor.process.takes():
                self.reactor.callLater(1.0, self._ready)  # no descriptor: they wait in the queue, as with EMFILE
                return
            end = self.listener.accept()
            if end is None:
                self.reactor.process.gives_back()
                return
            self._taken(end)
        self._ready()

    def _taken(self, end: End) -> None:
        protocol = self.factory.buildProtocol(IPv4Address("TCP", *end.remote))
        if protocol is None:
            end.close()
            self.reactor.process.gives_back()
            return
        transport = Transport(self.reactor, end, protocol)
        self.reactor.come(transport)
        protocol.makeConnection(transport)
        end.tell()


@implementer(IHostResolution)
class _Resolved:
    """A name that was resolved."""

    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Nothing: it is done."""


class _Names:
    """Names are addresses here."""

    def resolveHostName(self, receiver: Any, hostName: str, portNumber: int = 0, *_: Any, **__: Any) -> _Resolved:  # noqa: N802, N803
        """Resolve at once."""
        resolved = _Resolved(hostName)
        receiver.resolutionBegan(resolved)
        receiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        receiver.resolutionComplete()
        return resolved


@implementer(IReactorCore, IReactorTime, IReactorTCP, IReactorPluggableNameResolver)
class SimReactor:
    """The reactor of one process."""

    def __init__(self, net: Net, process: Process, host: str) -> None:
        self.net, self.process, self.host = net, process, host
        self.nameResolver = _Names()
        self.transports: dict[Transport, None] = {}
        self.stopped: Callable[[], None] = lambda: None
        self.running = True

    # Time

    def seconds(self) -> float:
        """Return the time, in seconds."""
        return self.net.kernel.now / SECOND

    def callLater(self, delay: float, call: Callable[..., object], *args: Any, **named: Any) -> DelayedCall:  # noqa: N802
        """Call after so many seconds."""
        return DelayedCall(self, self.net.kernel.now + max(0, int(delay * SECOND)), call, args, named)

    def getDelayedCalls(self) -> list[DelayedCall]:  # noqa: N802
        """Return none: who owns a call knows it."""
        return []

    # Sockets

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None) -> Connector:  # noqa: N802, N803
        """Open a connection."""
        return Connector(self, host, port, factory, timeout)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: N802
        """Listen."""
        made = Port(self, interface or self.host, port, factory, backlog)
        made.startListening()
        return made

    def connectUNIX(self, address: str, factory: Any, timeout: float) -> Connector:  # noqa: N802
        """Raise: nobody comes to a Unix socket here."""
        raise OSError("no Unix sockets in the laboratory")

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> object:  # noqa: N802
        """Raise: there are no descriptors to adopt."""
        raise OSError("no descriptors in the laboratory")

    def getWriters(self) -> list[Any]:  # noqa: N802
        """Return the transports that have something to write."""
        return [transport for transport in self.transports if transport.buffer]

    def come(self, transport: Transport) -> None:
        """Hear of a connection that stands."""
        self.transports[transport] = None

    def gone(self, transport: Transport) -> None:
        """Hear that one is over."""
        self.transports.pop(transport, None)
        self.process.gives_back()

    # The program

    def callWhenRunning(self, call: Callable[..., object], *args: Any, **named: Any) -> None:  # noqa: N802
        """Call now: it runs."""
        self.process.do(lambda: call(*args, **named))

    def callFromThread(self, call: Callable[..., object], *args: Any, **named: Any) -> None:  # noqa: N802
        """Call from the loop."""
        self.process.do(lambda: call(*args, **named))

    def addSystemEventTrigger(self, *_: Any, **__: Any) -> None:  # noqa: N802
        """Nothing: the host ends processes."""

    def removeSystemEventTrigger(self, *_: Any) -> None:  # noqa: N802
        """Nothing."""

    def fireSystemEvent(self, *_: Any) -> None:  # noqa: N802
        """Nothing."""

    def resolve(self, name: str, timeout: Sequence[int] = ()) -> Any:
        """Return a name as it is."""
        from twisted.internet.defer import succeed

        return succeed(name)

    def run(self) -> None:
        """Nothing: the host runs all of them."""

    def iterate(self, delay: float = 0) -> None:
        """Nothing: the host runs all of them."""

    def crash(self) -> None:
        """End."""
        self.stop()

    def stop(self) -> None:
        """End the program."""
        if self.running:
            self.running = False
            self.stopped()
