"""Plots an account by second: losses by cause, events of clients and relays, and load."""

from __future__ import annotations

from pathlib import Path

from matplotlib.figure import Figure

from scaledeal.lab.account.ledger import Ledger

MAX_PLOTTED_CAUSES = 8  # the largest have a colour each; the others share one


def draw(ledger: Ledger, path: Path) -> None:
    """Write the plot as PNG or SVG, by the suffix of ``path``; raise OSError or ValueError if that fails."""
    start = int(ledger.start)
    seconds = sorted(ledger.seconds)
    times = [second - start for second in seconds]
    figure = Figure(figsize=(11, 8), layout="constrained")
    loss_axes, event_axes, load_axes = figure.subplots(3, 1, sharex=True)
    causes = list(ledger.lost_by_cause())
    rows = [[ledger.seconds[s].lost[cause] for s in seconds] for cause in causes[:MAX_PLOTTED_CAUSES]]
    rest = [sum(ledger.seconds[s].lost[cause] for cause in causes[MAX_PLOTTED_CAUSES:]) for s in seconds]
    loss_axes.stackplot(times, *rows, rest, labels=[*causes[:MAX_PLOTTED_CAUSES], "all other"])
    loss_axes.set_ylabel("worth lost per second")
    loss_axes.legend(fontsize="x-small", loc="upper left")
    for name in ("new", "again", "refused", "moved", "broken", "attempts"):
        event_axes.plot(times, [getattr(ledger.seconds[s], name) for s in seconds], label=name)
    event_axes.set_ylabel("per second")
    event_axes.legend(fontsize="x-small", loc="upper left")
    load_axes.plot(times, [_mean(ledger.seconds[s].rungs) for s in seconds], label="mean rung")
    load_axes.plot(
        times, [_mean(ledger.seconds[s].asked) for s in seconds], label="mean load asked / capacity, warm servers"
    )
    load_axes.plot(
        times, [_mean(ledger.seconds[s].cold) for s in seconds], label="mean load asked / capacity, cold servers"
    )
    load_axes.legend(fontsize="x-small", loc="upper left")
    load_axes.set_xlabel("seconds")
    figure.savefig(path)


def _mean(values: list[int] | list[float]) -> float:
    return sum(values) / len(values) if values else float("nan")
