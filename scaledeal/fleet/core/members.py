"""Who is alive: membership among relays by the SWIM family, as a machine without I/O or clock.

Each relay probes one other a period, in an order shuffled anew each round. One that does not answer in time is asked
after through ``helpers`` others; if none of those hears it either by the end of the period it is *suspected*, and if it
does not deny that within the suspicion's time it is *dead*. News travels on probes and answers, each piece a bounded
number of times, so a relay sends a bounded number of bounded messages a second however many relays there are.

Every relay has an *incarnation*, which it alone raises: to deny a suspicion, or when it hears that it is thought dead.
What is told of a higher incarnation counts; at the same one dead counts before suspected before alive. (Das, Gupta and
Motivala, SWIM, 2002. A suspicion's time grows with the logarithm of the fleet, as there.)

    heard of a relay            that is held to be     becomes
    alive, higher incarnation   anything but gone      alive
    suspect, as high            alive                  suspect, dead when its time is over
    suspect, of oneself         alive                  alive, one incarnation further
    dead, as high               alive or suspect       dead
    dead, of oneself            alive                  alive, one incarnation further: it slept, and is back
    left                        anything               left for good, at this incarnation
"""

from __future__ import annotations

import math
import random
from enum import IntEnum

import msgspec

MS = 1_000_000


class State(IntEnum):
    """What is held of a relay; at one incarnation the higher counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class News(msgspec.Struct, frozen=True, array_like=True):
    """A piece of news of one relay; ``address`` is where it listens, as host:port."""

    name: str
    address: str
    state: State
    incarnation: int


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Answer this; ``for_`` names the relay on whose behalf it is asked, if any."""

    number: int
    sender: str
    news: tuple[News, ...] = ()
    for_: str = ""


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Probe another relay for me."""

    number: int
    sender: str
    target: str
    news: tuple[News, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """I am here; or, where ``of`` is another's name, that one is."""

    number: int
    sender: str
    of: str
    news: tuple[News, ...] = ()


Message = Ping | Ask | Ack
Out = tuple[str, Message]
"""An address, as host:port, and what goes there."""


class Pace(msgspec.Struct, frozen=True):
    """Times in ns, and bounds."""

    period: int = 1000 * MS  # between two probes
    answer: int = 300 * MS  # that a direct one gets before others are asked
    helpers: int = 3
    suspicion: float = 3.0  # periods, times the logarithm of the fleet to the base of ten, from 1 on
    news: int = 24  # pieces that a message carries: it fits a datagram
    spread: float = 4.0  # times the same logarithm of 2: how often a piece is sent on

    def suspected_for(self, relays: int) -> int:
        """Return the ns for which a suspicion may be denied."""
        return int(self.suspicion * self.period * max(1.0, math.log10(max(1, relays))))

    def told_times(self, relays: int) -> int:
        """Return how often a piece of news is sent on."""
        return math.ceil(self.spread * math.log2(relays + 1))

    def known_within(self, relays: int) -> int:
        """Return the ns within which all are to know of a death: to probe it, suspect it, and tell everybody."""
        rounds = 2 * math.log2(relays + 1) + 4  # its first probe comes within some periods, news doubles each
        return self.suspected_for(relays) + int(rounds * self.period)


class Member(msgspec.Struct):
    """What is held of one relay."""

    name: str
    address: str
    state: State = State.ALIVE
    incarnation: int = 0
    since: int = 0  # when that began, on this relay's clock


class Probe(msgspec.Struct):
    """The probe of this period."""

    number: int
    target: str
    began: int
    asked: bool = False
    answered: bool = False


