"""The settings of two deployments, for tests that run once for each of ``SITES``.

The values are those of the operators' pages, in the form that a relay reads from its configuration (nested JSON,
nanoseconds). The home deployment has four classes, no tenants, discovery on request and six attempts; the second has
two classes of very different worth, two tenants with shares, pushed lists and five attempts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MS = 1_000_000


@dataclass(frozen=True)
class Site:
    """One deployment: its settings and the names its clients use."""

    name: str
    settings: dict[str, Any]
    classes: tuple[str, ...] = field(init=False)
    tenants: tuple[str, ...] = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "classes", tuple(entry["Name"] for entry in self.settings["Classes"]))
        object.__setattr__(self, "tenants", tuple(entry["Name"] for entry in self.settings.get("Accounts", ())))

    def open(self, number: int, request_class: str = "", tenant: str = "", more: str = "", wait: int = 0) -> str:
        """Return a first line as this site's clients write it; ``wait`` in ms, by default the deadline of the class."""
        class_name = request_class or self.classes[0]
        entry = next(item for item in self.settings["Classes"] if item["Name"] == class_name)
        deadline_ms = wait or entry["Deadline"] // MS
        tenant_value = f",t={tenant}" if tenant else ""
        return (
            f"OPEN {number:016x} 7f3a9c21e0b4d655 c={class_name}{tenant_value},d={deadline_ms},g=5c0f6e1a2b3d4c59{more}"
        )


def _class(name: str, aim_ms: int, deadline_ms: int, worth: float) -> dict[str, Any]:
    return {
        "Name": name,
        "Aim": aim_ms * MS,
        "Deadline": deadline_ms * MS,
        "Worth": worth,
        "Semantics": "repeatable",
        "KeyScope": "cell",
    }


HOME = Site(
    "home",
    {
        "Classes": [
            _class("browse", 500, 3000, 2),
            _class("compare", 300, 1200, 3),
            _class("overlay", 300, 1200, 3),
            _class("notes", 300, 1800, 1),
        ],
        "Caps": {
            "Probing": True,
            "Cancelling": True,
            "MaxAttempts": 6,
            "DialTimeout": 250 * MS,
            "IdleClose": 5000 * MS,
        },
        "Report": {"Fields": ["fail_rate", "rif", "x0"], "Via": "probe"},
        "Discovery": "on_request",
        "FailureDomains": ["north", "centre", "south"],
        "Siblings": 3,
        "Weights": "rough",
        "Specifics": {"Groups": True, "MessageAim": [150 * MS, 250 * MS, 50 * MS, 100 * MS]},
        "Rules": {"ColdFrom": 0.3, "WarmAfter": 8900 * MS, "OverloadFactor": 3, "Fall": 1000 * MS},
    },
)

SECOND = Site(
    "second",
    {
        "Classes": [_class("guest-browse", 800, 4800, 1), _class("couple-picks", 300, 1800, 3)],
        "Accounts": [{"Name": "owambe-frames", "AllowancePerS": 3.9}, {"Name": "ikenna-studio", "AllowancePerS": 1.1}],
        "Caps": {
            "Probing": True,
            "Cancelling": True,
            "RetryAfter": True,
            "MaxRetryAfter": 2000 * MS,
            "MaxAttempts": 5,
            "DialTimeout": 100 * MS,
            "IdleClose": 60_000 * MS,
        },
        "Report": {"Fields": ["x0", "q"], "Via": "probe"},
        "Discovery": "pushed",
        "FailureDomains": ["west", "east"],
        "Siblings": 2,
        "Weights": "live",
        "OverShareWorth": 0.1,
        "Specifics": {"Groups": True, "MessageAim": [250 * MS, 150 * MS]},
        "Rules": {"ColdFrom": 0.13, "WarmAfter": 24_000 * MS, "OverloadFactor": 3, "Fall": 2000 * MS},
    },
)

SITES = (HOME, SECOND)
