"""Twisted's interfaces on simulated sockets: one reactor for each relay's process.

A process has one core: its events, reads and calls wait in one queue, and each entry costs the core time of the
scenario's model. Its descriptors are counted; past the limit a connection is not accepted, as with EMFILE.
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
READ_BYTES = 1 << 16  # most bytes per read
MAX_ACCEPTS = 16  # connections accepted in one call
INITIAL_DESCRIPTORS = 3  # of a process before it opens any


class Process:
    """A relay's process: one core that makes one call after another, and a count of open descriptors."""

    def __init__(
        self, net: Net, machine: Machine, cost_ns: int, max_descriptors: int, crashed: Callable[[BaseException], None]
    ) -> None:
        """``cost_ns`` is the core time of each call; ``crashed`` is called with an exception that a call raises."""
        self.net, self.machine, self.cost_ns, self.max_descriptors = net, machine, cost_ns, max_descriptors
        self.crashed = crashed
        self.alive = True
        self.open_descriptors = INITIAL_DESCRIPTORS
        self.max_open_descriptors = INITIAL_DESCRIPTORS
        self.busy_until = 0
        self._queue: deque[Callable[[], object]] = deque()
        self._work_scheduled = False

    def call_soon(self, call: Callable[[], object]) -> None:
        """Queue a call; it is made when the earlier ones are done."""
        if not self.alive:
            return
        self._queue.append(call)
        if not self._work_scheduled:
            self._work_scheduled = True
            self.net.kernel.at(self.busy_until, self._make_next_call)

    def open_descriptor(self) -> bool:
        """Open one descriptor; return False if none is left."""
        if self.open_descriptors >= self.max_descriptors:
            return False
        self.open_descriptors += 1
        self.max_open_descriptors = max(self.max_open_descriptors, self.open_descriptors)
        return True

    def close_descriptor(self) -> None:
        """Close one descriptor."""
        self.open_descriptors -= 1

    def _make_next_call(self) -> None:
        if not self.alive or not self._queue:
            self._work_scheduled = False
            return
        call = self._queue.popleft()
        try:
            call()
        except Exception as failure:  # crashes only this process; the run continues
            self.crashed(failure)
        self.busy_until = self.net.kernel.now + self.cost_ns
        self.net.kernel.at(self.busy_until, self._make_next_call)


@implementer(IDelayedCall)
class DelayedCall:
    """A call that is scheduled for later."""

    def __init__(
        self, reactor: SimReactor, at: int, call: Callable[..., object], args: tuple[Any, ...], named: dict[str, Any]
    ) -> None:
        self.reactor, self.at = reactor, at
        self.call, self.args, self.named = call, args, named
        self.called = self.cancelled = False
        self._schedule()

    def cancel(self) -> None:
        """Cancel the call; raise AlreadyCancelled or AlreadyCalled if it is no longer pending."""
        if self.cancelled:
            raise error.AlreadyCancelled
        if self.called:
            raise error.AlreadyCalled
        self.cancelled = True
        self._scheduled.cancel()

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return not (self.called or self.cancelled)

    def getTime(self) -> float:  # noqa: N802
        """Return the time of the call, in seconds."""
        return self.at / SECOND

    def reset(self, secondsFromNow: float) -> None:  # noqa: N802, N803
        """Reschedule the call to so many seconds from now, if it is pending."""
        self._reschedule(self.reactor.net.kernel.now + int(secondsFromNow * SECOND))

    def delay(self, secondsLater: float) -> None:  # noqa: N802, N803
        """Delay the call by so many seconds, if it is pending."""
        self._reschedule(self.at + int(secondsLater * SECOND))

    def _reschedule(self, at: int) -> None:
        if self.active():
            self._scheduled.cancel()
            self.at = at
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled: ScheduledCall = self.reactor.net.kernel.at(
            self.at, lambda: self.reactor.process.call_soon(self._run)
        )

    def _run(self) -> None:
        if self.active():
            self.called = True
            self.call(*self.args, **self.named)


