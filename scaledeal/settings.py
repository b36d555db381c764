"""The settings as operators write them, and their conversion to those of the decision module.

The adapter gets them as path=value words, the relay as nested JSON, under the same names and in the same units. Both
decode into ``Document``. Unknown keys are ignored; a bad value raises ValueError with its path.
"""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from scaledeal import interface as api

_SEMANTICS = {"repeatable": api.Semantics.REPEATABLE, "by_key": api.Semantics.KEYED, "once": api.Semantics.ONCE}
_SOURCES = {"answers": api.Source.ANSWERS, "probe": api.Source.PROBES, "none": api.Source.NONE}
_FIELDS = {"x0": api.Field.UTILISATION, "busy": api.Field.BUSY, "rif": api.Field.INFLIGHT}
_LISTS = frozenset({"Report.Fields", "Specifics.MessageAim", "Specifics.TenantQuotaConnections", "FailureDomains"})


class _Section(msgspec.Struct, rename="pascal", frozen=True):
    """A section of the settings. Durations are in nanoseconds, and whole numbers may be written as decimals."""


class ClassEntry(_Section, frozen=True):
    """One class of requests."""

    name: str = ""
    aim: float = 0.0
    deadline: float = 0.0
    worth: float = 1.0
    semantics: Literal["repeatable", "by_key", "once"] = "once"
    key_scope: Literal["all", "zone", "cell"] = "cell"
    window: float = 0.0


class Account(_Section, frozen=True):
    """One tenant."""

    name: str = ""
    allowance_per_s: float = 0.0


class Caps(_Section, frozen=True):
    """Limits of the site, and what it allows a relay to do."""

    max_attempts: float = 1.0
    probing: bool = False
    cancelling: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    dial_timeout: float = 250e6
    idle_close: float = 5e9


class Prices(_Section, frozen=True):
    """Costs in points."""

    moves: float = 0.0
    probe: float = 0.0
    cross_zone: float = 0.0


class Report(_Section, frozen=True):
    """The values of a load report, in order, and how reports arrive."""

    fields: tuple[str, ...] = ()
    via: Literal["answers", "probe", "none"] = "none"


class Rules(_Section, frozen=True):
    """The limits of the site's rules."""

    cold_from: float = 1.0
    warm_after: float = 0.0
    overload_factor: float = 1.0
    fall: float = 0.0
    answer_slack: float = 0.0
    ask_within: float = 10e9
    drain_grace: float = 1e9


class Specifics(_Section, frozen=True):
    """Properties of this kind of service."""

    groups: bool = False
    message_aim: tuple[float | None, ...] = ()
    tenant_quota_connections: tuple[float | None, ...] = ()


class Document(_Section, frozen=True):
    """All settings that a relay or the adapter reads."""

    classes: tuple[ClassEntry, ...] = ()
    accounts: tuple[Account, ...] = ()
    siblings: float = 1.0
    me: float = 0.0
    zone: float = 0.0
    discovery: str = ""
    failure_domains: tuple[str, ...] = ()
    weights: str = ""
    over_share_worth: float = 1.0
    granularity: float = 1e6
    caps: Caps = Caps()
    prices: Prices = Prices()
    report: Report = Report()
    rules: Rules = Rules()
    specifics: Specifics = Specifics()

    def settings(self) -> api.Settings:
        """Return the decision module's settings; raise ValueError for a value that it can't work with."""
        return api.Settings(
            classes=tuple(self._request_class(i, entry) for i, entry in enumerate(self.classes)),
            tenants=tuple(
                api.Tenant(entry.allowance_per_s, _value_or_zero(self.specifics.tenant_quota_connections, i))
                for i, entry in enumerate(self.accounts)
            ),
            siblings=self.relay_count(),
            me=int(self.me),
            zone=int(self.zone),
            ask_discovery=self.discovery == "on_request",
            max_attempts=int(self.caps.max_attempts),
            may_probe=self.caps.probing,
            may_cancel=self.caps.cancelling,
            retry_after_max=int(self.caps.max_retry_after) if self.caps.retry_after else 0,
            report_fields=tuple(_FIELDS.get(word, api.Field.OTHER) for word in self.report.fields),
            report_source=_SOURCES[self.report.via],
            groups=self.specifics.groups,
            fixed_weights=self.weights in ("nominal", "rough"),
            over_share_worth=self.over_share_worth,
            move_price=self.prices.moves,
            probe_price=self.prices.probe,
            zone_price=self.prices.cross_zone,
            cold_share=self.rules.cold_from,
            warm_after=int(self.rules.warm_after),
            overload_factor=self.rules.overload_factor,
            overload_window=int(self.rules.fall),
            granularity=int(self.granularity),
        )

    def relay_count(self) -> int:
        """Return the number of relays: as configured, but at least one more than this relay's number.

        With a number that is too low, this relay would use more than its share of a cold server's budget. It is not
        rejected, as only shares are computed from it: that is no reason for a start to fail.
        """
        return max(1, int(self.siblings), int(self.me) + 1)

    def _request_class(self, index: int, entry: ClassEntry) -> api.RequestClass:
        return api.RequestClass(
            aim=int(entry.aim),
            deadline=int(entry.deadline),
            worth=entry.worth,
            semantics=_SEMANTICS[entry.semantics],
            scope=api.Scope(entry.key_scope),
            window=int(entry.window),
            message_aim=int(_value_or_zero(self.specifics.message_aim, index)),
        )


def _value_or_zero(values: tuple[float | None, ...], index: int) -> float:
    return (values[index] or 0.0) if index < len(values) else 0.0


def from_pairs(pairs: dict[str, str]) -> Document:
    """Decode the settings from path=value pairs; an empty value counts as absent.

    Raise ValueError with the path of a bad value.
    """
    tree: dict[str, Any] = {}
    for path, value in pairs.items():
        if not value:
            continue
        *parents, leaf = path.split(".")
        node = tree
        for part in parents:
            inner = node.setdefault(part, {})
            if not isinstance(inner, dict):
                raise ValueError(f"{path}: {part} is also given as a single value")
            node = inner
        node[leaf] = [None if v == "null" else v for v in value.split(",")] if path in _LISTS else value
    for name in ("Classes", "Accounts"):
        if isinstance(listed := tree.get(name), dict):
            tree[name] = [listed.get(str(i), {}) for i in range(int(listed.get("count", 0)))]
    return msgspec.convert(tree, Document, strict=False)
