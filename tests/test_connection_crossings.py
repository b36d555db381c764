"""Events that happen at the same time on both sides of a request, forced in simulated time."""

from __future__ import annotations

import copy
import errno
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest
from netfakes import SITE, Bench, Dialled, OneRelay, Wire
from twisted.internet import error
from twisted.python.failure import Failure

from scaledeal import interface as api
from scaledeal.net.admission import RESERVED_DESCRIPTORS, RESERVED_FOR_CLOSING
from scaledeal.net.buffers import MAX_LINE_BYTES
from scaledeal.net.client_listener import ClientFactory, ClientListener
from scaledeal.net.transaction import DEADLINE_SLACK_NS

FINAL_ANSWERS = (b"UP", b"BUSY", b"ERR")
ANSWER_SLACK_S = 0.05  # by which a final answer may be late
STEP_S = 0.01


def site(semantics: str = "repeatable", deadline_s: float = 3.0, **caps: Any) -> dict[str, Any]:
    """Return settings with one class of these semantics; its deadline is in seconds."""
    settings = copy.deepcopy(SITE)
    settings["Classes"][0] |= {
        "Semantics": semantics,
        "KeyScope": "all",
        "Window": 60_000_000_000,
        "Deadline": deadline_s * 1e9,
    }
    settings["Caps"] |= {"MaxAttempts": 6, **caps}
    return settings


def final_answers(client: Wire) -> list[bytes]:
    return [line for line in client.lines() if line.split(b" ")[0] in FINAL_ANSWERS]


# A server that is killed right after its accept


def reset_connection(wire: Wire) -> None:
    wire.lose(error.ConnectionLost())


def end_connection(wire: Wire) -> None:
    wire.peer_ends()
    wire.flush()
    wire.flush()


DEATHS: dict[str, tuple[int, bytes, Callable[[Wire], None], str]] = {
    # bytes of the first line that are written, the server's answer, how it dies, the result that is reported
    "reset, nothing written": (0, b"", reset_connection, "connect_failed"),
    "end, nothing written": (0, b"", end_connection, "connect_failed"),
    "reset, half written": (20, b"", reset_connection, "connect_failed"),
    "end, half written": (20, b"", end_connection, "connect_failed"),
    "refused, nothing written": (0, b"BUSY\r\n", end_connection, "full"),
    "reset, written": (MAX_LINE_BYTES, b"", reset_connection, "reset"),
    "end, written": (MAX_LINE_BYTES, b"", end_connection, "reset"),
    "reset after half an answer": (MAX_LINE_BYTES, b"UP 7", reset_connection, "reset"),
}


@pytest.mark.parametrize("semantics", ["repeatable", "by_key", "once"])
@pytest.mark.parametrize("death", DEATHS)
def test_a_server_that_dies_after_its_accept(tmp_path: Path, death: str, semantics: str) -> None:
    # A first line that was reported as not sent must not arrive, and a request must not be repeated against its class.
    bytes_written, answer, die, result = DEATHS[death]
    one = OneRelay(tmp_path, 2, site(semantics))
    client = one.client(1)
    server = one.attempts()[0].up(one.reactor)
    if bytes_written:
        server.flush(bytes_written)
    server.receive(answer)
    die(server)
    one.reactor.advance(0)
    assert one.results() == [result]
    assert (b"\r\n" in server.sent) is (result == "reset"), f"{server.sent!r} arrived"
    if result == "reset" and semantics == "once":
        assert client.lines() == [b"ERR"] and len(one.attempts()) == 1
        return
    other = one.attempts()[1].up(one.reactor)
    assert one.attempts()[1].address != one.attempts()[0].address
    other.flush()
    other.receive(b"UP 8\r\n")
    assert client.lines() == [b"UP 8"]


@pytest.mark.parametrize("die", [end_connection, reset_connection])
def test_an_answer_reaches_the_client_though_its_server_dies_right_after_it(tmp_path: Path, die: Any) -> None:
    # A reset that is passed on while the answer is still queued for the client would lose the answer.
    one = OneRelay(tmp_path, 1, site("repeatable"))
    client = one.client(1)
    server = one.attempts()[0].up(one.reactor)
    server.flush()
    server.receive(b"UP 7\r\n")
    assert not client.sent, "the answer must still be queued when the server dies"
    die(server)
    one.reactor.advance(0)
    client.flush()
    assert client.sent == b"UP 7\r\n", f"{client.sent!r} reached the client"


