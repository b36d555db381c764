"""Assembles the parts of one relay, starts it and stops it."""

from __future__ import annotations

import logging
import os
import socket
from random import Random
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ServerFactory

from scaledeal import interface as api
from scaledeal.net import config as configuration
from scaledeal.net.admission import Admission, descriptor_limit
from scaledeal.net.attempt import AttemptContext
from scaledeal.net.buffers import BufferPool
from scaledeal.net.client_listener import BACKLOG, ClientFactory, ClientListener
from scaledeal.net.clocks import ClockMonitor, UnixClock
from scaledeal.net.config import Config
from scaledeal.net.discovery_watch import DiscoveryWatch
from scaledeal.net.driver import Driver
from scaledeal.net.figures import Figures
from scaledeal.net.handover import OfferLocation
from scaledeal.net.health_probe import HealthProbes
from scaledeal.net.operators import Operators
from scaledeal.net.ports import Port, Reactor
from scaledeal.net.roster import Catalog, UnixTimeConverter
from scaledeal.net.service import Service, Stage
from scaledeal.net.sides import Side
from scaledeal.net.socket_errors import SHORTAGES
from scaledeal.net.succession import Succession
from scaledeal.net.system import System
from scaledeal.net.trace import open_trace
from scaledeal.net.user_agent import ClientContext
from scaledeal.net.watch_times import GOLDEN_RATIO, WatchTimes
from scaledeal.net.wording import report_reader

log = logging.getLogger("scaledeal.relay")

FRONT_REACTION_S = 0.5  # after SIGTERM the front still sends new connections here for so long
MOVES_BEGIN_S = 1.6  # after SIGTERM; until then clients with established connections are served as before
MOVES_BEGIN_REPLACED_S = 1.0  # after SIGTERM, where a new version serves and is handed connections until then
MAX_MOVES_END_S = 3.0  # SIGKILL follows SIGTERM by the longest deadline of a class, or this, plus 0.7 s or more
LAST_MOVE_MARGIN_S = 0.1  # after that deadline the last client is moved
LISTEN_TRIES = 100  # of a socket that a temporary shortage keeps from listening
LISTEN_PAUSE_S = 0.03  # between two of them; nothing is served meanwhile
RELOAD_TRIES = 40  # of a new configuration that can't be read for a shortage of descriptors or memory
RELOAD_PAUSE_S = 0.05  # between two of them
INITIAL_LIST_TIMEOUT_S = 4.0  # that a start waits for a list; a successor must serve within 6 s of its start
LAST_ANSWERS_TIME_S = 0.1  # for clients to receive the last answers before the process exits
FORCED_END_MARGIN_S = 0.45  # after that deadline all that is left is ended


