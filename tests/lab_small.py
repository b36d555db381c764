"""Small scenarios for the tests of the laboratory, written as HCL."""

from __future__ import annotations

from scaledeal.lab.scenario.reading import load_text
from scaledeal.lab.scenario.types import Scenario

TROUBLES = {
    "hang": 'lasts = "2s"\n  part = 0.4',
    "pauses": 'lasts = "2s"\n  part = 0.5\n  size = 200\n  period = "0.5s"',
    "errors": 'lasts = "3s"\n  part = 1\n  size = 1',
    "deploy": 'lasts = "2s"\n  part = 0.6\n  size = 0.4\n  period = "200ms"',
    "shrink": 'lasts = "1s"\n  part = 0.3\n  size = 0.4',
    "stale_roster": 'lasts = "2s"\n  size = 2',
    "silent_streams": "part = 0.2",
    "crash": 'lasts = "1s"\n  part = 0.4',
    "zone_lost": 'lasts = "1s"\n  zone = 1',
    "zone_cut": 'lasts = "1500ms"\n  zone = 0',
    "resets": 'lasts = "2s"\n  part = 0.3\n  period = "300ms"',
    "slow_store": 'lasts = "2s"\n  size = 8',
    "crowd": 'lasts = "2s"\n  size = 6',
    "relay_kill": "part = 0.5",
    "relay_restart": 'lasts = "1s"',
    "upgrade": 'lasts = "1s"',
    "reload": "part = 1",
    "discovery_down": 'lasts = "2s"',
    "slow": 'lasts = "2s"\n  part = 0.4\n  size = 6',
    "report_late": 'lasts = "2s"\n  size = 2',
    "neighbour": 'lasts = "3s"\n  part = 0.5\n  size = 0.6\n  period = "500ms"',
}

SMALL = """title = "small"
seconds = "{seconds}s"
zones = ["a", "b"]
servers {{
  count = 5
  per_core = 5
  group_cost = 1
  group_size = 6
  leaves = ["2s", "3s"]
  model "m" {{
    cores = 2
    speed = [0.9, 1.4]
    cold = ["2s", "4s"]
  }}
}}
relays {{
  count = 2
  notice = "500ms"
  start = "300ms"
}}
class "one" {{
  aim = "300ms"
  deadline = "1200ms"
  message = "100ms"
  worth = 3
}}
class "two" {{
  aim = "300ms"
  deadline = "1s"
}}
clients {{
  life = "4s"
  load = {load}
}}
discovery {{
  notice = ["200ms", "600ms"]
  add = ["100ms", "500ms"]
  silent = "1s"
  period = "200ms"
}}
"""
NO_LATENCY = """network {
  same = "0s"
  cross = "0s"
  client = "0s"
  jitter = 0
}
"""
SLOW_STORE = """store {
  headroom = 2
}
"""


def text(troubles: tuple[str, ...] = (), seconds: int = 6, no_latency: bool = False, overload: bool = False) -> str:
    """Return the HCL of a small day with troubles that start 0.9 s apart.

    ``no_latency``: messages take no time; ``overload``: high load and a slow store.
    """
    blocks = [
        f'trouble "{kind}" {{\n  at = "{at}ms"\n  {TROUBLES[kind]}\n}}\n'
        for kind, at in zip(troubles, range(1000, 9000, 900), strict=False)
    ]
    parts = [
        SMALL.format(seconds=seconds, load=0.9 if overload else 0.4),
        NO_LATENCY if no_latency else "",
        SLOW_STORE if overload else "",
    ]
    return "".join(parts + blocks)


def day(troubles: tuple[str, ...] = (), seconds: int = 6, no_latency: bool = False, overload: bool = False) -> Scenario:
    """Return a small day as a scenario; the parameters are those of ``text``."""
    return load_text(text(troubles, seconds, no_latency, overload))
