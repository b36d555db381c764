"""Reloads that name another discovery, at every state of the old one's calls, and answers in odd forms."""

from __future__ import annotations

import logging
from itertools import product
from pathlib import Path

import pytest
from discovery_wire import NEW, OLD, THIRD, RelayHarness

from scaledeal.net.discovery_watch import HEADER_TOO_LONG, MAX_HEADER_BYTES
from scaledeal.net.watch_times import PRESUMED_KNOWN_S

DRAIN_GRACE_S = 1.0  # as in the relay's settings
DRAIN_WINDOW_S = DRAIN_GRACE_S + 0.05  # time after which nothing may be sent to a draining server
OLD_CALL_STATES = (
    "a watch is open",
    "a list call is open",
    "half an answer has come",
    "a call has timed out",
    "discovery refuses",
    "discovery can't be reached",
    "an answer was not understood",
)


def bring_old_call_to(harness: RelayHarness, state: str) -> None:
    """Bring the relay's call at its old discovery to one of ``OLD_CALL_STATES``."""
    if state == "a list call is open":
        harness.old.mode = "held"
        # The version goes back, so the whole list is requested.
        harness.old.calls[-1].reply(b'{"index":1,"snapshot":false,"endpoints":[]}')
        assert harness.old.calls[-1].query == ""
    elif state == "half an answer has come":
        harness.old.calls[-1].reply(harness.old.listing()[:40] + b" " * 200)
        harness.old.calls[-1].connection.receive(b"")
    elif state == "a call has timed out":
        harness.old.mode = "silent"
        harness.run(7.1)
    elif state == "discovery refuses":
        harness.old.mode = "refuses"
        harness.old.reset()
        harness.run(0.1)
    elif state == "discovery can't be reached":
        harness.old.mode = "unreachable"
        harness.old.reset()
        harness.run(0.9)
    elif state == "an answer was not understood":
        harness.old.calls[-1].reply(b'{"index":9,"endpoi')


@pytest.mark.parametrize("index", [1, 7, 99])
@pytest.mark.parametrize("state", OLD_CALL_STATES)
@pytest.mark.parametrize("pushed", [True, False])
def test_after_a_reload_only_the_new_discovery_is_used_whatever_the_state_of_the_old_call(
    monkeypatch, tmp_path: Path, pushed: bool, state: str, index: int
) -> None:
    # A late answer of the old discovery must not be taken after the new one's list, and its version must not
    # be sent to the new one.
    harness = RelayHarness(monkeypatch, tmp_path, pushed)
    harness.run(2)
    harness.old.index = 6
    harness.old.change_servers()
    harness.run(0.3)
    bring_old_call_to(harness, state)
    old_call, calls, dials = harness.old.calls[-1], len(harness.old.calls), len(harness.net.dialled)
    harness.new.index = index - 1
    harness.reload()
    harness.new.change_servers(s0="leaving")
    harness.run(0.2)
    assert harness.new.calls[0].query == "", "the old discovery's version was requested"
    assert harness.state("s0") == "draining", "the new discovery's list is not in force"
    old_call.reply(harness.old.listing(), header=not old_call.answered)
    harness.run(1)
    harness.new.change_servers(s1="leaving", s2="active")
    harness.run(8)
    assert [harness.state(server) for server in ("s0", "s1", "s2")] == ["draining", "draining", "live"]
    assert harness.attempt_address(1) == "10.1.0.2:9"
    assert len(harness.old.calls) == calls and all(connection.lost for connection in harness.old.connections), (
        "the old discovery is still called"
    )
    assert OLD not in [dial.address for dial in harness.net.dialled[dials:]]
    assert harness.relay.discovery.index == index + 1


