"""Simulation of membership among many relays, with faults of their network and processes.

Each relay runs ``fleet.core.members`` itself. This module simulates the network between them, which loses and delays
messages, and the stalls and deaths of relays, and compares the views of all relays with their real states.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from scaledeal.fleet.core.members import NS_PER_MS, Members, Message, Outgoing, Settings, State
from scaledeal.lab.kernel import Kernel, Streams

TICK_INTERVAL_NS = 100 * NS_PER_MS


class NetworkFaults(msgspec.Struct, frozen=True):
    """The probability of loss of a message, and the range of its delay in ms."""

    loss: float = 0.0
    delay: tuple[float, float] = (0.1, 12.0)


class MembershipSimulation:
    """A number of relays that start together, each with the addresses of the first few."""

    def __init__(
        self, count: int, seed: int, settings: Settings, network_faults: NetworkFaults, seeds: int = 3
    ) -> None:
        """``seeds``: how many relays all others know from the start; ``seed``: of the simulation's random numbers."""
        self.kernel, self.settings, self.network_faults = Kernel(), settings, network_faults
        self.random = Streams(seed).of("weather")
        self.seeds = {f"n{number}": f"n{number}" for number in range(min(seeds, count))}
        self.relays: dict[str, Members] = {}
        self.stopped: set[str] = set()  # killed or left, and not started again
        self.stalled: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self.sent = 0
        self.queued: dict[str, list[Message]] = {}  # messages for stalled relays
        for number in range(count):
            self.start(f"n{number}", seed * 100_003 + number)
        self.kernel.every(TICK_INTERVAL_NS, self._tick_all)

    # Events of a relay

    def start(self, name: str, seed: int, incarnation: int = 0) -> None:
        """Start a relay, or restart it with an empty view."""
        self.relays[name] = Members(name, name, self.seeds, self.settings, seed, incarnation)
        self.stopped.discard(name)

    def kill(self, name: str) -> None:
        """Stop a relay without notice."""
        self.stopped.add(name)

    def stall(self, name: str, duration: int) -> None:
        """Stall a relay for a duration in ns; messages to it are queued until it resumes."""
        self.stalled.add(name)
        self.queued[name] = []
        self.kernel.after(duration, lambda: self._resume(name))

    def leave(self, name: str) -> None:
        """Let a relay announce that it leaves, and stop it."""
        self._send(name, self.relays[name].leave(self.kernel.now))
        self.stopped.add(name)

    # Observations

    def running(self) -> list[str]:
        """Return the relays that are neither stopped nor stalled."""
        return sorted(self.relays.keys() - self.stopped - self.stalled)

    def states_of(self, name: str) -> set[State | None]:
        """Return the states of a relay in the views of all other running relays."""
        return {self.relays[viewer].state(name) for viewer in self.running() if viewer != name}

    def converged(self) -> bool:
        """Return whether the relays alive in the view of every running relay are exactly those not stopped."""
        expected = sorted(self.relays.keys() - self.stopped)
        return all(self.relays[viewer].alive() == expected for viewer in self.running())

    def run_until(self, condition: Callable[[], bool], timeout: int) -> int | None:
        """Run until a condition holds, checked every 100 ms; return the elapsed ns, or None on timeout (ns)."""
        started_at = self.kernel.now
        while self.kernel.now - started_at < timeout:
            if condition():
                return self.kernel.now - started_at
            self.kernel.run(self.kernel.now + TICK_INTERVAL_NS)
        return self.kernel.now - started_at if condition() else None

    def false_deaths(self) -> set[tuple[str, str]]:
        """Return pairs of a running relay and another running one that is dead in the first one's view."""
        return {
            (viewer, name)
            for viewer in self.running()
            for name in self.running()
            if self.relays[viewer].state(name) is State.DEAD
        }

    # Scheduling and delivery

    def _tick_all(self) -> None:
        for name in self.running():
            # The random delay spreads the ticks, as otherwise all relays would probe at the same instant.
            self.kernel.after(int(self.random.random() * TICK_INTERVAL_NS / 2), lambda name=name: self._tick(name))  # type: ignore[misc]

    def _tick(self, name: str) -> None:
        if name not in self.stopped and name not in self.stalled:
            self._send(name, self.relays[name].tick(self.kernel.now))

    def _send(self, source: str, out: list[Outgoing]) -> None:
        for target, message in out:
            self.sent += 1
            if self.random.random() < self.network_faults.loss or self.is_cut(source, target):
                continue
            delay = int(self.random.uniform(*self.network_faults.delay) * NS_PER_MS)
            self.kernel.after(delay, lambda t=target, m=message: self._deliver(t, m))  # type: ignore[misc]

    def _deliver(self, target: str, message: Message) -> None:
        if target in self.stopped or target not in self.relays:
            return
        if target in self.stalled:
            self.queued[target].append(message)
            return
        self._send(target, self.relays[target].receive(self.kernel.now, message))

    def _resume(self, name: str) -> None:
        self.stalled.discard(name)
        for message in self.queued.pop(name, []):
            self._deliver(name, message)
