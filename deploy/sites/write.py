"""Writes the full site files of this folder's overlays, from the operators' kit: ``python deploy/sites/write.py KIT``.

An overlay, ``NAME.toml``, names its ``base`` below the kit, what it changes (``[site]``, table by table) and classes
(``[[class]]``, by the name that each ``was`` at the base). What is written stands in ``NAME/``, which git ignores, with
the kit's ``real.json``, ``wire.json`` and ``unlock.txt`` beside it. A key that the base lacks, or a missing file,
is told with its place, and then nothing is written.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

BESIDE = ("real.json", "wire.json", "unlock.txt")
HERE = Path(__file__).parent


class OverlayError(Exception):
    """An overlay that can't be written; the text says where and why."""


def read(path: Path) -> dict[str, Any]:
    """Return a TOML file's tables; raise OverlayError where it is missing or none."""
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        raise OverlayError(f"{path}: no such file") from None
    except tomllib.TOMLDecodeError as error:
        raise OverlayError(f"{path}: {error}") from None


def laid_over(base: dict[str, Any], overlay: dict[str, Any], where: str) -> dict[str, Any]:
    """Return the base with the overlay's values; raise OverlayError for a key that the base lacks."""
    made = dict(base)
    for key, value in overlay.items():
        if key not in base:
            raise OverlayError(f"{where}.{key}: the base has no such key")
        if isinstance(value, dict) != isinstance(base[key], dict):
            raise OverlayError(f"{where}.{key}: a table stands for a value, or a value for a table")
        made[key] = laid_over(base[key], value, f"{where}.{key}") if isinstance(value, dict) else value
    return made


def site(overlay: dict[str, Any], kit: Path) -> dict[str, Any]:
    """Return the full site of an overlay."""
    if not isinstance(overlay.get("base"), str):
        raise OverlayError("base: the path of a site file below the kit was expected")
    if unknown := overlay.keys() - {"base", "site", "class"}:
        raise OverlayError(f"{min(unknown)}: base, site or class was expected")
    made = laid_over(read(kit / overlay["base"]), overlay.get("site", {}), "site")
    classes = {each["name"]: place for place, each in enumerate(made["class"])}
    for number, change in enumerate(overlay.get("class", [])):
        where, was = f"class[{number}]", change.get("was")
        if was not in classes:
            raise OverlayError(f"{where}.was: the base has no class {was!r}")
        rest = {key: value for key, value in change.items() if key != "was"}
        made["class"][classes[was]] = laid_over(made["class"][classes[was]], rest, where)
    return made


def write(overlays: list[Path], kit: Path, into: Path) -> list[Path]:
    """Write the sites of all overlays, or none; return their files."""
    made: list[tuple[Path, str, Path]] = []
    for path in overlays:
        overlay = read(path)
        try:
            text = tomli_w.dumps(site(overlay, kit))
        except OverlayError as error:
            raise OverlayError(f"{path.name}: {error}") from None
        beside = (kit / overlay["base"]).parent
        for name in BESIDE:
            if not (beside / name).is_file():
                raise OverlayError(f"{path.name}: {beside / name}: no such file")
        made.append((into / path.stem, text, beside))
    for folder, text, beside in made:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{folder.name}.toml").write_text(text)
        for name in BESIDE:
            shutil.copyfile(beside / name, folder / name)
    return [folder / f"{folder.name}.toml" for folder, _, _ in made]


def main(arguments: list[str]) -> int:
    """Write what the command line asks for; 2 where that can't be done."""
    if len(arguments) != 1:
        print("usage: python deploy/sites/write.py KIT", file=sys.stderr)
        return 2
    try:
        for path in write(sorted(HERE.glob("*.toml")), Path(arguments[0]), HERE):
            print(path)
    except OverlayError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
