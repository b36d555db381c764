"""``scaledeal lab``: simulated fleets, experiments, the hunt for failures, and the account of a fleet's traces."""

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
    help="Simulate fleets, compare variants, hunt for failures, soak real processes, account for losses.",
)
app.command()(soak)
Host = Annotated[
    Literal["module", "relay"],
    typer.Option(help="module: the decision module alone; relay: the real network code on simulated sockets."),
]
StorePath = Annotated[Path, typer.Option("--store", metavar="FILE", help="The SQLite file of results.")]
Workers = Annotated[int, typer.Option(min=1, max=256, help="Parallel runs; each uses one core.")]
DEFAULT_STORE = Path("lab.sqlite")
DEFAULT_WORKERS = max(1, (os.cpu_count() or 2) // 2)


def _usage_error(text: str) -> typer.Exit:
    """Print a message on standard error; return the exit with code 2 for the caller to raise."""
    typer.echo(text, err=True)
    return typer.Exit(2)


@app.command()
def account(
    folder: Annotated[
        Path, typer.Argument(metavar="FOLDER", help="Logs of relays started with PROXY_TRACE, or one file.")
    ],
    follow: Annotated[
        str, typer.Option(metavar="ID", help="Print the events of one client, by connection id or flow key.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    plot: Annotated[Path | None, typer.Option(metavar="FILE", help="Plot it by second to a PNG or SVG file.")] = None,
) -> None:
    """Report what a whole fleet lost, by class and cause, from the traces of all relays."""
    from scaledeal.lab.account import reading, tables
    from scaledeal.lab.account.ledger import Ledger

    try:
        trace = reading.read(folder)
    except (reading.UnreadableError, OSError) as error:
        raise _usage_error(str(error)) from None
    ledger = Ledger(trace.lines)
    if follow:
        _print_client(ledger, follow)
        return
    if plot is not None:
        _write_plot(ledger, plot)
    if as_json:
        typer.echo(msgspec.json.encode(tables.as_object(ledger, trace)).decode())
    else:
        typer.echo(tables.as_text(ledger, trace))


def _print_client(ledger: object, id_or_key: str) -> None:
    from scaledeal.lab.account.ledger import Ledger
    from scaledeal.lab.account.tables import format_history

    assert isinstance(ledger, Ledger)
    by_key = ledger.histories.by_key
    key = (
        id_or_key
        if id_or_key in by_key
        else next(
            (
                request.key
                for requests in by_key.values()
                for request in requests
                if request.client_request_id == id_or_key
            ),
            "",
        )
    )
    if not key:
        raise _usage_error(f"{id_or_key}: no trace has this id or key")
    typer.echo(f"key {key}\n{format_history(by_key[key], ledger.start)}")


def _write_plot(ledger: object, path: Path) -> None:
    from scaledeal.lab.account.ledger import Ledger

    assert isinstance(ledger, Ledger)
    try:
        from scaledeal.lab.account.plot import draw
    except ImportError:
        raise _usage_error("--plot: needs matplotlib: pip install 'scaledeal[lab]'") from None
    try:
        draw(ledger, path)
    except (OSError, ValueError) as error:
        raise _usage_error(f"{path}: {error}") from None


@app.command()
def scenarios() -> None:
    """List the built-in scenarios."""
    from scaledeal.lab.scenario import bundled_scenarios

    for name, path in bundled_scenarios().items():
        typer.echo(f"{name:16} {path.read_text().splitlines()[0].lstrip('# ')}")


@app.command()
def check(file: Annotated[Path, typer.Argument(metavar="FILE")]) -> None:
    """Check a scenario and print all its faults, with place and reason."""
    from scaledeal.lab.scenario import check as find_faults

    faults = find_faults(file)
    for fault in faults:
        typer.echo(f"{file}: {fault}", err=True)
    if faults:
        raise typer.Exit(2)
    typer.echo(f"{file}: valid")


@app.command()
def run(
    scenario: Annotated[str, typer.Argument(metavar="SCENARIO", help="A file, or the name of a built-in scenario.")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    host: Host = "module",
    variant: Annotated[str, typer.Option(help="now, rev:REVISION, file:PATH or set:HCL.")] = "now",
    shuffle: Annotated[bool, typer.Option(help="Randomise the order of simultaneous events.")] = False,
    go_on: Annotated[bool, typer.Option(help="Continue after a rule violation.")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Simulate one day of a scenario. Exit code 1 if a rule was violated or the run did not complete."""
    from scaledeal.lab.runs import Job, play

    job = Job(_scenario_text(scenario), seed, host, _parse_variant(variant), shuffle, not go_on)
    outcome = _exit_on_error(lambda: play(job))
    if as_json:
        typer.echo(msgspec.json.encode(outcome).decode())
    else:
        _print_outcome(
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
    variant: Annotated[list[str], typer.Option(help="The first is the baseline for the others.")],
    seeds: Annotated[str, typer.Option(help="FROM-TO, or a list: 1,4,9.")] = "1-8",
    host: Host = "module",
    workers: Workers = DEFAULT_WORKERS,
    store: StorePath = DEFAULT_STORE,
    experiment: Annotated[str, typer.Option(help="The name under which the results are stored.")] = "compare",
) -> None:
    """Run scenarios x seeds x variants in parallel and report which variant is better.

    Runs already in the store are not repeated, so a comparison that was stopped resumes where it stopped.
    """
    from scaledeal.lab.experiments import sweep as sweeps

    variants = [_parse_variant(specification) for specification in variant]
    if len({parsed.name for parsed in variants}) < len(variants):
        raise _usage_error("--variant: two variants have the same name; prefix them with NAME=")
    jobs = sweeps.make_jobs([_scenario_text(scenario) for scenario in scenarios], _parse_seeds(seeds), variants, host)
    outcomes = _run_jobs(jobs, store, experiment, workers)
    for row in sweeps.compare_variants(outcomes, [parsed.name for parsed in variants], lambda run: run.score):
        violated = f"; rules violated in {row.broken[0]} and {row.broken[1]} runs" if any(row.broken) else ""
        typer.echo(f"{row.scenario}: {row.second} {row.verdict}{violated}")
    for failed in [outcome for outcome in outcomes if outcome.error]:
        typer.echo(f"not completed: {failed.title} seed {failed.seed} {failed.variant}: {failed.error}", err=True)
    if len(outcomes) < len(jobs):
        typer.echo(f"stopped: {len(outcomes)} of {len(jobs)} runs are stored; repeat the command to resume", err=True)
        raise typer.Exit(1)


@app.command()
def results(
    store: StorePath = DEFAULT_STORE,
    show: Annotated[str, typer.Option(metavar="KEY", help="Show one run, by a unique prefix of its key.")] = "",
    experiment: Annotated[str, typer.Option(help="Only results of this experiment.")] = "",
    export: Annotated[Path | None, typer.Option(metavar="FILE", help="Write the results to a CSV file.")] = None,
) -> None:
    """List, show or export stored results."""
    opened = _open_store(store, must_exist=True)
    if show:
        outcome = opened.find_by_prefix(show)
        if outcome is None:
            raise _usage_error(f"{show}: not the prefix of exactly one key")
        _print_outcome(outcome, "")
    elif export is not None:
        with export.open("w", newline="") as file:
            typer.echo(f"{opened.export(file, experiment)} runs written to {export}")
    else:
        for row in opened.list_runs(experiment):
            state = row["error"] or (f"{row['violations']} rule violations" if row["violations"] else "")
            typer.echo(
                f"{row['key']}  {row['experiment']:10} {row['title']:14} seed {row['seed']:<6} {row['host']:6} "
                f"{row['variant']:10} {row['score']:.4f}  {state}"
            )


@app.command()
def hunt(
    tries: Annotated[int, typer.Option(min=1, help="Number of random days.")] = 200,
    seed: Annotated[int, typer.Option(min=0, help="Seed of the random days.")] = 1,
    host: Host = "module",
    variant: Annotated[str, typer.Option(help="now, rev:REVISION or file:PATH.")] = "now",
    against: Annotated[str, typer.Option(help="Keep only days on which this other module violates no rule.")] = "",
    scenario: Annotated[
        str, typer.Option(help="Draw days from this scenario, up to a quarter larger or smaller.")
    ] = "",
    keep: Annotated[Path, typer.Option(metavar="FOLDER", help="Folder for the cases found.")] = Path("found"),
    workers: Workers = DEFAULT_WORKERS,
) -> None:
    """Simulate random days, shrink the first violation of each rule and store it. Exit code 1 if any was found."""
    from scaledeal.lab.hunt.workers import hunt_cases
    from scaledeal.lab.scenario.reading import load_text

    found = 0
    base = load_text(_scenario_text(scenario)) if scenario else None
    baseline = _parse_variant(against).source if against else None
    for case in hunt_cases(
        tries,
        seed,
        host,
        _parse_variant(variant).source,
        workers,
        lambda text: typer.echo(text, err=True),
        baseline,
        base,
    ):
        found += 1
        keep.mkdir(parents=True, exist_ok=True)
        path = keep / f"{case.rule.replace(' ', '-')}-{case.seed}.json"
        case.write(path)
        typer.echo(f"{case.rule}: {case.note}\n  stored as {path}; replay with: scaledeal lab replay {path}")
    if found:
        raise typer.Exit(1)
    typer.echo(f"no rule was violated in {tries} days")


@app.command()
def replay(
    file: Annotated[Path, typer.Argument(metavar="CASE")],
    variant: Annotated[str, typer.Option(help="now, rev:REVISION or file:PATH.")] = "now",
) -> None:
    """Replay a stored case and print the violation with its trace. Exit code 1 if its rule is still violated."""
    from scaledeal.lab.hunt import Case
    from scaledeal.lab.hunt import replay as replay_case

    try:
        case = Case.read(file)
    except (OSError, ValueError) as error:
        raise _usage_error(str(error)) from None
    violation, score = replay_case(case, _parse_variant(variant).factory())
    if violation is None:
        typer.echo(f"no rule is violated, G {score:.4f}")
        return
    typer.echo(str(violation))
    raise typer.Exit(1)


def _scenario_text(scenario: str) -> str:
    """Return the text of a scenario, by path or built-in name; exit with code 2 if it is invalid."""
    from scaledeal.hcl import FileError, read_file
    from scaledeal.lab.scenario import bundled_scenarios, load

    path = Path(scenario)
    if not path.is_file() and scenario in bundled_scenarios():
        path = bundled_scenarios()[scenario]
    try:
        load(path)
        return read_file(path)
    except FileError as error:
        raise _usage_error("\n".join(f"{scenario}: {fault}" for fault in error.faults)) from None


def _parse_variant(text: str) -> Variant:
    from scaledeal.lab.experiments.sweep import VariantError, parse_variant

    try:
        return parse_variant(text)
    except VariantError as error:
        raise _usage_error(f"--variant: {error}") from None


def _parse_seeds(text: str) -> list[int]:
    first, dash, last = text.partition("-")
    try:
        seeds = list(range(int(first), int(last) + 1)) if dash else [int(part) for part in text.split(",")]
    except ValueError:
        seeds = []
    if not seeds or min(seeds) < 0:
        raise _usage_error(f"--seeds: expected FROM-TO or a list, not {text!r}")
    return seeds


def _exit_on_error(call: Callable[[], Outcome]) -> Outcome:
    """Return the outcome of a call; on FileError or ValueError, print its faults and exit with code 2."""
    from scaledeal.hcl import FileError

    try:
        return call()
    except FileError as error:
        raise _usage_error("\n".join(map(str, error.faults))) from None
    except ValueError as error:
        raise _usage_error(str(error)) from None


def _open_store(path: Path, must_exist: bool = False) -> Store:
    from scaledeal.lab.runs.store import Store, StoreError

    if must_exist and not path.exists():
        raise _usage_error(f"{path}: no such file")
    try:
        return Store(path)
    except StoreError as error:
        raise _usage_error(str(error)) from None


def _run_jobs(jobs: list[Job], path: Path, experiment: str, workers: int) -> list[Outcome]:
    """Run the jobs that the store lacks, with progress on standard error; SIGINT stops after the current runs."""
    from scaledeal.lab.experiments.sweep import sweep

    store, stop_requests = _open_store(path), list[bool]()
    previous_handler = signal.signal(signal.SIGINT, lambda *_: stop_requests.append(True))
    outcomes = []
    try:
        for outcome, was_stored in sweep(jobs, store, experiment, workers, lambda: bool(stop_requests)):
            outcomes.append(outcome)
            source = "kept" if was_stored else f"{outcome.seconds:.1f} s"
            print(
                f"{len(outcomes)}/{len(jobs)} {outcome.title} seed {outcome.seed} {outcome.variant}: "
                f"{outcome.error or format(outcome.score, '.4f')} ({source})",
                file=sys.stderr,
            )
    finally:
        signal.signal(signal.SIGINT, previous_handler)
        store.close()
    return outcomes


def _print_outcome(outcome: Outcome, command: str) -> None:
    """Print an outcome; if it has violations, also the command that reproduces it, unless that is empty."""
    figures = outcome.figures
    typer.echo(
        f"{outcome.title}, seed {outcome.seed}, host {outcome.host}, variant {outcome.variant}: "
        f"{outcome.events} events in {outcome.seconds:.1f} s"
    )
    for name in ("G", "whole", "worst_10s", "worst_class"):
        if name in figures:
            typer.echo(f"  {name:12} {figures[name]:.4f}")
    for name in ("classes", "prices", "counts", "set_up_ms", "first_try_ms"):
        items = ", ".join(f"{key} {value}" for key, value in figures.get(name, {}).items() if value)
        typer.echo(f"  {name:12} {items}")
    typer.echo("  by second    " + " ".join(f"{share:.2f}" for share in outcome.series.get("share", [])))
    for violation in outcome.violations:
        typer.echo(violation)
    if outcome.error:
        typer.echo(f"not completed: {outcome.error}")
    if outcome.violations and command:
        typer.echo(f"reproduce with: {command}")
