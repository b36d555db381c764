"""Health probes: one connection to each application server, kept open between probes."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from scaledeal import interface as api
from scaledeal.net import wording
from scaledeal.net.app_server import AppServerLink, dial
from scaledeal.net.attempt import NS_PER_S, AttemptContext
from scaledeal.net.ports import Timer

PROBE_TIMEOUT_S = 0.5

ResultCallback = Callable[[api.ProbeResult], None]


class HealthProbe:
    """Probes one application server; owns the connection and its one timer."""

    def __init__(
        self,
        context: AttemptContext,
        server: str,
        idle: float,
        report_result: ResultCallback,
        on_idle_closed: Callable[[str], None],
        connected: set[str],
    ) -> None:
        """``idle`` is the time in seconds after which an unused connection is closed.

        ``connected`` has the servers to which there are connections; this probe keeps its own server's entry.
        """
        self.context = context
        self.connected = connected
        self.server = server
        self.idle = idle
        self.report_result = report_result
        self.on_idle_closed = on_idle_closed
        self.address = ""
        self._link: AppServerLink | None = None  # the connection in use
        self.probe_began = 0  # when the unanswered probe began, in ns; 0 if there is none
        self.timer: Timer | None = None

    @property
    def link(self) -> AppServerLink | None:
        """The connection in use."""
        return self._link

    @link.setter
    def link(self, link: AppServerLink | None) -> None:
        self._link = link
        if link is None:
            self.connected.discard(self.server)
        else:
            self.connected.add(self.server)

    def is_idle(self) -> bool:
        """Return whether there is a connection without an unanswered probe."""
        return self.link is not None and not self.probe_began

    def probe(self, address: str) -> None:
        """Begin a probe, unless the last one is still unanswered."""
        if self.probe_began:
            return
        self.probe_began = self.context.now()
        if self.link is not None and address != self.address:
            self._abandon_link()
        self._set_timer(PROBE_TIMEOUT_S, self._timed_out)
        if self.link is not None:
            self.link.send(wording.STATS)
            return
        self.address = address
        self.link = AppServerLink(self.context.reactor, self.context.pool, self)
        dial(self.link, address, self.context.dial_timeout / NS_PER_S)

    def link_up(self) -> None:
        """Send the probe."""
        if self.link is not None and self.probe_began:
            self.link.send(wording.STATS)
        elif self.link is not None:
            self._abandon_link()

    def connect_failed(self, local: bool) -> None:
        """Report that no connection was established."""
        self.link = None
        self._finish_probe(api.Result.NOT_SENT if local else api.Result.CONNECT_FAILED)

    def line_received(self, line: bytes) -> None:
        """Read the answer."""
        if wording.first_word(line) == wording.PONG:
            self._finish_probe(api.Result.OK, self.context.read_report(line))
        else:
            self._finish_probe(api.Result.ERROR)

    def takes_blocks(self) -> bool:
        """Take lines one by one."""
        return False

    def block_received(self, block: bytes) -> None:
        """Do nothing: never called."""

    def link_lost(self, broke: bool) -> None:
        """Report the loss of the connection if a probe was unanswered."""
        self.link = None
        self._finish_probe(api.Result.RESET)

    def _timed_out(self) -> None:
        self.timer = None
        self._finish_probe(api.Result.TIMEOUT)
        self._abandon_link()

    def _close_idle(self) -> None:
        self.timer = None
        self._abandon_link()
        self.on_idle_closed(self.server)

    def close_idle(self) -> None:
        """Close the connection, which has no unanswered probe."""
        self._stop_timer()
        self._close_idle()

    def _abandon_link(self) -> None:
        """Close the connection and ignore its further events."""
        link, self.link = self.link, None
        if link is not None:
            link.owner = _AbandonedLinkOwner(link)
            link.reset()

    def _finish_probe(self, result: api.Result, report: tuple[float, ...] = ()) -> None:
        if not self.probe_began:
            return
        elapsed, self.probe_began = self.context.now() - self.probe_began, 0
        self._set_timer(self.idle, self._close_idle)
        self.report_result(api.ProbeResult(self.server, result, elapsed, report))

    def _set_timer(self, delay: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        self.timer = self.context.reactor.callLater(delay, call)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class _AbandonedLinkOwner:
    """Owns an abandoned connection: closes it if it is established later, and ignores its other events."""

    def __init__(self, link: AppServerLink) -> None:
        self.link = link

    def link_up(self) -> None:
        self.link.reset()

    def connect_failed(self, local: bool) -> None:
        """Do nothing."""

    def line_received(self, line: bytes) -> None:
        """Do nothing."""

    def takes_blocks(self) -> bool:
        """Ignore lines as they come."""
        return False

    def block_received(self, block: bytes) -> None:
        """Do nothing."""

    def link_lost(self, broke: bool) -> None:
        """Do nothing."""


class HealthProbes:
    """The health probes of all application servers."""

    def __init__(
        self,
        context: AttemptContext,
        idle: int,
        report_result: ResultCallback,
        allowance: Callable[[], int] = lambda: 1 << 20,
    ) -> None:
        """``idle`` is in nanoseconds; ``allowance`` returns how many connections probes may hold now."""
        self.context = context
        self.idle = idle / NS_PER_S
        self.report_result = report_result
        self.allowance = allowance
        self.probes: dict[str, HealthProbe] = {}  # the least recently used first
        self.connected: set[str] = set()  # servers to which there are connections

    def probe(self, server: str, address: str) -> None:
        """Send one probe; exactly one result is reported."""
        probe = self.probes.pop(server, None) or HealthProbe(
            self.context, server, self.idle, self.report_result, self.forget, self.connected
        )
        self.probes[server] = probe
        if probe.link is None:
            self.close_idle(self.allowance() - 1)
        probe.probe(address)

    def connection_count(self) -> int:
        """Return how many connections probes hold."""
        return len(self.connected)

    def close_idle(self, max_connections: int) -> None:
        """Close idle connections, the least recently used first, until at most ``max_connections`` are held."""
        excess = self.connection_count() - max_connections
        idle = (probe for probe in self.probes.values() if probe.is_idle())
        for probe in list(islice(idle, max(0, excess))):
            probe.close_idle()

    def forget(self, server: str) -> None:
        """Remove the probe of a server that is no longer probed."""
        self.probes.pop(server, None)
