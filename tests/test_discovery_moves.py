"""A relay that is told of another discovery, and what its HTTP client makes of answers; each crossing is forced."""

from __future__ import annotations

import logging
from itertools import product
from pathlib import Path

import pytest
from discovery_wire import NEW, OLD, THIRD, OneRelay

from scaledeal.net.discovery_watch import HEADER_TOO_LONG, MAX_HEADER_BYTES
from scaledeal.net.watch_times import PRESUMED_KNOWN_S

GRACE = 1.0  # seconds that a drain leaves, as the relay's settings say
WINDOW = GRACE + 0.05  # the rule on sockets
CROSSINGS = (
    "a watch is out",
    "a list call is out",
    "half an answer has come",
    "a call has fallen silent",
    "discovery refuses",
    "discovery can't be reached",
    "an answer was not understood",
)


def crossed(one: OneRelay, crossing: str) -> None:
    """Bring the relay's dealings with its old discovery to where the reload is to meet them."""
    if crossing == "a list call is out":
        one.old.mode = "held"
        one.old.calls[-1].say(b'{"index":1,"snapshot":false,"endpoints":[]}')  # the list went back: all is asked for
        assert one.old.calls[-1].query == ""
    elif crossing == "half an answer has come":
        one.old.calls[-1].say(one.old.listing()[:40] + b" " * 200)
        one.old.calls[-1].wire.receive(b"")
    elif crossing == "a call has fallen silent":
        one.old.mode = "silent"
        one.run(7.1)
    elif crossing == "discovery refuses":
        one.old.mode = "refuses"
        one.old.reset()
        one.run(0.1)
    elif crossing == "discovery can't be reached":
        one.old.mode = "unreachable"
        one.old.reset()
        one.run(0.9)
    elif crossing == "an answer was not understood":
        one.old.calls[-1].say(b'{"index":9,"endpoi')


@pytest.mark.parametrize("index", [1, 7, 99])
@pytest.mark.parametrize("crossing", CROSSINGS)
@pytest.mark.parametrize("pushed", [True, False])
def test_after_a_reload_the_new_discovery_alone_counts_whatever_was_out_at_the_old(
    monkeypatch, tmp_path: Path, pushed: bool, crossing: str, index: int
) -> None:
    # Guards against an old discovery's late answer after the new one's list, and against its version asked for there.
    one = OneRelay(monkeypatch, tmp_path, pushed)
    one.run(2)
    one.old.index = 6
    one.old.now_has()
    one.run(0.3)
    crossed(one, crossing)
    out, calls, dials = one.old.calls[-1], len(one.old.calls), len(one.net.dialled)
    one.new.index = index - 1
    one.reload()
    one.new.now_has(s0="leaving")
    one.run(0.2)
    assert one.new.calls[0].query == "", "the old discovery's version was asked for"
    assert one.state("s0") == "draining", "what the new discovery has is not in force"
    out.say(one.old.listing(), header=not out.answered)
    one.run(1)
    one.new.now_has(s1="leaving", s2="active")
    one.run(8)
    assert [one.state(each) for each in ("s0", "s1", "s2")] == ["draining", "draining", "live"]
    assert one.sent_to(1) == "10.1.0.2:9"
    assert len(one.old.calls) == calls and all(wire.lost for wire in one.old.wires), "the old discovery is still asked"
    assert OLD not in [made.address for made in one.net.dialled[dials:]]
    assert one.relay.discovery.index == index + 1


