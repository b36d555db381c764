"""The console script ``scaledeal``: its top-level commands and exit codes."""

from __future__ import annotations

from importlib.metadata import version
from pathlib import Path
from typing import Annotated

import typer

from scaledeal.cli import keys, lab, sessions

EXIT_CODES = """Exit codes: 0 success; 1 the program failed; 2 an argument, file or setting is invalid, and the message
says which and where."""

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help=f"A relay for long-lived connections.\n\n{EXIT_CODES}",
)
app.add_typer(keys.app, name="keys")
app.add_typer(sessions.app, name="sessions")
app.add_typer(lab.app, name="lab")

DEFAULT_FILE = Path("deploy/scaledeal.hcl")
OperatorFile = Annotated[Path, typer.Argument(metavar="FILE", help="The operators' file.")]


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(version("scaledeal"))
        raise typer.Exit


@app.callback()
def main(
    show_version: Annotated[
        bool, typer.Option("--version", callback=_print_version, is_eager=True, help="Print the version and exit.")
    ] = False,
) -> None:
    """Run a relay, check its settings, and manage its keys and sessions."""


@app.command()
def run(
    file: Annotated[Path, typer.Option("--file", "-f", metavar="FILE", help="The operators' file.")] = DEFAULT_FILE,
) -> None:
    """Run one relay with the extensions that the operators' file enables.

    The environment and PROXY_CONFIG set its addresses and platform settings, as with `python -m scaledeal`. SIGHUP
    reloads both files; SIGTERM moves the clients to other relays and ends the process.
    """
    from scaledeal.cli.running import run_relay

    raise typer.Exit(run_relay(file))


@app.command()
def check(
    file: OperatorFile = DEFAULT_FILE,
    config: Annotated[
        Path | None,
        typer.Option(
            metavar="FILE", help="The relay's PROXY_CONFIG: checks classes and deadlines against its settings."
        ),
    ] = None,
) -> None:
    """Check an operators' file and print all its faults, with place and reason."""
    from scaledeal.cli.checking import find_faults

    faults = find_faults(file, config)
    for fault in faults:
        typer.echo(f"{file}: {fault}", err=True)
    if faults:
        raise typer.Exit(2)
    typer.echo(f"{file}: valid")


if __name__ == "__main__":
    app()
