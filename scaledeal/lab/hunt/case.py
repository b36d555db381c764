"""A case: a whole scenario and a seed, as one file that replays, and the rule that it breaks."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from scaledeal.hcl import Duration, DurationRange, NumberRange
from scaledeal.lab.hosts.module import BalancerFactory
from scaledeal.lab.hosts.relay.host import relay_logs_silenced
from scaledeal.lab.kernel import RunawayError
from scaledeal.lab.runs.play import HostName, start_host
from scaledeal.lab.scenario.types import Scenario
from scaledeal.lab.truth import BrokenRuleError, Violation
from scaledeal.lab.world.fleet import Fleet
from scaledeal.policy import Balancer


class Case(msgspec.Struct, frozen=True):
    """What was found."""

    day: Scenario
    seed: int
    host: HostName = "module"
    rule: str = ""  # that it breaks; empty where it only loses much
    score: float = 0.0
    shuffle: bool = False
    note: str = ""

    def write(self, path: Path) -> None:
        """Keep it."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self, enc_hook=_told), indent=1) + b"\n")

    @classmethod
    def read(cls, path: Path) -> Case:
        """Read one; raise ValueError where the file holds none."""
        try:
            return msgspec.json.decode(path.read_bytes(), type=cls, dec_hook=_read)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}: {error}") from None


def _told(value: Any) -> Any:
    return int(value) if isinstance(value, Duration) else list(value)


def _read(kind: type, value: Any) -> Any:
    """Read what is kept as plain numbers: nanoseconds, and ends of ranges."""
    if kind is Duration:
        return Duration(value)
    if kind in (NumberRange, DurationRange):
        return kind(tuple(value))
    raise NotImplementedError(kind)


def replay(case: Case, factory: BalancerFactory = Balancer) -> tuple[Violation | None, float]:
    """Play a case: return the rule that it breaks first, if any, and its figure."""
    fleet = Fleet(case.day, case.seed, True, case.shuffle)
    try:
        with relay_logs_silenced():
            start_host(fleet, case.host, factory).run()
    except BrokenRuleError as broken:
        return broken.violation, 0.0
    except RunawayError as runaway:
        return Violation("runaway", "", fleet.kernel.now, str(runaway), ()), 0.0
    return None, float(fleet.service.result()["G"])


def failure_of(case: Case, factory: BalancerFactory = Balancer) -> str:
    """Return the rule that a case breaks, or nothing."""
    violation, _ = replay(case, factory)
    return violation.rule if violation is not None else ""
