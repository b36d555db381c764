"""Membership of many relays in simulated time, with what goes wrong between them.

Each relay is the machine of ``fleet.core.members`` itself; here is its network, which loses and delays, its stalls and
deaths, and a witness that looks at what each one holds of the others.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from scaledeal.fleet.core.members import MS, Members, Message, Out, Pace, State
from scaledeal.lab.kernel import Kernel, Streams

LOOK = 100 * MS


class Weather(msgspec.Struct, frozen=True):
    """What the network does to each message; delays in ms."""

    loss: float = 0.0
    delay: tuple[float, float] = (0.1, 12.0)


class Muster:
    """So many relays, started together, each knowing the first few."""

    def __init__(self, count: int, seed: int, pace: Pace, weather: Weather, seeds: int = 3) -> None:
        self.kernel, self.pace, self.weather = Kernel(), pace, weather
        self.draw = Streams(seed).of("weather")
        self.seeds = {f"n{number}": f"n{number}" for number in range(min(seeds, count))}
        self.relays: dict[str, Members] = {}
        self.gone: set[str] = set()  # that were killed, and have not started again
        self.asleep: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.sent = 0
        self.waiting: dict[str, list[Message]] = {}  # for those that sleep
        for number in range(count):
            self.start(f"n{number}", seed * 100_003 + number)
        self.kernel.every(LOOK, self._tick_all)

    # What befalls a relay

    def start(self, name: str, seed: int, incarnation: int = 0) -> None:
        """Start a relay, or start it again."""
        self.relays[name] = Members(name, name, self.seeds, self.pace, seed, incarnation)
        self.gone.discard(name)

    def kill(self, name: str) -> None:
        """End one without a word."""
        self.gone.add(name)

    def sleep(self, name: str, span: int) -> None:
        """Stall one: what comes meanwhile waits for it."""
        self.asleep.add(name)
        self.waiting[name] = []
        self.kernel.after(span, lambda: self._wake(name))

    def leave(self, name: str) -> None:
        """Have one say that it goes, and go."""
        self._send(name, self.relays[name].leave(self.kernel.now))
        self.gone.add(name)

    # What is seen

    def up(self) -> list[str]:
        """Return the relays that run and are awake."""
        return sorted(self.relays.keys() - self.gone - self.asleep)

    def held(self, name: str) -> set[State | None]:
        """Return what all who run hold of a relay."""
        return {self.relays[each].state(name) for each in self.up() if each != name}

    def agree(self) -> bool:
        """Tell whether all who run hold just those to be alive who are."""
        wanted = sorted(self.relays.keys() - self.gone)
        return all(self.relays[each].alive() == wanted for each in self.up())

    def until(self, true: Callable[[], bool], most: int) -> int | None:
        """Go on until something holds, looking every 100 ms; return the ns that it took, or None."""
        began = self.kernel.now
        while self.kernel.now - began < most:
            if true():
                return self.kernel.now - began
            self.kernel.run(self.kernel.now + LOOK)
        return self.kernel.now - began if true() else None

    def blamed(self) -> set[tuple[str, str]]:
        """Return who is held to be dead by whom, though it runs."""
        return {(each, name) for each in self.up() for name in self.up() if self.relays[each].state(name) is State.DEAD}

    # Inside

    def _tick_all(self) -> None:
        for name in self.up():
            # Guards against all probing in one instant: each has its own place in the round.
            self.kernel.after(int(self.draw.random() * LOOK / 2), lambda name=name: self._tick(name))  # type: ignore[misc]

    def _tick(self, name: str) -> None:
        if name not in self.gone and name not in self.asleep:
            self._send(name, self.relays[name].tick(self.kernel.now))

    def _send(self, source: str, out: list[Out]) -> None:
        for target, message in out:
            self.sent += 1
            if self.draw.random() < self.weather.loss or self.cut(source, target):
                continue
            delay = int(self.draw.uniform(*self.weather.delay) * MS)
            self.kernel.after(delay, lambda t=target, m=message: self._arrives(t, m))  # type: ignore[misc]

    def _arrives(self, target: str, message: Message) -> None:
        if target in self.gone or target not in self.relays:
            return
        if target in self.asleep:
            self.waiting[target].append(message)
            return
        self._send(target, self.relays[target].heard(self.kernel.now, message))

    def _wake(self, name: str) -> None:
        self.asleep.discard(name)
        for message in self.waiting.pop(name, []):
            self._arrives(name, message)
