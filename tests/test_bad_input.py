"""Values that can't be, or that contradict each other, at the network's boundary: lists, load reports, settings."""

from __future__ import annotations

import json
import logging
from pathlib import Path
from typing import Any

import msgspec
import pytest
from netfakes import MS, Bench
from test_net_parts import establish

from scaledeal import interface as api
from scaledeal.cli import checking
from scaledeal.net import config
from scaledeal.net.fault_log import GOOD_VALUES_TO_RECOVER, MAX_FAULTY_SERVERS, MAX_NAMED_SERVERS
from scaledeal.net.load_lines import MAX_VALUE
from scaledeal.net.load_reports import LoadReports
from scaledeal.net.roster import MAX_SERVER_RECORDS, Catalog, Endpoint, Roster, UnixTimeConverter

NOW = 5_000.0  # seconds since 1970; the driver's clock is 4,000 s behind
BACK, COLD = 4_990_000.0, 4_999_000.0  # two starts, in Unix ms
LIVE, DRAINING, GONE = api.ServerState.LIVE, api.ServerState.DRAINING, api.ServerState.GONE


class Lists:
    """A catalog, and the lists that it is given a second after one another."""

    def __init__(self) -> None:
        self.catalog, self.now = Catalog((), UnixTimeConverter((1000 - 5000) * 1000 * MS)), NOW - 1

    def read(self, *entries: dict[str, Any]) -> dict[str, api.ServerEntry]:
        self.now += 1
        whole = [{"name": "s", "address": "10.0.0.1:9", **each} for each in entries]
        told = msgspec.convert(whole, tuple[Endpoint, ...])
        listed, self.addresses = self.catalog.read(Roster(endpoints=told), self.now)
        assert len(listed) == len({each.server for each in listed}), "a server was told twice"
        return {each.server: each for each in listed}


def moment(since_ms: float) -> int:
    return int(since_ms * MS) - 4_000_000 * MS


@pytest.mark.parametrize(
    ("lists", "started", "line"),
    [
        ([[COLD], [COLD]], COLD, ""),
        ([[BACK], [COLD]], COLD, ""),  # a restart
        ([[COLD], [BACK]], COLD, "since_ms back from 4999000 to 4990000"),
        ([[COLD], [BACK], [BACK], [COLD]], COLD, "since_ms back"),
        ([[COLD], [0]], COLD, ""),  # by now it is long ago
        ([[0], [COLD], [0]], COLD, ""),
        ([[COLD], [], [], [0]], COLD, ""),
        ([[COLD], [], [BACK]], COLD, "since_ms back"),  # it was not listed meanwhile
        ([[BACK], [-7]], BACK, "since_ms -7"),
        ([[-7]], NOW * 1000, "since_ms -7"),  # when it was first heard of
        ([[NOW * 1000 + 900], [NOW * 1000 + 900]], NOW * 1000, ""),  # two clocks that differ
        ([[NOW * 1000 + 9000]], NOW * 1000, "9.0 s ahead"),
        ([[NOW * 1000 + 9000]] * 12, NOW * 1000, "9.0 s ahead"),  # also once that moment has come
        ([[BACK], [1e300]], NOW * 1000 + 1000, "ahead"),
        ([[NOW * 1000 + 9000], [COLD]], NOW * 1000, "ahead"),
        ([[BACK, COLD]], COLD, "named twice"),
        ([[COLD, BACK]], COLD, "named twice"),
    ],
)
def test_a_server_is_as_cold_as_any_list_has_told(caplog, lists, started, line):
    # Guards against a cold server taken for a warm one, or ranked before all others by an age below 0.
    caplog.set_level(logging.INFO)
    known = Lists()
    for starts in lists:
        listed = known.read({"name": "other"}, *({"since_ms": each} for each in starts))
    told = listed["s"]
    assert told.started == moment(started)
    lines = [each.getMessage() for each in caplog.records if each.levelno == logging.WARNING]
    assert len(lines) == bool(line) and all(line in each for each in lines), lines


