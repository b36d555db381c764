"""Workers, the store, comparisons and the hunt: stopped work can be continued, and dead workers are reported."""

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
from scaledeal.lab.experiments.sweep import VariantError, compare_variants, make_jobs, parse_variant, sweep
from scaledeal.lab.hunt import Case, draw_scenario, find_broken_rule, shrink
from scaledeal.lab.hunt.draw import vary_sizes
from scaledeal.lab.hunt.workers import load_factory
from scaledeal.lab.runs import Job, Variant
from scaledeal.lab.runs import worker as workers
from scaledeal.lab.runs.store import Store, StoreError
from scaledeal.lab.scenario.reading import load_text

CASES = sorted((Path(__file__).parent / "lab_cases").glob("*.json"))


def test_a_sweep_plays_the_missing_runs_and_stores_them(tmp_path: Path):
    store = Store(tmp_path / "lab.sqlite")
    few = Variant("few", "", "relays {\n  count = 1\n}\n")
    jobs = make_jobs([text(seconds=2)], [1, 2], [Variant("now"), few], "module")
    first = list(sweep(jobs, store, "a", 2))
    assert [old for _, old in first] == [False] * 4 and not any(outcome.error for outcome, _ in first)
    again = list(sweep(jobs, store, "b", 2))
    assert all(old for _, old in again)
    assert sorted(outcome.key for outcome, _ in again) == sorted(outcome.key for outcome, _ in first)
    rows = compare_variants([outcome for outcome, _ in again], ["now", "few"], lambda outcome: outcome.score)
    assert rows[0].verdict.pairs == 2 and rows[0].second == "few"
    store.close()
    with pytest.raises(StoreError):
        Store(tmp_path)


def test_a_stopped_sweep_starts_no_further_run_and_loses_no_outcome(tmp_path: Path):
    store = Store(tmp_path / "lab.sqlite")
    jobs, done = make_jobs([text(seconds=2)], range(6), [Variant()], "module"), []
    for outcome, _ in sweep(jobs, store, "a", 1, lambda: len(done) >= 2):
        done.append(outcome)
    assert 2 <= len(done) < 6
    kept = Store(tmp_path / "lab.sqlite")
    assert [kept.find(job.key) is not None for job in jobs].count(True) == len(done)
    assert len(list(sweep(jobs, kept, "a", 2))) == 6


def test_a_killed_worker_is_reported_and_its_run_is_played_again_later(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    start_worker = workers._start_worker

    def start_and_kill(job: Job) -> workers.RunningJob:
        running_job = start_worker(job)
        if job.seed == 2:
            running_job.process.kill()
        return running_job

    monkeypatch.setattr(workers, "_start_worker", start_and_kill)
    store = Store(tmp_path / "lab.sqlite")
    jobs = make_jobs([text(seconds=2)], [1, 2, 3], [Variant()], "module")
    outcomes = {outcome.seed: outcome for outcome, _ in sweep(jobs, store, "a", 2)}
    assert "-9" in outcomes[2].error and not outcomes[1].error and not outcomes[3].error
    monkeypatch.undo()
    again = {outcome.seed: (outcome, old) for outcome, old in sweep(jobs, store, "a", 2)}
    assert not again[2][0].error and [again[n][1] for n in (1, 2, 3)] == [True, False, True]


def compare_command(folder: Path, seeds: str) -> list[str]:
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


def test_a_comparison_killed_with_sigkill_continues_with_the_missing_runs(tmp_path: Path):
    call = compare_command(tmp_path, "1-6")
    process = subprocess.Popen(call, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    for line in process.stderr:
        if line.startswith("3/12"):
            process.kill()
            break
    process.wait()
    store = Store(tmp_path / "lab.sqlite")
    stored_count = len(list(store.list_runs()))
    assert 3 <= stored_count < 12
    done = subprocess.run(call, capture_output=True, text=True)
    assert done.returncode == 0 and done.stderr.count("(kept)") >= stored_count, done.stderr
    assert "over 6 pairs" in done.stdout, done.stdout


def test_an_interrupt_ends_a_comparison_after_the_running_jobs(tmp_path: Path):
    call = compare_command(tmp_path, "1-20")
    process = subprocess.Popen(call, stderr=subprocess.PIPE, text=True, start_new_session=True)
    assert process.stderr is not None
    line = process.stderr.readline()
    assert line.startswith("1/40"), line
    os.kill(process.pid, signal.SIGINT)
    rest = process.stderr.read()
    assert process.wait() == 1 and "repeat the command to resume" in rest, rest


def test_the_verdict_follows_from_the_paired_differences():
    noise = np.random.default_rng(3).normal(0, 0.01, 40)
    base = np.random.default_rng(4).normal(0.5, 0.2, 40)
    assert compare(base, base + 0.05 + noise).verdict == "better"
    assert compare(base, base - 0.05 + noise).verdict == "worse"
    unsure = compare(base[:4], base[:4] + [0.02, -0.01, 0.015, -0.012])
    assert unsure.verdict == "can't tell" and unsure.further_seeds > 0, unsure
    assert compare([0.5], [0.6]).verdict == "can't tell"
    assert compare([0.5, 0.5], [0.5, 0.5]).further_seeds == -1
    for bad in (([], []), ([1.0], [1.0, 2.0]), ([float("nan")], [1.0])):
        with pytest.raises(ValueError):
            compare(*bad)


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10_000))
def test_the_interval_contains_the_true_mean_as_often_as_its_level_says(seed: int):
    draw = np.random.default_rng(seed)
    hits = 0
    for _ in range(200):
        verdict = compare(np.zeros(8), draw.normal(0.1, 1.0, 8))
        hits += verdict.low <= 0.1 <= verdict.high
    assert 176 <= hits <= 200, hits  # 95 % of 200, within five standard deviations


