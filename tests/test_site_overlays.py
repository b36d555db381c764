"""The overlays of other deployments: what they change of a site file, and what is told of a bad one."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

SITES = Path(__file__).parent.parent / "deploy" / "sites"
BASE = """name = "base"
[net]
zones = ["a", "b"]
[prices]
moves = 0.1
[[class]]
name = "one"
worth = 1
[[class]]
name = "two"
worth = 2
"""


def run(folder: Path, overlay: str, base: str | None = BASE, beside: bool = True) -> tuple[int, str]:
    """Run the script of a copy of the folder, with one overlay, on a kit of one base."""
    kit, here = folder / "kit", folder / "sites"
    (kit / "at").mkdir(parents=True)
    here.mkdir()
    if base is not None:
        (kit / "at" / "base.toml").write_text(base)
    for name in ("real.json", "wire.json", "unlock.txt") if beside else ():
        (kit / "at" / name).write_text(f"this is {name}")
    (here / "write.py").write_text((SITES / "write.py").read_text())
    (here / "sound.toml").write_text('base = "at/base.toml"\n[site]\nname = "sound"\n')
    (here / "the.toml").write_text(overlay)
    ran = subprocess.run(
        [sys.executable, str(here / "write.py"), str(kit)], capture_output=True, text=True, timeout=60, check=False
    )
    return ran.returncode, ran.stdout + ran.stderr


def test_an_overlay_changes_what_it_names_and_nothing_else(tmp_path: Path) -> None:
    code, told = run(
        tmp_path,
        'base = "at/base.toml"\n[site]\nname = "the"\n[site.net]\nzones = ["c"]\n'
        '[[class]]\nwas = "two"\nname = "other"\n',
    )
    made = tmp_path / "sites" / "the"
    assert code == 0 and str(made / "the.toml") in told
    assert tomllib.loads((made / "the.toml").read_text()) == {
        "name": "the",
        "net": {"zones": ["c"]},
        "prices": {"moves": 0.1},
        "class": [{"name": "one", "worth": 1}, {"name": "other", "worth": 2}],
    }
    assert (made / "unlock.txt").read_text() == "this is unlock.txt"


@pytest.mark.parametrize(
    "overlay,why",
    [
        ('base = "at/base.toml"\n[site.net]\nzone = ["c"]\n', "the.toml: site.net.zone: the base has no such key"),
        ('base = "at/base.toml"\n[site]\nnet = 3\n', "the.toml: site.net: a table stands for a value"),
        ('base = "at/base.toml"\n[[class]]\nwas = "three"\n', "the.toml: class[0].was: the base has no class 'three'"),
        (
            'base = "at/base.toml"\n[[class]]\nwas = "one"\nwort = 3\n',
            "the.toml: class[0].wort: the base has no such key",
        ),
        ('base = "at/gone.toml"\n', "gone.toml: no such file"),
        ('[site]\nname = "x"\n', "the.toml: base: "),
        ('base = "at/base.toml"\n[more]\nx = 1\n', "the.toml: more: base, site or class was expected"),
        ("base = \n", "the.toml: Invalid value"),
    ],
)
def test_a_bad_overlay_is_told_with_its_place_and_nothing_is_written(tmp_path: Path, overlay: str, why: str) -> None:
    code, told = run(tmp_path, overlay)
    assert code == 2 and why in told, told
    assert not [each for each in (tmp_path / "sites").iterdir() if each.is_dir()]


@pytest.mark.parametrize(
    "base,beside,why", [(None, True, "base.toml: no such file"), (BASE, False, "real.json: no such file")]
)
def test_a_kit_that_is_not_there_is_told_and_nothing_is_written(
    tmp_path: Path, base: str | None, beside: bool, why: str
) -> None:
    code, told = run(tmp_path, 'base = "at/base.toml"\n', base, beside)
    assert code == 2 and why in told, told
    assert not [each for each in (tmp_path / "sites").iterdir() if each.is_dir()]
