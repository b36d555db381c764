"""Membership among relays: a protocol of the SWIM family, as a state machine without I/O or clock.

Each relay probes one other relay a period, in an order that is shuffled again each round. If the probed relay does not
answer in time, the prober asks ``indirect_probes`` other relays to probe it; if none of those gets an answer by the
end of the period either, the relay is *suspected*, and if it does not refute the suspicion within the suspicion
timeout it is *dead*. Membership updates travel on probes and answers, each a bounded number of times, so a relay sends
a bounded number of messages of bounded size a second, however many relays there are.

Every relay has an *incarnation*, which only the relay itself raises: to refute a suspicion, or on learning that it is
considered dead. An update with a higher incarnation overrides; at the same incarnation dead overrides suspected, and
suspected overrides alive. (Das, Gupta and Motivala, SWIM, 2002. As there, the suspicion timeout grows with the
logarithm of the number of relays.)

    update about a relay        its state so far       its new state
    alive, higher incarnation   anything but left      alive
    suspect, same or higher     alive                  suspect; dead when the suspicion timeout is over
    suspect, about oneself      alive                  alive, with the next incarnation
    dead, same or higher        alive or suspect       dead
    dead, about oneself         alive                  alive, with the next incarnation: it was stalled and is back
    left                        anything               left for good, at this incarnation
"""

from __future__ import annotations

import math
import random
from enum import IntEnum

import msgspec

NS_PER_MS = 1_000_000


class State(IntEnum):
    """The state of a relay in another's view; at the same incarnation the higher value overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A membership update about one relay; ``address`` is where it listens, as host:port."""

    name: str
    address: str
    state: State
    incarnation: int


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Probe the receiver; ``on_behalf_of`` names the relay that requested an indirect probe, if any."""

    number: int
    sender: str
    updates: tuple[Update, ...] = msgspec.field(name="news", default=())
    on_behalf_of: str = msgspec.field(name="for_", default="")


class PingRequest(msgspec.Struct, frozen=True, tag="ask"):
    """Ask the receiver to probe another relay on the sender's behalf."""

    number: int
    sender: str
    target: str
    updates: tuple[Update, ...] = msgspec.field(name="news", default=())


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Answer a probe; ``subject`` is the relay that is alive: the sender, or the target of an indirect probe."""

    number: int
    sender: str
    subject: str = msgspec.field(name="of")
    updates: tuple[Update, ...] = msgspec.field(name="news", default=())


Message = Ping | PingRequest | Ack
Outgoing = tuple[str, Message]
"""An address, as host:port, and the message to send there."""


class Settings(msgspec.Struct, frozen=True):
    """Times in ns, and limits, of the protocol."""

    period: int = 1000 * NS_PER_MS  # between two probes
    ack_timeout: int = 300 * NS_PER_MS  # of a direct probe, before indirect probes are requested
    indirect_probes: int = 3
    suspicion_factor: float = 3.0  # suspicion timeout: this many periods, times max(1, log10(relays))
    max_updates: int = 24  # in a message, so that it fits a datagram
    retransmit_factor: float = 4.0  # transmissions of an update: this many times log2(relays + 1)

    def suspicion_timeout(self, relays: int) -> int:
        """Return the ns within which a suspicion can be refuted."""
        return int(self.suspicion_factor * self.period * max(1.0, math.log10(max(1, relays))))

    def retransmit_limit(self, relays: int) -> int:
        """Return how often an update is sent."""
        return math.ceil(self.retransmit_factor * math.log2(relays + 1))

    def detection_bound(self, relays: int) -> int:
        """Return the ns within which all relays know of a death: time to probe, suspect and disseminate."""
        rounds = 2 * math.log2(relays + 1) + 4  # the first probe comes within a few periods; updates double each period
        return self.suspicion_timeout(relays) + int(rounds * self.period)


class Member(msgspec.Struct):
    """One relay in another's view."""

    name: str
    address: str
    state: State = State.ALIVE
    incarnation: int = 0
    since: int = 0  # start of the state, on the viewing relay's clock


class Probe(msgspec.Struct):
    """The probe of the current period."""

    number: int
    target: str
    started_at: int
    indirect_requested: bool = False
    answered: bool = False


