"""TCP as programs see it, in simulated time.

What is modelled: the way and its jitter, in order; segments; a window that a reader who does not read fills;
half-closes, resets, data for a closed end, accept queues that overflow; cut paths, over which segments wait for the
path to come back; machines that vanish without a word. What is not: loss on a path that works, congestion, and TCP's
own timers but for the retries over a cut.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import numpy as np

from scaledeal.lab.kernel import Kernel
from scaledeal.lab.world.network import Paths

MS = 1_000_000
WINDOW = 1 << 16  # bytes sent that the other end has not read
RETRY = 200 * MS  # between two tries over a cut
SYN_RETRY = 1000 * MS
Address = tuple[str, int]


class Machine:
    """Where programs run: a place on the network, which can vanish and come back."""

    def __init__(self, name: str, zone: int, draw: np.random.Generator, near: bool = False) -> None:
        """``near``: a client's machine, whose way to its relay is a client's."""
        self.name, self.zone, self.draw, self.near = name, zone, draw, near
        self.silent = False


class Owner(Protocol):
    """Who hears of one end of a connection."""

    def readable(self) -> None:
        """Hear that there is something to read, or the end of it."""

    def writable(self) -> None:
        """Hear that there is room to write again."""

    def was_reset(self) -> None:
        """Hear that the connection broke."""


class End:
    """One end of a connection."""

    def __init__(self, net: Net, machine: Machine, local: Address, remote: Address) -> None:
        self.net, self.machine, self.local, self.remote = net, machine, local, remote
        self.peer: End | None = None
        self.owner: Owner | None = None
        self.inbox: deque[bytes] = deque()
        self.held = 0  # bytes in the inbox
        self.flying = 0  # bytes sent that the peer has not read
        self.fin_sent = self.fin_came = self.closed = self.broken = False
        self.on_closed: Callable[[], None] = lambda: None  # who sees this end's program close it, before its peer does
        self._last = 0  # when what was sent last arrives

    # What programs call

    def room(self) -> int:
        """Return how many bytes could be written now."""
        return 0 if self.closed or self.broken or self.fin_sent else WINDOW - self.flying

    def send(self, data: bytes) -> int:
        """Write; return how many bytes were taken. Raise BrokenPipeError where nobody can read them."""
        if self.closed or self.broken or self.fin_sent:
            raise BrokenPipeError
        data = data[: self.room()]
        size = self.net.segment
        self.flying += len(data)
        for at in range(0, len(data), size):
            self._fly(lambda part=data[at : at + size]: self._arrives(part))  # type: ignore[misc]
        return len(data)

    def recv(self, most: int) -> bytes | None:
        """Read; nothing at the end of the stream, None where there is nothing yet. Raise ConnectionResetError."""
        if self.broken:
            raise ConnectionResetError
        if not self.inbox:
            return b"" if self.fin_came else None
        part = self.inbox.popleft()
        if len(part) > most:
            self.inbox.appendleft(part[most:])
            part = part[:most]
        self.held -= len(part)
        self._was_read(len(part))
        return part

    def end_sending(self) -> None:
        """End the sending, behind what was written."""
        if not (self.fin_sent or self.closed or self.broken):
            self.fin_sent = True
            self._fly(self._fin_arrives)

    def close(self) -> None:
        """Close both ways; unread data resets the other end, as it does for real."""
        if self.closed:
            return
        if self.inbox and not self.broken:
            self.abort()
            return
        self.end_sending()
        self.closed = True
        self.net.closed(self)

    def abort(self) -> None:
        """Reset the connection."""
        if self.closed:
            return
        self.closed = True
        self.net.closed(self)
        if not self.broken:
            self._fly(self._reset_arrives)

    def tell(self) -> None:
        """Tell an owner that has just taken the connection what came before."""
        if self.owner is not None and self.broken:
            self.owner.was_reset()
        elif self.owner is not None and (self.inbox or self.fin_came):
            self.owner.readable()

    # Inside

    def _fly(self, call: Callable[[], None]) -> None:
        peer = self.peer
        assert peer is not None
        # One after the other, never at one instant: what is drawn there must not reorder a stream.
        moment = max(self._last + 1, self.net.kernel.now + self.net.way(self.machine, peer.machine))
        self._last = moment
        self.net.kernel.at(moment, lambda: self._land(call))

    def _land(self, call: Callable[[], None]) -> None:
        peer = self.peer
        assert peer is not None
        if peer.machine.silent or self.machine.silent:
            return
        if not self.net.reaches(self.machine, peer.machine):
            self._last = max(self._last, self.net.kernel.now + RETRY)
            self.net.kernel.after(RETRY, lambda: self._land(call))
            return
        call()

    def _arrives(self, part: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if peer.closed:
            peer.closed = False
            peer.abort()  # data for a closed end is answered by a reset
            return
        if peer.broken:
            return
        peer.inbox.append(part)
        peer.held += len(part)
        if peer.owner is not None:
            peer.owner.readable()

    def _fin_arrives(self) -> None:
        peer = self.peer
        assert peer is not None
        peer.fin_came = True
        if peer.owner is not None and not peer.closed:
            peer.owner.readable()

    def _reset_arrives(self) -> None:
        peer = self.peer
        assert peer is not None
        if peer.closed or peer.broken:
            return
        peer.broken = True
        peer.inbox.clear()
        if peer.owner is not None:
            peer.owner.was_reset()

    def _was_read(self, count: int) -> None:
        peer = self.peer
        assert peer is not None
        was_full = peer.flying >= WINDOW
        peer.flying -= count
        if was_full and peer.owner is not None and not peer.closed:
            self.net.kernel.after(
                self.net.way(self.machine, peer.machine),
                lambda: peer.owner.writable() if peer.owner and not peer.closed else None,
            )


class Listener:
    """A listening socket and its queue."""

    def __init__(self, net: Net, machine: Machine, address: Address, backlog: int, ready: Callable[[], None]) -> None:
        self.net, self.machine, self.address, self.backlog, self.ready = net, machine, address, backlog, ready
        self.queue: deque[End] = deque()
        self.open = True

    def accept(self) -> End | None:
        """Return the next connection, if one waits."""
        while self.queue:
            end = self.queue.popleft()
            if not end.closed:
                return end
        return None

    def close(self) -> None:
        """Stop listening: whoever waits is reset."""
        if self.open:
            self.open = False
            self.net.listeners.pop(self.address, None)
            while self.queue:
                self.queue.popleft().abort()


class Dial:
    """A connection that is being opened."""

    def __init__(
        self,
        net: Net,
        machine: Machine,
        local: Address,
        remote: Address,
        up: Callable[[End], None],
        failed: Callable[[], None],
    ) -> None:
        self.net, self.machine, self.local, self.remote = net, machine, local, remote
        self.up, self.failed = up, failed
        self.over = False
        self._knock()

    def stop(self) -> None:
        """Give it up."""
        self.over = True

    def _knock(self) -> None:
        net, there = self.net, self.net.machine_at(self.remote)
        if self.over:
            return
        if there is None:  # nobody has that address: nothing comes back
            return
        if there.silent or self.machine.silent or not self._both_ways(there):
            net.kernel.after(SYN_RETRY, self._knock)
            return
        net.kernel.after(net.way(self.machine, there), lambda: self._at_door(there))

    def _both_ways(self, there: Machine) -> bool:
        return self.net.reaches(self.machine, there) and self.net.reaches(there, self.machine)

    def _at_door(self, there: Machine) -> None:
        net = self.net
        listener = net.listeners.get(self.remote)
        back = net.way(there, self.machine)
        if there.silent:
            net.kernel.after(SYN_RETRY, self._knock)
        elif listener is None:
            net.kernel.after(back, lambda: None if self.over else self._refused())
        elif len(listener.queue) >= listener.backlog:
            net.kernel.after(SYN_RETRY, self._knock)  # guards against nothing: a full queue drops, as for real
        else:
            mine, theirs = net.pair(self.machine, there, self.local, self.remote)
            net.kernel.after(back, lambda: self._up(mine))
            net.kernel.after(back + net.way(self.machine, there), lambda: self._queued(listener, theirs))

    def _up(self, end: End) -> None:
        if self.over:
            end.abort()
        else:
            self.over = True
            self.up(end)

    def _queued(self, listener: Listener, end: End) -> None:
        if not listener.open:
            end.abort()
        elif not end.closed:
            listener.queue.append(end)
            listener.ready()

    def _refused(self) -> None:
        self.over = True
        self.failed()


class Net:
    """All machines, listeners and connections."""

    def __init__(self, kernel: Kernel, paths: Paths, segment: int) -> None:
        self.kernel, self.paths, self.segment = kernel, paths, segment
        self.listeners: dict[Address, Listener] = {}
        self.machines: dict[str, Machine] = {}  # by host address
        self.ends: dict[Machine, set[End]] = {}
        self._ports = 40_000

    def place(self, host: str, machine: Machine) -> None:
        """Give a machine an address."""
        self.machines[host] = machine
        self.ends.setdefault(machine, set())

    def machine_at(self, address: Address) -> Machine | None:
        """Return who has an address."""
        return self.machines.get(address[0])

    def listen(self, machine: Machine, address: Address, backlog: int, ready: Callable[[], None]) -> Listener:
        """Open a listening socket; raise OSError where the address is taken."""
        if address in self.listeners:
            raise OSError(98, "Address already in use")
        listener = self.listeners[address] = Listener(self, machine, address, backlog, ready)
        return listener

    def dial(
        self, machine: Machine, host: str, remote: Address, up: Callable[[End], None], failed: Callable[[], None]
    ) -> Dial:
        """Open a connection; ``up`` or ``failed`` is called, or neither where nothing comes back."""
        self._ports += 1
        return Dial(self, machine, (host, self._ports), remote, up, failed)

    def pair(self, one: Machine, other: Machine, local: Address, remote: Address) -> tuple[End, End]:
        """Make a connection."""
        mine, theirs = End(self, one, local, remote), End(self, other, remote, local)
        mine.peer, theirs.peer = theirs, mine
        self.ends.setdefault(one, set()).add(mine)
        self.ends.setdefault(other, set()).add(theirs)
        return mine, theirs

    def closed(self, end: End) -> None:
        """Forget an end that its program closed."""
        self.ends[end.machine].discard(end)
        end.on_closed()

    def kill(self, machine: Machine) -> None:
        """End all that a machine's programs hold, as its system does when they die."""
        for listener in [each for each in self.listeners.values() if each.machine is machine]:
            listener.close()
        for end in sorted(self.ends.get(machine, ()), key=lambda each: (each.local, each.remote)):
            end.owner = None
            end.abort()

    def way(self, one: Machine, other: Machine) -> int:
        """Return the ns of a message between two machines."""
        if one.near or other.near:
            return self.paths.client_time((one if one.near else other).draw)
        return self.paths.time(one.zone, other.zone, one.draw)

    def reaches(self, one: Machine, other: Machine) -> bool:
        """Tell whether a message gets there."""
        return one.near or other.near or self.paths.reaches(one.zone, other.zone)