# A request in pieces, and in every valid form

OPEN_LINES = [
    b"OPEN %s" % each
    for each in (
        b"9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=browse,d=2000,g=5c0f6e1a2b3d4c59",
        b"1 k d=2000,c=browse",
        b"1 k g=,d=2000,c=browse",
        b"1 k h=812.5,c=browse,d=2000,t=acme,r=1",
        b"1 k c=browse,t=0,d=2000,again=1,h=1e-05,cost=3.5,key=a=b,word=x",
        b"1 k c=browse,d=2000,at=a,h=0",
        b"1 k dd=7,c=browse,d=2000,d2=9",
    )
]


def forwarded_line(bench: Bench) -> bytes:
    """Have the request sent, and return the line that its server receives."""
    for request in bench.module.events_of(api.Request):
        bench.act(api.Send(request.request, "a", 0))
    server = bench.reactor.dialled[0].up(bench.reactor)
    server.flush()
    return server.sent


@pytest.mark.parametrize("line", OPEN_LINES)
def test_a_request_cut_anywhere_is_forwarded_unchanged_except_for_d(line: bytes) -> None:
    whole = b"PING\r\n" + line + b"\r\nM 1\r\nM 2\r\n"
    cuts = [[], *([cut] for cut in range(1, len(whole))), list(range(1, len(whole)))]
    for cut in cuts:
        bench = Bench()
        client = bench.client()
        for begin, end in zip([0, *cut], [*cut, len(whole)], strict=True):
            client.receive(whole[begin:end])
            bench.reactor.advance(0.001)
        assert client.lines() == [b"PONG"] and len(bench.driver.transactions) == 1, f"cut at {cut}"
        head, _, tail = line.partition(b",d=" if b",d=" in line else b" d=")
        got = forwarded_line(bench)
        remaining = got[len(head) + 3 :].split(b",", 1)[0].strip()
        assert 1 <= int(remaining) <= 2000 and got == line.replace(b"d=2000", b"d=" + remaining) + b"\r\n", (
            f"cut at {cut}"
        )
        assert head in got and tail.partition(b",")[2] in got
        requests = bench.module.events_of(api.Request)
        assert [each.returning for each in requests] == [b"again=1" in line] * (b"at=" not in line)


def test_an_answer_cut_anywhere_is_forwarded_completely() -> None:
    lines = b"UP 77aa\r\nLOAD 3\r\nM 1\r\n\r\nBYE\r\n"
    for cut in range(len(lines) + 1):
        bench = Bench()
        client = bench.client()
        client.receive(OPEN_LINES[0] + b"\r\n")
        bench.act(api.Send(bench.module.events_of(api.Request)[0].request, "a", 0))
        server = bench.reactor.dialled[0].up(bench.reactor)
        server.flush()
        server.receive(lines[:cut])
        server.receive(lines[cut:])
        assert client.lines() == lines.split(b"\r\n")[:-1], f"cut at {cut}"


@pytest.mark.parametrize("excess", [0, 1])
def test_a_first_line_of_4_kib_cut_near_its_end(excess: int) -> None:
    whole = (OPEN_LINES[0] + b",x=").ljust(MAX_LINE_BYTES - 2 + excess, b"y") + b"\r\n"
    for cut in range(len(whole) - 4, len(whole) + 1):
        bench = Bench()
        client = bench.client()
        client.receive(whole[:cut])
        client.receive(whole[cut:])
        assert client.lines() == [b"ERR"] * excess and len(bench.driver.transactions) == 1 - excess, f"cut at {cut}"
        assert bench.pool.in_use == 0


# A final answer in time, in every state of a request


def up(one: OneRelay, write: int = MAX_LINE_BYTES) -> list[Wire]:
    """Establish every attempt's connection and write ``write`` bytes of its line; return the open connections."""
    for each in one.attempts():
        if each.wire is None and not each.over:
            each.up(one.reactor)
            if write:
                each.wire.flush(write)
    return [each.wire for each in one.attempts() if each.wire is not None and not each.wire.lost]


def answer_all(one: OneRelay, line: bytes) -> None:
    for wire in up(one):
        wire.receive(line)


def serve(one: OneRelay) -> None:
    """Establish every attempt's connection, and answer UP on the new ones."""
    wires_before = [each.wire for each in one.attempts()]
    up(one)
    for each, wire_before in zip(one.attempts(), wires_before, strict=True):
        if wire_before is None and each.wire is not None:
            each.wire.receive(b"UP 1\r\n")


