"""Every decision of the balancer. Its types, events and actions: ``scaledeal/interface.py``.

The ordinary path: a *ladder* of filters admits or refuses a new connection, then *placement* takes one of
the top two ready servers of its rendezvous ranking. Around it stand *membership*, *health*, the *cold-start
budget* and the *attempts* of a request. No clock, I/O or globals: equal events give equal actions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import islice
from typing import Any

from scaledeal import interface as api
from scaledeal.cold_start import MOST_TOLD, ColdStart, Slots

MS, SECOND = 1_000_000, 1_000_000_000

# Ladder
INTERVAL = SECOND  # base interval of the index; also the delay between moves, as the paper advises
OVERLOAD, UNDERLOAD = 80, 72  # index past which the ladder steps up, and under which it steps down
SLOW_SCALE = 3.0  # without reports: a third of the load on slow servers reads as full load
RUNGS, WORTH_RATIO = 11, 3  # rung 0 polices nothing, the last refuses all; a worth step's rate
FEW, LEAST_RATE = 8.0, 1e-6  # set-ups in that window too few to tell a rate; a second, where none were seen
ESTIMATE_WINDOW = 20 * SECOND  # window of the admission estimate that rungs are fractions of

# Placement
STAY_UNDER = 0.7  # utilisation up to which a group keeps to its first server, or is moved to another
BOUND, NEEDED = 1.25, 0.5  # multiple of the mean up to which it does where that is high; mean to need slots
FULL = 0.9  # utilisation up to which servers share what comes by the room they have
STAY_RATIO, KEEP_UNDER = 1.5, 0.9  # without reports: multiple of the mean load; of a slow one's load
TOGETHER = 6.0  # connections of a group that stay together before the first reports have come

# Health
BACK_OFF, BACK_OFF_DOUBLINGS = SECOND, 3  # a suspect's first time out, and how often it doubles
DRAIN_SIGN, DRAIN_TOLD = 3, 8 * SECOND  # clients sent away that show a drain; when a list tells
REPORT_AGE, NEWS_LASTS = 2, 3 * SECOND  # ticks a report is old when it comes; when it says nothing

# Attempts
TIMEOUT_FACTOR = 4.0  # usual set-up times, or the aim if longer, that a first attempt may take
RETRY_SHARE, RETRY_BURST = 0.2, 5.0  # further attempts for each set-up in the long run, and at once
WINDOW = 2.0  # set-ups under way at first, by server, over all gateways; one more a round, half on trouble

# Probes and housekeeping
TICK = 250 * MS
PROBE_PERIOD, PROBE_COST = 1.5 * SECOND, 0.005  # how old a report is worth a probe; points they may cost
PROBE_BURST, PROBE_KEPT = 10.0, 6.0  # probes saved up at most, and those of them that are kept for placing
FRESH, PATIENCE, WAITING = SECOND, 80 * MS, 16  # a report good for placing; how long, and many, wait for it
DRAIN_WAIT = SECOND  # time that a draining server gets to send its clients away itself
MOVE_SHARE, CALM_SHARE = 0.1, 0.2  # shares moved in a tick off a troubled server; in calm
DRAINED, HUNG = 2000.0, 2000.0  # ms to work off what piled up; a message's at one that hangs
HUNG_SHARE, SHED_SHARE = 0.35, 0.05  # shares moved in a tick off a hung server; cut while the ladder polices
LOSE_SHARE = 0.1  # without reports: share of its groups that a saturated server loses, a second of trouble


def digest(name: str) -> int:
    """Return 64 bits of a name's digest, equal at every gateway."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def mixed(key: int, server: int) -> float:
    """Return a number between 0 and 1 for a pair of digests."""
    # Guards against a digest for each pair: ranking a large fleet for every request ate the CPU.
    bits = (key ^ server) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    bits = (bits ^ bits >> 32) * 0xD6E8FEB86659FD93 & 0xFFFFFFFFFFFFFFFF
    return ((bits >> 11) + 0.5) / 2**53


def rendezvous(key: str, servers: list[Server]) -> list[Server]:
    """Rank servers for a key by weighted rendezvous hashing, the best first."""
    number = digest(key)
    scores = [(math.log(mixed(number, s.number)) / (s.weight * s.warmth), s.id, s) for s in servers]
    return [s for _, _, s in sorted(scores, reverse=True)]


@dataclass(slots=True)
class Attempt:
    """One send of a request."""

    server: Server
    sent: int
    result: api.Result | None = None


@dataclass(slots=True, eq=False)
class Flight:
    """A request from its arrival until its last outcome."""

    id: str
    cls: int
    place_key: str
    cell: tuple[int, bool]  # bucket: class, and whether it is over its tenant's share
    tenant: int
    deadline: int
    group: str
    attempts: list[Attempt] = field(default_factory=list)
    load: float = 0.0  # as told by notes or hints; 0 while unknown
    opened: bool = False
    returning: bool = False
    answered: bool = False  # nothing more is owed or sent
    asked_at: int = 0  # when reports were first asked for to place it
    roomy: bool = False  # whether its pair, when last looked for, had room
    since: int = 0  # when it came