def test_the_start_of_a_server_is_kept_when_another_discovery_takes_over(monkeypatch, tmp_path: Path) -> None:
    # A cold server must not count as warm because the new discovery's list has no start for it, or an earlier one.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    harness.old.since = {"s2": harness.net.seconds() * 1000 - 500, "s3": harness.net.seconds() * 1000 - 500}
    harness.old.change_servers(s2="active", s3="active")
    harness.run(0.1)
    harness.new.states, harness.new.since = dict(harness.old.states), {"s3": 1000.0}
    harness.reload()
    harness.run(0.2)
    module = harness.relay.driver.balancer
    assert harness.relay.discovery.index == 1 and [
        module.is_cold(module.servers[server]) for server in ("s1", "s2", "s3")
    ] == [
        False,
        True,
        True,
    ]


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("mode", ["silent", "refuses", "unreachable"])
def test_a_drain_is_learned_in_time_from_a_new_discovery_that_was_unavailable_at_the_reload(
    monkeypatch, tmp_path: Path, pushed: bool, mode: str
) -> None:
    # A call to a silent agent must not be kept open longer than the drain's grace (1.0 s): it used to last 1.2 s.
    slowest = 0.0
    for call in range(1, 12):  # it recovers just after this call began: the longest time before the next one
        harness = RelayHarness(monkeypatch, tmp_path, pushed)
        harness.run(1)
        harness.new.mode = mode
        harness.reload()
        while [dial.address for dial in harness.net.dialled].count(NEW) < call:
            harness.run(0.01, 0.01)
        harness.run(0.01, 0.01)
        harness.new.recover()
        harness.new.change_servers(s0="leaving")
        recovered = harness.net.seconds()
        while harness.state("s0") != "draining" and harness.net.seconds() < recovered + 9:
            harness.run(0.02, 0.01)
        slowest = max(slowest, harness.net.seconds() - recovered)
        assert harness.attempt_address(1) == "10.1.0.1:9"
    # An agent's news is presumed known at once; 0.1 s of the grace is left for its answer.
    longest = DRAIN_GRACE_S - 0.1 if pushed else PRESUMED_KNOWN_S + DRAIN_WINDOW_S
    assert slowest <= longest, f"drain learned {slowest:.2f} s after the recovery"


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("wait", [0.0, 0.1])
@pytest.mark.parametrize("addresses", [(NEW, THIRD), (NEW, OLD), (NEW, OLD, NEW), (OLD,)])
def test_of_several_reloads_in_a_row_the_last_is_in_force(
    monkeypatch, tmp_path: Path, pushed: bool, wait: float, addresses: tuple[str, ...]
) -> None:
    harness = RelayHarness(monkeypatch, tmp_path, pushed)
    harness.run(1)
    server_of = {OLD: "s3", NEW: "s4", THIRD: "s5"}
    for number, discovery in enumerate((harness.old, harness.new, harness.third)):
        discovery.states |= {f"s{number + 3}": "active"}
    for address in addresses:
        harness.reload(address)
        harness.run(wait)
    last = harness.net.discoveries[addresses[-1]]
    last.change_servers(s0="leaving")
    harness.run(0.3)
    listed = {server for server in server_of.values() if harness.state(server)}
    assert listed == {server_of[addresses[-1]]} and harness.state("s0") == "draining"
    connected = [
        address
        for address, discovery in harness.net.discoveries.items()
        if any(not connection.lost for connection in discovery.connections)
    ]
    assert connected == [addresses[-1]], "a call to another discovery is still open"


@pytest.mark.parametrize(
    "text",
    [
        "{",
        '{"more":' + "[" * 200_000,
        "\udcff",
        *(f"discovery {address}" for address in ("here", "a b:1", "h/x:1", "é:1", "h:70000", ":1")),
        None,
    ],
)
def test_an_invalid_file_leaves_the_open_watch_as_it_is(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, text: str | None
) -> None:
    # An address that can't be called must not end the open watch.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(3)
    calls = len(harness.old.calls)
    if text is None:
        harness.path.unlink()
        harness.relay.reload()
    elif text.startswith("discovery"):
        harness.reload(text.partition(" ")[2])
    else:
        harness.path.write_bytes(text.encode("utf-8", "surrogateescape"))
        harness.relay.reload()
    (message,) = (record.getMessage() for record in caplog.records)
    assert message.startswith("configuration not taken") and "classes" not in message, message
    assert len(harness.old.calls) == calls and not harness.old.connections[-1].lost
    harness.old.change_servers(s0="leaving")
    harness.run(0.1)
    assert harness.state("s0") == "draining"


