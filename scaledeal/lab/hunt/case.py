"""A case: a whole scenario, a seed and the rule that they break, stored as one file that can be replayed."""

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
    """A day that the hunt found, with everything needed to play it again."""

    day: Scenario
    seed: int
    host: HostName = "module"
    rule: str = ""  # the rule that it breaks; empty if it only scores low
    score: float = 0.0
    shuffle: bool = False
    note: str = ""

    def write(self, path: Path) -> None:
        """Write the case as JSON."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self, enc_hook=_encode), indent=1) + b"\n")

    @classmethod
    def read(cls, path: Path) -> Case:
        """Read a case; raise ValueError if the file holds none."""
        try:
            return msgspec.json.decode(path.read_bytes(), type=cls, dec_hook=_decode)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}: {error}") from None


def _encode(value: Any) -> Any:
    return int(value) if isinstance(value, Duration) else list(value)


def _decode(kind: type, value: Any) -> Any:
    """Decode the types stored as plain numbers: durations in ns, and ranges as pairs of bounds."""
    if kind is Duration:
        return Duration(value)
    if kind in (NumberRange, DurationRange):
        return kind(tuple(value))
    raise NotImplementedError(kind)


def replay(case: Case, factory: BalancerFactory = Balancer) -> tuple[Violation | None, float]:
    """Play a case and return its first violation, or None, and its score G; the score is 0 after a violation."""
    fleet = Fleet(case.day, case.seed, True, case.shuffle)
    try:
        with relay_logs_silenced():
            start_host(fleet, case.host, factory).run()
    except BrokenRuleError as error:
        return error.violation, 0.0
    except RunawayError as runaway:
        return Violation("runaway", "", fleet.kernel.now, str(runaway), ()), 0.0
    return None, float(fleet.service.result()["G"])


def find_broken_rule(case: Case, factory: BalancerFactory = Balancer) -> str:
    """Return the rule that a case breaks, or an empty string."""
    violation, _ = replay(case, factory)
    return violation.rule if violation is not None else ""
