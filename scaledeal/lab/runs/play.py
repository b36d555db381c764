"""Plays one run and returns its outcome as an object that can be stored and compared."""

from __future__ import annotations

import sys
import time
import types
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, Literal

import msgspec

from scaledeal.lab.hosts.module import BalancerFactory, ModuleHost
from scaledeal.lab.hosts.relay.host import RelayHost, relay_logs_silenced
from scaledeal.lab.kernel import RunawayError
from scaledeal.lab.scenario.reading import load_text
from scaledeal.lab.scenario.types import Scenario
from scaledeal.lab.truth import BrokenRuleError
from scaledeal.lab.world.fleet import Fleet
from scaledeal.policy import Balancer

HostName = Literal["module", "relay"]


class Variant(msgspec.Struct, frozen=True):
    """A variant to compare: a decision module, given by its source or installed, and settings laid over a scenario."""

    name: str = "now"
    source: str = ""  # of a decision module; empty for the installed one
    settings: str = ""  # HCL, laid over the scenario

    def factory(self) -> BalancerFactory:
        """Return the factory of the variant's balancers; raise ValueError if its source cannot be loaded."""
        return load_balancer(self.source) if self.source else Balancer

    @property
    def digest(self) -> str:
        """Return a digest of the source and the settings."""
        return blake2b(f"{self.source}\x00{self.settings}".encode(), digest_size=8).hexdigest()


class Job(msgspec.Struct, frozen=True):
    """A run to be played."""

    scenario: str  # its HCL text
    seed: int
    host: HostName = "module"
    variant: Variant = Variant()
    shuffle: bool = False  # draw the order of events that fall on the same instant
    stop_at_violation: bool = msgspec.field(default=True, name="stop")

    @property
    def key(self) -> str:
        """Return a digest of everything that determines the run: runs with the same key have the same result."""
        parts = "\x00".join(
            (
                self.scenario,
                str(self.seed),
                self.host,
                self.variant.digest,
                str(self.shuffle),
                str(self.stop_at_violation),
            )
        )
        return blake2b(parts.encode(), digest_size=12).hexdigest()


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of a run."""

    key: str
    title: str
    seed: int
    host: str
    variant: str
    figures: dict[str, Any]  # figures of the service
    series: dict[str, list[float]]
    violations: tuple[str, ...]
    error: str = ""  # why the run could not be played to its end; empty if it was
    events: int = 0
    seconds: float = 0.0  # duration of the run on this machine

    @property
    def score(self) -> float:
        """Return the figure ``G``, or 0 if a rule was broken or the run did not end."""
        return 0.0 if self.violations or self.error else float(self.figures.get("G", 0.0))


def load_balancer(source: str) -> BalancerFactory:
    """Load a decision module from its source and return its ``Balancer``.

    Raise ValueError if the source cannot be executed or defines no ``Balancer``.
    """
    name = "scaledeal_variant_" + blake2b(source.encode(), digest_size=6).hexdigest()
    if name not in sys.modules:
        module = types.ModuleType(name)
        sys.modules[name] = module
        try:
            exec(compile(source, name, "exec"), module.__dict__)
        except Exception as error:
            del sys.modules[name]
            raise ValueError(f"the module's source cannot be loaded: {type(error).__name__}: {error}") from None
    balancer = getattr(sys.modules[name], "Balancer", None)
    if balancer is None:
        raise ValueError("the module's source defines no Balancer")
    return balancer  # type: ignore[no-any-return]


def load_scenario(job: Job) -> Scenario:
    """Return a job's scenario with its variant's settings laid over it; raise FileError if they do not fit."""
    return load_text(job.scenario, job.variant.settings)


def start_host(fleet: Fleet, host: HostName, factory: BalancerFactory) -> ModuleHost | RelayHost:
    """Start the relays of a fleet on a host and return the host."""
    return ModuleHost(fleet, factory) if host == "module" else RelayHost(fleet, factory)


def play(job: Job, watch: Callable[[Fleet], None] = lambda fleet: None) -> Outcome:
    """Play a run to its end, or to its first broken rule if the job says so.

    ``watch`` is called with the fleet before the run starts. Raise FileError if the scenario is bad, and ValueError if
    the variant's source cannot be loaded.
    """
    scenario, factory = load_scenario(job), job.variant.factory()
    started_at = time.monotonic()
    fleet = Fleet(scenario, job.seed, job.stop_at_violation, job.shuffle)
    error = ""
    try:
        with relay_logs_silenced():
            host = start_host(fleet, job.host, factory)
            watch(fleet)
            host.run()
    except BrokenRuleError:
        pass  # the fleet's checker has recorded it
    except RunawayError as runaway:
        error = str(runaway)
    return Outcome(
        job.key,
        scenario.title,
        job.seed,
        job.host,
        job.variant.name,
        fleet.service.result(),
        fleet.service.series(),
        tuple(map(str, fleet.checker.violations)),
        error,
        fleet.kernel.executed,
        round(time.monotonic() - started_at, 2),
    )
