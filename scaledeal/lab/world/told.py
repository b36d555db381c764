"""What relays are told of a scenario, as the platform tells it: one document for both hosts."""

from __future__ import annotations

from typing import Any

from scaledeal.lab.scenario.types import Scenario

_WORDS = {"eps": "fail_rate", "inflight": "rif", "queue": "q", "x0": "x0"}


def document(day: Scenario, me: int, zone: int, quotas: tuple[float, ...] = ()) -> dict[str, Any]:
    """Return the settings of one relay, nested, under the platform's names and in its units.

    ``quotas``: connections over all relays that are within each tenant's share.
    """
    return {
        "Classes": [
            {
                "Name": each.name,
                "Aim": int(each.aim),
                "Deadline": int(each.deadline),
                "Worth": each.worth,
                "Semantics": "repeatable",
                "KeyScope": "all",
            }
            for each in day.classes
        ],
        "Siblings": day.relays.count,
        "Me": me,
        "Zone": zone,
        "Discovery": "pushed" if day.discovery.mode == "pushed" else "on_request",
        "Accounts": [{"Name": each.name} for each in day.tenant],
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
        "Report": {"Fields": [_WORDS[name] for name in day.rules.report_fields], "Via": "probe"},
        "Rules": {
            "ColdFrom": day.servers.min_cold_share,
            "WarmAfter": day.servers.warm_after,
            "OverloadFactor": day.rules.fall_multiple,
            "Fall": int(day.rules.fall),
        },
        "Specifics": {
            "Groups": day.servers.group_cost > 0,
            "MessageAim": [int(each.message) for each in day.classes],
            "TenantQuotaConnections": list(quotas),
        },
    }
