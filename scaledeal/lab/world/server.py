"""The model of a tile server.

Laws. Work is measured in seconds of a reference core. A server does ``cores * speed * warmth`` of it per second; warmth
grows linearly from ``cold_from`` to 1 over its ``cold`` time. Each connection demands its load, and each group of which
the server holds a connection demands ``group_cost`` mean loads more; the utilisation is that sum over the present
capacity. Demand beyond a utilisation of 1 builds up a backlog, which is worked off while utilisation is below 1. A
connection is well served for the share of its messages that are answered within the target time of its class:
``1 - exp(-(1 - utilisation) * remaining / m)``, where ``m`` is the response time of an idle server and ``remaining`` is
the target time less the backlog (response times of M/M/1). Beyond ``buffer`` of backlog, connections are dropped, the
heaviest or the newest first. New connections are set up in order of arrival, by as many workers as there are cores and
then by the store. A server that is cold by the settings fails when it gets more than ``N + 2 * sqrt(N) + 2`` new
connections of mean work in any window of ``rules.fall``; a connection counts with the mean work of its class.
``cold_limit`` defines N: it depends on the cold share and warm-up of the settings, not on those of the server.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from typing import Protocol

import msgspec
import numpy as np

from scaledeal.lab.kernel import Kernel, Station
from scaledeal.lab.scenario.types import Model, Scenario
from scaledeal.lab.truth import RuleChecker, Service

MS = 1_000_000
SECOND = 1000 * MS
REVIEW_INTERVAL_NS = 100 * MS  # between updates of a server that is cold or has a backlog
DELAY_NOTE_INTERVAL_NS = SECOND  # between delay notes to one relay


class ConnectionPeer(Protocol):
    """The relay's end of a connection, or of an attempt to set one up."""

    relay: str

    def up(self) -> None:
        """Handle the end of the set-up: the connection is established."""

    def turned_away(self) -> None:
        """Handle a refusal for lack of capacity: no set-up work was done."""

    def error(self) -> None:
        """Handle a failed set-up."""

    def load(self, amount: float) -> None:
        """Handle a report of the connection's load, in microseconds of work per second."""

    def delay(self, ms: float) -> None:
        """Handle a note of the current response time of the server."""

    def sent_away(self) -> None:
        """Handle the end of the connection because the server drains."""

    def reset(self) -> None:
        """Handle a reset of the connection."""


class MeanLoads(Protocol):
    """Mean loads of connections, in reference cores."""

    mean_load: float  # of established connections
    mean_work: float  # of new connections
    relative_works: list[float]  # of new connections, by class, relative to mean_work


class ServerConnection(msgspec.Struct, eq=False):
    """A connection at a server, from its arrival to its end."""

    peer: ConnectionPeer
    id: str
    cls: int
    group: str
    load: float  # in reference cores
    rng: np.random.Generator
    cell: int = 0  # index of its class and tenant in the service accounts
    established: bool = False
    silent: bool = False  # its messages are not answered any more
    closed: bool = False


