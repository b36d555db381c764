"""TCP as programs see it, in simulated time.

Modelled are network delay and its jitter, with delivery in order; segments; a window that fills when the reader does
not read; half-closes, resets, data for a closed end and accept queues that overflow; cut paths, over which segments
wait until the path works again; and machines that vanish silently. Not modelled are loss on a working path, congestion,
and TCP's own timers, except for the retries over a cut path.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import numpy as np

from scaledeal.lab.kernel import Kernel
from scaledeal.lab.world.network import Paths

MS = 1_000_000
WINDOW_BYTES = 1 << 16  # most bytes sent that the other end has not read
RETRANSMIT_INTERVAL_NS = 200 * MS  # between two tries to deliver over a cut path
SYN_RETRANSMIT_INTERVAL_NS = 1000 * MS
Address = tuple[str, int]


class Machine:
    """A machine on the network, which runs programs and can vanish and come back."""

    def __init__(self, name: str, zone: int, rng: np.random.Generator, is_client: bool = False) -> None:
        """``is_client``: a client's machine; its network delays are those between a client and its relay."""
        self.name, self.zone, self.rng, self.is_client = name, zone, rng, is_client
        self.silent = False


class EndOwner(Protocol):
    """Receives the events of one end of a connection."""

    def readable(self) -> None:
        """Handle the arrival of data or of the end of the stream."""

    def writable(self) -> None:
        """Handle that there is room to write again."""

    def was_reset(self) -> None:
        """Handle a reset by the other end."""