@pytest.mark.parametrize(
    ("entries", "state", "started"),
    [
        ([("active", 0), ("leaving", 0)], DRAINING, 0),
        ([("leaving", 0), ("active", 0)], DRAINING, 0),
        ([("left", 0), ("leaving", 0), ("active", 0)], GONE, 0),
        ([("active", BACK), ("active", BACK)], LIVE, BACK),
        ([("left", 0), ("active", COLD)], LIVE, COLD),  # it ended and came back
        ([("leaving", BACK), ("active", COLD)], LIVE, COLD),
        ([("active", COLD), ("leaving", BACK)], DRAINING, COLD),
        ([("active", COLD), ("active", BACK)], LIVE, COLD),
    ],
)
def test_a_server_named_twice_in_a_list_is_as_far_on_its_way_out_as_its_process_is(caplog, entries, state, started):
    # Guards against a server to which clients go though the same list tells that it drains.
    known = Lists()
    told = known.read({"name": "a"}, *({"status": status, "since_ms": since} for status, since in entries))
    assert told["a"].state is LIVE
    assert (told["s"].state, told["s"].started) == (state, moment(started) if started else 0)
    assert "a server named twice, not taken: s (" in caplog.text


@pytest.mark.parametrize("bad", [0, -1.5, 1e-300, 1e300])
def test_a_weight_that_cannot_be_leaves_the_last_good_one(caplog, bad):
    # Guards against a ranking by weight that divides by nothing, or that sends all to one server.
    caplog.set_level(logging.INFO)
    known = Lists()
    weights = [known.read({"weight": weight}, {"name": "new", "weight": bad}) for weight in (3.5, bad, bad)]
    assert [(each["s"].weight, each["new"].weight) for each in weights] == [(3.5, 1.0)] * 3
    known.read({"weight": 2.0}, {"name": "new", "weight": 1.0})
    lines = [each.getMessage() for each in caplog.records]
    what = "discovery list: an invalid weight"
    bad_at = [f"{what}, not taken: {name} ({bad:g})" for name in ("new", "s")]
    assert lines == [*bad_at, f"{what}: no more, after 5"]


@pytest.mark.parametrize("bad", ["10.0.0.1", "10.0.0.1:http", ":9", "10.0.0.1:65536", "10.0.0.1: 9"])
def test_an_address_that_cannot_be_dialled_leaves_the_last_good_one(caplog, bad):
    # Guards against an attempt that ends in an exception, and a client that is answered at its deadline.
    known = Lists()
    known.read({"address": bad}, {"name": "a", "address": ""})
    assert known.addresses == {} and caplog.text.count("an invalid address, not taken: s") == 1


def test_faults_are_logged_once_for_a_row_and_what_is_kept_of_them_is_bounded(caplog):
    caplog.set_level(logging.INFO)
    known = Lists()
    for first in range(0, 3 * MAX_FAULTY_SERVERS, MAX_FAULTY_SERVERS):
        known.read(*({"name": f"s{number}", "weight": 0} for number in range(first, first + MAX_FAULTY_SERVERS)))
    weights = known.catalog.faults["discovery list: an invalid weight"]
    assert len(weights.faulty) == MAX_FAULTY_SERVERS and len(known.catalog.records) == MAX_SERVER_RECORDS
    lines = [each.getMessage() for each in caplog.records]
    assert len(lines) == 3 and all(f"and {MAX_FAULTY_SERVERS - MAX_NAMED_SERVERS} more" in line for line in lines)


REPORTS = api.Settings(
    classes=(api.RequestClass(aim=1, deadline=1),),
    may_probe=True,
    report_source=api.Source.PROBES,
    report_fields=(api.Field.OTHER, api.Field.INFLIGHT, api.Field.UTILISATION),
)


