"""Two things in one moment, on either side of a request: each crossing forced, on simulated time."""

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
from scaledeal.net.admission import CLOSING, OWN
from scaledeal.net.buffers import LINE
from scaledeal.net.client_listener import ClientFactory, ClientListener
from scaledeal.net.transaction import SLACK

FINAL = (b"UP", b"BUSY", b"ERR")
LATE = 0.05  # seconds beyond its time that a final answer may take
STEP = 0.01


def site(effect: str = "repeatable", longest: float = 3.0, **caps: Any) -> dict[str, Any]:
    """Return settings of one class of this effect, with a longest deadline in seconds."""
    made = copy.deepcopy(SITE)
    made["Classes"][0] |= {"Semantics": effect, "KeyScope": "all", "Window": 60_000_000_000, "Deadline": longest * 1e9}
    made["Caps"] |= {"MaxAttempts": 6, **caps}
    return made


def finals(client: Wire) -> list[bytes]:
    return [line for line in client.lines() if line.split(b" ")[0] in FINAL]


# A server that is killed just behind its accept


def resets(wire: Wire) -> None:
    wire.lose(error.ConnectionLost())


def ends(wire: Wire) -> None:
    wire.peer_ends()
    wire.flush()
    wire.flush()


DEATHS: dict[str, tuple[int, bytes, Callable[[Wire], None], str]] = {
    # bytes of the first line that are out, what the server says, how it goes, what that is told as
    "reset, nothing written": (0, b"", resets, "connect_failed"),
    "end, nothing written": (0, b"", ends, "connect_failed"),
    "reset, half written": (20, b"", resets, "connect_failed"),
    "end, half written": (20, b"", ends, "connect_failed"),
    "turned away, nothing written": (0, b"BUSY\r\n", ends, "full"),
    "reset, written": (LINE, b"", resets, "reset"),
    "end, written": (LINE, b"", ends, "reset"),
    "reset behind half an answer": (LINE, b"UP 7", resets, "reset"),
}


@pytest.mark.parametrize("effect", ["repeatable", "by_key", "once"])
@pytest.mark.parametrize("death", DEATHS)
def test_a_server_that_dies_behind_its_accept(tmp_path: Path, death: str, effect: str) -> None:
    # Guards against a line that was told as never sent and arrives, and against a repeat that the class forbids.
    bytes_out, says, goes, told = DEATHS[death]
    one = OneRelay(tmp_path, 2, site(effect))
    client = one.client(1)
    server = one.attempts()[0].up(one.reactor)
    if bytes_out:
        server.flush(bytes_out)
    server.receive(says)
    goes(server)
    one.reactor.advance(0)
    assert one.results() == [told]
    assert (b"\r\n" in server.sent) is (told == "reset"), f"{server.sent!r} arrived"
    if told == "reset" and effect == "once":
        assert client.lines() == [b"ERR"] and len(one.attempts()) == 1
        return
    other = one.attempts()[1].up(one.reactor)
    assert one.attempts()[1].address != one.attempts()[0].address
    other.flush()
    other.receive(b"UP 8\r\n")
    assert client.lines() == [b"UP 8"]


@pytest.mark.parametrize("goes", [ends, resets])
def test_a_server_that_dies_right_behind_its_answer_takes_no_answer_along(tmp_path: Path, goes: Any) -> None:
    # Guards against a request that is lost: the answer was queued for the client as the reset was passed on.
    one = OneRelay(tmp_path, 1, site("repeatable"))
    client = one.client(1)
    server = one.attempts()[0].up(one.reactor)
    server.flush()
    server.receive(b"UP 7\r\n")
    assert not client.sent, "written already: nothing crosses"
    goes(server)
    one.reactor.advance(0)
    client.flush()
    assert client.sent == b"UP 7\r\n", f"{client.sent!r} reached the client"


# A request in pieces, and in every form