@dataclass(slots=True, eq=False)
class Server:
    """What this gateway knows of one server."""

    id: str
    untold: list[int]  # connections of unknown load, by class
    number: int = 0  # digest of its id
    slots: Slots = field(default_factory=Slots)  # while it is cold
    state: api.ServerState = api.ServerState.LIVE
    started: int = 0
    zone: int = 0
    stripe: int = 0
    weight: float = 1.0
    warmth: float = 1.0  # part of its capacity that it has by its age, as last looked at
    open: dict[str, Flight] = field(default_factory=dict)  # open connections and set-ups under way
    pending: int = 0  # set-ups under way
    told_load: float = 0.0  # sum of the known loads of its connections
    reported: float = -1.0  # utilisation last reported, and when, and own load at that time
    reported_at: int = 0
    load_then: float = 0.0
    past: list[float] = field(default_factory=list)  # own load at the last ticks, the oldest first
    delay: float = 0.0  # ms that a message takes, while that is long
    delay_at: int = 0
    unit: float = 0.0  # learned capacity over its weight, in this gateway's units of load; 0 while unknown
    limit: float = 0.0  # without reports: own load at which its messages last turned slow, 0 while unknown
    troubled_since: int = 0
    strikes: int = 0
    broke_at: int = 0  # when an open connection of it last broke
    doubted: bool = False  # whether its last set-up failed
    sent_away: list[int] = field(default_factory=list)  # when it lately ended clients' connections politely
    drains_until: int = 0  # until when it counts as draining though no list says so
    suspect_until: int = 0
    groups: dict[str, int] = field(default_factory=dict)  # connections it holds of each group
    leaving: frozenset[str] = frozenset()  # groups it is to lose, as it is asked too much
    probe_at: int = 0
    probe_out: bool = False
    asked_at: int = -SECOND


class Ladder:
    """The filters of this gateway: a rung in force, its buckets, and the index that moves it."""

    def __init__(self, worths: dict[tuple[int, bool], float], steady: bool = False) -> None:
        self.worths = worths
        self.steady = steady  # whether the index is a level that reports tell, not a few notes
        self.levels = sorted(set(worths.values()))
        self.rung = 0
        self.index_sum, self.index_count, self.last_index = 0.0, 0, 0.0
        self.estimate = dict.fromkeys(worths, 0.0)  # accepted set-ups a second, by bucket
        self.accepted = dict.fromkeys(worths, 0)
        self.estimated_at = self.started = self.filled_at = 0
        # Of its estimate, a bucket gets a share: that is its rate, and fills it with tokens.
        self.shares, self.rates, self.tokens = (dict.fromkeys(worths, each) for each in (1.0, 0.0, 0.0))

    def sample(self, index: float) -> None:
        """Take one reading of the load index."""
        self.index_sum += min(100.0, max(0.0, index))
        self.index_count += 1

    def step(self, now: int, charges: list[float]) -> int:
        """End a base interval: move one rung at most; return the move made."""
        index = self.index_sum / self.index_count if self.index_count else 0.0
        # Guards against overshoot: what a rung refuses shows late where connections live long.
        up = index > OVERLOAD and not (self.steady and index < self.last_index)
        self.index_sum, self.index_count, self.last_index = 0.0, 0, index
        self._learn(now)
        move = max(0, min(RUNGS - 1, self.rung + int(up) - int(index < UNDERLOAD))) - self.rung
        if move:
            self.rung += move
            self._install(now, charges)
        return move

    def _learn(self, now: int) -> None:
        span = now - self.estimated_at
        if self.rung == 0 and span > 0:
            # Guards against an estimate that starts far too low: until the window has passed, a plain mean.
            keep = min(math.exp(-span / ESTIMATE_WINDOW), 1 - span / (now - self.started))
            for cell, count in self.accepted.items():
                self.estimate[cell] = self.estimate[cell] * keep + (1 - keep) * count * SECOND / span
        self.accepted = dict.fromkeys(self.worths, 0)
        self.estimated_at = now

    def _install(self, now: int, charges: list[float]) -> None:
        # Guards against a class shut out because none of it had come when the ladder first moved.
        least = sum(self.estimate.values()) / len(self.worths) or LEAST_RATE
        rates = {c: max(rate, LEAST_RATE if c[1] else least) for c, rate in self.estimate.items()}
        wanted = {c: rate * charges[c[0]] for c, rate in rates.items()}
        budget = (1 - self.rung / (RUNGS - 1)) * sum(wanted.values())
        low, high = 0.0, 1.0
        for _ in range(20):  # the lowest level's fraction, so that the rung's budget is met
            mid = (low + high) / 2
            used = sum(load * self._level(cell, mid) for cell, load in wanted.items())
            low, high = (mid, high) if used <= budget else (low, mid)
        for cell, rate in rates.items():
            self.shares[cell] = self._level(cell, low)
            self.rates[cell] = rate * self.shares[cell]
            depth = max(1.0, self.rates[cell])
            self.tokens[cell] = min(depth, self.tokens[cell]) if self.rung > 1 else depth
        self.filled_at = now

    def _level(self, cell: tuple[int, bool], lowest: float) -> float:
        return min(1.0, lowest * float(WORTH_RATIO) ** self.levels.index(self.worths[cell]))

    def admit(self, now: int, cell: tuple[int, bool]) -> bool:
        """Tell whether the rung in force lets this set-up pass, and take its token."""
        if self.rung in (0, RUNGS - 1):
            return self.rung == 0
        span = (now - self.filled_at) / SECOND
        self.filled_at = now
        for each, rate in self.rates.items():  # a bucket holds a second of its rate
            self.tokens[each] = min(max(1.0, rate), self.tokens[each] + rate * span)
        if self.tokens[cell] < 1:
            return False
        self.tokens[cell] -= 1
        return True