def probes_up(one: OneRelay) -> None:
    for each in one.probes():
        if each.wire is None and not each.over:
            each.up(one.reactor)


def refuse_all(one: OneRelay) -> None:
    for each in [*one.attempts(), *one.probes()]:
        each.fail()


STATES: dict[str, tuple[int, bytes, Callable[[OneRelay], Any]]] = {
    # number of known servers, further parameters of the first line, what the servers do at every step
    "held, no server": (0, b"", lambda one: None),
    "connecting": (3, b"", lambda one: None),
    "refused": (3, b"", refuse_all),
    "sending, nothing written": (3, b"", lambda one: up(one, 0)),
    "sending, half written": (3, b"", lambda one: up(one, 20)),
    "written": (3, b"", up),
    "answered with incomplete lines": (3, b"", lambda one: answer_all(one, b"x")),
    "only LOAD lines received": (3, b"", lambda one: answer_all(one, b"LOAD 1\r\n")),
    "all servers busy": (3, b"", lambda one: answer_all(one, b"BUSY\r\n")),
    "waiting for reports": (3, b"", probes_up),
    "reports refused": (3, b"", refuse_all),
    "at a server that no list names": (3, b",at=nowhere", lambda one: None),
    "at a silent server": (3, b",at=s1", up),
}


def play(one: OneRelay, act: Callable[[OneRelay], Any], until: float) -> None:
    """Advance the time to ``until`` seconds, or to the relay's exit, and call ``act`` at every step."""
    while one.reactor.seconds() < until - 1e-9 and not one.stopped:
        act(one)
        for each in one.attempts():
            if each.wire is not None and each.wire.closing:
                each.wire.flush()  # nothing is queued, so the system closes it at once
        one.reactor.advance(STEP_S)


@pytest.mark.parametrize("semantics", ["repeatable", "once"])
@pytest.mark.parametrize("wait", [0.15, 1.2, 8.0])
@pytest.mark.parametrize("state", STATES)
def test_every_request_gets_one_final_answer_in_time(tmp_path: Path, state: str, wait: float, semantics: str) -> None:
    # No state may leave a request unanswered, also if SIGTERM arrives before its answer, if its line arrived slowly,
    # and if its class may wait for longer than the relay has left.
    servers, parameters, act = STATES[state]
    settings = site(semantics, 8.0, Probing="report" in state)
    for sigterm_after in (None, 0.0, wait / 2, max(0.0, wait - 2 * STEP_S)):
        for writing_s in (0.0, 2.0):
            one = OneRelay(tmp_path, servers, settings)
            client = one.idle_client()
            client.receive(b"OPEN 1 7f3a c=browse,")
            play(one, act, one.reactor.seconds() + writing_s)
            client.receive(b"d=%d,g=5c0f%s\r\n" % (wait * 1000, parameters))
            began = one.reactor.seconds()
            if sigterm_after is not None:
                play(one, act, began + sigterm_after)
                one.relay.drain()
            play(one, act, began + wait + ANSWER_SLACK_S)
            case = f"SIGTERM {sigterm_after} s after the request, written in {writing_s} s: {client.lines()}"
            assert len(final_answers(client)) == 1 and client.fin_due, case
            play(one, act, began + wait + 4)
            assert len(client.lines()) == 1 and (sigterm_after is None or one.stopped), case
            assert (
                not one.relay.driver.transactions
                and one.relay.client_factory.client_context.attempt_context.pool.in_use == 0
            ), case
            assert all(each.over for each in one.attempts()) and not [w for w in up(one, 0) if not w.closing], case


def test_requests_received_before_any_list_are_sent_after_the_first_one(tmp_path: Path) -> None:
    # A relay that started without a list must hold requests instead of refusing them for seconds.
    one = OneRelay(tmp_path, 0)
    clients = [one.client(number) for number in range(1, 21)]
    one.run(2)
    assert not [each for each in clients if each.lines()], "answered before their deadline, without a server"
    first_list = api.Membership(api.MembershipKind.FULL, tuple(api.ServerEntry(f"s{n}") for n in range(3)))
    one.relay._membership_received(first_list, {f"s{n}": f"127.0.0.1:{n + 1}" for n in range(3)})
    play(one, serve, one.reactor.seconds() + 0.5)
    assert [each.lines() for each in clients] == [[b"UP 1"]] * 20


