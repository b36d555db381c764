"""``scaledeal lab``: simulated fleets, experiments, the hunt, and the account of a fleet's traces."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
import typer

from scaledeal.cli.soak import soak

if TYPE_CHECKING:
    from scaledeal.lab.runs import Job, Outcome, Variant
    from scaledeal.lab.runs.store import Store

app = typer.Typer(
    no_args_is_help=True,
    help="Play simulated fleets, compare variants, hunt for failures, soak real processes, account.",
)
app.command()(soak)
Host = Annotated[
    Literal["module", "relay"],
    typer.Option(help="module: the decision module alone; relay: the real network code on simulated sockets."),
]
Results = Annotated[Path, typer.Option("--store", metavar="FILE", help="The results, an SQLite file.")]
Workers = Annotated[int, typer.Option(min=1, max=256, help="Runs at once; each takes one core.")]
STORE = Path("lab.sqlite")
HALF = max(1, (os.cpu_count() or 2) // 2)


def _refuse(text: str) -> typer.Exit:
    typer.echo(text, err=True)
    return typer.Exit(2)


@app.command()
def account(
    folder: Annotated[
        Path, typer.Argument(metavar="FOLDER", help="Logs of relays started with PROXY_TRACE, or one file.")
    ],
    follow: Annotated[str, typer.Option(metavar="ID", help="Tell what one client met: an id, or a flow's key.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    plot: Annotated[Path | None, typer.Option(metavar="FILE", help="Draw it by second: a PNG or SVG file.")] = None,
) -> None:
    """Account for what a whole fleet lost, by class and cause, from every relay's trace."""
    from scaledeal.lab.account import reading, tables
    from scaledeal.lab.account.ledger import Ledger

    try:
        trace = reading.read(folder)
    except (reading.UnreadableError, OSError) as error:
        raise _refuse(str(error)) from None
    ledger = Ledger(trace.lines)
    if follow:
        _follow(ledger, follow)
        return
    if plot is not None:
        _draw(ledger, plot)
    if as_json:
        typer.echo(msgspec.json.encode(tables.as_object(ledger, trace)).decode())
    else:
        typer.echo(tables.as_text(ledger, trace))


def _follow(ledger: object, wanted: str) -> None:
    from scaledeal.lab.account.ledger import Ledger
    from scaledeal.lab.account.tables import format_history

    assert isinstance(ledger, Ledger)
    by_key = ledger.histories.by_key
    key = (
        wanted
        if wanted in by_key
        else next(
            (
                request.key
                for requests in by_key.values()
                for request in requests
                if request.client_request_id == wanted
            ),
            "",
        )
    )
    if not key:
        raise _refuse(f"{wanted}: no relay names this id or key")
    typer.echo(f"key {key}\n{format_history(by_key[key], ledger.start)}")


def _draw(ledger: object, path: Path) -> None:
    from scaledeal.lab.account.ledger import Ledger

    assert isinstance(ledger, Ledger)
    try:
        from scaledeal.lab.account.plot import draw
    except ImportError:
        raise _refuse("--plot: needs matplotlib: pip install 'scaledeal[lab]'") from None
    try:
        draw(ledger, path)
    except (OSError, ValueError) as error:
        raise _refuse(f"{path}: {error}") from None


@app.command()
def scenarios() -> None:
    """List the scenarios that come with the program."""
    from scaledeal.lab.scenario import bundled_scenarios

    for name, path in bundled_scenarios().items():
        typer.echo(f"{name:16} {path.read_text().splitlines()[0].lstrip('# ')}")


@app.command()
def check(file: Annotated[Path, typer.Argument(metavar="FILE")]) -> None:
    """Tell everything that is wrong with a scenario, with place and reason."""
    from scaledeal.lab.scenario import check as faults

    found = faults(file)
    for each in found:
        typer.echo(f"{file}: {each}", err=True)
    if found:
        raise typer.Exit(2)
    typer.echo(f"{file}: can be played")


