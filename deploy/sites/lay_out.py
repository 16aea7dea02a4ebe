"""Lays out deployments that the operators' program is also played on: `python deploy/sites/lay_out.py KIT`.

Each file beside this one says from which site of the kit it comes and what it changes; what is written, under
`laid/`, is the kit's and not committed.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit

BESIDE = ("real.json", "wire.json", "unlock.txt")  # what the program looks for beside a site


def change(site: Any, key: str, value: Any) -> None:
    *way, last = key.split(".")
    for part in way:
        site = site[int(part) if part.isdigit() else part]
    site[last] = value


def lay_out(variant: Path, kit: Path, laid: Path) -> Path:
    told = tomlkit.parse(variant.read_text())
    base = kit / str(told["from"])
    site = tomlkit.parse(base.read_text())
    for key, value in told["changes"].items():
        change(site, key, value)
    folder = laid / variant.stem
    folder.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        shutil.copyfile(base.parent / name, folder / name)
    written = folder / variant.name
    written.write_text(tomlkit.dumps(site))
    return written


def main(kit: Path) -> None:
    here = Path(__file__).parent
    for variant in sorted(here.glob("*.toml")):
        print(lay_out(variant, kit, here / "laid"))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