@pytest.mark.parametrize("fails", ["Request", "Outcome", "Timer"])
def test_a_module_that_fails_leaves_no_request_unanswered(tmp_path: Path, fails: str) -> None:
    one = OneRelay(tmp_path, 2)
    handle = one.relay.driver.balancer.handle

    def failing_handle(now: int, event: api.Event) -> list[api.Action]:
        if type(event).__name__ == fails:
            raise RuntimeError("index out of range")
        return handle(now, event)

    one.relay.driver.balancer.handle = failing_handle  # type: ignore[method-assign]
    client = one.client(1, 900)
    play(one, refuse_all, one.reactor.seconds() + 0.9 + DEADLINE_SLACK_NS / 1e9 + STEP_S)
    assert len(final_answers(client)) == 1 and not one.relay.driver.transactions


# Connections that the relay closes before an answer


def test_a_request_is_answered_though_a_too_long_line_follows_it() -> None:
    # A reset because of the line would lose the request's answer.
    bench = Bench()
    client = bench.client()
    client.receive(OPEN_LINES[0] + b"\r\n")
    bench.act(api.Send(bench.module.events_of(api.Request)[0].request, "a", 0))
    client.receive(b"x" * MAX_LINE_BYTES)
    assert client.lines() == [b"ERR"] and client.fin_due and not client.aborted
    assert bench.reactor.dialled[0].over and not bench.driver.transactions
    assert bench.admission.turned_away == {"line too long": 1}


def test_a_received_request_is_read_before_its_client_is_evicted() -> None:
    # A client whose request is still unread in the socket looks silent; closing it would lose the request.
    bench = Bench()
    bench.admission.limit = RESERVED_DESCRIPTORS + 8
    requesting, writing, silent, *others = clients = [bench.client() for _ in range(8)]
    for number, each in enumerate((requesting, *others)):
        each.unread = b"OPEN %x k c=browse,d=2000\r\n" % number
    writing.unread = b"OPEN ff k c=bro"
    for _ in range(9):
        bench.connect()
        bench.reactor.advance(0)
    assert silent.lost and silent.sent == b""
    accepted = [each for each in clients if each.link.has_request and not each.lines()]
    assert requesting in accepted and len(bench.module.events_of(api.Request)) == len(accepted) == 4, (
        "the limit is four"
    )
    for each in others:
        assert each in accepted or each.lines() == [b"BUSY"], "closed unread"
    assert 2 * len(accepted) <= 8


def test_simultaneous_requests_of_idle_clients_are_answered_within_the_descriptor_limit() -> None:
    # Each request needs a second descriptor: the limit must hold, and no connect may fail for lack of one.
    bench = Bench()
    bench.admission.limit = RESERVED_DESCRIPTORS + 40
    clients = [bench.client() for _ in range(40)]
    for number, each in enumerate(clients):
        each.receive(b"OPEN %x k c=browse,d=2000\r\n" % number)
        for request in bench.module.events_of(api.Request)[len(bench.reactor.dialled) :]:
            bench.act(api.Send(request.request, "a", 0))
    held = sum(not each.lost for each in clients) + len(bench.reactor.dialled)
    assert held <= 40 + RESERVED_FOR_CLOSING and len(bench.reactor.dialled) >= 20 - RESERVED_FOR_CLOSING
    answers = [each.lines() for each in clients if not each.aborted]
    assert answers.count([b"BUSY"]) + len(bench.reactor.dialled) == len(answers)