class TileServer:
    """A tile server process on its own machine."""

    def __init__(
        self,
        kernel: Kernel,
        day: Scenario,
        name: str,
        zone: int,
        model: Model,
        rng: np.random.Generator,
        service: Service,
        checker: RuleChecker,
        store: Station,
        store_time: Callable[[], int],
        mean_loads: MeanLoads,
        started_at: int = 0,
    ) -> None:
        self.kernel, self.day, self.model, self.rng = kernel, day, model, rng
        self.service, self.checker = service, checker
        self.store, self.store_time = store, store_time
        self.name, self.zone, self.started_at = name, zone, started_at  # 0: warm, started before the run
        self.mean_loads = mean_loads
        self.mean_load = mean_loads.mean_load
        self.power = model.cores * _sample(rng, model.speed)  # in reference cores, when warm
        self.cold_from = _sample(rng, model.cold_from)
        self.cold_time = int(_sample(rng, model.cold)) if started_at else 0
        self.report_period = int(_sample(rng, day.servers.report_period))
        self.report_age = int(_sample(rng, day.servers.report_delay))
        self.report_phase = int(rng.integers(0, self.report_period))
        self.connections: dict[str, ServerConnection] = {}
        self.group_counts: dict[str, int] = {}  # established connections by group
        self.served_counts = [0] * len(day.classes) * service.tenant_count  # connections being served, by cell
        self.connection_load = 0.0  # of established connections, in reference cores
        self.backlog_s = 0.0  # message work not yet done, in seconds of its own capacity
        self.set_up_workers = Station(kernel, model.cores, patience=None)
        self.queued_set_up_work = 0.0  # in seconds of a reference core
        self.alive, self.draining, self.hung, self.reachable = True, False, False, True
        self.on_death: Callable[[bool], None] = lambda silently: None
        self.machine_factor = 1.0  # share of the machine available to it, times the relative speed of the machine
        self.error_share = 0.0  # share of set-ups that fail
        self.paused_until = 0
        self.error_count = 0
        self._updated_at = kernel.now
        self._review_scheduled = False
        self._delay_noted_at: dict[str, int] = {}  # by relay: time of the last note that messages are slow
        self._load_history: list[tuple[int, float, int]] = [(0, 0.0, 0)]  # time, utilisation, connections
        self._cold_arrivals: list[tuple[int, str, float]] = []  # while cold: time, relay, relative work
        if started_at:
            self._schedule_review()

    # Capacity

    def warmth(self) -> float:
        """Return its present capacity as a share of its capacity when warm."""
        age = self.kernel.now - self.started_at
        if not self.started_at or age >= self.cold_time:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * age / self.cold_time

    def utilisation(self) -> float:
        """Return the demand over the present capacity; it can exceed 1."""
        group_load = self.day.servers.group_cost * self.mean_load * len(self.group_counts)
        return (self.connection_load + group_load) / (self.power * self.warmth() * self.machine_factor)

    def is_stalled(self) -> bool:
        """Return whether it answers nothing at present: it is hung, paused or dead."""
        return self.hung or not self.alive or self.kernel.now < self.paused_until

    def delay_ms(self, cls: int) -> float:
        """Return the present response time of a message of a class, in ms."""
        idle = self.day.servers.message * self.day.classes[cls].message / MS
        return idle / (1 - min(self.utilisation(), 0.98)) + self.backlog_s * 1000

    # Connections

    def arrive(self, connection: ServerConnection) -> None:
        """Handle the first line of a connection; the result is reported to its peer."""
        self.update()
        self.connections[connection.id] = connection
        self._check_cold_limit(connection)
        if not self.alive or self.hung:
            return  # the connection was accepted, but is never answered
        if self.rng.random() < self.error_share:
            self.error_count += 1
            self._answer(connection, connection.peer.error)
        elif self.draining or self._is_full():
            self._answer(connection, connection.peer.turned_away)
        else:
            work = _sample(self.rng, self.day.servers.setup) / SECOND
            self.queued_set_up_work += work
            duration_s = work / (self.power / self.model.cores * self.warmth() * self.machine_factor)
            self.set_up_workers.submit(
                int(duration_s * SECOND), lambda served: self._set_up_done(connection, work, duration_s)
            )

    def add_established(self, connection: ServerConnection) -> None:
        """Add a connection that was established before the run."""
        self.connections[connection.id] = connection
        self._establish(connection)

    def leave(self, connection: ServerConnection) -> None:
        """Handle the end of a connection, or of an attempt, by the relay."""
        self.update()
        self._remove(connection)

    def probe(self) -> tuple[float, ...] | None:
        """Return the fields of a load report, or None while it is stalled.

        The values are those of the latest refresh that is at least ``report_age`` old.
        """
        if self.is_stalled():
            return None
        shown_at = (
            self.kernel.now - self.report_age - self.report_phase
        ) // self.report_period * self.report_period + self.report_phase
        index = bisect_right(self._load_history, (shown_at, math.inf, 0)) - 1
        _, utilisation, count = self._load_history[max(0, index)]
        noise = 1 + self.day.servers.report_noise * float(self.rng.standard_normal())
        values = {
            "eps": float(self.error_count),
            "inflight": float(count),
            "x0": max(0.0, utilisation * noise),
            "queue": float(len(self.set_up_workers.waiting)),
        }
        return tuple(values[name] for name in self.day.rules.report_fields)

    # Faults and administration

    def hang(self, hung: bool) -> None:
        """Stop answering, or answer again."""
        self.update()
        self.hung = hung
        self._schedule_review()

    def pause(self, until: int) -> None:
        """Stop all work until a time, in ns."""
        self.update()
        self.paused_until = until
        self.kernel.at(until, self.update)
        self._schedule_review()

    def drain(self) -> None:
        """Refuse new connections and, if ``servers.goaway`` is set, close the established ones."""
        self.draining = True
        if self.day.servers.goaway:
            for connection in list(self.connections.values()):
                if connection.established:
                    connection.peer.sent_away()
                    self._remove(connection)

    def die(self, silently: bool = False) -> None:
        """End the process and reset its connections; ``silently``: the machine vanishes, and they stay open."""
        self.update()
        self.alive, self.reachable = False, not silently
        if not silently:
            for connection in list(self.connections.values()):
                connection.peer.reset()
                self._remove(connection)
        self.on_death(silently)

    def reset_some(self, share: float) -> None:
        """Reset a random share of the established connections."""
        for connection in list(self.connections.values()):
            if connection.established and self.rng.random() < share:
                connection.peer.reset()
                self._remove(connection)

    def silence_some(self, share: float) -> None:
        """Stop answering on a random share of the established connections, while the others are served."""
        self.update()
        for connection in self.connections.values():
            if connection.established and not connection.silent and self.rng.random() < share:
                connection.silent = True
                self.served_counts[connection.cell] -= 1

    def scale_machine(self, factor: float) -> None:
        """Multiply the available part or speed of the machine: another program takes or frees some, or it is slower."""
        self.update()
        self.machine_factor *= factor
        self._record_load()
        self._schedule_review()

    def delay_reports(self, delay: int) -> None:
        """Make load reports older by ``delay`` ns; a negative delay reverts that."""
        self.report_age += delay

    # Inside

    def update(self) -> None:
        """Record the service since the last update, adjust the backlog, and drop connections beyond ``buffer``."""
        now = self.kernel.now
        span = (now - self._updated_at) / SECOND
        if span > 0:
            utilisation, stalled = self.utilisation(), self.is_stalled()
            before = self.backlog_s
            self.backlog_s = max(0.0, before + span * (utilisation if stalled else utilisation - 1))
            if not stalled:
                self._record_service(utilisation, (before + self.backlog_s) / 2, span)
            self._updated_at = now
        while self.backlog_s > self.day.servers.buffer.low / SECOND and self.has_established() and not self.hung:
            self._shed()

    def has_established(self) -> bool:
        """Return whether any connection is established."""
        return any(connection.established for connection in self.connections.values())

    def _record_service(self, utilisation: float, backlog_s: float, span: float) -> None:
        for cell, count in enumerate(self.served_counts):
            if count:
                target = self.day.classes[cell // self.service.tenant_count].message / SECOND
                remaining = max(0.0, target - backlog_s)
                share = 1 - math.exp(-max(0.0, 1 - utilisation) * remaining / (self.day.servers.message * target))
                if utilisation >= 1 and backlog_s <= 0:
                    share = 0.0
                self.service.record_served(cell, self._updated_at, span, share * count)

    def _shed(self) -> None:
        # In order of arrival.
        established = [connection for connection in self.connections.values() if connection.established]
        newest = self.day.servers.sheds == "newest"
        dropped = (
            established[-1] if newest else max(established, key=lambda connection: (connection.load, connection.id))
        )
        self.backlog_s = max(0.0, self.backlog_s - 0.1)
        dropped.peer.reset()
        self._remove(dropped)

    def _is_full(self) -> bool:
        at_cap = self.model.cap and len(self.connections) > self.model.cap
        return bool(at_cap) or self.queued_set_up_work > self.day.servers.queue.low / SECOND * self.power

    def _answer(self, connection: ServerConnection, answer: Callable[[], None]) -> None:
        if self.is_stalled():
            return
        self._remove(connection)
        answer()

    def _set_up_done(self, connection: ServerConnection, work: float, duration_s: float) -> None:
        self.queued_set_up_work = max(0.0, self.queued_set_up_work - work)
        self.service.record_set_up_work(work, connection.closed)
        if not connection.closed:
            self.store.submit(self.store_time(), lambda served: self._on_store_answer(connection, served))

    def _on_store_answer(self, connection: ServerConnection, served: bool) -> None:
        if connection.closed or self.is_stalled():
            return
        if not served or self.draining:
            self._answer(connection, connection.peer.error if not served else connection.peer.turned_away)
            return
        connection.peer.up()
        self._establish(connection)

    def _establish(self, connection: ServerConnection) -> None:
        self.update()
        connection.established = True
        self.served_counts[connection.cell] += 1
        self.connection_load += connection.load
        if connection.group:
            self.group_counts[connection.group] = self.group_counts.get(connection.group, 0) + 1
        self._record_load()
        if self.day.servers.tells_load:
            connection.peer.load(connection.load * 1e6)
        self._schedule_load_change(connection)
        self._schedule_review()

    def _schedule_load_change(self, connection: ServerConnection) -> None:
        cls = self.day.classes[connection.cls]
        if cls.swing > 0:
            self.kernel.after(int(_sample(connection.rng, cls.change)), lambda: self._change_load(connection))

    def _change_load(self, connection: ServerConnection) -> None:
        if connection.closed or not connection.established:
            return
        self.update()
        factor = math.exp(self.day.classes[connection.cls].swing * float(connection.rng.standard_normal()))
        # Each change moves the load halfway to the mean (on a log scale); otherwise loads would drift without bound.
        new_load = math.sqrt(connection.load * self.mean_load) * factor
        self.connection_load += new_load - connection.load
        connection.load = new_load
        self._record_load()
        if self.day.servers.tells_load and not self.is_stalled() and not connection.silent:
            connection.peer.load(connection.load * 1e6)
        self._schedule_load_change(connection)
        self._schedule_review()

    def _remove(self, connection: ServerConnection) -> None:
        if connection.closed:
            return
        connection.closed = True
        self.connections.pop(connection.id, None)
        self.checker.attempt_closed(connection.id, self.name, self.kernel.now)
        if connection.established:
            self.served_counts[connection.cell] -= not connection.silent
            self.connection_load = max(0.0, self.connection_load - connection.load)
            if connection.group:
                self.group_counts[connection.group] -= 1
                if not self.group_counts[connection.group]:
                    del self.group_counts[connection.group]
        self._record_load()

    def _record_load(self) -> None:
        now = self.kernel.now
        self._load_history.append((now, self.utilisation(), len(self.connections)))
        if len(self._load_history) > 256:
            keep = bisect_right(self._load_history, (now - self.report_age - 2 * self.report_period, math.inf, 0)) - 1
            self._load_history = self._load_history[max(0, keep) :]

    def _check_cold_limit(self, connection: ServerConnection) -> None:
        """Count a connection that arrives while the server is cold; end the process if the window exceeds its limit."""
        now, rules = self.kernel.now, self.day.rules
        if not (self.alive and self.started_at and now - self.started_at < self.day.servers.warm_after):
            return
        self._cold_arrivals = [arrival for arrival in self._cold_arrivals if arrival[0] > now - rules.fall]
        self._cold_arrivals.append((now, connection.peer.relay, self.mean_loads.relative_works[connection.cls]))
        limit = self.cold_limit()
        if sum(work for *_, work in self._cold_arrivals) > limit + 2 * math.sqrt(limit) + 2:
            self.checker.cold_server_overloaded(self.name, now, [relay for _, relay, _ in self._cold_arrivals], limit)
            self.die()

    def cold_limit(self) -> float:
        """Return N: the number of new connections of mean work that the settings allow it per window while it is cold.

        N is ``fall_multiple`` times the arrivals that would fill, over the warm-up, the minimum capacity at its age.
        """
        rules, servers = self.day.rules, self.day.servers
        age = (self.kernel.now - self.started_at) / servers.warm_after
        capacity = (
            self.power / self.mean_loads.mean_work * (servers.min_cold_share + (1 - servers.min_cold_share) * age)
        )
        return rules.fall_multiple * capacity * rules.fall / servers.warm_after

    def _schedule_review(self) -> None:
        if not self._review_scheduled:
            self._review_scheduled = True
            self.kernel.after(REVIEW_INTERVAL_NS, self._review)

    def _review(self) -> None:
        self._review_scheduled = False
        self.update()
        self._send_delay_notes()
        busy = (
            self.backlog_s > 0
            or self.utilisation() > 1
            or self.is_stalled()
            or self.warmth() < 1
            or self._delay_noted_at
        )
        if busy and self.alive:
            self._schedule_review()

    def _send_delay_notes(self) -> None:
        """Send each relay a delay note per second on one of its connections while messages are slow, and a last one."""
        if self.is_stalled() or not self.connections:
            return
        aims = [cls.message for cls in self.day.classes]
        delay_ms = self.delay_ms(aims.index(min(aims)))
        if delay_ms * MS <= min(aims) / 3 and not self._delay_noted_at:
            return
        now = self.kernel.now
        first_by_relay: dict[str, ServerConnection] = {}
        for connection in self.connections.values():
            if connection.established and not connection.silent:
                first_by_relay.setdefault(connection.peer.relay, connection)
        for relay, connection in first_by_relay.items():
            self._send_delay_note(relay, connection, delay_ms, delay_ms * MS > min(aims) / 3, now)
        self._delay_noted_at = {relay: at for relay, at in self._delay_noted_at.items() if relay in first_by_relay}

    def _send_delay_note(self, relay: str, connection: ServerConnection, delay_ms: float, slow: bool, now: int) -> None:
        noted_at = self._delay_noted_at.get(relay)
        if slow and (noted_at is None or now - noted_at >= DELAY_NOTE_INTERVAL_NS):
            self._delay_noted_at[relay] = now
            connection.peer.delay(delay_ms)
        elif not slow and noted_at is not None:
            del self._delay_noted_at[relay]
            connection.peer.delay(delay_ms)


def _sample(rng: np.random.Generator, bounds: tuple[float, float]) -> float:
    """Draw a value uniformly from a range; an empty range uses no random number."""
    low, high = bounds
    return float(low if low == high else rng.uniform(low, high))
