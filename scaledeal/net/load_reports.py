"""Rejects load reports with impossible values, so that a server's last good report stays in force.

The wire does not tell how old a report is: the module counts its age from its arrival, and a late answer to a probe is
never read.
"""

from __future__ import annotations

import logging
import math
from dataclasses import replace

from scaledeal import interface as api
from scaledeal.net.fault_log import GOOD_VALUES_TO_RECOVER, FaultLog

log = logging.getLogger("scaledeal.reports")

MAX_LOAD_SHARE = 100.0  # highest utilisation or busy share: a server can be asked for 100 times its capacity
MAX_VALUE = 1e9  # of any other field

_SHARES = (api.Field.UTILISATION, api.Field.BUSY)


class LoadReports:
    """Checks the values of load reports, and logs faults by server."""

    def __init__(self, settings: api.Settings) -> None:
        self.probed = settings.report_source is api.Source.PROBES
        self.limits = tuple(MAX_LOAD_SHARE if field in _SHARES else MAX_VALUE for field in settings.report_fields)
        self.impossible = FaultLog(log, "load reports with impossible values", GOOD_VALUES_TO_RECOVER)
        self.missing = FaultLog(log, "probes answered without a whole load report", GOOD_VALUES_TO_RECOVER)
        self.without_report: dict[str, int] = {}  # by server, consecutive probes answered without a whole report

    def checked(self, event: api.Outcome | api.ProbeResult) -> api.Outcome | api.ProbeResult:
        """Return the event; without its report if a value of that is impossible."""
        if isinstance(event, api.ProbeResult) and event.result is api.Result.OK and self.probed:
            self._record_probe(event.server, bool(event.report))
        if not event.report:
            return event
        wrong = [value for value, limit in zip(event.report, self.limits, strict=False) if not 0 <= value <= limit]
        if not wrong:
            self.impossible.record_good((event.server,))
            return event
        self.impossible.record_faults(
            {event.server: ", ".join("not a number" if math.isnan(v) else f"{v:g}" for v in wrong)}
        )
        return replace(event, report=())

    def forget(self, server: str) -> None:
        """Forget a server that has left the list."""
        self.without_report.pop(server, None)

    def _record_probe(self, server: str, whole: bool) -> None:
        # Logged only after several in a row: a server that has just started has no report yet.
        if whole:
            self.without_report.pop(server, None)
            self.missing.record_good((server,))
            return
        self.without_report[server] = self.without_report.get(server, 0) + 1
        if self.without_report[server] >= GOOD_VALUES_TO_RECOVER:
            self.missing.record_faults({server: f"{GOOD_VALUES_TO_RECOVER} in a row"})