@pytest.mark.parametrize("served", [False, True])
@pytest.mark.parametrize("deadline_s", [0.2, 0.9, 3.0, 60.0])
def test_every_client_gets_an_answer_during_a_shutdown(tmp_path: Path, deadline_s: float, served: bool) -> None:
    # Clients connect for another 0.4 s after SIGTERM, idle clients send requests during the shutdown, and other
    # requests are held or sent at that time: none may be closed unanswered, and the relay must exit before SIGKILL.
    one = OneRelay(tmp_path, 2, site(deadline_s=deadline_s))
    act = serve if served else up
    play(one, act, one.reactor.seconds() + 1)
    clients, request_number = [one.client(1, int(deadline_s * 1000))], 1
    idle = [one.idle_client() for _ in range(23)]
    one.relay.drain()
    drained_at = one.reactor.seconds()
    while not one.stopped:
        assert one.reactor.seconds() < drained_at + min(deadline_s, 3.0) + 0.7, "still running at SIGKILL"
        if not one.port.closed:  # the system accepts it, and its line arrives later
            idle.append(one.idle_client())
        if len(idle) > 4:
            request_number += 1
            clients.append(idle.pop(0))
            clients[-1].receive(b"OPEN %x k c=browse,d=%d\r\n" % (request_number, deadline_s * 1000))
        play(one, act, one.reactor.seconds() + STEP_S)
    assert one.port.closed[0] >= drained_at + 0.4 and len(one.port.closed) == 1
    assert one.relay.driver.gauges()["open_requests"] == 0
    unanswered = [each.lines() for each in clients if len(final_answers(each)) != 1]
    assert not unanswered, f"{len(unanswered)} of {len(clients)} were closed without an answer"
    assert all(each.lines()[-1] == b"MOVE" for each in clients if each.lines()[0] == b"UP 1")
    without_err = [each.lines() for each in idle if each.lines() != [b"ERR"]]
    assert len(idle) > 3 and not without_err, "a request in transit would get no answer"


@pytest.mark.parametrize("deadline_s", [0.2, 0.9, 60.0])
def test_a_relay_without_clients_still_accepts_them_after_sigterm(tmp_path: Path, deadline_s: float) -> None:
    # Clients still connect for 0.2 to 0.4 s after SIGTERM; a closed port would refuse them.
    one = OneRelay(tmp_path, 2, site(deadline_s=deadline_s))
    one.run(1)
    one.relay.drain()
    one.run(0.4)
    late = one.client(1, 200)
    assert not one.port.closed
    play(one, serve, 1001.4 + min(deadline_s, 3.0) + 0.3)
    assert late.lines() == [b"UP 1", b"MOVE"] and one.stopped


def test_connections_in_the_accept_queue_are_answered_before_the_port_closes() -> None:
    # Closing the port resets the connections in its queue, and their requests would be lost unread.
    import socket

    from scaledeal.net.monotonic_reactor import MonotonicReactor

    reactor: Any = cast(Any, MonotonicReactor)()
    bench = Bench()
    bench.driver.stopping = True
    listener: Any = ClientListener(0, ClientFactory(bench.client_context), 64, "127.0.0.1", reactor)
    listener.startListening()
    address = ("127.0.0.1", listener.getHost().port)
    listener.stopListening()
    clients = [
        socket.create_connection(address) for _ in range(2 * RESERVED_FOR_CLOSING + 3)
    ]  # it closes in the reactor's next round
    for number, each in enumerate(clients):
        each.sendall(b"OPEN %x k c=browse,d=2000\r\n" % number)
    for _ in range(200):
        reactor.iterate(0.001)
        bench.reactor.advance(0)
    for each in clients:
        each.settimeout(5)
        assert each.recv(64) == b"BUSY\r\n"
        each.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    reactor.iterate(0.001)


# SIGHUP, and a shortage of descriptors


def play_script(folder: Path, reload_at: int) -> tuple[list[list[bytes]], list[str]]:
    """Play clients in every stage, with a reload at step ``reload_at`` that names a new discovery; -1 for no reload.

    Return the lines that each client received and the bytes that each server received.
    """
    one = OneRelay(folder, 1, site())
    one.run(5)  # until it serves
    one.path.write_text(json.dumps(one.written | {"discovery": "127.0.0.9:10"}))
    idle, half_sent, held = one.idle_client(), one.idle_client(), one.client(1, 400, b",at=nowhere")
    half_sent.receive(b"OPEN 2 7f3a c=browse,d=20")
    clients = [idle, half_sent, held]
    for step in range(300):
        if step == reload_at:
            one.relay.reload()
            assert one.relay.stopped or ":10/" in one.relay.discovery.url and one.relay.discovery.call, (
                "the new discovery was not called"
            )
        if step in (4, 8, 12, 16):  # connecting, sending, waiting, established at the time of the next
            clients.append(one.client(step, 3000))
        for number, each in enumerate(one.attempts()):
            if each.wire is None and not each.over and step >= 6 + 4 * number:
                each.up(one.reactor)
            elif each.wire is not None and not each.wire.lost and step >= 10 + 4 * number:
                each.wire.flush()
                if step == 14 + 4 * number:
                    each.wire.receive(b"UP 1\r\n")
                elif step == 60 + number and number < 2:
                    each.wire.receive(b"BYE\r\n")
        if step == 30:
            half_sent.receive(b"00\r\n")
            idle.receive(b"PING\r\n")
        if step == 100:
            one.relay.drain()
        one.reactor.advance(0.02)
    assert one.stopped
    return [each.lines() for each in clients], [each.wire.sent.decode() for each in one.attempts() if each.wire]