def test_a_start_that_one_discovery_told_is_not_forgotten_as_another_takes_over(monkeypatch, tmp_path: Path) -> None:
    # Guards against a cold server taken for a warm one because the new discovery's list tells no start, or an earlier.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    one.old.since = {"s2": one.net.seconds() * 1000 - 500, "s3": one.net.seconds() * 1000 - 500}
    one.old.now_has(s2="active", s3="active")
    one.run(0.1)
    one.new.states, one.new.since = dict(one.old.states), {"s3": 1000.0}
    one.reload()
    one.run(0.2)
    module = one.relay.driver.balancer
    assert one.relay.discovery.index == 1 and [module.is_cold(module.servers[each]) for each in ("s1", "s2", "s3")] == [
        False,
        True,
        True,
    ]


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("mode", ["silent", "refuses", "unreachable"])
def test_a_new_discovery_that_is_away_at_the_reload_is_heard_of_in_time_once_it_is_back(
    monkeypatch, tmp_path: Path, pushed: bool, mode: str
) -> None:
    # Guards against a call that an agent's silence holds longer than the drain's grace: 1.2 s it was.
    latest = 0.0
    for call in range(1, 12):  # it comes back just after that call to it began, the longest before the next
        one = OneRelay(monkeypatch, tmp_path, pushed)
        one.run(1)
        one.new.mode = mode
        one.reload()
        while [made.address for made in one.net.dialled].count(NEW) < call:
            one.run(0.01, 0.01)
        one.run(0.01, 0.01)
        one.new.back()
        one.new.now_has(s0="leaving")
        back = one.net.seconds()
        while one.state("s0") != "draining" and one.net.seconds() < back + 9:
            one.run(0.02, 0.01)
        latest = max(latest, one.net.seconds() - back)
        assert one.sent_to(1) == "10.1.0.1:9"
    # An agent's news counts at once: 0.1 s of the grace is left for its answer.
    most = GRACE - 0.1 if pushed else PRESUMED_KNOWN_S + WINDOW
    assert latest <= most, f"heard {latest:.2f} s after it was back"


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("wait", [0.0, 0.1])
@pytest.mark.parametrize("row", [(NEW, THIRD), (NEW, OLD), (NEW, OLD, NEW), (OLD,)])
def test_of_several_reloads_in_a_row_the_last_counts(
    monkeypatch, tmp_path: Path, pushed: bool, wait: float, row: tuple[str, ...]
) -> None:
    one = OneRelay(monkeypatch, tmp_path, pushed)
    one.run(1)
    states = {OLD: "s3", NEW: "s4", THIRD: "s5"}
    for number, each in enumerate((one.old, one.new, one.third)):
        each.states |= {f"s{number + 3}": "active"}
    for address in row:
        one.reload(address)
        one.run(wait)
    last = one.net.discoveries[row[-1]]
    last.now_has(s0="leaving")
    one.run(0.3)
    listed = {each for each in states.values() if one.state(each)}
    assert listed == {states[row[-1]]} and one.state("s0") == "draining"
    out = [address for address, each in one.net.discoveries.items() if any(not wire.lost for wire in each.wires)]
    assert out == [row[-1]], "a call is still out elsewhere"


@pytest.mark.parametrize(
    "text",
    [
        "{",
        '{"more":' + "[" * 200_000,
        "\udcff",
        *(f"discovery {odd}" for odd in ("here", "a b:1", "h/x:1", "é:1", "h:70000", ":1")),
        None,
    ],
)
def test_a_file_that_cannot_be_taken_leaves_the_watch_that_is_out(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, text: str | None
) -> None:
    # Guards against an address that no call can be made to, for which the watch that is out was ended.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(3)
    calls = len(one.old.calls)
    if text is None:
        one.path.unlink()
        one.relay.reload()
    elif text.startswith("discovery"):
        one.reload(text.partition(" ")[2])
    else:
        one.path.write_bytes(text.encode("utf-8", "surrogateescape"))
        one.relay.reload()
    (told,) = (each.getMessage() for each in caplog.records)
    assert told.startswith("configuration not taken") and "classes" not in told, told
    assert len(one.old.calls) == calls and not one.old.wires[-1].lost
    one.old.now_has(s0="leaving")
    one.run(0.1)
    assert one.state("s0") == "draining"