@app.command()
def run(
    scenario: Annotated[str, typer.Argument(metavar="SCENARIO", help="A file, or the name of a ready one.")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    host: Host = "module",
    variant: Annotated[str, typer.Option(help="now, rev:REVISION, file:PATH or set:HCL.")] = "now",
    shuffle: Annotated[bool, typer.Option(help="Draw the order of what falls on one instant.")] = False,
    go_on: Annotated[bool, typer.Option(help="Go on after a broken rule.")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Play one simulated day. Exit code 1 where a rule was broken or the run did not end."""
    from scaledeal.lab.runs import Job, play

    job = Job(_text(scenario), seed, host, _variant(variant), shuffle, not go_on)
    outcome = _tried(lambda: play(job))
    if as_json:
        typer.echo(msgspec.json.encode(outcome).decode())
    else:
        _show(
            outcome,
            f"scaledeal lab run {scenario} --seed {seed} --host {host}"
            + (f" --variant {variant}" if variant != "now" else "")
            + (" --shuffle" if shuffle else ""),
        )
    if outcome.violations or outcome.error:
        raise typer.Exit(1)


@app.command()
def compare(
    scenarios: Annotated[list[str], typer.Argument(metavar="SCENARIO...")],
    variant: Annotated[list[str], typer.Option(help="The first is what the others are held against.")],
    seeds: Annotated[str, typer.Option(help="FROM-TO, or a list: 1,4,9.")] = "1-8",
    host: Host = "module",
    workers: Workers = HALF,
    store: Results = STORE,
    experiment: Annotated[str, typer.Option(help="The name under which the results are kept.")] = "compare",
) -> None:
    """Play scenarios x seeds x variants in parallel and say which variant is better.

    What the store has already is not played again: a comparison that was stopped goes on from where it was.
    """
    from scaledeal.lab.experiments import sweep as sweeps

    variants = [_variant(each) for each in variant]
    if len({each.name for each in variants}) < len(variants):
        raise _refuse("--variant: two of one name; write NAME=... before them")
    jobs = sweeps.make_jobs([_text(each) for each in scenarios], _seeds(seeds), variants, host)
    outcomes = _played(jobs, store, experiment, workers)
    for row in sweeps.compare_variants(outcomes, [each.name for each in variants], lambda each: each.score):
        broken = f"; broken rules in {row.broken[0]} and {row.broken[1]} runs" if any(row.broken) else ""
        typer.echo(f"{row.scenario}: {row.second} {row.verdict}{broken}")
    for each in [outcome for outcome in outcomes if outcome.error]:
        typer.echo(f"not played: {each.title} seed {each.seed} {each.variant}: {each.error}", err=True)
    if len(outcomes) < len(jobs):
        typer.echo(f"stopped: {len(outcomes)} of {len(jobs)} runs are there; the same call goes on", err=True)
        raise typer.Exit(1)


@app.command()
def results(
    store: Results = STORE,
    show: Annotated[str, typer.Option(metavar="KEY", help="One run, by the beginning of its key.")] = "",
    experiment: Annotated[str, typer.Option(help="Only these.")] = "",
    export: Annotated[Path | None, typer.Option(metavar="FILE", help="Write them as CSV.")] = None,
) -> None:
    """List, show or export what was played."""
    kept = _store(store, must_exist=True)
    if show:
        outcome = kept.find_by_prefix(show)
        if outcome is None:
            raise _refuse(f"{show}: no run's key begins so, or more than one's")
        _show(outcome, "")
    elif export is not None:
        with export.open("w", newline="") as file:
            typer.echo(f"{kept.export(file, experiment)} runs written to {export}")
    else:
        for row in kept.list_runs(experiment):
            state = row["error"] or (f"{row['violations']} broken rules" if row["violations"] else "")
            typer.echo(
                f"{row['key']}  {row['experiment']:10} {row['title']:14} seed {row['seed']:<6} {row['host']:6} "
                f"{row['variant']:10} {row['score']:.4f}  {state}"
            )


@app.command()
def hunt(
    tries: Annotated[int, typer.Option(min=1, help="Days that are drawn.")] = 200,
    seed: Annotated[int, typer.Option(min=0, help="Of the draws.")] = 1,
    host: Host = "module",
    variant: Annotated[str, typer.Option(help="now, rev:REVISION or file:PATH.")] = "now",
    against: Annotated[str, typer.Option(help="Only days on which this other module keeps every rule.")] = "",
    scenario: Annotated[str, typer.Option(help="Days of this one, up to a quarter larger or smaller.")] = "",
    keep: Annotated[Path, typer.Option(metavar="FOLDER", help="Where cases are kept.")] = Path("found"),
    workers: Workers = HALF,
) -> None:
    """Draw days until a rule breaks, shrink what was found and keep it. Exit code 1 where something was found."""
    from scaledeal.lab.hunt.workers import hunt_cases
    from scaledeal.lab.scenario.reading import load_text

    found = 0
    near = load_text(_text(scenario)) if scenario else None
    other = _variant(against).source if against else None
    for case in hunt_cases(
        tries, seed, host, _variant(variant).source, workers, lambda text: typer.echo(text, err=True), other, near
    ):
        found += 1
        keep.mkdir(parents=True, exist_ok=True)
        path = keep / f"{case.rule.replace(' ', '-')}-{case.seed}.json"
        case.write(path)
        typer.echo(f"{case.rule}: {case.note}\n  kept as {path}; again by: scaledeal lab replay {path}")
    if found:
        raise typer.Exit(1)
    typer.echo(f"no rule broke in {tries} days")


@app.command()
def replay(
    file: Annotated[Path, typer.Argument(metavar="CASE")],
    variant: Annotated[str, typer.Option(help="now, rev:REVISION or file:PATH.")] = "now",
) -> None:
    """Play a kept case again and tell the trace of the id. Exit code 1 where its rule still breaks."""
    from scaledeal.lab.hunt import Case
    from scaledeal.lab.hunt import replay as again

    try:
        case = Case.read(file)
    except (OSError, ValueError) as error:
        raise _refuse(str(error)) from None
    violation, score = again(case, _variant(variant).factory())
    if violation is None:
        typer.echo(f"no rule breaks, G {score:.4f}")
        return
    typer.echo(str(violation))
    raise typer.Exit(1)


def _text(scenario: str) -> str:
    from scaledeal.hcl import FileError, read_file
    from scaledeal.lab.scenario import bundled_scenarios, load

    path = Path(scenario)
    if not path.is_file() and scenario in bundled_scenarios():
        path = bundled_scenarios()[scenario]
    try:
        load(path)
        return read_file(path)
    except FileError as error:
        raise _refuse("\n".join(f"{scenario}: {fault}" for fault in error.faults)) from None


def _variant(told: str) -> Variant:
    from scaledeal.lab.experiments.sweep import VariantError, parse_variant

    try:
        return parse_variant(told)
    except VariantError as error:
        raise _refuse(f"--variant: {error}") from None


def _seeds(told: str) -> list[int]:
    first, dash, last = told.partition("-")
    try:
        found = list(range(int(first), int(last) + 1)) if dash else [int(each) for each in told.split(",")]
    except ValueError:
        found = []
    if not found or min(found) < 0:
        raise _refuse(f"--seeds: FROM-TO or a list was expected, not {told!r}")
    return found


def _tried(call: Callable[[], Outcome]) -> Outcome:
    from scaledeal.hcl import FileError

    try:
        return call()
    except FileError as error:
        raise _refuse("\n".join(map(str, error.faults))) from None
    except ValueError as error:
        raise _refuse(str(error)) from None


def _store(path: Path, must_exist: bool = False) -> Store:
    from scaledeal.lab.runs.store import Store, StoreError

    if must_exist and not path.exists():
        raise _refuse(f"{path}: there is no such file")
    try:
        return Store(path)
    except StoreError as error:
        raise _refuse(str(error)) from None


def _played(jobs: list[Job], path: Path, experiment: str, workers: int) -> list[Outcome]:
    """Play what is missing, with progress on standard error; SIGINT ends it after what runs."""
    from scaledeal.lab.experiments.sweep import sweep

    kept, stop = _store(path), list[bool]()
    before = signal.signal(signal.SIGINT, lambda *_: stop.append(True))
    outcomes = []
    try:
        for outcome, old in sweep(jobs, kept, experiment, workers, lambda: bool(stop)):
            outcomes.append(outcome)
            told = "kept" if old else f"{outcome.seconds:.1f} s"
            print(
                f"{len(outcomes)}/{len(jobs)} {outcome.title} seed {outcome.seed} {outcome.variant}: "
                f"{outcome.error or format(outcome.score, '.4f')} ({told})",
                file=sys.stderr,
            )
    finally:
        signal.signal(signal.SIGINT, before)
        kept.close()
    return outcomes


def _show(outcome: Outcome, again: str) -> None:
    figures = outcome.figures
    typer.echo(
        f"{outcome.title}, seed {outcome.seed}, host {outcome.host}, variant {outcome.variant}: "
        f"{outcome.events} events in {outcome.seconds:.1f} s"
    )
    for name in ("G", "whole", "worst_10s", "worst_class"):
        if name in figures:
            typer.echo(f"  {name:12} {figures[name]:.4f}")
    for name in ("classes", "prices", "counts", "set_up_ms", "first_try_ms"):
        told = ", ".join(f"{key} {value}" for key, value in figures.get(name, {}).items() if value)
        typer.echo(f"  {name:12} {told}")
    typer.echo("  by second    " + " ".join(f"{share:.2f}" for share in outcome.series.get("share", [])))
    for violation in outcome.violations:
        typer.echo(violation)
    if outcome.error:
        typer.echo(f"did not end: {outcome.error}")
    if outcome.violations and again:
        typer.echo(f"again by: {again}")
