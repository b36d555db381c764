"""Resumable sessions through relay processes, with stand-ins that count every line; each test names its failure."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from scaledeal.lab.discovery import Discovery
from scaledeal.lab.line_peers import Behaviour, LineClient, LineServer
from scaledeal.lab.loop import Loop
from scaledeal.lab.relay import RelayProcess
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import new_ring
from scaledeal.resume.stores.ledger import Ledger


class World:
    """A discovery, servers, relays that share a ledger, and clients."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.loop = folder, Loop()
        self.keys, self.file, self.ledger = folder / "keys", folder / "file.hcl", folder / "ledger"
        key_file.write(self.keys, new_ring())
        self.file.write_text(f'resume {{\n  keys = "{self.keys}"\n  owner = "here"\n  ledger = "{self.ledger}"\n}}\n')
        self.discovery = Discovery(self.loop)
        self.servers: dict[str, LineServer] = {}
        self.relays: list[RelayProcess] = []

    def add(self, *names: str) -> None:
        for name in names:
            self.servers[name] = LineServer(self.loop, name)
            self.discovery.put(name, self.servers[name].address)

    def relay(self, name: str = "n0") -> RelayProcess:
        started = RelayProcess(self.loop, self.folder, self.discovery.address, self.file, name)
        self.relays.append(started)
        started.until_told("sessions are resumable")
        self.until(lambda: started.figure("relay_registry_entries") >= len(self.servers), "the list")
        return started

    def port(self, relay: RelayProcess) -> int:
        return int(relay.until_told("listens on").partition("127.0.0.1:")[2].partition(",")[0])

    def client(self, relay: RelayProcess, **more: Any) -> LineClient:
        made = LineClient(self.loop, self.port(relay), **more)
        self.until(lambda: made.up_count == 1, f"up, not {made.unnumbered_lines}")
        return made

    def until(self, holds: Any, what: str = "") -> None:
        self.loop.until(holds, what)

    def home(self) -> LineServer:
        """Return the server that holds the one connection there is."""
        return next(server for server in self.servers.values() if server.connections)

    def echoed(self, client: LineClient, count: int) -> None:
        self.until(
            lambda: len(client.server_lines) >= count,
            f"{count} lines, not {len(client.server_lines)}, {client.unnumbered_lines}",
        )

    def ends_well(self, client: LineClient, *said: str) -> None:
        """Say the last line, and hold what came back against what was said."""
        client.send_line("done")
        self.until(lambda: client.final_answers, f"the final answer, not {client.unnumbered_lines[-3:]}")
        assert client.server_lines == [f"echo {each}".encode() for each in (*said, "done")]
        assert client.final_answers == 1 and not client.outbox.lines
        ledger = Ledger(self.ledger, "here")
        assert [each.answered for each in ledger.sessions()] == [True] * len(list(ledger.sessions()))
        ledger.close()

    def close(self) -> None:
        for relay in self.relays:
            if not relay.ended():
                relay.kill()
        self.loop.close()
        told = [line for relay in self.relays for line in relay.log if "Traceback" in line]
        assert told == [], "\n".join(told)


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


@pytest.mark.parametrize("request_class", ["compare", "overlay"])
def test_a_server_drains_in_mid_session(world: World, request_class: str) -> None:
    """Without a resume the client begins anew, and its place and annotations are gone."""
    world.add("s-0", "s-1")
    client = world.client(world.relay(), request_class=request_class)
    for text in ("one", "two"):
        client.send_line(text)
    world.echoed(client, 2)
    home = world.home()
    home.behaviour = Behaviour.BUSY
    client.send_line("three")  # in flight when the server leaves
    home.drain()
    assert client.connection is not None
    world.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    client.send_line("four")
    client.resume()
    world.echoed(client, 4)
    assert world.home() is not home
    world.ends_well(client, "one", "two", "three", "four")


def test_the_second_server_drains_during_the_resume(world: World) -> None:
    """A session that is moved twice in a row must not begin anew, nor repeat what the first had applied."""
    world.add("s-0", "s-1")
    client = world.client(world.relay())
    client.send_line("one")
    world.echoed(client, 1)
    first = world.home()
    other = next(server for server in world.servers.values() if server is not first)
    first.behaviour, other.behaviour = Behaviour.BUSY, Behaviour.MOVES
    first.drain()
    world.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    connection = client.resume()
    world.until(lambda: connection.closed, "the second move")
    assert [line.split(b" ")[0] for line in connection.unnumbered_lines] == [b"UP", b"MOVE"]
    other.behaviour = Behaviour.NORMAL
    client.resume()
    client.send_line("two")
    world.echoed(client, 2)
    world.ends_well(client, "one", "two")


def test_the_relay_is_killed(world: World) -> None:
    """A fence, and what was acknowledged, must outlive the process that told them."""
    world.add("s-0", "s-1")
    relay = world.relay()
    client = world.client(relay)
    client.send_line("one")
    world.echoed(client, 1)
    relay.kill()
    world.until(lambda: client.connection.closed, "the break")  # type: ignore[union-attr]
    client.send_line("two")
    client.resume(world.port(world.relay()))
    world.echoed(client, 2)
    world.ends_well(client, "one", "two")


