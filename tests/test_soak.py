"""The fault soak: its plans, every rule of its oracle, short seeded runs, and a run that must detect a mutant relay."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from scaledeal.cli.lab import app
from scaledeal.lab.soak.history import (
    Attempt,
    ClosedBy,
    Ending,
    History,
    ListWritten,
    Request,
    StalledClient,
    StateChange,
)
from scaledeal.lab.soak.oracle import Oracle, Rule
from scaledeal.lab.soak.plan import MAX_PROCESSES, MIN_PROCESSES, Event, Fault, Plan, draw_plan
from scaledeal.lab.soak.run import run
from scaledeal.lab.soak.shim import ShimUnavailableError

PLAN = msgspec.structs.replace(draw_plan(1), events=())
CLASS_BY_SEMANTICS = {entry["Semantics"]: entry["Name"] for entry in PLAN.settings["Classes"]}


def test_a_seed_always_draws_the_same_plan_within_bounds_and_all_faults_are_drawn() -> None:
    plans = [draw_plan(seed) for seed in range(60)]
    assert plans == [draw_plan(seed) for seed in range(60)]
    assert all(MIN_PROCESSES <= plan.relays + plan.servers <= MAX_PROCESSES for plan in plans)
    assert {event.fault for plan in plans for event in plan.events} == set(Fault)
    assert all(event.duration <= 0.15 for plan in plans for event in plan.events if event.fault is Fault.PAUSE)


def sound_history() -> History:
    """Return a history with one request, established at its second attempt and finally moved."""
    history = History(ended=100.0)
    history.requests.append(
        Request(
            "r",
            CLASS_BY_SEMANTICS["repeatable"],
            "n0",
            1,
            1.0,
            sent=10.0,
            answered=10.3,
            answer="UP s1-1",
            closed=20.0,
            closed_by=ClosedBy.RELAY,
            last_line="MOVE",
        )
    )
    history.attempts += [
        Attempt("r", "n0", 1, "s0", 0, 10.01, 10.01, answered=10.1, answer="BUSY", server_ended=10.1, relay_ended=10.1),
        Attempt("r", "n0", 1, "s1", 0, 10.2, 10.2, answered=10.29, answer="UP s1-1", relay_ended=20.0),
    ]
    history.changes.append(StateChange("s1", "leaving", 30.0, 5))
    history.lists.append(ListWritten("n0", 1, 30.01, 5))
    history.endings.append(Ending("n0", 1, 60.0, None, 0))
    history.logs["n0"] = ["INFO stopped: 0 requests and connections were left; invariants: none violated"]
    return history


def change_request(history: History, **changes: object) -> None:
    history.requests[0] = msgspec.structs.replace(history.requests[0], **changes)


def change_attempt(history: History, number: int, **changes: object) -> None:
    history.attempts[number] = msgspec.structs.replace(history.attempts[number], **changes)


def leave_unanswered(history: History, by: ClosedBy | None = ClosedBy.RELAY, closed: float = 11.0) -> None:
    change_request(history, answered=None, answer="", last_line="", closed=closed, closed_by=by)


def overload_cold_server(history: History) -> None:
    history.changes.append(StateChange("s2", "active", 40.0, 6, since=1.0))
    history.attempts += [Attempt(f"x{n}", "n0", 1, "s2", 0, 40.1, 40.1 + n / 1000) for n in range(60)]


BREACHES: list[tuple[Rule, Callable[[History], None]]] = [
    (Rule.LOST, lambda h: leave_unanswered(h)),
    (Rule.LOST, lambda h: change_request(h, answered=11.7)),
    (Rule.LOST, lambda h: leave_unanswered(h, None, 90.0)),
    (Rule.WRONG_ANSWER, lambda h: change_request(h, answer="UP s9-9")),
    (Rule.AFTER_CLIENT_LEFT, lambda h: leave_unanswered(h, ClosedBy.CLIENT, 10.02)),
    (Rule.AFTER_ANSWER, lambda h: change_request(h, answered=10.05, answer="ERR")),
    (Rule.SECOND_COPY, lambda h: change_attempt(h, 0, answered=None, answer="", server_ended=None, relay_ended=10.25)),
    (
        Rule.RAN_TWICE,
        lambda h: (change_request(h, request_class=CLASS_BY_SEMANTICS["once"]), change_attempt(h, 0, answer="ERR"))[0],
    ),
    (
        Rule.RAN_TWICE,
        lambda h: (
            change_request(h, request_class=CLASS_BY_SEMANTICS["by_key"]),
            change_attempt(h, 0, answer="ERR", first_byte=7.0, cell=1),
        )[0],
    ),
    (
        Rule.UNSAFE_REFUSAL,
        lambda h: (
            change_request(h, request_class=CLASS_BY_SEMANTICS["once"], answer="BUSY", answered=10.2),
            change_attempt(h, 0, answer="ERR"),
            h.attempts.pop(),
        )[0],
    ),
    (Rule.DRAINING, lambda h: change_attempt(h, 1, first_byte=31.3, complete_at=31.3)),
    (Rule.SLOW_START, overload_cold_server),
    (Rule.STALLED, lambda h: change_request(h, asked_since=12.5)),
    (Rule.STALLED, lambda h: change_request(h, longest_wait=7.5)),
    (Rule.CUT, lambda h: change_request(h, last_line="M 4")),
    (Rule.END_HELD_BACK, lambda h: change_attempt(h, 1, server_ended=18.0)),
    (
        Rule.HELD_AT_KILL,
        lambda h: (change_request(h, closed=64.0), h.endings.__setitem__(0, Ending("n0", 1, 60.0, 63.7, -9)))[0],
    ),
    (Rule.STALLED_CLIENT, lambda h: h.stalled_clients.append(StalledClient("n0", 1, 12.0, 3.4))),
    (Rule.CRASH, lambda h: h.endings.__setitem__(0, Ending("n0", 1, None, None, 1))),
    (Rule.CRASH, lambda h: h.endings.__setitem__(0, Ending("n0", 1, 60.0, None, 1))),
    (Rule.CRASH, lambda h: h.endings.__setitem__(0, Ending("n0", 1, 60.0, None, -15))),
    (Rule.NOT_READY, lambda h: h.slow_starts.append(("n0", 11.0))),
    (Rule.LOG, lambda h: h.logs["n0"].append("ERROR scaledeal: Unhandled Error")),
    (Rule.LOG, lambda h: h.logs["n0"].append("INFO invariants: 1 late_answer violated")),
]


def test_a_sound_history_breaks_no_rule_and_every_rule_has_a_breaking_history() -> None:
    assert Oracle(PLAN, sound_history()).violations() == []
    assert {rule for rule, _ in BREACHES} == set(Rule)


@pytest.mark.parametrize(
    ("rule", "break_rule"), BREACHES, ids=[f"{rule.name}-{n}" for n, (rule, _) in enumerate(BREACHES)]
)
def test_the_oracle_finds_the_breach_of_each_rule(rule: Rule, break_rule: Callable[[History], None]) -> None:
    history = sound_history()
    break_rule(history)
    assert rule in {violation.rule for violation in Oracle(PLAN, history).violations()}


def test_requests_of_a_killed_relay_are_excused_and_a_slow_driver_makes_the_result_void() -> None:
    history = sound_history()
    leave_unanswered(history)
    history.endings[0] = Ending("n0", 1, None, 10.9, -9)
    assert Oracle(PLAN, history).violations() == [] and not Oracle(PLAN, history).void_reason()
    history.worst_lag = 1.2
    assert "too slow a machine" in Oracle(PLAN, history).void_reason()


def test_no_limit_moves_with_the_lag_of_the_driver_and_a_result_beyond_it_is_void() -> None:
    # A late driver once made every limit wider by its lag, up to a second: what a relay did too late in that time held.
    history = sound_history()
    change_request(history, answered=11.9)
    for lag in (0.0, 0.2, 0.4, 0.9, 1.1):
        history.worst_lag = lag
        assert [violation.rule for violation in Oracle(PLAN, history).violations()] == [Rule.LOST]
        assert bool(Oracle(PLAN, history).void_reason()) == (lag > 1.0)


def run_soak(plan: Plan, folder: Path, *command: str) -> dict[Rule, int]:
    try:
        result = run(plan, folder, command) if command else run(plan, folder)
    except ShimUnavailableError as error:
        pytest.skip(str(error))
    assert not result.void and result.requests > 100, result.summary()
    return result.violation_counts()


@pytest.mark.parametrize("seed", [3, 5, 13])
def test_a_short_soak_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    assert run_soak(draw_plan(seed, seconds=10.0, max_processes=14), tmp_path) == {}


WALL_CLOCK_TIMERS_MAIN = """
import sys, time
from scaledeal.net.monotonic_reactor import MonotonicReactor
MonotonicReactor.seconds = staticmethod(time.time)
from scaledeal.__main__ import main
sys.exit(main())
"""


def test_the_soak_detects_a_relay_whose_timers_use_the_wall_clock(tmp_path: Path) -> None:
    events = (Event(2.0, Fault.HANG, 5.0, servers=(0, 1, 2)), Event(2.5, Fault.WALL_STEP, 9.0, (0, 1, 2), amount=-60.0))
    plan = msgspec.structs.replace(draw_plan(2, seconds=9.0, max_processes=10), events=events)
    breaches = run_soak(plan, tmp_path, sys.executable, "-c", WALL_CLOCK_TIMERS_MAIN)
    assert Rule.LOST in breaches or Rule.STALLED in breaches, breaches


def test_bad_options_exit_with_code_2(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    for options in (["--seconds", "1"], ["--processes", "99"], ["--folder", str(tmp_path / "file" / "x")]):
        assert CliRunner().invoke(app, ["soak", *options]).exit_code == 2
