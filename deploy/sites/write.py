"""Writes the full site files of this folder's overlays, from the operators' kit: ``python deploy/sites/write.py KIT``.

An overlay, ``NAME.toml``, names its ``base`` (a path below the kit), the values that it changes (``[site]``, table by
table) and the classes that it changes (``[[class]]``, by the name that each ``was`` given in the base). The site is
written to ``NAME/``, which git ignores, together with the kit's ``real.json``, ``wire.json`` and ``unlock.txt``. A key
that the base lacks, or a missing file, is reported with its place, and then nothing is written.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

SUPPORT_FILES = ("real.json", "wire.json", "unlock.txt")
OVERLAY_FOLDER = Path(__file__).parent


class OverlayError(Exception):
    """An overlay from which no site can be written; the text says where and why."""


def read(path: Path) -> dict[str, Any]:
    """Return a TOML file's tables; raise OverlayError where it is missing or not valid TOML."""
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        raise OverlayError(f"{path}: no such file") from None
    except tomllib.TOMLDecodeError as error:
        raise OverlayError(f"{path}: {error}") from None


def apply_overlay(base: dict[str, Any], overlay: dict[str, Any], location: str) -> dict[str, Any]:
    """Return the base with the overlay's values; raise OverlayError for a key that the base lacks.

    ``location`` is the place of the overlay's table, for error messages.
    """
    merged = dict(base)
    for key, value in overlay.items():
        if key not in base:
            raise OverlayError(f"{location}.{key}: the base has no such key")
        if isinstance(value, dict) != isinstance(base[key], dict):
            raise OverlayError(f"{location}.{key}: a table is given for a value, or a value for a table")
        merged[key] = apply_overlay(base[key], value, f"{location}.{key}") if isinstance(value, dict) else value
    return merged


def build_site(overlay: dict[str, Any], kit: Path) -> dict[str, Any]:
    """Return the full site of an overlay; raise OverlayError where it is not valid."""
    if not isinstance(overlay.get("base"), str):
        raise OverlayError("base: the path of a site file below the kit was expected")
    if unknown := overlay.keys() - {"base", "site", "class"}:
        raise OverlayError(f"{min(unknown)}: base, site or class was expected")
    merged = apply_overlay(read(kit / overlay["base"]), overlay.get("site", {}), "site")
    positions = {entry["name"]: position for position, entry in enumerate(merged["class"])}
    for number, change in enumerate(overlay.get("class", [])):
        location, was = f"class[{number}]", change.get("was")
        if was not in positions:
            raise OverlayError(f"{location}.was: the base has no class {was!r}")
        changes = {key: value for key, value in change.items() if key != "was"}
        merged["class"][positions[was]] = apply_overlay(merged["class"][positions[was]], changes, location)
    return merged


def write_sites(overlays: list[Path], kit: Path, target: Path) -> list[Path]:
    """Write the sites of all overlays below ``target``, or none of them; return their files."""
    sites: list[tuple[Path, str, Path]] = []
    for path in overlays:
        overlay = read(path)
        try:
            text = tomli_w.dumps(build_site(overlay, kit))
        except OverlayError as error:
            raise OverlayError(f"{path.name}: {error}") from None
        base_folder = (kit / overlay["base"]).parent
        for name in SUPPORT_FILES:
            if not (base_folder / name).is_file():
                raise OverlayError(f"{path.name}: {base_folder / name}: no such file")
        sites.append((target / path.stem, text, base_folder))
    for folder, text, base_folder in sites:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{folder.name}.toml").write_text(text)
        for name in SUPPORT_FILES:
            shutil.copyfile(base_folder / name, folder / name)
    return [folder / f"{folder.name}.toml" for folder, _, _ in sites]


def main(arguments: list[str]) -> int:
    """Write the sites of this folder from the kit given; return the exit status, 2 after an error."""
    if len(arguments) != 1:
        print("usage: python deploy/sites/write.py KIT", file=sys.stderr)
        return 2
    try:
        for path in write_sites(sorted(OVERLAY_FOLDER.glob("*.toml")), Path(arguments[0]), OVERLAY_FOLDER):
            print(path)
    except OverlayError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
