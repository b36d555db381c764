"""``scaledeal lab soak``: run a fleet of real processes under overlapping faults and check the recorded traffic."""

from __future__ import annotations

import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer

if TYPE_CHECKING:
    from scaledeal.lab.soak.run import Result

MAX_SHOWN_VIOLATIONS = 10  # per seed; result.json holds all of them


def soak(
    seed: Annotated[int, typer.Option(min=0, help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, max=10_000, help="Number of consecutive seeds.")] = 1,
    seconds: Annotated[float, typer.Option(min=8.0, max=3600.0, help="Duration of traffic for each seed.")] = 20.0,
    processes: Annotated[int, typer.Option(min=10, max=40, help="Maximum number of relays and servers.")] = 40,
    at_once: Annotated[int, typer.Option("--at-once", min=1, max=8, help="Seeds run in parallel.")] = 1,
    folder: Annotated[
        Path | None, typer.Option(metavar="DIR", help="Directory for logs and records; default: a new temporary one.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object for each seed.")] = False,
) -> None:
    """Run a fleet of real processes on loopback under overlapping faults and report the violated rules.

    Exit code 0 if no seed violated a rule, 1 if one did, 3 if a run is void because this machine was too slow.
    """
    from scaledeal.lab.soak.run import Result
    from scaledeal.lab.soak.shim import ShimUnavailableError

    try:
        root = folder or Path(tempfile.mkdtemp(prefix="scaledeal-soak-"))
        root.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise _usage_error(f"--folder: {folder}: {error.strerror}") from None
    typer.echo(f"records in {root}", err=True)
    results, failed = list[Result](), list[int]()
    with ProcessPoolExecutor(at_once, mp_context=get_context("spawn")) as pool:
        jobs = {
            pool.submit(_run_seed, number, seconds, processes, root / str(number)): number
            for number in range(seed, seed + seeds)
        }
        for job in as_completed(jobs):
            try:
                results.append(job.result())
                _print_result(results[-1], as_json)
            except ShimUnavailableError as error:
                pool.shutdown(cancel_futures=True)
                raise _usage_error(f"soak: {error}") from None
            except OSError as error:
                # An error of the operating system in one run must not discard the results of the other seeds.
                failed.append(jobs[job])
                typer.echo(f"seed {jobs[job]}: run not completed: {error}", err=True)
    _print_summary(results)
    if failed:
        raise _usage_error(f"soak: {len(failed)} runs not completed, seeds: {sorted(failed)}")


def _run_seed(seed: int, seconds: float, processes: int, folder: Path) -> Result:
    from scaledeal.lab.soak.plan import draw_plan
    from scaledeal.lab.soak.run import run

    return run(draw_plan(seed, seconds, processes), folder)


def _print_result(result: Result, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(result).decode())
        return
    typer.echo(result.summary())
    for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
        typer.echo(f"  {violation.rule.value}: {violation.relay} {violation.request} {violation.detail}")
    if len(result.violations) > MAX_SHOWN_VIOLATIONS:
        typer.echo(f"  and {len(result.violations) - MAX_SHOWN_VIOLATIONS} more, in {result.folder}/result.json")


def _print_summary(results: list[Result]) -> None:
    broken = sorted(result.seed for result in results if result.violations and not result.void)
    void = sorted(result.seed for result in results if result.void)
    requests = sum(result.requests for result in results)
    print(
        f"{len(results)} seeds, {requests} requests: {len(results) - len(broken) - len(void)} held, "
        f"{len(broken)} broken {broken or ''}, {len(void)} void {void or ''}".replace("  ", " "),
        file=sys.stderr,
    )
    if broken or void:
        raise typer.Exit(1 if broken else 3)


def _usage_error(text: str) -> typer.Exit:
    typer.echo(text, err=True)
    return typer.Exit(2)
