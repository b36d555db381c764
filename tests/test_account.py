"""The account over a fleet: each cause booked from lines that relays wrote, and a relay that writes them."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from scaledeal.cli.main import app
from scaledeal.lab.account import reading, tables
from scaledeal.lab.account.journeys import End, Journeys
from scaledeal.lab.account.ledger import MESSAGES, UNKNOWN, Ledger, spread
from scaledeal.net.trace import Line, Trace

T = 1_796_000_000.0


def line(at: float, what: str, relay: str = "n0", request: str = "t1", **more: object) -> Line:
    return Line(T + at, what, relay, request=request, **more)


def starts(*relays: str) -> list[Line]:
    told = {"names": ("a", "b"), "worths": (2.0, 1.0), "aims": (50.0, 50.0), "siblings": 2}
    return [Line(T, "start", relay, **told) for relay in relays]


def ask(at: float, relay: str = "n0", request: str = "t1", key: str = "k", **more: object) -> Line:
    return line(at, "ask", relay, request, id=f"{relay}{request}", key=key, cls=0, **more)


def lost(*lines: Line) -> dict[str, float]:
    return {cause: round(amount, 3) for cause, amount in Ledger(sorted(lines, key=lambda each: each.at)).lost().items()}


def test_time_between_a_refusal_and_the_return_at_another_relay_is_booked_to_its_rule():
    told = lost(
        *starts("n0", "n1"),
        ask(1.0),
        line(1.0, "refuse", why="ladder, by rate", rung=3),
        ask(2.5, "n1", again=False),
        line(2.5, "send", "n1", server="s"),
        line(2.52, "up", "n1", server="s"),
        line(9.0, "out", "n1", server="s", result="ok", stood=True),
    )
    assert told == {"refused: ladder, by rate": 3.0}, told


def test_waiting_and_attempts_that_fail_are_told_apart():
    told = lost(
        *starts("n0"),
        line(0.9, "report", server="s", asked=1.4, request=""),
        ask(1.0),
        line(1.3, "send", server="s"),
        line(1.8, "out", server="s", result="timeout"),
        line(1.8, "send", server="z"),
        line(1.82, "up", server="z"),
        line(3.0, "gone"),
    )
    assert told == {"attempt: timeout, server asked too much": 1.0, "waiting at the relay": 0.6}, told


def test_a_message_that_waits_and_its_answer_are_one_loss():
    told = lost(
        *starts("n0"),
        ask(0.0, server="s"),
        line(1.1, "late", server="s", ms=100.0, why="waits"),
        line(5.0, "late", server="s", ms=4000.0),
        line(20.0, "gone"),
    )
    assert told == {"late messages, server hung": 8.0}, told


def test_late_messages_never_count_a_moment_twice():
    times = [line(2.0 + n * 0.5, "late", server="s", ms=300.0) for n in range(9)]
    told = lost(*starts("n0"), ask(0.0, server="s"), *times, line(20.0, "gone"))
    whole = (times[-1].at - 0.3 + MESSAGES) - (times[0].at - 0.3)
    assert told == {"late messages, server not reported": pytest.approx(2 * whole, abs=0.01)}, told


def test_connections_of_a_killed_relay_end_with_its_last_line():
    told = lost(
        *starts("n0", "n1"),
        ask(0.0, server="s"),
        line(2.0, "list"),
        *[Line(T + 5.0, "start", "n0", names=("a",), worths=(2.0,))],
        ask(6.0, "n1"),
        line(6.0, "send", "n1", server="s"),
        line(6.01, "up", "n1", server="s"),
        line(7.0, "gone", "n1"),
    )
    assert told == {"relay gone": 8.0}, told


def test_a_relay_that_falls_silent_is_gone_though_it_never_starts_again():
    journeys = Journeys()
    for each in [*starts("n0", "n1"), ask(0.0, server="s"), line(9.0, "list", "n1", "")]:
        journeys.take(each)
    journeys.close()
    assert journeys.by_key["k"][0].end is End.RELAY_GONE


def test_a_client_that_never_comes_again_is_booked_for_a_bounded_time():
    told = lost(*starts("n0"), ask(1.0), line(1.0, "refuse", why="x"), line(60.0, "list", request=""))
    assert told == {"refused: x, never came again": 20.0}, told


def test_what_can_not_be_told_is_a_line_of_its_own():
    told = lost(
        *starts("n0", "n1"),
        ask(1.0),
        line(1.0, "send", server="s"),
        line(1.0, "up", server="s"),
        ask(4.0, "n1"),
        line(4.0, "refuse", "n1", why="x"),
        line(4.5, "list", request=""),
    )
    assert told[UNKNOWN] == 6.0, told  # from its last line at 1 s until it came again at 4 s
    assert told["refused: x, never came again"] == 1.0, told


def test_prices_and_the_storm_are_counted_over_relays():
    lines = [
        *starts("n0", "n1"),
        ask(1.0),
        line(1.0, "send", server="s", far=True),
        line(1.0, "up", server="s"),
        line(2.0, "move", why="asked too much"),
        ask(2.4, "n1", again=True),
        line(2.4, "send", "n1", server="z"),
        line(2.6, "out", "n1", server="z", result="full"),
        line(2.6, "send", "n1", server="s"),
        line(2.7, "up", "n1", server="s"),
        line(3.0, "probe", server="s", request=""),
        line(3.0, "watch", request=""),
    ]
    ledger = Ledger(lines)
    p = ledger.prices
    assert (p.firsts, p.again, p.attempts, p.wasted, p.far, p.probes, p.calls) == (1, 1, 3, 1, 1, 1, 1)
    assert dict(ledger.returns) == {"moved: asked too much": 1} and ledger.storm()[0] == {2: 1}


def test_the_same_lines_in_any_file_order_give_the_same_account():
    lines = [
        *starts("n0", "n1"),
        ask(1.0),
        line(1.2, "refuse", why="x"),
        ask(3.0, "n1"),
        line(3.1, "refuse", "n1", why="y"),
    ]
    files = [
        b"".join(b"0.1 TRACE " + msgspec.json.encode(each) + b"\n" for each in lines if each.relay == relay)
        for relay in ("n0", "n1")
    ]
    first, second = (reading.decode(order) for order in (files, files[::-1]))
    assert Ledger(first.lines).lost() == Ledger(second.lines).lost() != {}


@given(st.binary(max_size=200), st.integers(0, 80))
def test_spoilt_lines_are_counted_and_the_rest_is_read(noise: bytes, cut: int):
    whole = b"1.0 TRACE " + msgspec.json.encode(ask(1.0))
    trace = reading.decode([whole + b"\n" + noise.replace(b"TRACE", b"") + b"\n" + whole[: len(whole) - 1 - cut]])
    assert sum(each.key == "k" for each in trace.lines) >= 1
    assert len(trace.lines) + trace.spoilt >= 1


@given(st.floats(0, 100), st.floats(0, 20))
def test_spreading_over_seconds_loses_nothing(began: float, length: float):
    parts = list(spread(began, began + length))
    assert sum(part for _, part in parts) == pytest.approx(length, abs=1e-6)
    assert all(0 <= part <= 1 + 1e-9 for _, part in parts)


def test_the_command_tells_accounts_stories_and_bad_folders(tmp_path):
    run = CliRunner()
    bad = run.invoke(app, ["lab", "account", str(tmp_path / "none")])
    assert bad.exit_code == 2 and "no such" in bad.output
    (tmp_path / "n0.log").write_text("INFO nothing\n")
    empty = run.invoke(app, ["lab", "account", str(tmp_path)])
    assert empty.exit_code == 2 and "PROXY_TRACE" in empty.output
    lines = [
        *starts("n0"),
        ask(1.0),
        line(1.0, "send", server="s", told_ms=20.0, asked=0.4),
        line(1.2, "refuse", why="x"),
        line(2.0, "list", request=""),
    ]
    (tmp_path / "n0.log").write_bytes(b"".join(b"TRACE " + msgspec.json.encode(each) + b"\n" for each in lines))
    text = run.invoke(app, ["lab", "account", str(tmp_path)])
    assert text.exit_code == 0 and "refused: x" in text.output, text.output
    told = msgspec.json.decode(run.invoke(app, ["lab", "account", "--json", str(tmp_path)]).stdout)
    assert told["prices"]["attempts"] == 1 and told["unattributed_share"] == 0
    assert "asked 0.40, told 20 ms ago" in run.invoke(app, ["lab", "account", str(tmp_path), "--follow", "n0t1"]).output
    assert run.invoke(app, ["lab", "account", str(tmp_path), "--follow", "nobody"]).exit_code == 2
    picture = tmp_path / "a.svg"
    assert run.invoke(app, ["lab", "account", str(tmp_path), "--plot", str(picture)]).exit_code == 0
    assert b"<svg" in picture.read_bytes()
    assert tables.table(("a", "b"), [("x", 1.0), ("yy", 22.5)])[1:] == ["x    1.00", "yy  22.50"]


def test_a_connection_at_a_server_that_any_relay_heard_is_overloaded_is_lost_time():
    told = lost(
        *starts("n0", "n1"),
        ask(0.0, server="s"),
        line(3.0, "report", "n1", server="s", asked=1.6, request=""),
        line(4.0, "report", "n1", server="s", asked=0.5, request=""),
        line(6.0, "slow", "n1", server="s", ms=700.0, request=""),
        line(9.0, "late", server="s", ms=1500.0),
        line(20.0, "gone"),
    )
    # From 8 to 9.5 s the late message takes over from the note, which is told for 2 s.
    assert told == {
        "standing at a server slow": 4.0,
        "late messages, server with room": 3.0,
        "standing at a server asked too much": 2.0,
    }, told


def test_a_trace_that_can_not_be_written_ends_and_takes_nothing_along():
    written: list[bytes] = []

    def full(line: bytes) -> None:
        written.append(line)
        raise OSError(28, "No space left on device")

    trace = Trace("n0", full, 0)
    trace.write_line(1, "watch")
    trace.write_line(2, "watch")
    assert len(written) == 1, "written on after the disk was full"