class Balancer:
    """The decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers, self.live = dict[str, Server](), list[Server]()
        self.known: dict[str, Server] = {}  # servers of which a tick has something to look at
        self.draining: dict[Server, int] = {}  # servers told to drain while they held connections, and when
        self.flights, self.held = dict[str, Flight](), dict[str, Flight]()
        self.out: list[api.Action] = []
        self.handlers: dict[type[api.Event], Callable[[Any], None]] = {
            api.Request: self._request,
            api.Established: self._established,
            api.Outcome: self._outcome,
            api.Note: self._note,
            api.ProbeResult: self._probed,
            api.Timer: self._tick,
            api.Membership: self._membership,
            api.OpenConnection: self._adopt,
            api.ClientGone: self._client_gone,
        }
        self.started = -1
        self.adopted = False  # whether connections were open here already at the start
        self.now = self.pending = 0  # the time, and the set-ups under way
        shares = ((False, 1.0), (True, settings.over_share_worth))
        self.ladder = Ladder(
            {(i, over): cls.worth * share for i, cls in enumerate(settings.classes) for over, share in shares},
            settings.report_source is not api.Source.NONE,
        )
        self.shortest_aim = min((c.message_aim for c in settings.classes if c.message_aim), default=math.inf)
        self.load_sum, self.load_count = ([each] * len(settings.classes) for each in (0.0, 0))  # first told
        self.tenant_open = [0] * max(1, len(settings.tenants))
        self.retries, self.probes = RETRY_BURST, PROBE_BURST * settings.may_probe  # what may be sent now
        self.window = self.least_window = self.set_up_time = 0.0  # the last is a set-up's usual time
        self.cold_start = ColdStart(settings)
        self.step_at = self.watch_at = self.watch_failures = self.slot_timer = 0
        self.bound, self.unit = STAY_UNDER, 0.0  # of a group's server; capacity of weight 1, in units of load

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event and return the actions it calls for."""
        if now < self.now:
            raise ValueError("now: time went backwards")
        self.now, self.out = now, []
        if self.started < 0:
            self.started = self.ladder.estimated_at = self.ladder.started = now
            self.step_at = now + INTERVAL
            self.out = [*([api.Watch()] if self.settings.ask_discovery else []), api.SetTimer(TICK, 0)]
        self.handlers[type(event)](event)
        return self.out

    # Membership

    def _membership(self, event: api.Membership) -> None:
        if event.kind is api.MembershipKind.LOST:
            # Guards against asking in step with the others when the list comes back: jittered, backing off.
            wait = SECOND * min(4, 2**self.watch_failures)
            self.watch_at = self.now + int(wait * self.random.uniform(0.5, 1.0))
            self.watch_failures += 1
            return
        self.watch_failures = 0
        if event.kind is not api.MembershipKind.CHANGES:
            named = {entry.server for entry in event.servers}
            for server in (s for s in self.servers.values() if s.id not in named):
                server.state = api.ServerState.GONE
        for entry in event.servers:
            self._list(entry)
        for gone in [s.id for s in self.servers.values() if s.state is api.ServerState.GONE and not s.open]:
            del self.servers[gone]
        self.live = [s for s in self.servers.values() if s.state is api.ServerState.LIVE]
        self.least_window = max(1.0, WINDOW * len(self.live) / self.settings.siblings / 2)
        self.window = self.window or 2 * self.least_window
        self._learn_load(0)
        self._retry_held(len(self.held))

    def _meet(self, name: str) -> Server:
        server = self.servers[name] = Server(name, [0] * len(self.settings.classes), digest(name))
        server.slots = self.cold_start.begin(self.now, server.number)
        return server

    def _list(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = self._meet(entry.server)
            # At the start nothing is known.
            server.probe_at = self.now + (self.now > self.started) * int(PROBE_PERIOD * self.random.random())
        if entry.started > server.started:  # a new process: what was known of the old one is void
            server.strikes = server.suspect_until = server.troubled_since = server.drains_until = 0
            server.reported, server.delay = -1.0, 0.0
        if entry.state is api.ServerState.DRAINING and server.open:
            self.draining.setdefault(server, self.now)
        server.state, server.started = entry.state, max(server.started, entry.started)
        server.zone, server.stripe = entry.zone, entry.cell
        server.weight = entry.weight if self.settings.fixed_weights and entry.weight > 0 else 1.0

    # Loads

    def _charge(self, cls: int) -> float:
        return self.load_sum[cls] / self.load_count[cls] if self.load_count[cls] else self._mean_charge()

    def _mean_charge(self) -> float:
        return sum(self.load_sum) / sum(self.load_count) if any(self.load_count) else 1.0

    def _own_load(self, server: Server) -> float:
        return server.told_load + sum(n * self._charge(c) for c, n in enumerate(server.untold) if n)

    def utilisation(self, server: Server) -> float | None:
        """Return the load asked of a server over what it can do, as far as reports tell."""
        if server.reported < 0 or self.now - server.reported_at > 2 * NEWS_LASTS:
            return None
        added = self._own_load(server) - server.load_then
        # Guards against a server slower than most that is filled past its capacity between two reports.
        unit = min(server.unit or self.unit, self.unit) * server.weight
        return max(0.0, server.reported + (added / unit if unit else 0.0))

    def _attach(self, server: Server, flight: Flight) -> None:
        server.open[flight.id] = flight
        self.known[server.id] = server
        server.groups[flight.place_key] = server.groups.get(flight.place_key, 0) + 1
        if flight.load:
            server.told_load += flight.load
        else:
            server.untold[flight.cls] += 1

    def _detach(self, server: Server, flight: Flight) -> None:
        if server.open.pop(flight.id, None) is None:
            return
        server.groups[flight.place_key] -= 1
        if not server.groups[flight.place_key]:
            del server.groups[flight.place_key]
        if flight.load:
            server.told_load = max(0.0, server.told_load - flight.load) if server.open else 0.0
        else:
            server.untold[flight.cls] -= 1
        if flight.opened:
            self.tenant_open[flight.tenant] -= 1
        if server.state is api.ServerState.GONE and not server.open:
            self.servers.pop(server.id, None)

    def _report(self, server: Server, values: tuple[float, ...]) -> None:
        told = dict(zip(self.settings.report_fields, values, strict=False))
        value = told.get(api.Field.UTILISATION, told.get(api.Field.BUSY))
        if value is None or not 0 <= value <= MOST_TOLD:
            return
        server.reported, server.reported_at = value, self.now
        self.known[server.id] = server
        # Guards against a report taken for the present: it tells of the load before what was moved since.
        server.load_then = server.past[0] if server.past else self._own_load(server)
        # Guards against no capacity learned where reports count no connections: others' loads are like ours.
        held = self._own_load(server) * self.settings.siblings
        load = told[api.Field.INFLIGHT] * self._mean_charge() if api.Field.INFLIGHT in told else held
        if not self.cold(server):
            count = told.get(api.Field.INFLIGHT, len(server.open) * self.settings.siblings)
            self.cold_start.report(server.weight, count, value)
        # Guards against a capacity in a unit of its own: without a known load each connection counts as 1.
        if value > 0.05 and load and any(self.load_count) and not self.cold(server):
            unit = load / value / server.weight
            self.unit += (unit - self.unit) * (0.05 if self.unit else 1.0)
            server.unit += (unit - server.unit) * (0.1 if server.unit else 1.0)

    def _note(self, event: api.Note) -> None:
        flight, server = self.flights.get(event.request), self.servers.get(event.server)
        if flight is None or server is None or event.request not in server.open:
            return
        if event.kind is api.NoteKind.SILENT:
            # Guards against a client left at a connection that fell silent while its server answers others.
            if flight.opened and not flight.answered:
                flight.answered = True
                self.out.append(api.Move(flight.id, "silent"))
            return
        if event.kind is api.NoteKind.DELAY:
            server.limit = self._own_load(server) if event.amount >= server.delay else server.limit
            server.delay, server.delay_at = event.amount, self.now
            return
        if not 0 < event.amount < math.inf:
            return
        first = not any(self.load_count)
        if not flight.load:
            server.untold[flight.cls] -= 1
            self.load_sum[flight.cls] += event.amount
            self.load_count[flight.cls] += 1
        server.told_load += event.amount - flight.load
        flight.load = event.amount
        if first and any(self.load_count):
            for known in self.servers.values():  # what was noted in connections is void
                known.load_then, known.past = self._own_load(known), []

    # Health

    def _strike(self, server: Server) -> None:
        # Guards against blaming servers one by one for trouble that is everywhere, such as a slow store.
        if 3 * sum(1 for s in self.live if s.strikes and s is not server) >= len(self.live):
            return
        if server.strikes == 0:
            self.out.append(api.Log(f"server {server.id} suspected"))
        server.suspect_until = self.now + BACK_OFF * 2 ** min(server.strikes, BACK_OFF_DOUBLINGS)
        server.strikes += 1

    def _saturated(self, server: Server) -> bool:
        slow = server.delay * MS > self.shortest_aim and self.now - server.delay_at < NEWS_LASTS
        return slow or (self.utilisation(server) or 0.0) > 1.0

    def _suspect(self, server: Server) -> bool:
        out = max(server.suspect_until, server.drains_until) > self.now
        return out or (server.strikes > 0 and server.pending > 0)

    # Cold-start budget

    def cold(self, server: Server) -> bool:
        """Tell whether a server may still be cold."""
        return server.warmth < 1

    def _learn_load(self, passed: int) -> None:
        for server in self.live:
            server.warmth = self.cold_start.warmth(self.now - server.started) if server.started else 1.0
        told = ((s.weight * s.warmth, None if self.cold(s) else self.utilisation(s)) for s in self.live)
        self.cold_start.learn(passed, told)

    def _awaits_slot(self, flight: Flight, first: Server) -> bool:
        """Tell whether a slot at a cold server is better waited for than the first taken; set a timer."""
        # Guards against a crowd that comes again and all goes to the warm server told of as idlest.
        crowd = not flight.roomy or (flight.returning and self.cold_start.mean >= NEEDED)
        cold = [s for s in self.live if self._takes(s)] if crowd else []
        due = [self.now + self.cold_start.wait(s.slots, s.weight * s.warmth) for s in cold]
        last = min(flight.since + self.cold_start.window, flight.deadline - self.set_up_time - 2 * TICK)
        if first.warmth < 1 or len(self.held) > WAITING or min(due, default=last) >= last:
            return False
        if self.slot_timer <= self.now:
            self.slot_timer = min(due)
            self.out.append(api.SetTimer(self.slot_timer - self.now, 1))
        return True

    # Placement

    def _ready(self, flight: Flight) -> list[Server]:
        """Return the servers a new connection may go to; the doubtful ones only when there are no others."""
        ready = self._in_rotation([s for s in self.live if self._allowed(flight, s)])
        # Guards against slots that lapse while warm servers are asked too much.
        newcomers = [s for s in ready if self._takes(s)] if self.cold_start.mean >= NEEDED else []
        return newcomers or ready

    def _takes(self, server: Server) -> bool:
        return server.warmth < 1 and not self._suspect(server) and (self.utilisation(server) or 0.0) <= FULL

    def _in_rotation(self, live: list[Server]) -> list[Server]:
        # Guards against a newcomer pushed over by all; a restarted gateway forgot what it sent just before.
        knows, is_open = self.now - self.started >= self.cold_start.window, self.cold_start.open
        live = [s for s in live if s.warmth == 1 or (knows and is_open(self.now, s.slots, s.weight * s.warmth))]
        # Guards against each gateway learning by a set-up which server answers nothing.
        live = [s for s in live if not s.probe_out or self.now - s.asked_at < PATIENCE] or live
        return [s for s in live if not self._suspect(s)] or live

    def rotation(self) -> tuple[int, int]:
        """Return how many servers are listed, and how many of those no new connection goes to now."""
        listed = sum(s.state is not api.ServerState.GONE for s in self.servers.values())
        return listed, listed - len(self._in_rotation(self.live))

    def _pair(self, flight: Flight, ready: list[Server]) -> list[Server]:
        key = flight.place_key
        if tried := {a.server for a in flight.attempts}:
            ready = [s for s in ready if s not in tried] or ready
        ranked = rendezvous(key, ready)
        if self.settings.zone_price > self.settings.move_price and self.ladder.rung == 0:
            # Guards against dear crossings: placing near and moving later, if that fails, costs less.
            ranked.sort(key=lambda s: s.zone != self.settings.zone)
        if flight.group:
            # Guards against paying for a group at two servers: the one that holds most of it leads.
            ranked.sort(key=lambda s: -s.groups.get(key, 0))
        # Guards against a saturated server scattering its groups: it loses them one by one, whole.
        ranked = [s for s in ranked if key not in s.leaving] or ranked
        # Guards against a group that fills its first servers while others stand idle.
        mean = sum(self._own_load(s) / s.weight for s in self.known.values()) / max(1, len(self.live))
        roomy = list(islice((s for s in ranked if not self._crowded(s, key, mean)), 2))
        flight.roomy = bool(roomy)
        return roomy or ranked[:2]

    def _choose(self, flight: Flight, pair: list[Server]) -> Server:
        """Take one of two: the one asked less, or either while both have room."""
        first, second = pair[0], pair[-1]
        a, b = self.utilisation(first), self.utilisation(second)
        if a is None or b is None or not self.unit:
            a, b = (self._own_load(s) / s.weight for s in (first, second))
        elif max(a, b) < FULL:
            # Guards against all gateways taking one server on one report: by room, the first counts twice.
            share = 2 * (FULL - a) / (2 * (FULL - a) + FULL - b)
            return first if self.random.random() < share else second
        # A group keeps to its first server where that is not crowded: a second one costs more.
        return first if a <= b or (flight.group and flight.roomy) else second

    def _crowded(self, server: Server, key: str, mean: float) -> bool:
        asked = self.utilisation(server)
        if asked is not None and (asked > STAY_UNDER or self.unit):
            return asked > self.bound
        load = self._own_load(server)
        full = 0 < KEEP_UNDER * server.limit < load
        # Guards against a gateway just started that fills one server with a group before it has a report.
        blind = self.settings.may_probe and load > TOGETHER * self._mean_charge()
        return full or ((blind or key not in server.groups) and load / server.weight > STAY_RATIO * mean)

    # Attempts

    def _flight(self, event: api.Request | api.OpenConnection, deadline: int) -> Flight:
        group = event.group if self.settings.groups else ""
        tenant = event.tenant if event.tenant < len(self.tenant_open) else 0
        cell = (event.request_class, self._over_share(tenant))
        flight = Flight(
            event.request,
            event.request_class,
            group or event.key or event.request,
            cell,
            tenant,
            deadline,
            group,
            load=event.load_hint,
            since=self.now,
        )
        self.flights[flight.id] = flight
        return flight

    def _request(self, event: api.Request) -> None:
        if event.request in self.flights:
            return
        flight = self._flight(event, event.deadline)
        flight.returning = event.returning
        # Guards against many gateways probing for few clients: requests pay, returning ones for placing.
        most = (PROBE_KEPT if event.returning else PROBE_BURST) * self.settings.may_probe
        worth = PROBE_COST / self.settings.probe_price if self.settings.probe_price else PROBE_BURST
        self.probes = max(self.probes, min(most, self.probes + worth))
        if event.mid_flow:
            if ready := [s for s in self.live if s.suspect_until <= self.now] or self.live:
                self._send(flight, rendezvous(flight.place_key, ready)[0])
                return
        elif event.returning and self._by_share() and self.ladder.rung < RUNGS - 1:
            if self.random.random() >= self.ladder.shares[flight.cell]:
                self._refuse(flight, "ladder, by share")
                return
        elif not self.ladder.admit(self.now, flight.cell):
            self._refuse(flight, "ladder, by rate")
            return
        self._place(flight)

    def _by_share(self) -> bool:
        # Guards against a restart, or a rate of a few set-ups, that turns away whoever stood before.
        few = 0 < sum(self.ladder.estimate.values()) * ESTIMATE_WINDOW < FEW * SECOND
        return few or (not self.adopted and self.now - self.started < ESTIMATE_WINDOW)

    def _over_share(self, tenant: int) -> bool:
        quota = self.settings.tenants[tenant].open_connections if self.settings.tenants else 0.0
        return 0 < quota < self.tenant_open[tenant] * self.settings.siblings

    def _allowed(self, flight: Flight, server: Server) -> bool:
        cls = self.settings.classes[flight.cls]
        if cls.semantics is api.Semantics.REPEATABLE:
            return True
        for attempt in flight.attempts:
            if attempt.result in _NEVER_RAN:
                continue
            elsewhere = (cls.scope is api.Scope.ZONE and attempt.server.zone != server.zone) or (
                cls.scope is api.Scope.CELL and attempt.server.stripe != server.stripe
            )
            if elsewhere or cls.semantics is api.Semantics.ONCE or self.now >= attempt.sent + cls.window:
                return False
        return True

    def _place(self, flight: Flight) -> None:
        # Guards against a dead gateway's clients all coming at once: more than a shared store can take.
        pair = self._pair(flight, self._ready(flight)) if self.pending < int(self.window) else []
        if pair and not self._awaits_slot(flight, pair[0]) and not self._asks(flight, pair):
            self._send(flight, self._choose(flight, pair))
        elif not pair and flight.deadline - self.now <= self.set_up_time + 2 * TICK:
            self._give_up(flight, "no server in time")  # guards against holding a repeat until after its time
        else:
            self.held[flight.id] = flight

    def _asks(self, flight: Flight, pair: list[Server]) -> bool:
        # Guards against placing by old reports: a gateway hears seldom of most servers.
        stale = [s for s in pair if s.reported < 0 or self.now - s.reported_at > FRESH]
        waited = self.now >= min((flight.asked_at or self.now) + PATIENCE, flight.deadline - 2 * PATIENCE)
        if not self.settings.may_probe or waited or len(self.held) > WAITING:
            return False
        self._probe([s for s in stale if self.now - s.asked_at > FRESH])
        if (waits := any(s.probe_out for s in stale)) and not flight.asked_at:
            flight.asked_at = self.now
            self.out.append(api.SetTimer(PATIENCE, 1))
        return waits

    def _send(self, flight: Flight, server: Server) -> None:
        # Guards against repeats of many gateways filling a shared store that is only slow: time-outs double.
        patience = max(self.settings.classes[flight.cls].aim, int(TIMEOUT_FACTOR * self.set_up_time))
        timeout = min(flight.deadline - self.now, patience << len(flight.attempts))
        flight.attempts.append(Attempt(server, self.now))
        self.held.pop(flight.id, None)
        server.pending += 1
        self.pending += 1
        self._attach(server, flight)
        del server.slots.open[:1]
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.out.append(api.Send(flight.id, server.id, max(1, timeout)))

    def _established(self, event: api.Established) -> None:
        flight = self.flights.get(event.request)
        if flight is None or flight.opened or event.attempt != len(flight.attempts) - 1:
            return
        server = flight.attempts[-1].server
        flight.opened = True
        server.pending -= 1
        self.pending -= 1
        self.window += 1 / self.window
        server.strikes, server.suspect_until, server.doubted = 0, 0, False
        self.tenant_open[flight.tenant] += 1
        self.set_up_time += (event.elapsed - self.set_up_time) * (0.1 if self.set_up_time else 1.0)
        # Guards against an estimate blown up by clients that come back after a break: no new demand.
        if not flight.returning:
            self.ladder.accepted[flight.cell] += 1
        self._retry_held()

    def _outcome(self, event: api.Outcome) -> None:
        flight = self.flights.get(event.request)
        tried = flight.attempts if flight else []
        if flight is None or not 0 <= event.attempt < len(tried) or tried[event.attempt].result is not None:
            return
        tried[event.attempt].result, server = event.result, tried[event.attempt].server
        self._report(server, event.report)
        self._detach(server, flight)
        if not flight.opened:
            server.pending -= 1
            self.pending -= 1
        if event.result in _SERVER_FAULTS:
            # Guards against a sound server left out for a connection that broke alone: its others stand.
            if flight.opened:
                alone = self.now - server.broke_at > SECOND
                server.broke_at = self.now
            else:
                alone = event.result in (api.Result.CONNECT_FAILED, api.Result.RESET) and not server.doubted
                alone = alone and any(f.opened for f in server.open.values())
                server.doubted = True
                self.window = max(self.least_window, self.window / 2)
            if not alone:
                self._strike(server)
        if flight.opened and not flight.answered and event.result is api.Result.CANCELLED:
            self._sent_away(server)
        if flight.opened or event.last or flight.answered:
            self._drop(flight)
        else:
            self._again(flight)
        self._retry_held()

    def _sent_away(self, server: Server) -> None:
        # Guards against clients sent back to a draining server: the list tells of it only seconds later.
        server.sent_away = [at for at in server.sent_away if at > self.now - SECOND] + [self.now]
        # Clients also leave by themselves; half of all in a second do not.
        if len(server.sent_away) >= max(DRAIN_SIGN, len(server.open)):
            server.drains_until = self.now + DRAIN_TOLD

    def _again(self, flight: Flight) -> None:
        spent = len(flight.attempts) >= self.settings.max_attempts or self.retries < 1
        barred = not any(self._allowed(flight, s) for s in self.live)
        if spent or barred or flight.deadline - self.now <= self.set_up_time:
            self._give_up(flight, "retries spent" if spent else "no time to retry")
        else:
            self.retries -= 1
            self._place(flight)

    def _give_up(self, flight: Flight, why: str) -> None:
        cls = self.settings.classes[flight.cls]
        harmless = cls.semantics is api.Semantics.REPEATABLE
        harmless |= (cls.semantics, cls.scope) == (api.Semantics.KEYED, api.Scope.ALL)
        if harmless or all(a.result in _NEVER_RAN for a in flight.attempts):
            self._refuse(flight, why)
        else:
            self.out.append(api.Fail(flight.id, why))
            self._drop(flight)

    def _refuse(self, flight: Flight, why: str) -> None:
        self.out.append(api.Refuse(flight.id, min(self.settings.retry_after_max, INTERVAL), why))
        self._drop(flight)

    def _drop(self, flight: Flight) -> None:
        flight.answered = True
        self.flights.pop(flight.id, None)
        self.held.pop(flight.id, None)

    def _client_gone(self, event: api.ClientGone) -> None:
        if (flight := self.flights.get(event.request)) is None:
            return
        flight.answered = True
        self.held.pop(flight.id, None)
        if not flight.attempts or flight.attempts[-1].result is not None:
            self._drop(flight)
        elif self.settings.may_cancel and not flight.opened:
            self.out.append(api.Cancel(flight.id, len(flight.attempts) - 1))

    def _adopt(self, event: api.OpenConnection) -> None:
        if event.request in self.flights:
            return
        if (server := self.servers.get(event.server)) is None:
            server = self._meet(event.server)
            server.state = api.ServerState.GONE
        self.adopted |= not event.inherited
        flight = self._flight(event, 0)
        flight.attempts.append(Attempt(server, self.now))
        flight.opened = True
        self.tenant_open[flight.tenant] += 1
        self._attach(server, flight)

    def _retry_held(self, most: int = 1) -> None:
        for flight in list(islice(self.held.values(), most)):
            self._place(flight)

    # Probes, moves and the clock

    def _probed(self, event: api.ProbeResult) -> None:
        if (server := self.servers.get(event.server)) is None:
            return
        server.probe_out = False
        self._report(server, event.report)
        if event.result in (api.Result.TIMEOUT, api.Result.CONNECT_FAILED):
            self._strike(server)
        self._retry_held(WAITING)

    def _tick(self, event: api.Timer) -> None:
        self._retry_held(WAITING if event.token else len(self.held))
        if event.token:
            return
        self.out.append(api.SetTimer(TICK, 0))
        if self.watch_at and self.now >= self.watch_at:
            self.watch_at = 0
            self.out.append(api.Watch())
        for server in self.known.values():
            server.past = [*server.past[1 - REPORT_AGE :], self._own_load(server)]
        if self.probes >= 1 + PROBE_KEPT:
            due = sorted((s for s in self.live if s.probe_at <= self.now), key=lambda s: s.probe_at)
            self._probe(due, PROBE_KEPT)
        self.bound = max(STAY_UNDER, BOUND * self.ladder.last_index / 100)
        self._sample()
        self._empty()
        self._move()
        if self.now >= self.step_at:
            self.step_at = self.now + INTERVAL
            self._learn_load(INTERVAL)
            if self.ladder.step(self.now, [self._charge(c) for c in range(len(self.settings.classes))]):
                severe = ", severely overloaded: refusing all" * (self.ladder.rung == RUNGS - 1)
                self.out.append(api.Log(f"ladder on rung {self.ladder.rung}{severe}"))

    def _probe(self, servers: list[Server], kept: float = 0.0) -> None:
        """Probe these servers, as far as probes are left but for those that are kept."""
        for server in servers:
            if not server.probe_out and self.probes >= 1 + kept:
                self.probes -= 1
                server.probe_at = self.now + int(PROBE_PERIOD * self.random.uniform(0.8, 1.2))
                server.probe_out, server.asked_at = True, self.now
                self.out.append(api.Probe(server.id))

    def _sample(self) -> None:
        # Guards against refusing for servers that take nothing new anyway: the index is of the ready ones.
        ready = [s for s in self.known.values() if s.state is api.ServerState.LIVE and not self._suspect(s)]
        if known := [min(1.0, u) for s in ready if (u := self.utilisation(s)) is not None]:
            self.ladder.sample(100 * sum(known) / len(known))
            return
        # Guards against overload that set-ups do not show: they succeed while open connections earn nothing.
        if held := sum(self._own_load(s) for s in self.known.values()):
            slow = sum(self._own_load(s) for s in self.known.values() if self._saturated(s))
            self.ladder.sample(100 * SLOW_SCALE * slow / held)

    def _empty(self) -> None:
        # Guards against clients cut off without a word: a server may leave without sending them away.
        for server, told in list(self.draining.items()):
            if server.state is not api.ServerState.DRAINING or not server.open:
                del self.draining[server]
            elif self.now - told >= DRAIN_WAIT:
                for flight in [f for f in server.open.values() if f.opened and not f.answered]:
                    flight.answered = True
                    self.out.append(api.Move(flight.id, "draining"))

    def _move(self) -> None:
        """Have saturated servers lose groups, the same ones at every gateway, a few connections at a time."""
        saturated = sum(1 for s in self.known.values() if self._saturated(s))
        calm = self.ladder.rung == 0 and 3 * saturated <= len(self.known)
        for server in list(self.known.values()):
            if not self._saturated(server) or server.state is not api.ServerState.LIVE:
                server.troubled_since, server.leaving = 0, frozenset()
                silent = not server.open and self.utilisation(server) is None
                if silent or server.state is not api.ServerState.LIVE:
                    self.known.pop(server.id).past = []
                continue
            server.troubled_since = server.troubled_since or self.now
            asked = self.utilisation(server)
            hung = server.delay >= HUNG and self.now - server.delay_at < NEWS_LASTS
            if hung and server.suspect_until <= self.now:
                self._strike(server)
            opened = [f for f in server.open.values() if f.opened and not f.answered]
            why, going = "", list[Flight]()
            if asked is not None or 2 * saturated <= len(self.known):
                trouble = LOSE_SHARE * (self.now - server.troubled_since) / SECOND
                if calm:
                    # Guards against clients that earn nothing while a backlog is worked off only slowly.
                    trouble = max(trouble, 1 - max(0.2, 0.8 - server.delay / DRAINED) / (asked or 1.0))
                excess = max(trouble, 1 - 0.8 / asked) if asked and asked > 1 else trouble
                # Guards against a group's cost paid for a straggler: the least held goes first.
                worst = sorted(own := server.groups, key=lambda g: (own[g], mixed(digest(g), server.number)))
                server.leaving = frozenset(worst[: math.ceil(len(worst) * min(1.0, excess))])
                leaving = (f for f in opened if f.place_key in server.leaving and self._has_room(f, server))
                why, most = "asked too much", self._some(len(opened) * (CALM_SHARE if calm else MOVE_SHARE))
                going = list(islice(leaving, most))
            if not going and self.ladder.rung > 0:
                # Guards against overload that outlives the ladder's refusals: long-lived connections stay on.
                opened.sort(key=lambda f: self.ladder.worths[f.cell] / (f.load or self._charge(f.cls)))
                why, going = "shed", opened[: self._some(len(opened) * SHED_SHARE)]
            if hung:
                # Guards against clients left for seconds at a server that answers nothing.
                why, going = "hung", opened[: math.ceil(len(opened) * HUNG_SHARE)]
            for flight in going:
                flight.answered = True
                self.out.append(api.Move(flight.id, why))

    def _some(self, count: float) -> int:
        # Guards against many gateways with few connections each all rounding up: half of them went in a tick.
        return int(count + self.random.random())

    def _has_room(self, flight: Flight, leaves: Server) -> bool:
        pair = self._pair(flight, self._ready(flight))
        target = self._choose(flight, pair) if pair else leaves
        bad = target is leaves or self._saturated(target)
        return not bad and (self.utilisation(target) or 0.0) <= STAY_UNDER


_NEVER_RAN = (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_SENT)
_SERVER_FAULTS = frozenset(api.Result) - {api.Result.OK, api.Result.CANCELLED, api.Result.NOT_SENT}