def test_sigterm_and_a_second_relay(world: World) -> None:
    """A relay that goes moves its clients with their tokens: the other one, with the same ledger, goes on."""
    world.add("s-0")
    one, two = world.relay("n0"), world.relay("n1")
    client = world.client(one)
    client.send_line("one")
    world.echoed(client, 1)
    one.terminate()
    world.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    assert client.unnumbered_lines[-1].startswith(b"MOVE rs=")
    client.resume(world.port(two))
    client.send_line("two")
    world.echoed(client, 2)
    world.ends_well(client, "one", "two")


def test_one_token_at_two_relays_at_once(world: World) -> None:
    """Both relays go on, and the session is answered twice: one of them has to be told that it is stale."""
    world.add("s-0", "s-1")
    one, two = world.relay("n0"), world.relay("n1")
    client = world.client(one)
    client.send_line("one")
    world.echoed(client, 1)
    token, secret, last = client.token, client.secret, client.last_secret
    first = client.resume(world.port(one))
    client.token, client.secret, client.last_secret = token, secret, last
    second = client.resume(world.port(two))
    world.until(lambda: first.unnumbered_lines and second.unnumbered_lines, "both answers")
    words = sorted(connection.unnumbered_lines[0].split(b" ")[0] for connection in (first, second))
    assert words == [b"ERR", b"UP"]
    refused = first if first.unnumbered_lines[0].startswith(b"ERR") else second
    assert refused.unnumbered_lines == [b"ERR RS stale"]


def test_a_resume_while_the_old_connection_stands(world: World) -> None:
    """The old server's late words must not count, and its connection must not stand on."""
    world.add("s-0")
    relay = world.relay()
    client = world.client(relay)
    client.send_line("one")
    world.echoed(client, 1)
    old = client.connection
    assert old is not None
    client.send_line("two")  # to the old connection, whose answer may or may not come before the resume
    client.resume()
    world.until(lambda: old.closed, "the old connection's end")
    world.echoed(client, 2)
    assert relay.figure('relay_sessions_total{what="fenced"}') == 1
    world.ends_well(client, "one", "two")


def test_a_new_version_takes_over(world: World) -> None:
    """Two processes of one relay share the ledger: the old one moves its sessions, the new one goes on with them."""
    world.add("s-0")
    old = world.relay()
    client = world.client(old)
    client.send_line("one")
    world.echoed(client, 1)
    new = world.relay()
    port = new.until_told("listens on").partition("127.0.0.1:")[2].partition(",")[0]
    client.send_line("two")
    old.terminate()
    world.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    assert client.unnumbered_lines[-1].startswith(b"MOVE rs=")
    client.resume(int(port))
    world.echoed(client, 2)
    world.ends_well(client, "one", "two")


def test_a_crowd_of_resumes(world: World) -> None:
    """A drain sends everybody away at once: each comes again within a second, and none is lost or begun anew."""
    world.add("s-0", "s-1", "s-2")
    relay = world.relay()
    clients = [world.client(relay) for _ in range(40)]
    for client in clients:
        client.send_line("one")
    for client in clients:
        world.echoed(client, 1)
    home = max(world.servers.values(), key=lambda server: len(server.connections))
    home.behaviour = Behaviour.BUSY
    home.drain()
    world.until(
        lambda: home.connections == set() and sum(each.connection.closed for each in clients if each.connection) >= 1,
        "the moves",
    )
    chance = random.Random(3)
    due = {client: world.loop.now() + chance.uniform(0.091, 0.91) for client in clients}

    def all_on() -> bool:
        for client, moment in due.items():
            over = client.connection is not None and client.connection.closed
            if over and world.loop.now() >= moment:
                due[client] = world.loop.now() + chance.uniform(0.091, 0.91)
                client.resume()
        return all(
            client.connection is not None and client.connection.up and not client.connection.closed
            for client in clients
        )

    world.until(all_on, "everybody up again")
    for client in clients:
        client.send_line("two")
    for client in clients:
        world.echoed(client, 2)
        assert client.server_lines == [b"echo one", b"echo two"]
    assert not [words for client in clients for words in client.unnumbered_lines if words.startswith(b"ERR RS")]


@pytest.mark.parametrize("dead", [False, True])
def test_the_old_server_is_hung_or_dead(world: World, dead: bool) -> None:
    """Nothing can be asked of it: the register knows what it has acknowledged."""
    world.add("s-0", "s-1")
    client = world.client(world.relay())
    client.send_line("one")
    world.echoed(client, 1)
    home = world.home()
    if dead:
        home.stop()
        world.until(lambda: client.connection.closed, "the break")  # type: ignore[union-attr]
    home.behaviour = Behaviour.HUNG
    client.send_line("two")
    client.resume()
    world.echoed(client, 2)
    world.ends_well(client, "one", "two")


