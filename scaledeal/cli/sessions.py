"""``scaledeal sessions``: a ledger of resumable sessions, looked at and kept in order."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from scaledeal.resume.core.register import Register
    from scaledeal.resume.stores.ledger import Ledger

app = typer.Typer(no_args_is_help=True, help="List, show, expire and verify the sessions of a ledger.")
LedgerPath = Annotated[Path, typer.Argument(metavar="LEDGER", help="The ledger's file.")]


@contextmanager
def _ledger(path: Path) -> Iterator[Ledger]:
    """Open a ledger that is there; end with code 2 and one plain line where it can't be believed."""
    from scaledeal.resume.stores.ledger import Ledger, LedgerError

    try:
        if not path.is_file():
            raise LedgerError(f"{path}: there is no ledger")
        ledger = Ledger(path, "cli")
    except LedgerError as error:
        typer.echo(f"scaledeal sessions: {error}", err=True)
        raise typer.Exit(2) from None
    try:
        yield ledger
    except LedgerError as error:
        typer.echo(f"scaledeal sessions: {error}", err=True)
        raise typer.Exit(2) from None
    finally:
        ledger.close()


def _line(each: Register) -> str:
    left = (each.expires - time.time_ns()) / 1e9  # noqa: TID251 - a command reads the wall clock once
    state = "answered" if each.answered else f"{left:.0f} s left" if left > 0 else "expired"
    return (
        f"{each.session}  epoch {each.epoch}  at {each.holder}  applied {each.applied}  sent {each.sent}  "
        f"unheard {len(each.outbox)}  {state}"
    )


@app.command("list")
def list_sessions(ledger: LedgerPath) -> None:
    """List the sessions, the next to expire first."""
    with _ledger(ledger) as opened:
        for each in opened.sessions():
            typer.echo(_line(each))


@app.command()
def show(ledger: LedgerPath, session: Annotated[str, typer.Argument(metavar="SESSION")]) -> None:
    """Show one session; its state and lines are told by their sizes, as they are its client's."""
    with _ledger(ledger) as opened:
        found = opened.get(session)
        if found is None:
            typer.echo(f"scaledeal sessions: no session {session!r}", err=True)
            raise typer.Exit(2)
        typer.echo(_line(found))
        typer.echo(f"state {len(found.state)} B  unheard lines {', '.join(str(number) for number, _ in found.outbox)}")


@app.command()
def expire(
    ledger: LedgerPath,
    compact: Annotated[
        bool, typer.Option("--compact", help="Give their room back; only while no relay uses it.")
    ] = False,
) -> None:
    """Forget the sessions whose time is up. A relay does so by itself."""
    with _ledger(ledger) as opened:
        now = time.time_ns()  # noqa: TID251 - a command reads the wall clock once
        typer.echo(f"{opened.expire(now)} sessions forgotten")
        if compact:
            opened.compact()


@app.command()
def verify(ledger: LedgerPath) -> None:
    """Read everything, and tell whether it is as it was written."""
    with _ledger(ledger) as opened:
        typer.echo(f"{ledger}: {sum(1 for _ in opened.sessions())} sessions, as they were written")
