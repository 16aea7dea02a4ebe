"""Lays out deployments that the operators' program is also played on: `python deploy/sites/lay_out.py KIT`.

Each file beside this one names the site of the kit that it comes from (`from`) and what it changes
(`[changes]`). A key may be a path with dots, where a number is a place in a list; a list that is written out
replaces the whole list. `arguments` are for the bench's command line: limits of a process, which are no part
of a site. What is written, under `laid/`, is the kit's and not committed.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")  # what the program looks for beside a site
MERGED_TABLES = ("fam",)  # tables whose lists are changed one by one, not the table as a whole


def set_value(site: Any, key: str, value: Any) -> None:
    """Set the value at a path with dots."""
    *parents, last = key.split(".")
    for part in parents:
        site = site[int(part) if part.isdigit() else part]
    site[last] = value


def changes(variant: Any) -> dict[str, Any]:
    """Path and new value of each change of a variant."""
    found: dict[str, Any] = {}
    for key, value in variant["changes"].unwrap().items():
        if key in MERGED_TABLES:
            found.update({f"{key}.{inner}": new for inner, new in value.items()})
        else:
            found[key] = value
    return found


def lay_out(variant: Any, name: str, kit: Path, output: Path) -> Path:
    """Write the site of a variant, with the files that the bench wants beside it, and return its path."""
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
    """Lay out each variant beside this file and print its site with the bench's arguments."""
    folder = Path(__file__).parent
    for path in sorted(folder.glob("*.toml")):
        variant = tomlkit.parse(path.read_text())
        site_path = lay_out(variant, path.stem, kit, folder / "laid")
        print(site_path, *variant.get("arguments", []))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
