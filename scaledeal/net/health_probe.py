"""Health probes: one connection to each application server, kept while probes follow one another."""

from __future__ import annotations

from collections.abc import Callable

from scaledeal import interface as api
from scaledeal.net import wording
from scaledeal.net.app_server import AppServerLink, dial
from scaledeal.net.attempt import SECOND, AttemptContext
from scaledeal.net.ports import Timer

PATIENCE = 0.5  # seconds that a probe may take

Report = Callable[[api.ProbeResult], None]


class HealthProbe:
    """Probes one application server; owns the connection and its one timer."""

    def __init__(
        self, context: AttemptContext, server: str, idle: float, tell: Report, over: Callable[[str], None]
    ) -> None:
        self.context = context
        self.server = server
        self.idle = idle
        self.tell = tell
        self.over = over
        self.address = ""
        self.link: AppServerLink | None = None  # the connection in use
        self.began = 0  # when the probe that is out was sent, 0 if none is
        self.timer: Timer | None = None

    def probe(self, address: str) -> None:
        """Probe once."""
        if self.began:
            return
        self.began = self.context.now()
        if self.link is not None and address != self.address:
            self._drop()
        self._set_timer(PATIENCE, self._too_late)
        if self.link is not None:
            self.link.send(wording.STATS)
            return
        self.address = address
        self.link = AppServerLink(self.context.reactor, self.context.pool, self)
        dial(self.link, address, self.context.dial_timeout / SECOND)

    def link_up(self) -> None:
        """Send the probe."""
        if self.link is not None and self.began:
            self.link.send(wording.STATS)
        elif self.link is not None:
            self._drop()

    def connect_failed(self, ours: bool) -> None:
        """Report that no connection came up."""
        self.link = None
        self._result(api.Result.NOT_SENT if ours else api.Result.CONNECT_FAILED)

    def line_came(self, line: bytes) -> None:
        """Read the answer."""
        if wording.first_word(line) == wording.PONG:
            self._result(api.Result.OK, self.context.read_report(line))
        else:
            self._result(api.Result.ERROR)

    def link_lost(self, broke: bool) -> None:
        """Report that the connection went, if an answer was due."""
        self.link = None
        self._result(api.Result.RESET)

    def _too_late(self) -> None:
        self.timer = None
        self._result(api.Result.TIMEOUT)
        self._drop()

    def _unused(self) -> None:
        self.timer = None
        self._drop()
        self.over(self.server)

    def give_back(self) -> bool:
        """Close the connection if no answer is due on it, and tell whether there was such a one."""
        if self.link is None or self.began:
            return False
        self._stop_timer()
        self._unused()
        return True

    def _drop(self) -> None:
        """Close the connection; nothing more of it is heard."""
        link, self.link = self.link, None
        if link is not None:
            link.owner = _Nobody(link)
            link.reset()

    def _result(self, result: api.Result, report: tuple[float, ...] = ()) -> None:
        if not self.began:
            return
        elapsed, self.began = self.context.now() - self.began, 0
        self._set_timer(self.idle, self._unused)
        self.tell(api.ProbeResult(self.server, result, elapsed, report))

    def _set_timer(self, delay: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        self.timer = self.context.reactor.callLater(delay, call)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class _Nobody:
    """Owns a connection that was given up: one that comes up all the same is closed."""

    def __init__(self, link: AppServerLink) -> None:
        self.link = link

    def link_up(self) -> None:
        self.link.reset()

    def connect_failed(self, ours: bool) -> None:
        """Nothing."""

    def line_came(self, line: bytes) -> None:
        """Nothing."""

    def link_lost(self, broke: bool) -> None:
        """Nothing."""


class HealthProbes:
    """The health probes of all application servers."""

    def __init__(
        self, context: AttemptContext, idle: int, tell: Report, room: Callable[[], int] = lambda: 1 << 20
    ) -> None:
        """``room`` tells how many connections may be held for probes now."""
        self.context = context
        self.idle = idle / SECOND
        self.tell = tell
        self.room = room
        self.probes: dict[str, HealthProbe] = {}  # the one that was used last stands last

    def probe(self, server: str, address: str) -> None:
        """Probe once; exactly one result is reported."""
        probe = self.probes.pop(server, None) or HealthProbe(self.context, server, self.idle, self.tell, self.forget)
        self.probes[server] = probe
        if probe.link is None:
            self.give_back(self.room() - 1)
        probe.probe(address)

    def held(self) -> int:
        """Return how many connections are held."""
        return sum(each.link is not None for each in self.probes.values())

    def give_back(self, most: int) -> None:
        """Close connections on which no answer is due, the longest unused first, until at most so many are held."""
        over = self.held() - most
        for each in list(self.probes.values()):
            if over <= 0:
                break
            over -= each.give_back()

    def forget(self, server: str) -> None:
        """Drop what was kept for a server that is no longer probed."""
        self.probes.pop(server, None)
