"""What one client may keep of a relay's memory, whatever it sends."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from dataclasses import replace

import pytest
from netfakes import SETTINGS, Bench
from test_net_parts import OPEN, establish
from test_relay_process import World, open_line, world  # noqa: F401  (a fixture)
from twisted.internet import error

from scaledeal import interface as api
from scaledeal.net.buffers import MAX_LINE_BYTES
from scaledeal.net.request_guard import MAX_GONE_SERVERS
from scaledeal.net.user_agent import MAX_EARLY_BYTES
from scaledeal.policy import Balancer

MAX_MEMORY_OF_A_CLIENT = 6 * MAX_LINE_BYTES  # the line, what is made of it, and the objects of a connection
MANY_FIELDS = OPEN[:-2] + b"".join(b",%03x=1" % number for number in range(600)) + b"\r\n"


def memory_of(clients: int, make: Callable[[], object]) -> float:
    """Return the bytes that one of some clients keeps."""
    kept = [make()]  # what is made once for all
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept += [make() for _ in range(clients)]
        return (tracemalloc.get_traced_memory()[0] - before) / clients
    finally:
        tracemalloc.stop()


# Guards against a first line of very many short fields that is kept as objects: 440 of them took 30 MB.
def test_a_first_line_of_very_many_fields_takes_no_more_memory_than_another() -> None:
    bench = Bench(descriptors=1024)
    numbers = iter(range(1000))

    def client_with(line: bytes) -> None:
        establish(bench, line.replace(b"9b1f", b"%d" % next(numbers)))[0].flush()

    few = memory_of(50, lambda: client_with(OPEN))
    many = memory_of(50, lambda: client_with(MANY_FIELDS))
    assert many - few < MAX_MEMORY_OF_A_CLIENT, (
        f"{many:.0f} bytes for {len(MANY_FIELDS)} bytes, {few:.0f} for a short one"
    )


# Guards against lines before the answer that are bounded by their number alone: 440 clients kept 28 MB.
@pytest.mark.parametrize("size", [100, 1000, MAX_LINE_BYTES - 2])
def test_what_a_client_sends_before_its_answer_is_bounded_in_bytes(size: int) -> None:
    bench = Bench()
    client = bench.client()
    client.receive(OPEN)
    line = b"M" * size + b"\r\n"
    sent = 0
    while not client.lines():
        client.receive(line)
        sent += len(line)
    assert sent <= MAX_EARLY_BYTES + 2 * len(line) and client.lines() == [b"ERR"]
    assert not bench.driver.transactions


# Guards against names of servers that are kept for ever: each release brings new ones.
@pytest.mark.parametrize("kind", [api.MembershipKind.CHANGES, api.MembershipKind.FULL])
def test_servers_that_left_the_list_are_forgotten(kind: api.MembershipKind) -> None:
    bench = Bench()
    driver = bench.driver
    driver.balancer = Balancer(replace(SETTINGS, may_probe=True, report_fields=(api.Field.UTILISATION,)), 1)
    for number in range(2 * MAX_GONE_SERVERS):
        name = f"n{number}"
        driver.listed(api.Membership(kind, (api.ServerEntry(name, cell=number, zone=number),)), {name: "127.0.0.1:1"})
        driver.delays.record_answer(name, 1)
        driver.load_lines.read(name, "t", 100.0)
        driver.post(api.ProbeResult(name, api.Result.OK, 1))
        driver.listed(api.Membership(kind, (api.ServerEntry(name, api.ServerState.GONE),)), {})
        bench.reactor.dialled.clear()
    known = (driver.addresses, driver.guard.locations, driver.guard.draining, driver.delays.answered)
    table = driver.balancer.table
    assert (
        max(map(len, (*known, driver.load_lines.servers, driver.load_reports.without_report))) <= MAX_GONE_SERVERS + 2
    )
    assert not table.by_name and len(table.weights._sorted) == len(table._cell_rings) == len(table._zone_rings) == 0
    assert len(table._probe_queue) < 200 and not table.probed


# Guards against what other deployments saw and this one did not: clients that write slowly or stop half way.
@pytest.mark.parametrize("piece", [1, 70, 4000])
def test_unfinished_first_lines_take_a_buffer_each_and_give_it_back(piece: int) -> None:
    bench = Bench(descriptors=1024)
    line = (OPEN[:-2] + b",x=").ljust(4000, b"y")

    def unfinished() -> None:
        client = bench.client()
        for first in range(0, len(line), piece):
            client.receive(line[first : first + piece])

    assert memory_of(50, unfinished) < MAX_MEMORY_OF_A_CLIENT
    assert bench.pool.in_use == 51
    bench.reactor.pump([0.1] * 40)
    assert bench.pool.in_use == 0 and len(bench.pool.free) <= bench.pool.max_free and not bench.driver.transactions


# Guards against what other deployments saw and this one did not: requests with ever new ids, keys, groups and classes.
def test_requests_with_ever_new_names_leave_nothing_behind() -> None:
    bench = Bench(descriptors=1024)
    driver = bench.driver
    driver.balancer = balancer = Balancer(replace(SETTINGS, groups=True), 1)
    bench.list(a="127.0.0.1:1", b="127.0.0.1:2")

    def request(number: int) -> None:
        client = bench.client()
        known = b"browse" if number % 3 else b"c%d" % number
        client.receive(b"OPEN n%d key%d c=%s,d=800,g=group%d,q%d=1\r\n" % (number, number, known, number, number))
        if number % 3:
            server = bench.reactor.dialled[-1].up(bench.reactor)
            server.flush()
            server.receive(b"UP 1\r\n")
        client.lose(error.ConnectionLost())
        bench.reactor.advance(1)
        bench.reactor.dialled.clear()
        bench.reactor.up.clear()

    numbers = iter(range(3000))
    for _ in range(1500):
        request(next(numbers))
    assert memory_of(1000, lambda: request(next(numbers))) < 100, "bytes for each request that is over"
    assert not driver.transactions and not driver.request_ids.open_here() and not driver.load_lines.loads
    assert not balancer.requests and not balancer.held and not balancer.holders and not balancer.awaiting_report
    assert not any(server.connections or server.groups for server in balancer.servers.values())
    assert set(bench.admission.turned_away) <= {"invalid request"}