def test_sighup_at_any_moment_changes_nothing_for_a_client(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PROXY_CONFIG", str(tmp_path / "c.json"))
    without_reload = play_script(tmp_path, -1)
    words = sorted({line.split(b" ")[0] for lines in without_reload[0] for line in lines})
    assert words == [b"BYE", b"ERR", b"MOVE", b"PONG", b"UP"], "the script does not cover all answers"
    for step in range(0, 260, 4):
        assert play_script(tmp_path, step) == without_reload, f"SIGHUP at step {step}"


def raising_connect(one: OneRelay) -> Callable[..., Dialled]:
    def connect(*_: Any, **__: Any) -> Dialled:
        raise OSError(errno.EMFILE, "Too many open files")

    return connect


def failing_connect(one: OneRelay) -> Callable[..., Dialled]:
    dial = one.reactor.__class__.connectTCP

    def connect(*args: Any, **named: Any) -> Dialled:
        dialled: Dialled = dial(one.reactor, *args, **named)
        dialled.due.cancel()
        dialled.over = True
        failure = Failure(error.ConnectBindError(errno.EMFILE, "Too many open files"))
        one.reactor.callLater(0, dialled.factory.clientConnectionFailed, dialled, failure)
        return dialled

    return connect


@pytest.mark.parametrize("broken_connect", [raising_connect, failing_connect])
@pytest.mark.parametrize("semantics", ["repeatable", "once"])
def test_a_connect_without_a_free_descriptor_counts_against_no_server(
    tmp_path: Path, broken_connect: Callable[..., Any], semantics: str
) -> None:
    # A short lack of descriptors in this process must not make one server after another suspect, shrink the window for
    # good, or hold requests until their deadline.
    one = OneRelay(tmp_path, 3, site(semantics, Probing=True))
    dial, one.reactor.connectTCP = one.reactor.connectTCP, broken_connect(one)
    clients = [one.client(number) for number in range(1, 21)]
    one.run(0.3)
    assert [each.lines() for each in clients] == [[b"BUSY"]] * 20 and set(one.results()) == {"not_sent"}
    assert one.relay.driver.gauges() == {"open_requests": 0, "registry_entries": 3, "out_of_rotation": 0}
    assert one.relay.driver.balancer.pending == 0
    one.reactor.connectTCP = dial
    one.run(6)
    after = [one.client(number) for number in range(31, 34)]
    one.run(0.2)
    answer_all(one, b"UP 1\r\n")
    assert [each.lines() for each in after] == [[b"UP 1"]] * 3


@pytest.mark.parametrize("listed", [False, True])
@pytest.mark.parametrize("address", ["10.1.0.18", "10.1.0.18:", "10.1.0.18:port", ":", "10.1.0.18:66000"])
def test_an_invalid_address_delays_no_request_and_does_not_stop_the_relay(
    tmp_path: Path, address: str, listed: bool, caplog: pytest.LogCaptureFixture
) -> None:
    # An attempt whose end is not reported would keep the module waiting for ever, and it would send nothing more.
    one = OneRelay(tmp_path, 2, site())
    change = api.Membership(api.MembershipKind.CHANGES, (api.ServerEntry("s9"),))
    if listed:
        one.relay.driver.listed(change, {"s0": address, "s9": address})
        warning = "server list partly ignored: address of {}: host:port was expected, not {!r}"
        assert [each.getMessage() for each in caplog.records] == [warning.format(s, address) for s in ("s0", "s9")]
        assert one.relay.driver.addresses["s0"] == "127.0.0.1:1", "the last valid one was replaced"
    elif not address.endswith("66000"):  # only the system rejects this port number
        one.relay.driver.addresses["s0"] = address
    for number in range(1, 31):
        client = one.client(number)
        one.run(0.1)
        serve(one)
        assert client.lines() == [b"UP 1"], f"request {number}"
    assert one.relay.driver.balancer.pending == 0 and len(caplog.records) <= 2 + 3, "a log line for each request"
