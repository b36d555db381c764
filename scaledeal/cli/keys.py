"""``scaledeal keys``: the key file that relays and tile servers share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

app = typer.Typer(no_args_is_help=True, help="Make, list and retire the keys of connection ids; explain an id.")
T = TypeVar("T")

KeyFile = Annotated[Path, typer.Option("--keys", "-k", metavar="FILE", help="The key file.")]
DEFAULT_KEYS = Path("deploy/quic.keys")


def _taken(call: Callable[[], T]) -> T:
    """Return what a call returns; end with code 2 and one plain line where it can't be done."""
    from scaledeal.quic.ids.keys import KeyRingError

    try:
        return call()
    except KeyRingError as error:
        typer.echo(f"scaledeal keys: {error}", err=True)
        raise typer.Exit(2) from None


@app.command()
def new(
    keys: KeyFile = DEFAULT_KEYS,
    server_id_length: Annotated[int, typer.Option(help="Bytes of a server id, 1 to 15.")] = 8,
    nonce_length: Annotated[int, typer.Option(help="Bytes of a nonce, 4 to 18; 19 at most with the server id.")] = 8,
    plaintext: Annotated[bool, typer.Option("--plaintext", help="Do not encrypt: anyone can read the server.")] = False,
) -> None:
    """Make a key file, or a new active config in one that exists; the config before stays in force as an old one.

    Give the file to all relays first and have them read it (SIGHUP), then to the tile servers.
    """
    from scaledeal.quic.ids import key_file
    from scaledeal.quic.ids.keys import new_ring

    if keys.exists():
        before = _taken(lambda: key_file.read(keys))
        ring = _taken(lambda: before.rotated(server_id_length, nonce_length, plaintext))
    else:
        ring = _taken(lambda: new_ring(server_id_length, nonce_length, plaintext))
    _taken(lambda: key_file.write(keys, ring))
    typer.echo(f"{keys}: config {ring.active.number} is active, {len(ring.configs)} in force")


@app.command("list")
def list_configs(keys: KeyFile = DEFAULT_KEYS) -> None:
    """List the configs in force; no key is printed."""
    from scaledeal.quic.ids import key_file

    ring = _taken(lambda: key_file.read(keys))
    for each in ring.configs:
        config = each.config()
        typer.echo(
            f"config {config.number}  {each.state.value:6}  {config.form:11}  server id "
            f"{config.server_id_length} B  nonce {config.nonce_length} B  id {config.length} B"
        )


@app.command()
def retire(
    number: Annotated[int, typer.Argument(metavar="CONFIG", help="The number of an old config.")],
    keys: KeyFile = DEFAULT_KEYS,
) -> None:
    """Take an old config out of force: its ids no longer route, and flows that still use them end."""
    from scaledeal.quic.ids import key_file

    before = _taken(lambda: key_file.read(keys))
    ring = _taken(lambda: before.retired(number))
    _taken(lambda: key_file.write(keys, ring))
    typer.echo(f"{keys}: config {number} is retired, {len(ring.configs)} in force")


@app.command("show-token")
def show_token(
    token: Annotated[str, typer.Argument(metavar="TOKEN", help="The token of a resumable session.")],
    keys: KeyFile = DEFAULT_KEYS,
) -> None:
    """Tell what a session's token says, but for what binds it to its holder."""
    from scaledeal.quic.ids import key_file
    from scaledeal.resume.core.token import Sealer, TokenRefusal

    ring = _taken(lambda: key_file.read(keys))
    found = Sealer(_taken(ring.token_keys), ring.active.number).open(token)
    if isinstance(found, TokenRefusal):
        typer.echo(f"scaledeal keys: this token is refused: {found.value}", err=True)
        raise typer.Exit(2)
    typer.echo(
        f"session {found.session}  epoch {found.epoch}  class {found.request_class}  tenant {found.tenant}  "
        f"server {found.server}  owner {found.owner}  applied {found.applied}  sent {found.sent}"
    )


@app.command("show-id")
def show_id(
    cid: Annotated[str, typer.Argument(metavar="CID", help="A connection id in hexadecimal.")],
    keys: KeyFile = DEFAULT_KEYS,
    server: Annotated[
        list[str] | None, typer.Option(help="A server's name as discovery lists it; may be repeated.")
    ] = None,
) -> None:
    """Tell what a connection id says: its config, server id and nonce, and whose of the named servers it is."""
    from scaledeal.quic.ids import key_file
    from scaledeal.quic.ids.servers import server_id

    ring = _taken(lambda: key_file.read(keys))
    try:
        raw = bytes.fromhex(cid)
    except ValueError:
        typer.echo("scaledeal keys: CID: hexadecimal was expected", err=True)
        raise typer.Exit(2) from None
    codec = ring.codecs().get(raw[0] >> 5) if raw else None
    found = codec.decode(raw) if codec is not None else None
    if codec is None or found is None:
        typer.echo("scaledeal keys: this id is of no config in force", err=True)
        raise typer.Exit(2)
    sid, nonce = found
    typer.echo(f"config {codec.config.number} ({codec.config.form})  server id {sid.hex()}  nonce {nonce.hex()}")
    for name in server or []:
        if server_id(name, len(sid)) == sid:
            typer.echo(f"server {name}")
