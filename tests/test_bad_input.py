"""Impossible or contradictory values at the network's boundary: discovery lists, load reports, settings."""

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

NOW_S = 5_000.0  # seconds since 1970; the driver's clock is 4,000 s behind
EARLY_START_MS = 4_990_000.0  # Unix time
LATE_START_MS = 4_999_000.0  # Unix time; the server is colder than with the early start
LIVE = api.ServerState.LIVE
DRAINING = api.ServerState.DRAINING
GONE = api.ServerState.GONE


class ListReader:
    """A catalog that reads one list after another, a second apart."""

    def __init__(self) -> None:
        self.catalog, self.now_s = Catalog((), UnixTimeConverter((1000 - 5000) * 1000 * MS)), NOW_S - 1

    def read(self, *entries: dict[str, Any]) -> dict[str, api.ServerEntry]:
        self.now_s += 1
        complete = [{"name": "s", "address": "10.0.0.1:9", **entry} for entry in entries]
        endpoints = msgspec.convert(complete, tuple[Endpoint, ...])
        listed, self.addresses = self.catalog.read(Roster(endpoints=endpoints), self.now_s)
        assert len(listed) == len({entry.server for entry in listed}), "a server is listed twice"
        return {entry.server: entry for entry in listed}


def driver_time(since_ms: float) -> int:
    return int(since_ms * MS) - 4_000_000 * MS


@pytest.mark.parametrize(
    ("lists", "started", "line"),
    [
        ([[LATE_START_MS], [LATE_START_MS]], LATE_START_MS, ""),
        ([[EARLY_START_MS], [LATE_START_MS]], LATE_START_MS, ""),  # a restart
        ([[LATE_START_MS], [EARLY_START_MS]], LATE_START_MS, "since_ms back from 4999000 to 4990000"),
        ([[LATE_START_MS], [EARLY_START_MS], [EARLY_START_MS], [LATE_START_MS]], LATE_START_MS, "since_ms back"),
        ([[LATE_START_MS], [0]], LATE_START_MS, ""),  # 0: started long ago
        ([[0], [LATE_START_MS], [0]], LATE_START_MS, ""),
        ([[LATE_START_MS], [], [], [0]], LATE_START_MS, ""),
        ([[LATE_START_MS], [], [EARLY_START_MS]], LATE_START_MS, "since_ms back"),  # not listed in between
        ([[EARLY_START_MS], [-7]], EARLY_START_MS, "since_ms -7"),
        ([[-7]], NOW_S * 1000, "since_ms -7"),  # the time at which it was first listed
        ([[NOW_S * 1000 + 900], [NOW_S * 1000 + 900]], NOW_S * 1000, ""),  # the clocks of two machines differ
        ([[NOW_S * 1000 + 9000]], NOW_S * 1000, "9.0 s ahead"),
        ([[NOW_S * 1000 + 9000]] * 12, NOW_S * 1000, "9.0 s ahead"),  # also after that time has passed
        ([[EARLY_START_MS], [1e300]], NOW_S * 1000 + 1000, "ahead"),
        ([[NOW_S * 1000 + 9000], [LATE_START_MS]], NOW_S * 1000, "ahead"),
        ([[EARLY_START_MS, LATE_START_MS]], LATE_START_MS, "named twice"),
        ([[LATE_START_MS, EARLY_START_MS]], LATE_START_MS, "named twice"),
    ],
)
def test_a_server_is_as_cold_as_the_latest_start_in_any_list(caplog, lists, started, line):
    # A start that goes back would make a cold server pass for a warm one; a start in the future gives a negative age,
    # which would rank the server before all others.
    caplog.set_level(logging.INFO)
    reader = ListReader()
    for starts_ms in lists:
        listed = reader.read({"name": "other"}, *({"since_ms": start_ms} for start_ms in starts_ms))
    entry = listed["s"]
    assert entry.started == driver_time(started)
    lines = [record.getMessage() for record in caplog.records if record.levelno == logging.WARNING]
    assert len(lines) == bool(line) and all(line in logged for logged in lines), lines


