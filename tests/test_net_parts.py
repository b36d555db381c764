"""Tests of single parts of the relay, each for one failure or one pitfall of the protocol."""

from __future__ import annotations

import resource
from types import SimpleNamespace

import pytest
from netfakes import MS, Bench, Wire
from twisted.internet import error
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from scaledeal import interface as api
from scaledeal.net import discovery_watch, wording
from scaledeal.net.admission import (
    RESERVED_DESCRIPTORS,
    RESERVED_FOR_CLOSING,
    RESERVED_FOR_PROBES,
    SUMMARY_INTERVAL_S,
    descriptor_limit,
)
from scaledeal.net.buffers import MAX_LINE_BYTES, BufferPool
from scaledeal.net.delays import Delays
from scaledeal.net.lines import CLOSE_TIMEOUT_S, MAX_DISCARDED_BYTES, STALL_TIMEOUT_S, LineLink
from scaledeal.net.load_lines import LoadLines
from scaledeal.net.roster import Catalog, Endpoint, Roster, UnixTimeConverter
from scaledeal.net.user_agent import MAX_EARLY_LINES
from scaledeal.net.watch_times import WatchTimes

OPEN = b"OPEN 9b1f 7f3a c=browse,d=800,g=5c0f\r\n"


def establish(bench: Bench, line: bytes = OPEN) -> tuple[Wire, Wire, str]:
    client = bench.client()
    client.receive(line)
    name = bench.module.events_of(api.Request)[-1].request
    bench.act(api.Send(name, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    server.receive(b"UP 1\r\n")
    return client, server, name


def test_only_d_is_rewritten():
    line = b"OPEN 9b1f 7f3a c=x,d=2000,g=5c,dd=7,h=1.5"
    read = wording.read_open(line)
    assert read.with_wait(1234 * MS) == line.replace(b"d=2000", b"d=1234")
    assert read.with_wait(1).partition(b"d=")[2].startswith(b"1,"), "a wait below 1 ms must not become 0"


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN a b c=x",
        b"OPEN a b d=1",
        b"OPEN a  c=x,d=1",
        b"open a b c=x,d=1",
        b"OPEN a b c=x,d=1 more",
        b"OPEN a b c=x,d=1.5",
        b"\xff",
        b"",
        b"OPEN - b c=x,d=1",
        b"OPEN  b c=x,d=1",
        b"OPEN a b c=x,c=y,d=1",
        b"OPEN a b c=x,d=1,g=\x00",
        *(
            b"OPEN a b c=x,%s" % odd
            for odd in (
                b"d=0",
                b"d=-1",
                b"d=nan",
                b"d=99999999999",
                b"d=1e3",
                b"d=1_0",
                b"d=",
                b"d=1,h=nan",
                b"d=1,h=-1",
                b"d=1,h=inf",
                b"d=1,h=1_0",
                b"d=1,h=" + b"9" * 400,
                b"d=1,h=x",
                b"d=1,t=-1",
                b"d=1,t=",
                b"d=1,t=a b",
            )
        ),
    ],
)
def test_a_malformed_first_line_is_rejected(line):
    assert wording.read_open(line) is None


def test_reports_are_parsed_by_wire_names_in_the_order_of_the_settings():
    read = wording.report_reader(("fail_rate", "rif", "x0"))
    assert read(b"PONG inflight=7,x0=0.61,eps=0.5,new=1") == (0.5, 7.0, 0.61)
    # A report that lacks a value must not make its server look idle.
    assert read(b"PONG inflight=7,eps=0.5") == () and read(b"BYE") == ()


def test_an_unchanged_start_is_the_same_moment_in_every_list():
    # A server would seem to have restarted if its start changed with each reading of the clocks.
    converter = UnixTimeConverter((5_000 - 1_000_000) * MS)
    listed = Roster(endpoints=(Endpoint("s", since_ms=996_000),))
    readings = [Catalog(("z",), converter).read(listed, 1000.0 + i)[0] for i in range(2)]
    assert readings[0] == readings[1] and readings[0][0].started == 1_000 * MS
    assert converter.to_driver_time(0) == 0 and converter.to_driver_time(1) == 0