@pytest.mark.parametrize(
    ("words", "good"),
    [
        ("eps=0,inflight=7,util=0.5", True),
        ("eps=0,inflight=7,util=99.5", True),
        ("inflight=7,util=0.61,eps=0,new=1", True),
        ("eps=0,inflight=7,util=-0.01", False),
        ("eps=0,inflight=-1,util=0.5", False),
        ("eps=-3,inflight=7,util=1", False),
        ("eps=0,inflight=7,util=100.5", False),
        ("eps=0,inflight=2e9,util=0.5", False),
        *((f"eps=0,inflight=7,util={odd}", False) for odd in ("nan", "inf", "-inf", "1e400", "", "x", "0.5 0.6", "½")),
        ("eps=0,inflight=nan,util=0.5", False),
        ("eps=0,inflight=7,util=0.5,util=0.9", False),
        ("eps=0,inflight=7", False),
        ("", False),
    ],
)
@pytest.mark.parametrize("how", ["probe", "answer"])
def test_a_load_report_that_cannot_be_leaves_the_last_good_one(caplog, how, words, good):
    # Guards against a server that looks idle, or that is passed over for seconds, by one value that is no such value.
    bench = Bench()
    bench.driver.load_reports = LoadReports(REPORTS)
    wire = words.replace("util", "x0").encode()  # the settings' own word for it

    def tell(line: bytes) -> tuple[float, ...]:
        if how == "probe":
            bench.act(api.Probe("a"))
            server = bench.wires()[0] if bench.wires() else bench.reactor.dialled[0].up(bench.reactor)
            server.receive(b"PONG " + line + b"\r\n")
            return bench.module.events_of(api.ProbeResult)[-1].report
        client, server, _ = establish(bench)
        server.receive(b"BYE " + line + b"\r\n")
        client.flush()
        server.flush()
        bench.reactor.advance(1)
        return bench.module.events_of(api.Outcome)[-1].report

    missing = words in ("", "eps=0,inflight=7")
    for number in range(GOOD_VALUES_TO_RECOVER + 2 if missing else 3):
        assert bool(tell(wire)) is good, "an empty report leaves the last one in force"
        assert not missing or not caplog.records or number >= GOOD_VALUES_TO_RECOVER - 1, (
            "a server that has just started has none yet"
        )
    said = [each.getMessage() for each in caplog.records if each.name == "scaledeal.reports"]
    assert len(said) == (not good and (how == "probe" or not missing)), said
    assert all(("without a whole load report" if missing else "impossible values") in each for each in said)
    if said:
        caplog.set_level(logging.INFO)
        for number in range(2 * GOOD_VALUES_TO_RECOVER):
            if number == GOOD_VALUES_TO_RECOVER - 1:
                tell(wire)  # a server that tells both by turns is no new fault each time
            assert tell(b"eps=0,inflight=7,x0=0.5") == (0.0, 7.0, 0.5)
        more = [each.getMessage() for each in caplog.records if each.name == "scaledeal.reports"][1:]
        assert len(more) == 1 and more[0].endswith(f": no more, after {3 if missing else 4}"), more


@pytest.mark.parametrize("odd", ["nan", "inf", "-inf", "-1", "1e300", "x", "", str(MAX_VALUE * 1.01)])
@pytest.mark.parametrize("first", [True, False])
def test_a_load_line_that_cannot_be_leaves_the_connections_last_load(caplog, odd, first):
    # Guards against one line after which no sum of loads is a number any more: it passed for a load.
    bench = Bench()
    _, server, name = establish(bench)
    if not first:
        server.receive(b"LOAD 812.5\r\n")
    server.receive(b"LOAD %s\r\n" % odd.encode())
    server.receive(b"LOAD %s\r\n" % odd.encode())
    notes = [each.amount for each in bench.module.events_of(api.Note)]
    assert notes == ([] if first else [812.5])
    assert bench.driver.load_lines.loads.get(name) == (None if first else 812.5)
    assert caplog.text.count("LOAD lines with an impossible value, not taken: a (") == 1
    server.receive(b"LOAD 900\r\n")
    assert [each.amount for each in bench.module.events_of(api.Note)][-1] == 900


@pytest.mark.parametrize(
    ("siblings", "me", "taken"),
    [(3, 2, 3), (3, 3, 4), (3, 40, 41), (0, 0, 1), (-2, 1, 2), (0.5, 0, 1), (1024, 1023, 1024)],
)
def test_siblings_are_no_fewer_than_this_relays_own_number_shows(tmp_path: Path, caplog, siblings, me, taken):
    # Guards against a relay that takes more than its part of what all may send a cold server, or that can't start.
    path = tmp_path / "c.json"
    told = {"Classes": [{"Aim": 1, "Deadline": 1}], "Siblings": siblings, "Me": me}
    path.write_text(json.dumps({"settings": told}))
    read = config.read({"PROXY_CONFIG": str(path), "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"})
    assert read.settings.siblings == taken
    assert ("taken as" in caplog.text) is (int(siblings) != taken)
    found = checking.faults(tmp_path / "scaledeal.hcl", path)
    assert ("Siblings" in str(found)) is (int(siblings) != taken), found
