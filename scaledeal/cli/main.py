"""The console script ``scaledeal``: its commands and their exit codes."""

from __future__ import annotations

from importlib.metadata import version
from pathlib import Path
from typing import Annotated

import typer

from scaledeal.cli import keys, lab, sessions

EXIT_CODES = """Exit codes: 0 all went well; 2 something that was given can't be used, and the text says what and
where; 1 the program failed."""

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


def _version(wanted: bool) -> None:
    if wanted:
        typer.echo(version("scaledeal"))
        raise typer.Exit


@app.callback()
def main(
    told: Annotated[bool, typer.Option("--version", callback=_version, is_eager=True, help="Print it.")] = False,
) -> None:
    """Run a relay, check its settings, keep its keys and sessions."""


@app.command()
def run(
    file: Annotated[Path, typer.Option("--file", "-f", metavar="FILE", help="The operators' file.")] = DEFAULT_FILE,
) -> None:
    """Run one relay with what the operators' file adds.

    Where it is told by the environment and PROXY_CONFIG, as with `python -m scaledeal`. SIGHUP reads both files
    again, SIGTERM moves the clients and ends it.
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
    """Tell everything that is wrong with an operators' file, with place and reason."""
    from scaledeal.cli.checking import faults

    found = faults(file, config)
    for each in found:
        typer.echo(f"{file}: {each}", err=True)
    if found:
        raise typer.Exit(2)
    typer.echo(f"{file}: can be obeyed")


if __name__ == "__main__":
    app()