def test_slow_messages_are_reported_once_a_second_and_once_more_when_over():
    # The module is not tuned for a note on every message.
    now = [0]
    delays = Delays((60 * MS, 90 * MS, 0), lambda: now[0])
    assert [delays.should_report("s", took * MS) for took in (19, 21, 99)] == [False, True, False]
    now[0] = 1000 * MS
    assert [delays.should_report("s", 21 * MS), delays.should_report("t", 21 * MS)] == [True, True]
    assert [delays.should_report("s", MS), delays.should_report("s", MS)] == [True, False]


def load_lines() -> tuple[LoadLines, list[int]]:
    now = [0]
    return LoadLines(16.0, lambda: now[0]), now


def test_delays_on_load_lines_are_not_taken_for_loads():
    # A delay of 364 ms read as a load of 364 us a second makes a crowded server look idle.
    lines, now = load_lines()
    readings = []
    for at, amount in ((0, 60_000.0), (500, 364.3), (1500, 277.7), (2500, 3.8), (3100, 55_000.0)):
        now[0] = at * MS
        readings.append(lines.read("s", "c", amount))
    load, delay = api.NoteKind.LOAD, api.NoteKind.DELAY
    assert readings == [(load, 60_000.0), None, (delay, 277.7), (delay, 3.8), (load, 55_000.0)]
    now[0] = 9000 * MS
    assert lines.settle() == []


def test_delays_of_a_hanging_server_are_distinguished_from_equally_large_loads():
    # The module never hears of a hang if 14,350 ms are read as a load of 14,350 us a second.
    lines, now = load_lines()
    is_delay = []
    for at, name, amount in (
        (0, "c", 60_000.0),
        (0, "d", 9000.0),
        (300, "d", 15_000.0),
        (500, "c", 14_350.6),
        (900, "d", 14_000.0),
        (1500, "c", 15_096.5),
        (1900, "d", 30_000.0),
        (2500, "d", 15_096.5),
    ):
        now[0] = at * MS
        is_delay.append((lines.read("s", name, amount) or ("", 0))[0] is api.NoteKind.DELAY)
    assert is_delay == [False, False, False, False, False, True, False, True]


def test_a_load_that_falls_far_is_reported_when_no_second_delay_follows():
    lines, now = load_lines()
    lines.read("s", "c", 60_000.0)
    now[0] = 700 * MS
    assert lines.read("s", "c", 400.0) is None
    now[0] = 1600 * MS
    assert lines.settle() == []
    now[0] = 1800 * MS
    assert lines.settle() == [("c", 400.0)] and lines.settle() == []
    assert lines.read("s", "c", 900.0) == (api.NoteKind.LOAD, 900.0)
    lines.forget("c")
    assert not lines.loads


def test_buffers_have_one_size_and_are_reused():
    pool = BufferPool(max_free=1)
    first, second = pool.take(), pool.take()
    pool.give_back(first)
    pool.give_back(second)
    assert pool.take() is first and len(first) == MAX_LINE_BYTES and len(pool.free) == 0 and pool.in_use == 1


@pytest.mark.parametrize("size", [MAX_LINE_BYTES - 2, MAX_LINE_BYTES - 1, 3 * MAX_LINE_BYTES])
def test_a_line_of_4_kib_passes_and_a_longer_one_is_answered(size):
    bench = Bench()
    client = bench.client()
    line = (OPEN[:-2] + b",x=").ljust(size, b"y")
    client.receive(line[: MAX_LINE_BYTES - 2])
    client.receive(line[MAX_LINE_BYTES - 2 :] + b"\r\n")
    assert len(bench.module.events_of(api.Request)) == (size == MAX_LINE_BYTES - 2)
    assert client.lines() == ([] if size == MAX_LINE_BYTES - 2 else [b"ERR"])
    assert bench.pool.in_use == 0


