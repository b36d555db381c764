"""Plays one run and tells what came of it, as one object that can be stored and compared."""

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
    """What is compared: a decision module by its source, or today's, and settings laid over a scenario."""

    name: str = "now"
    source: str = ""  # of a decision module; empty: the one that is installed
    settings: str = ""  # HCL, laid over the scenario

    def factory(self) -> BalancerFactory:
        """Return what makes its balancers; raise ValueError where the source is none."""
        return module_from(self.source) if self.source else Balancer

    @property
    def digest(self) -> str:
        """Return what tells it from others."""
        return blake2b(f"{self.source}\x00{self.settings}".encode(), digest_size=8).hexdigest()


class Job(msgspec.Struct, frozen=True):
    """A run that is to be played."""

    scenario: str  # its text
    seed: int
    host: HostName = "module"
    variant: Variant = Variant()
    shuffle: bool = False  # draw the order of what falls on one instant
    stop: bool = True  # at the first broken rule

    @property
    def key(self) -> str:
        """Return what names this run and no other: the same key gives the same result."""
        told = "\x00".join(
            (self.scenario, str(self.seed), self.host, self.variant.digest, str(self.shuffle), str(self.stop))
        )
        return blake2b(told.encode(), digest_size=12).hexdigest()


class Outcome(msgspec.Struct, frozen=True):
    """What came of a run."""

    key: str
    title: str
    seed: int
    host: str
    variant: str
    figures: dict[str, Any]  # of the service
    series: dict[str, list[float]]
    violations: tuple[str, ...]
    error: str = ""  # why it could not be played to its end
    events: int = 0
    seconds: float = 0.0  # that it took here

    @property
    def score(self) -> float:
        """Return its figure: 0 where a rule was broken or it did not end."""
        return 0.0 if self.violations or self.error else float(self.figures.get("G", 0.0))


def module_from(source: str) -> BalancerFactory:
    """Return the ``Balancer`` of a decision module's source; raise ValueError where there is none."""
    name = "scaledeal_variant_" + blake2b(source.encode(), digest_size=6).hexdigest()
    if name not in sys.modules:
        module = types.ModuleType(name)
        sys.modules[name] = module
        try:
            exec(compile(source, name, "exec"), module.__dict__)
        except Exception as error:
            del sys.modules[name]
            raise ValueError(f"the module's source can't be taken: {type(error).__name__}: {error}") from None
    found = getattr(sys.modules[name], "Balancer", None)
    if found is None:
        raise ValueError("the module's source holds no Balancer")
    return found  # type: ignore[no-any-return]


def scenario_of(job: Job) -> Scenario:
    """Return a job's scenario with its variant's settings; raise FileError where they don't go together."""
    return load_text(job.scenario, job.variant.settings)


def hosted(fleet: Fleet, host: HostName, factory: BalancerFactory) -> ModuleHost | RelayHost:
    """Return a host with its relays started."""
    return ModuleHost(fleet, factory) if host == "module" else RelayHost(fleet, factory)


def play(job: Job, watch: Callable[[Fleet], None] = lambda fleet: None) -> Outcome:
    """Play a run to its end, or to its first broken rule; raise FileError or ValueError where there is none to play."""
    day, factory = scenario_of(job), job.variant.factory()
    began = time.monotonic()
    fleet = Fleet(day, job.seed, job.stop, job.shuffle)
    error = ""
    try:
        with relay_logs_silenced():
            host = hosted(fleet, job.host, factory)
            watch(fleet)
            host.run()
    except BrokenRuleError:
        pass  # the witness has it
    except RunawayError as runaway:
        error = str(runaway)
    return Outcome(
        job.key,
        day.title,
        job.seed,
        job.host,
        job.variant.name,
        fleet.service.result(),
        fleet.service.series(),
        tuple(map(str, fleet.checker.violations)),
        error,
        fleet.kernel.executed,
        round(time.monotonic() - began, 2),
    )
