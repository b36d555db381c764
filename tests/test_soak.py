"""The fault soak: its plans, its oracle rule by rule, a mutant that it has to find, and a short seeded run of it."""

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
from scaledeal.lab.soak.oracle import Judge, Rule
from scaledeal.lab.soak.plan import LEAST, MOST, Event, Fault, Plan, draw
from scaledeal.lab.soak.run import run
from scaledeal.lab.soak.shim import ShimUnavailableError

PLAN = msgspec.structs.replace(draw(1), events=())
CLASS = {entry["Semantics"]: entry["Name"] for entry in PLAN.settings["Classes"]}


def test_a_seed_gives_one_plan_of_processes_within_bounds_and_every_fault_is_drawn() -> None:
    plans = [draw(seed) for seed in range(60)]
    assert plans == [draw(seed) for seed in range(60)]
    assert all(LEAST <= plan.relays + plan.servers <= MOST for plan in plans)
    assert {event.fault for plan in plans for event in plan.events} == set(Fault)
    assert all(event.duration <= 0.15 for plan in plans for event in plan.events if event.fault is Fault.PAUSE)


def sound() -> History:
    """Return one request that came up at its second attempt, and was moved in the end."""
    history = History(ended=100.0)
    history.requests.append(
        Request(
            "r",
            CLASS["repeatable"],
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


def request(history: History, **changes: object) -> None:
    history.requests[0] = msgspec.structs.replace(history.requests[0], **changes)


def attempt(history: History, number: int, **changes: object) -> None:
    history.attempts[number] = msgspec.structs.replace(history.attempts[number], **changes)


def unanswered(history: History, by: ClosedBy | None = ClosedBy.RELAY, closed: float = 11.0) -> None:
    request(history, answered=None, answer="", last_line="", closed=closed, closed_by=by)


def crowd_at_a_cold_server(history: History) -> None:
    history.changes.append(StateChange("s2", "active", 40.0, 6, since=1.0))
    history.attempts += [Attempt(f"x{n}", "n0", 1, "s2", 0, 40.1, 40.1 + n / 1000) for n in range(60)]


BROKEN: list[tuple[Rule, Callable[[History], None]]] = [
    (Rule.LOST, lambda h: unanswered(h)),
    (Rule.LOST, lambda h: request(h, answered=11.7)),
    (Rule.LOST, lambda h: unanswered(h, None, 90.0)),
    (Rule.WRONG_ANSWER, lambda h: request(h, answer="UP s9-9")),
    (Rule.AFTER_CLIENT_LEFT, lambda h: unanswered(h, ClosedBy.CLIENT, 10.02)),
    (Rule.AFTER_ANSWER, lambda h: request(h, answered=10.05, answer="ERR")),
    (Rule.SECOND_COPY, lambda h: attempt(h, 0, answered=None, answer="", server_ended=None, relay_ended=10.25)),
    (Rule.RAN_TWICE, lambda h: (request(h, request_class=CLASS["once"]), attempt(h, 0, answer="ERR"))[0]),
    (
        Rule.RAN_TWICE,
        lambda h: (request(h, request_class=CLASS["by_key"]), attempt(h, 0, answer="ERR", first_byte=7.0, cell=1))[0],
    ),
    (
        Rule.UNSAFE_REFUSAL,
        lambda h: (
            request(h, request_class=CLASS["once"], answer="BUSY", answered=10.2),
            attempt(h, 0, answer="ERR"),
            h.attempts.pop(),
        )[0],
    ),
    (Rule.DRAINING, lambda h: attempt(h, 1, first_byte=31.3, complete_at=31.3)),
    (Rule.SLOW_START, crowd_at_a_cold_server),
    (Rule.STALLED, lambda h: request(h, asked_since=12.5)),
    (Rule.STALLED, lambda h: request(h, longest_wait=7.5)),
    (Rule.CUT, lambda h: request(h, last_line="M 4")),
    (Rule.END_HELD_BACK, lambda h: attempt(h, 1, server_ended=18.0)),
    (
        Rule.HELD_AT_KILL,
        lambda h: (request(h, closed=64.0), h.endings.__setitem__(0, Ending("n0", 1, 60.0, 63.7, -9)))[0],
    ),
    (Rule.STALLED_CLIENT, lambda h: h.stalled_clients.append(StalledClient("n0", 1, 12.0, 3.4))),
    (Rule.CRASH, lambda h: h.endings.__setitem__(0, Ending("n0", 1, None, None, 1))),
    (Rule.CRASH, lambda h: h.endings.__setitem__(0, Ending("n0", 1, 60.0, None, 1))),
    (Rule.CRASH, lambda h: h.endings.__setitem__(0, Ending("n0", 1, 60.0, None, -15))),
    (Rule.NOT_READY, lambda h: h.slow_starts.append(("n0", 11.0))),
    (Rule.LOG, lambda h: h.logs["n0"].append("ERROR scaledeal: Unhandled Error")),
    (Rule.LOG, lambda h: h.logs["n0"].append("INFO invariants: 1 late_answer violated")),
]


def test_a_sound_history_breaks_no_rule_and_every_rule_has_a_broken_one() -> None:
    assert Judge(PLAN, sound()).violations() == []
    assert {rule for rule, _ in BROKEN} == set(Rule)


@pytest.mark.parametrize(("rule", "breaks"), BROKEN, ids=[f"{rule.name}-{n}" for n, (rule, _) in enumerate(BROKEN)])
def test_the_oracle_finds_each_rule_broken(rule: Rule, breaks: Callable[[History], None]) -> None:
    history = sound()
    breaks(history)
    assert rule in {violation.rule for violation in Judge(PLAN, history).violations()}


def test_what_a_killed_relay_left_is_excused_and_a_slow_driver_says_nothing() -> None:
    history = sound()
    unanswered(history)
    history.endings[0] = Ending("n0", 1, None, 10.9, -9)
    assert Judge(PLAN, history).violations() == [] and not Judge(PLAN, history).void()
    history.worst_lag = 1.2
    assert "too slow a machine" in Judge(PLAN, history).void()


def test_a_driver_that_was_late_judges_with_wider_limits_and_still_finds_what_was_lost() -> None:
    history = sound()
    request(history, answered=11.9)
    history.worst_lag = 0.4
    assert Judge(PLAN, history).violations() == [] and not Judge(PLAN, history).void()
    history.worst_lag = 0.2
    assert [violation.rule for violation in Judge(PLAN, history).violations()] == [Rule.LOST]
    unanswered(history)
    history.worst_lag = 0.4
    assert [violation.rule for violation in Judge(PLAN, history).violations()] == [Rule.LOST]


def play(plan: Plan, folder: Path, *program: str) -> dict[Rule, int]:
    try:
        result = run(plan, folder, program) if program else run(plan, folder)
    except ShimUnavailableError as error:
        pytest.skip(str(error))
    assert not result.void and result.requests > 100, result.line()
    return result.broken()


@pytest.mark.parametrize("seed", [3, 5, 13])
def test_a_short_soak_holds(seed: int, tmp_path: Path) -> None:
    assert play(draw(seed, seconds=10.0, most=14), tmp_path) == {}


WALL_CLOCK_TIMERS = """
import sys, time
from scaledeal.net.monotonic_reactor import MonotonicReactor
MonotonicReactor.seconds = staticmethod(time.time)
from scaledeal.__main__ import main
sys.exit(main())
"""


def test_the_soak_finds_a_relay_whose_timers_run_on_the_wall_clock(tmp_path: Path) -> None:
    events = (Event(2.0, Fault.HANG, 5.0, servers=(0, 1, 2)), Event(2.5, Fault.WALL_STEP, 9.0, (0, 1, 2), amount=-60.0))
    plan = msgspec.structs.replace(draw(2, seconds=9.0, most=10), events=events)
    broken = play(plan, tmp_path, sys.executable, "-c", WALL_CLOCK_TIMERS)
    assert Rule.LOST in broken or Rule.STALLED in broken, broken


def test_bad_options_are_told(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    for options in (["--seconds", "1"], ["--processes", "99"], ["--folder", str(tmp_path / "file" / "x")]):
        assert CliRunner().invoke(app, ["soak", *options]).exit_code == 2
