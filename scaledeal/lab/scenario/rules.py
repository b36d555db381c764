"""Constraints on the values of a scenario; each message says what the value must be."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from scaledeal.hcl import Rule, RuleViolation, check_rules
from scaledeal.lab.scenario.types import Class, Clients, Model, Network, Scenario, Servers, Trouble

MAX_DURATION_NS = 2 * 86_400_000_000_000
_KINDS_WITH_PART = {
    "slow",
    "neighbour",
    "hang",
    "pauses",
    "errors",
    "deploy",
    "shrink",
    "silent_streams",
    "crash",
    "resets",
    "relay_kill",
    "relay_restart",
    "upgrade",
    "reload",
}
_MIN_SIZES = {  # by trouble: the exclusive lower limit of ``size``, and its unit
    "slow_store": (1.0, "times slower"),
    "slow": (1.0, "times slower"),
    "report_late": (0.0, "seconds"),
    "crowd": (0.0, "times the usual rate"),
    "shrink": (0.0, ""),
}


def _seconds(file: Scenario) -> Iterator[RuleViolation]:
    if not 1_000_000_000 <= file.seconds <= MAX_DURATION_NS:
        yield "seconds", "must be between 1s and 48h"


def _zones(file: Scenario) -> Iterator[RuleViolation]:
    if not file.zones:
        yield "zones", "at least one is needed"
    if len(set(file.zones)) < len(file.zones):
        yield "zones", "a zone is named twice"


def _classes(file: Scenario) -> Iterator[RuleViolation]:
    if not file.classes:
        yield "class", 'at least one is needed: class "NAME" { ... }'
    yield from _duplicates("class", [cls.name for cls in file.classes])
    for cls in file.classes:
        yield from check_rules((_class,), cls)


def _tenants(file: Scenario) -> Iterator[RuleViolation]:
    yield from _duplicates("tenant", [tenant.name for tenant in file.tenant])


def _goal(file: Scenario) -> Iterator[RuleViolation]:
    goal = file.goal
    total = goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant
    if abs(total - 1) > 1e-6:
        yield "goal", f"its shares must add up to 1, not {total:g}"
    if goal.worst_tenant and not file.tenant:
        yield "goal.worst_tenant", 'must be 0 without tenants: tenant "NAME" { ... }'


def _class(cls: Class) -> Iterator[RuleViolation]:
    place = f'class["{cls.name}"]'
    if cls.aim <= 0 or cls.deadline <= 0:
        yield place, "aim and deadline must be above 0s"
    if cls.aim > cls.deadline:
        yield f"{place}.aim", f"must not exceed the deadline of {cls.deadline}"
    if cls.load.low <= 0 or cls.life.low <= 0:
        yield place, "load and life must be above 0"
    if cls.change.low < 10_000_000:
        yield f"{place}.change", "must be 10ms or longer"


def _servers(file: Scenario) -> Iterator[RuleViolation]:
    yield from check_rules((_models, _server_values), file.servers)


def _models(servers: Servers) -> Iterator[RuleViolation]:
    if not servers.model:
        yield "servers.model", 'at least one is needed: model "NAME" { ... }'
    yield from _duplicates("servers.model", [model.name for model in servers.model])
    for model in servers.model:
        yield from check_rules((_model,), model)


def _model(model: Model) -> Iterator[RuleViolation]:
    place = f'servers.model["{model.name}"]'
    if model.speed.low <= 0:
        yield f"{place}.speed", "must be above 0"
    if not 0 < model.cold_from.low <= model.cold_from.high <= 1:
        yield f"{place}.cold_from", "must be above 0 and at most 1"


def _server_values(servers: Servers) -> Iterator[RuleViolation]:
    if servers.per_core.low <= 0:
        yield "servers.per_core", "must be above 0"
    if servers.group_cost and not servers.group_size:
        yield "servers.group_size", "must be above 0 where group_cost is"
    if servers.report_period.low <= 0:
        yield "servers.report_period", "must be above 0s"


def _clients(file: Scenario) -> Iterator[RuleViolation]:
    yield from check_rules((_client_values,), file.clients)


def _client_values(clients: Clients) -> Iterator[RuleViolation]:
    if clients.life.low < 1_000_000:
        yield "clients.life", "must be 1ms or longer"


def _network(file: Scenario) -> Iterator[RuleViolation]:
    yield from check_rules((_network_times,), file.network)


def _network_times(network: Network) -> Iterator[RuleViolation]:
    for name in ("same", "cross", "client"):
        if getattr(network, name).high > 10_000_000_000:
            yield f"network.{name}", "must not exceed 10s"


def _troubles(file: Scenario) -> Iterator[RuleViolation]:
    for number, trouble in enumerate(file.trouble):
        yield from check_rules((partial(_trouble, file, number),), trouble)


def _trouble(file: Scenario, number: int, trouble: Trouble) -> Iterator[RuleViolation]:
    place = f'trouble["{trouble.name}"]'
    if trouble.at.high > file.seconds:
        yield f"{place}.at", f"must not be after the end of the day ({file.seconds})"
    if trouble.zone is not None and trouble.zone >= len(file.zones):
        yield f"{place}.zone", f"must be below the number of zones, {len(file.zones)}: zones are counted from 0"
    if trouble.name in _KINDS_WITH_PART and not 0 <= trouble.part.low <= trouble.part.high <= 1:
        yield f"{place}.part", "must be between 0 and 1"
    if trouble.name in _MIN_SIZES and trouble.size <= _MIN_SIZES[trouble.name][0] and trouble.name != "shrink":
        minimum, unit = _MIN_SIZES[trouble.name]
        yield f"{place}.size", f"must be above {minimum:g} ({unit})"
    if trouble.name == "pauses" and (trouble.size <= 0 or trouble.period.low <= 0):
        yield f"{place}.size", "must be above 0, as must period: the ms for which a server pauses, once every period"
    if trouble.name == "neighbour" and not (0 < trouble.size < 1 and trouble.period.low > 0):
        yield (
            f"{place}.size",
            "must be between 0 and 1 with period above 0: the share of the machine taken in every other period",
        )
    if trouble.name == "deploy" and not 0 < trouble.size <= 1:
        yield f"{place}.size", "must be above 0 and at most 1: the share of the fleet replaced at a time"


def _duplicates(place: str, names: list[str]) -> Iterator[RuleViolation]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f'{place}["{name}"]', "is defined twice"
    if "" in names:
        yield place, "needs a name"


RULES: tuple[Rule, ...] = (_seconds, _zones, _classes, _tenants, _goal, _servers, _clients, _network, _troubles)
