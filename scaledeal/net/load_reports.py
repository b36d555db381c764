"""Load reports that can't be: kept from the decision module, so that a server's last good report stays in force.

How old a report is can't be told on the wire; the module counts its age from when it came, and a probe's late answer
is never read.
"""

from __future__ import annotations

import logging
import math
from dataclasses import replace

from scaledeal import interface as api
from scaledeal.net.fault_log import SOUND, FaultLog

log = logging.getLogger("scaledeal.reports")

MOST_ASKED = 100.0  # times its capacity that a server can be asked for
MOST = 1e9  # of any other value

_SHARES = (api.Field.UTILISATION, api.Field.BUSY)


class LoadReports:
    """Checks what load reports tell, server by server."""

    def __init__(self, settings: api.Settings) -> None:
        self.probed = settings.report_source is api.Source.PROBES
        self.most = tuple(MOST_ASKED if each in _SHARES else MOST for each in settings.report_fields)
        self.absurd = FaultLog(log, "load reports with values that can't be", SOUND)
        self.missing = FaultLog(log, "probes answered without a whole load report", SOUND)
        self.without: dict[str, int] = {}  # by server, probes answered so one after another

    def checked(self, event: api.Outcome | api.ProbeResult) -> api.Outcome | api.ProbeResult:
        """Return the event, without its report where that can't be."""
        if isinstance(event, api.ProbeResult) and event.result is api.Result.OK and self.probed:
            self._told(event.server, bool(event.report))
        if not event.report:
            return event
        wrong = [value for value, most in zip(event.report, self.most, strict=False) if not 0 <= value <= most]
        if not wrong:
            self.absurd.good((event.server,))
            return event
        self.absurd.bad({event.server: ", ".join("no number" if math.isnan(v) else f"{v:g}" for v in wrong)})
        return replace(event, report=())

    def _told(self, server: str, whole: bool) -> None:
        # Guards against a line for each server that has just started: it has no report to tell yet.
        if whole:
            self.without.pop(server, None)
            self.missing.good((server,))
            return
        self.without[server] = self.without.get(server, 0) + 1
        if self.without[server] >= SOUND:
            self.missing.bad({server: f"{SOUND} in a row"})
