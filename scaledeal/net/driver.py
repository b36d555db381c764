"""Runs the decision module on a real clock: passes events to it and carries out its actions, deciding nothing itself.

The driver deals with transactions, application servers and times; it does not know the protocols that carry them.
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
from scaledeal.net.request_ids import RequestIds
from scaledeal.net.sides import Agent, ClientRequest, Prober
from scaledeal.net.trace import Trace
from scaledeal.net.transaction import State, Transaction
from scaledeal.policy import Balancer

log = logging.getLogger("scaledeal.driver")

DEFAULT_DRAIN_GRACE_NS = 1_000_000_000  # time in which sends to a draining server stop, unless the settings name one
CONNECTION_CHECK_INTERVAL_NS = 100_000_000


class Driver:
    """Owns the balancer, the clock, its timers and the table of transactions."""

    def __init__(
        self,
        reactor: Reactor,
        settings: api.Settings,
        seed: int,
        figures: Figures,
        clock: Callable[[], int] = time.monotonic_ns,
        drain_grace: int = DEFAULT_DRAIN_GRACE_NS,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.balancer = Balancer(settings, seed)
        self.transactions: dict[str, Transaction] = {}
        self.addresses: dict[str, str] = {}  # the last valid address listed for each application server
        self.delays = Delays(tuple(each.message_aim for each in settings.classes), self.now)
        self.load_lines = LoadLines(self.delays.threshold / 1e6, self.now)
        self.load_reports = LoadReports(settings)
        self.figures = figures
        self.invariants = Invariants(self.now)
        self.guard = RequestGuard(settings, drain_grace, self.now, self.invariants)
        self.request_ids = RequestIds()
        self.draining = False  # each connection is moved as soon as it is established
        self.stopping = False  # each new request is refused: the process is about to exit
        self.prober: Prober | None = None
        self.watch: Callable[[], None] = lambda: None
        self.trace: Trace | None = None
        self._transaction_count = 0
        self._events: deque[api.Event] = deque()
        self._handling_events = False
        self._unlisted: list[Transaction] = []  # their previous servers are in no list received so far
        self._action_handlers: dict[type, Callable[[Any], None]] = {
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
        """Return the time in nanoseconds."""
        return self.clock()

    def later(self, delay: int, call: Callable[[], None]) -> Timer:
        """Call ``call`` after ``delay`` nanoseconds."""
        return self.reactor.callLater(delay / 1e9, call)

    # Events

    def post(self, event: api.Event) -> None:
        """Post an event to the decision module and carry out its actions.

        An event that an action causes waits in a queue: the module gets it after all actions of the event before.
        """
        if isinstance(event, (api.Outcome, api.ProbeResult)):
            event = self.load_reports.checked(event)
        self._events.append(event)
        if self._handling_events:
            return
        self._handling_events = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling_events = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:  # the process goes on: its requests still get their answers
            log.exception("decision module failed on %s", type(event).__name__)
            if isinstance(event, api.Timer):
                self.later(250_000_000, lambda: self.post(event))  # ns
            return
        if self.trace is not None:
            self.trace.event_handled(self.now(), event, actions, self.balancer)
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)

    # Transactions

    def begin_transaction(self, request: ClientRequest, agent: Agent) -> Transaction:
        """Begin the transaction of a user agent's request."""
        self._transaction_count += 1
        transaction = Transaction(self, f"t{self._transaction_count}", request, agent)
        self.transactions[transaction.handle] = transaction
        if self.trace is not None:
            self.trace.request_received(self.now(), transaction.handle, request)
        if self.stopping:
            # A request that is sent on just before the exit would stay unanswered. The refusal is deferred, as the
            # agent refers to the transaction only after this method has returned.
            self.later(0, lambda: transaction.refuse(0))
        elif request.previous_server:
            self._connect_to_previous_server(transaction)
        else:
            self.post(
                api.Request(
                    transaction.handle,
                    request.request_class,
                    request.deadline,
                    request.key,
                    request.group,
                    request.tenant,
                    returning=request.returning,
                    load_hint=request.load_hint,
                )
            )
        return transaction

    def resume(self, request: ClientRequest, agent: Agent, server: str, load: float) -> Transaction:
        """Begin the transaction of a connection that another process has set up, and report it to the module."""
        self._transaction_count += 1
        transaction = Transaction(self, f"t{self._transaction_count}", request, agent)
        self.transactions[transaction.handle] = transaction
        if self.trace is not None:
            self.trace.request_received(
                self.now(), transaction.handle, msgspec.structs.replace(request, previous_server=server)
            )
        transaction.resumed(server)
        if request.request_id:
            self.request_ids.adopt(request.request_id)
        self.post(
            api.OpenConnection(
                transaction.handle,
                request.request_class,
                server,
                request.key,
                request.group,
                request.tenant,
                inherited=True,
            )
        )
        if load > 0:
            # The first LOAD of a connection is its load; the other process has received that line.
            self.load_lines.loads[transaction.handle] = load
            transaction.note(api.NoteKind.LOAD, load)
        return transaction

    def established(self) -> list[Transaction]:
        """Return the transactions whose connections are established."""
        return [each for each in self.transactions.values() if each.state is State.ESTABLISHED]

    def gauges(self) -> dict[str, int]:
        """Return the present values of the metrics that are not counters."""
        listed, avoided = self.balancer.rotation_counts()
        open_requests = sum(each.state is not State.OVER for each in self.transactions.values())
        return {"open_requests": open_requests, "registry_entries": listed, "out_of_rotation": avoided}

    def forget(self, transaction: Transaction) -> None:
        """Remove a transaction from the table."""
        self.transactions.pop(transaction.handle, None)
        self.load_lines.forget(transaction.handle)

    def release_id(self, transaction: Transaction) -> None:
        """Free the id of a request that is over."""
        self.request_ids.release(transaction.request.request_id, transaction.used_up)

    def handed_over(self, transaction: Transaction) -> None:
        """Record that another process of this relay has the connection, and with it the id."""
        self.request_ids.hand_over(transaction.request.request_id)

    def ended(self, transaction: Transaction, cause: EndCause) -> None:
        """Count the cause for which a transaction is over, and write it to the trace."""
        self.figures.ended[cause] += 1
        if self.trace is not None:
            self.trace.request_ended(
                self.now(), transaction.handle, transaction.request.request_id, transaction.server, cause.value
            )

    def process_exiting(self) -> None:
        """Report each request that still waits for its answer as a violation: the process is about to exit."""
        for transaction in self.transactions.values():
            if transaction.state is State.WAITING:
                self.guard.process_exiting(transaction.guarded)

    def overdue(self, transaction: Transaction) -> None:
        """Log that the decision module left a request unanswered."""
        log.warning(
            "request of class %d failed at its deadline: the decision module left it unanswered",
            transaction.request.request_class,
        )

    def message_late(self, transaction: Transaction, duration: int, unanswered: bool) -> None:
        """Trace a message delay of ``duration`` nanoseconds, above its class's aim; ``unanswered``: still waiting."""
        if self.trace is not None:
            self.trace.message_late(self.now(), transaction.handle, transaction.server, duration, unanswered)

    def server_silent(self, transaction: Transaction) -> None:
        """Log that an application server has returned nothing on a connection for too long."""
        log.warning("server %s returned nothing on an established connection; closing it", transaction.server)

    def check_connections(self) -> None:
        """Check all established connections, now and regularly; this avoids a timer for each line."""
        self.later(CONNECTION_CHECK_INTERVAL_NS, self.check_connections)
        for handle, load in self.load_lines.settle():
            self.transactions[handle].note(api.NoteKind.LOAD, load)
        now = self.now()
        for transaction in self.established():
            transaction.check_silence(now)

    def _connect_to_previous_server(self, transaction: Transaction) -> None:
        """Connect to the server of a connection established before the start, which needs no decision."""
        server = transaction.request.previous_server
        if address := self.addresses.get(server):
            transaction.send(server, address, 0)
        else:
            self._unlisted.append(transaction)

    # The list of application servers

    def listed(self, event: api.Membership, addresses: dict[str, str]) -> None:
        """Handle a change of the server list; ``addresses`` are by server name."""
        self.addresses.update(_valid_addresses(addresses))
        forgotten = self.guard.listed(event)
        self.post(event)
        for server in forgotten:
            self._forget_server(server)
        stopped = {e.server for e in event.servers if e.state is not api.ServerState.LIVE}
        if event.kind is api.MembershipKind.FULL:
            stopped |= self.addresses.keys() - {e.server for e in event.servers}
        if stopped:
            # A connect to such a server may still succeed, and the request would be sent after the server's drain.
            for transaction in list(self.transactions.values()):
                if transaction.current is not None and transaction.server in stopped:
                    transaction.current.withdraw()
        unlisted, self._unlisted = self._unlisted, []
        for transaction in unlisted:
            if transaction.handle in self.transactions:
                self._connect_to_previous_server(transaction)

    def _forget_server(self, server: str) -> None:
        """Forget a server that left the list long ago: names that are used once would fill the memory."""
        self.addresses.pop(server, None)
        self.delays.forget(server)
        self.load_lines.forget_server(server)
        self.load_reports.forget(server)

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


def _valid_addresses(addresses: dict[str, str]) -> dict[str, str]:
    """Return the addresses that are valid; a server with an invalid one keeps its last valid address."""
    valid = {}
    for server, listed in addresses.items():
        try:
            parse_address(listed, f"address of {server}")
            valid[server] = listed
        except ConfigError as error:
            log.warning("server list partly ignored: %s", error)
    return valid