def test_keys_are_rotated_and_retired(world: World) -> None:
    """Tokens of the key before are good until it is retired; then their bearer is told why not."""
    world.add("s-0")
    relay = world.relay()
    client, other = world.client(relay), world.client(relay)
    ring = key_file.read(world.keys).rotated(8, 8)
    key_file.write(world.keys, ring)
    relay.hang_up()
    relay.until_told("session keys reloaded")
    client.resume()
    client.send_line("one")
    world.echoed(client, 1)
    key_file.write(world.keys, ring.retired(0))
    relay.hang_up()
    relay.until_told("session keys reloaded", 2)
    assert other.resume().unnumbered_lines == []
    world.until(lambda: other.unnumbered_lines[-1] == b"ERR RS key", "the reason")
    client.resume()
    client.send_line("two")
    world.echoed(client, 2)


def test_the_token_of_another(world: World) -> None:
    """Who saw a token, or a whole resume, on the wire must not get the session."""
    world.add("s-0")
    relay = world.relay()
    client, thief = world.client(relay), world.client(relay)
    client.send_line("one")
    world.echoed(client, 1)
    thief.token = client.token
    connection = thief.resume()
    world.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS holder"]
    seen = (client.token, client.secret, client.last_secret)
    client.resume()
    world.until(lambda: client.up_count == 2, "the resume")
    thief.token, thief.secret, thief.last_secret = seen
    connection = thief.resume()
    world.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS stale"]
    client.send_line("two")
    world.echoed(client, 2)


def test_a_resume_that_must_wait(world: World) -> None:
    """Refused for load, the session stays resumable: the answer carries the token that is good now."""
    world.add("s-0")
    relay = world.relay()
    client = world.client(relay)
    client.send_line("one")
    world.echoed(client, 1)
    home = world.home()
    home.behaviour = Behaviour.BUSY
    home.drain()
    world.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    connection = client.resume()
    world.until(lambda: connection.closed, "the refusal")
    assert (
        connection.unnumbered_lines[0].split(b" ")[0] in (b"BUSY", b"ERR") and b" rs=" in connection.unnumbered_lines[0]
    )
    home.behaviour = Behaviour.NORMAL
    client.send_line("two")

    def again() -> bool:
        if client.connection is not None and client.connection.closed and not client.final_answers:
            client.resume()
        return len(client.server_lines) >= 2

    world.until(again, "a server that is trusted again")
    world.ends_well(client, "one", "two")


def test_no_second_final_answer(world: World) -> None:
    """A session that has its answer is over: whoever resumes it is told so, and gets no other."""
    world.add("s-0", "s-1")
    client = world.client(world.relay())
    token, secret, last = client.token, client.secret, client.last_secret
    world.ends_well(client)
    client.token, client.secret, client.last_secret = token, secret, last
    connection = client.resume()
    world.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS answered"] and client.final_answers == 1


def test_who_does_not_offer_it_sees_todays_bytes(world: World) -> None:
    """Plain clients, and plain servers, must not meet a word of the extension."""
    world.add("s-0")
    relay = world.relay()
    plain = world.client(relay, offers_resume=False)
    assert plain.unnumbered_lines == [b"UP r-1"]
    server = world.servers["s-0"]
    assert b"rs=" not in server.received_lines[0] and b"rc=" not in server.received_lines[0]
    server.behaviour = Behaviour.NO_RESUME
    client = world.client(relay)
    assert client.unnumbered_lines == [b"UP r-1"] and not client.token
    assert client.connection is not None
    client.connection.send(b"a line as ever")
    world.until(lambda: client.unnumbered_lines[-1] == b"echo a line as ever", "the echo")
    server.drain()
    world.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    assert client.unnumbered_lines[-1] == b"MOVE"


@pytest.mark.parametrize("names", ["rs=1", "rs=1,rc=short", "rs=AAAA,op=x,rc=" + "A" * 43 + ",seen=-1"])
def test_a_malformed_offer_is_told(world: World, names: str) -> None:
    """A client that believes to be resumable, and is not, learns it at the worst time."""
    import socket

    world.add("s-0")
    with socket.create_connection(("127.0.0.1", world.port(world.relay())), timeout=10) as sock:
        sock.sendall(f"OPEN 1234 key c=overlay,d=1000,{names}\r\n".encode())
        assert sock.makefile("rb").readline() == b"ERR RS malformed\r\n"


def test_a_corrupt_ledger_is_set_aside_and_told(world: World) -> None:
    """What can't be believed must not be believed in part."""
    world.add("s-0")
    relay = world.relay()
    client = world.client(relay)
    relay.kill()
    text = bytearray(world.ledger.read_bytes())
    text[100:200] = bytes(100)
    world.ledger.write_bytes(bytes(text))
    world.ledger.with_name("ledger-wal").unlink(missing_ok=True)
    again = world.relay()
    again.until_told("ledger is corrupt or can't be opened")
    client.port = world.port(again)
    connection = client.resume()
    world.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS lost"]