@pytest.mark.parametrize(
    ("entries", "state", "started"),
    [
        ([("active", 0), ("leaving", 0)], DRAINING, 0),
        ([("leaving", 0), ("active", 0)], DRAINING, 0),
        ([("left", 0), ("leaving", 0), ("active", 0)], GONE, 0),
        ([("active", EARLY_START_MS), ("active", EARLY_START_MS)], LIVE, EARLY_START_MS),
        ([("left", 0), ("active", LATE_START_MS)], LIVE, LATE_START_MS),  # it exited and was started again
        ([("leaving", EARLY_START_MS), ("active", LATE_START_MS)], LIVE, LATE_START_MS),
        ([("active", LATE_START_MS), ("leaving", EARLY_START_MS)], DRAINING, LATE_START_MS),
        ([("active", LATE_START_MS), ("active", EARLY_START_MS)], LIVE, LATE_START_MS),
    ],
)
def test_a_server_named_twice_in_a_list_leaves_draining_only_by_a_later_start(caplog, entries, state, started):
    # Otherwise clients would be sent to a server although the same list says that it is draining.
    reader = ListReader()
    listed = reader.read({"name": "a"}, *({"status": status, "since_ms": since} for status, since in entries))
    assert listed["a"].state is LIVE
    assert (listed["s"].state, listed["s"].started) == (state, driver_time(started) if started else 0)
    assert "a server named twice, not taken: s (" in caplog.text


@pytest.mark.parametrize("bad", [0, -1.5, 1e-300, 1e300])
def test_an_impossible_weight_leaves_the_last_valid_one(caplog, bad):
    # An impossible weight would divide by zero in the ranking, or send all clients to one server.
    caplog.set_level(logging.INFO)
    reader = ListReader()
    lists = [reader.read({"weight": weight}, {"name": "new", "weight": bad}) for weight in (3.5, bad, bad)]
    assert [(listed["s"].weight, listed["new"].weight) for listed in lists] == [(3.5, 1.0)] * 3
    reader.read({"weight": 2.0}, {"name": "new", "weight": 1.0})
    lines = [record.getMessage() for record in caplog.records]
    fault = "discovery list: an invalid weight"
    bad_lines = [f"{fault}, not taken: {name} ({bad:g})" for name in ("new", "s")]
    assert lines == [*bad_lines, f"{fault}: no more, after 5"]


@pytest.mark.parametrize("bad", ["10.0.0.1", "10.0.0.1:http", ":9", "10.0.0.1:65536", "10.0.0.1: 9"])
def test_an_address_that_cannot_be_dialled_leaves_the_last_valid_one(caplog, bad):
    # Dialling such an address raises an exception, and the client would get no answer until its deadline.
    reader = ListReader()
    reader.read({"address": bad}, {"name": "a", "address": ""})
    assert reader.addresses == {} and caplog.text.count("an invalid address, not taken: s") == 1


def test_a_run_of_faults_is_logged_once_and_the_memory_of_faults_is_bounded(caplog):
    caplog.set_level(logging.INFO)
    reader = ListReader()
    for first in range(0, 3 * MAX_FAULTY_SERVERS, MAX_FAULTY_SERVERS):
        reader.read(*({"name": f"s{number}", "weight": 0} for number in range(first, first + MAX_FAULTY_SERVERS)))
    weights = reader.catalog.faults["discovery list: an invalid weight"]
    assert len(weights.faulty) == MAX_FAULTY_SERVERS and len(reader.catalog.records) == MAX_SERVER_RECORDS
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 3 and all(f"and {MAX_FAULTY_SERVERS - MAX_NAMED_SERVERS} more" in line for line in lines)


REPORTS = api.Settings(
    classes=(api.RequestClass(aim=1, deadline=1),),
    may_probe=True,
    report_source=api.Source.PROBES,
    report_fields=(api.Field.OTHER, api.Field.INFLIGHT, api.Field.UTILISATION),
)