@pytest.mark.parametrize("pushed", [True, False])
def test_a_reload_before_the_start_list_is_reported_replaces_that_list(
    monkeypatch, tmp_path: Path, pushed: bool
) -> None:
    # While a new process waits for the one that serves, the list of the configuration file has not been reported yet.
    # Neither it nor its version may be taken after the new discovery's answer.
    harness = RelayHarness(monkeypatch, tmp_path, pushed, start=False)
    harness.new.states = {"s7": "active"}
    harness.reload()
    harness.run(0.5)
    harness.relay.start()
    harness.run(0.5)
    assert [call.query.partition("&")[0] for call in harness.new.calls] == ["", "?after=1"] and not harness.old.calls
    assert (harness.state("s7"), harness.state("s0")) == ("live", "")


@pytest.mark.parametrize(("step", "chunked", "indent"), list(product([1, 7, 0], [True, False], [None, 2])))
def test_a_whole_list_as_the_answer_to_a_watch_is_read_in_any_form(
    monkeypatch, tmp_path: Path, step: int, chunked: bool, indent: int | None
) -> None:
    # A list must not be cut where a piece of it ends, and a server that a whole list lacks must not count as live.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    harness.old.states = {"s1": "leaving", "s2": "active"}
    harness.old.index = 9
    harness.old.calls[-1].reply(harness.old.listing(indent=indent), step, chunked)
    assert [harness.state(server) for server in ("s0", "s1", "s2")] == ["", "draining", "live"]
    assert harness.old.calls[-1].query.startswith("?after=9&"), "the watch did not continue at once"
    harness.old.states, harness.old.index = {"s9": "left", "s2": "left", "s3": "active"}, 10
    harness.old.calls[-1].reply(harness.old.listing(False, indent), step, chunked)
    assert [harness.state(server) for server in ("s1", "s2", "s3", "s9")] == ["draining", "", "live", ""]
    assert harness.attempt_address(1) == "10.1.0.3:9"


def test_a_list_of_the_largest_permitted_number_of_servers_is_read(monkeypatch, tmp_path: Path) -> None:
    # The limit on an answer's header must not count the body.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    harness.old.index, harness.old.states = 9, {f"s{number}-{'x' * 400}": "active" for number in range(1024)}
    assert len(harness.old.listing()) > 2 * MAX_HEADER_BYTES
    harness.old.calls[-1].reply(harness.old.listing(), 65_536)
    assert len(harness.relay.driver.balancer.servers) == 1024 and harness.relay.discovery.index == 9


@pytest.mark.parametrize("cause", ["a reload", "a whole list without it", "a change"])
@pytest.mark.parametrize("pushed", [True, False])
def test_a_pending_connect_is_withdrawn_when_its_server_drains(
    monkeypatch, tmp_path: Path, pushed: bool, cause: str
) -> None:
    # A connect that began before the drain must not lead to a first line after the drain is presumed known.
    harness = RelayHarness(monkeypatch, tmp_path, pushed)
    harness.run(3)
    numbers = iter(range(99))
    while harness.attempt_address(next(numbers)) != "10.1.0.0:9":
        harness.run(1)
    connect = harness.net.dialled[-1]
    if cause == "a reload":
        harness.new.states["s0"] = "leaving"
        harness.reload()
        harness.net.pump([0.0] * 4)
    elif cause == "a change":
        harness.old.change_servers(s0="leaving")
    else:
        del harness.old.states["s0"]
        harness.old.change_servers()
    assert connect.address == "10.1.0.0:9" and connect.over and connect.wire is None, "its first line may still be sent"
    assert harness.net.dialled[-1].address != "10.1.0.0:9"


def test_changes_with_an_older_version_are_taken_and_the_whole_list_is_requested(monkeypatch, tmp_path: Path) -> None:
    # A drain in such changes must not be dropped with their version: the call for the whole list may wait seconds for
    # its turn, while the change is presumed known at once.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    harness.old.index = 6
    harness.old.change_servers()
    harness.old.mode, harness.old.index, harness.old.states = "held", 2, {"s0": "leaving"}
    harness.old.calls[-1].reply(harness.old.listing(False))
    assert (
        harness.state("s0") == "draining"
        and harness.old.calls[-1].query == ""
        and harness.relay.discovery.index is None
    )