OPENS = [
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


def sent_on(bench: Bench) -> bytes:
    """Have the request sent, and return the line that its server gets."""
    for asked in bench.module.of(api.Request):
        bench.act(api.Send(asked.request, "a", 0))
    server = bench.reactor.dialled[0].up(bench.reactor)
    server.flush()
    return server.sent


@pytest.mark.parametrize("line", OPENS)
def test_a_request_cut_anywhere_is_passed_on_unchanged_but_for_d(line: bytes) -> None:
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
        got = sent_on(bench)
        told = got[len(head) + 3 :].split(b",", 1)[0].strip()
        assert 1 <= int(told) <= 2000 and got == line.replace(b"d=2000", b"d=" + told) + b"\r\n", f"cut at {cut}"
        assert head in got and tail.partition(b",")[2] in got
        asked = bench.module.of(api.Request)
        assert [each.returning for each in asked] == [b"again=1" in line] * (b"at=" not in line)


def test_an_answer_cut_anywhere_is_passed_on_whole() -> None:
    said = b"UP 77aa\r\nLOAD 3\r\nM 1\r\n\r\nBYE\r\n"
    for cut in range(len(said) + 1):
        bench = Bench()
        client = bench.client()
        client.receive(OPENS[0] + b"\r\n")
        bench.act(api.Send(bench.module.of(api.Request)[0].request, "a", 0))
        server = bench.reactor.dialled[0].up(bench.reactor)
        server.flush()
        server.receive(said[:cut])
        server.receive(said[cut:])
        assert client.lines() == said.split(b"\r\n")[:-1], f"cut at {cut}"


@pytest.mark.parametrize("over", [0, 1])
def test_a_first_line_of_4_kib_cut_near_its_end(over: int) -> None:
    whole = (OPENS[0] + b",x=").ljust(LINE - 2 + over, b"y") + b"\r\n"
    for cut in range(len(whole) - 4, len(whole) + 1):
        bench = Bench()
        client = bench.client()
        client.receive(whole[:cut])
        client.receive(whole[cut:])
        assert client.lines() == [b"ERR"] * over and len(bench.driver.transactions) == 1 - over, f"cut at {cut}"
        assert bench.pool.out == 0


# A final answer in time, in every state of a request


def up(one: OneRelay, write: int = LINE) -> list[Wire]:
    """Bring every attempt up, with so many bytes of its line written once; return those that are up."""
    for each in one.attempts():
        if each.wire is None and not each.over:
            each.up(one.reactor)
            if write:
                each.wire.flush(write)
    return [each.wire for each in one.attempts() if each.wire is not None and not each.wire.lost]


def say(one: OneRelay, line: bytes) -> None:
    for wire in up(one):
        wire.receive(line)


def serve(one: OneRelay) -> None:
    before = [each.wire for each in one.attempts()]
    up(one)
    for each, was in zip(one.attempts(), before, strict=True):
        if was is None and each.wire is not None:
            each.wire.receive(b"UP 1\r\n")


def probes_up(one: OneRelay) -> None:
    for each in one.probes():
        if each.wire is None and not each.over:
            each.up(one.reactor)


def refuse_all(one: OneRelay) -> None:
    for each in [*one.attempts(), *one.probes()]:
        each.fail()


STATES: dict[str, tuple[int, bytes, Callable[[OneRelay], Any]]] = {
    # servers known, what the first line says besides, what the servers do at every step
    "held, no server": (0, b"", lambda one: None),
    "connecting": (3, b"", lambda one: None),
    "refused": (3, b"", refuse_all),
    "sending, nothing out": (3, b"", lambda one: up(one, 0)),
    "sending, half out": (3, b"", lambda one: up(one, 20)),
    "written": (3, b"", up),
    "answered without an end": (3, b"", lambda one: say(one, b"x")),
    "told of loads alone": (3, b"", lambda one: say(one, b"LOAD 1\r\n")),
    "turned away": (3, b"", lambda one: say(one, b"BUSY\r\n")),
    "waiting for reports": (3, b"", probes_up),
    "reports refused": (3, b"", refuse_all),
    "at a server that no list names": (3, b",at=nowhere", lambda one: None),
    "at a silent server": (3, b",at=s1", up),
}


def play(one: OneRelay, act: Callable[[OneRelay], Any], until: float) -> None:
    while one.reactor.seconds() < until - 1e-9 and not one.stopped:
        act(one)
        for each in one.attempts():
            if each.wire is not None and each.wire.closing:
                each.wire.flush()  # nothing is queued there: the system closes it at once
        one.reactor.advance(STEP)


@pytest.mark.parametrize("effect", ["repeatable", "once"])
@pytest.mark.parametrize("wait", [0.15, 1.2, 8.0])
@pytest.mark.parametrize("state", STATES)
def test_every_request_has_one_final_answer_in_time(tmp_path: Path, state: str, wait: float, effect: str) -> None:
    # Guards against a request left unanswered in any state, also where the relay is told to end in the middle of it,
    # where its line came slowly, and where its class may wait for longer than the relay has.
    servers, more, act = STATES[state]
    settings = site(effect, 8.0, Probing="report" in state)
    for term in (None, 0.0, wait / 2, max(0.0, wait - 2 * STEP)):
        for slow in (0.0, 2.0):
            one = OneRelay(tmp_path, servers, settings)
            client = one.resting()
            client.receive(b"OPEN 1 7f3a c=browse,")
            play(one, act, one.reactor.seconds() + slow)
            client.receive(b"d=%d,g=5c0f%s\r\n" % (wait * 1000, more))
            began = one.reactor.seconds()
            if term is not None:
                play(one, act, began + term)
                one.relay.drain()
            play(one, act, began + wait + LATE)
            where = f"SIGTERM {term} s after the request, written in {slow} s: {client.lines()}"
            assert len(finals(client)) == 1 and client.fin_due, where
            play(one, act, began + wait + 4)
            assert len(client.lines()) == 1 and (term is None or one.stopped), where
            assert not one.relay.driver.transactions and one.relay.client_factory.reception.context.pool.out == 0, where
            assert all(each.over for each in one.attempts()) and not [w for w in up(one, 0) if not w.closing], where


def test_requests_that_came_before_any_list_are_sent_with_the_first_one(tmp_path: Path) -> None:
    # Guards against a relay that turns away all it gets for seconds after a start without a list.
    one = OneRelay(tmp_path, 0)
    clients = [one.client(number) for number in range(1, 21)]
    one.run(2)
    assert not [each for each in clients if each.lines()], "turned away with time left"
    new = api.Membership(api.MembershipKind.FULL, tuple(api.ServerEntry(f"s{n}") for n in range(3)))
    one.relay._membership_received(new, {f"s{n}": f"127.0.0.1:{n + 1}" for n in range(3)})
    play(one, serve, one.reactor.seconds() + 0.5)
    assert [each.lines() for each in clients] == [[b"UP 1"]] * 20


@pytest.mark.parametrize("fails", ["Request", "Outcome", "Timer"])
def test_a_module_that_fails_leaves_no_request_unanswered(tmp_path: Path, fails: str) -> None:
    one = OneRelay(tmp_path, 2)
    handle = one.relay.driver.balancer.handle

    def broken(now: int, event: api.Event) -> list[api.Action]:
        if type(event).__name__ == fails:
            raise RuntimeError("index out of range")
        return handle(now, event)

    one.relay.driver.balancer.handle = broken  # type: ignore[method-assign]
    client = one.client(1, 900)
    play(one, refuse_all, one.reactor.seconds() + 0.9 + SLACK / 1e9 + STEP)
    assert len(finals(client)) == 1 and not one.relay.driver.transactions


# Connections that the relay closes before an answer


def test_a_line_too_long_behind_a_request_leaves_it_its_answer() -> None:
    # Guards against a request that is reset away because of what came behind it.
    bench = Bench()
    client = bench.client()
    client.receive(OPENS[0] + b"\r\n")
    bench.act(api.Send(bench.module.of(api.Request)[0].request, "a", 0))
    client.receive(b"x" * LINE)
    assert client.lines() == [b"ERR"] and client.fin_due and not client.aborted
    assert bench.reactor.dialled[0].over and not bench.driver.transactions
    assert bench.admission.turned_away == {"line too long": 1}


def test_a_request_that_has_come_is_read_before_its_client_has_to_give_way() -> None:
    # Guards against a request in the socket that is shut unread, as its client looked silent.
    bench = Bench()
    bench.admission.most = OWN + 8
    asks, writes, silent, *others = clients = [bench.client() for _ in range(8)]
    for number, each in enumerate((asks, *others)):
        each.unread = b"OPEN %x k c=browse,d=2000\r\n" % number
    writes.unread = b"OPEN ff k c=bro"
    for _ in range(9):
        bench.knock()
        bench.reactor.advance(0)
    assert silent.lost and silent.sent == b""
    asked = [each for each in clients if each.link.asked and not each.lines()]
    assert asks in asked and len(bench.module.of(api.Request)) == len(asked) == 4, "all that there is room for"
    for each in others:
        assert each in asked or each.lines() == [b"BUSY"], "shut unread"
    assert 2 * len(asked) <= 8


def test_clients_that_ask_all_at_once_are_answered_and_pass_no_limit() -> None:
    # Guards against descriptors that are passed, or run out on a dial, when those who rested all ask in one moment.
    bench = Bench()
    bench.admission.most = OWN + 40
    clients = [bench.client() for _ in range(40)]
    for number, each in enumerate(clients):
        each.receive(b"OPEN %x k c=browse,d=2000\r\n" % number)
        for asked in bench.module.of(api.Request)[len(bench.reactor.dialled) :]:
            bench.act(api.Send(asked.request, "a", 0))
    held = sum(not each.lost for each in clients) + len(bench.reactor.dialled)
    assert held <= 40 + CLOSING and len(bench.reactor.dialled) >= 20 - CLOSING
    answers = [each.lines() for each in clients if not each.aborted]
    assert answers.count([b"BUSY"]) + len(bench.reactor.dialled) == len(answers)


@pytest.mark.parametrize("served", [False, True])
@pytest.mark.parametrize("longest", [0.2, 0.9, 3.0, 60.0])
def test_whoever_comes_or_asks_while_a_relay_ends_has_an_answer(tmp_path: Path, longest: float, served: bool) -> None:
    # Guards against clients that come for 0.4 s after SIGTERM, requests of resting clients that cross the end, and
    # requests held or sent at that moment: none may be closed without a word, and nobody stays to the kill.
    one = OneRelay(tmp_path, 2, site(longest=longest))
    act = serve if served else up
    play(one, act, one.reactor.seconds() + 1)
    clients, came = [one.client(1, int(longest * 1000))], 1
    resting = [one.resting() for _ in range(23)]
    one.relay.drain()
    told = one.reactor.seconds()
    while not one.stopped:
        assert one.reactor.seconds() < told + min(longest, 3.0) + 0.7, "still there at the kill"
        if not one.port.closed:  # the system takes it, and its line comes a moment later
            resting.append(one.resting())
        if len(resting) > 4:
            came += 1
            clients.append(resting.pop(0))
            clients[-1].receive(b"OPEN %x k c=browse,d=%d\r\n" % (came, longest * 1000))
        play(one, act, one.reactor.seconds() + STEP)
    assert one.port.closed[0] >= told + 0.4 and len(one.port.closed) == 1
    assert one.relay.driver.levels()["open_requests"] == 0
    unanswered = [each.lines() for each in clients if len(finals(each)) != 1]
    assert not unanswered, f"{len(unanswered)} of {len(clients)} were closed without an answer"
    assert all(each.lines()[-1] == b"MOVE" for each in clients if each.lines()[0] == b"UP 1")
    silent = [each.lines() for each in resting if each.lines() != [b"ERR"]]
    assert len(resting) > 3 and not silent, "a request on its way there would have no answer"


@pytest.mark.parametrize("longest", [0.2, 0.9, 60.0])
def test_a_relay_that_has_nobody_still_takes_who_comes_after_its_end_was_told(tmp_path: Path, longest: float) -> None:
    # Guards against clients that come for 0.2 to 0.4 s after SIGTERM and meet a closed door.
    one = OneRelay(tmp_path, 2, site(longest=longest))
    one.run(1)
    one.relay.drain()
    one.run(0.4)
    late = one.client(1, 200)
    assert not one.port.closed
    play(one, serve, 1001.4 + min(longest, 3.0) + 0.3)
    assert late.lines() == [b"UP 1", b"MOVE"] and one.stopped


def test_connections_that_the_system_took_are_answered_as_the_queue_closes() -> None:
    # Guards against requests reset unread with the queue: they were taken, and nobody had accepted them yet.
    import socket

    from scaledeal.net.monotonic_reactor import MonotonicReactor

    reactor: Any = cast(Any, MonotonicReactor)()
    bench = Bench()
    bench.driver.leaving = True
    listener: Any = ClientListener(0, ClientFactory(bench.reception), 64, "127.0.0.1", reactor)
    listener.startListening()
    at = ("127.0.0.1", listener.getHost().port)
    listener.stopListening()
    clients = [socket.create_connection(at) for _ in range(2 * CLOSING + 3)]  # it closes in the reactor's next round
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
        socket.create_connection(at)
    reactor.iterate(0.001)


# SIGHUP, and descriptors that run out


def script(folder: Path, reload_at: int) -> tuple[list[list[bytes]], list[str]]:
    """Play clients in every stage, with a new discovery named at one step; return what they and the servers heard."""
    one = OneRelay(folder, 1, site())
    one.run(5)  # it serves
    one.path.write_text(json.dumps(one.written | {"discovery": "127.0.0.9:10"}))
    resting, half, held = one.resting(), one.resting(), one.client(1, 400, b",at=nowhere")
    half.receive(b"OPEN 2 7f3a c=browse,d=20")
    clients = [resting, half, held]
    for step in range(300):
        if step == reload_at:
            one.relay.reload()
            assert one.relay.stopped or ":10/" in one.relay.discovery.base and one.relay.discovery.asked, "not asked"
        if step in (4, 8, 12, 16):  # connecting, sending, waiting, standing by the time of the next
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
            half.receive(b"00\r\n")
            resting.receive(b"PING\r\n")
        if step == 100:
            one.relay.drain()
        one.reactor.advance(0.02)
    assert one.stopped
    return [each.lines() for each in clients], [each.wire.sent.decode() for each in one.attempts() if each.wire]


def test_sighup_at_any_moment_changes_nothing_for_a_client(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PROXY_CONFIG", str(tmp_path / "c.json"))
    without = script(tmp_path, -1)
    words = sorted({line.split(b" ")[0] for lines in without[0] for line in lines})
    assert words == [b"BYE", b"ERR", b"MOVE", b"PONG", b"UP"], "the script plays too little"
    for step in range(0, 260, 4):
        assert script(tmp_path, step) == without, f"SIGHUP at step {step}"


def raises(one: OneRelay) -> Callable[..., Dialled]:
    def connect(*_: Any, **__: Any) -> Dialled:
        raise OSError(errno.EMFILE, "Too many open files")

    return connect


def tells(one: OneRelay) -> Callable[..., Dialled]:
    dial = one.reactor.__class__.connectTCP

    def connect(*args: Any, **named: Any) -> Dialled:
        made: Dialled = dial(one.reactor, *args, **named)
        made.due.cancel()
        made.over = True
        failure = Failure(error.ConnectBindError(errno.EMFILE, "Too many open files"))
        one.reactor.callLater(0, made.factory.clientConnectionFailed, made, failure)
        return made

    return connect


@pytest.mark.parametrize("how", [raises, tells])
@pytest.mark.parametrize("effect", ["repeatable", "once"])
def test_a_dial_without_a_descriptor_is_no_fault_of_a_server(
    tmp_path: Path, how: Callable[..., Any], effect: str
) -> None:
    # Guards against servers suspected one by one, a window that shrinks for good and requests held to their deadline,
    # because this process has no descriptor left for a moment.
    one = OneRelay(tmp_path, 3, site(effect, Probing=True))
    dial, one.reactor.connectTCP = one.reactor.connectTCP, how(one)
    clients = [one.client(number) for number in range(1, 21)]
    one.run(0.3)
    assert [each.lines() for each in clients] == [[b"BUSY"]] * 20 and set(one.results()) == {"not_sent"}
    assert one.relay.driver.levels() == {"open_requests": 0, "registry_entries": 3, "out_of_rotation": 0}
    assert one.relay.driver.balancer.pending == 0
    one.reactor.connectTCP = dial
    one.run(6)
    after = [one.client(number) for number in range(31, 34)]
    one.run(0.2)
    say(one, b"UP 1\r\n")
    assert [each.lines() for each in after] == [[b"UP 1"]] * 3


@pytest.mark.parametrize("listed", [False, True])
@pytest.mark.parametrize("address", ["10.1.0.18", "10.1.0.18:", "10.1.0.18:port", ":", "10.1.0.18:66000"])
def test_an_address_that_is_none_holds_no_request_and_keeps_no_relay_idle(
    tmp_path: Path, address: str, listed: bool, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against attempts of which no end is told: the module waits for them for ever, and sends nothing more.
    one = OneRelay(tmp_path, 2, site())
    new = api.Membership(api.MembershipKind.CHANGES, (api.ServerEntry("s9"),))
    if listed:
        one.relay.driver.listed(new, {"s0": address, "s9": address})
        told = "list not taken in full: address of {}: host:port was expected, not {!r}"
        assert [each.getMessage() for each in caplog.records] == [told.format(s, address) for s in ("s0", "s9")]
        assert one.relay.driver.addresses["s0"] == "127.0.0.1:1", "the last good one stays"
    elif not address.endswith("66000"):  # which is only found out by the system
        one.relay.driver.addresses["s0"] = address
    for number in range(1, 31):
        client = one.client(number)
        one.run(0.1)
        serve(one)
        assert client.lines() == [b"UP 1"], f"request {number}"
    assert one.relay.driver.balancer.pending == 0 and len(caplog.records) <= 2 + 3, "a line for each request"
