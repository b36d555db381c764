"""The account of a fleet: the cause booked for each kind of loss, the command, and the relay's trace writer."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from scaledeal.cli.main import app
from scaledeal.lab.account import reading, tables
from scaledeal.lab.account.client_histories import ClientHistories, End
from scaledeal.lab.account.ledger import MESSAGE_INTERVAL_S, UNATTRIBUTED, Ledger, split_by_second
from scaledeal.net.trace import Line, Trace

TRACE_START_S = 1_796_000_000.0  # seconds since 1970


def line(at: float, what: str, relay: str = "n0", request: str = "t1", **more: object) -> Line:
    return Line(TRACE_START_S + at, what, relay, request=request, **more)


def start_lines(*relays: str) -> list[Line]:
    settings = {"names": ("a", "b"), "worths": (2.0, 1.0), "aims": (50.0, 50.0), "siblings": 2}
    return [Line(TRACE_START_S, "start", relay, **settings) for relay in relays]


def ask_line(at: float, relay: str = "n0", request: str = "t1", key: str = "k", **more: object) -> Line:
    return line(at, "ask", relay, request, id=f"{relay}{request}", key=key, cls=0, **more)


def booked_losses(*lines: Line) -> dict[str, float]:
    return {
        cause: round(amount, 3)
        for cause, amount in Ledger(sorted(lines, key=lambda line: line.at)).lost_by_cause().items()
    }


def test_time_from_a_refusal_to_the_return_at_another_relay_is_booked_to_the_refusing_rule():
    losses = booked_losses(
        *start_lines("n0", "n1"),
        ask_line(1.0),
        line(1.0, "refuse", why="ladder, by rate", rung=3),
        ask_line(2.5, "n1", again=False),
        line(2.5, "send", "n1", server="s"),
        line(2.52, "up", "n1", server="s"),
        line(9.0, "out", "n1", server="s", result="ok", stood=True),
    )
    assert losses == {"refused: ladder, by rate": 3.0}, losses


def test_waiting_and_failed_attempts_are_booked_separately():
    losses = booked_losses(
        *start_lines("n0"),
        line(0.9, "report", server="s", asked=1.4, request=""),
        ask_line(1.0),
        line(1.3, "send", server="s"),
        line(1.8, "out", server="s", result="timeout"),
        line(1.8, "send", server="z"),
        line(1.82, "up", server="z"),
        line(3.0, "gone"),
    )
    assert losses == {"attempt: timeout, server asked too much": 1.0, "waiting at the relay": 0.6}, losses


def test_a_pending_message_and_its_late_answer_are_one_loss():
    losses = booked_losses(
        *start_lines("n0"),
        ask_line(0.0, server="s"),
        line(1.1, "late", server="s", ms=100.0, why="waits"),
        line(5.0, "late", server="s", ms=4000.0),
        line(20.0, "gone"),
    )
    assert losses == {"late messages, server hung": 8.0}, losses


def test_overlapping_late_messages_are_not_booked_twice():
    late_lines = [line(2.0 + number * 0.5, "late", server="s", ms=300.0) for number in range(9)]
    losses = booked_losses(*start_lines("n0"), ask_line(0.0, server="s"), *late_lines, line(20.0, "gone"))
    late_s = (late_lines[-1].at - 0.3 + MESSAGE_INTERVAL_S) - (late_lines[0].at - 0.3)
    assert losses == {"late messages, server not reported": pytest.approx(2 * late_s, abs=0.01)}, losses


def test_connections_of_a_killed_relay_end_with_its_last_line():
    losses = booked_losses(
        *start_lines("n0", "n1"),
        ask_line(0.0, server="s"),
        line(2.0, "list"),
        *[Line(TRACE_START_S + 5.0, "start", "n0", names=("a",), worths=(2.0,))],
        ask_line(6.0, "n1"),
        line(6.0, "send", "n1", server="s"),
        line(6.01, "up", "n1", server="s"),
        line(7.0, "gone", "n1"),
    )
    assert losses == {"relay gone": 8.0}, losses


def test_a_relay_that_falls_silent_counts_as_gone_without_a_restart():
    histories = ClientHistories()
    for trace_line in [*start_lines("n0", "n1"), ask_line(0.0, server="s"), line(9.0, "list", "n1", "")]:
        histories.add(trace_line)
    histories.close()
    assert histories.by_key["k"][0].end is End.RELAY_GONE


def test_a_client_that_never_returns_is_booked_for_a_bounded_time():
    losses = booked_losses(
        *start_lines("n0"), ask_line(1.0), line(1.0, "refuse", why="x"), line(60.0, "list", request="")
    )
    assert losses == {"refused: x, never came again": 20.0}, losses


def test_time_after_a_request_without_an_end_is_unattributed():
    losses = booked_losses(
        *start_lines("n0", "n1"),
        ask_line(1.0),
        line(1.0, "send", server="s"),
        line(1.0, "up", server="s"),
        ask_line(4.0, "n1"),
        line(4.0, "refuse", "n1", why="x"),
        line(4.5, "list", request=""),
    )
    assert losses[UNATTRIBUTED] == 6.0, losses  # from the last line at 1 s until the client returned at 4 s
    assert losses["refused: x, never came again"] == 1.0, losses


def test_prices_and_returns_are_counted_over_all_relays():
    lines = [
        *start_lines("n0", "n1"),
        ask_line(1.0),
        line(1.0, "send", server="s", far=True),
        line(1.0, "up", server="s"),
        line(2.0, "move", why="asked too much"),
        ask_line(2.4, "n1", again=True),
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
    assert dict(ledger.return_causes) == {"moved: asked too much": 1} and ledger.count_returns()[0] == {2: 1}


def test_the_order_of_files_does_not_change_the_account():
    lines = [
        *start_lines("n0", "n1"),
        ask_line(1.0),
        line(1.2, "refuse", why="x"),
        ask_line(3.0, "n1"),
        line(3.1, "refuse", "n1", why="y"),
    ]
    files = [
        b"".join(b"0.1 TRACE " + msgspec.json.encode(each) + b"\n" for each in lines if each.relay == relay)
        for relay in ("n0", "n1")
    ]
    first, second = (reading.decode(order) for order in (files, files[::-1]))
    assert Ledger(first.lines).lost_by_cause() == Ledger(second.lines).lost_by_cause() != {}


@given(st.binary(max_size=200), st.integers(0, 80))
def test_undecodable_lines_are_counted_and_the_others_are_read(noise: bytes, cut: int):
    complete = b"1.0 TRACE " + msgspec.json.encode(ask_line(1.0))
    trace = reading.decode(
        [complete + b"\n" + noise.replace(b"TRACE", b"") + b"\n" + complete[: len(complete) - 1 - cut]]
    )
    assert sum(each.key == "k" for each in trace.lines) >= 1
    assert len(trace.lines) + trace.spoilt >= 1


@given(st.floats(0, 100), st.floats(0, 20))
def test_the_parts_of_a_span_by_second_sum_to_its_length(began: float, length: float):
    parts = list(split_by_second(began, began + length))
    assert sum(part for _, part in parts) == pytest.approx(length, abs=1e-6)
    assert all(0 <= part <= 1 + 1e-9 for _, part in parts)


def test_the_command_prints_accounts_and_histories_and_refuses_bad_folders(tmp_path):
    run = CliRunner()
    bad = run.invoke(app, ["lab", "account", str(tmp_path / "none")])
    assert bad.exit_code == 2 and "no such" in bad.output
    (tmp_path / "n0.log").write_text("INFO nothing\n")
    empty = run.invoke(app, ["lab", "account", str(tmp_path)])
    assert empty.exit_code == 2 and "PROXY_TRACE" in empty.output
    lines = [
        *start_lines("n0"),
        ask_line(1.0),
        line(1.0, "send", server="s", told_ms=20.0, asked=0.4),
        line(1.2, "refuse", why="x"),
        line(2.0, "list", request=""),
    ]
    (tmp_path / "n0.log").write_bytes(b"".join(b"TRACE " + msgspec.json.encode(each) + b"\n" for each in lines))
    text = run.invoke(app, ["lab", "account", str(tmp_path)])
    assert text.exit_code == 0 and "refused: x" in text.output, text.output
    account = msgspec.json.decode(run.invoke(app, ["lab", "account", "--json", str(tmp_path)]).stdout)
    assert account["prices"]["attempts"] == 1 and account["unattributed_share"] == 0
    assert (
        "asked 0.40 of capacity, reported 20 ms ago"
        in run.invoke(app, ["lab", "account", str(tmp_path), "--follow", "n0t1"]).output
    )
    assert run.invoke(app, ["lab", "account", str(tmp_path), "--follow", "nobody"]).exit_code == 2
    picture = tmp_path / "a.svg"
    assert run.invoke(app, ["lab", "account", str(tmp_path), "--plot", str(picture)]).exit_code == 0
    assert b"<svg" in picture.read_bytes()
    assert tables.table(("a", "b"), [("x", 1.0), ("yy", 22.5)])[1:] == ["x    1.00", "yy  22.50"]


def test_connection_time_at_a_server_that_any_relay_reports_overloaded_is_lost():
    losses = booked_losses(
        *start_lines("n0", "n1"),
        ask_line(0.0, server="s"),
        line(3.0, "report", "n1", server="s", asked=1.6, request=""),
        line(4.0, "report", "n1", server="s", asked=0.5, request=""),
        line(6.0, "slow", "n1", server="s", ms=700.0, request=""),
        line(9.0, "late", server="s", ms=1500.0),
        line(20.0, "gone"),
    )
    # The note of a slow message counts for 2 s, until 8 s; the late message, sent at 7.5 s, counts from 8 to 9.5 s.
    assert losses == {
        "standing at a server slow": 4.0,
        "late messages, server with room": 3.0,
        "standing at a server asked too much": 2.0,
    }, losses


def test_a_trace_that_cannot_be_written_ends_without_an_error():
    written: list[bytes] = []

    def write_to_full_disk(line: bytes) -> None:
        written.append(line)
        raise OSError(28, "No space left on device")

    trace = Trace("n0", write_to_full_disk, 0)
    trace.write_line(1, "watch")
    trace.write_line(2, "watch")
    assert len(written) == 1, "the trace was still written after the disk was full"
