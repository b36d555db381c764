"""Draws an account by second: what was lost to which cause, and what clients and relays did meanwhile."""

from __future__ import annotations

from pathlib import Path

from matplotlib.figure import Figure

from scaledeal.lab.account.ledger import Ledger

SHOWN = 8  # causes with a colour of their own


def draw(ledger: Ledger, path: Path) -> None:
    """Write the picture, PNG or SVG by its ending; raise OSError or ValueError where that can't be done."""
    start = int(ledger.start)
    seconds = sorted(ledger.seconds)
    at = [second - start for second in seconds]
    figure = Figure(figsize=(11, 8), layout="constrained")
    lost, doing, state = figure.subplots(3, 1, sharex=True)
    causes = list(ledger.lost())
    rows = [[ledger.seconds[s].lost[cause] for s in seconds] for cause in causes[:SHOWN]]
    rest = [sum(ledger.seconds[s].lost[cause] for cause in causes[SHOWN:]) for s in seconds]
    lost.stackplot(at, *rows, rest, labels=[*causes[:SHOWN], "all other"])
    lost.set_ylabel("worth lost a second")
    lost.legend(fontsize="x-small", loc="upper left")
    for name in ("new", "again", "refused", "moved", "broken", "attempts"):
        doing.plot(at, [getattr(ledger.seconds[s], name) for s in seconds], label=name)
    doing.set_ylabel("a second")
    doing.legend(fontsize="x-small", loc="upper left")
    state.plot(at, [_mean(ledger.seconds[s].rungs) for s in seconds], label="mean rung")
    state.plot(at, [_mean(ledger.seconds[s].asked) for s in seconds], label="mean asked of warm servers")
    state.plot(at, [_mean(ledger.seconds[s].cold) for s in seconds], label="mean asked of cold servers")
    state.legend(fontsize="x-small", loc="upper left")
    state.set_xlabel("seconds")
    figure.savefig(path)


def _mean(values: list[int] | list[float]) -> float:
    return sum(values) / len(values) if values else float("nan")
