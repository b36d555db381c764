"""``scaledeal lab``: what the laboratory tells of a run."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

app = typer.Typer(no_args_is_help=True, help="Account for what a fleet did.")


def _refuse(text: str) -> typer.Exit:
    typer.echo(text, err=True)
    return typer.Exit(2)


@app.command()
def account(
    folder: Annotated[Path, typer.Argument(
        metavar="FOLDER", help="Logs of relays started with PROXY_TRACE, or one file.")],
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
    from scaledeal.lab.account.tables import story
    assert isinstance(ledger, Ledger)
    by_key = ledger.journeys.by_key
    key = wanted if wanted in by_key else next(
        (visit.key for visits in by_key.values() for visit in visits if visit.id == wanted), "")
    if not key:
        raise _refuse(f"{wanted}: no relay names this id or key")
    typer.echo(f"key {key}\n{story(by_key[key], ledger.start)}")


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