class End:
    """One end of a connection."""

    def __init__(self, net: Net, machine: Machine, local: Address, remote: Address) -> None:
        self.net, self.machine, self.local, self.remote = net, machine, local, remote
        self.peer: End | None = None
        self.owner: EndOwner | None = None
        self.inbox: deque[bytes] = deque()
        self.inbox_bytes = 0
        self.unread_bytes = 0  # sent, and not yet read by the peer
        self.fin_sent = self.fin_received = self.closed = self.broken = False
        # Called when this end's program closes it, before the peer sees the close.
        self.on_closed: Callable[[], None] = lambda: None
        self._last_arrival = 0  # arrival time of what was sent last

    # Called by programs

    def room(self) -> int:
        """Return how many bytes can be written now."""
        return 0 if self.closed or self.broken or self.fin_sent else WINDOW_BYTES - self.unread_bytes

    def send(self, data: bytes) -> int:
        """Write; return how many bytes were accepted. Raise BrokenPipeError if it is closed for writing."""
        if self.closed or self.broken or self.fin_sent:
            raise BrokenPipeError
        data = data[: self.room()]
        size = self.net.segment
        self.unread_bytes += len(data)
        for start in range(0, len(data), size):
            self._send_to_peer(lambda part=data[start : start + size]: self._on_data(part))  # type: ignore[misc]
        return len(data)

    def recv(self, limit: int) -> bytes | None:
        """Read up to ``limit`` bytes; return none at the end of the stream, and None if nothing has arrived yet.

        Raise ConnectionResetError after a reset by the other end.
        """
        if self.broken:
            raise ConnectionResetError
        if not self.inbox:
            return b"" if self.fin_received else None
        part = self.inbox.popleft()
        if len(part) > limit:
            self.inbox.appendleft(part[limit:])
            part = part[:limit]
        self.inbox_bytes -= len(part)
        self._on_read(len(part))
        return part

    def end_sending(self) -> None:
        """Half-close: send FIN after the data that was written."""
        if not (self.fin_sent or self.closed or self.broken):
            self.fin_sent = True
            self._send_to_peer(self._on_fin)

    def close(self) -> None:
        """Close both directions; if data is unread, reset the connection, as TCP does."""
        if self.closed:
            return
        if self.inbox and not self.broken:
            self.abort()
            return
        self.end_sending()
        self.closed = True
        self.net.remove(self)

    def abort(self) -> None:
        """Reset the connection."""
        if self.closed:
            return
        self.closed = True
        self.net.remove(self)
        if not self.broken:
            self._send_to_peer(self._on_reset)

    def notify_owner(self) -> None:
        """Call a newly set owner for what arrived before it was set."""
        if self.owner is not None and self.broken:
            self.owner.was_reset()
        elif self.owner is not None and (self.inbox or self.fin_received):
            self.owner.readable()

    # Internal methods

    def _send_to_peer(self, call: Callable[[], None]) -> None:
        peer = self.peer
        assert peer is not None
        # Segments arrive at distinct times: the kernel may draw the order of calls at one instant, which would reorder
        # the stream.
        arrival = max(self._last_arrival + 1, self.net.kernel.now + self.net.delay(self.machine, peer.machine))
        self._last_arrival = arrival
        self.net.kernel.at(arrival, lambda: self._deliver(call))

    def _deliver(self, call: Callable[[], None]) -> None:
        peer = self.peer
        assert peer is not None
        if peer.machine.silent or self.machine.silent:
            return
        if not self.net.reaches(self.machine, peer.machine):
            self._last_arrival = max(self._last_arrival, self.net.kernel.now + RETRANSMIT_INTERVAL_NS)
            self.net.kernel.after(RETRANSMIT_INTERVAL_NS, lambda: self._deliver(call))
            return
        call()

    def _on_data(self, part: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if peer.closed:
            peer.closed = False
            peer.abort()  # data for a closed end is answered by a reset
            return
        if peer.broken:
            return
        peer.inbox.append(part)
        peer.inbox_bytes += len(part)
        if peer.owner is not None:
            peer.owner.readable()

    def _on_fin(self) -> None:
        peer = self.peer
        assert peer is not None
        peer.fin_received = True
        if peer.owner is not None and not peer.closed:
            peer.owner.readable()

    def _on_reset(self) -> None:
        peer = self.peer
        assert peer is not None
        if peer.closed or peer.broken:
            return
        peer.broken = True
        peer.inbox.clear()
        if peer.owner is not None:
            peer.owner.was_reset()

    def _on_read(self, count: int) -> None:
        peer = self.peer
        assert peer is not None
        was_full = peer.unread_bytes >= WINDOW_BYTES
        peer.unread_bytes -= count
        if was_full and peer.owner is not None and not peer.closed:
            self.net.kernel.after(
                self.net.delay(self.machine, peer.machine),
                lambda: peer.owner.writable() if peer.owner and not peer.closed else None,
            )


class Listener:
    """A listening socket and its accept queue."""

    def __init__(
        self, net: Net, machine: Machine, address: Address, backlog: int, on_ready: Callable[[], None]
    ) -> None:
        self.net, self.machine, self.address, self.backlog, self.on_ready = net, machine, address, backlog, on_ready
        self.queue: deque[End] = deque()
        self.open = True

    def accept(self) -> End | None:
        """Return the next queued connection, or None."""
        while self.queue:
            end = self.queue.popleft()
            if not end.closed:
                return end
        return None

    def close(self) -> None:
        """Stop listening, and reset the queued connections."""
        if self.open:
            self.open = False
            self.net.listeners.pop(self.address, None)
            while self.queue:
                self.queue.popleft().abort()


class Dial:
    """A connection attempt."""

    def __init__(
        self,
        net: Net,
        machine: Machine,
        local: Address,
        remote: Address,
        on_connected: Callable[[End], None],
        on_refused: Callable[[], None],
    ) -> None:
        self.net, self.machine, self.local, self.remote = net, machine, local, remote
        self.on_connected, self.on_refused = on_connected, on_refused
        self.ended = False
        self._send_syn()

    def stop(self) -> None:
        """Abandon the attempt."""
        self.ended = True

    def _send_syn(self) -> None:
        net, target = self.net, self.net.machine_at(self.remote)
        if self.ended:
            return
        if target is None:  # no machine has that address: no answer comes
            return
        if target.silent or self.machine.silent or not self._works_both_ways(target):
            net.kernel.after(SYN_RETRANSMIT_INTERVAL_NS, self._send_syn)
            return
        net.kernel.after(net.delay(self.machine, target), lambda: self._on_syn(target))

    def _works_both_ways(self, target: Machine) -> bool:
        return self.net.reaches(self.machine, target) and self.net.reaches(target, self.machine)

    def _on_syn(self, target: Machine) -> None:
        net = self.net
        listener = net.listeners.get(self.remote)
        return_delay = net.delay(target, self.machine)
        if target.silent:
            net.kernel.after(SYN_RETRANSMIT_INTERVAL_NS, self._send_syn)
        elif listener is None:
            net.kernel.after(return_delay, lambda: None if self.ended else self._on_refused())
        elif len(listener.queue) >= listener.backlog:
            net.kernel.after(SYN_RETRANSMIT_INTERVAL_NS, self._send_syn)  # a full queue drops the SYN, as in TCP
        else:
            local_end, remote_end = net.pair(self.machine, target, self.local, self.remote)
            net.kernel.after(return_delay, lambda: self._on_connected(local_end))
            net.kernel.after(
                return_delay + net.delay(self.machine, target), lambda: self._enqueue(listener, remote_end)
            )

    def _on_connected(self, end: End) -> None:
        if self.ended:
            end.abort()
        else:
            self.ended = True
            self.on_connected(end)

    def _enqueue(self, listener: Listener, end: End) -> None:
        if not listener.open:
            end.abort()
        elif not end.closed:
            listener.queue.append(end)
            listener.on_ready()

    def _on_refused(self) -> None:
        self.ended = True
        self.on_refused()


class Net:
    """The simulated network: all machines, listeners and connections."""

    def __init__(self, kernel: Kernel, paths: Paths, segment: int) -> None:
        self.kernel, self.paths, self.segment = kernel, paths, segment
        self.listeners: dict[Address, Listener] = {}
        self.machines: dict[str, Machine] = {}  # by host address
        self.ends: dict[Machine, set[End]] = {}
        self._last_port = 40_000

    def add_machine(self, host: str, machine: Machine) -> None:
        """Give a machine an address; a machine that had it loses it."""
        self.machines[host] = machine
        self.ends.setdefault(machine, set())

    def machine_at(self, address: Address) -> Machine | None:
        """Return the machine that has an address, or None."""
        return self.machines.get(address[0])

    def listen(self, machine: Machine, address: Address, backlog: int, on_ready: Callable[[], None]) -> Listener:
        """Open a listening socket; raise OSError if the address is in use."""
        if address in self.listeners:
            raise OSError(98, "Address already in use")
        listener = self.listeners[address] = Listener(self, machine, address, backlog, on_ready)
        return listener

    def dial(
        self,
        machine: Machine,
        host: str,
        remote: Address,
        on_connected: Callable[[End], None],
        on_refused: Callable[[], None],
    ) -> Dial:
        """Open a connection; ``on_connected`` or ``on_refused`` is called, or neither if no answer comes."""
        self._last_port += 1
        return Dial(self, machine, (host, self._last_port), remote, on_connected, on_refused)

    def pair(self, source: Machine, target: Machine, local: Address, remote: Address) -> tuple[End, End]:
        """Create the two ends of a connection."""
        local_end, remote_end = End(self, source, local, remote), End(self, target, remote, local)
        local_end.peer, remote_end.peer = remote_end, local_end
        self.ends.setdefault(source, set()).add(local_end)
        self.ends.setdefault(target, set()).add(remote_end)
        return local_end, remote_end

    def remove(self, end: End) -> None:
        """Remove an end that its program closed, and notify its observer."""
        self.ends[end.machine].discard(end)
        end.on_closed()

    def kill(self, machine: Machine) -> None:
        """Close all listeners and reset all connections of a machine, as its kernel does when its programs die."""
        for listener in [candidate for candidate in self.listeners.values() if candidate.machine is machine]:
            listener.close()
        for end in sorted(self.ends.get(machine, ()), key=lambda e: (e.local, e.remote)):
            end.owner = None
            end.abort()

    def delay(self, source: Machine, target: Machine) -> int:
        """Draw the network delay of a message between two machines, in ns."""
        if source.is_client or target.is_client:
            return self.paths.client_time((source if source.is_client else target).rng)
        return self.paths.time(source.zone, target.zone, source.rng)

    def reaches(self, source: Machine, target: Machine) -> bool:
        """Return whether the path from one machine to another works."""
        return source.is_client or target.is_client or self.paths.reaches(source.zone, target.zone)