@implementer(ITCPTransport)
class Transport:
    """One end of a connection, as Twisted's protocols see it; it behaves like those of twisted.internet.abstract."""

    disconnecting = False

    def __init__(self, reactor: SimReactor, end: End, protocol: Any) -> None:
        self.reactor, self.end, self.protocol = reactor, end, protocol
        self.bufferSize = READ_BYTES
        self.buffer = b""
        self.producer: Any = None
        self.streaming = True
        self.producer_paused = False
        self.reading, self.lost = True, False
        self.half_close_requested = self.half_closed = False
        self.connector: Connector | None = None
        self._write_due = self._read_due = False
        end.owner = self

    # Interface EndOwner

    def readable(self) -> None:
        """Handle the arrival of data or of the end of the stream."""
        if self.reading and not self.lost and not self._read_due:
            self._read_due = True
            self.reactor.process.call_soon(self._read)

    def writable(self) -> None:
        """Handle that there is room to write again."""
        self._write_soon()

    def was_reset(self) -> None:
        """Handle a reset by the other end."""
        self.reactor.process.call_soon(lambda: self._lose(error.ConnectionLost("reset")))

    def doRead(self) -> None:  # noqa: N802
        """Read available data and pass it to the protocol."""
        self._read()

    def doWrite(self) -> None:  # noqa: N802
        """Write as much queued data as the connection accepts now."""
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
            if self.end.inbox or self.end.fin_received:
                self.readable()
        else:
            self._peer_ended()

    def _peer_ended(self) -> None:
        self.reading = False
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self.protocol.readConnectionLost()
            if self.half_closed and not self.lost:
                self._lose(error.ConnectionDone())
        else:
            self._lose(error.ConnectionDone())

    def _write_soon(self) -> None:
        if not self._write_due and not self.lost:
            self._write_due = True
            self.reactor.process.call_soon(self._write)

    def _write(self) -> None:
        self._write_due = False
        if self.lost:
            return
        if self.buffer:
            try:
                accepted = self.end.send(self.buffer)
            except BrokenPipeError:
                self._lose(error.ConnectionLost("the connection can no longer be written to"))
                return
            self.buffer = self.buffer[accepted:]
            if self.buffer:
                return  # ``writable`` is called when there is room
        if self.producer is not None and (not self.streaming or self.producer_paused):
            self.producer_paused = False
            self.producer.resumeProducing()
        elif self.disconnecting:
            self._lose(error.ConnectionDone())
        elif self.half_close_requested and not self.half_closed:
            self._end_writes()

    def _end_writes(self) -> None:
        self.half_closed = True
        self.end.end_sending()
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self.protocol.writeConnectionLost()
        if self.end.fin_received and not self.end.inbox and not self.reading:
            self._lose(error.ConnectionDone())

    def _lose(self, reason: Exception, abort: bool = False) -> None:
        if self.lost:
            return
        self.lost, self.reading = True, False
        self.end.owner = None
        if abort:
            self.end.abort()
        else:
            self.end.close()
        self.reactor.remove_transport(self)
        if self.producer is not None:
            self.producer.stopProducing()
            self.producer = None
        self.protocol.connectionLost(Failure(reason))
        if self.connector is not None:
            self.connector.lost(Failure(reason))

    # Twisted's interface

    def write(self, data: bytes) -> None:
        """Queue data to be written."""
        if self.lost or self.half_close_requested or not data:
            return
        self.buffer += data
        if (
            self.producer is not None
            and self.streaming
            and len(self.buffer) > self.bufferSize
            and not self.producer_paused
        ):
            self.producer_paused = True
            self.producer.pauseProducing()
        self._write_soon()

    def writeSequence(self, data: Sequence[bytes]) -> None:  # noqa: N802
        """Queue several pieces of data to be written."""
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Write the queued data, then close."""
        if not self.lost and not self.disconnecting:
            self.disconnecting = True
            self._write_soon()

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Write the queued data, then half-close."""
        self.half_close_requested = True
        self._write_soon()

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection; the protocol's ``connectionLost`` is called from the loop, not from here."""
        if self.lost or self.disconnecting is None:
            return
        self.reading = False
        self.buffer = b""
        self.reactor.process.call_soon(lambda: self._lose(error.ConnectionAborted(), True))

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the connection."""
        self.reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the connection."""
        if not self.lost and not self.disconnecting:
            self.reading = True
            if self.end.inbox or self.end.fin_received or self.end.broken:
                self.readable()

    def stopProducing(self) -> None:  # noqa: N802
        """Close the connection once the queued data is written."""
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Register a producer: a streaming one is paused while too much is queued, another is asked for more data.

        Raise RuntimeError if one is registered already.
        """
        if self.producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.lost:
            producer.stopProducing()
            return
        self.producer, self.streaming, self.producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister the producer."""
        self.producer = None
        if not self.lost and (self.disconnecting or self.buffer or self.half_close_requested):
            self._write_soon()

    def stopReading(self) -> None:  # noqa: N802
        """Stop reading from the connection."""
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        """Resume reading from the connection."""
        self.resumeProducing()

    def stopWriting(self) -> None:  # noqa: N802
        """Do nothing: writing is not stopped separately."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return the simulated end of the connection."""
        return self.end

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return this end's address."""
        return IPv4Address("TCP", *self.end.local)

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Return the other end's address."""
        return IPv4Address("TCP", *self.end.remote)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing: short writes are always sent at once."""

    def getTcpNoDelay(self) -> bool:  # noqa: N802
        """Return whether short writes are sent at once: always."""
        return True

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing: TCP keep-alive is not simulated."""

    def getTcpKeepAlive(self) -> bool:  # noqa: N802
        """Return whether TCP keep-alive is on: never."""
        return False