class Relay:
    """One relay, from its start to its end."""

    def __init__(self, reactor: Reactor, config: Config, system: System | None = None) -> None:
        self.reactor = reactor
        self.config = config
        self.system = system or System()
        document = config.document
        self.figures = Figures(tuple(entry.name for entry in document.classes))
        self.driver = Driver(
            reactor,
            config.settings,
            config.seed,
            self.figures,
            self.system.monotonic,
            int(config.document.rules.drain_grace),
        )
        self._open_trace()
        pool = BufferPool()
        context = AttemptContext(
            reactor, pool, self.driver.now, report_reader(document.report.fields), int(document.caps.dial_timeout)
        )
        self.unix_clock = UnixClock(self.system.monotonic, self.system.unix())
        self.clocks = ClockMonitor(reactor, self.system.monotonic, self.system.unix)
        self.catalog = Catalog(document.failure_domains, UnixTimeConverter(self.unix_clock.offset))
        self.discovery = self._new_discovery_watch()
        self.driver.watch = lambda: self.discovery.watch()
        classes = {entry.name: number for number, entry in enumerate(document.classes)}
        tenants = {entry.name or str(number): number for number, entry in enumerate(document.accounts)}
        admission = Admission(reactor, descriptor_limit(config.sockets), self.driver.now)
        self.driver.prober = probes = HealthProbes(
            context, int(document.caps.idle_close), self.driver.post, admission.probe_allowance
        )
        admission.probe_connections, admission.limit_probes = probes.connection_count, probes.close_idle
        self.client_factory = ClientFactory(
            ClientContext(
                context,
                classes,
                tenants,
                admission,
                self.driver.begin_transaction,
                lambda: self.service.stage not in (Stage.STARTING, Stage.LAME_DUCK),
                request_ids=self.driver.request_ids,
            )
        )
        self.port: Port | None = None
        self.service = Service(self.driver)
        self.operators = Operators(
            reactor,
            pool,
            {
                b"PING": lambda: self._stage_answer(self.service.stage is Stage.SERVING),
                b"INFO": lambda: "\n".join(["ok", *self._metric_lines(), "eof"]),
                b"LAMEDUCK": lambda: self._stage_answer(self.service.lame_duck()),
                b"REJOIN": lambda: self._stage_answer(self.service.rejoin()),
            },
        )
        self.admin: Port | None = None
        location = OfferLocation(config.folder, config.listen) if config.folder else None
        self.succession = Succession(
            reactor,
            location,
            self.driver,
            self.client_factory.client_context,
            self._open_client_port,
            self._accept_adopted_clients,
        )
        self.sides: list[Side] = []  # for other protocols than lines
        self.adopted = False  # the listening socket was handed over, and the old process still accepts clients
        self.initial_list_posted = False  # to the decision module
        self.discovery_changed = False  # the initial list is of another discovery than the present one
        self.stopped = False
        self.failure = ""  # why this relay could not start

    # The start

    def _open_trace(self) -> None:
        """Open the trace of decisions if one is configured; raise ConfigError if it can't be opened."""
        if not self.config.trace:
            return
        try:
            now = self.driver.now()
            self.driver.trace = open_trace(self.config.trace, self.config.name, self.system.unix() - now)
        except OSError as error:
            raise configuration.ConfigError(f"PROXY_TRACE: {self.config.trace}: {error.strerror}") from None
        self.driver.trace.relay_started(
            now, tuple(entry.name for entry in self.config.document.classes), self.config.settings
        )

    def start(self) -> None:
        """Take over from a process that serves, or listen; on an error ``failure`` is set and the reactor stopped."""
        admin = self.config.admin
        try:
            if admin is not None:
                self.admin = self._listen(False, admin, self.operators, "PROXY_ADMIN")
                log.info("operators call %s:%d", admin.host, self.admin.getHost().port)
            for side in self.sides:
                side.start()
        except configuration.ConfigError as error:
            self.fail_start(error)
            return
        self.clocks.start()
        self.driver.check_connections()
        self.succession.begin()

    def _open_client_port(self, descriptor: int | None) -> None:
        """Open the port for clients on the socket that was handed over, or bind one if ``descriptor`` is None."""
        self.initial_list_posted = True
        self.discovery.resume_from(self.config.known, descriptor is not None or self.discovery_changed)
        if not self.config.settings.ask_discovery:
            # The module asks for the list only where discovery is one service for all relays, and after any failure,
            # so without this call a pushed list would never be read. The agent on this machine answers at once and at
            # no cost, and this relay is held to know what it has, so it is watched from the start.
            self.discovery.watch()
        if descriptor is None:
            try:
                self.port = self._listen(True, self.config.listen, self.client_factory, "PROXY_LISTEN")
            except configuration.ConfigError as error:
                self.fail_start(error)
                return
            self._log_listening()
        else:
            family = socket.AF_INET6 if ":" in self.config.listen.host else socket.AF_INET
            self.port = cast(Any, ClientListener)._fromListeningDescriptor(
                self.reactor, descriptor, family, self.client_factory
            )
            os.close(descriptor)
            self.adopted = True
            log.info("taking over from the process that serves: waiting for the whole list")
        # The list in the file may be out of date, but from its first moment the relay is held to know what discovery
        # had 6 s ago. So it reports to a front that it serves only with a fresh list, unless discovery can't be
        # reached. Clients that come before are served, as a front that has not noticed a restart goes on sending them.
        self.reactor.callLater(INITIAL_LIST_TIMEOUT_S, self._start_serving)

    def _membership_received(self, event: api.Membership, addresses: dict[str, str]) -> None:
        self.driver.listed(event, addresses)
        for side in self.sides:
            side.listed(event)
        fresh = event.kind is api.MembershipKind.FULL or (
            not self.adopted and event.kind is not api.MembershipKind.INITIAL
        )
        if fresh:
            self._start_serving()

    def _start_serving(self) -> None:
        """Start the service, once: accept clients, and have the old process accept no more."""
        if self.port is None or self.service.stage is not Stage.STARTING:
            return
        self.service.start_serving()
        self._accept_adopted_clients()
        self.succession.serve(self.port)
        for side in self.sides:
            side.serve()

    def _accept_adopted_clients(self) -> None:
        """Accept clients from an adopted socket: the list has come, or the old process is gone."""
        if self.adopted and self.port is not None:
            self.adopted = False
            self.port.startListening()
            self._log_listening()

    def _log_listening(self) -> None:
        if self.port is not None:
            log.info(
                "relay %s listens on %s:%d, %d application servers known",
                self.config.name,
                self.config.listen.host,
                self.port.getHost().port,
                len(self.driver.addresses),
            )

    def _listen(self, clients: bool, address: configuration.Address, factory: ServerFactory, setting: str) -> Port:
        """Listen on an address, trying again during a shortage; raise ConfigError with the ``setting`` if it fails."""
        port = self.system.port(clients, address.port, factory, BACKLOG, address.host, self.reactor)
        for tries_left in reversed(range(LISTEN_TRIES)):
            try:
                port.startListening()
                break
            except CannotListenError as error:
                # A temporary shortage of descriptors or memory must not end the start for good.
                if tries_left == 0 or getattr(error.socketError, "errno", None) not in SHORTAGES:
                    # An address that is taken or is not this machine's ends it as any bad setting does, with one line
                    # and the same exit code instead of a traceback.
                    raise configuration.ConfigError(f"{setting}: {error}") from None
                self.system.sleep(LISTEN_PAUSE_S)
        return port

    def fail_start(self, error: configuration.ConfigError) -> None:
        """Record why this relay can't start, and stop the reactor."""
        self.failure = str(error)
        self.reactor.callWhenRunning(self.reactor.stop)

    def _metric_lines(self) -> list[str]:
        side_lines = [line for side in self.sides for line in side.lines()]
        own_lines = self.driver.invariants.lines() + self.clocks.lines()
        return self.figures.lines(self.driver.gauges()) + own_lines + side_lines

    def _stage_answer(self, succeeded: bool) -> str:
        stage = self.service.stage.name.lower().replace("_", " ")
        return f"{'ok' if succeeded else 'fail'} {stage}, {len(self.driver.established())} connections stand"

    def _new_discovery_watch(self) -> DiscoveryWatch:
        discovery = self.config.discovery
        return DiscoveryWatch(
            self.reactor,
            discovery.host,
            discovery.port,
            self.catalog,
            self._membership_received,
            self._watch_times(),
            self.unix_clock.seconds,
        )

    def _watch_times(self) -> WatchTimes:
        settings, rules = self.config.settings, self.config.document.rules
        # Relays that were given no number of their own would call discovery in step, so their seeds set them apart.
        # Multiples of the golden ratio also lie evenly for any relays that start first, or that remain.
        place = settings.me * GOLDEN_RATIO % 1 if settings.siblings > 1 else Random(self.config.seed).random()
        return WatchTimes(not settings.ask_discovery, rules.ask_within / 1e9, rules.drain_grace / 1e9, place)

    # A new configuration

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """Read the file again and switch to its discovery; connections and requests go on.

        ``tries`` counts down the reads that are repeated, after a pause, during a temporary shortage.
        """
        if self.stopped:
            return
        for side in self.sides if tries == RELOAD_TRIES else ():
            side.reload()
        try:
            self.config, previous = configuration.read_again(self.config), self.config
        except configuration.ShortageError as error:
            # Given up after one failed call, the new discovery would never be used.
            if tries > 0:
                self.reactor.callLater(RELOAD_PAUSE_S, self.reload, tries - 1)
            else:
                log.warning("configuration not taken, the old one stays in force: %s", error)
            return
        except configuration.ConfigError as error:
            # A half-written file must not end a running relay.
            log.warning("configuration not taken, the old one stays in force: %s", str(error).replace("\n", " "))
            return
        if self.config.discovery == previous.discovery:
            log.info("configuration read again: discovery stays as it is")
            return
        discovery = self.config.discovery
        log.info("configuration read again: discovery is now at %s:%d", discovery.host, discovery.port)
        self.discovery.close()
        self.discovery = self._new_discovery_watch()
        self.discovery_changed = True
        if self.initial_list_posted:
            # The new discovery is asked at once, or the list would stay as old as the last call, and for the whole
            # list, as the old one's versions mean nothing to it. Before the start has posted the initial list it is
            # not asked, as that list would come after its answer and override it.
            self.discovery.watch()

    # The end

    def drain(self) -> None:
        """Begin the end: go on listening and answering for a while, then move all clients and exit."""
        longest_deadline = max(entry.deadline / 1e9 for entry in self.config.settings.classes)
        moves_end = min(longest_deadline, MAX_MOVES_END_S)
        # Other relays may still be away, as in a restart of all, and clients moved then would find none. So they are
        # served here for as long as there is time to move them one by one, or until a new version has them.
        moves_begin = min(MOVES_BEGIN_REPLACED_S if self.succession.replaced else MOVES_BEGIN_S, moves_end / 2)
        if self.service.end(moves_begin, moves_end + LAST_MOVE_MARGIN_S):
            log.info("told to stop: %d requests and connections to finish", len(self.driver.transactions))
            self.succession.hand_over()
            # With short deadlines the relay would otherwise exit while the front still sends clients.
            delay = 0 if self.succession.replaced else max(moves_begin, FRONT_REACTION_S)
            self.reactor.callLater(delay, self._exit_when_done)
            self.reactor.callLater(moves_end + FORCED_END_MARGIN_S, self._end_remaining)

    def _exit_when_done(self) -> None:
        """Begin the exit once no request, connection or client that may still ask is left."""
        admission = self.client_factory.client_context.admission
        # A client that is writing its request must not be cut off. Where a new version serves, no more clients come,
        # and all that are connected get their time.
        unasked_clients = admission.idle_count() if self.succession.replaced else len(admission.writers)
        if self.driver.transactions or self.driver.request_ids.undecided or unasked_clients:
            self.reactor.callLater(0.05, self._exit_when_done)
        else:
            self._begin_exit()

    def _end_remaining(self) -> None:
        """Move or fail all that is left, and begin the exit."""
        self.succession.decide_claims()
        for transaction in list(self.driver.transactions.values()):
            transaction.move_unrequested()
            transaction.fail()
        self._begin_exit()

    def _begin_exit(self) -> None:
        """Accept no more clients, refuse those in the queue, and exit once all had time to receive the last answers."""
        if self.driver.stopping:
            return
        self.driver.stopping = True
        if not self.succession.replaced:
            self.succession.close()
            self._stop_listening()
        # A request may come on an idle client's connection just as this process closes it; idle clients are dismissed
        # some time before the exit, so that such a request is still answered.
        self.reactor.callLater(LAST_ANSWERS_TIME_S / 2, self.client_factory.client_context.admission.close)
        self.reactor.callLater(LAST_ANSWERS_TIME_S, self._exit)

    def _stop_listening(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def _exit(self) -> None:
        if not self.stopped:
            self.stopped = True
            self.succession.close()
            for side in self.sides:
                side.close()
            self._stop_listening()
            if self.admin is not None:
                self.admin.stopListening()
            self.discovery.close()
            self.clocks.stop()
            self.driver.process_exiting()
            log.info(
                "stopped: %d requests and connections were left; invariants: %s",
                len(self.driver.transactions),
                self.driver.invariants.summary(),
            )
            self.reactor.stop()
