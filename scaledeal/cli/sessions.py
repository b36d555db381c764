"""``scaledeal sessions``: commands that inspect and maintain a ledger of resumable sessions."""

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
def _open_ledger(path: Path) -> Iterator[Ledger]:
    """Open an existing ledger; on LedgerError, such as a missing or corrupt file, print it and exit with code 2."""
    from scaledeal.resume.stores.ledger import Ledger, LedgerError

    try:
        if not path.is_file():
            raise LedgerError(f"{path}: no such ledger")
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


def _describe(register: Register) -> str:
    remaining_s = (register.expires - time.time_ns()) / 1e9  # noqa: TID251 - a command reads the wall clock once
    state = "answered" if register.answered else f"{remaining_s:.0f} s left" if remaining_s > 0 else "expired"
    return (
        f"{register.session}  epoch {register.epoch}  at {register.holder}  applied {register.applied}  "
        f"sent {register.sent}  unacknowledged {len(register.outbox)}  {state}"
    )


@app.command("list")
def list_sessions(ledger: LedgerPath) -> None:
    """List the sessions, in the order in which they expire."""
    with _open_ledger(ledger) as opened:
        for register in opened.sessions():
            typer.echo(_describe(register))


@app.command()
def show(ledger: LedgerPath, session: Annotated[str, typer.Argument(metavar="SESSION")]) -> None:
    """Show one session; only the size of its state and the numbers of its lines, as the content is the client's."""
    with _open_ledger(ledger) as opened:
        register = opened.get(session)
        if register is None:
            typer.echo(f"scaledeal sessions: no session {session!r}", err=True)
            raise typer.Exit(2)
        typer.echo(_describe(register))
        typer.echo(
            f"state {len(register.state)} B  unacknowledged lines "
            f"{', '.join(str(number) for number, _ in register.outbox)}"
        )


@app.command()
def expire(
    ledger: LedgerPath,
    compact: Annotated[
        bool,
        typer.Option(
            "--compact", help="Also return the free space to the file system; only while no relay uses the ledger."
        ),
    ] = False,
) -> None:
    """Delete expired sessions. A running relay does this by itself."""
    with _open_ledger(ledger) as opened:
        now = time.time_ns()  # noqa: TID251 - a command reads the wall clock once
        typer.echo(f"{opened.expire(now)} expired sessions deleted")
        if compact:
            opened.compact()


@app.command()
def verify(ledger: LedgerPath) -> None:
    """Read the whole ledger and verify the checksum of every session."""
    with _open_ledger(ledger) as opened:
        typer.echo(f"{ledger}: {sum(1 for _ in opened.sessions())} sessions, all checksums match")
