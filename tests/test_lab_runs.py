"""Runs in processes of their own, the store, comparisons and the hunt: what is stopped goes on, what dies is told."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import lab_broken
import msgspec
import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lab_small import day, text
from typer.testing import CliRunner

from scaledeal.cli.main import app
from scaledeal.hcl import FileError
from scaledeal.lab.experiments.statistics import compare
from scaledeal.lab.experiments.sweep import VariantError, jobs_of, rows_of, sweep, variant_of
from scaledeal.lab.hunt import Case, drawn, failure_of, shrink
from scaledeal.lab.hunt.draw import around
from scaledeal.lab.hunt.party import factory_of
from scaledeal.lab.runs import Job, Variant
from scaledeal.lab.runs import worker as workers
from scaledeal.lab.runs.store import Store, StoreError
from scaledeal.lab.scenario.reading import load_text

CASES = sorted((Path(__file__).parent / "lab_cases").glob("*.json"))


def test_a_sweep_plays_what_is_missing_and_keeps_it(tmp_path: Path):
    store = Store(tmp_path / "lab.sqlite")
    few = Variant("few", "", "relays {\n  count = 1\n}\n")
    jobs = jobs_of([text(seconds=2)], [1, 2], [Variant("now"), few], "module")
    first = list(sweep(jobs, store, "a", 2))
    assert [old for _, old in first] == [False] * 4 and not any(each.error for each, _ in first)
    again = list(sweep(jobs, store, "b", 2))
    assert all(old for _, old in again)
    assert sorted(each.key for each, _ in again) == sorted(each.key for each, _ in first)
    rows = rows_of([each for each, _ in again], ["now", "few"], lambda each: each.score)
    assert rows[0].verdict.pairs == 2 and rows[0].second == "few"
    store.close()
    with pytest.raises(StoreError):
        Store(tmp_path)


def test_a_sweep_that_is_stopped_starts_nothing_new_and_loses_nothing(tmp_path: Path):
    store = Store(tmp_path / "lab.sqlite")
    jobs, done = jobs_of([text(seconds=2)], range(6), [Variant()], "module"), []
    for outcome, _ in sweep(jobs, store, "a", 1, lambda: len(done) >= 2):
        done.append(outcome)
    assert 2 <= len(done) < 6
    kept = Store(tmp_path / "lab.sqlite")
    assert [kept.find(each.key) is not None for each in jobs].count(True) == len(done)
    assert len(list(sweep(jobs, kept, "a", 2))) == 6


def test_a_worker_that_is_killed_is_told_and_played_again_later(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    begin = workers._begin

    def killed(job: Job) -> workers.Work:
        work = begin(job)
        if job.seed == 2:
            work.process.kill()
        return work

    monkeypatch.setattr(workers, "_begin", killed)
    store = Store(tmp_path / "lab.sqlite")
    jobs = jobs_of([text(seconds=2)], [1, 2, 3], [Variant()], "module")
    outcomes = {each.seed: each for each, _ in sweep(jobs, store, "a", 2)}
    assert "-9" in outcomes[2].error and not outcomes[1].error and not outcomes[3].error
    monkeypatch.undo()
    again = {each.seed: (each, old) for each, old in sweep(jobs, store, "a", 2)}
    assert not again[2][0].error and [again[n][1] for n in (1, 2, 3)] == [True, False, True]


def comparison(folder: Path, seeds: str) -> list[str]:
    (folder / "small.hcl").write_text(text(seconds=3))
    return [
        sys.executable,
        "-m",
        "scaledeal.cli.main",
        "lab",
        "compare",
        str(folder / "small.hcl"),
        "--variant",
        "now",
        "--variant",
        "few=set:relays {;  count = 1;}",
        "--seeds",
        seeds,
        "--workers",
        "1",
        "--store",
        str(folder / "lab.sqlite"),
    ]


def test_a_comparison_that_is_killed_outright_goes_on_from_where_it_was(tmp_path: Path):
    call = comparison(tmp_path, "1-6")
    process = subprocess.Popen(call, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    for line in process.stderr:
        if line.startswith("3/12"):
            process.kill()
            break
    process.wait()
    store = Store(tmp_path / "lab.sqlite")
    there = len(list(store.listed()))
    assert 3 <= there < 12
    done = subprocess.run(call, capture_output=True, text=True)
    assert done.returncode == 0 and done.stderr.count("(kept)") >= there, done.stderr
    assert "over 6 pairs" in done.stdout, done.stdout


def test_an_interrupt_ends_a_comparison_after_what_runs(tmp_path: Path):
    call = comparison(tmp_path, "1-20")
    process = subprocess.Popen(call, stderr=subprocess.PIPE, text=True, start_new_session=True)
    assert process.stderr is not None
    line = process.stderr.readline()
    assert line.startswith("1/40"), line
    os.kill(process.pid, signal.SIGINT)
    rest = process.stderr.read()
    assert process.wait() == 1 and "repeat the command to resume" in rest, rest


def test_statistics_say_what_the_pairs_say():
    noise = np.random.default_rng(3).normal(0, 0.01, 40)
    base = np.random.default_rng(4).normal(0.5, 0.2, 40)
    assert compare(base, base + 0.05 + noise).verdict == "better"
    assert compare(base, base - 0.05 + noise).verdict == "worse"
    unsure = compare(base[:4], base[:4] + [0.02, -0.01, 0.015, -0.012])
    assert unsure.verdict == "can't tell" and unsure.further > 0, unsure
    assert compare([0.5], [0.6]).verdict == "can't tell"
    assert compare([0.5, 0.5], [0.5, 0.5]).further == -1
    for bad in (([], []), ([1.0], [1.0, 2.0]), ([float("nan")], [1.0])):
        with pytest.raises(ValueError):
            compare(*bad)


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10_000))
def test_the_interval_holds_the_truth_about_as_often_as_it_says(seed: int):
    draw = np.random.default_rng(seed)
    held = 0
    for _ in range(200):
        told = compare(np.zeros(8), draw.normal(0.1, 1.0, 8))
        held += told.low <= 0.1 <= told.high
    assert 176 <= held <= 200, held  # 95 %, and five standard deviations


@pytest.mark.parametrize(
    ("told", "why"),
    [
        ("rev:nowhere", "nowhere"),
        ("file:/none.py", "No such"),
        ("x", "was expected"),
        ("a=file:" + __file__, "be taken"),
    ],
)
def test_a_variant_that_can_not_be_had_is_told(told: str, why: str):
    with pytest.raises(VariantError, match=why):
        variant_of(told)


def test_settings_that_do_not_fit_a_scenario_are_told_with_their_place():
    with pytest.raises(FileError, match="relays.count"):
        load_text(text(), 'relays {\n  count = "many"\n}\n')


def test_bad_scenarios_are_told_all_at_once(tmp_path: Path):
    bad = (
        'seconds = "0s"\nzones = ["a", "a"]\nservers {\n  per_core = -3\n  modle = 1\n'
        '  model "m" {\n    speed = 0\n  }\n}\n'
        'class "one" {\n  aim = "2s"\n  deadline = "1s"\n}\ntrouble "hang" {\n  at = "90s"\n  part = 3\n}\n'
        'trouble "flood" {\n  at = "1s"\n}\n'
    )
    (tmp_path / "bad.hcl").write_text(bad)
    told = CliRunner().invoke(app, ["lab", "check", str(tmp_path / "bad.hcl")])
    assert told.exit_code == 2
    for place in (
        "line 1: seconds",
        "line 2: zones",
        "line 4: servers.per_core",
        "line 5: servers.modle",
        'servers.model["m"].speed',
        'class["one"].aim',
        'trouble["hang"].part',
        'trouble["flood"]',
    ):
        assert place in told.output, (place, told.output)


def test_the_commands_play_list_show_and_export(tmp_path: Path):
    run = CliRunner()
    assert "all-incidents" in run.invoke(app, ["lab", "scenarios"]).output
    (tmp_path / "small.hcl").write_text(text(seconds=2))
    played = run.invoke(app, ["lab", "run", str(tmp_path / "small.hcl"), "--seed", "3"])
    assert played.exit_code == 0 and "worst_10s" in played.output, played.output
    (tmp_path / "broken.py").write_text(lab_broken.RAISES)
    broken = ["--variant", f"file:{tmp_path / 'broken.py'}"]
    crashed = run.invoke(app, ["lab", "run", str(tmp_path / "small.hcl"), *broken])
    assert (
        crashed.exit_code == 1 and "crash: ZeroDivisionError" in crashed.output and "reproduce with:" in crashed.output
    )
    assert run.invoke(app, ["lab", "run", "nowhere"]).exit_code == 2
    store = str(tmp_path / "lab.sqlite")
    assert run.invoke(app, ["lab", "results", "--store", store]).exit_code == 2
    args = ["lab", "compare", str(tmp_path / "small.hcl"), "--variant", "now", "--seeds", "1,2", "--store", store]
    assert run.invoke(app, args).exit_code == 0
    listed = run.invoke(app, ["lab", "results", "--store", store]).output
    assert listed.count("small") == 2
    key = listed.split()[0]
    assert "host module" in run.invoke(app, ["lab", "results", "--store", store, "--show", key]).output
    csv = tmp_path / "runs.csv"
    assert run.invoke(app, ["lab", "results", "--store", store, "--export", str(csv)]).exit_code == 0
    assert csv.read_text().startswith("key,at,experiment") and csv.read_text().count("\n") == 3
    assert run.invoke(app, ["lab", "compare", "hang", "--variant", "now", "--seeds", "x"]).exit_code == 2


def test_a_case_keeps_its_day_whole(tmp_path: Path):
    for number in range(20):
        case = Case(drawn(np.random.default_rng(number), "module"), number, rule="x")
        case.write(tmp_path / "case.json")
        assert Case.read(tmp_path / "case.json") == case
    (tmp_path / "case.json").write_text("{")
    with pytest.raises(ValueError, match="case.json"):
        Case.read(tmp_path / "case.json")


def test_a_found_case_is_shrunk_to_what_it_takes():
    case = Case(day(("hang", "crowd", "slow_store", "reload"), harsh=True), 1, rule="one attempt")
    factory = factory_of(lab_broken.TWO_AT_ONCE)
    assert failure_of(case, factory) == "one attempt"
    small = shrink(case, lambda tried: failure_of(tried, factory), 120)
    assert failure_of(small, factory) == "one attempt"
    assert len(small.day.trouble) <= 1 and small.day.relays.count == 1, msgspec.to_builtins(small.day.relays)
    assert small.day.clients.load < case.day.clients.load


def test_a_hunt_over_a_scenario_draws_its_sizes_and_keeps_what_breaks_of_it(tmp_path: Path):
    scenario, sizes = day(("hang", "crowd")), set()
    for number in range(40):
        drawn_day = around(np.random.default_rng(number), scenario)
        sizes.add(drawn_day.servers.count)
        assert 0.75 <= drawn_day.clients.load / scenario.clients.load <= 1.25
        assert drawn_day.trouble == scenario.trouble and drawn_day.classes == scenario.classes
    assert sizes == {4, 5, 6}, "a quarter less or more of 5 servers"
    (tmp_path / "small.hcl").write_text(text(seconds=2))
    (tmp_path / "broken.py").write_text(lab_broken.RAISES)
    call = ["lab", "hunt", "--scenario", str(tmp_path / "small.hcl"), "--tries", "2", "--workers", "1"]
    broken = [*call, "--variant", f"file:{tmp_path / 'broken.py'}", "--keep", str(tmp_path)]
    told = CliRunner().invoke(app, broken)
    assert told.exit_code == 1 and "crash on 2" in told.output, told.output
    kept = Case.read(next(tmp_path.glob("crash-*.json")))
    assert kept.day.title == "small" and kept.rule == "crash"
    sound = CliRunner().invoke(app, call)
    assert sound.exit_code == 0 and "rules broken: none" in sound.output, sound.output
    assert CliRunner().invoke(app, ["lab", "hunt", "--scenario", "nowhere"]).exit_code == 2


@pytest.mark.parametrize("path", CASES, ids=lambda path: path.stem)
def test_every_kept_case_is_told_of_what_is_broken_and_not_of_what_is_sound(path: Path):
    case = Case.read(path)
    name = path.stem.partition("-")[0]
    if name != "mended":  # a planted fault, by its name in lab_broken; mended: a fault of this module's, once
        assert failure_of(case, factory_of(getattr(lab_broken, name))) == case.rule
    assert failure_of(case) == "", "today's module breaks it too"


def test_there_are_kept_cases():
    assert len(CASES) >= 3


def test_patience_ends_a_worker_that_blocks(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(workers, "CALL", [sys.executable, "-c", "import time; time.sleep(600)"])
    began = time.monotonic()
    outcome = next(iter(workers.in_parallel([Job(text(), 1)], 1, patience=0.5)))
    assert "-9" in outcome.error and time.monotonic() - began < 60