@pytest.mark.parametrize("pushed", [True, False])
def test_a_reload_before_the_list_of_the_start_has_been_told_goes_before_it(
    monkeypatch, tmp_path: Path, pushed: bool
) -> None:
    # Guards against the file's list, and its version, taken after what the new discovery said: while a start waits for
    # the process that serves.
    one = OneRelay(monkeypatch, tmp_path, pushed, start=False)
    one.new.states = {"s7": "active"}
    one.reload()
    one.run(0.5)
    one.relay.start()
    one.run(0.5)
    assert [call.query.partition("&")[0] for call in one.new.calls] == ["", "?after=1"] and not one.old.calls
    assert (one.state("s7"), one.state("s0")) == ("live", "")


@pytest.mark.parametrize(("step", "chunked", "indent"), list(product([1, 7, 0], [True, False], [None, 2])))
def test_a_whole_list_on_a_watch_is_read_in_any_form(
    monkeypatch, tmp_path: Path, step: int, chunked: bool, indent: int | None
) -> None:
    # Guards against a list cut where a piece ends, and against a server that a whole list lacks taken for a live one.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    one.old.states = {"s1": "leaving", "s2": "active"}
    one.old.index = 9
    one.old.calls[-1].say(one.old.listing(indent=indent), step, chunked)
    assert [one.state(each) for each in ("s0", "s1", "s2")] == ["", "draining", "live"]
    assert one.old.calls[-1].query.startswith("?after=9&"), "the watch goes on at once"
    one.old.states, one.old.index = {"s9": "left", "s2": "left", "s3": "active"}, 10
    one.old.calls[-1].say(one.old.listing(False, indent), step, chunked)
    assert [one.state(each) for each in ("s1", "s2", "s3", "s9")] == ["draining", "", "live", ""]
    assert one.sent_to(1) == "10.1.0.3:9"


def test_a_list_of_all_servers_that_may_be_is_read(monkeypatch, tmp_path: Path) -> None:
    # Guards against a bound on an answer's header that takes the body in.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    one.old.index, one.old.states = 9, {f"s{number}-{'x' * 400}": "active" for number in range(1024)}
    assert len(one.old.listing()) > 2 * MAX_HEADER_BYTES
    one.old.calls[-1].say(one.old.listing(), 65_536)
    assert len(one.relay.driver.balancer.servers) == 1024 and one.relay.discovery.index == 9


@pytest.mark.parametrize("told", ["a reload", "a whole list without it", "a change"])
@pytest.mark.parametrize("pushed", [True, False])
def test_a_connect_that_is_out_as_its_server_drains_is_withdrawn(
    monkeypatch, tmp_path: Path, pushed: bool, told: str
) -> None:
    # Guards against a first line that is written after the drain counts as told: its connect had begun before.
    one = OneRelay(monkeypatch, tmp_path, pushed)
    one.run(3)
    numbers = iter(range(99))
    while one.sent_to(next(numbers)) != "10.1.0.0:9":
        one.run(1)
    connect = one.net.dialled[-1]
    if told == "a reload":
        one.new.states["s0"] = "leaving"
        one.reload()
        one.net.pump([0.0] * 4)
    elif told == "a change":
        one.old.now_has(s0="leaving")
    else:
        del one.old.states["s0"]
        one.old.now_has()
    assert connect.address == "10.1.0.0:9" and connect.over and connect.wire is None, "its first line may still be sent"
    assert one.net.dialled[-1].address != "10.1.0.0:9"


def test_changes_of_a_list_that_went_back_are_taken_and_all_of_it_is_asked_for(monkeypatch, tmp_path: Path) -> None:
    # Guards against a drain that was written to the relay and dropped with its version: the whole list may take its
    # turn of some seconds, the change counts as told at once.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    one.old.index = 6
    one.old.now_has()
    one.old.mode, one.old.index, one.old.states = "held", 2, {"s0": "leaving"}
    one.old.calls[-1].say(one.old.listing(False))
    assert one.state("s0") == "draining" and one.old.calls[-1].query == "" and one.relay.discovery.index is None