def test_a_connect_that_times_out_is_a_failed_connect():
    # Reported as a timeout, the request would count as one that may have run.
    for timeout in (100 * MS, 0):
        bench = Bench()
        bench.client().receive(OPEN)
        bench.act(api.Send(bench.module.events_of(api.Request)[0].request, "a", timeout))
        bench.reactor.advance(0.26)
        assert [o.result for o in bench.module.events_of(api.Outcome)] == [api.Result.CONNECT_FAILED]


def test_a_late_up_does_not_reach_the_client():
    bench = Bench()
    client = bench.client()
    client.receive(OPEN)
    bench.act(api.Send(bench.module.events_of(api.Request)[0].request, "a", 90 * MS))
    server = bench.reactor.dialled[0].up(bench.reactor)
    server.flush()
    bench.reactor.advance(0.1)
    server.link.dataReceived(b"UP 1\r\n")
    assert client.lines() == [] and not bench.module.events_of(api.Established)
    assert bench.module.events_of(api.Outcome)[0].result is api.Result.TIMEOUT


def test_move_is_sent_between_two_lines():
    bench = Bench()
    client, server, name = establish(bench)
    server.receive(b"M 1 half a li")
    bench.act(api.Move(name))
    server.receive(b"ne\r\n")
    assert client.lines() == [b"UP 1", b"MOVE"]
    server.flush()
    bench.reactor.advance(1)
    bench.reactor.advance(0)
    assert bench.module.events_of(api.Outcome)[0].result is api.Result.CANCELLED


def test_a_silent_connection_is_reported_and_closed_within_7_seconds():
    # TCP does not report a server that hangs or was cut off; its clients would stay there.
    bench = Bench()
    bench.driver.check_connections()
    client, server, _ = establish(bench)
    client.receive(b"M 1\r\n")
    for _ in range(65):
        bench.reactor.advance(0.1)
    delays = [note.amount for note in bench.module.events_of(api.Note)]
    assert delays[0] < 500 and delays == sorted(delays) and 4 <= len(delays) <= 7
    bench.reactor.advance(0)
    assert server.lost and client.fin_due and bench.module.events_of(api.Outcome)[0].result is api.Result.RESET


def test_one_silent_connection_is_not_reported_as_a_hanging_server():
    # The server still answers its other connections, so a stream that stopped is reported as silent, not as a delay.
    bench = Bench()
    bench.driver.check_connections()
    silent, server, name = establish(bench)
    other, answering, _ = establish(bench, OPEN.replace(b"9b1f", b"9b20"))
    silent.receive(b"M 1\r\n")
    for _ in range(11):
        bench.reactor.advance(0.1)
        other.receive(b"M 2\r\n")
        answering.receive(b"M 2\r\n")
    notes = bench.module.events_of(api.Note)
    assert [(note.request, note.kind) for note in notes] == [(name, api.NoteKind.SILENT)]
    assert notes[0].amount >= 1000


def test_a_connection_that_answers_is_never_closed_as_silent():
    bench = Bench()
    bench.driver.check_connections()
    client, server, _ = establish(bench)
    for _ in range(30):
        client.receive(b"M 1\r\n")
        bench.reactor.advance(0.01)
        server.receive(b"M 1\r\n")
        bench.reactor.advance(0.5)
    bench.reactor.advance(30)
    assert not server.lost and not bench.module.events_of(api.Note)


def test_a_slow_reader_pauses_the_other_side_and_is_finally_reset():
    # Otherwise all that a server sends piles up in memory for a client that reads nothing.
    bench = Bench()
    client, server, _ = establish(bench)
    client.producer.pauseProducing()
    assert server.paused
    bench.reactor.advance(STALL_TIMEOUT_S - 1)
    client.producer.resumeProducing()
    assert not server.paused
    client.producer.pauseProducing()
    bench.reactor.advance(STALL_TIMEOUT_S + 1)
    bench.reactor.advance(0)
    assert client.lost
    server.flush()
    bench.reactor.advance(1)
    assert server.lost and not bench.driver.transactions