ENDLESS = {
    "many lines": (b"HTTP/1.1 200 OK\r\n", b"x-more: " + b"y" * 1000 + b"\r\n"),
    "one line": (b"HTTP/1.1 200 OK\r\n", b"y" * 1000),
    "other answers before it": (b"", b"HTTP/1.1 102 Wait\r\nx: y\r\n\r\n" * 40),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_header_is_limited_in_bytes(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, kind: str
) -> None:
    # A header must not fill the memory until its call times out.
    caplog.set_level(logging.INFO)
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    earlier = [record for record in caplog.records if record.name == "scaledeal.discovery"]
    for _ in range(2):
        connection, sent = harness.old.calls[-1].connection, 0
        first, more = ENDLESS[kind]
        connection.receive(first)
        while not (connection.lost or connection.aborted) and sent < 2 * MAX_HEADER_BYTES:
            connection.receive(more)
            sent += len(more)
            harness.net.advance(0)
        assert sent <= MAX_HEADER_BYTES + 2000, f"{sent} bytes of a header were read"
        harness.run(0.1)
        assert connection.lost
        harness.old.mode = "held"
        calls = len(harness.old.calls)
        while len(harness.old.calls) == calls and harness.net.seconds() < 1020:
            harness.run(0.1)
    assert harness.relay.discovery.times.failures == 2
    lines = [record.message for record in caplog.records if record.name == "scaledeal.discovery"][len(earlier) :]
    assert len(lines) == 1, lines
    if kind != "one line":
        assert HEADER_TOO_LONG in lines[0] and harness.relay.driver.balancer.watch_failures == 0, (
            "discovery counted as lost"
        )
    harness.old.change_servers(s0="leaving")
    harness.old.calls[-1].reply(harness.old.listing())
    assert harness.state("s0") == "draining"


def test_an_exception_while_a_list_is_processed_does_not_end_the_watch(monkeypatch, tmp_path: Path) -> None:
    # Otherwise one exception would cut the relay off from discovery for good.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    with monkeypatch.context() as broken:
        broken.setattr(harness.relay.catalog, "read", lambda *_: 1 / 0)
        harness.old.change_servers(s0="leaving")
    harness.run(1.2)
    assert harness.state("s0") == "draining"


@pytest.mark.parametrize(
    "body", [b'{"index":9,"x":' + b"[" * 200_000, b'{"index":9,"endpoints":[{"name":"s0","since_ms":1e400}]}']
)
def test_an_answer_that_cannot_be_decoded_is_requested_again(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, body: bytes
) -> None:
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    harness.old.calls[-1].reply(body)
    harness.old.index, harness.old.states = 9, {"s0": "leaving"}
    harness.run(1.2)
    assert "answer not understood" in caplog.text and "could not be processed" not in caplog.text
    assert harness.state("s0") == "draining" and harness.relay.discovery.index == 9


@pytest.mark.parametrize(
    "malformed",
    [
        b'{"name":"s1","status":"gone"}',
        b'{"name":"s1","since_ms":null}',
        b'{"name":7}',
        b'{"name":"s1","weight":"much"}',
        b'{"status":"left"}',
        b"7",
    ],
)
def test_a_malformed_entry_does_not_hide_the_others(
    monkeypatch, tmp_path: Path, caplog: pytest.LogCaptureFixture, malformed: bytes
) -> None:
    # Otherwise one malformed entry would keep a whole fleet from learning of drains for as long as it is listed.
    harness = RelayHarness(monkeypatch, tmp_path, False)
    harness.run(2)
    harness.old.mode = "held"
    for index, drained in ((8, "s0"), (9, "s2")):
        entry = b'{"name":"%s","address":"10.1.0.2:9","status":"leaving"}' % drained.encode()
        harness.old.calls[-1].reply(b'{"index":%d,"endpoints":[%s,%s]}' % (index, malformed, entry))
        harness.run(1.2)
    assert [harness.state(server) for server in ("s0", "s1", "s2")] == ["draining", "live", "draining"]
    messages = [record.getMessage() for record in caplog.records]
    assert len(messages) == 1 and "answer not understood" in messages[0], messages
    assert harness.relay.discovery.index == 1 and harness.old.calls[-1].query == "?after=1&wait_ms=0", (
        "the call was not repeated"
    )
