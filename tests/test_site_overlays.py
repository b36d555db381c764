"""``deploy/sites/write.py``: the changes of an overlay to a site file, and the errors reported for a bad one."""

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


def run(folder: Path, overlay: str, base: str | None = BASE, support_files: bool = True) -> tuple[int, str]:
    """Run a copy of the script with a valid overlay and the one given, on a kit with one base site."""
    kit, sites = folder / "kit", folder / "sites"
    (kit / "at").mkdir(parents=True)
    sites.mkdir()
    if base is not None:
        (kit / "at" / "base.toml").write_text(base)
    for name in ("real.json", "wire.json", "unlock.txt") if support_files else ():
        (kit / "at" / name).write_text(f"this is {name}")
    (sites / "write.py").write_text((SITES / "write.py").read_text())
    (sites / "sound.toml").write_text('base = "at/base.toml"\n[site]\nname = "sound"\n')
    (sites / "the.toml").write_text(overlay)
    completed = subprocess.run(
        [sys.executable, str(sites / "write.py"), str(kit)], capture_output=True, text=True, timeout=60, check=False
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_an_overlay_changes_only_the_keys_it_names(tmp_path: Path) -> None:
    code, output = run(
        tmp_path,
        'base = "at/base.toml"\n[site]\nname = "the"\n[site.net]\nzones = ["c"]\n'
        '[[class]]\nwas = "two"\nname = "other"\n',
    )
    written = tmp_path / "sites" / "the"
    assert code == 0 and str(written / "the.toml") in output
    assert tomllib.loads((written / "the.toml").read_text()) == {
        "name": "the",
        "net": {"zones": ["c"]},
        "prices": {"moves": 0.1},
        "class": [{"name": "one", "worth": 1}, {"name": "other", "worth": 2}],
    }
    assert (written / "unlock.txt").read_text() == "this is unlock.txt"


@pytest.mark.parametrize(
    "overlay,message",
    [
        ('base = "at/base.toml"\n[site.net]\nzone = ["c"]\n', "the.toml: site.net.zone: the base has no such key"),
        ('base = "at/base.toml"\n[site]\nnet = 3\n', "the.toml: site.net: a table is given for a value"),
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
def test_a_bad_overlay_is_reported_with_its_place_and_nothing_is_written(
    tmp_path: Path, overlay: str, message: str
) -> None:
    code, output = run(tmp_path, overlay)
    assert code == 2 and message in output, output
    assert not [path for path in (tmp_path / "sites").iterdir() if path.is_dir()]


@pytest.mark.parametrize(
    "base,support_files,message", [(None, True, "base.toml: no such file"), (BASE, False, "real.json: no such file")]
)
def test_a_missing_file_of_the_kit_is_reported_and_nothing_is_written(
    tmp_path: Path, base: str | None, support_files: bool, message: str
) -> None:
    code, output = run(tmp_path, 'base = "at/base.toml"\n', base, support_files)
    assert code == 2 and message in output, output
    assert not [path for path in (tmp_path / "sites").iterdir() if path.is_dir()]
