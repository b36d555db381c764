"""Puts the parts of one relay together, starts it and stops it."""

from __future__ import annotations

import logging
import time
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scaledeal.net import config as told
from scaledeal.net.buffers import BufferPool
from scaledeal.net.config import Config
from scaledeal.net.driver import Driver
from scaledeal.net.farm import Farm
from scaledeal.net.health_probe import HealthProbes
from scaledeal.net.lobby import CLOSING, Lobby, most_descriptors
from scaledeal.net.operators import Operators
from scaledeal.net.ports import Port, Reactor
from scaledeal.net.proxy_pass import Trade
from scaledeal.net.roster import Calendar
from scaledeal.net.service import Service, Stage
from scaledeal.net.user_agent import Reception, UserAgent
from scaledeal.net.wording import report_reader

log = logging.getLogger("scaledeal.relay")

BACKLOG = 1024
KEPT = 1.6  # seconds after SIGTERM for which the standing clients are served as before
LONGEST_DEADLINE = 3.0  # seconds; SIGKILL follows SIGTERM by the longest deadline, or this, plus 0.7 or more
LEFT_OVER = 0.1  # seconds after that deadline at which the last standing client is moved
LAST_CALL = 0.45  # seconds after that deadline at which whatever is left is ended


class Door(ServerFactory):
    """Makes a user agent's side for each new connection."""

    noisy = False

    def __init__(self, reception: Reception) -> None:
        self.reception = reception

    def buildProtocol(self, addr: IAddress | None) -> UserAgent | None:  # noqa: N802, D102
        # Without a protocol the transport closes the socket at once: nothing is cheaper.
        return UserAgent(self.reception) if self.reception.lobby.room() else None


class Gate(tcp.Port):
    """The listening socket.

    Guards against a burst of connections that is taken whole before the first line of any is read, and before
    those that gave way are closed: the usual clients among them would find no descriptor.
    """

    def doRead(self) -> None:  # noqa: N802, D102
        self.numberAccepts = min(self.numberAccepts, CLOSING)
        cast(Any, super()).doRead()


class Relay:
    """One relay, from its start to its end."""

    def __init__(self, reactor: Reactor, config: Config) -> None:
        self.reactor = reactor
        self.config = config
        document = config.document
        self.driver = Driver(reactor, config.settings, config.seed)
        pool = BufferPool()
        trade = Trade(reactor, pool, self.driver.now, report_reader(document.report.fields),
                      int(document.caps.dial_timeout))
        self.driver.prober = HealthProbes(trade, int(document.caps.idle_close), self.driver.post)
        self.calendar = Calendar(time.monotonic_ns(), time.time_ns())
        self.farm = self._farm()
        self.driver.watch = lambda: self.farm.watch()
        classes = {entry.name: number for number, entry in enumerate(document.classes)}
        lobby = Lobby(reactor, most_descriptors(config.sockets), self.driver.now)
        self.door = Door(Reception(trade, classes, max(1, len(document.accounts)), lobby, self.driver.take,
                                   lambda: self.service.stage is not Stage.LAME_DUCK))
        self.port: Port | None = None
        self.service = Service(self.driver)
        self.operators = Operators(reactor, pool, {
            b"PING": lambda: self._told(self.service.stage is Stage.SERVING),
            b"LAMEDUCK": lambda: self._told(self.service.lame_duck()),
            b"REJOIN": lambda: self._told(self.service.rejoin()),
        })
        self.admin: Port | None = None

    def start(self) -> None:
        """Take the list as last held, then listen; ConfigError where an address can't be had."""
        listen, admin = self.config.listen, self.config.admin
        if admin is not None:
            self.admin = self._listen(tcp.Port, admin, self.operators, "PROXY_ADMIN")
        self.farm.start_with(self.config.known)
        self.driver.look_round()
        self.port = self._listen(Gate, listen, self.door, "PROXY_LISTEN")
        self.reactor.callWhenRunning(self.service.started)
        log.info("relay %s listens on %s:%d, %d application servers known", self.config.name, listen.host,
                 self.port.getHost().port, len(self.config.known.endpoints))
        if self.admin is not None and admin is not None:
            log.info("operators call %s:%d", admin.host, self.admin.getHost().port)

    def _listen(self, kind: Any, at: told.Address, factory: ServerFactory, what: str) -> Port:
        port = kind(at.port, factory, BACKLOG, at.host, self.reactor)
        try:
            port.startListening()
        except CannotListenError as error:
            # Guards against a trace and an exit code of its own where the address is taken or not ours.
            raise told.ConfigError(f"{what}: {error}") from None
        return cast(Port, port)

    def _told(self, yes: bool) -> str:
        stage = self.service.stage.name.lower().replace("_", " ")
        return f"{'ok' if yes else 'fail'} {stage}, {len(self.driver.standing())} connections stand"

    def _farm(self) -> Farm:
        where = self.config.discovery
        return Farm(self.reactor, where.host, where.port, self.config.document.failure_domains, self.calendar,
                    self.driver.listed)

    # A new configuration

    def reload(self) -> None:
        """Read the file again; a discovery at another address takes over, connections and requests go on."""
        if self.port is None:
            return
        try:
            self.config, before = told.read_again(self.config), self.config
        except told.ConfigError as error:
            # Guards against a half-written file that takes a running relay along.
            log.warning("configuration not taken, the old one stays in force: %s",
                        str(error).replace("\n", " "))
            return
        if self.config.discovery == before.discovery:
            log.info("configuration read again: discovery stays as it is")
            return
        where = self.config.discovery
        log.info("configuration read again: discovery is now at %s:%d", where.host, where.port)
        self.farm.close()
        # Guards against a list that stays as old as the last call: the new discovery is asked at once, and
        # for all of it, as the old one's versions mean nothing there.
        self.farm = self._farm()
        self.farm.watch()

    # The end

    def drain(self) -> None:
        """Begin the end: keep listening and answering, then move whoever stands."""
        longest = max(each.deadline / 1e9 for each in self.config.settings.classes)
        end = min(longest, LONGEST_DEADLINE)
        # Guards against clients sent away while no other relay is back yet: they are served here for as
        # long as there is time to move them one by one.
        kept = min(KEPT, end / 2)
        if self.service.end(kept, end + LEFT_OVER):
            log.info("told to stop: %d requests and connections to finish", len(self.driver.transactions))
            self.reactor.callLater(kept, self._leave_when_done)
            self.reactor.callLater(end + LAST_CALL, self._last_call)

    def _leave_when_done(self) -> None:
        if self.driver.transactions:
            self.reactor.callLater(0.05, self._leave_when_done)
        else:
            # The last answers are written; their clients get a moment to take them.
            self.reactor.callLater(0.1, self._leave)

    def _last_call(self) -> None:
        for transaction in list(self.driver.transactions.values()):
            transaction.send_away()
            transaction.fail()
        self.reactor.callLater(0.1, self._leave)

    def _leave(self) -> None:
        if self.port is not None:
            self.port.stopListening()
            self.port = None
            if self.admin is not None:
                self.admin.stopListening()
            self.farm.close()
            log.info("stopped: %d requests and connections were left", len(self.driver.transactions))
            self.reactor.stop()