ENDLESS = {
    "many lines": (b"HTTP/1.1 200 OK\r\n", b"x-more: " + b"y" * 1000 + b"\r\n"),
    "one line": (b"HTTP/1.1 200 OK\r\n", b"y" * 1000),
    "other answers before it": (b"", b"HTTP/1.1 102 Wait\r\nx: y\r\n\r\n" * 40),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_header_is_bounded_in_bytes(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, kind: str
) -> None:
    # Guards against a header that fills the memory up to the end of its call's time.
    caplog.set_level(logging.INFO)
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    told = [each for each in caplog.records if each.name == "scaledeal.discovery"]
    for _ in range(2):
        wire, sent = one.old.calls[-1].wire, 0
        first, more = ENDLESS[kind]
        wire.receive(first)
        while not (wire.lost or wire.aborted) and sent < 2 * MAX_HEADER_BYTES:
            wire.receive(more)
            sent += len(more)
            one.net.advance(0)
        assert sent <= MAX_HEADER_BYTES + 2000, f"{sent} bytes of a header were read"
        one.run(0.1)
        assert wire.lost
        one.old.mode = "held"
        calls = len(one.old.calls)
        while len(one.old.calls) == calls and one.net.seconds() < 1020:
            one.run(0.1)
    assert one.relay.discovery.times.failures == 2
    lines = [each.message for each in caplog.records if each.name == "scaledeal.discovery"][len(told) :]
    assert len(lines) == 1, lines
    if kind != "one line":
        assert HEADER_TOO_LONG in lines[0] and one.relay.driver.balancer.watch_failures == 0, "discovery is there"
    one.old.now_has(s0="leaving")
    one.old.calls[-1].say(one.old.listing())
    assert one.state("s0") == "draining"


def test_a_fault_of_the_relay_on_a_list_does_not_end_its_watch(monkeypatch, tmp_path: Path) -> None:
    # Guards against one exception after which nothing of discovery is ever heard again.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    with monkeypatch.context() as broken:
        broken.setattr(one.relay.catalog, "read", lambda *_: 1 / 0)
        one.old.now_has(s0="leaving")
    one.run(1.2)
    assert one.state("s0") == "draining"


@pytest.mark.parametrize(
    "body", [b'{"index":9,"x":' + b"[" * 200_000, b'{"index":9,"endpoints":[{"name":"s0","since_ms":1e400}]}']
)
def test_an_answer_that_cannot_be_decoded_is_asked_for_again(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, body: bytes
) -> None:
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    one.old.calls[-1].say(body)
    one.old.index, one.old.states = 9, {"s0": "leaving"}
    one.run(1.2)
    assert "answer not understood" in caplog.text and "could not be processed" not in caplog.text
    assert one.state("s0") == "draining" and one.relay.discovery.index == 9


@pytest.mark.parametrize(
    "odd",
    [
        b'{"name":"s1","status":"gone"}',
        b'{"name":"s1","since_ms":null}',
        b'{"name":7}',
        b'{"name":"s1","weight":"much"}',
        b'{"status":"left"}',
        b"7",
    ],
)
def test_an_entry_that_cannot_be_read_hides_no_other(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, odd: bytes
) -> None:
    # Guards against one such entry that keeps a whole fleet from hearing of drains, for as long as it is listed.
    one = OneRelay(monkeypatch, tmp_path, False)
    one.run(2)
    one.old.mode = "held"
    for index, server in ((8, "s0"), (9, "s2")):
        entry = b'{"name":"%s","address":"10.1.0.2:9","status":"leaving"}' % server.encode()
        one.old.calls[-1].say(b'{"index":%d,"endpoints":[%s,%s]}' % (index, odd, entry))
        one.run(1.2)
    assert [one.state(each) for each in ("s0", "s1", "s2")] == ["draining", "live", "draining"]
    said = [each.getMessage() for each in caplog.records]
    assert len(said) == 1 and "answer not understood" in said[0], said
    assert one.relay.discovery.index == 1 and one.old.calls[-1].query == "?after=1&wait_ms=0", "asked again"