@pytest.mark.parametrize(
    ("specification", "reason"),
    [
        ("rev:nowhere", "nowhere"),
        ("file:/none.py", "No such"),
        ("x", "was expected"),
        ("a=file:" + __file__, "be loaded"),
    ],
)
def test_a_variant_that_cannot_be_loaded_is_reported(specification: str, reason: str):
    with pytest.raises(VariantError, match=reason):
        parse_variant(specification)


def test_a_variant_of_an_older_revision_that_fits_no_more_is_reported(tmp_path: Path):
    # Such a variant was loaded, and each of its runs then ended in the middle.
    source = (Path(__file__).parent.parent / "scaledeal/policy.py").read_text()
    older = tmp_path / "policy.py"
    older.write_text(source.replace("self.cold_start.record_report(server.id, ", "self.cold_start.record_report("))
    with pytest.raises(VariantError, match="does not fit"):
        parse_variant(f"old=file:{older}")
    older.write_text(source)
    assert parse_variant(f"same=file:{older}").name == "same"


def test_settings_that_do_not_fit_a_scenario_are_reported_with_their_place():
    with pytest.raises(FileError, match="relays.count"):
        load_text(text(), 'relays {\n  count = "many"\n}\n')


def test_all_errors_of_a_scenario_are_reported_at_once(tmp_path: Path):
    bad = (
        'seconds = "0s"\nzones = ["a", "a"]\nservers {\n  per_core = -3\n  modle = 1\n'
        '  model "m" {\n    speed = 0\n  }\n}\n'
        'class "one" {\n  aim = "2s"\n  deadline = "1s"\n}\ntrouble "hang" {\n  at = "90s"\n  part = 3\n}\n'
        'trouble "flood" {\n  at = "1s"\n}\n'
    )
    (tmp_path / "bad.hcl").write_text(bad)
    checked = CliRunner().invoke(app, ["lab", "check", str(tmp_path / "bad.hcl")])
    assert checked.exit_code == 2
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
        assert place in checked.output, (place, checked.output)


def test_the_commands_run_list_show_and_export(tmp_path: Path):
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


def test_a_case_is_read_back_as_it_was_written(tmp_path: Path):
    for number in range(20):
        case = Case(draw_scenario(np.random.default_rng(number), "module"), number, rule="x")
        case.write(tmp_path / "case.json")
        assert Case.read(tmp_path / "case.json") == case
    (tmp_path / "case.json").write_text("{")
    with pytest.raises(ValueError, match="case.json"):
        Case.read(tmp_path / "case.json")


def test_a_case_is_shrunk_to_what_is_needed_to_reproduce_it():
    case = Case(day(("hang", "crowd", "slow_store", "reload"), overload=True), 1, rule="one attempt")
    factory = load_factory(lab_broken.TWO_AT_ONCE)
    assert find_broken_rule(case, factory) == "one attempt"
    small = shrink(case, lambda tried: find_broken_rule(tried, factory), 120)
    assert find_broken_rule(small, factory) == "one attempt"
    assert len(small.day.trouble) <= 1 and small.day.relays.count == 1, msgspec.to_builtins(small.day.relays)
    assert small.day.clients.load < case.day.clients.load


def test_a_hunt_over_a_scenario_draws_its_sizes_and_keeps_the_cases_that_break_a_rule(tmp_path: Path):
    scenario, sizes = day(("hang", "crowd")), set()
    for number in range(40):
        drawn_day = vary_sizes(np.random.default_rng(number), scenario)
        sizes.add(drawn_day.servers.count)
        assert 0.75 <= drawn_day.clients.load / scenario.clients.load <= 1.25
        assert drawn_day.trouble == scenario.trouble and drawn_day.classes == scenario.classes
    assert sizes == {4, 5, 6}, "a quarter less or more of 5 servers"
    (tmp_path / "small.hcl").write_text(text(seconds=2))
    (tmp_path / "broken.py").write_text(lab_broken.RAISES)
    call = ["lab", "hunt", "--scenario", str(tmp_path / "small.hcl"), "--tries", "2", "--workers", "1"]
    broken = [*call, "--variant", f"file:{tmp_path / 'broken.py'}", "--keep", str(tmp_path)]
    hunted = CliRunner().invoke(app, broken)
    assert hunted.exit_code == 1 and "crash on 2" in hunted.output, hunted.output
    kept = Case.read(next(tmp_path.glob("crash-*.json")))
    assert kept.day.title == "small" and kept.rule == "crash"
    sound = CliRunner().invoke(app, call)
    assert sound.exit_code == 0 and "rules broken: none" in sound.output, sound.output
    assert CliRunner().invoke(app, ["lab", "hunt", "--scenario", "nowhere"]).exit_code == 2


@pytest.mark.parametrize("path", CASES, ids=lambda path: path.stem)
def test_every_kept_case_breaks_its_rule_with_the_planted_fault_and_none_with_the_current_module(path: Path):
    case = Case.read(path)
    name = path.stem.partition("-")[0]
    if name != "mended":  # else the name of a planted fault in lab_broken; mended: a former fault of the module itself
        assert find_broken_rule(case, load_factory(getattr(lab_broken, name))) == case.rule
    assert find_broken_rule(case) == "", "the current module breaks the rule too"


def test_there_are_kept_cases():
    assert len(CASES) >= 3


def test_a_worker_that_blocks_is_killed_after_its_timeout(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(workers, "WORKER_COMMAND", [sys.executable, "-c", "import time; time.sleep(600)"])
    began = time.monotonic()
    outcome = next(iter(workers.play_in_parallel([Job(text(), 1)], 1, timeout_s=0.5)))
    assert "-9" in outcome.error and time.monotonic() - began < 60
