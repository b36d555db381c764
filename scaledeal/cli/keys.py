"""``scaledeal keys``: commands for the key file that relays and tile servers share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

app = typer.Typer(no_args_is_help=True, help="Make, list and retire the keys of connection ids; explain an id.")
ResultT = TypeVar("ResultT")

KeyFile = Annotated[Path, typer.Option("--keys", "-k", metavar="FILE", help="The key file.")]
DEFAULT_KEY_FILE = Path("deploy/quic.keys")


def _exit_on_key_error(call: Callable[[], ResultT]) -> ResultT:
    """Return the result of a call; on KeyRingError, print its message on standard error and exit with code 2."""
    from scaledeal.quic.ids.keys import KeyRingError

    try:
        return call()
    except KeyRingError as error:
        typer.echo(f"scaledeal keys: {error}", err=True)
        raise typer.Exit(2) from None


@app.command()
def new(
    keys: KeyFile = DEFAULT_KEY_FILE,
    server_id_length: Annotated[int, typer.Option(help="Bytes of a server id, 1 to 15.")] = 8,
    nonce_length: Annotated[
        int, typer.Option(help="Bytes of a nonce, 4 to 18; at most 19 together with the server id.")
    ] = 8,
    plaintext: Annotated[
        bool, typer.Option("--plaintext", help="Do not encrypt ids: anyone can read the server id.")
    ] = False,
) -> None:
    """Create a key file, or add a new active config to an existing one; the previous config stays valid as an old one.

    Distribute the file to all relays first and have them reload it (SIGHUP), then to the tile servers.
    """
    from scaledeal.quic.ids import key_file
    from scaledeal.quic.ids.keys import new_ring

    if keys.exists():
        current = _exit_on_key_error(lambda: key_file.read(keys))
        ring = _exit_on_key_error(lambda: current.rotated(server_id_length, nonce_length, plaintext))
    else:
        ring = _exit_on_key_error(lambda: new_ring(server_id_length, nonce_length, plaintext))
    _exit_on_key_error(lambda: key_file.write(keys, ring))
    typer.echo(f"{keys}: config {ring.active.number} is active, {len(ring.configs)} valid")


@app.command("list")
def list_configs(keys: KeyFile = DEFAULT_KEY_FILE) -> None:
    """List the valid configs; keys are not printed."""
    from scaledeal.quic.ids import key_file

    ring = _exit_on_key_error(lambda: key_file.read(keys))
    for entry in ring.configs:
        config = entry.config()
        typer.echo(
            f"config {config.number}  {entry.state.value:6}  {config.form:11}  server id "
            f"{config.server_id_length} B  nonce {config.nonce_length} B  id {config.length} B"
        )


@app.command()
def retire(
    number: Annotated[int, typer.Argument(metavar="CONFIG", help="The number of an old config.")],
    keys: KeyFile = DEFAULT_KEY_FILE,
) -> None:
    """Remove an old config: its ids no longer route, and flows that still use them end."""
    from scaledeal.quic.ids import key_file

    current = _exit_on_key_error(lambda: key_file.read(keys))
    ring = _exit_on_key_error(lambda: current.retired(number))
    _exit_on_key_error(lambda: key_file.write(keys, ring))
    typer.echo(f"{keys}: config {number} is retired, {len(ring.configs)} valid")


@app.command("show-token")
def show_token(
    token: Annotated[str, typer.Argument(metavar="TOKEN", help="The token of a resumable session.")],
    keys: KeyFile = DEFAULT_KEY_FILE,
) -> None:
    """Print the fields of a session's token, except those that bind it to its holder."""
    from scaledeal.quic.ids import key_file
    from scaledeal.resume.core.token import Sealer, TokenRefusal

    ring = _exit_on_key_error(lambda: key_file.read(keys))
    opened = Sealer(_exit_on_key_error(ring.token_keys), ring.active.number).open(token)
    if isinstance(opened, TokenRefusal):
        typer.echo(f"scaledeal keys: token refused: {opened.value}", err=True)
        raise typer.Exit(2)
    typer.echo(
        f"session {opened.session}  epoch {opened.epoch}  class {opened.request_class}  tenant {opened.tenant}  "
        f"server {opened.server}  owner {opened.owner}  applied {opened.applied}  sent {opened.sent}"
    )


@app.command("show-id")
def show_id(
    cid: Annotated[str, typer.Argument(metavar="CID", help="A connection id in hexadecimal.")],
    keys: KeyFile = DEFAULT_KEY_FILE,
    server: Annotated[
        list[str] | None, typer.Option(help="A server's name as discovery lists it; may be repeated.")
    ] = None,
) -> None:
    """Print the config, server id and nonce of a connection id, and which of the named servers it belongs to."""
    from scaledeal.quic.ids import key_file
    from scaledeal.quic.ids.servers import server_id

    ring = _exit_on_key_error(lambda: key_file.read(keys))
    try:
        raw = bytes.fromhex(cid)
    except ValueError:
        typer.echo("scaledeal keys: CID: not hexadecimal", err=True)
        raise typer.Exit(2) from None
    codec = ring.codecs().get(raw[0] >> 5) if raw else None
    decoded = codec.decode(raw) if codec is not None else None
    if codec is None or decoded is None:
        typer.echo("scaledeal keys: CID: does not match any valid config", err=True)
        raise typer.Exit(2)
    sid, nonce = decoded
    typer.echo(f"config {codec.config.number} ({codec.config.form})  server id {sid.hex()}  nonce {nonce.hex()}")
    for name in server or []:
        if server_id(name, len(sid)) == sid:
            typer.echo(f"server {name}")
