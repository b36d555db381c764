"""The decisions of the balancer. ``scaledeal/interface.py`` defines its settings, events and actions.

The usual path: a *ladder* of admission filters admits or refuses a new connection, then *placement* takes one of
the top two ready servers of the connection's rendezvous ranking. *Membership*, *health*, the *cold-start budget* and
the *attempts* of a request support it. No clock, I/O or global state: the same events give the same actions.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

from scaledeal import interface as api
from scaledeal.cold_start import MAX_PLAUSIBLE_UTILISATION, MIN_INFORMATIVE_UTILISATION, ColdStart
from scaledeal.estimates import MIN_LOADS, CapacityEstimate, LoadEstimate
from scaledeal.ladder import ESTIMATE_WINDOW_NS, LADDER_INTERVAL_NS, RUNGS, SECOND, Ladder
from scaledeal.ranking import MAX_CANDIDATES, RING_SIZE, ServerRing, digest, pair_hash, rendezvous
from scaledeal.server_table import ServerTable, TrackedLoads
from scaledeal.state import Attempt, RequestState, Server

MS = 1_000_000  # ns

# Tokens of timers; 0 is the tick
REPORT_TIMER = 1  # a request has waited for reports for long enough
SLOT_TIMER = 2  # a slot at a cold server opens

# Ladder
SLOW_LOAD_SCALE = 3.0  # without reports: a third of the load on slow servers counts as full load
MIN_SET_UPS_FOR_RATE = 8.0  # fewer set-ups than this in ESTIMATE_WINDOW_NS give no reliable rate

# Placement
GROUP_MAX_UTILISATION = 0.7  # utilisation up to which a server keeps its groups, or takes moved ones
GROUP_MEAN_FACTOR = 1.25  # a server keeps its groups up to this multiple of the fleet's mean, if that is higher
SLOTS_NEEDED_UTILISATION = 0.5  # fleet utilisation from which the slots of cold servers are needed
FULL_UTILISATION = 0.9  # under this, two servers share new connections in proportion to their free capacity
MAX_LOAD_RATIO = 1.5  # without reports: multiple of the mean load above which a server is crowded
SLOW_LOAD_SHARE = 0.9  # without reports: share of the load at which a server turned slow that it may hold
UNREPORTED_GROUP_CONNECTIONS = 6.0  # connections of a group that stay together before the first reports

# Reports
SUDDEN_OVERLOAD = 2.0  # utilisation above which a report needs a second one that confirms it,
SUDDEN_OVERLOAD_FACTOR = 4.0  # if it is also above this multiple of what was known
CONFIRMING_FACTOR = 2.0  # by which two reports that confirm each other may differ at most

# Health
SUSPECT_BACK_OFF_NS = SECOND  # how long a server is avoided after its first failure
SUSPECT_BACK_OFF_DOUBLINGS = 3  # how often that time doubles
DRAIN_MIN_SENT_AWAY = 3  # clients sent away within a second that show that a server drains
ASSUMED_DRAIN_NS = 8 * SECOND  # how long it then counts as draining; the list tells by then
REPORT_AGE_TICKS = 2  # age of a report when it arrives
OBSERVATION_LIFETIME_NS = 3 * SECOND  # age from which a note on delay is ignored; a report is after twice that

# Attempts
FIRST_TIMEOUT_FACTOR = 4.0  # multiple of the usual set-up time, or the aim if longer, for a first attempt
RETRY_SHARE = 0.2  # retries per set-up in the long run
RETRY_BURST = 5.0  # retries at once
SET_UPS_PER_SERVER = 2.0  # initial limit on set-ups under way, of all relays; +1 a round trip, halved on failure

# Probes and housekeeping
TICK_NS = 250 * MS
PROBE_INTERVAL_NS = 1.5 * SECOND  # age of a report at which a probe pays
PROBE_POINTS_PER_REQUEST = 0.005  # points that probes may cost for each request
MAX_SAVED_PROBES = 10.0
PLACEMENT_PROBE_RESERVE = 6.0  # saved probes that are kept for placing requests
FRESH_REPORT_AGE_NS = SECOND  # age up to which a report is good enough for placement
REPORT_WAIT_NS = 80 * MS  # how long a request waits for a fresh report
MAX_WAITING_REQUESTS = 16  # requests that wait for reports or slots at once
FURTHER_SEARCHES = 4  # times that candidates elsewhere are looked for at once, where those of the key can't be used
FURTHER_SEARCH_STEP = int(RING_SIZE * 0.6180339887498949)  # the golden ratio spreads the places of these searches
DRAIN_GRACE_NS = SECOND  # time that a draining server gets to send its clients away itself
MOVE_SHARE_PER_TICK = 0.1  # share of a saturated server's connections moved in a tick
CALM_MOVE_SHARE_PER_TICK = 0.2  # the same on rung 0, with at most a third of the servers saturated
BACKLOG_DRAIN_MS = 2000.0  # time in which a server works off its backlog
HUNG_DELAY_MS = 2000.0  # message delay from which a server counts as hung
HUNG_MOVE_SHARE_PER_TICK = 0.35  # share of a hung server's connections moved in a tick
SHED_SHARE_PER_TICK = 0.05  # share of connections cut in a tick while the ladder polices
GROUP_LOSS_PER_S = 0.1  # without reports: share of its groups that a saturated server loses per second


class Balancer:
    """The decisions of one relay."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.table = ServerTable(len(settings.classes))
        self.servers, self.live = self.table.by_name, self.table.live
        self.loads_by_server = TrackedLoads(len(settings.classes))
        self.tracked = self.loads_by_server.servers  # servers with connections or reports, which a tick looks at
        self.holders: dict[str, dict[str, Server]] = {}  # by group, the servers with connections of it
        self.draining: dict[Server, int] = {}  # servers listed as draining while they held connections, and since when
        self.requests, self.held = dict[str, RequestState](), dict[str, RequestState]()
        # By server, the requests that wait for its report
        self.awaiting_report: dict[str, dict[str, RequestState]] = {}
        self.report_waits: deque[RequestState] = deque()  # requests that have a timer for their wait, in its order
        self.actions: list[api.Action] = []
        self.handlers: dict[type[api.Event], Callable[[Any], None]] = {
            api.Request: self._on_request,
            api.Established: self._on_established,
            api.Outcome: self._on_outcome,
            api.Note: self._on_note,
            api.ProbeResult: self._on_probe_result,
            api.Timer: self._on_timer,
            api.Membership: self._on_membership,
            api.OpenConnection: self._on_open_connection,
            api.ClientGone: self._on_client_gone,
        }
        self.started = -1
        self.had_connections_at_start = False  # other than those handed over by a predecessor
        self.now = self.pending = 0  # current time; set-ups under way
        bucket_kinds = ((False, 1.0), (True, settings.over_share_worth))
        self.ladder = Ladder(
            {(i, over): cls.worth * share for i, cls in enumerate(settings.classes) for over, share in bucket_kinds},
            settings.report_source is not api.Source.NONE,
        )
        self.shortest_message_aim = min((c.message_aim for c in settings.classes if c.message_aim), default=math.inf)
        # The first loads noted on connections, and the loads that clients expect
        self.loads, self.load_hints = LoadEstimate(len(settings.classes)), LoadEstimate(len(settings.classes))
        self.tenant_connections = [0] * max(1, len(settings.tenants))
        # How many retries and probes may be sent now
        self.retry_tokens, self.probe_tokens = RETRY_BURST, MAX_SAVED_PROBES * settings.may_probe
        # Limit on set-ups under way, its least value, and the usual time of a set-up
        self.set_up_limit = self.min_set_up_limit = self.set_up_time = 0.0
        self.cold_start = ColdStart(settings)
        self.next_step_at = self.next_watch_at = self.watch_failures = self.slot_timer_at = 0
        # Utilisation up to which a server keeps its groups; capacity for weight 1, in units of load
        self.group_max_utilisation, self.unit_capacity = GROUP_MAX_UTILISATION, 0.0
        self.capacities = CapacityEstimate()  # in connections of mean load

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions to carry out, in order.

        The first event starts the balancer. Raise ValueError if ``now`` is before the previous event's.
        """
        if now < self.now:
            raise ValueError("now: time went backwards")
        self.now, self.actions = now, []
        if self.started < 0:
            self.started = self.ladder.estimated_at = self.ladder.started = now
            self.next_step_at = now + LADDER_INTERVAL_NS
            self.actions = [*([api.Watch()] if self.settings.ask_discovery else []), api.SetTimer(TICK_NS, 0)]
        self.handlers[type(event)](event)
        return self.actions

    # Membership

    def _on_membership(self, event: api.Membership) -> None:
        if event.kind is api.MembershipKind.LOST:
            # Relays lose the list together and would all ask for it again in step: wait with jitter and back off.
            wait = SECOND * min(4, 2**self.watch_failures)
            self.next_watch_at = self.now + int(wait * self.random.uniform(0.5, 1.0))
            self.watch_failures += 1
            return
        self.watch_failures = 0
        if event.kind is not api.MembershipKind.CHANGES:
            listed = {entry.server for entry in event.servers}
            for server in [s for s in self.servers.values() if s.id not in listed]:
                self.table.place(server, api.ServerState.GONE, server.zone, server.cell)
        for entry in event.servers:
            self._update_server(entry)
        self._update_weights()
        self.min_set_up_limit = max(1.0, SET_UPS_PER_SERVER * len(self.live) / self.settings.siblings / 2)
        self.set_up_limit = self.set_up_limit or 2 * self.min_set_up_limit
        self._update_cold_start(0)
        self._place_held(len(self.held))

    def _add_server(self, name: str) -> Server:
        server = self.table.add(name)
        server.slots = self.cold_start.new_slots(self.now, server.digest)
        return server

    def _update_server(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            server = self._add_server(entry.server)
            # At the start nothing is known of any server, so all are probed at once; later ones at a random time.
            server.next_probe_at = self.now + (self.now > self.started) * int(PROBE_INTERVAL_NS * self.random.random())
        if entry.started > server.started:  # a new process: observations of the old one are void
            self.table.set_failures(server, 0)
            server.suspect_until = server.saturated_since = server.assumed_draining_until = 0
            server.reported_utilisation, server.unconfirmed_utilisation, server.message_delay_ms = -1.0, 0.0, 0.0
        if entry.state is api.ServerState.DRAINING and server.connections:
            self.draining.setdefault(server, self.now)
        server.started = max(server.started, entry.started)
        if entry.state is api.ServerState.LIVE:
            warmth = self.cold_start.warmth(self.now - server.started) if server.started else 1.0
            self.table.set_warmth(server, warmth)
        if self.settings.fixed_weights and 0 < entry.weight < math.inf:
            self.table.set_listed_weight(server, entry.weight)
        self.table.place(server, entry.state, entry.zone, entry.cell)
        self.table.discard_if_unused(server)

    def _update_weights(self) -> None:
        """Use the listed weights, but those that can't be right beside the fleet's median."""
        for server in self.table.update_weights():
            ignored = f"server {server.id}: its weight {server.listed_weight:g} is ignored"
            self.actions.append(api.Log(f"{ignored} beside the median of {server.weight:g}, which is used"))
        self.loads_by_server.recount()

    # Loads

    def _class_load(self, cls: int) -> float:
        """Return the mean load of a connection of this class, or of any class while that is unknown."""
        return self.loads.mean(cls)

    def _class_loads(self) -> list[float]:
        return [self._class_load(cls) for cls in range(len(self.settings.classes))]

    def _mean_load(self) -> float:
        """Return the mean load of a connection; 1 while no load is known."""
        return self.loads.overall_mean()

    def _own_load(self, server: Server) -> float:
        """Return the load of this relay's connections to a server."""
        return server.known_load + sum(n * self._class_load(c) for c, n in enumerate(server.unknown_loads) if n)

    def utilisation(self, server: Server) -> float | None:
        """Return a server's estimated load over its capacity, or None without a recent report."""
        if server.reported_utilisation < 0 or self.now - server.reported_at > 2 * OBSERVATION_LIFETIME_NS:
            return None
        added = self._own_load(server) - server.load_at_report
        # Taking the lower of its own and the usual capacity keeps a server that is slower than most from being filled
        # past its capacity between two reports.
        unit = min(server.unit_capacity or self.unit_capacity, self.unit_capacity) * server.weight
        return max(0.0, server.reported_utilisation + (added / unit if unit else 0.0))

    def _attach(self, server: Server, request: RequestState) -> None:
        server.connections[request.id] = request
        self.loads_by_server.add(server)
        server.groups[request.placement_key] = server.groups.get(request.placement_key, 0) + 1
        if request.group:
            self.holders.setdefault(request.group, {})[server.id] = server
        self.loads_by_server.change(server, request.load, request.class_index, int(not request.load))

    def _detach(self, server: Server, request: RequestState) -> None:
        if server.connections.pop(request.id, None) is None:
            return
        server.groups[request.placement_key] -= 1
        if not server.groups[request.placement_key]:
            del server.groups[request.placement_key]
            self._forget_holder(request.group, server)
        known_left = max(0.0, server.known_load - request.load) if server.connections else 0.0
        known = known_left - server.known_load if request.load else 0.0
        self.loads_by_server.change(server, known, request.class_index, -int(not request.load))
        if request.established:
            self.tenant_connections[request.tenant] -= 1
        self.table.discard_if_unused(server)

    def _forget_holder(self, group: str, server: Server) -> None:
        """Record that a server holds no connections of a group any more."""
        if holders := self.holders.get(group):
            holders.pop(server.id, None)
            if not holders:
                del self.holders[group]

    def _record_report(self, server: Server, values: tuple[float, ...]) -> None:
        report = dict(zip(self.settings.report_fields, values, strict=False))
        value = report.get(api.Field.UTILISATION, report.get(api.Field.BUSY))
        if value is None or not 0 <= value <= MAX_PLAUSIBLE_UTILISATION:
            return
        if self._needs_confirmation(server, value):
            self._probe([server])
            return
        server.reported_utilisation, server.reported_at = value, self.now
        self.loads_by_server.add(server)
        # A report describes the load at the time when it was made, before anything that was moved since.
        server.load_at_report = server.past_loads[0] if server.past_loads else self._own_load(server)
        if not self.is_cold(server) and value > MIN_INFORMATIVE_UTILISATION:
            self._learn_capacity(server, value, report.get(api.Field.INFLIGHT))

    def _needs_confirmation(self, server: Server, value: float) -> bool:
        """Tell whether a report may be wrong: it shows a sudden overload, and no report before it showed the same."""
        # Acting on a wrong one would move the clients of a sound server.
        before, server.unconfirmed_utilisation = server.unconfirmed_utilisation, 0.0
        sudden = value > max(SUDDEN_OVERLOAD, SUDDEN_OVERLOAD_FACTOR * (self.utilisation(server) or 0.0))
        if not sudden or value / CONFIRMING_FACTOR <= before <= value * CONFIRMING_FACTOR:
            return False
        server.unconfirmed_utilisation = value
        self.actions.append(api.Log(f"server {server.id}: a reported utilisation of {value:g} waits for confirmation"))
        return True

    def _learn_capacity(self, server: Server, utilisation: float, inflight: float | None) -> None:
        """Update the capacities from the report of a warm server; ``inflight`` is None if it counts no connections."""
        # Where reports count no connections, assume that each other relay's load equals this one's: without that no
        # capacity would be learned from them.
        siblings, mean_load = self.settings.siblings, self._mean_load()
        count = len(server.connections) * siblings if inflight is None else inflight
        self.cold_start.record_report(server.id, server.weight, count, utilisation)
        # Learn only once a load is known: until then each connection counts as 1, and a connection of mean load would
        # be another than the one that is meant later.
        load_in_connections = self._own_load(server) * siblings / mean_load if inflight is None else inflight
        if load_in_connections and self.loads.count:
            capacity = self.capacities.record(server.id, load_in_connections / utilisation / server.weight)
            server.unit_capacity = capacity * mean_load
            self.unit_capacity = self.capacities.fleet * mean_load

    def _on_note(self, event: api.Note) -> None:
        request, server = self.requests.get(event.request), self.servers.get(event.server)
        if request is None or server is None or event.request not in server.connections:
            return
        if event.kind is api.NoteKind.SILENT:
            # A client would otherwise stay on a connection that fell silent while its server answers others.
            if request.established and not request.answered:
                request.answered = True
                self.actions.append(api.Move(request.id, "silent"))
            return
        if event.kind is api.NoteKind.DELAY:
            server.slow_load = self._own_load(server) if event.amount >= server.message_delay_ms else server.slow_load
            server.message_delay_ms, server.message_delay_at = event.amount, self.now
            return
        if 0 < event.amount < math.inf:
            self._record_load(server, request, event.amount)

    def _record_load(self, server: Server, request: RequestState, load: float) -> None:
        """Take in the load that a server noted on a connection; one that can't be right changes nothing."""
        known_before = self.loads.count
        if not request.load:
            self.loads.record(request.class_index, load)
        plausible = self._is_plausible_load(request.class_index, load)
        if plausible:
            self._set_load(server, request, load)
        elif server.plausible_loads:
            self.actions.append(api.Log(f"server {server.id}: a load of {load:g} on a connection is ignored"))
        server.plausible_loads = plausible
        if not known_before and self.loads.count:
            self._forget_past_loads()  # loads recorded so far counted each connection as 1
        if known_before < MIN_LOADS == self.loads.count:
            self._verify_loads()

    def _plausible_hint(self, cls: int, hint: float) -> float:
        """Return the load that a client expects of its connection; 0 if that can't be right."""
        if not 0 < hint < math.inf:
            return 0.0
        self.load_hints.record(cls, hint)
        if self.load_hints.count == MIN_LOADS:
            self._verify_loads()
        return hint if self._is_plausible_load(cls, hint) else 0.0

    def _is_plausible_load(self, cls: int, load: float) -> bool:
        estimate = self.loads if self.loads.count >= MIN_LOADS else self.load_hints
        return estimate.is_plausible(cls, load)

    def _set_load(self, server: Server, request: RequestState, load: float) -> None:
        """Set the load of a connection at a server."""
        self.loads_by_server.change(server, load - request.load, request.class_index, -int(not request.load))
        request.load = load

    def _verify_loads(self) -> None:
        """Take back the loads that can't be right, now that there are enough to tell."""
        wrong = [
            request
            for request in self.requests.values()
            if request.load and not self._is_plausible_load(request.class_index, request.load)
        ]
        for request in wrong:
            request.load = 0.0
            server = request.attempts[-1].server if request.attempts else None
            if server is not None and request.id in server.connections:
                known = sum(each.load for each in server.connections.values()) - server.known_load
                self.loads_by_server.change(server, known, request.class_index, 1)
        if wrong:
            self._forget_past_loads()

    def _forget_past_loads(self) -> None:
        """Compare the loads of servers from now on with the present ones: the earlier ones were in another unit."""
        for server in self.servers.values():
            server.load_at_report, server.past_loads = self._own_load(server), []

    # Health

    def _record_failure(self, server: Server) -> None:
        """Suspect a server for a time that doubles with each failure in a row."""
        # Trouble that is everywhere, such as a slow shared store, is not the fault of single servers: no more than
        # about a third of them are suspected.
        others = len(self.table.failing) - (server.id in self.table.failing)
        if 3 * others >= len(self.live):
            return
        if server.failures == 0:
            self.actions.append(api.Log(f"server {server.id} suspected"))
        server.suspect_until = self.now + SUSPECT_BACK_OFF_NS * 2 ** min(server.failures, SUSPECT_BACK_OFF_DOUBLINGS)
        self.table.set_failures(server, server.failures + 1)

    def _is_saturated(self, server: Server) -> bool:
        slow = (
            server.message_delay_ms * MS > self.shortest_message_aim
            and self.now - server.message_delay_at < OBSERVATION_LIFETIME_NS
        )
        return slow or (self.utilisation(server) or 0.0) > 1.0

    def _is_suspect(self, server: Server) -> bool:
        """Tell whether a server is avoided; after its back-off, it gets one set-up as a trial."""
        avoided = max(server.suspect_until, server.assumed_draining_until) > self.now
        return avoided or (server.failures > 0 and server.pending > 0)

    # Cold-start budget

    def is_cold(self, server: Server) -> bool:
        """Tell whether a server may still be cold."""
        return server.warmth < 1

    def _update_cold_start(self, elapsed: int) -> None:
        """Update the servers' warmth and the fleet's load, ``elapsed`` nanoseconds after the last step."""
        if elapsed:  # lists may change many times between two steps, and each change brings its own servers' warmth
            self.table.refresh_cold(self.cold_start, self.now)
        warm = [s for s in self.tracked.values() if s.id in self.live and not self.is_cold(s)]
        reported = [(s.weight, u) for s in warm if (u := self.utilisation(s)) is not None]
        capacity = self.table.warm_capacity + self.table.cold_capacity
        unreported = max(0.0, capacity - sum(weight for weight, _ in reported))
        self.cold_start.update_load(elapsed, reported, unreported)

    def _waits_for_slot(self, request: RequestState, first: Server) -> bool:
        """Tell whether to wait for a slot at a cold server rather than use ``first``, and set a timer if so."""
        # Without waiting, a crowd of returning clients would all go to the warm server with the lowest reported load.
        crowd = not request.has_roomy_pair or (request.returning and self._needs_slots())
        if first.warmth < 1 or not crowd or not self.table.cold or len(self.held) > MAX_WAITING_REQUESTS:
            return False
        cold = [s for s in self._nearby(request) if self._is_cold_with_room(s)]
        due = [self.now + self.cold_start.time_to_next_slot(s.slots, s.weight * s.warmth) for s in cold]
        latest = min(request.arrived_at + self.cold_start.window, request.deadline - self.set_up_time - 2 * TICK_NS)
        if min(due, default=latest) >= latest:
            return False
        if self.slot_timer_at <= self.now:
            self.slot_timer_at = min(due)
            self.actions.append(api.SetTimer(self.slot_timer_at - self.now, SLOT_TIMER))
        return True

    # Placement

    def _candidates(self, request: RequestState) -> list[Server]:
        """Return the servers that a new connection may go to; suspect ones only if there are no others."""
        ready = self._in_rotation(self._nearby(request))
        ring = self._permitted_ring(request)
        if not ready and len(ring) > MAX_CANDIDATES:
            ready = self._further_candidates(request, ring)
        # While the fleet is busy, cold servers with an open slot go first: a slot that lapses unused leaves its load
        # to warm servers that have too much already.
        cold = [s for s in ready if self._is_cold_with_room(s)] if self.table.cold and self._needs_slots() else []
        return cold or ready

    def _needs_slots(self) -> bool:
        return self.cold_start.fleet_utilisation >= SLOTS_NEEDED_UTILISATION

    def _permitted_ring(self, request: RequestState) -> ServerRing[Server]:
        """Return the live servers that may get a further attempt of a request; none if it may not be repeated."""
        cls = self.settings.classes[request.class_index]
        if not self._may_repeat(request):
            return ServerRing()
        first = next((a for a in request.attempts if a.result not in _NOT_EXECUTED), None)
        if first is None or cls.semantics is not api.Semantics.KEYED or cls.scope is api.Scope.ALL:
            return self.table.ring
        if cls.scope is api.Scope.ZONE:
            return self.table.zone_ring(first.zone)
        return self.table.cell_ring(first.cell)

    def _nearby(self, request: RequestState) -> list[Server]:
        """Return the live servers that a request is placed among: all permitted ones in a fleet that is not large."""
        ring, position = self._permitted_ring(request), digest(request.placement_key)
        near = ring.following(position, MAX_CANDIDATES)
        if len(near) == len(ring):
            return near
        further = list(self.holders.get(request.group, {}).values())
        if self._prefers_own_zone():
            further += self.table.zone_ring(self.settings.zone).following(position, MAX_CANDIDATES)
        if self._needs_slots() and len(self.table.cold) <= MAX_CANDIDATES:
            further += self.table.cold.values()
        permitted = (s for s in further if s.id in self.live and self._may_send(request, s))
        return list(dict.fromkeys([*near, *permitted]))

    def _further_candidates(self, request: RequestState, ring: ServerRing[Server]) -> list[Server]:
        """Return candidates elsewhere in the fleet, at other places each time; none if there are none either."""
        for _ in range(FURTHER_SEARCHES):
            request.further_searches += 1
            position = digest(request.placement_key) + request.further_searches * FURTHER_SEARCH_STEP
            ready = self._in_rotation(ring.following(position, MAX_CANDIDATES))
            if ready:
                return ready
        return []

    def _is_cold_with_room(self, server: Server) -> bool:
        return (
            server.warmth < 1 and not self._is_suspect(server) and (self.utilisation(server) or 0.0) <= FULL_UTILISATION
        )

    def _in_rotation(self, live: Iterable[Server]) -> list[Server]:
        """Return which of these servers may get new connections."""
        live, now = list(live), self.now
        # Nothing is wrong with most servers, and that is quickly seen.
        in_rotation = [
            s
            for s in live
            if (s.warmth == 1 and not s.probe_pending and not s.failures and s.assumed_draining_until <= now)
            or not (self._lacks_slot(s) or self._has_late_probe(s) or self._is_suspect(s))
        ]
        if in_rotation:
            return in_rotation
        live = [s for s in live if not self._lacks_slot(s)]
        live = [s for s in live if not self._has_late_probe(s)] or live
        return [s for s in live if not self._is_suspect(s)] or live

    def _lacks_slot(self, server: Server) -> bool:
        # A cold server is used only in its slots, as all relays together would overload it. A relay that has just
        # restarted does not know what it sent there before, and leaves it out for one window.
        if server.warmth == 1:
            return False
        window_known = self.now - self.started >= self.cold_start.window
        capacity = server.weight * server.warmth
        return not (window_known and self.cold_start.has_open_slot(self.now, server.slots, capacity))

    def _has_late_probe(self, server: Server) -> bool:
        # A late probe shows that a server answers nothing; otherwise each relay would learn it by a set-up of its own.
        return server.probe_pending and self.now - server.probed_at >= REPORT_WAIT_NS

    def rotation_counts(self) -> tuple[int, int]:
        """Return how many servers are listed, and how many of those get no new connections now."""
        table = self.table
        self.table.assumed_draining = {
            name: each for name, each in table.assumed_draining.items() if each.assumed_draining_until > self.now
        }
        doubtful = {**table.cold, **table.failing, **table.assumed_draining, **table.probed}
        servers = [server for name, server in doubtful.items() if name in self.live]
        listed = len(self.servers) - len(table.left)
        in_rotation = len(self.live) - len(servers)
        if in_rotation:
            avoided = (self._lacks_slot(s) or self._has_late_probe(s) or self._is_suspect(s) for s in servers)
            in_rotation += len(servers) - sum(avoided)
        else:
            in_rotation = len(self._in_rotation(servers))
        return listed, listed - in_rotation

    def _top_two(self, request: RequestState, ready: list[Server]) -> list[Server]:
        """Return the two best servers for a request, or fewer if there are no more."""
        key = request.placement_key
        if tried := {a.server for a in request.attempts}:
            ready = [s for s in ready if s not in tried] or ready
        ranked = rendezvous(key, ready)
        if self._prefers_own_zone():
            ranked.sort(key=lambda s: s.zone != self.settings.zone)
        if request.group:
            # A group at two servers costs twice, so the server that holds most of it goes first.
            holders = self.holders.get(request.group, {})
            holding = sorted((s for s in ranked if s.id in holders), key=lambda s: -s.groups.get(key, 0))
            ranked = holding + [s for s in ranked if s.id not in holders] if holding else ranked
        # A saturated server loses its groups whole, one by one; new connections of those go elsewhere, so that its
        # groups are not scattered.
        ranked = [s for s in ranked if key not in s.leaving_groups] or ranked
        # Without the check for crowded servers, a group fills its first servers while others are idle.
        mean = self.loads_by_server.total(self._class_loads()) / max(1, len(self.live))
        roomy = list(islice((s for s in ranked if not self._is_crowded(s, key, mean)), 2))
        request.has_roomy_pair = bool(roomy)
        return roomy or ranked[:2]

    def _prefers_own_zone(self) -> bool:
        """Tell whether to place in the own zone and move later if that fails: crossing zones costs more than a move."""
        return self.settings.zone_price > self.settings.move_price and self.ladder.rung == 0

    def _choose(self, request: RequestState, pair: list[Server]) -> Server:
        """Choose the less loaded of two servers, or one at random while both have room."""
        first, second = pair[0], pair[-1]
        a, b = self.utilisation(first), self.utilisation(second)
        if a is None or b is None or not self.unit_capacity:
            a, b = (self._own_load(s) / s.weight for s in (first, second))
        elif max(a, b) < FULL_UTILISATION:
            # If all relays took the less loaded server of the same report, they would fill it together: choose in
            # proportion to free capacity, that of the first counted twice.
            share = 2 * (FULL_UTILISATION - a) / (2 * (FULL_UTILISATION - a) + FULL_UTILISATION - b)
            return first if self.random.random() < share else second
        # A group stays at its first server unless that is crowded: a second server for it costs more.
        return first if a <= b or (request.group and request.has_roomy_pair) else second

    def _is_crowded(self, server: Server, key: str, mean: float) -> bool:
        """Tell whether a server is too loaded for more connections with this key; ``mean`` is the fleet's mean load."""
        utilisation = self.utilisation(server)
        if utilisation is not None and (utilisation > GROUP_MAX_UTILISATION or self.unit_capacity):
            return utilisation > self.group_max_utilisation
        load = self._own_load(server)
        near_slow_load = 0 < SLOW_LOAD_SHARE * server.slow_load < load
        # A relay that has just started has no reports yet, and could fill one server with a group before the first.
        unreported = self.settings.may_probe and load > UNREPORTED_GROUP_CONNECTIONS * self._mean_load()
        return near_slow_load or (
            (unreported or key not in server.groups) and load / server.weight > MAX_LOAD_RATIO * mean
        )

    # Attempts

    def _track_request(self, event: api.Request | api.OpenConnection, deadline: int) -> RequestState:
        group = event.group if self.settings.groups else ""
        tenant = event.tenant if event.tenant < len(self.tenant_connections) else 0
        bucket = (event.request_class, self._is_over_share(tenant))
        request = RequestState(
            event.request,
            event.request_class,
            group or event.key or event.request,
            bucket,
            tenant,
            deadline,
            group,
            load=self._plausible_hint(event.request_class, event.load_hint),
            arrived_at=self.now,
        )
        self.requests[request.id] = request
        return request

    def _on_request(self, event: api.Request) -> None:
        if event.request in self.requests:
            return
        request = self._track_request(event, event.deadline)
        request.returning = event.returning
        # Each request pays for probes, so that many relays with few clients do not probe all the time; returning
        # clients pay only for the probes that are kept for placement.
        limit = (PLACEMENT_PROBE_RESERVE if event.returning else MAX_SAVED_PROBES) * self.settings.may_probe
        earned = PROBE_POINTS_PER_REQUEST / self.settings.probe_price if self.settings.probe_price else MAX_SAVED_PROBES
        self.probe_tokens = max(self.probe_tokens, min(limit, self.probe_tokens + earned))
        if event.mid_flow:
            near = self._nearby(request)
            if ready := [s for s in near if s.suspect_until <= self.now] or near:
                self._send(request, rendezvous(request.placement_key, ready)[0])
                return
        elif event.returning and self._polices_by_share() and self.ladder.rung < RUNGS - 1:
            if self.random.random() >= self.ladder.shares[request.bucket]:
                self._refuse(request, "ladder, by share")
                return
        elif not self.ladder.admit(self.now, request.bucket):
            self._refuse(request, "ladder, by rate")
            return
        self._place(request)

    def _polices_by_share(self) -> bool:
        """Tell whether returning clients are admitted by their bucket's share instead of its rate."""
        # After a restart, or with a rate of a few set-ups, the buckets would turn away clients that were connected
        # before.
        few = 0 < sum(self.ladder.estimate.values()) * ESTIMATE_WINDOW_NS < MIN_SET_UPS_FOR_RATE * SECOND
        return few or (not self.had_connections_at_start and self.now - self.started < ESTIMATE_WINDOW_NS)

    def _is_over_share(self, tenant: int) -> bool:
        quota = self.settings.tenants[tenant].open_connections if self.settings.tenants else 0.0
        return 0 < quota < self.tenant_connections[tenant] * self.settings.siblings

    def _may_repeat(self, request: RequestState) -> bool:
        """Tell whether a request may have a further attempt at any server."""
        cls = self.settings.classes[request.class_index]
        if cls.semantics is api.Semantics.REPEATABLE:
            return True
        may_have_run = [a for a in request.attempts if a.result not in _NOT_EXECUTED]
        if cls.semantics is api.Semantics.ONCE:
            return not may_have_run
        return all(self.now < attempt.sent_at + cls.window for attempt in may_have_run)

    def _may_send(self, request: RequestState, server: Server) -> bool:
        """Tell whether an attempt at this server can't make the request take effect twice."""
        cls = self.settings.classes[request.class_index]
        if not self._may_repeat(request):
            return False
        if cls.semantics is not api.Semantics.KEYED or cls.scope is api.Scope.ALL:
            return True
        return all(
            attempt.zone == server.zone if cls.scope is api.Scope.ZONE else attempt.cell == server.cell
            for attempt in request.attempts
            if attempt.result not in _NOT_EXECUTED
        )

    def _place(self, request: RequestState) -> None:
        """Send a request to a server, hold it, or end it if no server will be found in time."""
        if not self._may_repeat(request):
            self._give_up(request, "no time to repeat")
            return
        # The limit on set-ups under way spreads the clients of a dead relay, which all return at once, to what a store
        # shared by the servers can take.
        pair = self._top_two(request, self._candidates(request)) if self.pending < int(self.set_up_limit) else []
        if pair and not self._waits_for_slot(request, pair[0]) and not self._waits_for_reports(request, pair):
            self._send(request, self._choose(request, pair))
        elif not pair and request.deadline - self.now <= self.set_up_time + 2 * TICK_NS:
            self._give_up(request, "no server in time")  # held any longer, it would miss its deadline
        else:
            self.held[request.id] = request

    def _waits_for_reports(self, request: RequestState, pair: list[Server]) -> bool:
        """Probe servers without a fresh report, and tell whether to wait for the results before placing."""
        # One relay seldom gets reports of most servers, and must not place by old ones.
        stale = [s for s in pair if s.reported_utilisation < 0 or self.now - s.reported_at > FRESH_REPORT_AGE_NS]
        waited = self.now >= min(
            (request.reports_requested_at or self.now) + REPORT_WAIT_NS, request.deadline - 2 * REPORT_WAIT_NS
        )
        if not self.settings.may_probe or waited or len(self.held) > MAX_WAITING_REQUESTS:
            return False
        self._probe([s for s in stale if self.now - s.probed_at > FRESH_REPORT_AGE_NS])
        awaited = [s for s in stale if s.probe_pending]
        for server in awaited:
            self.awaiting_report.setdefault(server.id, {})[request.id] = request
        if awaited and not request.reports_requested_at:
            request.reports_requested_at = self.now
            self.report_waits.append(request)
            self.actions.append(api.SetTimer(REPORT_WAIT_NS, REPORT_TIMER))
        return bool(awaited)

    def _send(self, request: RequestState, server: Server) -> None:
        # The time-out doubles with each attempt: repeats by many relays would otherwise fill a shared store that is
        # only slow.
        first_timeout = max(
            self.settings.classes[request.class_index].aim, int(FIRST_TIMEOUT_FACTOR * self.set_up_time)
        )
        timeout = min(request.deadline - self.now, first_timeout << len(request.attempts))
        request.attempts.append(Attempt(server, self.now, server.zone, server.cell))
        self.held.pop(request.id, None)
        server.pending += 1
        self.pending += 1
        self._attach(server, request)
        server.slots.use_oldest()
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_SHARE)
        self.actions.append(api.Send(request.id, server.id, max(1, timeout)))

    def _on_established(self, event: api.Established) -> None:
        request = self.requests.get(event.request)
        if request is None or request.established or event.attempt != len(request.attempts) - 1:
            return
        server = request.attempts[-1].server
        request.established = True
        server.pending -= 1
        self.pending -= 1
        self.set_up_limit += 1 / self.set_up_limit
        self.table.set_failures(server, 0)
        server.suspect_until, server.last_set_up_failed = 0, False
        self.tenant_connections[request.tenant] += 1
        self.set_up_time += (event.elapsed - self.set_up_time) * (0.1 if self.set_up_time else 1.0)
        # Clients that return after a break are no new demand, and would inflate the estimate.
        if not request.returning:
            self.ladder.accepted[request.bucket] += 1
        self._place_held()

    def _on_outcome(self, event: api.Outcome) -> None:
        request = self.requests.get(event.request)
        tried = request.attempts if request else []
        if request is None or not 0 <= event.attempt < len(tried) or tried[event.attempt].result is not None:
            return
        tried[event.attempt].result, server = event.result, tried[event.attempt].server
        self._record_report(server, event.report)
        self._detach(server, request)
        if not request.established:
            server.pending -= 1
            self.pending -= 1
        if event.result in _SERVER_FAULTS:
            # One connection that breaks alone while the server's others stay open is no reason to avoid the server.
            if request.established:
                alone = self.now - server.connection_broke_at > SECOND
                server.connection_broke_at = self.now
            else:
                alone = event.result in (api.Result.CONNECT_FAILED, api.Result.RESET) and not server.last_set_up_failed
                alone = alone and any(r.established for r in server.connections.values())
                server.last_set_up_failed = True
                self.set_up_limit = max(self.min_set_up_limit, self.set_up_limit / 2)
            if not alone:
                self._record_failure(server)
        if request.established and not request.answered and event.result is api.Result.CANCELLED:
            self._record_sent_away(server)
        if request.established or event.last or request.answered:
            self._drop(request)
        else:
            self._retry(request)
        self._place_held()

    def _record_sent_away(self, server: Server) -> None:
        """Note that a server closed a connection gracefully; count it as draining if it closed many."""
        # The list tells of a drain only seconds later, and until then clients would be sent back to the server.
        server.sent_away_at = [at for at in server.sent_away_at if at > self.now - SECOND] + [self.now]
        # Clients also leave by themselves, but not half of all within a second.
        if len(server.sent_away_at) >= max(DRAIN_MIN_SENT_AWAY, len(server.connections)):
            server.assumed_draining_until = self.now + ASSUMED_DRAIN_NS
            self.table.assumed_draining[server.id] = server

    def _retry(self, request: RequestState) -> None:
        """Start another attempt after a failed one, or give up."""
        spent = len(request.attempts) >= self.settings.max_attempts or self.retry_tokens < 1
        barred = not len(self._permitted_ring(request))
        if spent or barred or request.deadline - self.now <= self.set_up_time:
            self._give_up(request, "retries spent" if spent else "no time to retry")
        else:
            self.retry_tokens -= 1
            self._place(request)

    def _give_up(self, request: RequestState, why: str) -> None:
        """Refuse a request if trying it again does no harm, else fail it."""
        cls = self.settings.classes[request.class_index]
        harmless = cls.semantics is api.Semantics.REPEATABLE
        harmless |= (cls.semantics, cls.scope) == (api.Semantics.KEYED, api.Scope.ALL)
        if harmless or all(a.result in _NOT_EXECUTED for a in request.attempts):
            self._refuse(request, why)
        else:
            self.actions.append(api.Fail(request.id, why))
            self._drop(request)

    def _refuse(self, request: RequestState, why: str) -> None:
        self.actions.append(api.Refuse(request.id, min(self.settings.retry_after_max, LADDER_INTERVAL_NS), why))
        self._drop(request)

    def _drop(self, request: RequestState) -> None:
        request.answered = True
        self.requests.pop(request.id, None)
        self.held.pop(request.id, None)

    def _on_client_gone(self, event: api.ClientGone) -> None:
        if (request := self.requests.get(event.request)) is None:
            return
        request.answered = True
        self.held.pop(request.id, None)
        if not request.attempts or request.attempts[-1].result is not None:
            self._drop(request)
        elif self.settings.may_cancel and not request.established:
            self.actions.append(api.Cancel(request.id, len(request.attempts) - 1))

    def _on_open_connection(self, event: api.OpenConnection) -> None:
        if event.request in self.requests:
            return
        if (server := self.servers.get(event.server)) is None:
            server = self._add_server(event.server)
        self.had_connections_at_start |= not event.inherited
        request = self._track_request(event, 0)
        request.attempts.append(Attempt(server, self.now, server.zone, server.cell))
        request.established = True
        self.tenant_connections[request.tenant] += 1
        self._attach(server, request)

    def _place_held(self, limit: int = 1) -> None:
        """Try again to place the requests held longest, up to ``limit`` of them."""
        for request in list(islice(self.held.values(), limit)):
            self._place(request)

    # Probes, moves and the clock

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        waiting = self.awaiting_report.pop(event.server, {})
        if (server := self.servers.get(event.server)) is not None:
            server.probe_pending = False
            self.table.probed.pop(server.id, None)
            self._record_report(server, event.report)
            if event.result in (api.Result.TIMEOUT, api.Result.CONNECT_FAILED):
                self._record_failure(server)
        self._place_if_held(waiting.values())
        if not waiting:
            self._place_held()

    def _on_timer(self, event: api.Timer) -> None:
        """Place held requests, and do the regular work at a tick."""
        if event.token == REPORT_TIMER:
            self._end_report_waits()
        elif event.token == SLOT_TIMER:
            self._place_held(MAX_WAITING_REQUESTS)
        else:
            self._place_held(len(self.held))
            self._tick()

    def _end_report_waits(self) -> None:
        """Place the requests that have waited for reports for long enough."""
        while self.report_waits and self.report_waits[0].reports_requested_at + REPORT_WAIT_NS <= self.now:
            self._place_if_held([self.report_waits.popleft()])

    def _place_if_held(self, requests: Iterable[RequestState]) -> None:
        for request in requests:
            if self.held.get(request.id) is request:
                self._place(request)

    def _tick(self) -> None:
        self.actions.append(api.SetTimer(TICK_NS, 0))
        if self.next_watch_at and self.now >= self.next_watch_at:
            self.next_watch_at = 0
            self.actions.append(api.Watch())
        for server in self.tracked.values():
            server.past_loads = [*server.past_loads[1 - REPORT_AGE_TICKS :], self._own_load(server)]
        self.loads_by_server.recount()
        self._probe_due()
        self.group_max_utilisation = max(GROUP_MAX_UTILISATION, GROUP_MEAN_FACTOR * self.ladder.last_index / 100)
        self._sample_index()
        self._move_from_draining()
        self._move_from_saturated()
        if self.now >= self.next_step_at:
            self.next_step_at = self.now + LADDER_INTERVAL_NS
            self._update_cold_start(LADDER_INTERVAL_NS)
            if self.ladder.step(self.now, self._class_loads()):
                severe = ", severely overloaded: refusing all" * (self.ladder.rung == RUNGS - 1)
                self.actions.append(api.Log(f"ladder on rung {self.ladder.rung}{severe}"))

    def _probe_due(self) -> None:
        """Probe the servers whose reports are oldest, as far as requests have paid for it."""
        while self.probe_tokens >= 1 + PLACEMENT_PROBE_RESERVE:
            server = self.table.take_due_probe(self.now)
            if server is None:
                return
            if server.probe_pending:
                self.table.schedule_probe(server, self.now + TICK_NS)
            else:
                self._probe([server])

    def _probe(self, servers: list[Server]) -> None:
        """Probe these servers in order while there are probe tokens."""
        for server in servers:
            if not server.probe_pending and self.probe_tokens >= 1:
                self.probe_tokens -= 1
                interval = int(PROBE_INTERVAL_NS * self.random.uniform(0.8, 1.2))
                self.table.schedule_probe(server, self.now + interval)
                server.probe_pending, server.probed_at = True, self.now
                self.table.probed[server.id] = server
                self.actions.append(api.Probe(server.id))

    def _sample_index(self) -> None:
        """Give the ladder a reading of the load index."""
        # The index covers only servers that take new connections: the load of others is no reason to refuse.
        ready = [s for s in self.tracked.values() if s.state is api.ServerState.LIVE and not self._is_suspect(s)]
        if utilisations := [min(1.0, u) for s in ready if (u := self.utilisation(s)) is not None]:
            self.ladder.sample(100 * sum(utilisations) / len(utilisations))
            return
        # Without reports, take the share of load on saturated servers: set-ups do not show overload, as they succeed
        # while open connections earn nothing.
        if load := sum(self._own_load(s) for s in self.tracked.values()):
            saturated = sum(self._own_load(s) for s in self.tracked.values() if self._is_saturated(s))
            self.ladder.sample(100 * SLOW_LOAD_SCALE * saturated / load)

    def _move_from_draining(self) -> None:
        """Move the clients of draining servers once the grace time is over."""
        # A server may leave without sending its clients away, which would cut them off without notice.
        for server, since in list(self.draining.items()):
            if server.state is not api.ServerState.DRAINING or not server.connections:
                del self.draining[server]
            elif self.now - since >= DRAIN_GRACE_NS:
                for request in [r for r in server.connections.values() if r.established and not r.answered]:
                    request.answered = True
                    self.actions.append(api.Move(request.id, "draining"))

    def _move_from_saturated(self) -> None:
        """Move groups away from saturated servers, the same ones at every relay, a few connections a tick."""
        saturated = sum(1 for s in self.tracked.values() if self._is_saturated(s))
        calm = self.ladder.rung == 0 and 3 * saturated <= len(self.tracked)
        for server in list(self.tracked.values()):
            if not self._is_saturated(server) or server.state is not api.ServerState.LIVE:
                server.saturated_since, server.leaving_groups = 0, frozenset()
                unused = not server.connections and self.utilisation(server) is None
                if unused or server.state is not api.ServerState.LIVE:
                    self.loads_by_server.remove(server)
                    server.past_loads = []
                continue
            server.saturated_since = server.saturated_since or self.now
            utilisation = self.utilisation(server)
            hung = (
                server.message_delay_ms >= HUNG_DELAY_MS
                and self.now - server.message_delay_at < OBSERVATION_LIFETIME_NS
            )
            if hung and server.suspect_until <= self.now:
                self._record_failure(server)
            movable = [r for r in server.connections.values() if r.established and not r.answered]
            why, chosen = "", list[RequestState]()
            if utilisation is not None or 2 * saturated <= len(self.tracked):
                share = GROUP_LOSS_PER_S * (self.now - server.saturated_since) / SECOND
                if calm:
                    # The longer the backlog, the more to move: clients earn nothing while it is worked off only slowly.
                    share = max(
                        share, 1 - max(0.2, 0.8 - server.message_delay_ms / BACKLOG_DRAIN_MS) / (utilisation or 1.0)
                    )
                excess = max(share, 1 - 0.8 / utilisation) if utilisation and utilisation > 1 else share
                # The groups with the fewest connections here go first: moving a group costs the same whatever its size.
                by_size = sorted(sizes := server.groups, key=lambda g: (sizes[g], pair_hash(digest(g), server.digest)))
                server.leaving_groups = frozenset(by_size[: math.ceil(len(by_size) * min(1.0, excess))])
                leaving = (
                    r
                    for r in movable
                    if r.placement_key in server.leaving_groups and self._has_room_elsewhere(r, server)
                )
                why, limit = (
                    "asked too much",
                    self._round_at_random(len(movable) * (CALM_MOVE_SHARE_PER_TICK if calm else MOVE_SHARE_PER_TICK)),
                )
                chosen = list(islice(leaving, limit))
            if not chosen and self.ladder.rung > 0:
                # Refusals alone do not end an overload, as long-lived connections stay: cut those of the least worth
                # for their load.
                movable.sort(key=lambda r: self.ladder.worths[r.bucket] / (r.load or self._class_load(r.class_index)))
                why, chosen = "shed", movable[: self._round_at_random(len(movable) * SHED_SHARE_PER_TICK)]
            if hung:
                # Clients would otherwise stay for seconds at a server that answers nothing.
                why, chosen = "hung", movable[: math.ceil(len(movable) * HUNG_MOVE_SHARE_PER_TICK)]
            for request in chosen:
                request.answered = True
                self.actions.append(api.Move(request.id, why))

    def _round_at_random(self, count: float) -> int:
        """Round down or up at random, so that the mean is ``count``."""
        # With rounding up, many relays with few connections each would move half of all connections in one tick.
        return int(count + self.random.random())

    def _has_room_elsewhere(self, request: RequestState, leaves: Server) -> bool:
        """Tell whether a request that leaves a server would now go to one with room."""
        pair = self._top_two(request, self._candidates(request))
        target = self._choose(request, pair) if pair else leaves
        unfit = target is leaves or self._is_saturated(target)
        return not unfit and (self.utilisation(target) or 0.0) <= GROUP_MAX_UTILISATION


# Results after which the request has certainly not run at the server
_NOT_EXECUTED = (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_SENT)
_SERVER_FAULTS = frozenset(api.Result) - {api.Result.OK, api.Result.CANCELLED, api.Result.NOT_SENT}