def test_a_peer_that_does_not_close_is_reset_after_the_close_timeout():
    bench = Bench()
    client, server, name = establish(bench)
    bench.act(api.Move(name))
    client.flush()
    assert client.fin_sent and not client.lost
    bench.reactor.advance(CLOSE_TIMEOUT_S)
    bench.reactor.advance(0)
    assert client.lost and server.lost


@pytest.mark.parametrize("sent", [b"", b"OPEN 9b1f 7f3a c=browse,d=8", b"PING\r\n", b"PING\r\nOP"])
def test_a_client_that_never_sends_a_request_is_closed(sent):
    # Silent clients, trickling ones and idle health checks would hold a descriptor for up to a minute.
    bench = Bench()
    client = bench.client()
    for byte in sent:
        client.receive(bytes([byte]))
        bench.reactor.advance(0.01)
    bench.reactor.advance(2.9 - len(sent) / 100)
    client.flush()
    # A client that has begun a line, or never sent PING, is answered, as its request may be in transit.
    expected = [b"PONG"] * sent.startswith(b"PING") + [b"ERR"] * (sent != b"PING\r\n")
    assert client.lines() == expected and client.fin_sent
    bench.reactor.advance(CLOSE_TIMEOUT_S)
    bench.reactor.advance(0)
    assert client.lost and bench.pool.in_use == 0 and not bench.module.events_of(api.Request)


def test_a_front_that_keeps_pinging_stays_connected_and_a_flood_does_not():
    bench = Bench()
    front = bench.client()
    for _ in range(60):
        front.receive(b"PING\r\n")
        bench.reactor.advance(1)
    assert front.lines() == [b"PONG"] * 60 and not front.fin_due
    flood = bench.client()
    flood.receive(b"PING\r\n" * 300)
    assert flood.lines()[-1] == b"ERR" and len(flood.lines()) < 60 and flood.fin_due


def test_a_second_request_with_the_id_of_an_open_one_is_rejected():
    # Sent on, the copy would be rejected by its server, and the rejection would count against that server.
    bench = Bench()
    client, server, name = establish(bench)
    duplicate = bench.client()
    duplicate.receive(OPEN)
    assert duplicate.lines() == [b"ERR"] and len(bench.module.events_of(api.Request)) == 1
    client.receive(b"M 1\r\n")
    assert server.lines()[-1] == b"M 1" and not client.fin_due
    bench.act(api.Move(name))
    again = bench.client()
    again.receive(OPEN)
    assert (
        again.lines() == []
        and len(bench.module.events_of(api.Request)) == 2
        and len(bench.client_context.request_ids.open_here()) == 1
    )


def test_a_flood_before_the_answer_is_rejected():
    bench = Bench()
    client = bench.client()
    client.receive(OPEN + b"M 1\r\n" * 300)
    assert client.lines() == [b"ERR"] and client.fin_due
    assert [e.request for e in bench.module.events_of(api.ClientGone)] == ["t1"] and not bench.driver.transactions


def test_a_peer_that_sends_on_after_its_answer_is_read_up_to_a_limit():
    # Reading 60 MB from a peer that already has its answer is of no use.
    bench = Bench()
    client = bench.client()
    for _ in range(100):
        if not client.paused:
            client.receive(b"k" * MAX_LINE_BYTES)
    assert (
        client.lines() == [b"ERR"]
        and client.paused
        and client.link._discarded < MAX_DISCARDED_BYTES + 2 * MAX_LINE_BYTES
    )
    bench.reactor.advance(CLOSE_TIMEOUT_S)
    bench.reactor.advance(0)
    assert client.lost


def test_a_client_of_an_unknown_tenant_or_a_server_that_never_comes_is_answered():
    bench = Bench()
    client, standing = bench.client(), bench.client()
    client.receive(OPEN.replace(b"\r\n", b",t=7\r\n"))
    standing.receive(b"OPEN 9b20 7f3a c=browse,d=86400000,at=nowhere\r\n")
    bench.reactor.advance(40.1)
    assert client.lines() == [b"ERR"] == standing.lines() and not bench.driver.transactions


