"""Plays the decision module on a real clock: events in, actions out, and no decision of its own.

It knows transactions, application servers and times, and nothing of the lines that carry them.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from scaledeal import interface as api
from scaledeal.net.config import ConfigError, parse_address
from scaledeal.net.delays import Delays
from scaledeal.net.figures import EndCause, Figures
from scaledeal.net.invariants import Invariants
from scaledeal.net.load_lines import LoadLines
from scaledeal.net.load_reports import LoadReports
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.request_guard import RequestGuard
from scaledeal.net.sides import Agent, Ask, Prober
from scaledeal.net.trace import Trace
from scaledeal.net.transaction import State, Transaction
from scaledeal.policy import Balancer

log = logging.getLogger("scaledeal.driver")

GRACE = 1_000_000_000  # ns within which sends to a draining server stop, where nothing is said of it
LOOK = 100_000_000  # ns between two looks at the connections that stand


class Driver:
    """Owns the balancer, the clock, its timers and the table of transactions."""

    def __init__(
        self,
        reactor: Reactor,
        settings: api.Settings,
        seed: int,
        figures: Figures,
        clock: Callable[[], int] = time.monotonic_ns,
        drain_grace: int = GRACE,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.balancer = Balancer(settings, seed)
        self.transactions: dict[str, Transaction] = {}
        self.addresses: dict[str, str] = {}  # where each application server was last said to be
        self.delays = Delays(tuple(each.message_aim for each in settings.classes), self.now)
        self.load_lines = LoadLines(self.delays.least / 1e6, self.now)
        self.load_reports = LoadReports(settings)
        self.figures = figures
        self.invariants = Invariants(self.now)
        self.guard = RequestGuard(settings, drain_grace, self.now, self.invariants)
        self.draining = False  # whatever comes up is moved at once
        self.leaving = False  # whatever is asked for is refused: the process is about to go
        self.prober: Prober | None = None
        self.watch: Callable[[], None] = lambda: None
        self.trace: Trace | None = None
        self._numbered = 0
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._parked: list[Transaction] = []  # standing at servers that no list has named yet
        self._carry_out: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Move: self._move,
            api.Probe: self._probe,
            api.Watch: lambda _: self.watch(),
            api.SetTimer: self._set_timer,
            api.Log: lambda a: log.info("%s", a.text),
        }

    # The clock

    def now(self) -> int:
        """Return the time."""
        return self.clock()

    def later(self, delay: int, call: Callable[[], None]) -> Timer:
        """Call after so many nanoseconds."""
        return self.reactor.callLater(delay / 1e9, call)

    # Events

    def post(self, event: api.Event) -> None:
        """Hand an event to the decision module and carry out what it wants done.

        Guards against an action whose own events would reach the module in the middle of its others.
        """
        if isinstance(event, (api.Outcome, api.ProbeResult)):
            event = self.load_reports.checked(event)
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:  # one event's failure must not end the process: what is owed is still answered
            log.exception("decision module failed on %s", type(event).__name__)
            if isinstance(event, api.Timer):
                self.later(250_000_000, lambda: self.post(event))
            return
        if self.trace is not None:
            self.trace.handled(self.now(), event, actions, self.balancer)
        for action in actions:
            try:
                self._carry_out[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)

    # Transactions

    def take(self, ask: Ask, agent: Agent) -> Transaction:
        """Take a user agent's request."""
        self._numbered += 1
        transaction = Transaction(self, f"t{self._numbered}", ask, agent)
        self.transactions[transaction.handle] = transaction
        if self.trace is not None:
            self.trace.takes(self.now(), transaction.handle, ask)
        if self.leaving:
            # Guards against a request that is read in the last moment and sent on: nobody would answer it. Later, as
            # its agent does not hold the transaction yet.
            self.later(0, lambda: transaction.refuse(0))
        elif ask.standing_at:
            self._resume(transaction)
        else:
            self.post(
                api.Request(
                    transaction.handle,
                    ask.request_class,
                    ask.deadline,
                    ask.key,
                    ask.group,
                    ask.tenant,
                    returning=ask.returning,
                    load_hint=ask.load_hint,
                )
            )
        return transaction

    def resume(self, ask: Ask, agent: Agent, server: str, load: float) -> Transaction:
        """Take a connection that another process has brought up, and tell the module of it."""
        self._numbered += 1
        transaction = Transaction(self, f"t{self._numbered}", ask, agent)
        self.transactions[transaction.handle] = transaction
        if self.trace is not None:
            self.trace.takes(self.now(), transaction.handle, msgspec.structs.replace(ask, standing_at=server))
        transaction.resumed(server)
        self.post(
            api.OpenConnection(
                transaction.handle, ask.request_class, server, ask.key, ask.group, ask.tenant, inherited=True
            )
        )
        if load > 0:
            # A connection's first LOAD is its load: that one has been.
            self.load_lines.loads[transaction.handle] = load
            transaction.note(api.NoteKind.LOAD, load)
        return transaction

    def standing(self) -> list[Transaction]:
        """Return the transactions whose connections stand."""
        return [each for each in self.transactions.values() if each.state is State.STANDING]

    def levels(self) -> dict[str, int]:
        """Return the figures that are no counts."""
        listed, avoided = self.balancer.rotation_counts()
        owed = sum(each.state is not State.OVER for each in self.transactions.values())
        return {"open_requests": owed, "registry_entries": listed, "out_of_rotation": avoided}

    def forget(self, transaction: Transaction) -> None:
        """Take a transaction off the table."""
        self.transactions.pop(transaction.handle, None)
        self.load_lines.forget(transaction.handle)

    def ended(self, transaction: Transaction, cause: EndCause) -> None:
        """Count why a request is over, and note it where decisions are written down."""
        self.figures.ended[cause] += 1
        if self.trace is not None:
            self.trace.over(self.now(), transaction.handle, transaction.ask.name, transaction.server, cause.value)

    def process_ends(self) -> None:
        """Hear that the process is about to end: what still waits for its answer is a violation."""
        for transaction in self.transactions.values():
            if transaction.state is State.WAITING:
                self.guard.process_ends(transaction.owed)

    def overdue(self, transaction: Transaction) -> None:
        """Note that the decision module left a request unanswered."""
        log.warning("request of class %d answered at its deadline: the module held it", transaction.ask.request_class)

    def late(self, transaction: Transaction, took: int, waits: bool) -> None:
        """Note a message that its application server answers later than its class wants."""
        if self.trace is not None:
            self.trace.late(self.now(), transaction.handle, transaction.server, took, waits)

    def silent(self, transaction: Transaction) -> None:
        """Note that an application server has returned nothing for too long."""
        log.warning("server %s returns nothing on an open connection: broken off", transaction.server)

    def look_round(self) -> None:
        """Look at every connection that stands: no timer is set for a single line."""
        self.later(LOOK, self.look_round)
        for handle, load in self.load_lines.settle():
            self.transactions[handle].note(api.NoteKind.LOAD, load)
        now = self.now()
        for transaction in self.standing():
            transaction.look(now)

    def _resume(self, transaction: Transaction) -> None:
        """Connect to where a connection stood before the start; no decision is due for that."""
        server = transaction.ask.standing_at
        if address := self.addresses.get(server):
            transaction.send(server, address, 0)
        else:
            self._parked.append(transaction)

    # The list of application servers

    def listed(self, event: api.Membership, addresses: dict[str, str]) -> None:
        """Take news of the list."""
        self.addresses.update(_sound(addresses))
        self.guard.listed(event)
        self.post(event)
        stopped = {e.server for e in event.servers if e.state is not api.ServerState.LIVE}
        if event.kind is api.MembershipKind.FULL:
            stopped |= self.addresses.keys() - {e.server for e in event.servers}
        if stopped:
            # Guards against a connect that comes up, and is sent on, after the server was to get no more.
            for transaction in list(self.transactions.values()):
                if transaction.current is not None and transaction.server in stopped:
                    transaction.current.withdraw()
        parked, self._parked = self._parked, []
        for transaction in parked:
            if transaction.handle in self.transactions:
                self._resume(transaction)

    # Actions

    def _send(self, action: api.Send) -> None:
        if transaction := self.transactions.get(action.request):
            transaction.send(action.server, self.addresses.get(action.server, ""), action.timeout)

    def _refuse(self, action: api.Refuse) -> None:
        if transaction := self.transactions.get(action.request):
            transaction.refuse(action.retry_after)

    def _fail(self, action: api.Fail) -> None:
        if transaction := self.transactions.get(action.request):
            transaction.fail()

    def _cancel(self, action: api.Cancel) -> None:
        if transaction := self.transactions.get(action.request):
            transaction.cancel(action.attempt)

    def _move(self, action: api.Move) -> None:
        if transaction := self.transactions.get(action.request):
            transaction.move()

    def _probe(self, action: api.Probe) -> None:
        address = self.addresses.get(action.server, "")
        if self.prober is None or not address:
            self.post(api.ProbeResult(action.server, api.Result.CONNECT_FAILED, 0))
        else:
            self.prober.probe(action.server, address)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.later(action.delay, lambda: self.post(api.Timer(action.token)))


def _sound(addresses: dict[str, str]) -> dict[str, str]:
    """Return the addresses that are some; of one that is none the last good one stays."""
    sound = {}
    for server, told in addresses.items():
        try:
            parse_address(told, f"address of {server}")
            sound[server] = told
        except ConfigError as error:
            log.warning("list not taken in full: %s", error)
    return sound
