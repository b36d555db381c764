"""``scaledeal lab soak``: a fleet of real processes under overlapping faults, judged by what crossed the sockets."""

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

SHOWN = 10  # violations of one seed that are shown


def soak(
    seed: Annotated[int, typer.Option(min=0, help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, max=10_000, help="How many seeds, one after another.")] = 1,
    seconds: Annotated[float, typer.Option(min=8.0, max=3600.0, help="Of traffic, for each seed.")] = 20.0,
    processes: Annotated[int, typer.Option(min=10, max=40, help="Relays and servers at most.")] = 40,
    at_once: Annotated[int, typer.Option("--at-once", min=1, max=8, help="Seeds played side by side.")] = 1,
    folder: Annotated[Path | None, typer.Option(metavar="DIR", help="Keeps logs and records; none: a new one.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object for each seed.")] = False,
) -> None:
    """Play a fleet of real processes on loopback under overlapping faults, and tell which rules broke.

    Exit code 0 where every seed held, 1 where a rule broke, 3 where this machine was too slow to tell.
    """
    from scaledeal.lab.soak.run import Result
    from scaledeal.lab.soak.shim import ShimUnavailableError

    try:
        where = folder or Path(tempfile.mkdtemp(prefix="scaledeal-soak-"))
        where.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise _refuse(f"--folder: {folder}: {error.strerror}") from None
    typer.echo(f"records in {where}", err=True)
    results, failed = list[Result](), list[int]()
    with ProcessPoolExecutor(at_once, mp_context=get_context("spawn")) as pool:
        jobs = {
            pool.submit(_play, number, seconds, processes, where / str(number)): number
            for number in range(seed, seed + seeds)
        }
        for job in as_completed(jobs):
            try:
                results.append(job.result())
                _show(results[-1], as_json)
            except ShimUnavailableError as error:
                pool.shutdown(cancel_futures=True)
                raise _refuse(f"soak: {error}") from None
            except OSError as error:
                # Guards against one seed's trouble with the machine that takes the others' results along.
                failed.append(jobs[job])
                typer.echo(f"seed {jobs[job]}: not played to its end: {error}", err=True)
    _sum_up(results)
    if failed:
        raise _refuse(f"soak: {len(failed)} seeds were not played to their end: {sorted(failed)}")


def _play(seed: int, seconds: float, processes: int, folder: Path) -> Result:
    from scaledeal.lab.soak.plan import draw_plan
    from scaledeal.lab.soak.run import run

    return run(draw_plan(seed, seconds, processes), folder)


def _show(result: Result, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(result).decode())
        return
    typer.echo(result.summary())
    for violation in result.violations[:SHOWN]:
        typer.echo(f"  {violation.rule.value}: {violation.relay} {violation.request} {violation.detail}")
    if len(result.violations) > SHOWN:
        typer.echo(f"  and {len(result.violations) - SHOWN} more, in {result.folder}/result.json")


def _sum_up(results: list[Result]) -> None:
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


def _refuse(text: str) -> typer.Exit:
    typer.echo(text, err=True)
    return typer.Exit(2)