@pytest.mark.parametrize(
    ("parameter", "accepted"),
    [
        (b"", True),
        (b",t=acme", True),
        (b",t=0", True),
        (b",t=1", False),
        (b",t=nan", False),
        (b",t=1.5", False),
        (b",t=99999999999", False),
        (b",t=Acme", False),
    ],
)
def test_a_tenant_is_given_by_its_name_in_the_settings_or_by_its_number(parameter, accepted):
    bench = Bench()
    client = bench.client()
    client.receive(OPEN.replace(b"\r\n", parameter + b"\r\n"))
    assert bool(bench.driver.transactions) is accepted, client.lines()
    if accepted:
        assert [e.tenant for e in bench.module.events_of(api.Request)] == [0]
    else:
        assert client.lines() == [b"ERR"]


def test_clients_that_were_turned_away_are_logged_in_one_line(caplog):
    caplog.set_level("INFO")
    bench = Bench()
    for _ in range(40):
        bench.client().receive(b"frob\r\n")
    bench.reactor.advance(SUMMARY_INTERVAL_S)
    assert [r.getMessage() for r in caplog.records] == ["clients turned away in 10 s: 40 invalid request"]
    bench.reactor.advance(2 * SUMMARY_INTERVAL_S)
    assert len(caplog.records) == 1 and bench.reactor.getDelayedCalls() == []


@pytest.mark.parametrize(
    ("stated", "soft", "most"),
    [(540, 4096, 540), (540, 256, 256), (0, 300, 300), (0, resource.RLIM_INFINITY, 1024), (0, 1 << 20, 1024)],
)
def test_the_descriptor_limit_is_the_lower_of_configured_and_allowed(monkeypatch, stated, soft, most):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (soft, soft))
    assert descriptor_limit(stated) == most


def test_lines_sent_before_the_answer_wait_for_it():
    bench = Bench()
    client = bench.client()
    client.receive(OPEN + b"M 1\r\nM 2\r\n")
    assert not client.paused, "the client's end may follow them"
    bench.act(api.Send(bench.module.events_of(api.Request)[0].request, "a", 0))
    server = bench.reactor.dialled[0].up(bench.reactor)
    server.flush()
    server.receive(b"UP 1\r\n")
    assert server.lines()[1:] == [b"M 1", b"M 2"] and not client.paused


def test_a_request_for_a_server_that_moved_goes_to_its_new_address():
    bench = Bench()
    bench.list(a="127.0.0.9:9")
    establish(bench)
    assert bench.reactor.dialled[0].address == "127.0.0.9:9"


def test_a_failing_module_ends_nothing_but_its_event():
    # One exception must not end the process and every connection on it.
    bench = Bench()
    client, server, _ = establish(bench)

    def fail(event: api.Event) -> list[api.Action]:
        raise RuntimeError("index out of range")

    bench.module.reply = fail
    other = bench.client()
    other.receive(OPEN)
    bench.reactor.advance(0.9)
    assert other.lines() == [b"ERR"], "the request was not answered"
    client.receive(b"M 1\r\n")
    assert server.lines()[-1] == b"M 1"


def test_probes_share_a_connection_and_each_has_one_result():
    bench = Bench()
    answers = [
        (b"PONG eps=0,inflight=3,x0=0.5\r\n", api.Result.OK),
        (b"ERR\r\n", api.Result.ERROR),
        (b"NO\r\n", api.Result.ERROR),
    ]
    for line, result in answers:
        bench.act(api.Probe("a"))
        if not bench.wires():
            bench.reactor.dialled[0].up(bench.reactor)
        bench.wires()[0].receive(line)
        assert bench.module.events_of(api.ProbeResult)[-1].result is result
    assert bench.module.events_of(api.ProbeResult)[0].report == (0.0, 3.0, 0.5)
    assert len(bench.reactor.dialled) == 1 and bench.wires()[0].lines() == [b"STATS"] * 3
    bench.reactor.advance(5)
    bench.reactor.advance(0)
    assert bench.wires()[0].lost and not bench.probes.probes, "an unused probe connection was kept"