class Members:
    """One relay's view of the fleet. Moments are ns on its own clock."""

    def __init__(
        self, name: str, address: str, seeds: dict[str, str], pace: Pace, seed: int, incarnation: int = 0
    ) -> None:
        """``seeds``: addresses of relays by name, from the settings; ``seed``: of this relay's draws."""
        self.name, self.pace, self.random = name, pace, random.Random(seed)
        self.known = {each: Member(each, where) for each, where in sorted(seeds.items()) if each != name}
        self.me = Member(name, address, incarnation=incarnation)
        self.sent = 0
        self.probe: Probe | None = None
        self._order: list[str] = []
        self._numbered = 0
        self._next = 0
        self._news: dict[str, int] = {name: 0}  # relays that something is told of, and how often it was
        self._for: dict[int, tuple[str, int, int]] = {}  # probes for others: who asked, their number, and when
        self._last = self._turn = 0

    # What it holds

    def alive(self) -> list[str]:
        """Return the names of all that are not held to be dead or gone, its own among them."""
        return sorted([self.name, *(each.name for each in self.known.values() if each.state < State.DEAD)])

    def state(self, name: str) -> State | None:
        """Return what is held of a relay, or None where it was never heard of."""
        found = self.me if name == self.name else self.known.get(name)
        return found.state if found is not None else None

    # Events

    def tick(self, now: int) -> list[Out]:
        """Go on: to be called every ``pace.answer`` or oftener."""
        if self._last and now - self._last > self.pace.suspected_for(len(self.known) + 1):
            # Guards against a relay that slept and blames all others for its own silence.
            self.probe = None
            for each in self.known.values():
                each.since = max(each.since, now) if each.state is State.SUSPECT else each.since
        self._last = now
        self._bury(now)
        out = self._help(now)
        if now >= self._next:
            self._over(now)
            out += self._begin(now)
            self._next = now + self.pace.period
        self._for = {key: each for key, each in self._for.items() if now - each[2] < self.pace.period}
        return out

    def heard(self, now: int, message: Message) -> list[Out]:
        """Take a message; return what goes out for it."""
        for piece in message.news:
            self._learn(now, piece)
        if message.sender != self.name and message.sender not in self.known:
            return []  # its news would have named it: it can't be answered
        if isinstance(message, Ping):
            return self._out(message.sender, Ack(message.number, self.name, self.name, self._carried()))
        if isinstance(message, Ask):
            if message.target not in self.known:
                return []
            self._numbered += 1
            self._for[self._numbered] = (message.sender, message.number, now)
            return self._out(message.target, Ping(self._numbered, self.name, self._carried(), message.sender))
        return self._acknowledged(message)

    def leave(self, now: int) -> list[Out]:
        """Say that this relay goes, to a few at once; they tell the others."""
        self.me.state, self.me.since = State.LEFT, now
        self._news[self.name] = 0
        some = self._some([each.name for each in self.known.values() if each.state < State.DEAD], self.pace.helpers)
        return [out for name in some for out in self._out(name, Ping(0, self.name, self._carried()))]

    # Probes

    def _begin(self, now: int) -> list[Out]:
        target = self._pick()
        if target is None or self.me.state is State.LEFT:
            return []
        self._numbered += 1
        self.probe = Probe(self._numbered, target, now)
        return self._out(target, Ping(self._numbered, self.name, self._carried()))

    def _pick(self) -> str | None:
        while self._order:
            name = self._order.pop()
            if name in self.known and self.known[name].state < State.DEAD:
                return name
        self._order = sorted(each.name for each in self.known.values() if each.state < State.DEAD)
        # Guards against two halves that hold each other dead for good after a cut: now and again one of them is asked.
        dead = sorted(each.name for each in self.known.values() if each.state is State.DEAD)
        self._order += self._some(dead, 1)
        self.random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _help(self, now: int) -> list[Out]:
        probe = self.probe
        if probe is None or probe.answered or probe.asked or now - probe.began < self.pace.answer:
            return []
        probe.asked = True
        others = [each.name for each in self.known.values() if each.state is State.ALIVE and each.name != probe.target]
        ask = Ask(probe.number, self.name, probe.target, self._carried())
        return [out for name in self._some(others, self.pace.helpers) for out in self._out(name, ask)]

    def _over(self, now: int) -> None:
        probe, self.probe = self.probe, None
        if (
            probe is not None
            and not probe.answered
            and (member := self.known.get(probe.target)) is not None
            and member.state is State.ALIVE
        ):
            self._holds(member, State.SUSPECT, member.incarnation, now)

    def _acknowledged(self, message: Ack) -> list[Out]:
        if (asked := self._for.pop(message.number, None)) is not None and message.of == message.sender:
            return self._out(asked[0], Ack(asked[1], self.name, message.of, self._carried()))
        if self.probe is not None and (message.number, message.of) == (self.probe.number, self.probe.target):
            self.probe.answered = True
        return []

    def _bury(self, now: int) -> None:
        wait = self.pace.suspected_for(len(self.known) + 1)
        for each in self.known.values():
            if each.state is State.SUSPECT and now - each.since >= wait:
                self._holds(each, State.DEAD, each.incarnation, now)

    # News

    def _learn(self, now: int, piece: News) -> None:
        if piece.name == self.name:
            if piece.state > self.me.state and piece.incarnation >= self.me.incarnation:
                self.me.incarnation, self.me.since = piece.incarnation + 1, now
                self._news[self.name] = 0
            return
        member = self.known.get(piece.name)
        if member is None:
            member = self.known[piece.name] = Member(piece.name, piece.address, since=now)
            self._order.insert(self.random.randrange(len(self._order) + 1), piece.name)
            member.incarnation = -1
        if (piece.incarnation, piece.state) > (member.incarnation, member.state):
            member.address = piece.address
            self._holds(member, piece.state, piece.incarnation, now)

    def _holds(self, member: Member, state: State, incarnation: int, now: int) -> None:
        member.state, member.incarnation, member.since = state, incarnation, now
        self._news[member.name] = 0

    def _carried(self) -> tuple[News, ...]:
        """Return the news that a message carries: its own line always, then what was told least often."""
        most = self.pace.told_times(len(self.known) + 1)
        chosen = sorted((times, name) for name, times in self._news.items() if name != self.name)[: self.pace.news - 1]
        for times, name in chosen:
            self._news[name] = times + 1
            if times + 1 >= most:
                del self._news[name]
        names = [name for _, name in chosen]
        return tuple(
            News(each.name, each.address, each.state, each.incarnation)
            for each in (self.me, *(self.known[name] for name in (*names, *self._others(names))))
        )

    def _others(self, told: list[str]) -> list[str]:
        """Return whom a message has room for beside its news, in turn."""
        # Guards against what some never hear, as each piece is sent on a bounded number of times: many join at once.
        rest = sorted(self.known.keys() - set(told))
        room = self.pace.news - 1 - len(told)
        if len(rest) > room:
            self._turn = (self._turn + room) % len(rest)
            rest = (rest[self._turn :] + rest[: self._turn])[:room]
        return rest

    def _some(self, names: list[str], count: int) -> list[str]:
        return self.random.sample(sorted(names), min(count, len(names)))

    def _out(self, name: str, message: Message) -> list[Out]:
        self.sent += 1
        return [(self.known[name].address, message)]
