"""What one value of a scenario must keep by another; each rule says what to change."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from scaledeal.hcl import Rule, RuleViolation, check_rules
from scaledeal.lab.scenario.types import Class, Clients, Model, Network, Scenario, Servers, Trouble

LONGEST = 2 * 86_400_000_000_000  # ns
_PARTS = {
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
_SIZED = {
    "slow_store": (1.0, "times slower"),
    "slow": (1.0, "times slower"),
    "report_late": (0.0, "seconds"),
    "crowd": (0.0, "times the usual rate"),
    "shrink": (0.0, ""),
}


def _seconds(file: Scenario) -> Iterator[RuleViolation]:
    if not 1_000_000_000 <= file.seconds <= LONGEST:
        yield "seconds", "must lie between 1s and 48h"


def _zones(file: Scenario) -> Iterator[RuleViolation]:
    if not file.zones:
        yield "zones", "at least one is needed"
    if len(set(file.zones)) < len(file.zones):
        yield "zones", "a name stands twice"


def _classes(file: Scenario) -> Iterator[RuleViolation]:
    if not file.classes:
        yield "class", 'at least one is needed: class "NAME" { ... }'
    yield from _twice("class", [each.name for each in file.classes])
    for each in file.classes:
        yield from check_rules((_class,), each)


def _tenants(file: Scenario) -> Iterator[RuleViolation]:
    yield from _twice("tenant", [each.name for each in file.tenant])


def _goal(file: Scenario) -> Iterator[RuleViolation]:
    goal = file.goal
    whole = goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant
    if abs(whole - 1) > 1e-6:
        yield "goal", f"its shares must come to 1, not {whole:g}"
    if goal.worst_tenant and not file.tenant:
        yield "goal.worst_tenant", 'must be 0 without tenants: tenant "NAME" { ... }'


def _class(each: Class) -> Iterator[RuleViolation]:
    place = f'class["{each.name}"]'
    if each.aim <= 0 or each.deadline <= 0:
        yield place, "aim and deadline must be above 0s"
    if each.aim > each.deadline:
        yield f"{place}.aim", f"is past the deadline of {each.deadline}"
    if each.load.low <= 0 or each.life.low <= 0:
        yield place, "load and life must be above 0"
    if each.change.low < 10_000_000:
        yield f"{place}.change", "must be 10ms or longer"


def _servers(file: Scenario) -> Iterator[RuleViolation]:
    yield from check_rules((_models, _per_core), file.servers)


def _models(servers: Servers) -> Iterator[RuleViolation]:
    if not servers.model:
        yield "servers.model", 'at least one is needed: model "NAME" { ... }'
    yield from _twice("servers.model", [each.name for each in servers.model])
    for each in servers.model:
        yield from check_rules((_model,), each)


def _model(each: Model) -> Iterator[RuleViolation]:
    place = f'servers.model["{each.name}"]'
    if each.speed.low <= 0:
        yield f"{place}.speed", "must be above 0"
    if not 0 < each.cold_from.low <= each.cold_from.high <= 1:
        yield f"{place}.cold_from", "must lie above 0 and at most at 1"


def _per_core(servers: Servers) -> Iterator[RuleViolation]:
    if servers.per_core.low <= 0:
        yield "servers.per_core", "must be above 0"
    if servers.group_cost and not servers.group_size:
        yield "servers.group_size", "must be above 0 where groups cost"
    if servers.report_period.low <= 0:
        yield "servers.report_period", "must be above 0s"


def _clients(file: Scenario) -> Iterator[RuleViolation]:
    yield from check_rules((_life,), file.clients)


def _life(clients: Clients) -> Iterator[RuleViolation]:
    if clients.life.low < 1_000_000:
        yield "clients.life", "must be 1ms or longer"


def _network(file: Scenario) -> Iterator[RuleViolation]:
    yield from check_rules((_times,), file.network)


def _times(network: Network) -> Iterator[RuleViolation]:
    for name in ("same", "cross", "client"):
        if getattr(network, name).high > 10_000_000_000:
            yield f"network.{name}", "must not be above 10s"


def _troubles(file: Scenario) -> Iterator[RuleViolation]:
    for number, each in enumerate(file.trouble):
        yield from check_rules((partial(_trouble, file, number),), each)


def _trouble(file: Scenario, number: int, each: Trouble) -> Iterator[RuleViolation]:
    place = f'trouble["{each.name}"]'
    if each.at.high > file.seconds:
        yield f"{place}.at", f"is past the end of the day ({file.seconds})"
    if each.zone is not None and each.zone >= len(file.zones):
        yield f"{place}.zone", f"there are only {len(file.zones)} zones, counted from 0"
    if each.name in _PARTS and not 0 <= each.part.low <= each.part.high <= 1:
        yield f"{place}.part", "must lie between 0 and 1"
    if each.name in _SIZED and each.size <= _SIZED[each.name][0] and each.name != "shrink":
        least, unit = _SIZED[each.name]
        yield f"{place}.size", f"must be above {least:g} ({unit})"
    if each.name == "pauses" and (each.size <= 0 or each.period.low <= 0):
        yield f"{place}.size", "must be above 0: the ms for which a server stands still, every period"
    if each.name == "neighbour" and not (0 < each.size < 1 and each.period.low > 0):
        yield f"{place}.size", "must lie between 0 and 1: the share of the machine that is taken, every other period"
    if each.name == "deploy" and not 0 < each.size <= 1:
        yield f"{place}.size", "must lie above 0 and at most at 1: the share of the fleet replaced at a time"


def _twice(place: str, names: list[str]) -> Iterator[RuleViolation]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f'{place}["{name}"]', "stands twice"
    if "" in names:
        yield place, "needs a name"


RULES: tuple[Rule, ...] = (_seconds, _zones, _classes, _tenants, _goal, _servers, _clients, _network, _troubles)