def test_a_probe_without_an_answer_has_its_result_and_a_late_answer_none():
    bench = Bench()
    bench.act(api.Probe("a"))
    server = bench.reactor.dialled[0].up(bench.reactor)
    bench.reactor.advance(0.5)
    server.link.dataReceived(b"PONG eps=0,inflight=3,x0=0.5\r\n")
    bench.act(api.Probe("a"))
    bench.reactor.dialled[1].fail()
    bench.act(api.Probe("a"))
    bench.reactor.dialled[2].up(bench.reactor).lose(error.ConnectionLost())
    results = [probe.result for probe in bench.module.events_of(api.ProbeResult)]
    assert results == [api.Result.TIMEOUT, api.Result.CONNECT_FAILED, api.Result.RESET]
    bench.act(api.Probe("unknown"))
    assert bench.module.events_of(api.ProbeResult)[-1].result is api.Result.CONNECT_FAILED


def test_an_exception_of_one_link_is_not_swallowed_here():
    # Twisted closes a connection whose handler raised and goes on; the exception must reach it.
    bench = Bench()
    link = LineLink(bench.reactor, bench.pool)
    Wire(bench.reactor, link)

    def fail(line: bytes) -> None:
        raise RuntimeError

    link.line_received = fail  # type: ignore[method-assign]
    with pytest.raises(RuntimeError):
        link.dataReceived(b"x\r\n")


class FakeHttpClient:
    """Replaces an HTTP client; the test provides the answers."""

    def __init__(self) -> None:
        self.out: list[tuple[str, Deferred[object]]] = []

    def request(self, method: bytes, url: bytes) -> Deferred[object]:
        call: Deferred[object] = Deferred(lambda _: None)  # one that does not stop when it is cancelled
        self.out.append((url.decode(), call))
        return call


def discovery_watch_and_events() -> tuple[discovery_watch.DiscoveryWatch, list[api.MembershipKind]]:
    kinds: list[api.MembershipKind] = []
    watch = discovery_watch.DiscoveryWatch(
        Clock(),
        "127.0.0.1",
        1,
        Catalog((), UnixTimeConverter(0)),
        lambda event, _: kinds.append(event.kind),
        WatchTimes(False, 10.0, 1.0, 0.5),
        lambda: 0.0,
    )
    watch.http_agent = FakeHttpClient()
    return watch, kinds


def test_a_replaced_discovery_reports_nothing_more(monkeypatch):
    # A late answer or failure of the old discovery must not reach the module after the new list.
    monkeypatch.setattr(discovery_watch, "read_body", lambda response, most: succeed(response.body))
    for late in (succeed, fail):
        watch, kinds = discovery_watch_and_events()
        watch.watch()
        ((url, call),) = watch.http_agent.out
        assert url.endswith("/catalog/members"), "no version is known there yet"
        watch.close()
        reply = SimpleNamespace(code=200, body=b'{"index":9,"snapshot":true,"endpoints":[]}')
        late(reply if late is succeed else ConnectionError("reset")).addCallbacks(call.callback, call.errback)
        watch.watch()
        assert kinds == [] and len(watch.http_agent.out) == 1


def test_the_version_of_a_list_is_kept_over_a_failed_call(monkeypatch):
    monkeypatch.setattr(discovery_watch, "read_body", lambda response, most: succeed(response.body))
    watch, kinds = discovery_watch_and_events()
    watch.watch()
    watch.http_agent.out[0][1].errback(ConnectionError("refused"))
    watch.reactor.advance(4.1)  # it asks again by itself
    watch.watch()
    watch.http_agent.out[1][1].callback(SimpleNamespace(code=200, body=b'{"index":9,"endpoints":[]}'))
    assert [url.partition("members")[2] for url, _ in watch.http_agent.out] == ["", "", "?after=9&wait_ms=2625"]
    assert kinds == [api.MembershipKind.LOST, api.MembershipKind.FULL]


