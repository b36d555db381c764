"""Resumable sessions through relay processes, with peers that count all lines; each test states its failure."""

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


class SessionTestbed:
    """Discovery, application servers, relays that share a ledger, and clients."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.loop = folder, Loop()
        self.keys, self.file, self.ledger = folder / "keys", folder / "file.hcl", folder / "ledger"
        key_file.write(self.keys, new_ring())
        self.file.write_text(f'resume {{\n  keys = "{self.keys}"\n  owner = "here"\n  ledger = "{self.ledger}"\n}}\n')
        self.discovery = Discovery(self.loop)
        self.servers: dict[str, LineServer] = {}
        self.relays: list[RelayProcess] = []

    def add_servers(self, *names: str) -> None:
        for name in names:
            self.servers[name] = LineServer(self.loop, name)
            self.discovery.put(name, self.servers[name].address)

    def start_relay(self, name: str = "n0") -> RelayProcess:
        started = RelayProcess(self.loop, self.folder, self.discovery.address, self.file, name)
        self.relays.append(started)
        started.wait_for_log_line("sessions are resumable")
        self.until(lambda: started.metric("relay_registry_entries") >= len(self.servers), "the list of servers")
        return started

    def port(self, relay: RelayProcess) -> int:
        return int(relay.wait_for_log_line("listens on").partition("127.0.0.1:")[2].partition(",")[0])

    def connect_client(self, relay: RelayProcess, **options: Any) -> LineClient:
        client = LineClient(self.loop, self.port(relay), **options)
        self.until(lambda: client.up_count == 1, f"up, not {client.unnumbered_lines}")
        return client

    def until(self, condition: Any, description: str = "") -> None:
        self.loop.run_until(condition, description)

    def connected_server(self) -> LineServer:
        """Return the first server that has a connection."""
        return next(server for server in self.servers.values() if server.connections)

    def wait_for_echoes(self, client: LineClient, count: int) -> None:
        self.until(
            lambda: len(client.server_lines) >= count,
            f"{count} lines, not {len(client.server_lines)}, {client.unnumbered_lines}",
        )

    def check_ending(self, client: LineClient, *sent: str) -> None:
        """Send the last line; check that every sent line was echoed once, in order, with one final answer."""
        client.send_line("done")
        self.until(lambda: client.final_answers, f"the final answer, not {client.unnumbered_lines[-3:]}")
        assert client.server_lines == [f"echo {each}".encode() for each in (*sent, "done")]
        assert client.final_answers == 1 and not client.outbox.lines
        ledger = Ledger(self.ledger, "here")
        assert [each.answered for each in ledger.sessions()] == [True] * len(list(ledger.sessions()))
        ledger.close()

    def close(self) -> None:
        for relay in self.relays:
            if not relay.ended():
                relay.kill()
        self.loop.close()
        tracebacks = [line for relay in self.relays for line in relay.log if "Traceback" in line]
        assert tracebacks == [], "\n".join(tracebacks)


@pytest.fixture
def testbed(tmp_path: Path) -> Iterator[SessionTestbed]:
    created = SessionTestbed(tmp_path)
    yield created
    created.close()


@pytest.mark.parametrize("request_class", ["compare", "overlay"])
def test_a_session_continues_after_its_server_drains(testbed: SessionTestbed, request_class: str) -> None:
    """Without a resume the client would begin a new session and lose its position and annotations."""
    testbed.add_servers("s-0", "s-1")
    client = testbed.connect_client(testbed.start_relay(), request_class=request_class)
    for text in ("one", "two"):
        client.send_line(text)
    testbed.wait_for_echoes(client, 2)
    first_server = testbed.connected_server()
    first_server.behaviour = Behaviour.BUSY
    client.send_line("three")  # in flight when the server leaves
    first_server.drain()
    assert client.connection is not None
    testbed.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    client.send_line("four")
    client.resume()
    testbed.wait_for_echoes(client, 4)
    assert testbed.connected_server() is not first_server
    testbed.check_ending(client, "one", "two", "three", "four")


def test_a_session_continues_if_the_second_server_drains_during_the_resume(testbed: SessionTestbed) -> None:
    """A session that is moved twice in a row would begin anew, or apply again what the first server had applied."""
    testbed.add_servers("s-0", "s-1")
    client = testbed.connect_client(testbed.start_relay())
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    first = testbed.connected_server()
    other = next(server for server in testbed.servers.values() if server is not first)
    first.behaviour, other.behaviour = Behaviour.BUSY, Behaviour.MOVES
    first.drain()
    testbed.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    connection = client.resume()
    testbed.until(lambda: connection.closed, "the second move")
    assert [line.split(b" ")[0] for line in connection.unnumbered_lines] == [b"UP", b"MOVE"]
    other.behaviour = Behaviour.NORMAL
    client.resume()
    client.send_line("two")
    testbed.wait_for_echoes(client, 2)
    testbed.check_ending(client, "one", "two")


def test_a_session_continues_after_its_relay_is_killed(testbed: SessionTestbed) -> None:
    """A fence and acknowledged lines would be lost if they did not outlive the process that reported them."""
    testbed.add_servers("s-0", "s-1")
    relay = testbed.start_relay()
    client = testbed.connect_client(relay)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    relay.kill()
    testbed.until(lambda: client.connection.closed, "the break")  # type: ignore[union-attr]
    client.send_line("two")
    client.resume(testbed.port(testbed.start_relay()))
    testbed.wait_for_echoes(client, 2)
    testbed.check_ending(client, "one", "two")


def test_a_session_continues_at_a_second_relay_after_sigterm(testbed: SessionTestbed) -> None:
    """A relay that ends moves its clients with their tokens, so that another with the same ledger can continue."""
    testbed.add_servers("s-0")
    one, two = testbed.start_relay("n0"), testbed.start_relay("n1")
    client = testbed.connect_client(one)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    one.terminate()
    testbed.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    assert client.unnumbered_lines[-1].startswith(b"MOVE rs=")
    client.resume(testbed.port(two))
    client.send_line("two")
    testbed.wait_for_echoes(client, 2)
    testbed.check_ending(client, "one", "two")


def test_one_of_two_relays_refuses_a_token_that_both_receive(testbed: SessionTestbed) -> None:
    """If both relays continued the session, it would be answered twice: one of them must refuse the token as stale."""
    testbed.add_servers("s-0", "s-1")
    one, two = testbed.start_relay("n0"), testbed.start_relay("n1")
    client = testbed.connect_client(one)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    token, secret, last = client.token, client.secret, client.last_secret
    first = client.resume(testbed.port(one))
    client.token, client.secret, client.last_secret = token, secret, last
    second = client.resume(testbed.port(two))
    testbed.until(lambda: first.unnumbered_lines and second.unnumbered_lines, "both answers")
    words = sorted(connection.unnumbered_lines[0].split(b" ")[0] for connection in (first, second))
    assert words == [b"ERR", b"UP"]
    refused = first if first.unnumbered_lines[0].startswith(b"ERR") else second
    assert refused.unnumbered_lines == [b"ERR RS stale"]


def test_a_resume_fences_the_connection_that_is_still_open(testbed: SessionTestbed) -> None:
    """Lines of the old server that arrive after the resume would be applied, and its connection would stay open."""
    testbed.add_servers("s-0")
    relay = testbed.start_relay()
    client = testbed.connect_client(relay)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    old = client.connection
    assert old is not None
    client.send_line("two")  # to the old connection, whose answer may or may not come before the resume
    client.resume()
    testbed.until(lambda: old.closed, "the old connection's end")
    testbed.wait_for_echoes(client, 2)
    assert relay.metric('relay_sessions_total{what="fenced"}') == 1
    testbed.check_ending(client, "one", "two")


def test_a_session_continues_at_the_process_that_replaces_its_relay(testbed: SessionTestbed) -> None:
    """Two processes of one relay share the ledger: the old one moves its sessions, and the new one continues them."""
    testbed.add_servers("s-0")
    old = testbed.start_relay()
    client = testbed.connect_client(old)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    new = testbed.start_relay()
    port = new.wait_for_log_line("listens on").partition("127.0.0.1:")[2].partition(",")[0]
    client.send_line("two")
    old.terminate()
    testbed.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    assert client.unnumbered_lines[-1].startswith(b"MOVE rs=")
    client.resume(int(port))
    testbed.wait_for_echoes(client, 2)
    testbed.check_ending(client, "one", "two")


def test_all_clients_of_a_drained_server_resume(testbed: SessionTestbed) -> None:
    """A drain moves all clients at once: each resumes within a second, and no session is lost or begun anew."""
    testbed.add_servers("s-0", "s-1", "s-2")
    relay = testbed.start_relay()
    clients = [testbed.connect_client(relay) for _ in range(40)]
    for client in clients:
        client.send_line("one")
    for client in clients:
        testbed.wait_for_echoes(client, 1)
    first_server = max(testbed.servers.values(), key=lambda server: len(server.connections))
    first_server.behaviour = Behaviour.BUSY
    first_server.drain()
    testbed.until(
        lambda: (
            first_server.connections == set()
            and sum(each.connection.closed for each in clients if each.connection) >= 1
        ),
        "the moves",
    )
    rng = random.Random(3)
    resume_at = {client: testbed.loop.now() + rng.uniform(0.091, 0.91) for client in clients}

    def all_up() -> bool:
        for client, moment in resume_at.items():
            closed = client.connection is not None and client.connection.closed
            if closed and testbed.loop.now() >= moment:
                resume_at[client] = testbed.loop.now() + rng.uniform(0.091, 0.91)
                client.resume()
        return all(
            client.connection is not None and client.connection.up and not client.connection.closed
            for client in clients
        )

    testbed.until(all_up, "all clients up again")
    for client in clients:
        client.send_line("two")
    for client in clients:
        testbed.wait_for_echoes(client, 2)
        assert client.server_lines == [b"echo one", b"echo two"]
    assert not [words for client in clients for words in client.unnumbered_lines if words.startswith(b"ERR RS")]


@pytest.mark.parametrize("dead", [False, True])
def test_a_session_continues_if_its_server_hangs_or_dies(testbed: SessionTestbed, dead: bool) -> None:
    """Such a server can't be asked for the session's state: the register must contain all that it has acknowledged."""
    testbed.add_servers("s-0", "s-1")
    client = testbed.connect_client(testbed.start_relay())
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    first_server = testbed.connected_server()
    if dead:
        first_server.stop()
        testbed.until(lambda: client.connection.closed, "the break")  # type: ignore[union-attr]
    first_server.behaviour = Behaviour.HUNG
    client.send_line("two")
    client.resume()
    testbed.wait_for_echoes(client, 2)
    testbed.check_ending(client, "one", "two")


def test_tokens_are_accepted_until_their_key_is_retired(testbed: SessionTestbed) -> None:
    """Tokens under the previous key are valid until it is retired; then they are refused with the reason."""
    testbed.add_servers("s-0")
    relay = testbed.start_relay()
    client, other = testbed.connect_client(relay), testbed.connect_client(relay)
    ring = key_file.read(testbed.keys).rotated(8, 8)
    key_file.write(testbed.keys, ring)
    relay.reload()
    relay.wait_for_log_line("session keys reloaded")
    client.resume()
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    key_file.write(testbed.keys, ring.retired(0))
    relay.reload()
    relay.wait_for_log_line("session keys reloaded", 2)
    assert other.resume().unnumbered_lines == []
    testbed.until(lambda: other.unnumbered_lines[-1] == b"ERR RS key", "the reason")
    client.resume()
    client.send_line("two")
    testbed.wait_for_echoes(client, 2)


def test_an_observed_token_or_resume_does_not_open_the_session(testbed: SessionTestbed) -> None:
    """Whoever observes a token, or a whole resume, on the wire could otherwise take over the session."""
    testbed.add_servers("s-0")
    relay = testbed.start_relay()
    client, thief = testbed.connect_client(relay), testbed.connect_client(relay)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    thief.token = client.token
    connection = thief.resume()
    testbed.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS holder"]
    observed = (client.token, client.secret, client.last_secret)
    client.resume()
    testbed.until(lambda: client.up_count == 2, "the resume")
    thief.token, thief.secret, thief.last_secret = observed
    connection = thief.resume()
    testbed.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS stale"]
    client.send_line("two")
    testbed.wait_for_echoes(client, 2)


def test_a_session_stays_resumable_after_a_refusal_for_load(testbed: SessionTestbed) -> None:
    """The resume has replaced the token, so the refusal must carry the new one, or the session could not be resumed."""
    testbed.add_servers("s-0")
    relay = testbed.start_relay()
    client = testbed.connect_client(relay)
    client.send_line("one")
    testbed.wait_for_echoes(client, 1)
    first_server = testbed.connected_server()
    first_server.behaviour = Behaviour.BUSY
    first_server.drain()
    testbed.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    connection = client.resume()
    testbed.until(lambda: connection.closed, "the refusal")
    assert (
        connection.unnumbered_lines[0].split(b" ")[0] in (b"BUSY", b"ERR") and b" rs=" in connection.unnumbered_lines[0]
    )
    first_server.behaviour = Behaviour.NORMAL
    client.send_line("two")

    def resumes_until_echoed() -> bool:
        if client.connection is not None and client.connection.closed and not client.final_answers:
            client.resume()
        return len(client.server_lines) >= 2

    testbed.until(resumes_until_echoed, "a server that the relay uses again")
    testbed.check_ending(client, "one", "two")


def test_an_answered_session_is_not_answered_again(testbed: SessionTestbed) -> None:
    """A resume of a session that has its final answer is refused as answered, and gets no second answer."""
    testbed.add_servers("s-0", "s-1")
    client = testbed.connect_client(testbed.start_relay())
    token, secret, last = client.token, client.secret, client.last_secret
    testbed.check_ending(client)
    client.token, client.secret, client.last_secret = token, secret, last
    connection = client.resume()
    testbed.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS answered"] and client.final_answers == 1


def test_peers_without_the_extension_see_none_of_its_words(testbed: SessionTestbed) -> None:
    """Clients and servers that do not know the extension would fail on its words."""
    testbed.add_servers("s-0")
    relay = testbed.start_relay()
    plain = testbed.connect_client(relay, offers_resume=False)
    assert plain.unnumbered_lines == [b"UP r-1"]
    server = testbed.servers["s-0"]
    assert b"rs=" not in server.received_lines[0] and b"rc=" not in server.received_lines[0]
    server.behaviour = Behaviour.NO_RESUME
    client = testbed.connect_client(relay)
    assert client.unnumbered_lines == [b"UP r-1"] and not client.token
    assert client.connection is not None
    client.connection.send(b"a line as ever")
    testbed.until(lambda: client.unnumbered_lines[-1] == b"echo a line as ever", "the echo")
    server.drain()
    testbed.until(lambda: client.connection.closed, "the move")  # type: ignore[union-attr]
    assert client.unnumbered_lines[-1] == b"MOVE"


@pytest.mark.parametrize("names", ["rs=1", "rs=1,rc=short", "rs=AAAA,op=x,rc=" + "A" * 43 + ",seen=-1"])
def test_a_malformed_offer_is_refused_with_its_reason(testbed: SessionTestbed, names: str) -> None:
    """Without the refusal, a client would learn that its session is not resumable only when it needs to resume."""
    import socket

    testbed.add_servers("s-0")
    with socket.create_connection(("127.0.0.1", testbed.port(testbed.start_relay())), timeout=10) as sock:
        sock.sendall(f"OPEN 1234 key c=overlay,d=1000,{names}\r\n".encode())
        assert sock.makefile("rb").readline() == b"ERR RS malformed\r\n"


def test_a_corrupt_ledger_is_set_aside_and_logged(testbed: SessionTestbed) -> None:
    """No part of a corrupt ledger may be used: sessions that can still be read may have lost a fence."""
    testbed.add_servers("s-0")
    relay = testbed.start_relay()
    client = testbed.connect_client(relay)
    relay.kill()
    text = bytearray(testbed.ledger.read_bytes())
    text[100:200] = bytes(100)
    testbed.ledger.write_bytes(bytes(text))
    testbed.ledger.with_name("ledger-wal").unlink(missing_ok=True)
    again = testbed.start_relay()
    again.wait_for_log_line("ledger is corrupt or can't be opened")
    client.port = testbed.port(again)
    connection = client.resume()
    testbed.until(lambda: connection.unnumbered_lines, "the refusal")
    assert connection.unnumbered_lines == [b"ERR RS lost"]
