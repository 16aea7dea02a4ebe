"""Generates variants of the operators' test deployments: `python deploy/sites/lay_out.py KIT`.

Each TOML file in this folder names the site of the kit that it is based on (`from`) and the values to change
(`[changes]`). A key may be a dotted path, in which a number is an index into a list; a list given as a value
replaces the whole list. `arguments` are command-line arguments for the bench: limits of a process, which are
not part of a site. The output in `laid/` is derived from the kit and is not committed.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")  # files that the bench expects next to a site
MERGED_TABLES = ("fam",)  # their keys are changed one by one; the table itself is not replaced


def set_value(site: Any, key: str, value: Any) -> None:
    """Set the value at a dotted path."""
    *parents, last = key.split(".")
    for part in parents:
        site = site[int(part) if part.isdigit() else part]
    site[last] = value


def changes(variant: Any) -> dict[str, Any]:
    """Return the changes of a variant, as new values by dotted path."""
    found: dict[str, Any] = {}
    for key, value in variant["changes"].unwrap().items():
        if key in MERGED_TABLES:
            found.update({f"{key}.{inner}": new for inner, new in value.items()})
        else:
            found[key] = value
    return found


def lay_out(variant: Any, name: str, kit: Path, output: Path) -> Path:
    """Write the site of a variant, copy the files that the bench expects next to it, and return its path."""
    base_path = kit / str(variant["from"])
    site = tomlkit.parse(base_path.read_text())
    for key, value in changes(variant).items():
        set_value(site, key, value)
    folder = output / name
    folder.mkdir(parents=True, exist_ok=True)
    for companion in COMPANION_FILES:
        shutil.copyfile(base_path.parent / companion, folder / companion)
    site_path = folder / f"{name}.toml"
    site_path.write_text(tomlkit.dumps(site))
    return site_path


def main(kit: Path) -> None:
    """Write the site of each variant in this folder, and print its path with the bench's arguments."""
    folder = Path(__file__).parent
    for path in sorted(folder.glob("*.toml")):
        variant = tomlkit.parse(path.read_text())
        site_path = lay_out(variant, path.stem, kit, folder / "laid")
        print(site_path, *variant.get("arguments", []))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