@pytest.mark.parametrize("early", [b"", b"M 1\r\nM 2\r\n"])
@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("stage", ["connecting", "sending", "held"])
def test_no_attempt_begins_after_its_client_left(stage: str, how: str, early: bytes):
    # A late connect or a queued first line must not go out for a client that has left; also if the settings forbid
    # cancelling, and if early lines precede the client's end.
    bench = Bench()
    client = bench.client()
    client.receive(OPEN + early)
    name = bench.module.events_of(api.Request)[-1].request
    if stage != "held":
        bench.act(api.Send(name, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor) if stage == "sending" else None
    assert not client.paused, "the client's end would not be read"
    client.peer_ends() if how == "end" else client.lose(error.ConnectionLost())
    client.flush()
    bench.reactor.advance(0)
    if server is not None:
        server.flush()
        assert server.aborted and server.sent == b"", "sent although the client has left"
    assert all(each.over for each in bench.reactor.dialled)
    bench.act(api.Send(name, "b", 0))
    assert len(bench.reactor.dialled) == (stage != "held"), "a further attempt"
    results = [event.result for event in bench.module.events_of(api.Outcome) if event.result is not api.Result.NOT_SENT]
    assert results == ([] if stage == "held" else [api.Result.CANCELLED]), "counted against the server"
    assert not bench.driver.transactions and not bench.client_context.request_ids.open_here()


def test_too_many_early_lines_end_the_request_and_its_attempt():
    bench = Bench()
    client = bench.client()
    client.receive(OPEN)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    for _ in range(MAX_EARLY_LINES):
        client.receive(b"M 1\r\n")
    assert client.lines() == [] and not bench.reactor.dialled[0].over
    client.receive(b"M 1\r\n")
    assert client.lines() == [b"ERR"] and bench.reactor.dialled[0].over
    assert not bench.driver.transactions and bench.admission.turned_away["flooded"] == 1


def written_attempt(bench: Bench) -> tuple[Wire, Wire]:
    """Have a request sent whole to a server that does not answer; return the client's and the server's wire."""
    client = bench.client()
    client.receive(OPEN)
    bench.act(api.Send(bench.module.events_of(api.Request)[-1].request, "a", 0))
    server = bench.reactor.dialled[-1].up(bench.reactor)
    server.flush()
    return client, server


def test_a_written_attempt_is_cancelled_only_by_the_module():
    bench = Bench()
    client, server = written_attempt(bench)
    server.flush()
    client.peer_ends()
    assert not server.aborted and len(bench.module.events_of(api.ClientGone)) == 1


def test_probes_of_hundreds_of_servers_leave_the_descriptors_to_clients():
    # Kept probe connections to 1,024 servers exceed the limit if only a fixed few are counted.
    bench = Bench()
    for number in range(1024):
        bench.probes.probe(f"s{number}", f"127.0.0.1:{number + 1}")
        bench.reactor.dialled[-1].up(bench.reactor).receive(b"PONG\r\n")
        bench.reactor.advance(0)
    held = [wire for wire in bench.wires() if not wire.lost]
    assert len(held) == bench.probes.connection_count() <= RESERVED_FOR_PROBES + (256 - RESERVED_DESCRIPTORS) // 2
    clients = 0
    while (client := bench.connect()) is not None:
        clients += 1
        client.receive(OPEN.replace(b"9b1f", b"%x" % clients))
        held = [wire for wire in bench.reactor.up if not wire.lost and not wire.closing]
        assert RESERVED_DESCRIPTORS - RESERVED_FOR_PROBES + len(held) + clients <= 256 + RESERVED_FOR_CLOSING, (
            f"{clients} clients, each with its attempt"
        )
    assert clients == (256 - RESERVED_DESCRIPTORS) // 2, "fewer or more clients than there is room for"
    assert bench.probes.connection_count() <= RESERVED_FOR_PROBES, "idle probes were kept at the cost of clients"