@pytest.mark.parametrize(
    ("values", "valid"),
    [
        ("eps=0,inflight=7,util=0.5", True),
        ("eps=0,inflight=7,util=99.5", True),
        ("inflight=7,util=0.61,eps=0,new=1", True),
        ("eps=0,inflight=7,util=-0.01", False),
        ("eps=0,inflight=-1,util=0.5", False),
        ("eps=-3,inflight=7,util=1", False),
        ("eps=0,inflight=7,util=100.5", False),
        ("eps=0,inflight=2e9,util=0.5", False),
        *(
            (f"eps=0,inflight=7,util={value}", False)
            for value in ("nan", "inf", "-inf", "1e400", "", "x", "0.5 0.6", "½")
        ),
        ("eps=0,inflight=nan,util=0.5", False),
        ("eps=0,inflight=7,util=0.5,util=0.9", False),
        ("eps=0,inflight=7", False),
        ("", False),
    ],
)
@pytest.mark.parametrize("source", ["probe", "answer"])
def test_an_impossible_load_report_leaves_the_last_valid_one(caplog, source, values, valid):
    # One impossible value would make a server look idle, or exclude it for seconds.
    bench = Bench()
    bench.driver.load_reports = LoadReports(REPORTS)
    report = values.replace("util", "x0").encode()  # the name of the field in the settings

    def send_report(line: bytes) -> tuple[float, ...]:
        if source == "probe":
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

    missing = values in ("", "eps=0,inflight=7")
    for number in range(GOOD_VALUES_TO_RECOVER + 2 if missing else 3):
        assert bool(send_report(report)) is valid, "an empty report leaves the last one in force"
        assert not missing or not caplog.records or number >= GOOD_VALUES_TO_RECOVER - 1, (
            "a server that has just started may have no report yet"
        )
    logged = [record.getMessage() for record in caplog.records if record.name == "scaledeal.reports"]
    assert len(logged) == (not valid and (source == "probe" or not missing)), logged
    assert all(("without a whole load report" if missing else "impossible values") in text for text in logged)
    if logged:
        caplog.set_level(logging.INFO)
        for number in range(2 * GOOD_VALUES_TO_RECOVER):
            if number == GOOD_VALUES_TO_RECOVER - 1:
                send_report(report)  # alternating valid and invalid reports are one fault
            assert send_report(b"eps=0,inflight=7,x0=0.5") == (0.0, 7.0, 0.5)
        recovery_lines = [record.getMessage() for record in caplog.records if record.name == "scaledeal.reports"][1:]
        assert len(recovery_lines) == 1 and recovery_lines[0].endswith(f": no more, after {3 if missing else 4}"), (
            recovery_lines
        )


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "-1", "1e300", "x", "", str(MAX_VALUE * 1.01)])
@pytest.mark.parametrize("first", [True, False])
def test_an_impossible_load_line_leaves_the_last_load_of_the_connection(caplog, value, first):
    # A nan accepted as a load would turn every later sum of loads into nan.
    bench = Bench()
    _, server, name = establish(bench)
    if not first:
        server.receive(b"LOAD 812.5\r\n")
    server.receive(b"LOAD %s\r\n" % value.encode())
    server.receive(b"LOAD %s\r\n" % value.encode())
    notes = [note.amount for note in bench.module.events_of(api.Note)]
    assert notes == ([] if first else [812.5])
    assert bench.driver.load_lines.loads.get(name) == (None if first else 812.5)
    assert caplog.text.count("LOAD lines with an impossible value, not taken: a (") == 1
    server.receive(b"LOAD 900\r\n")
    assert [note.amount for note in bench.module.events_of(api.Note)][-1] == 900


@pytest.mark.parametrize(
    ("siblings", "me", "expected"),
    [(3, 2, 3), (3, 3, 4), (3, 40, 41), (0, 0, 1), (-2, 1, 2), (0.5, 0, 1), (1024, 1023, 1024)],
)
def test_siblings_are_at_least_this_relays_own_number_plus_one(tmp_path: Path, caplog, siblings, me, expected):
    # With too few siblings a relay would take more than its share of what all relays may send to a cold server, or
    # could not start.
    path = tmp_path / "c.json"
    settings = {"Classes": [{"Aim": 1, "Deadline": 1}], "Siblings": siblings, "Me": me}
    path.write_text(json.dumps({"settings": settings}))
    loaded = config.read({"PROXY_CONFIG": str(path), "PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"})
    assert loaded.settings.siblings == expected
    assert ("taken as" in caplog.text) is (int(siblings) != expected)
    faults = checking.find_faults(tmp_path / "scaledeal.hcl", path)
    assert ("Siblings" in str(faults)) is (int(siblings) != expected), faults