class Members:
    """One relay's view of the fleet. Times are ns on its own clock."""

    def __init__(
        self, name: str, address: str, seeds: dict[str, str], settings: Settings, seed: int, incarnation: int = 0
    ) -> None:
        """``seeds``: addresses by name of the relays known at the start; ``seed``: of this relay's random numbers."""
        self.name, self.settings, self.random = name, settings, random.Random(seed)
        self.known = {peer: Member(peer, host) for peer, host in sorted(seeds.items()) if peer != name}
        self.local = Member(name, address, incarnation=incarnation)
        self.sent = 0
        self.probe: Probe | None = None
        self._probe_order: list[str] = []
        self._last_number = 0
        self._next_probe_at = 0
        self._transmissions: dict[str, int] = {name: 0}  # of the pending update about each relay
        self._indirect: dict[int, tuple[str, int, int]] = {}  # probes for others: requester, its number, and time
        self._last_tick = self._fill_offset = 0

    # Views

    def alive(self) -> list[str]:
        """Return the names of all relays that are neither dead nor left in this view, its own included."""
        return sorted([self.name, *(member.name for member in self.known.values() if member.state < State.DEAD)])

    def state(self, name: str) -> State | None:
        """Return the state of a relay in this view, or None for an unknown one."""
        member = self.local if name == self.name else self.known.get(name)
        return member.state if member is not None else None

    # Events

    def tick(self, now: int) -> list[Outgoing]:
        """Advance the protocol and return what to send; call it at least every ``settings.ack_timeout``."""
        if self._last_tick and now - self._last_tick > self.settings.suspicion_timeout(len(self.known) + 1):
            # After a stall of this relay its probe and suspicions look unanswered, although it is this relay that did
            # not read the answers; without a fresh start it would declare all suspected relays dead.
            self.probe = None
            for member in self.known.values():
                member.since = max(member.since, now) if member.state is State.SUSPECT else member.since
        self._last_tick = now
        self._expire_suspicions(now)
        out = self._request_indirect_probes(now)
        if now >= self._next_probe_at:
            self._end_period(now)
            out += self._start_probe(now)
            self._next_probe_at = now + self.settings.period
        self._indirect = {
            number: probe for number, probe in self._indirect.items() if now - probe[2] < self.settings.period
        }
        return out

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Process a message; return what to send in response."""
        for update in message.updates:
            self._apply_update(now, update)
        if message.sender != self.name and message.sender not in self.known:
            return []  # no address to answer to: a sender's messages always carry an update about itself
        if isinstance(message, Ping):
            return self._send_to(message.sender, Ack(message.number, self.name, self.name, self._select_updates()))
        if isinstance(message, PingRequest):
            if message.target not in self.known:
                return []
            self._last_number += 1
            self._indirect[self._last_number] = (message.sender, message.number, now)
            return self._send_to(
                message.target, Ping(self._last_number, self.name, self._select_updates(), message.sender)
            )
        return self._process_ack(message)

    def leave(self, now: int) -> list[Outgoing]:
        """Announce that this relay leaves, to a few relays, which disseminate it; return what to send."""
        self.local.state, self.local.since = State.LEFT, now
        self._transmissions[self.name] = 0
        receivers = self._sample(
            [member.name for member in self.known.values() if member.state < State.DEAD], self.settings.indirect_probes
        )
        return [out for name in receivers for out in self._send_to(name, Ping(0, self.name, self._select_updates()))]

    # Probes

    def _start_probe(self, now: int) -> list[Outgoing]:
        target = self._next_target()
        if target is None or self.local.state is State.LEFT:
            return []
        self._last_number += 1
        self.probe = Probe(self._last_number, target, now)
        return self._send_to(target, Ping(self._last_number, self.name, self._select_updates()))

    def _next_target(self) -> str | None:
        while self._probe_order:
            name = self._probe_order.pop()
            if name in self.known and self.known[name].state < State.DEAD:
                return name
        self._probe_order = sorted(member.name for member in self.known.values() if member.state < State.DEAD)
        # After a network partition each half considers the other dead, and without probes to dead relays the halves
        # would never merge again; so each round probes one of them.
        dead = sorted(member.name for member in self.known.values() if member.state is State.DEAD)
        self._probe_order += self._sample(dead, 1)
        self.random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _request_indirect_probes(self, now: int) -> list[Outgoing]:
        probe = self.probe
        if (
            probe is None
            or probe.answered
            or probe.indirect_requested
            or now - probe.started_at < self.settings.ack_timeout
        ):
            return []
        probe.indirect_requested = True
        others = [
            member.name for member in self.known.values() if member.state is State.ALIVE and member.name != probe.target
        ]
        request = PingRequest(probe.number, self.name, probe.target, self._select_updates())
        return [
            out for name in self._sample(others, self.settings.indirect_probes) for out in self._send_to(name, request)
        ]

    def _end_period(self, now: int) -> None:
        """Suspect the target of the period's probe if it has not answered."""
        probe, self.probe = self.probe, None
        if (
            probe is not None
            and not probe.answered
            and (member := self.known.get(probe.target)) is not None
            and member.state is State.ALIVE
        ):
            self._set_state(member, State.SUSPECT, member.incarnation, now)

    def _process_ack(self, message: Ack) -> list[Outgoing]:
        if (indirect := self._indirect.pop(message.number, None)) is not None and message.subject == message.sender:
            return self._send_to(indirect[0], Ack(indirect[1], self.name, message.subject, self._select_updates()))
        if self.probe is not None and (message.number, message.subject) == (self.probe.number, self.probe.target):
            self.probe.answered = True
        return []

    def _expire_suspicions(self, now: int) -> None:
        timeout = self.settings.suspicion_timeout(len(self.known) + 1)
        for member in self.known.values():
            if member.state is State.SUSPECT and now - member.since >= timeout:
                self._set_state(member, State.DEAD, member.incarnation, now)

    # Updates

    def _apply_update(self, now: int, update: Update) -> None:
        if update.name == self.name:
            if update.state > self.local.state and update.incarnation >= self.local.incarnation:
                self.local.incarnation, self.local.since = update.incarnation + 1, now
                self._transmissions[self.name] = 0
            return
        member = self.known.get(update.name)
        if member is None:
            member = self.known[update.name] = Member(update.name, update.address, since=now)
            self._probe_order.insert(self.random.randrange(len(self._probe_order) + 1), update.name)
            member.incarnation = -1
        if (update.incarnation, update.state) > (member.incarnation, member.state):
            member.address = update.address
            self._set_state(member, update.state, update.incarnation, now)

    def _set_state(self, member: Member, state: State, incarnation: int, now: int) -> None:
        member.state, member.incarnation, member.since = state, incarnation, now
        self._transmissions[member.name] = 0

    def _select_updates(self) -> tuple[Update, ...]:
        """Return the updates for a message: always the one about itself, then the least often sent ones."""
        limit = self.settings.retransmit_limit(len(self.known) + 1)
        chosen = sorted((times, name) for name, times in self._transmissions.items() if name != self.name)[
            : self.settings.max_updates - 1
        ]
        for times, name in chosen:
            self._transmissions[name] = times + 1
            if times + 1 >= limit:
                del self._transmissions[name]
        names = [name for _, name in chosen]
        return tuple(
            Update(member.name, member.address, member.state, member.incarnation)
            for member in (self.local, *(self.known[name] for name in (*names, *self._fill(names))))
        )

    def _fill(self, chosen: list[str]) -> list[str]:
        """Return the relays whose states fill the rest of a message's room, in rotation."""
        # Each update is sent a bounded number of times, so some relays may miss it, as when many join at once; the
        # rotation lets them learn it later.
        rest = sorted(self.known.keys() - set(chosen))
        room = self.settings.max_updates - 1 - len(chosen)
        if len(rest) > room:
            self._fill_offset = (self._fill_offset + room) % len(rest)
            rest = (rest[self._fill_offset :] + rest[: self._fill_offset])[:room]
        return rest

    def _sample(self, names: list[str], count: int) -> list[str]:
        return self.random.sample(sorted(names), min(count, len(names)))

    def _send_to(self, name: str, message: Message) -> list[Outgoing]:
        self.sent += 1
        return [(self.known[name].address, message)]
