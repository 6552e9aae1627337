"""Makes sites of other customers for the users' bench.

`deploy/sites/NAME.changes.toml` holds what differs from the users' own site; NAME.toml is written beside it,
with the files that the bench reads there. They hold text of the users' kit, and stay out of the repository.

    ./dev sites                     # all of them
    ./dev sites few-long            # one
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).parents[1]
CHANGES = ROOT / "deploy" / "sites"
USERS = ROOT.parent / "given" / "kit" / "more" / "node" / "sites"
BASE, BESIDE = "sk-parcel-map.toml", ("real.json", "wire.json", "unlock.txt", "design.json")


class SiteError(Exception):
    """A site cannot be made; the message says where, why, and what is expected."""


def changed(base: Any, changes: Any, place: str = "") -> Any:
    """Returns a value with changes applied.

    Tables are merged. A list of tables replaces the old one; its rows may take over old rows (`like`).

    Args:
        base: The value of the users' site.
        changes: What differs.
        place: Where it stands, for messages.
    """
    if isinstance(base, dict) and isinstance(changes, dict):
        merged = dict(base)
        for name, value in changes.items():
            merged[name] = changed(base.get(name), value, f"{place}.{name}".lstrip("."))
        return merged
    if isinstance(changes, list) and any(isinstance(row, dict) for row in changes):
        rows = base if isinstance(base, list) else []
        return [_row(rows, dict(row), f"{place}[{number}]") for number, row in enumerate(changes)]
    return changes


def _row(rows: list[dict[str, Any]], row: dict[str, Any], place: str) -> dict[str, Any]:
    if "like" not in row:
        return row
    like = row.pop("like")
    found = [old for number, old in enumerate(rows) if like in (number, old.get("name"))]
    if not found:
        raise SiteError(
            f"{place}.like: {like!r}; a row of the users' site is due: "
            f"{', '.join(str(old.get('name')) for old in rows) or 'none is there'}"
        )
    return changed(found[0], row, place)


def make(name: str, users: Path = USERS, changes: Path = CHANGES) -> Path:
    """Writes a whole site and returns its path.

    Raises:
        SiteError: The users' kit or the changes are missing, or the changes cannot be applied.
    """
    if not (users / BASE).is_file():
        raise SiteError(
            f"{users / BASE} is not here: sites are made where the users' kit lies beside the repository"
        )
    source = changes / f"{name}.changes.toml"
    try:
        text = source.read_text(encoding="utf-8")
    except OSError as error:
        names = ", ".join(
            sorted(path.name.removesuffix(".changes.toml") for path in changes.glob("*.changes.toml"))
        )
        raise SiteError(f"{source}: {error.strerror}; one of {names or 'no variants'} is due") from None
    try:
        whole = changed(tomllib.loads((users / BASE).read_text(encoding="utf-8")), tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise SiteError(f"{source}: {error}; TOML is due") from None
    made = changes / f"{name}.toml"
    made.write_text(tomli_w.dumps(whole), encoding="utf-8")
    for beside in BESIDE:
        if (users / beside).is_file():
            shutil.copyfile(users / beside, changes / beside)
    return made


def main() -> int:
    """Makes the sites that the command line names, and returns the exit code."""
    parser = argparse.ArgumentParser(description="Whole sites of other customers, for the users' bench.")
    parser.add_argument("names", nargs="*", help="variants; all of them by default")
    names = parser.parse_args().names or sorted(
        path.name.removesuffix(".changes.toml") for path in CHANGES.glob("*.changes.toml")
    )
    try:
        for name in names:
            print(make(name).relative_to(ROOT))
    except SiteError as error:
        print(f"sites: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
