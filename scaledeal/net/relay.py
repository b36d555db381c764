"""Puts the parts of one relay together, starts it and stops it."""

from __future__ import annotations

import logging
import os
import socket
from random import Random
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ServerFactory

from scaledeal import interface as api
from scaledeal.net import config as told
from scaledeal.net.admission import Admission, descriptor_limit
from scaledeal.net.attempt import AttemptContext
from scaledeal.net.buffers import BufferPool
from scaledeal.net.client_listener import BACKLOG, ClientFactory, ClientListener
from scaledeal.net.clocks import ClockMonitor, UnixClock
from scaledeal.net.config import Config
from scaledeal.net.discovery_watch import DiscoveryWatch
from scaledeal.net.driver import Driver
from scaledeal.net.figures import Figures
from scaledeal.net.handover import Place
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

COMING = 0.5  # seconds after SIGTERM for which the front still sends new connections here
KEPT = 1.6  # seconds after SIGTERM for which the standing clients are served as before
HANDING = 1.0  # seconds after SIGTERM for which connections are handed to a new version before any is moved
LONGEST_DEADLINE = 3.0  # seconds; SIGKILL follows SIGTERM by the longest deadline, or this, plus 0.7 or more
LEFT_OVER = 0.1  # seconds after that deadline at which the last standing client is moved
LISTEN_TRIES = 100  # tries of a socket that a shortage keeps from listening
LISTEN_PAUSE = 0.03  # seconds between two of them; nothing is served meanwhile
RELOAD_TRIES = 40  # tries of a new configuration that can't be read for want of descriptors or memory
RELOAD_PAUSE = 0.05  # seconds between two of them
LIST_TIME = 4.0  # seconds that a start waits for a list; a successor must serve within 6 s of its start
LAST_MOMENT = 0.1  # seconds that clients get to take the last answers
LAST_CALL = 0.45  # seconds after that deadline at which whatever is left is ended


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
        self._trace()
        pool = BufferPool()
        context = AttemptContext(
            reactor, pool, self.driver.now, report_reader(document.report.fields), int(document.caps.dial_timeout)
        )
        self.unix_clock = UnixClock(self.system.monotonic, self.system.unix())
        self.clocks = ClockMonitor(reactor, self.system.monotonic, self.system.unix)
        self.catalog = Catalog(document.failure_domains, UnixTimeConverter(self.unix_clock.offset))
        self.discovery = self._watch()
        self.driver.watch = lambda: self.discovery.watch()
        classes = {entry.name: number for number, entry in enumerate(document.classes)}
        tenants = {entry.name or str(number): number for number, entry in enumerate(document.accounts)}
        admission = Admission(reactor, descriptor_limit(config.sockets), self.driver.now)
        self.driver.prober = probes = HealthProbes(
            context, int(document.caps.idle_close), self.driver.post, admission.probe_allowance
        )
        admission.probe_connections, admission.limit_probes = probes.held, probes.give_back
        self.door = ClientFactory(
            ClientContext(
                context,
                classes,
                tenants,
                admission,
                self.driver.take,
                lambda: self.service.stage not in (Stage.STARTING, Stage.LAME_DUCK),
            )
        )
        self.port: Port | None = None
        self.service = Service(self.driver)
        self.operators = Operators(
            reactor,
            pool,
            {
                b"PING": lambda: self._told(self.service.stage is Stage.SERVING),
                b"INFO": lambda: "\n".join(["ok", *self._figures(), "eof"]),
                b"LAMEDUCK": lambda: self._told(self.service.lame_duck()),
                b"REJOIN": lambda: self._told(self.service.rejoin()),
            },
        )
        self.admin: Port | None = None
        place = Place(config.folder, config.listen) if config.folder else None
        self.succession = Succession(
            reactor, place, self.driver, self.door.client_context, self._open, self._take_clients
        )
        self.sides: list[Side] = []  # doors for other protocols than lines
        self.adopted = False  # the listening socket was handed over, and another process still serves
        self.opened = False  # the list of the start has been told
        self.moved = False  # discovery is another one than the list at the start is of
        self.gone = False
        self.failure = ""  # why this relay could not start

    # The start

    def _trace(self) -> None:
        """Have what is decided written down, where that is asked for."""
        if not self.config.trace:
            return
        try:
            now = self.driver.now()
            self.driver.trace = open_trace(self.config.trace, self.config.name, self.system.unix() - now)
        except OSError as error:
            raise told.ConfigError(f"PROXY_TRACE: {self.config.trace}: {error.strerror}") from None
        self.driver.trace.begins(now, tuple(entry.name for entry in self.config.document.classes), self.config.settings)

    def start(self) -> None:
        """Take over from the process that serves, or listen; ``failure`` tells why it could not."""
        admin = self.config.admin
        try:
            if admin is not None:
                self.admin = self._listen(False, admin, self.operators, "PROXY_ADMIN")
                log.info("operators call %s:%d", admin.host, self.admin.getHost().port)
            for side in self.sides:
                side.start()
        except told.ConfigError as error:
            self._give_up(error)
            return
        self.clocks.start()
        self.driver.look_round()
        self.succession.begin()

    def _open(self, descriptor: int | None) -> None:
        """Listen on the socket that was handed over, or on one of our own."""
        self.opened = True
        self.discovery.resume_from(self.config.known, descriptor is not None or self.moved)
        if not self.config.settings.ask_discovery:
            # Guards against a list that is never read where it is pushed: the agent on this machine answers at
            # once and at no cost, and what it holds counts as told, so it is watched from the start. The module
            # asks only where discovery is one service for all relays, and again after any failure.
            self.discovery.watch()
        if descriptor is None:
            try:
                self.port = self._listen(True, self.config.listen, self.door, "PROXY_LISTEN")
            except told.ConfigError as error:
                self._give_up(error)
                return
            self._log_listens()
        else:
            family = socket.AF_INET6 if ":" in self.config.listen.host else socket.AF_INET
            self.port = cast(Any, ClientListener)._fromListeningDescriptor(self.reactor, descriptor, family, self.door)
            os.close(descriptor)
            self.adopted = True
            log.info("taking over from the process that serves: waiting for the whole list")
        # Guards against a list that has aged since the file was written: what discovery had 6 s ago counts as told from
        # the first moment, so who says yes to a front knows a fresh one, unless discovery can't be reached. Whoever
        # comes before that is served: a front that has not noticed a restart goes on sending clients.
        self.reactor.callLater(LIST_TIME, self._serve)

    def _listed(self, event: api.Membership, addresses: dict[str, str]) -> None:
        self.driver.listed(event, addresses)
        for side in self.sides:
            side.listed(event)
        fresh = event.kind is api.MembershipKind.FULL or (
            not self.adopted and event.kind is not api.MembershipKind.INITIAL
        )
        if fresh:
            self._serve()

    def _serve(self) -> None:
        """Take clients, once; the process that was there before takes no more."""
        if self.port is None or self.service.stage is not Stage.STARTING:
            return
        self.service.started()
        self._take_clients()
        self.succession.serve(self.port)
        for side in self.sides:
            side.serve()

    def _take_clients(self) -> None:
        """Take clients from the queue that was handed over: the list is there, or the process before is gone."""
        if self.adopted and self.port is not None:
            self.adopted = False
            self.port.startListening()
            self._log_listens()

    def _log_listens(self) -> None:
        if self.port is not None:
            log.info(
                "relay %s listens on %s:%d, %d application servers known",
                self.config.name,
                self.config.listen.host,
                self.port.getHost().port,
                len(self.driver.addresses),
            )

    def _listen(self, clients: bool, at: told.Address, factory: ServerFactory, what: str) -> Port:
        port = self.system.port(clients, at.port, factory, BACKLOG, at.host, self.reactor)
        for left in reversed(range(LISTEN_TRIES)):
            try:
                port.startListening()
                break
            except CannotListenError as error:
                # Guards against a start that a moment's shortage of descriptors or memory ends for good.
                if left == 0 or getattr(error.socketError, "errno", None) not in SHORTAGES:
                    # And against a trace and an exit code of its own where the address is taken or not ours.
                    raise told.ConfigError(f"{what}: {error}") from None
                self.system.wait(LISTEN_PAUSE)
        return port

    def _give_up(self, why: told.ConfigError) -> None:
        self.failure = str(why)
        self.reactor.callWhenRunning(self.reactor.stop)

    def _figures(self) -> list[str]:
        sides = [line for side in self.sides for line in side.lines()]
        own = self.driver.invariants.lines() + self.clocks.lines()
        return self.figures.lines(self.driver.levels()) + own + sides

    def _told(self, yes: bool) -> str:
        stage = self.service.stage.name.lower().replace("_", " ")
        return f"{'ok' if yes else 'fail'} {stage}, {len(self.driver.standing())} connections stand"

    def _watch(self) -> DiscoveryWatch:
        where = self.config.discovery
        return DiscoveryWatch(
            self.reactor, where.host, where.port, self.catalog, self._listed, self._times(), self.unix_clock.seconds
        )

    def _times(self) -> WatchTimes:
        settings, rules = self.config.settings, self.config.document.rules
        # Guards against relays in step that were told no number: the seed sets them apart as well.
        # By turns of the golden ratio, any of them that come first, or stay, lie evenly as well.
        place = settings.me * GOLDEN_RATIO % 1 if settings.siblings > 1 else Random(self.config.seed).random()
        return WatchTimes(not settings.ask_discovery, rules.ask_within / 1e9, rules.drain_grace / 1e9, place)

    # A new configuration

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """Read the file again; a discovery at another address takes over, connections and requests go on."""
        if self.gone:
            return
        for side in self.sides if tries == RELOAD_TRIES else ():
            side.reload()
        try:
            self.config, before = told.read_again(self.config), self.config
        except told.ShortageError as error:
            # Guards against a discovery that is left for good, and never heard of, as one call failed.
            if tries > 0:
                self.reactor.callLater(RELOAD_PAUSE, self.reload, tries - 1)
            else:
                log.warning("configuration not taken, the old one stays in force: %s", error)
            return
        except told.ConfigError as error:
            # Guards against a half-written file that takes a running relay along.
            log.warning("configuration not taken, the old one stays in force: %s", str(error).replace("\n", " "))
            return
        if self.config.discovery == before.discovery:
            log.info("configuration read again: discovery stays as it is")
            return
        where = self.config.discovery
        log.info("configuration read again: discovery is now at %s:%d", where.host, where.port)
        self.discovery.close()
        self.discovery = self._watch()
        self.moved = True
        if self.opened:
            # Guards against a list that stays as old as the last call: the new discovery is asked at once, and
            # for all of it, as the old one's versions mean nothing there. Before the start has told its list it isn't
            # asked: that list would come after, and go before, what it says.
            self.discovery.watch()

    # The end

    def drain(self) -> None:
        """Begin the end: keep listening and answering, then move whoever stands."""
        longest = max(each.deadline / 1e9 for each in self.config.settings.classes)
        end = min(longest, LONGEST_DEADLINE)
        # Guards against clients sent away while no other relay is back yet: they are served here for as
        # long as there is time to move them one by one, or until a new version has them.
        kept = min(HANDING if self.succession.replaced else KEPT, end / 2)
        if self.service.end(kept, end + LEFT_OVER):
            log.info("told to stop: %d requests and connections to finish", len(self.driver.transactions))
            self.succession.hand_over()
            # Guards against a relay of short deadlines that is gone while the front still sends clients.
            least = 0 if self.succession.replaced else max(kept, COMING)
            self.reactor.callLater(least, self._leave_when_done)
            self.reactor.callLater(end + LAST_CALL, self._last_call)

    def _leave_when_done(self) -> None:
        admission = self.door.client_context.admission
        # Guards against a client that is cut off while it writes. Where a new version serves, nobody comes
        # any more, and all who are in get their time.
        asking = admission.idle_count() if self.succession.replaced else len(admission.writers)
        if self.driver.transactions or asking:
            self.reactor.callLater(0.05, self._leave_when_done)
        else:
            self._leave_soon()

    def _last_call(self) -> None:
        for transaction in list(self.driver.transactions.values()):
            transaction.move_unrequested()
            transaction.fail()
        self._leave_soon()

    def _leave_soon(self) -> None:
        """Take nothing new, refuse who is in the queue, and give all a moment to take their last answers."""
        if self.driver.leaving:
            return
        self.driver.leaving = True
        if not self.succession.replaced:
            self.succession.close()
            self._stop_listening()
        # Guards against a request that comes to a resting client's connection as this process shuts it.
        self.reactor.callLater(LAST_MOMENT / 2, self.door.client_context.admission.close)
        self.reactor.callLater(LAST_MOMENT, self._leave)

    def _stop_listening(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def _leave(self) -> None:
        if not self.gone:
            self.gone = True
            self.succession.close()
            for side in self.sides:
                side.close()
            self._stop_listening()
            if self.admin is not None:
                self.admin.stopListening()
            self.discovery.close()
            self.clocks.stop()
            self.driver.process_ends()
            log.info(
                "stopped: %d requests and connections were left; invariants: %s",
                len(self.driver.transactions),
                self.driver.invariants.summary(),
            )
            self.reactor.stop()