@implementer(IConnector)
class Connector:
    """A connection that is opened for a client factory."""

    def __init__(self, reactor: SimReactor, host: str, port: int, factory: Any, timeout: float) -> None:
        self.reactor, self.host, self.port, self.factory = reactor, host, port, factory
        self.transport: Transport | None = None
        self.settled = False
        factory.doStart()
        factory.startedConnecting(self)
        self.timer: DelayedCall | None = None
        if not reactor.process.open_descriptor():
            reactor.callLater(0, self._on_failed, error.ConnectBindError(EMFILE, "too many open files"), False)
            return
        self.timer = reactor.callLater(timeout, self._on_failed, error.TimeoutError())
        self.dial: Dial | None = reactor.net.dial(
            reactor.process.machine,
            reactor.host,
            (host, port),
            lambda end: reactor.process.call_soon(lambda: self._on_connected(end)),
            lambda: reactor.process.call_soon(lambda: self._on_failed(error.ConnectionRefusedError())),
        )

    def stopConnecting(self) -> None:  # noqa: N802
        """Abandon the attempt, and report a failure to the factory."""
        self._on_failed(error.UserError())

    def disconnect(self) -> None:
        """Close the connection, or abandon the attempt."""
        if self.transport is not None:
            self.transport.loseConnection()
        else:
            self.stopConnecting()

    def connect(self) -> None:
        """Do nothing: the relay opens a new connection instead of reconnecting one that failed."""

    def getDestination(self) -> IPv4Address:  # noqa: N802
        """Return the address that it connects to."""
        return IPv4Address("TCP", self.host, self.port)

    def lost(self, reason: Failure) -> None:
        """Handle the end of the connection."""
        self.factory.clientConnectionLost(self, reason)
        self.factory.doStop()

    def _on_connected(self, end: End) -> None:
        if self.settled:
            end.abort()
            return
        self._settle()
        protocol = self.factory.buildProtocol(IPv4Address("TCP", self.host, self.port))
        if protocol is None:
            end.abort()
            self.reactor.process.close_descriptor()
            return
        self.transport = Transport(self.reactor, end, protocol)
        self.transport.connector = self
        self.reactor.add_transport(self.transport)
        protocol.makeConnection(self.transport)

    def _on_failed(self, reason: Exception, opened: bool = True) -> None:
        if self.settled:
            return
        self._settle()
        if opened:
            self.reactor.process.close_descriptor()
            if self.dial is not None:
                self.dial.stop()
        self.factory.clientConnectionFailed(self, Failure(reason))
        self.factory.doStop()

    def _settle(self) -> None:
        self.settled = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


@implementer(IListeningPort)
class Port:
    """A listening socket."""

    def __init__(self, reactor: SimReactor, host: str, port: int, factory: Any, backlog: int) -> None:
        self.reactor, self.host, self.port, self.factory, self.backlog = reactor, host, port, factory, backlog
        self.listener: Listener | None = None
        self.reading = True
        self._accept_due = False

    def startListening(self) -> None:  # noqa: N802
        """Open the socket, or resume accepting connections; raise CannotListenError if the address is in use."""
        if self.listener is not None:
            self.startReading()
            return
        try:
            self.listener = self.reactor.net.listen(
                self.reactor.process.machine, (self.host, self.port), self.backlog, self._on_ready
            )
        except OSError as failure:
            raise error.CannotListenError(self.host, self.port, failure) from None
        self.reactor.process.open_descriptor()
        self.factory.doStart()

    def stopListening(self) -> None:  # noqa: N802
        """Close the socket."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
            self.reactor.process.close_descriptor()
            self.factory.doStop()

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return the address that it listens on."""
        return IPv4Address("TCP", self.host, self.port)

    def fileno(self) -> int:
        """Raise OSError: there is no descriptor that another process could adopt."""
        raise OSError("a simulated socket has no descriptor")

    def stopReading(self) -> None:  # noqa: N802
        """Stop accepting connections."""
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        """Resume accepting connections."""
        self.reading = True
        self._on_ready()

    def _on_ready(self) -> None:
        if self.reading and not self._accept_due:
            self._accept_due = True
            self.reactor.process.call_soon(self._accept)

    def _accept(self) -> None:
        self._accept_due = False
        for _ in range(MAX_ACCEPTS):
            if self.listener is None or not self.listener.queue:
                return
            if not self.reactor.process.open_descriptor():
                # No descriptor is left: connections wait in the queue, as with EMFILE.
                self.reactor.callLater(1.0, self._on_ready)
                return
            end = self.listener.accept()
            if end is None:
                self.reactor.process.close_descriptor()
                return
            self._open_connection(end)
        self._on_ready()

    def _open_connection(self, end: End) -> None:
        protocol = self.factory.buildProtocol(IPv4Address("TCP", *end.remote))
        if protocol is None:
            end.close()
            self.reactor.process.close_descriptor()
            return
        transport = Transport(self.reactor, end, protocol)
        self.reactor.add_transport(transport)
        protocol.makeConnection(transport)
        end.notify_owner()


