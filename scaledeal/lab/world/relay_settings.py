"""The settings document that the platform gives to a relay, derived from a scenario; both hosts use it."""

from __future__ import annotations

from typing import Any

from scaledeal.lab.scenario.types import Scenario

_REPORT_FIELDS = {"eps": "fail_rate", "inflight": "rif", "queue": "q", "x0": "x0"}


def settings_document(day: Scenario, relay_number: int, zone: int, quotas: tuple[float, ...] = ()) -> dict[str, Any]:
    """Return the settings of one relay as nested dictionaries, with the platform's names and units.

    ``quotas``: the number of connections across all relays that is within each tenant's quota.
    """
    return {
        "Classes": [
            {
                "Name": cls.name,
                "Aim": int(cls.aim),
                "Deadline": int(cls.deadline),
                "Worth": cls.worth,
                "Semantics": "repeatable",
                "KeyScope": "all",
            }
            for cls in day.classes
        ],
        "Siblings": day.relays.count,
        "Me": relay_number,
        "Zone": zone,
        "Discovery": "pushed" if day.discovery.mode == "pushed" else "on_request",
        "Accounts": [{"Name": tenant.name} for tenant in day.tenant],
        "OverShareWorth": day.clients.over_worth,
        "FailureDomains": list(day.zones),
        "Weights": day.servers.weights,
        "Caps": {
            "MaxAttempts": day.rules.attempts,
            "Probing": True,
            "Cancelling": True,
            "RetryAfter": True,
            "MaxRetryAfter": int(day.rules.retry_after),
            "DialTimeout": int(day.network.dial),
            "IdleClose": int(day.network.idle),
        },
        "Prices": {"Moves": day.prices.move, "Probe": day.prices.probe, "CrossZone": day.prices.cross_zone},
        "Report": {"Fields": [_REPORT_FIELDS[name] for name in day.rules.report_fields], "Via": "probe"},
        "Rules": {
            "ColdFrom": day.servers.min_cold_share,
            "WarmAfter": day.servers.warm_after,
            "OverloadFactor": day.rules.fall_multiple,
            "Fall": int(day.rules.fall),
        },
        "Specifics": {
            "Groups": day.servers.group_cost > 0,
            "MessageAim": [int(cls.message) for cls in day.classes],
            "TenantQuotaConnections": list(quotas),
        },
    }