@implementer(IHostResolution)
class _Resolution:
    """The resolution of a name, which is always complete."""

    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Do nothing: the resolution is complete."""


class _NameResolver:
    """A resolver that takes every name for an address."""

    def resolveHostName(self, receiver: Any, hostName: str, portNumber: int = 0, *_: Any, **__: Any) -> _Resolution:  # noqa: N802, N803
        """Resolve a name at once, to itself."""
        resolution = _Resolution(hostName)
        receiver.resolutionBegan(resolution)
        receiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        receiver.resolutionComplete()
        return resolution


@implementer(IReactorCore, IReactorTime, IReactorTCP, IReactorPluggableNameResolver)
class SimReactor:
    """The reactor of one process."""

    def __init__(self, net: Net, process: Process, host: str) -> None:
        self.net, self.process, self.host = net, process, host
        self.nameResolver = _NameResolver()
        self.transports: dict[Transport, None] = {}
        self.stopped: Callable[[], None] = lambda: None
        self.running = True

    # Time

    def seconds(self) -> float:
        """Return the simulated time, in seconds."""
        return self.net.kernel.now / SECOND

    def callLater(self, delay: float, call: Callable[..., object], *args: Any, **named: Any) -> DelayedCall:  # noqa: N802
        """Schedule a call after so many seconds."""
        return DelayedCall(self, self.net.kernel.now + max(0, int(delay * SECOND)), call, args, named)

    def getDelayedCalls(self) -> list[DelayedCall]:  # noqa: N802
        """Return no calls: owners of delayed calls keep them."""
        return []

    # Sockets

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None) -> Connector:  # noqa: N802, N803
        """Open a TCP connection; ``timeout`` is in seconds."""
        return Connector(self, host, port, factory, timeout)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: N802
        """Open a listening socket; raise CannotListenError if the address is in use."""
        listening = Port(self, interface or self.host, port, factory, backlog)
        listening.startListening()
        return listening

    def connectUNIX(self, address: str, factory: Any, timeout: float) -> Connector:  # noqa: N802
        """Raise OSError: Unix sockets are not simulated."""
        raise OSError("Unix sockets are not simulated")

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> object:  # noqa: N802
        """Raise OSError: passing of descriptors is not simulated."""
        raise OSError("passing of descriptors is not simulated")

    def getWriters(self) -> list[Any]:  # noqa: N802
        """Return the transports with queued data."""
        return [transport for transport in self.transports if transport.buffer]

    def add_transport(self, transport: Transport) -> None:
        """Register the transport of a new connection."""
        self.transports[transport] = None

    def remove_transport(self, transport: Transport) -> None:
        """Remove the transport of a closed connection, and close its descriptor."""
        self.transports.pop(transport, None)
        self.process.close_descriptor()

    # The program

    def callWhenRunning(self, call: Callable[..., object], *args: Any, **named: Any) -> None:  # noqa: N802
        """Queue a call: the reactor runs from the start."""
        self.process.call_soon(lambda: call(*args, **named))

    def callFromThread(self, call: Callable[..., object], *args: Any, **named: Any) -> None:  # noqa: N802
        """Queue a call to be made from the loop."""
        self.process.call_soon(lambda: call(*args, **named))

    def addSystemEventTrigger(self, *_: Any, **__: Any) -> None:  # noqa: N802
        """Do nothing: the host stops processes."""

    def removeSystemEventTrigger(self, *_: Any) -> None:  # noqa: N802
        """Do nothing: no trigger is registered."""

    def fireSystemEvent(self, *_: Any) -> None:  # noqa: N802
        """Do nothing: no trigger is registered."""

    def resolve(self, name: str, timeout: Sequence[int] = ()) -> Any:
        """Return a name unchanged, as an address."""
        from twisted.internet.defer import succeed

        return succeed(name)

    def run(self) -> None:
        """Do nothing: the host runs all reactors."""

    def iterate(self, delay: float = 0) -> None:
        """Do nothing: the host runs all reactors."""

    def crash(self) -> None:
        """Stop the program."""
        self.stop()

    def stop(self) -> None:
        """Stop the program; ``stopped`` is called once."""
        if self.running:
            self.running = False
            self.stopped()
